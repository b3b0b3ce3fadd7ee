// Package trial injects delays into emulated hosts, links and minions in
// virtual time and holds the verdict on each slow answer against what was
// injected.
//
// An answer is slow when it took longer than 99% of the answers before the
// first fault, and an injected delay is at least half of its time.
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

// Faults, in the order of Matrix rows.
const (
	FaultLink      Fault = iota // one minion's link, both ways
	FaultQueue                  // a burst beyond the slots
	FaultService                // every run of the service
	FaultStraggler              // every run on one minion
	FaultControl                // messages between hosts, while a key's owner is looked for
	FaultCaller                 // the caller sends its request slowly
	FaultHost                   // the host stands still
	FaultPeer                   // messages between hosts, while one dispatches for the other
	FaultUnmetered              // the link of a minion that does not report its own time
	numFaults
)

// String returns the fault's name in tables.
func (f Fault) String() string {
	return [...]string{"link", "queue", "service", "straggler", "control", "caller", "host", "peer link", "unmetered link"}[f]
}

// want returns the part that the verdict must name.
func (f Fault) want() job.Part {
	return [...]job.Part{
		job.PartNetwork, job.PartQueue, job.PartMinionRun, job.PartStraggler, job.PartControl,
		job.PartCaller, job.PartHost, job.PartNetwork, job.PartUnknown,
	}[f]
}

// Parts are the columns of a Matrix.
var Parts = []job.Part{
	job.PartNetwork, job.PartQueue, job.PartMinionRun, job.PartStraggler, job.PartControl,
	job.PartCaller, job.PartHost, job.PartUnknown,
}

// Matrix counts the slow answers by injected fault and by verdict.
type Matrix struct {
	Counts  [numFaults]map[job.Part]int
	Right   [numFaults]int // the part and the place
	Slow    [numFaults]int
	Answers int // all, slow or not
}

// Faults returns every fault in the order of the rows.
func Faults() []Fault {
	out := make([]Fault, numFaults)
	for i := range out {
		out[i] = Fault(i)
	}
	return out
}

// Total returns the slow answers and those with the right verdict.
func (m *Matrix) Total() (slow, right int) {
	for i := range m.Slow {
		slow += m.Slow[i]
		right += m.Right[i]
	}
	return slow, right
}

const (
	numHosts   = 2
	numMinions = 12
	numSlots   = 8
	service    = "despacho"
	team       = "patio"
	warmUp     = 20 * time.Second
	faultFor   = 2 * time.Second
	restFor    = 8 * time.Second
	deadline   = 60 * time.Second
	jobEvery   = 30 * time.Millisecond
	maxTasks   = 8
	tickEvery  = 10 * time.Millisecond

	heartbeatEvery = 500 * time.Millisecond
	medianRun      = 200 * time.Millisecond
	runSigma       = 0.5 // of the log-normal run times
	slowShare      = 0.5
	burstJobs      = 120
	ambiguous      = 0.9 // two injected delays closer than this are not judged
	minDelay       = 100 * time.Microsecond
	maxDelay       = 600 * time.Microsecond
)

// trial is one seeded run.
type trial struct {
	*emulator.Emulator
	matrix    *Matrix
	models    map[string]*verdict.Model
	tasks     map[job.TaskID]*truth
	submitted map[job.ID]*submitted
	fault     Fault
	active    bool
	target    *emulator.Minion
	host      *emulator.Host
	factor    float64 // on run times
	jobs      int
	healthy   []time.Duration // answers before the first fault
	slowest   time.Duration   // 99% quantile of healthy
	freezes   map[string]interval
}

// submitted is what the caller knows of a job.
type submitted struct {
	entry   *emulator.Host
	at      time.Time
	attempt int
	receive time.Duration
}

type interval struct{ from, to time.Time }

func (i interval) overlap(from, to time.Time) time.Duration {
	if i.from.After(from) {
		from = i.from
	}
	if i.to.Before(to) {
		to = i.to
	}
	return max(0, to.Sub(from))
}

// truth is what really happened to one task.
type truth struct {
	host      string // that started the task
	doneAt    time.Time
	startAt   time.Time
	run       time.Duration
	extraRun  time.Duration
	runFault  Fault
	there     time.Duration // from sending until the start
	back      time.Duration // from the end of the run until the host handled it
	unmetered bool
}

// link returns the delay that was injected on both ways.
func (k *truth) link() time.Duration {
	if k.there <= maxDelay {
		return 0
	}
	return 2 * k.there
}

