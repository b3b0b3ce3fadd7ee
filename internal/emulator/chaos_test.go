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

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	clockError     = 200 * time.Millisecond
	keyLifetime    = 20 * time.Second
	runDuration    = 40 * time.Second
	tickInterval   = 20 * time.Millisecond
	typicalTransit = 3 * time.Millisecond // maximum delay of most submissions between caller and host
	maxDeadline    = 3 * time.Second
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
	*checker
	jobs int // submitted so far
}

func newChaos(t *testing.T, seed uint64) *chaos {
	c := &chaos{Emulator: New(seed, startTime)}
	c.checker = newChecker(t, seed, c.Now)
	c.Net = Network{MinDelay: 100 * time.Microsecond, MaxDelay: 3 * time.Millisecond, Loss: 0.05, Duplicate: 0.05, LostAnswers: 0.01, RefusedStarts: 0.05}
	c.OnStart = func(h *Host, _ *Minion, s engine.Start, _ int) { c.checkStart(h, s) }
	c.OnEnd = func(_ *Minion, s engine.Start, known bool) { c.recordEnd(s, known) }
	c.OnStartSent = func(_ *Host, s engine.Start) { c.checkStartSent(c.Minion(s.Minion), s) }
	c.OnAnswer = c.checkFinalAnswer
	all := []membership.Host{
		{Name: "a1", FailureDomain: "a", Region: "r"}, {Name: "a2", FailureDomain: "a", Region: "r"},
		{Name: "a3", FailureDomain: "a", Region: "r"}, {Name: "b1", FailureDomain: "b", Region: "r"},
	}
	for _, h := range all {
		cfg := hostConfig(h, all)
		if seed%4 == 3 {
			setSmallLimits(&cfg)
		}
		added := c.AddHost(cfg, tickInterval)
		added.ClockError = c.randomClockError()
	}
	for i := range 4 {
		c.addMinion(fmt.Sprintf("ma%d", i), "a", c.Hosts()[:3])
	}
	c.addMinion("mb", "b", c.Hosts()[3:])
	return c
}

// setSmallLimits sets limits on keys, stored answers and searches that are low
// enough for a run to reach them.
func setSmallLimits(c *engine.Config) {
	c.Jobs.MaxRecords = 60
	c.Jobs.MaxAnswerBytes = 4000
	c.MaxSearches = 3
}

// randomClockError returns the error of one clock. It lies within half of
// clockError on either side, so that two clocks differ by at most clockError.
func (c *chaos) randomClockError() time.Duration { return c.randomBelow(clockError) - clockError/2 }

// randomBelow returns a random duration from 0 up to, but not including, d.
func (c *chaos) randomBelow(d time.Duration) time.Duration {
	return time.Duration(c.Rand().Int64N(int64(d)))
}

func (c *chaos) addMinion(name, domain string, hosts []*Host) {
	a := minion.Announcement{
		Name: name, Worker: name, Rack: "r", FailureDomain: domain, Services: []string{"s"},
		Slots: 2, Connections: 8, Address: name + ":1", Generation: 1,
	}
	c.AddMinion(a, hosts, func(engine.Start) time.Duration { return c.randomBelow(300 * time.Millisecond) })
}

func (c *chaos) anyHost() *Host { return c.Hosts()[c.Rand().IntN(len(c.Hosts()))] }

func (c *chaos) anyMinion() *Minion { return c.Minion(fmt.Sprintf("ma%d", c.Rand().IntN(4))) }

func (c *chaos) chance(p float64) bool { return c.Rand().Float64() < p }

// caller sends the attempts of one job.
type caller struct {
	*chaos
	id          job.ID
	numbered    bool // attempts carry their numbers
	tasks       int
	submittedAt time.Time // by the caller's clock
}

