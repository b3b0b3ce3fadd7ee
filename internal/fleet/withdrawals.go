package fleet

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// knowsOffer reports whether this process would know of the offer that a cancellation ends:
// the offer was sent to this process, and so recently that it is remembered if it has ended.
// Only then does an offer that is not known prove that no task of it was started.
func (c *core) knowsOffer(from string, m *peer.JobCancel) bool {
	if m.Process != c.self.Incarnation || m.Process == "" {
		return false
	}
	if from == c.self.Name {
		return true
	}
	flight := c.flight(m.ReceiverClock, m.ReceiverClockAgeMS)
	since := time.Duration(m.SinceOfferMS) * time.Millisecond
	return flight > -maxOfferAge && flight <= maxOfferAge && since >= 0 && since+flight < offerMemoryPeriod-maxOfferAge
}

// handleCancel ends an offer, so that no copy of it is accepted later, and states in the
// answer whether this process has started a task of it. A withdrawal leaves the offer as it
// is if it has, or if this can't be told.
func (c *core) handleCancel(now time.Time, from string, m *peer.JobCancel) {
	key := offerKey{from, m.Job, m.Offer}
	notStarted, ended := c.endedOffers.get(key)
	x := c.shards[m.Shard]
	switch {
	case ended:
	case x != nil && x.pool.HasOffer(from, m.Job, m.Offer):
		notStarted = x.pool.OfferNotStarted(from, m.Job, m.Offer)
	default:
		notStarted = c.knowsOffer(from, m)
	}
	// An offer of another process of this host says nothing about that process.
	notStarted = notStarted && m.Process == c.self.Incarnation
	if m.Withdraw && !notStarted {
		if !ended && x != nil && x.pool.HasOffer(from, m.Job, m.Offer) {
			c.sendTo(from, &peer.JobAck{Job: m.Job, Offer: m.Offer, Shard: m.Shard, Load: c.load(x), Started: true})
		}
		return
	}
	c.endedOffers.add(now, key, notStarted)
	if x != nil {
		x.pool.Cancel(now, from, m)
	}
	// Acknowledges the cancellation, which is repeated until then.
	result := &peer.JobResult{Job: m.Job, Offer: m.Offer, Outcome: peer.JobUnknown, NotStartedHere: notStarted, Reason: "the offer was withdrawn"}
	if m.Withdraw {
		result.Outcome = peer.JobMoved
	}
	c.sendTo(from, result)
}
