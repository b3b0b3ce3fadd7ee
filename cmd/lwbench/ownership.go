package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/emulator"
	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

const (
	resubmitDelay      = 50 * time.Millisecond // between a caller's failed attempt and its next one
	hostDowntime       = 5 * time.Second
	submissionsPerLoss = 100 // one in this many first attempts is lost before it reaches a host
)

// ownershipStrategy is how hosts find out whether another host already accepted a
// job's key.
type ownershipStrategy uint8

const (
	askAllHosts ownershipStrategy = iota // a host that receives a resubmission asks every other host
	keepAttempt                          // as askAllHosts; callers keep the attempt number after a refused connection
	copyAccept                           // an accept record is copied to a peer before the first start
	syncAccept                           // an accept record is synced to the host's disk before the first start
)

func (o ownershipStrategy) String() string {
	return [...]string{"c: ask every host", "c, attempt kept when refused", "b: copy to a peer", "a: synced journal"}[o]
}

// ownershipCommand compares ownership strategies, by default at 70% load.
type ownershipCommand struct {
	seed  uint64
	tasks int
	load  int
}

func (*ownershipCommand) Name() string { return "ownership" }
func (*ownershipCommand) Synopsis() string {
	return "compare strategies for the ownership of job keys in virtual time"
}
func (*ownershipCommand) Usage() string {
	return "ownership [flags]\n  Prints response times, messages and uncertain answers, healthy and with a killed host.\n"
}

func (c *ownershipCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of traces and delays")
	f.IntVar(&c.tasks, "tasks", 60_000, "tasks per trace")
	f.IntVar(&c.load, "load", 70, "offered load in percent of the slots")
}

// Execute prints one row per job mix, killed host and strategy.
func (c *ownershipCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Printf("Seed %d, %d tasks a trace, load %d%%. Response over the ideal.\n\n", c.seed, c.tasks, c.load)
	fmt.Println("| jobs | killed | way | median | p99 | messages per job over starts and answers | repetitions | of them uncertain | of jobs at the killed host | uncertain | taken over |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, m := range jobMixes[:2] {
		for _, killed := range []int{-1, 0, 1} {
			for _, strategy := range []ownershipStrategy{askAllHosts, keepAttempt, copyAccept, syncAccept} {
				r := newOwnershipRun(c.seed, newTrace(c.seed, m, float64(c.load)/100, c.tasks, false), strategy)
				r.run(killed)
				fmt.Println(r.tableRow(m.name, killed))
			}
		}
	}
	return subcommands.ExitSuccess
}

// ownedJob is one job of an ownershipRun.
type ownedJob struct {
	host     int
	sentAt   time.Time
	accepted bool // a host accepted the first attempt
	started  bool // that host started a task or forwarded the job
	attempt  int
	affected bool // its host was killed before the answer
	done     bool
}

// ownershipRun runs a trace on the hosts of a failure domain, with callers that
// resubmit. The engine implements askAllHosts. The other strategies are modelled by
// their delay, their messages and what the remaining hosts would learn from the
// accept records after a host is killed.
type ownershipRun struct {
	*emulator.Emulator
	strategy               ownershipStrategy
	trace                  *trace
	jobs                   []*ownedJob
	arrivalByJob           map[job.ID]int
	down                   int
	extraMessages          int // peer messages, and those that model accept records and searches
	resubmissions          int
	uncertainResubmissions int
	affectedJobs           int
	affectedUncertain      int                     // jobs that were affected and got an uncertain answer
	takenOver              int                     // accepted jobs that were submitted as new to another host, because no task had started
	ratio                  *hdrhistogram.Histogram // response time divided by the ideal one
}

func newOwnershipRun(seed uint64, t *trace, strategy ownershipStrategy) *ownershipRun {
	r := &ownershipRun{
		Emulator: emulator.New(seed, experimentStart), strategy: strategy, trace: t, arrivalByJob: make(map[job.ID]int), down: -1,
		ratio: hdrhistogram.New(1, 10_000_000, 3),
	}
	r.Net = experimentNetwork
	r.OnAnswer = r.handleAnswer
	r.OnStartSent = func(_ *emulator.Host, s engine.Start) { r.markStarted(s.Task.Job) }
	var all []membership.Host
	for i := range traceHosts {
		all = append(all, membership.Host{Name: fmt.Sprintf("h%d", i), FailureDomain: experimentDomain, Region: "r"})
	}
	for _, h := range all {
		r.AddHost(experimentConfig(h, all, engine.SlotsCentral), experimentTick)
	}
	for i := range traceMinions {
		name := fmt.Sprintf("m%02d", i)
		r.AddMinion(minion.Announcement{
			Name: name, Worker: name, Rack: "r", FailureDomain: experimentDomain, Services: []string{"despacho"},
			Slots: slotsPerMinion, Connections: 64, Address: name + ":1", Generation: 1,
		}, r.Hosts(), func(s engine.Start) time.Duration { return decodeRunTime(s.Payload) })
	}
	return r
}

func (r *ownershipRun) markStarted(id job.ID) {
	if i, ok := r.arrivalByJob[id]; ok {
		r.jobs[i].started = true
	}
}

// run submits the trace and kills the host with index killed halfway through; -1
// kills none.
func (r *ownershipRun) run(killed int) {
	r.RunUntil(experimentStart.Add(experimentWarmUp))
	before := r.Counters.PeerMessages
	for i := range r.trace.arrivals {
		r.jobs = append(r.jobs, &ownedJob{host: r.trace.arrivals[i].host})
		r.After(r.trace.arrivals[i].at, func() { r.submitFirstAttempt(i) })
	}
	if killed >= 0 {
		r.After(r.trace.length/2, func() { r.killHost(killed) })
	}
	r.RunUntil(experimentStart.Add(experimentWarmUp + r.trace.length + 2*experimentDeadline))
	r.extraMessages += r.Counters.PeerMessages - before
}

