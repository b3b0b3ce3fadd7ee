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
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	clockError  = 200 * time.Millisecond
	keyLifetime = 20 * time.Second
	runLength   = 40 * time.Second
	tickEvery   = 20 * time.Millisecond
	transit     = 3 * time.Millisecond // of most submissions
	maxDeadline = 3 * time.Second
)

func hostConfig(self membership.Host, all []membership.Host) engine.Config {
	c := engine.Config{
		Host: self, MinionLease: 2500 * time.Millisecond, HeartbeatEvery: 500 * time.Millisecond,
		PeerTimeout: 2 * time.Second, RetryBudget: 8, BusyPause: 5 * time.Millisecond,
		LocateTimeout: 500 * time.Millisecond, LocateResend: 100 * time.Millisecond,
		FollowTimeout: 10 * time.Second, MaxSearches: 1000,
		Jobs: job.Limits{MaxActive: 12, MaxRecords: 100000, MaxAnswerBytes: 1 << 20, KeyLifetime: keyLifetime, ClockError: clockError},
	}
	for _, h := range all {
		if h != self {
			c.Peers = append(c.Peers, h)
		}
	}
	return c
}

// chaos is one randomised run: hosts, minions, callers and faults.
type chaos struct {
	*Emulator
	*ledger
	jobs int
}

func newChaos(t *testing.T, seed uint64) *chaos {
	c := &chaos{Emulator: New(seed, start)}
	c.ledger = newLedger(t, seed, c.Now)
	c.Net = Network{MinDelay: 100 * time.Microsecond, MaxDelay: 3 * time.Millisecond, Loss: 0.05, Duplicate: 0.05, Broken: 0.01, Refused: 0.05}
	c.OnStart = func(h *Host, _ *Minion, s engine.Start, _ int) { c.started(h, s) }
	c.OnEnd = func(_ *Minion, s engine.Start, known bool) { c.ended(s, known) }
	c.OnSend = func(_ *Host, s engine.Start) { c.sending(c.Minion(s.Minion), s) }
	c.OnAnswer = c.final
	all := []membership.Host{
		{Name: "a1", FailureDomain: "a", Region: "r"}, {Name: "a2", FailureDomain: "a", Region: "r"},
		{Name: "a3", FailureDomain: "a", Region: "r"}, {Name: "b1", FailureDomain: "b", Region: "r"},
	}
	for _, h := range all {
		cfg := hostConfig(h, all)
		if seed%4 == 3 {
			shrink(&cfg)
		}
		added := c.AddHost(cfg, tickEvery)
		added.ClockError = c.clock()
	}
	for i := range 4 {
		c.addMinion(fmt.Sprintf("ma%d", i), "a", c.Hosts()[:3])
	}
	c.addMinion("mb", "b", c.Hosts()[3:])
	return c
}

// shrink sets limits that a run reaches: keys, searches and kept answers.
func shrink(c *engine.Config) {
	c.Jobs.MaxRecords = 60
	c.Jobs.MaxAnswerBytes = 4000
	c.MaxSearches = 3
}

// clock returns the error of one clock: two of them differ by up to the
// tolerated error.
func (c *chaos) clock() time.Duration { return c.below(clockError) - clockError/2 }

func (c *chaos) below(d time.Duration) time.Duration {
	return time.Duration(c.Rand().Int64N(int64(d)))
}

func (c *chaos) addMinion(name, domain string, hosts []*Host) {
	a := minion.Announcement{
		Name: name, Worker: name, Rack: "r", FailureDomain: domain, Services: []string{"s"},
		Slots: 2, Connections: 8, Address: name + ":1", Generation: 1,
	}
	c.AddMinion(a, hosts, func(engine.Start) time.Duration { return c.below(300 * time.Millisecond) })
}

func (c *chaos) anyHost() *Host { return c.Hosts()[c.Rand().IntN(len(c.Hosts()))] }

