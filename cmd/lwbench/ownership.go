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
	resubmitAfter = 50 * time.Millisecond // a caller's pause before its next attempt
	hostDownFor   = 5 * time.Second
	lostShare     = 100 // one submission of this many is lost on its way
)

// ownership is a way to own a key.
type ownership uint8

const (
	askEveryone ownership = iota // every host is asked when a repetition arrives
	keepAttempt                  // the same, and callers keep the attempt number after a refused connection
	copyAccept                   // an accept record is copied to a peer before the first start
	syncAccept                   // an accept record is synced to the host's disk before the first start
)

func (o ownership) String() string {
	return [...]string{"c: ask every host", "c, attempt kept when refused", "b: copy to a peer", "a: synced journal"}[o]
}

// ownershipCommand compares ways to own a key at 70% load.
type ownershipCommand struct {
	seed  uint64
	tasks int
	load  int
}

func (*ownershipCommand) Name() string     { return "ownership" }
func (*ownershipCommand) Synopsis() string { return "compare ways to own a job's key in virtual time" }
func (*ownershipCommand) Usage() string {
	return "ownership [flags]\n  Prints response, messages and uncertain answers, healthy and with a host killed.\n"
}

func (c *ownershipCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of traces and delays")
	f.IntVar(&c.tasks, "tasks", 60_000, "tasks per trace")
	f.IntVar(&c.load, "load", 70, "offered work in percent of the slots")
}

// Execute prints one row per mix, killed host and way.
func (c *ownershipCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Printf("Seed %d, %d tasks a trace, load %d%%. Response over the ideal.\n\n", c.seed, c.tasks, c.load)
	fmt.Println("| jobs | killed | way | median | p99 | messages per job over starts and answers | repetitions | of them uncertain | of jobs at the killed host | uncertain | taken over |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, m := range jobMixes[:2] {
		for _, killed := range []int{-1, 0, 1} {
			for _, way := range []ownership{askEveryone, keepAttempt, copyAccept, syncAccept} {
				r := newOwnershipRun(c.seed, newTrace(c.seed, m, float64(c.load)/100, c.tasks, false), way)
				r.run(killed)
				fmt.Println(r.row(m.name, killed))
			}
		}
	}
	return subcommands.ExitSuccess
}

// owned is one job of an ownershipRun.
type owned struct {
	host     int
	sentAt   time.Time
	accepted bool // a host took the first attempt
	started  bool // a start or a forward left that host
	attempt  int
	affected bool // its host was killed while it waited
	done     bool
}

// ownershipRun drives a domain's hosts over a trace whose callers resubmit.
// The engine implements askEveryone; the other ways are modelled by their
// delay and messages, and by what their records would tell after a death.
type ownershipRun struct {
	*emulator.Emulator
	way       ownership
	trace     *trace
	jobs      []*owned
	index     map[job.ID]int
	down      int
	extra     int // messages of accept records
	repeated  int
	uncertain int
	affected  int
	lostJobs  int // affected and uncertain
	takenOver int
	ratio     *hdrhistogram.Histogram
}

func newOwnershipRun(seed uint64, t *trace, way ownership) *ownershipRun {
	r := &ownershipRun{
		Emulator: emulator.New(seed, experimentStart), way: way, trace: t, index: make(map[job.ID]int), down: -1,
		ratio: hdrhistogram.New(1, 10_000_000, 3),
	}
	r.Net = experimentNet
	r.OnAnswer = r.answered
	r.OnSend = func(_ *emulator.Host, s engine.Start) { r.markStarted(s.Task.Job) }
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
		}, r.Hosts(), func(s engine.Start) time.Duration { return decodeRun(s.Payload) })
	}
	return r
}

func (r *ownershipRun) markStarted(id job.ID) {
	if i, ok := r.index[id]; ok {
		r.jobs[i].started = true
	}
}

// run plays the trace; a host index of -1 kills none.
func (r *ownershipRun) run(killed int) {
	r.RunUntil(experimentStart.Add(experimentWarmUp))
	before := r.Counters.PeerMessages
	for i := range r.trace.arrivals {
		r.jobs = append(r.jobs, &owned{host: r.trace.arrivals[i].host})
		r.After(r.trace.arrivals[i].at, func() { r.first(i) })
	}
	if killed >= 0 {
		r.After(r.trace.length/2, func() { r.kill(killed) })
	}
	r.RunUntil(experimentStart.Add(experimentWarmUp + r.trace.length + 2*experimentDeadline))
	r.extra += r.Counters.PeerMessages - before
}