// submitJob sends the first attempt of a new job and schedules up to five
// repetitions, each to a random host. Some attempts arrive late, a few
// repetitions have another body, and some jobs are cancelled.
func (c *chaos) submitJob() {
	c.jobs++
	k := &caller{
		chaos: c, id: job.ID{Team: "t", Key: fmt.Sprint(c.jobs)}, numbered: c.chance(0.8),
		tasks: 1 + c.Rand().IntN(6), submittedAt: c.Now().Add(c.randomClockError()),
	}
	k.scheduleAttempt(1, 0)
	after := time.Duration(0)
	for attempt := 2; attempt < 7 && c.chance(0.6); attempt++ {
		after += c.randomDelay(0.5, 60*time.Millisecond, 8*time.Second)
		k.scheduleAttempt(attempt, after)
	}
	if c.chance(0.2) {
		c.After(c.randomDelay(0.7, 100*time.Millisecond, 10*time.Second), k.cancel)
	}
}

func (k *caller) cancel() {
	h := k.anyHost()
	h.HandleInput(func(now time.Time) { _, _ = h.Engine.Lookup(now, k.id, true) })
}

// scheduleAttempt sends one attempt to a random host after the given time.
func (k *caller) scheduleAttempt(attempt int, after time.Duration) {
	s := &submission{id: k.id, attempt: attempt, digest: 1, deadline: k.randomBelow(maxDeadline)}
	if !k.numbered {
		s.attempt = 0
	}
	if attempt > 1 && k.chance(0.03) {
		s.digest = 2
	}
	delay := k.randomDelay(0.85, typicalTransit, 200*time.Millisecond)
	if k.chance(0.05) {
		delay = k.randomBelow(30 * time.Second)
	}
	h := k.anyHost()
	k.After(after, func() {
		k.checker.recordSubmission(s)
		k.After(delay, func() { k.submitTo(h, s) })
	})
}

// submitTo passes a submission to the engine of h and records the answer.
func (k *caller) submitTo(h *Host, s *submission) {
	sub := job.Submission{
		ID: s.id, Attempt: s.attempt, Service: "s", SubmittedAt: k.submittedAt, Digest: s.digest,
		Tasks: make([]job.Task, k.tasks),
	}
	for i := range sub.Tasks {
		sub.Tasks[i].Payload = payload(s, i)
	}
	h.HandleInput(func(now time.Time) {
		sub.Deadline = now.Add(s.deadline)
		a, err := h.Engine.Submit(now, &sub)
		switch {
		case err != nil:
			k.checkCode(s, err.Code)
		case a != nil:
			k.checkAnswer(s, a)
		default:
			k.recordAccepted(h, s)
		}
	})
}

// randomDelay returns a delay below short with probability p, else below long.
func (c *chaos) randomDelay(p float64, short, long time.Duration) time.Duration {
	if c.chance(p) {
		return c.randomBelow(short)
	}
	return c.randomBelow(long)
}

// injectFault injects one random fault and schedules its end.
func (c *chaos) injectFault() {
	faults := []func(time.Duration){
		c.killHost, c.killHost, c.restartHost, c.restartHost, c.freezeHost, c.cutLink, c.cutDomain,
		c.killMinion, c.leaveMinion, c.stopMinionHeartbeats, c.failMinion, c.submitBurst, c.submitAndCancel, c.stopHost,
	}
	f := faults[c.Rand().IntN(len(faults))]
	duration := c.randomBelow(6 * time.Second)
	f(duration)
	if c.chance(0.3) { // repeat the fault soon after its end
		c.After(duration+c.randomBelow(time.Second), func() { f(c.randomBelow(6 * time.Second)) })
	}
}

func (c *chaos) kill(h *Host) {
	c.dropPending(h)
	h.Kill()
}

func (c *chaos) killHost(duration time.Duration) {
	h := c.anyHost()
	c.kill(h)
	c.After(duration, func() { c.restart(h) })
}

func (c *chaos) restart(h *Host) {
	c.dropPending(h)
	h.Restart()
}