// Run injects one episode of each fault in turn until episodes have passed,
// and adds the verdicts to m.
func Run(seed uint64, episodes int, m *Matrix) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	t := &trial{
		Emulator: emulator.New(seed, start), matrix: m, factor: 1, freezes: make(map[string]interval),
		models: make(map[string]*verdict.Model), tasks: make(map[job.TaskID]*truth), submitted: make(map[job.ID]*submitted),
	}
	for i := range m.Counts {
		if m.Counts[i] == nil {
			m.Counts[i] = make(map[job.Part]int)
		}
	}
	t.Net = emulator.Network{MinDelay: minDelay, MaxDelay: maxDelay}
	t.build()
	end := warmUp + time.Duration(episodes)*(faultFor+restFor)
	t.After(warmUp/2, t.submitNext)
	t.After(heartbeatEvery, t.observePeers)
	t.After(warmUp, func() {
		slices.Sort(t.healthy)
		t.slowest = t.healthy[len(t.healthy)*99/100]
	})
	for i := range episodes {
		t.After(warmUp+time.Duration(i)*(faultFor+restFor), func() { t.begin(Fault(i % int(numFaults))) })
	}
	t.RunUntil(start.Add(end))
}

func (t *trial) build() {
	var all []membership.Host
	for i := range numHosts {
		all = append(all, membership.Host{Name: fmt.Sprintf("h%d", i), FailureDomain: "a", Region: "r"})
	}
	for i, h := range all {
		peers := append(append([]membership.Host(nil), all[:i]...), all[i+1:]...)
		model := verdict.NewModel(h.Name)
		t.models[h.Name] = model
		cfg := hostConfig(h, peers)
		cfg.SetVerdict = model.Answer
		t.AddHost(cfg, tickEvery)
	}
	for i := range numMinions {
		a := minion.Announcement{
			Name: fmt.Sprintf("m%d", i), Worker: "w", Rack: "r", FailureDomain: "a", Services: []string{service},
			Slots: numSlots, Connections: 64, Address: fmt.Sprintf("m%d:1", i), Generation: 1,
		}
		var m *emulator.Minion
		m = t.AddMinion(a, t.Hosts(), func(s engine.Start) time.Duration { return t.runTime(m, s) })
	}
	t.OnInput = func(h *emulator.Host, now time.Time) { t.models[h.Name].Beat(now) }
	t.OnSend = t.sent
	t.OnStart = t.started
	t.OnOutcome = t.finished
	t.OnAnswer = t.answered
}

// observePeers gives every model the round trips that its host measured.
func (t *trial) observePeers() {
	for _, h := range t.Hosts() {
		for _, p := range h.Engine.Members().All() {
			t.models[h.Name].ObservePeer(p.Name, p.LastRoundTrip)
		}
	}
	t.After(heartbeatEvery, t.observePeers)
}

func hostConfig(self membership.Host, peers []membership.Host) engine.Config {
	return engine.Config{
		Host: self, Peers: peers, MinionLease: 2500 * time.Millisecond, HeartbeatEvery: heartbeatEvery,
		PeerTimeout: 5 * time.Second, RetryBudget: 1000, BusyPause: 5 * time.Millisecond,
		LocateTimeout: 10 * time.Second, LocateResend: 9 * time.Second, FollowTimeout: deadline, MaxSearches: 1000,
		Jobs: job.Limits{MaxActive: 100000, MaxRecords: 1000000, MaxAnswerBytes: 1 << 20, KeyLifetime: time.Minute, ClockError: 10 * time.Millisecond},
	}
}

// runTime draws a run time and notes how much of it was injected.
func (t *trial) runTime(m *emulator.Minion, s engine.Start) time.Duration {
	usual := time.Duration(float64(medianRun) * math.Exp(runSigma*t.Rand().NormFloat64()))
	run := usual
	switch {
	case t.active && t.fault == FaultService, t.active && t.fault == FaultStraggler && m == t.target:
		run = time.Duration(float64(usual) * t.factor)
	}
	k := t.tasks[s.Task]
	k.run, k.extraRun, k.runFault = run, run-usual, t.fault
	return run
}

func (t *trial) started(h *emulator.Host, _ *emulator.Minion, s engine.Start, _ int) {
	t.tasks[s.Task] = &truth{host: h.Name, startAt: t.Now()}
}

func (t *trial) sent(h *emulator.Host, s engine.Start) {
	t.models[h.Name].Started(t.Now(), s.Service, s.Minion, s.Task)
}

func (t *trial) finished(h *emulator.Host, s engine.Start, o job.Outcome, disproved bool) {
	if disproved {
		t.models[h.Name].Disproved(s.Service, s.Task)
		return
	}
	t.models[h.Name].Observe(s.Service, s.Minion, s.Task, o)
	k := t.tasks[s.Task]
	k.there = k.startAt.Sub(o.SentAt)
	k.back = t.Now().Sub(k.startAt) - k.run
	k.unmetered = o.Own == 0
	k.doneAt = t.Now()
}

