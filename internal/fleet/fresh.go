package fleet

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// maxFlight is how long an offer may be on its way. One that a cut link held
	// back may arrive when its job has ended, or runs elsewhere: its sender gives
	// a job to others later than that, and repeats what it still wants. It is
	// below entry's delay of cancellations to a lost dispatcher (0.7 s).
	maxFlight = 400 * time.Millisecond
	// keepEnded is how long an offer that has ended is remembered: another copy
	// of it may be on its way for maxFlight, and its result was sent before.
	keepEnded = 2 * maxFlight
)

// clock is what this process's beats carry: the boot time as of the last input,
// from a number of its own, so that no reading is taken for another process's.
func (d *decisions) clock() int64 { return int64(d.own>>16) + d.lastBoot.Milliseconds() }

// stamp notes in an offer the newest clock that was heard from its receiver.
func (d *decisions) stamp(now time.Time, to string, o *peer.JobOffer) {
	if h := d.roster.Host(to); h != nil && h.Beat != nil {
		o.Heard, o.HeardAgoMS = h.Beat.Clock, now.Sub(h.HeardAt).Milliseconds()
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
