package fleet

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// maxFlight is how long an offer may be on its way, the time included that it
	// waits in a busy receiver. One that a cut link held back for longer may
	// arrive when its job has ended or runs elsewhere: its sender gives the job to
	// another failure domain 1.7 s after it has lost the receiver, and answers the
	// acknowledgement of an offer that it no longer wants by a cancellation.
	maxFlight = time.Second
	// keepEnded is how long an offer that has ended is remembered: another copy
	// of it may be on its way for maxFlight, and its result was sent before.
	keepEnded = 2 * maxFlight
)

// clock is what this process's beats carry: the boot time as of the last input,
// from a number of its own, so that no reading is taken for another process's.
func (d *decisions) clock() int64 { return int64(d.own>>16) + d.lastBoot.Milliseconds() }

// stamp notes in an offer the newest clock that was heard from its receiver.
func (d *decisions) stamp(now time.Time, to string, o *peer.JobOffer) {
	if h := d.roster.Host(to); h != nil && h.Heartbeat != nil {
		o.Heard, o.HeardAgoMS = h.Heartbeat.Clock, now.Sub(h.HeartbeatAt).Milliseconds()
	}
}

// fresh reports whether an offer has certainly not been on its way for long.
func (d *decisions) fresh(from string, o *peer.JobOffer) bool {
	if from == d.self.Name {
		return true
	}
	flight := time.Duration(d.clock()-o.Heard-o.HeardAgoMS) * time.Millisecond
	if o.Heard != 0 && flight > -maxFlight && flight <= maxFlight {
		return true
	}
	d.note(event.OfferStale, slog.String("job", o.Job), slog.String("from", from), slog.Int64("flight_ms", flight.Milliseconds()))
	return false
}

// forgetOffers forgets offers that ended some time ago.
func (d *decisions) forgetOffers(now time.Time) {
	for key, at := range d.ended {
		if now.Sub(at) > keepEnded {
			delete(d.ended, key)
		}
	}
}