// restartHost restarts a process within clockError of new submissions, so that
// keys which the old process may have accepted or fenced are still in use.
func (c *chaos) restartHost(time.Duration) {
	h := c.anyHost()
	for range 10 {
		c.After(c.randomBelow(150*time.Millisecond), c.submitJob)
	}
	c.After(c.randomBelow(150*time.Millisecond), func() { c.restart(h) })
}

func (c *chaos) freezeHost(duration time.Duration) {
	h := c.anyHost()
	h.Freeze()
	c.After(duration, h.Resume)
}

func (c *chaos) cutLink(duration time.Duration) {
	c.Cut(c.anyHost().Name, c.anyHost().Name)
	c.After(duration, c.Heal)
}

// cutDomain partitions failure domain b from the others in both directions.
func (c *chaos) cutDomain(duration time.Duration) {
	for _, h := range c.Hosts()[:3] {
		c.Cut(h.Name, "b1")
		c.Cut("b1", h.Name)
	}
	c.After(duration, c.Heal)
}

// makeUnavailable runs f, which makes a random minion leave, kills it or stops
// its heartbeats, and restarts the minion after the given duration.
func (c *chaos) makeUnavailable(f func(*Minion), duration time.Duration) {
	m := c.anyMinion()
	f(m)
	c.After(duration, m.Restart)
}

func (c *chaos) killMinion(duration time.Duration)  { c.makeUnavailable((*Minion).Kill, duration) }
func (c *chaos) leaveMinion(duration time.Duration) { c.makeUnavailable((*Minion).Leave, duration) }
func (c *chaos) stopMinionHeartbeats(duration time.Duration) {
	c.makeUnavailable((*Minion).StopHeartbeats, duration)
}

// failMinion makes a random minion fail every task that it starts.
func (c *chaos) failMinion(duration time.Duration) {
	m := c.anyMinion()
	m.Failing = true
	c.After(duration, m.Restart)
}

func (c *chaos) submitBurst(time.Duration) {
	for range 30 {
		c.submitJob()
	}
}

// submitAndCancel submits jobs and cancels each at about the time at which its
// tasks start.
func (c *chaos) submitAndCancel(time.Duration) {
	for range 20 {
		c.submitJob()
		k := &caller{chaos: c, id: job.ID{Team: "t", Key: fmt.Sprint(c.jobs)}}
		for range 2 {
			c.After(c.randomBelow(100*time.Millisecond), k.cancel)
		}
	}
}

// stopHost begins the shutdown of a random host and kills the process once the
// shutdown is complete. By then every submission that the host accepted must
// have been answered.
func (c *chaos) stopHost(duration time.Duration) {
	h := c.anyHost()
	generation := h.Generation()
	h.HandleInput(func(time.Time) { h.Engine.Stop() })
	var poll func()
	poll = func() {
		if h.Generation() != generation {
			return
		}
		if !h.Up() || h.frozen || !h.Engine.Stopping() || !h.Engine.ShutdownComplete() {
			c.After(tickInterval, poll)
			return
		}
		for id, list := range c.pending[h.Name] {
			c.check(len(list) == 0, "%s has no answer from %s, which has completed its shutdown", id, h.Name)
		}
		c.kill(h)
		c.After(duration, func() { c.restart(h) })
	}
	poll()
}

func (c *chaos) run() {
	for at := 2 * time.Second; at < runDuration; at += 50 * time.Millisecond {
		c.After(at, c.submitJob)
	}
	for at := 3 * time.Second; at < runDuration; at += 800 * time.Millisecond {
		c.After(at, c.injectFault)
		if c.chance(0.3) {
			c.After(at, c.injectFault) // two faults at once
		}
	}
	c.RunUntil(startTime.Add(runDuration + 2*keyLifetime))
	c.checkNonePending()
}

// addCodes adds the run's number of answers by code to codes.
func (c *chaos) addCodes(codes map[result.Code]int) {
	for code, n := range c.codes {
		codes[code] += n
	}
}
