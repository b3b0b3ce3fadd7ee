// Package trial measures how often the verdict on a slow answer is correct. It
// injects delays into emulated hosts, links and minions in virtual time, and
// compares the verdict on each slow answer with the injected delay.
//
// An answer counts as slow if it took longer than 99% of the answers before the
// first fault and an injected delay makes up at least half of its time.
package trial

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/emulator"
	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/verdict"
)

// Fault is a kind of injected delay.
type Fault uint8

// Faults, in the order of the rows of a ConfusionMatrix.
const (
	FaultLink          Fault = iota // delay on one minion's link, in both directions
	FaultQueue                      // burst of jobs that exceeds the free slots
	FaultService                    // slow runs of the service on all minions
	FaultStraggler                  // slow runs on one minion
	FaultControl                    // delayed messages between hosts while they locate the owner of a key
	FaultCaller                     // the caller sends its request slowly
	FaultHost                       // one host is suspended
	FaultPeer                       // delayed messages between hosts while one dispatches jobs of the other
	FaultOmittedTiming              // delay on the link of a minion that does not report its own time
	numFaults
)

// String returns the fault's name in tables.
func (f Fault) String() string {
	return [...]string{"link", "queue", "service", "straggler", "control", "caller", "host", "peer link", "unmetered link"}[f]
}

// expectedPart returns the part that the verdict must name.
func (f Fault) expectedPart() job.Part {
	return [...]job.Part{
		job.PartNetwork, job.PartQueue, job.PartMinionRun, job.PartStraggler, job.PartControl,
		job.PartCaller, job.PartHost, job.PartNetwork, job.PartUnknown,
	}[f]
}

// Parts lists the columns of a ConfusionMatrix.
var Parts = []job.Part{
	job.PartNetwork, job.PartQueue, job.PartMinionRun, job.PartStraggler, job.PartControl,
	job.PartCaller, job.PartHost, job.PartUnknown,
}

// ConfusionMatrix counts the slow answers by injected fault and by the part that the
// verdict names.
type ConfusionMatrix struct {
	Counts  [numFaults]map[job.Part]int
	Correct [numFaults]int // slow answers whose verdict has the expected Part and Where
	Slow    [numFaults]int // slow answers
	Answers int            // all answers
}

// Faults returns every fault in the order of the rows.
func Faults() []Fault {
	out := make([]Fault, numFaults)
	for i := range out {
		out[i] = Fault(i)
	}
	return out
}

// Total returns the number of slow answers and of those with the correct verdict.
func (m *ConfusionMatrix) Total() (slow, correct int) {
	for i := range m.Slow {
		slow += m.Slow[i]
		correct += m.Correct[i]
	}
	return slow, correct
}

const (
	numHosts         = 2
	numMinions       = 12
	numSlots         = 8
	service          = "despacho"
	team             = "patio"
	warmUp           = 20 * time.Second
	faultDuration    = 2 * time.Second
	recoveryDuration = 8 * time.Second
	deadline         = 60 * time.Second
	submitInterval   = 30 * time.Millisecond
	maxTasks         = 8
	tickInterval     = 10 * time.Millisecond

	heartbeatInterval = 500 * time.Millisecond
	medianRun         = 200 * time.Millisecond
	runSigma          = 0.5 // standard deviation of the logarithm of run times
	minInjectedShare  = 0.5 // of a slow answer's time
	burstJobs         = 120
	// maxSecondRatio limits the second largest injected delay relative to the
	// largest. Above it the cause is ambiguous and the answer is not counted.
	maxSecondRatio = 0.9
	minDelay       = 100 * time.Microsecond // of a message without an injected fault
	maxDelay       = 600 * time.Microsecond // of a message without an injected fault
)

// simulation is one run with a fixed seed.
type simulation struct {
	*emulator.Emulator
	matrix         *ConfusionMatrix
	models         map[string]*verdict.Model
	truths         map[job.TaskID]*groundTruth
	submitted      map[job.ID]*submittedJob
	fault          Fault
	faultActive    bool
	targetMinion   *emulator.Minion
	targetHost     *emulator.Host
	runFactor      float64 // multiplies run times
	jobCount       int
	faultFreeTimes []time.Duration     // response times before the first fault
	slowThreshold  time.Duration       // 99% quantile of faultFreeTimes
	freezes        map[string]interval // last suspension by host
}

