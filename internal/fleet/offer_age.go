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
	// maxKnownOfferAge is the longest age that is computed from clock readings. A larger
	// one is taken for a reading of another process.
	maxKnownOfferAge = time.Minute
)

// heartbeatClock returns the clock reading that heartbeats carry, in milliseconds:
// the boot time at the last input, plus an offset specific to this process, so that
// readings of different processes don't match.
func (c *core) heartbeatClock() int64 { return int64(c.tokenID>>16) + c.lastBootTime.Milliseconds() }

// receiverClock returns the newest clock reading in a host's heartbeats, and its age, for
// messages of which that host has to compute the age.
func (c *core) receiverClock(now time.Time, to string) (clock, ageMS int64) {
	if h := c.roster.Host(to); h != nil && h.Heartbeat != nil {
		return h.Heartbeat.Clock, now.Sub(h.HeartbeatAt).Milliseconds()
	}
	return 0, 0
}

// flight returns how long a message was in flight, given the receiver's clock reading in
// it. It is beyond maxKnownOfferAge either way if the reading is none of this process.
func (c *core) flight(clock, ageMS int64) time.Duration {
	if clock == 0 {
		return -maxKnownOfferAge
	}
	return time.Duration(c.heartbeatClock()-clock-ageMS) * time.Millisecond
}

// offerAge says how long an offer was in flight.
type offerAge uint8

const (
	offerFresh      offerAge = iota // at most maxOfferAge
	offerLate                       // longer
	offerAgeUnknown                 // the offer has no clock reading of this process
)

// ageOf returns how long an offer was in flight, and logs an offer that is not fresh. A
// fresh one is a sign of its sender.
func (c *core) ageOf(now time.Time, from string, o *peer.JobOffer) offerAge {
	if from == c.self.Name {
		return offerFresh
	}
	flight := c.flight(o.ReceiverClock, o.ReceiverClockAgeMS)
	age := offerAgeUnknown
	switch {
	case flight <= -maxOfferAge || flight > maxKnownOfferAge:
	case flight > maxOfferAge:
		age = offerLate
	default:
		c.signOf(from).observe(now.Add(-max(0, flight)))
		return offerFresh
	}
	c.logEvent(event.OfferStale, slog.String("job", o.Job), slog.String("from", from), slog.Int64("flight_ms", flight.Milliseconds()))
	return age
}
