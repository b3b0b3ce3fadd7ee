package fleet

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// Only the process that an offer was sent to may state that nothing of it was started, and
// only of an offer that it would remember. A copy that arrives later is never accepted.
func TestWithdrawnOfferIsNeverStarted(t *testing.T) {
	sim := newSimulation(simConfig{failureDomains: 1, entryHosts: 2, minions: 2, recoveryPeriod: time.Second}, 1)
	h := sim.hostByName["e0-0"]
	h.launch()
	h.core.detectSuspension(simStart, time.Hour)
	x := h.holdShard(simStart)
	clock := h.core.heartbeatClock()
	var answers []*peer.JobResult
	ask := func(m peer.JobCancel) *peer.JobResult {
		answers = nil
		h.core.environment = recordedResults{h, &answers}
		m.Offer, m.ReceiverClock = 1, clock
		h.core.receive(simStart, "far", "1", &m)
		if len(answers) == 0 {
			return nil
		}
		return answers[0]
	}
	process := h.rec.Incarnation
	must.Nil(t, ask(peer.JobCancel{Job: "a", Withdraw: true, Process: "earlier"}))
	must.Nil(t, ask(peer.JobCancel{Job: "a", Withdraw: true, Process: process, SinceOfferMS: offerMemoryPeriod.Milliseconds()}))
	must.False(t, ask(peer.JobCancel{Job: "b", Process: "earlier"}).NotStartedHere)
	must.True(t, ask(peer.JobCancel{Job: "a", Withdraw: true, Process: process}).NotStartedHere)
	h.core.receive(simStart, "far", "1", smallOffer("a", clock, 0))
	must.Eq(t, 0, x.pool.JobCount())

	h.core.receive(simStart, "far", "1", smallOffer("waits", clock, 0))
	must.Eq(t, 1, x.pool.JobCount())
	r := ask(peer.JobCancel{Job: "waits", Withdraw: true, Process: process})
	must.Eq(t, peer.JobMoved, r.Outcome)
	must.True(t, r.NotStartedHere)
	must.Eq(t, 0, x.pool.JobCount())
	h.core.receive(simStart, "far", "1", smallOffer("waits", clock, 0))
	must.Eq(t, 0, x.pool.JobCount())

	two := smallOffer("two", clock, 0)
	h.core.receive(simStart, "far", "1", two)
	h.core.receive(simStart, "near", "1", two)
	must.Nil(t, ask(peer.JobCancel{Job: "two", Withdraw: true, Process: process}))
	must.Eq(t, 1, x.pool.JobCount(), must.Sprint("another host waits for the job"))
}

// recordedResults records the results that a core sends.
type recordedResults struct {
	*simHost
	results *[]*peer.JobResult
}

func (r recordedResults) send(_ string, b peer.Body) {
	if x, ok := b.(*peer.JobResult); ok {
		*r.results = append(*r.results, x)
	}
}