// begin starts an episode and schedules its end.
func (t *trial) begin(f Fault) {
	t.fault, t.active = f, true
	t.target = t.Minion(fmt.Sprintf("m%d", t.Rand().IntN(numMinions)))
	t.host = t.Hosts()[t.Rand().IntN(numHosts)]
	delay := time.Duration(600+t.Rand().IntN(900)) * time.Millisecond
	t.factor = 10 + 10*t.Rand().Float64()
	if f == FaultService {
		t.factor = 6 + 2*t.Rand().Float64()
	}
	switch f {
	case FaultLink:
		t.target.LinkDelay = delay
	case FaultUnmetered:
		t.target.LinkDelay = delay
		t.target.Unmetered = true
	case FaultQueue:
		for range burstJobs {
			t.submit(1)
		}
	case FaultControl, FaultPeer:
		t.PeerDelay = delay
	case FaultHost:
		t.host.Freeze()
		t.freezes[t.host.Name] = interval{t.Now(), t.Now().Add(faultFor)}
	}
	t.After(faultFor, t.end)
}

func (t *trial) end() {
	t.active = false
	t.target.LinkDelay = 0
	t.target.Unmetered = false
	t.PeerDelay = 0
	t.host.Resume()
}

func (t *trial) submitNext() {
	attempt := 1
	if t.active && t.fault == FaultControl {
		attempt = 2
	}
	t.submit(attempt)
	t.After(jobEvery, t.submitNext)
}

func (t *trial) submit(attempt int) {
	t.jobs++
	s := job.Submission{
		ID: job.ID{Team: team, Key: fmt.Sprint(t.jobs)}, Attempt: attempt, Service: service, SubmittedAt: t.Now(),
		Tasks: make([]job.Task, 1+t.Rand().IntN(maxTasks)),
	}
	if t.active && t.fault == FaultCaller {
		s.Receive = time.Duration(500+t.Rand().IntN(5000)) * time.Millisecond
	}
	h := t.Hosts()[t.Rand().IntN(numHosts)]
	t.submitted[s.ID] = &submitted{entry: h, at: t.Now(), attempt: attempt, receive: s.Receive}
	h.Submit(s, deadline, func(*job.Answer, *result.Error) {})
}

// answered judges the answer and holds the verdict against the injection.
func (t *trial) answered(h *emulator.Host, a *job.Answer) {
	j := t.submitted[a.ID]
	if a.Code != result.OK || j.entry != h {
		return // the dispatching host's record of another host's job
	}
	t.matrix.Answers++
	whole := t.Now().Sub(j.at) + j.receive
	if t.slowest == 0 {
		t.healthy = append(t.healthy, whole)
		return
	}
	f, where, injected := t.injected(a, j)
	if whole < t.slowest || float64(injected) < slowShare*float64(whole) {
		return
	}
	v := a.Breakdown.Verdict
	t.matrix.Slow[f]++
	t.matrix.Counts[f][v.Part]++
	if v.Part == f.want() && v.Where == where {
		t.matrix.Right[f]++
	}
}

// injected returns the largest delay that was injected into the answer.
func (t *trial) injected(a *job.Answer, j *submitted) (f Fault, where string, delay time.Duration) {
	h, name := j.entry, a.Breakdown.Minion
	k := t.tasks[job.TaskID{Job: a.ID, Index: a.Breakdown.Task}]
	sent := k.startAt.Add(-k.there)
	taken := t.Host(k.host).Engine.Jobs().Get(a.ID).Answer().Accepted // by the host that dispatches
	waiting := t.freezes[k.host].overlap(j.at, taken)
	queueing := t.freezes[k.host].overlap(taken, sent)
	returning := t.freezes[h.Name].overlap(k.doneAt, t.Now())
	between := max(0, taken.Sub(a.Accepted)-waiting) + max(0, t.Now().Sub(k.doneAt)-returning)
	link := delayed{FaultLink, k.host + " to " + name, k.link()}
	if k.unmetered {
		link.fault, link.where = FaultUnmetered, name
	}
	control := delayed{FaultControl, h.Name, 0}
	if j.attempt > 1 {
		control.delay = a.Accepted.Sub(j.at)
	}
	worst, second := link, delayed{}
	for _, d := range []delayed{
		control,
		{FaultQueue, k.host, sent.Sub(taken) - queueing},
		{k.runFault, name, k.extraRun},
		{FaultCaller, team, j.receive},
		{FaultHost, k.host, waiting + queueing + max(0, k.back-k.link()/2)},
		{FaultPeer, h.Name + " to " + k.host, between},
		{FaultHost, h.Name, returning},
	} {
		if d.delay > worst.delay {
			worst, second = d, worst
		} else if d.delay > second.delay {
			second = d
		}
	}
	if float64(second.delay) > ambiguous*float64(worst.delay) {
		return 0, "", 0
	}
	return worst.fault, worst.where, worst.delay
}

// delayed is a delay that was injected into one answer.
type delayed struct {
	fault Fault
	where string
	delay time.Duration
}
