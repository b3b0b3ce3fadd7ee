package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// An overloaded host refuses offers and requests at once, as not run and with a retry time,
// and says so in its load. It neither refuses jobs that may have run nor jobs that it has.
func TestOverloadedHostRefusesAtOnce(t *testing.T) {
	sim := newSimulation(simConfig{failureDomains: 1, entryHosts: 2, minions: 2, recoveryPeriod: time.Second}, 1)
	h := sim.hostByName["e0-0"]
	h.launch()
	now, boot := simStart, time.Hour
	h.core.detectSuspension(now, boot)
	x := h.holdShard(now)
	x.claimedClock = h.core.heartbeatClock()
	pass := func(d, wait time.Duration) {
		for ; d > 0; d -= tickInterval {
			now, boot = now.Add(tickInterval), boot+tickInterval
			h.core.detectSuspension(now, boot)
			h.core.inputWaited(wait)
			h.core.tickOverload(now)
		}
	}
	offer := func(job string, mayHaveRun bool) peer.JobOutcome {
		o := smallOffer(job, h.core.heartbeatClock(), 0)
		o.MayHaveRun, o.RemainingMS = mayHaveRun, 60_000
		h.core.receive(now, "far", "1", o)
		r := h.core.unackedResults[offerKey{"far", job, 1}]
		if r == nil {
			return 0
		}
		must.Positive(t, r.body.RetryMS)
		return r.body.Outcome
	}
	must.Eq(t, 0, offer("before", false))
	must.False(t, h.core.load(x).Overloaded)
	pass(3*time.Second, 50*time.Millisecond)
	must.True(t, h.core.load(x).Overloaded)
	must.GreaterEq(t, handOverAfter, h.core.overloadedFor(now))
	must.Nil(t, h.core.shardToHandOver(now), must.Sprint("held for too short a time"))
	refused := 0
	for i := range 20 {
		if offer(fmt.Sprint(i), false) == peer.JobRefused {
			refused++
		}
	}
	must.GreaterEq(t, 18, refused)
	must.Eq(t, 0, offer("before", false))
	must.Eq(t, 0, offer("bound", true))
	out := make(chan entry.Outcome, 1)
	must.Zero(t, h.core.submit(now, peer.JobOffer{Job: "own"}, now.Add(time.Second), out))
	own := <-out
	must.Eq(t, peer.JobRefused, own.Outcome)
	must.Greater(t, busyRetryAfter.Milliseconds(), own.RetryMS)

	pass(8*time.Second, 50*time.Millisecond)
	must.Eq(t, x, h.core.shardToHandOver(now))
	pass(time.Second, time.Millisecond)
	must.Eq(t, 0, offer("after", false))
	must.False(t, h.core.load(x).Overloaded)
	must.Nil(t, h.core.shardToHandOver(now))
}