// first sends the first attempt; some are lost and sent again elsewhere.
func (r *ownershipRun) first(i int) {
	o := r.jobs[i]
	o.sentAt = r.Now()
	o.attempt = 1
	for r.way == keepAttempt && !r.Hosts()[o.host].Up() {
		o.host = (o.host + 1) % traceHosts
	}
	if i%lostShare == 0 || !r.Hosts()[o.host].Up() {
		r.After(resubmitAfter, func() { r.again(i) })
		return
	}
	r.After(r.acceptDelay(), func() {
		if !r.Hosts()[o.host].Up() {
			r.again(i)
			return
		}
		o.accepted = true
		r.submit(i)
	})
}

// acceptDelay is the time before the first start, and counts its messages.
func (r *ownershipRun) acceptDelay() time.Duration {
	switch r.way {
	case copyAccept:
		r.extra += 2
		return experimentRoundTrip
	case syncAccept:
		return syncedWrite
	default:
		return 0
	}
}

// again sends the next attempt to another host that is up. A copied record, or
// its absence at the peers, tells that nothing was started.
func (r *ownershipRun) again(i int) {
	o := r.jobs[i]
	r.repeated++
	o.attempt++
	o.host = (o.host + 1) % traceHosts
	for !r.Hosts()[o.host].Up() {
		o.host = (o.host + 1) % traceHosts
	}
	if r.way == copyAccept && !o.started {
		if o.accepted {
			r.takenOver++
		}
		r.extra += 2 * (traceHosts - 1) // the search among the live peers
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
		s.Tasks[k].Payload = encodeRun(a.tasks[k])
	}
	r.index[s.ID] = i
	h := r.Hosts()[o.host]
	h.Do(func(now time.Time) {
		s.Deadline = now.Add(experimentDeadline)
		answer, err := h.Engine.Submit(now, &s)
		switch {
		case err != nil:
			r.end(i, err.Code)
		case answer != nil:
			r.end(i, answer.Code)
		case h.Engine.Jobs().Get(s.ID) != nil && h.Engine.Jobs().Get(s.ID).Running() > 0:
			o.started = true // forwarded, or started at once
		}
	})
}

func (r *ownershipRun) answered(h *emulator.Host, a *job.Answer) {
	i, ok := r.index[a.ID]
	if ok && r.Hosts()[r.jobs[i].host] == h {
		r.end(i, a.Code)
	}
}

func (r *ownershipRun) end(i int, code result.Code) {
	o := r.jobs[i]
	if o.done {
		return
	}
	o.done = true
	if code.Class() == result.MayHaveRun {
		if o.attempt > 1 {
			r.uncertain++
		}
		if o.affected {
			r.lostJobs++
		}
	}
	if code == result.OK {
		ideal := r.trace.arrivals[i].ideal(experimentRoundTrip)
		_ = r.ratio.RecordValue(int64(1000 * float64(r.Now().Sub(o.sentAt)) / float64(ideal)))
	}
}

// kill ends a host for a while; the callers that wait there submit again.
func (r *ownershipRun) kill(host int) {
	h := r.Hosts()[host]
	h.Kill()
	r.After(hostDownFor, h.Restart)
	for i, o := range r.jobs {
		if o.attempt > 0 && !o.done && o.host == host {
			o.affected = true
			r.affected++
			r.After(resubmitAfter, func() { r.again(i) })
		}
	}
}

func (r *ownershipRun) row(mix string, killed int) string {
	name := "none"
	if killed >= 0 {
		name = fmt.Sprintf("h%d", killed)
	}
	return fmt.Sprintf("| %s | %s | %s | %.3f | %.2f | %.2f | %d | %d (%.1f%%) | %d | %d | %d |",
		mix, name, r.way, quantile(r.ratio, 50), quantile(r.ratio, 99), float64(r.extra)/float64(len(r.jobs)),
		r.repeated, r.uncertain, 100*float64(r.uncertain)/float64(max(r.repeated, 1)), r.affected, r.lostJobs, r.takenOver)
}