// submitFirstAttempt sends the first attempt of job i. A fixed fraction of first
// attempts is lost; these jobs are resubmitted to another host.
func (r *ownershipRun) submitFirstAttempt(i int) {
	o := r.jobs[i]
	o.sentAt = r.Now()
	o.attempt = 1
	for r.strategy == keepAttempt && !r.Hosts()[o.host].Up() {
		o.host = (o.host + 1) % traceHosts
	}
	if i%submissionsPerLoss == 0 || !r.Hosts()[o.host].Up() {
		r.After(resubmitDelay, func() { r.resubmit(i) })
		return
	}
	r.After(r.acceptDelay(), func() {
		if !r.Hosts()[o.host].Up() {
			r.resubmit(i)
			return
		}
		o.accepted = true
		r.submit(i)
	})
}

// acceptDelay returns how long the accept record delays the first start, and counts
// the messages of the record.
func (r *ownershipRun) acceptDelay() time.Duration {
	switch r.strategy {
	case copyAccept:
		r.extraMessages += 2
		return experimentRoundTrip
	case syncAccept:
		return syncedWriteTime
	default:
		return 0
	}
}

// resubmit sends the next attempt of job i to another host that is up. With
// copyAccept, the copied record, or its absence at the peers, shows that no task was
// started, so that the job is submitted as a first attempt.
func (r *ownershipRun) resubmit(i int) {
	o := r.jobs[i]
	r.resubmissions++
	o.attempt++
	o.host = (o.host + 1) % traceHosts
	for !r.Hosts()[o.host].Up() {
		o.host = (o.host + 1) % traceHosts
	}
	if r.strategy == copyAccept && !o.started {
		if o.accepted {
			r.takenOver++
		}
		r.extraMessages += 2 * (traceHosts - 1) // the search for the record at the peers
		o.attempt = 1
		r.After(2*experimentRoundTrip, func() { r.submit(i) })
		return
	}
	r.submit(i)
}

func (r *ownershipRun) submit(i int) {
	o := r.jobs[i]
	a := &r.trace.arrivals[i]
	key := fmt.Sprint(i)
	if o.attempt == 1 && o.accepted && !o.started && o.affected {
		key += "-taken-over"
	}
	s := job.Submission{
		ID: job.ID{Team: "t", Key: key}, Attempt: o.attempt, Service: "despacho", SubmittedAt: o.sentAt,
		Tasks: make([]job.Task, len(a.tasks)),
	}
	for k := range a.tasks {
		s.Tasks[k].Payload = encodeRunTime(a.tasks[k])
	}
	r.arrivalByJob[s.ID] = i
	h := r.Hosts()[o.host]
	h.HandleInput(func(now time.Time) {
		s.Deadline = now.Add(experimentDeadline)
		answer, err := h.Engine.Submit(now, &s)
		switch {
		case err != nil:
			r.finish(i, err.Code)
		case answer != nil:
			r.finish(i, answer.Code)
		case h.Engine.Jobs().Get(s.ID) != nil && h.Engine.Jobs().Get(s.ID).Running() > 0:
			o.started = true // forwarded, or started immediately
		}
	})
}

func (r *ownershipRun) handleAnswer(h *emulator.Host, a *job.Answer) {
	i, ok := r.arrivalByJob[a.ID]
	if ok && r.Hosts()[r.jobs[i].host] == h {
		r.finish(i, a.Code)
	}
}

func (r *ownershipRun) finish(i int, code result.Code) {
	o := r.jobs[i]
	if o.done {
		return
	}
	o.done = true
	if code.Class() == result.MayHaveRun {
		if o.attempt > 1 {
			r.uncertainResubmissions++
		}
		if o.affected {
			r.affectedUncertain++
		}
	}
	if code == result.OK {
		ideal := r.trace.arrivals[i].ideal(experimentRoundTrip)
		_ = r.ratio.RecordValue(int64(1000 * float64(r.Now().Sub(o.sentAt)) / float64(ideal)))
	}
}

// killHost stops a host for hostDowntime. Callers that wait for an answer from it
// resubmit after resubmitDelay.
func (r *ownershipRun) killHost(host int) {
	h := r.Hosts()[host]
	h.Kill()
	r.After(hostDowntime, h.Restart)
	for i, o := range r.jobs {
		if o.attempt > 0 && !o.done && o.host == host {
			o.affected = true
			r.affectedJobs++
			r.After(resubmitDelay, func() { r.resubmit(i) })
		}
	}
}

func (r *ownershipRun) tableRow(mix string, killed int) string {
	name := "none"
	if killed >= 0 {
		name = fmt.Sprintf("h%d", killed)
	}
	return fmt.Sprintf("| %s | %s | %s | %.3f | %.2f | %.2f | %d | %d (%.1f%%) | %d | %d | %d |",
		mix, name, r.strategy, quantile(r.ratio, 50), quantile(r.ratio, 99), float64(r.extraMessages)/float64(len(r.jobs)),
		r.resubmissions, r.uncertainResubmissions, 100*float64(r.uncertainResubmissions)/float64(max(r.resubmissions, 1)), r.affectedJobs, r.affectedUncertain, r.takenOver)
}
