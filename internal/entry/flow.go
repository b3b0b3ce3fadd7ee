package entry

import "time"

// Flow control keeps a slow dispatcher, or one behind a slow link, from being buried in
// offers: those that it can't acknowledge would arrive too late to be of use, and delay
// the others. The load that it answers is a link, a processor or a peer that carries less
// than is offered to it.
const (
	// maxUnackedOffers is how many offers to one dispatcher may be unacknowledged at a
	// time.
	maxUnackedOffers = 32
	// maxAckDelay is how long the oldest unacknowledged offer to a dispatcher may have been
	// in flight when another one is offered to it. Acknowledgements take a few milliseconds.
	maxAckDelay = 300 * time.Millisecond
	// maxResendDoublings bounds the time between two copies of an offer to
	// resendInterval<<maxResendDoublings.
	maxResendDoublings = 2
)

// unackedOffers describes the offers to a dispatcher that it has not acknowledged.
type unackedOffers struct {
	count  int
	oldest time.Time // when the oldest of them was first sent
}

// unacked returns the unacknowledged offers of each dispatcher.
func (t *Table) unacked() map[dispatcherID]unackedOffers {
	if t.flight != nil {
		return t.flight
	}
	out := make(map[dispatcherID]unackedOffers)
	for _, j := range t.jobs {
		if j.dispatcher.host == "" || j.dispatcher.host == t.self || !j.ackedAt.IsZero() {
			continue
		}
		u := out[j.dispatcher]
		u.count++
		if u.oldest.IsZero() || j.offeredAt.Before(u.oldest) {
			u.oldest = j.offeredAt
		}
		out[j.dispatcher] = u
	}
	t.flight = out
	return out
}

// isFull reports whether no further offer may be made to the dispatcher now.
func (u unackedOffers) isFull(now time.Time) bool {
	return u.count >= maxUnackedOffers || u.count > 0 && now.Sub(u.oldest) > maxAckDelay
}

// delay returns how long an offer is expected to be in flight behind the unacknowledged
// ones.
func (u unackedOffers) delay(now time.Time) time.Duration {
	if u.count == 0 {
		return 0
	}
	return max(0, now.Sub(u.oldest)-usualAckDelay)
}

// usualAckDelay is the time to an acknowledgement that says nothing about a dispatcher.
const usualAckDelay = 40 * time.Millisecond

// resendDelay returns the time after which an unacknowledged offer that was sent n times
// is sent again.
func resendDelay(n int) time.Duration {
	return resendInterval << min(max(0, n-1), maxResendDoublings)
}
