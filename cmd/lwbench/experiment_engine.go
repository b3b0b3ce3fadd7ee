package main

import (
	"fmt"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/emulator"
	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

const (
	experimentDomain   = "a"
	experimentTick     = 10 * time.Millisecond
	experimentDeadline = 10 * time.Second
	experimentWarmUp   = 5 * time.Second // for announcements; the trace starts after it
	experimentLifetime = 30 * time.Second
)

var experimentNet = emulator.Network{MinDelay: 100 * time.Microsecond, MaxDelay: 500 * time.Microsecond}

// experimentRoundTrip is the mean round trip between a host and a minion.
const experimentRoundTrip = 600 * time.Microsecond

var experimentStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engineRun drives the decisions of a domain's hosts over a trace.
type engineRun struct {
	*emulator.Emulator
	trace    *trace
	scenario scenario
	minions  []*emulator.Minion
	index    map[job.ID]int
	out      *outcome
}

func runEngine(seed uint64, t *trace, s scenario, policy engine.SlotPolicy) *outcome {
	r := &engineRun{
		Emulator: emulator.New(seed, experimentStart), trace: t, scenario: s,
		index: make(map[job.ID]int, len(t.arrivals)), out: newOutcome(t),
	}
	r.Net = experimentNet
	r.OnAnswer = r.answered
	started := 0
	r.OnStart = func(*emulator.Host, *emulator.Minion, engine.Start, int) { started++ }
	r.build(policy)
	r.RunUntil(experimentStart.Add(experimentWarmUp))
	before := r.Counters
	for i := range t.arrivals {
		r.After(t.arrivals[i].at, func() { r.submit(i) })
	}
	r.disturb()
	r.RunUntil(experimentStart.Add(experimentWarmUp + t.length + experimentDeadline + time.Second))
	c := r.Counters
	r.out.messages = c.Starts + c.TaskAnswers + c.PeerMessages + c.Cancellations -
		before.Starts - before.TaskAnswers - before.PeerMessages - before.Cancellations
	r.out.refusals = c.Starts - before.Starts - started
	r.out.heartbeats = c.Heartbeats - before.Heartbeats
	return r.out
}

func (r *engineRun) build(policy engine.SlotPolicy) {
	var all []membership.Host
	for i := range traceHosts {
		all = append(all, membership.Host{Name: fmt.Sprintf("h%d", i), FailureDomain: experimentDomain, Region: "r"})
	}
	for _, h := range all {
		r.AddHost(experimentConfig(h, all, policy), experimentTick)
	}
	for i := range traceMinions {
		name := fmt.Sprintf("m%02d", i)
		m := r.AddMinion(minion.Announcement{
			Name: name, Worker: name, Rack: fmt.Sprintf("r%d", i/8), FailureDomain: experimentDomain,
			Services: []string{"despacho"}, Slots: slotsPerMinion, Connections: 64, Address: name + ":1", Generation: 1,
		}, r.Hosts(), func(s engine.Start) time.Duration { return decodeRun(s.Payload) })
		r.minions = append(r.minions, m)
	}
}

func experimentConfig(self membership.Host, all []membership.Host, policy engine.SlotPolicy) engine.Config {
	c := engine.Config{
		Host: self, MinionLease: 2500 * time.Millisecond, HeartbeatEvery: 500 * time.Millisecond,
		PeerTimeout: 2 * time.Second, RetryBudget: 32, BusyPause: 5 * time.Millisecond,
		LocateTimeout: 500 * time.Millisecond, LocateResend: 100 * time.Millisecond,
		FollowTimeout: 10 * time.Second, MaxSearches: 1000, Slots: policy,
		Jobs: job.Limits{MaxActive: 20000, MaxRecords: 1000000, MaxAnswerBytes: 64 << 20, KeyLifetime: experimentLifetime, ClockError: time.Millisecond},
	}
	for _, h := range all {
		if h != self {
			c.Peers = append(c.Peers, h)
		}
	}
	return c
}

// submit hands an arrival to its host, or to the next one that is up.
func (r *engineRun) submit(i int) {
	a := &r.trace.arrivals[i]
	h := r.Hosts()[a.host]
	for !h.Up() {
		a.host = (a.host + 1) % traceHosts
		h = r.Hosts()[a.host]
	}
	s := job.Submission{
		ID: job.ID{Team: fmt.Sprintf("t%d", a.team), Key: fmt.Sprint(i)}, Attempt: 1, Service: "despacho", SubmittedAt: r.Now(),
		Tasks: make([]job.Task, len(a.tasks)),
	}
	for k := range a.tasks {
		s.Tasks[k].Payload = encodeRun(a.tasks[k])
	}
	r.index[s.ID] = i
	h.Do(func(now time.Time) {
		s.Deadline = now.Add(experimentDeadline)
		answer, err := h.Engine.Submit(now, &s)
		switch {
		case err != nil:
			r.out.refused(i, err.Code)
		case answer != nil:
			r.answered(h, answer)
		}
	})
}

func (r *engineRun) answered(h *emulator.Host, a *job.Answer) {
	i, ok := r.index[a.ID]
	if !ok || r.Hosts()[r.trace.arrivals[i].host] != h {
		return
	}
	delete(r.index, a.ID)
	if a.Code != result.OK {
		r.out.refused(i, a.Code)
		return
	}
	r.out.finished(i, r.Now().Sub(experimentStart.Add(experimentWarmUp)))
}

// disturb injects the scenario's fault.
func (r *engineRun) disturb() {
	for i, m := range r.minions {
		if r.scenario.slow(i) {
			m.Slow = stragglerFactor
		}
		m.Failing = r.scenario.failing && i == 0
	}
	if r.scenario.killHost {
		r.After(r.trace.length/2, r.Hosts()[0].Kill)
	}
}
