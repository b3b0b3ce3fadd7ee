package minion

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share is the part of the minions' slots that this host may use. Hosts
// compute it alike from the same minions; where their views differ a full
// minion refuses.
type Share struct {
	All   bool   // all slots but the loans; otherwise the loans only
	Loans []Loan // slots that one host lends to others

	// Weights, when not empty, splits every minion's slots by the hosts'
	// weights instead; Index is the place of this host among them.
	Weights []int
	Index   int
}

// Loan is a number of slots lent to one host, spread over the minions.
type Loan struct {
	Slots    int
	Borrower string
}

// SetShare changes this host's share.
func (r *Registry) SetShare(s Share) {
	r.share = s
	r.applyShare()
}

func (r *Registry) applyShare() {
	for i, m := range r.ordered {
		m.share = r.share.of(m, i, len(r.ordered))
	}
}

// of returns the share of the minion with the given place among count.
func (s *Share) of(m *Minion, place, count int) int {
	if len(s.Weights) > 0 {
		return s.cut(m.Slots, place, s.Index+1) - s.cut(m.Slots, place, s.Index)
	}
	lent := 0
	for _, l := range s.Loans {
		first := int(xxhash.Sum64String(l.Borrower) % uint64(count))
		lent += min(part(l.Slots, count, (place+first)%count), m.Slots)
	}
	if s.All {
		return max(m.Slots-lent, 0)
	}
	return min(lent, m.Slots)
}

// cut returns how many of a minion's slots belong to the hosts below index. The
// rounding differs between minions, so that the sums follow the weights.
func (s *Share) cut(slots, place, index int) int {
	if index == 0 {
		return 0
	}
	below, total := 0, 0
	for i, w := range s.Weights {
		if i < index {
			below += w
		}
		total += w
	}
	if below == total {
		return slots
	}
	return (slots*below + (place*total/roundings)%total) / total
}

// roundings is the number of different roundings of shares.
const roundings = 5

// part returns the size of part number index when total is cut into parts as
// even as possible, the larger ones first.
func part(total, parts, index int) int {
	if index < total%parts {
		return total/parts + 1
	}
	return total / parts
}

// InUse returns this host's tasks in progress on all minions.
func (r *Registry) InUse() int { return r.inUse }

// Idle returns the unused slots of this host's share on the minions that may
// be given work.
func (r *Registry) Idle(now time.Time) int {
	n := 0
	for _, m := range r.ordered {
		if m.inUse < m.share && m.usable(now) {
			n += m.limit.room(m.share, m.inUse)
		}
	}
	return n
}

// Slots returns the slots of the minions that are ready and not ejected.
func (r *Registry) Slots(now time.Time) int {
	n := 0
	for _, m := range r.ordered {
		if m.Ready(now) && !m.health.ejected {
			n += m.Slots
		}
	}
	return n
}

// usable reports whether the minion may be given a task that is no probe.
func (m *Minion) usable(now time.Time) bool {
	return !m.health.ejected && !m.health.barred && m.limit.allows(now, m.inUse, false) && m.Ready(now)
}

// Free returns the slots of this host's share on which a task of the service
// could start now.
func (r *Registry) Free(now time.Time, service string) int {
	n := 0
	for _, m := range r.offers[service] {
		if m.inUse < m.share && m.usable(now) {
			n += m.limit.room(m.share, m.inUse)
		}
	}
	return n
}