func (c *chaos) anyMinion() *Minion { return c.Minion(fmt.Sprintf("ma%d", c.Rand().IntN(4))) }

func (c *chaos) chance(p float64) bool { return c.Rand().Float64() < p }

// caller sends the attempts of one job.
type caller struct {
	*chaos
	id          job.ID
	numbered    bool
	tasks       int
	submittedAt time.Time // the caller's clock
}

// submitJob sends the first attempt of a new job and later ones, each to any
// host, some much delayed, few with another body; some jobs are cancelled.
func (c *chaos) submitJob() {
	c.jobs++
	k := &caller{
		chaos: c, id: job.ID{Team: "t", Key: fmt.Sprint(c.jobs)}, numbered: c.chance(0.8),
		tasks: 1 + c.Rand().IntN(6), submittedAt: c.Now().Add(c.clock()),
	}
	k.send(1, 0)
	after := time.Duration(0)
	for attempt := 2; attempt < 7 && c.chance(0.6); attempt++ {
		after += c.pick(0.5, 60*time.Millisecond, 8*time.Second)
		k.send(attempt, after)
	}
	if c.chance(0.2) {
		c.After(c.pick(0.7, 100*time.Millisecond, 10*time.Second), k.cancel)
	}
}

func (k *caller) cancel() {
	h := k.anyHost()
	h.Do(func(now time.Time) { _, _ = h.Engine.Lookup(now, k.id, true) })
}

// send sends one attempt after the given time.
func (k *caller) send(attempt int, after time.Duration) {
	s := &submitted{id: k.id, attempt: attempt, digest: 1, deadline: k.below(maxDeadline)}
	if !k.numbered {
		s.attempt = 0
	}
	if attempt > 1 && k.chance(0.03) {
		s.digest = 2
	}
	delay := k.pick(0.85, transit, 200*time.Millisecond)
	if k.chance(0.05) {
		delay = k.below(30 * time.Second)
	}
	h := k.anyHost()
	k.After(after, func() {
		k.ledger.send(s)
		k.After(delay, func() { k.deliver(h, s) })
	})
}

// deliver hands a submission to a host.
func (k *caller) deliver(h *Host, s *submitted) {
	sub := job.Submission{
		ID: s.id, Attempt: s.attempt, Service: "s", SubmittedAt: k.submittedAt, Digest: s.digest,
		Tasks: make([]job.Task, k.tasks),
	}
	for i := range sub.Tasks {
		sub.Tasks[i].Payload = payload(s, i)
	}
	h.Do(func(now time.Time) {
		sub.Deadline = now.Add(s.deadline)
		a, err := h.Engine.Submit(now, &sub)
		switch {
		case err != nil:
			k.answered(s, err.Code)
		case a != nil:
			k.complete(s, a)
		default:
			k.waits(h, s)
		}
	})
}

// pick returns a delay up to soon with probability p, else up to late.
func (c *chaos) pick(p float64, soon, late time.Duration) time.Duration {
	if c.chance(p) {
		return c.below(soon)
	}
	return c.below(late)
}

// fault injects one fault and schedules its end.
func (c *chaos) fault() {
	faults := []func(time.Duration){
		c.killHost, c.killHost, c.restartHost, c.restartHost, c.freezeHost, c.cutLink, c.cutDomain,
		c.killMinion, c.leaveMinion, c.silenceMinion, c.failMinion, c.burst, c.cancelWave, c.stopHost,
	}
	f := faults[c.Rand().IntN(len(faults))]
	lasts := c.below(6 * time.Second)
	f(lasts)
	if c.chance(0.3) { // the same again, soon after its end
		c.After(lasts+c.below(time.Second), func() { f(c.below(6 * time.Second)) })
	}
}

func (c *chaos) kill(h *Host) {
	c.forget(h)
	h.Kill()
}

