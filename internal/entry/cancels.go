package entry

import (
	"slices"
	"time"
)

const (
	// maxPendingCancels bounds the cancellations that are repeated. Beyond it the oldest ones
	// are dropped; their dispatchers end the jobs when this host is silent, or at the
	// deadlines.
	maxPendingCancels = 1 << 14
	// maxCancelResends bounds the cancellations that are sent again in one tick. Those of a
	// full host would fill its link: the more there are, the longer each one waits for its
	// next copy. 5,000 are sent in a second, before their callers' next try.
	maxCancelResends = 100
)

// pendingCancel is a cancellation that is repeated until the offer's result arrives.
// Messages on a connection that is reset are lost, so no number of copies is enough: a
// caller that has left may have sent the job again to another host, and its runs here
// must not go on beside the new ones.
type pendingCancel struct {
	offerRef
	job        string
	repeatedAt time.Time // when it was last sent
	until      time.Time // when the dispatcher has ended the job by itself, at its deadline
	ended      bool      // answered, or dropped
}

// cancelKey identifies the offer that a cancellation withdraws.
type cancelKey struct {
	to, job string
	offer   uint64
}

func (c *pendingCancel) key() cancelKey { return cancelKey{c.host, c.job, c.number} }

// pendingCancels holds the cancellations that are repeated. The zero value is empty.
type pendingCancels struct {
	byKey map[cancelKey]*pendingCancel
	order []*pendingCancel // by time of the last regular copy; may contain ended ones
}

// add adds a cancellation, or returns the one of the same offer.
func (p *pendingCancels) add(ref offerRef, job string, until time.Time) *pendingCancel {
	if c := p.find(ref.host, job, ref.number); c != nil {
		return c
	}
	if p.byKey == nil {
		p.byKey = make(map[cancelKey]*pendingCancel)
	}
	for i := 0; len(p.byKey) >= maxPendingCancels; i++ {
		p.end(p.order[i])
	}
	if len(p.order) >= 2*maxPendingCancels {
		p.order = slices.DeleteFunc(p.order, func(c *pendingCancel) bool { return c.ended })
	}
	c := &pendingCancel{offerRef: ref, job: job, until: until}
	p.byKey[c.key()] = c
	p.order = append(p.order, c)
	return c
}

func (p *pendingCancels) find(to, job string, offer uint64) *pendingCancel {
	return p.byKey[cancelKey{to, job, offer}]
}

// remove removes the cancellation of an offer whose result has arrived.
func (p *pendingCancels) remove(to, job string, offer uint64) {
	if c := p.find(to, job, offer); c != nil {
		p.end(c)
	}
}

func (p *pendingCancels) end(c *pendingCancel) {
	if !c.ended {
		c.ended = true
		delete(p.byKey, c.key())
	}
}

// due returns the cancellations that are to be sent again now, those first whose last copy is
// the oldest, and drops those whose time is up.
func (p *pendingCancels) due(now time.Time) []*pendingCancel {
	var due []*pendingCancel
	left := p.order[:0]
	for _, c := range p.order {
		if now.After(c.until) {
			p.end(c)
		}
		switch {
		case c.ended:
		case len(due) < maxCancelResends && now.Sub(c.repeatedAt) >= resendInterval:
			due = append(due, c)
		default:
			left = append(left, c)
		}
	}
	clear(p.order[len(left):])
	p.order = append(left, due...)
	return due
}
