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
	experimentDomain      = "a"
	experimentTick        = 10 * time.Millisecond
	experimentDeadline    = 10 * time.Second
	experimentWarmUp      = 5 * time.Second // time for minions to announce themselves before the trace starts
	experimentKeyLifetime = 30 * time.Second
)

var experimentNetwork = emulator.Network{MinDelay: 100 * time.Microsecond, MaxDelay: 500 * time.Microsecond}

// experimentRoundTrip is the mean round trip between a host and a minion.
const experimentRoundTrip = 600 * time.Microsecond

var experimentStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engineRun runs a trace on the engines of a failure domain's hosts.
type engineRun struct {
	*emulator.Emulator
	trace        *trace
	scenario     scenario
	minions      []*emulator.Minion
	arrivalByJob map[job.ID]int
	out          *outcome
}

func runEngine(seed uint64, t *trace, s scenario, policy engine.SlotPolicy) *outcome {
	r := &engineRun{
		Emulator: emulator.New(seed, experimentStart), trace: t, scenario: s,
		arrivalByJob: make(map[job.ID]int, len(t.arrivals)), out: newOutcome(t),
	}
	r.Net = experimentNetwork
	r.OnAnswer = r.handleAnswer
	started := 0
	r.OnStart = func(*emulator.Host, *emulator.Minion, engine.Start, int) { started++ }
	r.addHostsAndMinions(policy)
	r.RunUntil(experimentStart.Add(experimentWarmUp))
	before := r.Counters
	for i := range t.arrivals {
		r.After(t.arrivals[i].at, func() { r.submit(i) })
	}
	r.injectFaults()
	r.RunUntil(experimentStart.Add(experimentWarmUp + t.length + experimentDeadline + time.Second))
	c := r.Counters
	r.out.messages = c.Starts + c.TaskAnswers + c.PeerMessages + c.Cancellations -
		before.Starts - before.TaskAnswers - before.PeerMessages - before.Cancellations
	r.out.refusals = c.Starts - before.Starts - started
	r.out.heartbeats = c.Heartbeats - before.Heartbeats
	return r.out
}

func (r *engineRun) addHostsAndMinions(policy engine.SlotPolicy) {
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
		}, r.Hosts(), func(s engine.Start) time.Duration { return decodeRunTime(s.Payload) })
		r.minions = append(r.minions, m)
	}
}

func experimentConfig(self membership.Host, all []membership.Host, policy engine.SlotPolicy) engine.Config {
	c := engine.Config{
		Host: self, MinionLease: 2500 * time.Millisecond, HeartbeatEvery: 500 * time.Millisecond,
		PeerTimeout: 2 * time.Second, RetryBudget: 32, BusyPause: 5 * time.Millisecond,
		LocateTimeout: 500 * time.Millisecond, LocateResend: 100 * time.Millisecond,
		FollowTimeout: 10 * time.Second, MaxSearches: 1000, Slots: policy,
		Jobs: job.Limits{MaxActive: 20000, MaxRecords: 1000000, MaxAnswerBytes: 64 << 20, KeyLifetime: experimentKeyLifetime, ClockError: time.Millisecond},
	}
	for _, h := range all {
		if h != self {
			c.Peers = append(c.Peers, h)
		}
	}
	return c
}

// submit submits arrival i to its host, or to the next host that is up.
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
		s.Tasks[k].Payload = encodeRunTime(a.tasks[k])
	}
	r.arrivalByJob[s.ID] = i
	h.HandleInput(func(now time.Time) {
		s.Deadline = now.Add(experimentDeadline)
		answer, err := h.Engine.Submit(now, &s)
		switch {
		case err != nil:
			r.out.recordFailure(i, err.Code)
		case answer != nil:
			r.handleAnswer(h, answer)
		}
	})
}

func (r *engineRun) handleAnswer(h *emulator.Host, a *job.Answer) {
	i, ok := r.arrivalByJob[a.ID]
	if !ok || r.Hosts()[r.trace.arrivals[i].host] != h {
		return
	}
	delete(r.arrivalByJob, a.ID)
	if a.Code != result.OK {
		r.out.recordFailure(i, a.Code)
		return
	}
	r.out.recordCompletion(i, r.Now().Sub(experimentStart.Add(experimentWarmUp)))
}

// injectFaults injects the faults of the scenario.
func (r *engineRun) injectFaults() {
	for i, m := range r.minions {
		if r.scenario.isSlow(i) {
			m.RunTimeFactor = stragglerFactor
		}
		m.Failing = r.scenario.failing && i == 0
	}
	if r.scenario.killHost {
		r.After(r.trace.length/2, r.Hosts()[0].Kill)
	}
}