// submittedJob is a job as its caller sees it.
type submittedJob struct {
	entry       *emulator.Host
	submittedAt time.Time
	attempt     int
	receive     time.Duration // time that the caller takes to send the request
}

type interval struct{ from, to time.Time }

// overlap returns the length of the intersection of i with from..to.
func (i interval) overlap(from, to time.Time) time.Duration {
	if i.from.After(from) {
		from = i.from
	}
	if i.to.Before(to) {
		to = i.to
	}
	return max(0, to.Sub(from))
}

// groundTruth records what actually happened to one task.
type groundTruth struct {
	host          string    // host that sent the task
	doneAt        time.Time // when the host processed the outcome
	startAt       time.Time // when the minion started the run
	run           time.Duration
	extraRun      time.Duration // injected part of run
	runFault      Fault         // fault that caused extraRun
	sendDelay     time.Duration // from sending the task until the minion started it
	returnDelay   time.Duration // from the end of the run until the host processed the outcome
	timingOmitted bool          // the minion reported no time of its own
}

// roundTripDelay returns the delay injected on the link, for both directions
// together.
func (k *groundTruth) roundTripDelay() time.Duration {
	if k.sendDelay <= maxDelay {
		return 0
	}
	return 2 * k.sendDelay
}

// Run simulates the given number of episodes, injecting one fault in each and
// cycling through the faults, and adds the verdicts to m.
func Run(seed uint64, episodes int, m *ConfusionMatrix) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	t := &simulation{
		Emulator: emulator.New(seed, start), matrix: m, runFactor: 1, freezes: make(map[string]interval),
		models: make(map[string]*verdict.Model), truths: make(map[job.TaskID]*groundTruth), submitted: make(map[job.ID]*submittedJob),
	}
	for i := range m.Counts {
		if m.Counts[i] == nil {
			m.Counts[i] = make(map[job.Part]int)
		}
	}
	t.Net = emulator.Network{MinDelay: minDelay, MaxDelay: maxDelay}
	t.build()
	end := warmUp + time.Duration(episodes)*(faultDuration+recoveryDuration)
	t.After(warmUp/2, t.submitNext)
	t.After(heartbeatInterval, t.recordPeerRoundTrips)
	t.After(warmUp, func() {
		slices.Sort(t.faultFreeTimes)
		t.slowThreshold = t.faultFreeTimes[len(t.faultFreeTimes)*99/100]
	})
	for i := range episodes {
		t.After(warmUp+time.Duration(i)*(faultDuration+recoveryDuration), func() { t.beginEpisode(Fault(i % int(numFaults))) })
	}
	t.RunUntil(start.Add(end))
}

func (t *simulation) build() {
	var all []membership.Host
	for i := range numHosts {
		all = append(all, membership.Host{Name: fmt.Sprintf("h%d", i), FailureDomain: "a", Region: "r"})
	}
	for i, h := range all {
		peers := append(append([]membership.Host(nil), all[:i]...), all[i+1:]...)
		model := verdict.NewModel(h.Name)
		t.models[h.Name] = model
		cfg := hostConfig(h, peers)
		cfg.SetVerdict = model.SetVerdict
		t.AddHost(cfg, tickInterval)
	}
	for i := range numMinions {
		a := minion.Announcement{
			Name: fmt.Sprintf("m%d", i), Worker: "w", Rack: "r", FailureDomain: "a", Services: []string{service},
			Slots: numSlots, Connections: 64, Address: fmt.Sprintf("m%d:1", i), Generation: 1,
		}
		var m *emulator.Minion
		m = t.AddMinion(a, t.Hosts(), func(s engine.Start) time.Duration { return t.runTime(m, s) })
	}
	t.OnInput = func(h *emulator.Host, now time.Time) { t.models[h.Name].RecordActivity(now) }
	t.OnStartSent = t.handleSend
	t.OnStart = t.handleStart
	t.OnOutcome = t.handleOutcome
	t.OnAnswer = t.handleAnswer
}

// recordPeerRoundTrips passes the round trips between hosts to the models, as often
// as the hosts measure them.
func (t *simulation) recordPeerRoundTrips() {
	for _, h := range t.Hosts() {
		for _, p := range h.Engine.Members().All() {
			t.models[h.Name].RecordPeerRoundTrip(p.Name, p.LastRoundTrip)
		}
	}
	t.After(heartbeatInterval, t.recordPeerRoundTrips)
}

