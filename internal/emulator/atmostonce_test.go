package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	clockError  = 200 * time.Millisecond
	keyLifetime = 20 * time.Second
	runLength   = 60 * time.Second
	tickEvery   = 20 * time.Millisecond
	fixedSeeds  = 40 // runs in CI
)

func hostConfig(self membership.Host, all []membership.Host) engine.Config {
	c := engine.Config{
		Host: self, MinionLease: 2500 * time.Millisecond, HeartbeatEvery: 500 * time.Millisecond,
		PeerTimeout: 2 * time.Second, RetryBudget: 8, BusyPause: 5 * time.Millisecond,
		LocateTimeout: 500 * time.Millisecond, LocateResend: 100 * time.Millisecond,
		FollowTimeout: 10 * time.Second, MaxSearches: 1000,
		Jobs: job.Limits{MaxActive: 1000, MaxRecords: 100000, MaxAnswerBytes: 1 << 20, KeyLifetime: keyLifetime, ClockError: clockError},
	}
	for _, h := range all {
		if h != self {
			c.Peers = append(c.Peers, h)
		}
	}
	return c
}

// ledger records what really happened, and checks it against the answers.
type ledger struct {
	t      *testing.T
	seed   uint64
	starts map[job.TaskID]int
	// notRun is the highest attempt of each job that was answered as not run.
	notRun map[job.ID]int
	// first is the lowest attempt whose host started tasks of the job.
	first map[job.ID]int
	codes map[result.Code]int
}

func (l *ledger) started(h *Host, s engine.Start, attempt int) {
	l.starts[s.Task]++
	must.Eq(l.t, 1, l.starts[s.Task], must.Sprintf("seed %d: second start of %v on %s", l.seed, s.Task, h.Name))
	if first, ok := l.first[s.Task.Job]; !ok || attempt < first {
		l.first[s.Task.Job] = attempt
	}
	l.check(s.Task.Job)
}

func (l *ledger) answered(id job.ID, attempt int, code result.Code) {
	l.codes[code]++
	if code.Class() == result.NotRun {
		l.notRun[id] = max(l.notRun[id], attempt)
	}
	l.check(id)
}

// check holds "not run" against the starts: it covers its own attempt and the
// earlier ones, before and after the answer.
func (l *ledger) check(id job.ID) {
	first, started := l.first[id]
	if !started {
		return
	}
	must.Less(l.t, first, l.notRun[id], must.Sprintf("seed %d: job %s answered as not run, but started", l.seed, id))
}

// chaos is one randomised run: hosts, minions, callers and faults.
type chaos struct {
	*Emulator
	*ledger
	jobs int
}

func newChaos(t *testing.T, seed uint64) *chaos {
	c := &chaos{Emulator: New(seed, start), ledger: &ledger{
		t: t, seed: seed, starts: map[job.TaskID]int{}, notRun: map[job.ID]int{}, first: map[job.ID]int{}, codes: map[result.Code]int{},
	}}
	c.Net = Network{MinDelay: 100 * time.Microsecond, MaxDelay: 3 * time.Millisecond, Loss: 0.05, Duplicate: 0.05, Broken: 0.01, Refused: 0.05}
	c.OnStart = func(h *Host, _ *Minion, s engine.Start, attempt int) { c.started(h, s, attempt) }
	c.OnAnswer = c.final
	all := []membership.Host{
		{Name: "a1", FailureDomain: "a", Region: "r"}, {Name: "a2", FailureDomain: "a", Region: "r"},
		{Name: "a3", FailureDomain: "a", Region: "r"}, {Name: "b1", FailureDomain: "b", Region: "r"},
	}
	for _, h := range all {
		added := c.AddHost(hostConfig(h, all), tickEvery)
		added.ClockError = time.Duration(c.Rand().Int64N(int64(clockError))) - clockError/2
	}
	for i := range 4 {
		c.addMinion(fmt.Sprintf("ma%d", i), "a", c.Hosts()[:3])
	}
	c.addMinion("mb", "b", c.Hosts()[3:])
	return c
}

func (c *chaos) addMinion(name, domain string, hosts []*Host) {
	a := minion.Announcement{
		Name: name, Worker: name, Rack: "r", FailureDomain: domain, Services: []string{"s"},
		Slots: 2, Connections: 8, Address: name + ":1", Generation: 1,
	}
	c.AddMinion(a, hosts, func(engine.Start) time.Duration {
		return time.Duration(c.Rand().Int64N(int64(300 * time.Millisecond)))
	})
}

