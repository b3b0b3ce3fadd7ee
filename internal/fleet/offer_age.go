package fleet

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// maxOfferAge is how long an offer may be in flight, including the time that it
	// waits in a busy receiver. An offer that a network partition delayed for longer
	// may arrive after its job has ended or been moved: the sender offers the job to
	// another failure domain 1.7 s after the receiver became unavailable. If the
	// receiver acknowledges an offer that the sender no longer wants, the sender
	// cancels it.
	maxOfferAge = time.Second
	// endedOfferRetention is how long this host remembers offers that have ended, to
	// ignore further copies of them. A copy that arrives after the offer has ended may
	// have been in flight for maxOfferAge.
	endedOfferRetention = 2 * maxOfferAge
)

// heartbeatClock returns the clock reading that heartbeats carry, in milliseconds:
// the boot time at the last input, plus an offset specific to this process, so that
// readings of different processes don't match.
func (c *core) heartbeatClock() int64 { return int64(c.tokenID>>16) + c.lastBootTime.Milliseconds() }

// stampOffer copies the newest clock reading from the receiver's heartbeats into an
// offer, so that the receiver can compute the age of the offer.
func (c *core) stampOffer(now time.Time, to string, o *peer.JobOffer) {
	if h := c.roster.Host(to); h != nil && h.Heartbeat != nil {
		o.ReceiverClock, o.ReceiverClockAgeMS = h.Heartbeat.Clock, now.Sub(h.HeartbeatAt).Milliseconds()
	}
}

// isFresh reports whether an offer was in flight for maxOfferAge at most. An offer of
// unknown age is not fresh.
func (c *core) isFresh(from string, o *peer.JobOffer) bool {
	if from == c.self.Name {
		return true
	}
	flight := time.Duration(c.heartbeatClock()-o.ReceiverClock-o.ReceiverClockAgeMS) * time.Millisecond
	if o.ReceiverClock != 0 && flight > -maxOfferAge && flight <= maxOfferAge {
		return true
	}
	c.logEvent(event.OfferStale, slog.String("job", o.Job), slog.String("from", from), slog.Int64("flight_ms", flight.Milliseconds()))
	return false
}

// forgetEndedOffers drops offers that ended more than endedOfferRetention ago.
func (c *core) forgetEndedOffers(now time.Time) {
	for key, at := range c.endedOffers {
		if now.Sub(at) > endedOfferRetention {
			delete(c.endedOffers, key)
		}
	}
}
