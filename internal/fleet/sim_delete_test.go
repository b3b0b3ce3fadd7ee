package fleet

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// delete deletes the caller's job at an entry host and calls answered with the outcome.
func (c *simCaller) delete(h *simHost, answered func(Deletion)) {
	out := make(chan Deletion, 1)
	incarnation := h.incarnation
	h.input(func(now time.Time) {
		if !h.core.deleteJob(now, c.offer.Job, out) {
			out <- DeletionUnconfirmed
		}
	})
	var poll func()
	poll = func() {
		select {
		case d := <-out:
			answered(d)
		default:
			if h.incarnation == incarnation {
				c.sim.after(5*time.Millisecond, poll)
			}
		}
	}
	poll()
}

// deleteJobs deletes some open jobs at any entry hosts. Once that is acknowledged, their
// tasks must end as if the callers had left.
func (sim *simulation) deleteJobs(time.Duration) {
	for _, c := range sim.callers {
		h := sim.anyHost()
		if c.finished || c.tries == 0 || !h.rec.Entry || !h.up || !sim.chance(0.3) {
			continue
		}
		c.delete(h, func(d Deletion) {
			if d == DeletionUnconfirmed || c.finished {
				return
			}
			sim.trace("job %s is deleted at %s: %d", c.offer.Job, h.rec.Name, d)
			c.close(peer.JobDeleted)
			sim.after(simCancelLimit+simMaxStopTime, func() { sim.checker.callerLeft(c) })
		})
	}
}

// A job is deleted at an entry host other than the one where it is open. Its tasks are
// stopped, it is not accepted any more, and its caller is told. An unknown job is not found.
func TestJobIsDeletedAtAnyEntryHost(t *testing.T) {
	sim := newSimulation(simConfig{failureDomains: 2, entryHosts: 3, minions: 6, load: 0.01, recoveryPeriod: 14 * time.Second}, 1)
	sim.keepCallers = true
	var c, unknown *simCaller
	outcomes := make(map[string]Deletion)
	sim.after(8*time.Second, func() {
		c, unknown = sim.newCaller(), sim.newCaller()
		c.offer.Steps, c.work = c.offer.Steps[:1], []time.Duration{5 * time.Second}
		c.offer.Steps[0].EstimateMS, c.offer.Steps[0].Count, c.offer.Steps[0].Label = 5000, 2, ""
		c.domain = "z0"
		c.try()
	})
	running := func() (n int) {
		for task := range sim.checker.running {
			if task.Job == c.offer.Job {
				n++
			}
		}
		return n
	}
	sim.after(9*time.Second, func() {
		must.Eq(t, 2, running())
		c.delete(sim.hostByName["e1-0"], func(d Deletion) { outcomes["open"] = d })
		unknown.delete(sim.hostByName["e1-1"], func(d Deletion) { outcomes["unknown"] = d })
	})
	sim.after(9100*time.Millisecond, func() {
		must.Zero(t, running())
		must.Eq(t, map[string]Deletion{"open": JobDeleted, "unknown": JobNotFound}, outcomes)
		must.Eq(t, peer.JobDeleted, c.outcome)
		out := make(chan entry.Outcome, 1)
		h := sim.hostByName["e0-1"]
		h.input(func(now time.Time) { h.core.submit(now, c.offer, now.Add(5*time.Second), out) })
		must.Eq(t, peer.JobDeleted, (<-out).Outcome)
		unknown.close(0)
	})
	sim.run()
}

// A host that can't be asked may have the job: a deletion that finds it nowhere else is not
// acknowledged, and the host is asked until it answers.
func TestUnansweredDeletionIsNotAcknowledged(t *testing.T) {
	sim := newSimulation(simConfig{failureDomains: 2, entryHosts: 3, minions: 6, load: 0.01, recoveryPeriod: 14 * time.Second}, 1)
	sim.keepCallers = true
	var unknown *simCaller
	var outcome Deletion
	sim.after(9*time.Second, func() {
		sim.cutBetween([]string{"e0-0"}, []string{"e1-0"}, false, 2*time.Second)
		unknown = sim.newCaller()
		unknown.delete(sim.hostByName["e1-0"], func(d Deletion) { outcome = d })
	})
	sim.after(9500*time.Millisecond, func() { must.Eq(t, Deletion(0), outcome) })
	sim.after(11*time.Second, func() { must.Eq(t, DeletionUnconfirmed, outcome) })
	sim.after(15*time.Second, func() {
		must.True(t, sim.hostByName["e0-0"].core.isDeleted(unknown.offer.Job))
		must.MapEmpty(t, sim.hostByName["e1-0"].core.deletions)
		unknown.close(0)
	})
	sim.run()
}