// final checks a final answer against what was started. It goes to every
// attempt that waits at the host; the highest possible one is assumed for an
// answer of a host that owns the job.
func (c *chaos) final(h *Host, a *job.Answer) {
	j := h.Engine.Jobs().Get(a.ID)
	if j == nil {
		c.codes[a.Code]++
		return
	}
	c.answered(a.ID, j.Attempt, a.Code)
	if a.Code == result.OK {
		for i, r := range a.Results {
			must.Eq(c.t, 1, c.starts[job.TaskID{Job: a.ID, Index: i}])
			must.Eq(c.t, payload(a.ID, i), string(r))
		}
	}
}

func payload(id job.ID, i int) string { return fmt.Sprintf("%s/%d", id.Key, i) }

func (c *chaos) anyHost() *Host { return c.Hosts()[c.Rand().IntN(len(c.Hosts()))] }

// submitJob sends the first attempt of a new job, possibly late, and later
// attempts to any host.
func (c *chaos) submitJob() {
	c.jobs++
	s := job.Submission{
		ID: job.ID{Team: "t", Key: fmt.Sprint(c.jobs)}, Attempt: 1, Service: "s",
		SubmittedAt: c.Now(), Digest: 1, Tasks: make([]job.Task, 1+c.Rand().IntN(6)),
	}
	for i := range s.Tasks {
		s.Tasks[i].Payload = []byte(payload(s.ID, i))
	}
	c.attempt(s, c.pick(0.9, 0, 30*time.Second))
	for c.Rand().Float64() < 0.5 && s.Attempt < 5 {
		s.Attempt++
		c.attempt(s, c.pick(0.5, 50*time.Millisecond, 30*time.Second))
	}
	if c.Rand().Float64() < 0.2 {
		c.After(c.pick(0.9, 100*time.Millisecond, 10*time.Second), func() {
			h := c.anyHost()
			h.Do(func(now time.Time) { _, _ = h.Engine.Lookup(now, s.ID, true) })
		})
	}
}

// pick returns a delay up to soon with probability p, else up to late.
func (c *chaos) pick(p float64, soon, late time.Duration) time.Duration {
	if c.Rand().Float64() < p {
		return time.Duration(c.Rand().Int64N(int64(soon) + 1))
	}
	return time.Duration(c.Rand().Int64N(int64(late)))
}

func (c *chaos) attempt(s job.Submission, after time.Duration) {
	deadline := time.Duration(c.Rand().Int64N(int64(3 * time.Second)))
	c.After(after, func() {
		h := c.anyHost()
		h.Submit(s, deadline, func(a *job.Answer, err *result.Error) {
			switch {
			case err != nil:
				c.answered(s.ID, s.Attempt, err.Code)
			case a != nil:
				c.codes[a.Code]++
			}
		})
	})
}

// fault injects one fault and schedules its end.
func (c *chaos) fault() {
	h := c.anyHost()
	for_ := time.Duration(c.Rand().Int64N(int64(8 * time.Second)))
	switch c.Rand().IntN(6) {
	case 0:
		h.Kill()
		c.After(for_, func() { h.Restart() })
	case 1:
		h.Freeze()
		c.After(for_, h.Resume)
	case 2:
		c.Cut(h.Name, c.anyHost().Name)
		c.After(for_, c.Heal)
	case 3:
		m := c.Minion(fmt.Sprintf("ma%d", c.Rand().IntN(4)))
		m.Kill()
		c.After(for_, m.Restart)
	case 4:
		m := c.Minion(fmt.Sprintf("ma%d", c.Rand().IntN(4)))
		m.Leave()
		c.After(for_, m.Restart)
	case 5:
		for range 20 {
			c.submitJob()
		}
	}
}

func (c *chaos) run() {
	for at := 2 * time.Second; at < runLength; at += 40 * time.Millisecond {
		c.After(at, c.submitJob)
	}
	for at := 3 * time.Second; at < runLength; at += time.Second {
		c.After(at, c.fault)
	}
	c.RunUntil(start.Add(2 * runLength))
}

// No task starts twice, every complete answer is its own, and "not run" is
// true, under lost, late and doubled messages, repeated submissions, deaths,
// restarts, freezes, cuts and cancellations.
func TestAtMostOnceUnderFaults(t *testing.T) {
	codes := map[result.Code]int{}
	for seed := range uint64(fixedSeeds) {
		c := newChaos(t, seed)
		c.run()
		for code, n := range c.codes {
			codes[code] += n
		}
	}
	t.Logf("answers by code: %v", codes)
	for _, code := range []result.Code{result.OK, result.OwnerUnknown, result.StartUnknown, result.DeadlineUnknown, result.CancelledMaybe} {
		must.Positive(t, codes[code], must.Sprintf("code %d was never seen", code))
	}
}
