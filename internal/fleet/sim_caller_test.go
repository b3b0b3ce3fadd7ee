package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	simRetransmit     = 1300 * time.Millisecond // time after which a caller whose connection failed, or who got an unknown outcome, submits again
	simCallerTimeout  = 8 * time.Second         // total time after which a caller stops retrying
	simLongJobTimeout = 12 * time.Second        // deadline of jobs that run for seconds
	simTaskCPU        = 27_000                  // demand of a task, in thousandths of a processor
)

// simCaller is a caller that submits one job, and resubmits it if the connection breaks
// or the outcome is unknown.
type simCaller struct {
	sim             *simulation
	offer           peer.JobOffer
	work            []time.Duration // run time of a task, by step
	domain          string
	began           time.Duration
	deadline        time.Duration // of the current try
	host            *simHost
	hostIncarnation int // of host, when the current try was sent
	out             chan entry.Outcome
	waiter          uint64
	submitted       bool
	tries           int
	refusals        int // tries that were answered as refused, which means that no task was started
	unknowns        int // tries that were answered as unknown
	started         map[simTask]bool
	again           int // starts of tasks that had been started before
	finished        bool
	finishedAt      time.Duration
	outcome         peer.JobOutcome // 0: the caller left without an answer
}

// nextCaller starts a caller and schedules the next one.
func (sim *simulation) nextCaller() {
	if sim.now >= sim.trafficEnd() {
		return
	}
	tasksAtOnce := 0 // on all minions
	for _, m := range sim.minions {
		tasksAtOnce += int(m.cpu / simTaskCPU)
	}
	// A job has 2.5 tasks of 0.25 s on average.
	rate := sim.config.load * float64(tasksAtOnce) / (2.5 * 0.25)
	if sim.now >= sim.config.burstAt && sim.now < sim.config.burstAt+sim.config.burstPeriod {
		rate *= sim.config.burst
	}
	sim.after(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), sim.nextCaller)
	sim.newCaller().try()
}

func (sim *simulation) newCaller() *simCaller {
	sim.lastJobID++
	c := &simCaller{sim: sim, began: sim.now, domain: fmt.Sprintf("z%d", sim.rng.IntN(sim.config.failureDomains))}
	c.offer = peer.JobOffer{
		Job: fmt.Sprintf("%08x", sim.lastJobID), Queue: fmt.Sprintf("q%d", sim.rng.IntN(3)), Service: "s", Payload: fmt.Sprintf("p%d", sim.lastJobID) + strings.Repeat("x", sim.config.payloadBytes),
		Attempts: 1 + sim.rng.IntN(3), StretchPct: 160, AddMS: 60,
	}
	work := sim.durationBetween(60*time.Millisecond, 440*time.Millisecond)
	long := sim.chance(0.01)
	if long {
		work = sim.durationBetween(4*time.Second, 6*time.Second)
	}
	step := peer.TaskStep{Count: 1 + sim.rng.IntN(4), CPU: simTaskCPU, MemoryMB: 64, EstimateMS: max(1, int64(float64(work.Milliseconds())*(0.6+sim.rng.Float64())))}
	switch {
	case long:
		step.Count = 1
	case sim.chance(0.05):
		step.MaxPerMinion = 1
	case sim.chance(0.03):
		step.Count = 1
		step.Label = fmt.Sprintf("r-m%s-%d", c.domain[1:], sim.rng.IntN(sim.config.minions))
	}
	c.offer.Steps, c.work = []peer.TaskStep{step}, []time.Duration{work}
	if sim.chance(0.1) {
		c.offer.Steps = append(c.offer.Steps, peer.TaskStep{Count: 1 + sim.rng.IntN(2), CPU: simTaskCPU, MemoryMB: 64, EstimateMS: 100, After: []int{0}})
		c.work = append(c.work, 100*time.Millisecond)
	}
	sim.callers = append(sim.callers, c)
	return c
}