func hostConfig(self membership.Host, peers []membership.Host) engine.Config {
	return engine.Config{
		Host: self, Peers: peers, MinionLease: 2500 * time.Millisecond, HeartbeatEvery: heartbeatInterval,
		PeerTimeout: 5 * time.Second, RetryBudget: 1000, BusyPause: 5 * time.Millisecond,
		LocateTimeout: 10 * time.Second, LocateResend: 9 * time.Second, FollowTimeout: deadline, MaxSearches: 1000,
		Jobs: job.Limits{MaxActive: 100000, MaxRecords: 1000000, MaxAnswerBytes: 1 << 20, KeyLifetime: time.Minute, ClockError: 10 * time.Millisecond},
	}
}

// runTime returns a random run time for a task and records how much of it is
// injected.
func (t *simulation) runTime(m *emulator.Minion, s engine.Start) time.Duration {
	normal := time.Duration(float64(medianRun) * math.Exp(runSigma*t.Rand().NormFloat64()))
	run := normal
	switch {
	case t.faultActive && t.fault == FaultService, t.faultActive && t.fault == FaultStraggler && m == t.targetMinion:
		run = time.Duration(float64(normal) * t.runFactor)
	}
	k := t.truths[s.Task]
	k.run, k.extraRun, k.runFault = run, run-normal, t.fault
	return run
}

// handleStart records that a minion started a task.
func (t *simulation) handleStart(h *emulator.Host, _ *emulator.Minion, s engine.Start, _ int) {
	t.truths[s.Task] = &groundTruth{host: h.Name, startAt: t.Now()}
}

// handleSend passes a task that a host sends to the model of that host.
func (t *simulation) handleSend(h *emulator.Host, s engine.Start) {
	t.models[h.Name].RecordStart(t.Now(), s.Service, s.Minion, s.Task)
}

// handleOutcome passes the outcome of a task to the model of its host.
func (t *simulation) handleOutcome(h *emulator.Host, s engine.Start, o job.Outcome, disproved bool) {
	if disproved {
		t.models[h.Name].RecordDisprovedStart(s.Service, s.Task)
		return
	}
	t.models[h.Name].RecordOutcome(s.Service, s.Minion, s.Task, o)
	k := t.truths[s.Task]
	k.sendDelay = k.startAt.Sub(o.SentAt)
	k.returnDelay = t.Now().Sub(k.startAt) - k.run
	k.timingOmitted = o.Own == 0
	k.doneAt = t.Now()
}

// beginEpisode injects a fault into random targets and schedules its end.
func (t *simulation) beginEpisode(f Fault) {
	t.fault, t.faultActive = f, true
	t.targetMinion = t.Minion(fmt.Sprintf("m%d", t.Rand().IntN(numMinions)))
	t.targetHost = t.Hosts()[t.Rand().IntN(numHosts)]
	delay := time.Duration(600+t.Rand().IntN(900)) * time.Millisecond
	t.runFactor = 10 + 10*t.Rand().Float64()
	if f == FaultService {
		t.runFactor = 6 + 2*t.Rand().Float64()
	}
	switch f {
	case FaultLink:
		t.targetMinion.LinkDelay = delay
	case FaultOmittedTiming:
		t.targetMinion.LinkDelay = delay
		t.targetMinion.OmitTiming = true
	case FaultQueue:
		for range burstJobs {
			t.submit(1)
		}
	case FaultControl, FaultPeer:
		t.PeerDelay = delay
	case FaultHost:
		t.targetHost.Freeze()
		t.freezes[t.targetHost.Name] = interval{t.Now(), t.Now().Add(faultDuration)}
	}
	t.After(faultDuration, t.endEpisode)
}

// endEpisode removes the injected fault.
func (t *simulation) endEpisode() {
	t.faultActive = false
	t.targetMinion.LinkDelay = 0
	t.targetMinion.OmitTiming = false
	t.PeerDelay = 0
	t.targetHost.Resume()
}

// submitNext submits a job every submitInterval. Under FaultControl jobs are
// second attempts, so that the entry host must locate the owner of the key.
func (t *simulation) submitNext() {
	attempt := 1
	if t.faultActive && t.fault == FaultControl {
		attempt = 2
	}
	t.submit(attempt)
	t.After(submitInterval, t.submitNext)
}