func (c *chaos) killHost(lasts time.Duration) {
	h := c.anyHost()
	c.kill(h)
	c.After(lasts, func() { c.restart(h) })
}

func (c *chaos) restart(h *Host) {
	c.forget(h)
	h.Restart()
}

// restartHost replaces a process within the clock error, while keys that it
// may have accepted or fenced are in use.
func (c *chaos) restartHost(time.Duration) {
	h := c.anyHost()
	for range 10 {
		c.After(c.below(150*time.Millisecond), c.submitJob)
	}
	c.After(c.below(150*time.Millisecond), func() { c.restart(h) })
}

func (c *chaos) freezeHost(lasts time.Duration) {
	h := c.anyHost()
	h.Freeze()
	c.After(lasts, h.Resume)
}

func (c *chaos) cutLink(lasts time.Duration) {
	c.Cut(c.anyHost().Name, c.anyHost().Name)
	c.After(lasts, c.Heal)
}

// cutDomain isolates failure domain b in both directions.
func (c *chaos) cutDomain(lasts time.Duration) {
	for _, h := range c.Hosts()[:3] {
		c.Cut(h.Name, "b1")
		c.Cut("b1", h.Name)
	}
	c.After(lasts, c.Heal)
}

// quiet runs f, which makes a minion leave, die or fall silent.
func (c *chaos) quiet(f func(*Minion), lasts time.Duration) {
	m := c.anyMinion()
	f(m)
	c.After(lasts, m.Restart)
}

func (c *chaos) killMinion(lasts time.Duration)    { c.quiet((*Minion).Kill, lasts) }
func (c *chaos) leaveMinion(lasts time.Duration)   { c.quiet((*Minion).Leave, lasts) }
func (c *chaos) silenceMinion(lasts time.Duration) { c.quiet((*Minion).Silence, lasts) }

// failMinion lets a minion fail each task that it starts.
func (c *chaos) failMinion(lasts time.Duration) {
	m := c.anyMinion()
	m.Failing = true
	c.After(lasts, m.Restart)
}

func (c *chaos) burst(time.Duration) {
	for range 30 {
		c.submitJob()
	}
}

// cancelWave submits jobs and cancels each, at about the time of its starts.
func (c *chaos) cancelWave(time.Duration) {
	for range 20 {
		c.submitJob()
		k := &caller{chaos: c, id: job.ID{Team: "t", Key: fmt.Sprint(c.jobs)}}
		for range 2 {
			c.After(c.below(100*time.Millisecond), k.cancel)
		}
	}
}

// stopHost shuts a host down: it ends when nothing is in progress, and by then
// every submission that it took has its answer.
func (c *chaos) stopHost(lasts time.Duration) {
	h := c.anyHost()
	generation := h.Generation()
	h.Do(func(time.Time) { h.Engine.Stop() })
	var poll func()
	poll = func() {
		if h.Generation() != generation {
			return
		}
		if !h.Up() || h.frozen || !h.Engine.Stopping() || !h.Engine.ShutdownComplete() {
			c.After(tickEvery, poll)
			return
		}
		for id, list := range c.waiting[h.Name] {
			c.check(len(list) == 0, "%s waits on %s, which has stopped", id, h.Name)
		}
		c.kill(h)
		c.After(lasts, func() { c.restart(h) })
	}
	poll()
}

func (c *chaos) run() {
	for at := 2 * time.Second; at < runLength; at += 50 * time.Millisecond {
		c.After(at, c.submitJob)
	}
	for at := 3 * time.Second; at < runLength; at += 800 * time.Millisecond {
		c.After(at, c.fault)
		if c.chance(0.3) {
			c.After(at, c.fault) // two at once
		}
	}
	c.RunUntil(start.Add(runLength + 2*keyLifetime))
	c.finish()
}

// seen adds the answers by code.
func (c *chaos) seen(codes map[result.Code]int) {
	for code, n := range c.codes {
		codes[code] += n
	}
}