// try submits the job to an entry host.
func (c *simCaller) try() {
	sim := c.sim
	if sim.now-c.began > simCallerTimeout {
		c.close(0)
		return
	}
	c.tries++
	c.host = sim.pickEntryHost(c.domain)
	c.deadline = sim.now + sim.durationBetween(1500*time.Millisecond, 3*time.Second)
	if c.work[0] > 2*time.Second {
		c.deadline = sim.now + simLongJobTimeout
	}
	c.hostIncarnation, c.submitted = c.host.incarnation, false
	c.host.callers = append(c.host.callers, c)
	c.out = make(chan entry.Outcome, 1)
	h, incarnation, out := c.host, c.hostIncarnation, c.out
	if !h.up {
		c.retryLater(out)
		return
	}
	duration := c.deadline - sim.now
	passedAt, _ := h.in.pass(sim.now, simHTTPBytes+len(c.offer.Payload), h.linkRate)
	sim.after(max(0, passedAt-sim.now)+time.Millisecond, func() {
		if h.incarnation != incarnation {
			c.retryLater(out)
			return
		}
		h.input(func(now time.Time) {
			waiter := h.core.submit(now, c.offer, now.Add(duration), out)
			if !c.finished && c.out == out {
				c.waiter, c.submitted = waiter, true
				return
			}
			// The request was queued while the caller disconnected: the host notices
			// the closed connection just after it has read the request.
			sim.after(sim.durationBetween(0, 2*time.Millisecond), func() {
				h.input(func(now time.Time) { h.core.callerDisconnected(now, c.offer.Job, waiter) })
			})
		})
	})
	if sim.chance(0.04) {
		sim.after(sim.durationBetween(20*time.Millisecond, 500*time.Millisecond), func() { c.abandon(out) })
	}
	// If the host does not answer, the caller leaves or tries another host.
	sim.after(duration+500*time.Millisecond, func() {
		if sim.chance(0.5) {
			c.reset(out)
		} else {
			c.abandon(out)
		}
	})
	if sim.chance(0.01) {
		sim.after(sim.durationBetween(20*time.Millisecond, 500*time.Millisecond), func() { c.reset(out) })
	}
}

// pickEntryHost returns an entry host for a caller of a failure domain: mostly a
// ready one of that domain, or any entry host if there is none.
func (sim *simulation) pickEntryHost(domain string) *simHost {
	var in, all []*simHost
	for _, h := range sim.hosts {
		if !h.rec.Entry {
			continue
		}
		if all = append(all, h); h.rec.FailureDomain == domain && (h.ready || sim.chance(0.1)) {
			in = append(in, h)
		}
	}
	if len(in) == 0 {
		in = all
	}
	return in[sim.rng.IntN(len(in))]
}

// abandon disconnects the caller, which does not try again.
func (c *simCaller) abandon(out chan entry.Outcome) {
	if c.finished || c.out != out {
		return
	}
	c.disconnect()
	c.close(0)
	c.sim.after(simCancelLimit+simMaxStopTime, func() { c.sim.checker.callerLeft(c) })
}

// reset breaks the caller's connection; the caller tries again.
func (c *simCaller) reset(out chan entry.Outcome) {
	if c.finished || c.out != out {
		return
	}
	c.disconnect()
	c.retryLater(out)
}

// disconnect makes the host notice that the caller's connection has ended.
func (c *simCaller) disconnect() {
	h, incarnation, waiter, submitted := c.host, c.hostIncarnation, c.waiter, c.submitted
	if !submitted {
		return
	}
	c.sim.after(time.Millisecond, func() {
		if h.incarnation == incarnation {
			h.input(func(now time.Time) { h.core.callerDisconnected(now, c.offer.Job, waiter) })
		}
	})
}

// retryLater schedules another try, unless out belongs to an earlier one.
func (c *simCaller) retryLater(out chan entry.Outcome) {
	if c.finished || c.out != out {
		return
	}
	c.out = nil
	c.sim.after(simRetransmit, c.try)
}

func (c *simCaller) close(o peer.JobOutcome) {
	c.finished, c.finishedAt, c.outcome = true, c.sim.now, o
}

// breakCallerConnections makes the callers of a stopped host notice that their
// connections have ended.
func (sim *simulation) breakCallerConnections(h *simHost) {
	for _, c := range sim.callers {
		if !c.finished && c.host == h && c.out != nil {
			out := c.out
			sim.after(time.Millisecond, func() { c.retryLater(out) })
		}
	}
}

// collectAnswers passes a host's answers to their callers.
func (sim *simulation) collectAnswers(h *simHost) {
	h.callers = slices.DeleteFunc(h.callers, func(c *simCaller) bool { return c.finished || c.host != h })
	for _, c := range slices.Clone(h.callers) {
		if c.out == nil || !c.submitted || c.finished || c.host != h {
			continue
		}
		select {
		case o := <-c.out:
			c.answered(o)
		default:
		}
	}
}

// forgetCallers drops, once a second, the callers that finished more than 20 s ago.
func (sim *simulation) forgetCallers() {
	if sim.keepCallers {
		return
	}
	sim.callers = slices.DeleteFunc(sim.callers, func(c *simCaller) bool {
		return c.finished && sim.now-c.finishedAt > 20*time.Second && sim.checker.closeJob(c)
	})
	sim.after(time.Second, sim.forgetCallers)
}

func (c *simCaller) answered(o entry.Outcome) {
	sim := c.sim
	sim.trace("caller of %s gets outcome %d, %s", c.offer.Job, o.Outcome, o.Reason)
	if sim.onAnswer != nil {
		sim.onAnswer(c.offer.Job, o.Outcome, o.Reason)
	}
	switch o.Outcome {
	case peer.JobUnknown:
		c.unknowns++
		c.retryLater(c.out)
		return
	case peer.JobRefused:
		c.refusals++
	case peer.JobComplete:
		sim.checker.jobCompleted(c)
	}
	c.close(o.Outcome)
}