func (t *simulation) submit(attempt int) {
	t.jobCount++
	s := job.Submission{
		ID: job.ID{Team: team, Key: fmt.Sprint(t.jobCount)}, Attempt: attempt, Service: service, SubmittedAt: t.Now(),
		Tasks: make([]job.Task, 1+t.Rand().IntN(maxTasks)),
	}
	if t.faultActive && t.fault == FaultCaller {
		s.Receive = time.Duration(500+t.Rand().IntN(5000)) * time.Millisecond
	}
	h := t.Hosts()[t.Rand().IntN(numHosts)]
	t.submitted[s.ID] = &submittedJob{entry: h, submittedAt: t.Now(), attempt: attempt, receive: s.Receive}
	h.Submit(s, deadline, func(*job.Answer, *result.Error) {})
}

// handleAnswer compares the verdict on a slow answer with the injected delay.
func (t *simulation) handleAnswer(h *emulator.Host, a *job.Answer) {
	j := t.submitted[a.ID]
	if a.Code != result.OK || j.entry != h {
		return // the job failed, or h only dispatched it for another host
	}
	t.matrix.Answers++
	responseTime := t.Now().Sub(j.submittedAt) + j.receive
	if t.slowThreshold == 0 {
		t.faultFreeTimes = append(t.faultFreeTimes, responseTime)
		return
	}
	f, where, injected := t.largestInjectedDelay(a, j)
	if responseTime < t.slowThreshold || float64(injected) < minInjectedShare*float64(responseTime) {
		return
	}
	v := a.Breakdown.Verdict
	t.matrix.Slow[f]++
	t.matrix.Counts[f][v.Part]++
	if v.Part == f.expectedPart() && v.Where == where {
		t.matrix.Correct[f]++
	}
}

// largestInjectedDelay returns the largest delay that was injected into the answer,
// or zero if the second largest is about as large.
func (t *simulation) largestInjectedDelay(a *job.Answer, j *submittedJob) (f Fault, where string, delay time.Duration) {
	h, name := j.entry, a.Breakdown.Minion
	k := t.truths[job.TaskID{Job: a.ID, Index: a.Breakdown.Task}]
	sent := k.startAt.Add(-k.sendDelay)
	dispatcherAccepted := t.Host(k.host).Engine.Jobs().Get(a.ID).Answer().Accepted
	pausedBefore := t.freezes[k.host].overlap(j.submittedAt, dispatcherAccepted)
	pausedInQueue := t.freezes[k.host].overlap(dispatcherAccepted, sent)
	pausedOnReturn := t.freezes[h.Name].overlap(k.doneAt, t.Now())
	peerDelay := max(0, dispatcherAccepted.Sub(a.Accepted)-pausedBefore) + max(0, t.Now().Sub(k.doneAt)-pausedOnReturn)
	link := injectedDelay{FaultLink, k.host + " to " + name, k.roundTripDelay()}
	if k.timingOmitted {
		link.fault, link.where = FaultOmittedTiming, name
	}
	control := injectedDelay{FaultControl, h.Name, 0}
	if j.attempt > 1 {
		control.delay = a.Accepted.Sub(j.submittedAt)
	}
	worst, second := link, injectedDelay{}
	for _, d := range []injectedDelay{
		control,
		{FaultQueue, k.host, sent.Sub(dispatcherAccepted) - pausedInQueue},
		{k.runFault, name, k.extraRun},
		{FaultCaller, team, j.receive},
		{FaultHost, k.host, pausedBefore + pausedInQueue + max(0, k.returnDelay-k.roundTripDelay()/2)},
		{FaultPeer, h.Name + " to " + k.host, peerDelay},
		{FaultHost, h.Name, pausedOnReturn},
	} {
		if d.delay > worst.delay {
			worst, second = d, worst
		} else if d.delay > second.delay {
			second = d
		}
	}
	if float64(second.delay) > maxSecondRatio*float64(worst.delay) {
		return 0, "", 0
	}
	return worst.fault, worst.where, worst.delay
}

// injectedDelay is the delay of one answer by one fault.
type injectedDelay struct {
	fault Fault
	where string
	delay time.Duration
}
