package minion

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share defines which part of the minions' slots this host may use. All hosts
// compute their shares by the same rule from the minions they know. If they know
// different minions, shares can overlap, and a full minion refuses the task.
type Share struct {
	All   bool   // all slots except the loans; if false, only the loans
	Loans []Loan // slots that the dispatching host lends to others

	// Weights, if not empty, overrides All and Loans: every minion's slots are
	// divided among the hosts in proportion to their weights. Index is the
	// index of this host in Weights.
	Weights []int
	Index   int
}

// Loan is a number of slots lent to one host, spread evenly over the minions.
type Loan struct {
	Slots    int
	Borrower string
}

// SetShare sets this host's share and recomputes its slots on every minion.
func (r *Registry) SetShare(s Share) {
	r.share = s
	r.applyShare()
}

// applyShare recomputes how many slots of each minion this host may use.
func (r *Registry) applyShare() {
	for i, m := range r.ordered {
		m.share = r.share.slotsOn(m, i, len(r.ordered))
	}
}

// slotsOn returns how many slots of the minion belong to the share. minionIndex
// is the minion's position among the count minions ordered by name.
func (s *Share) slotsOn(m *Minion, minionIndex, count int) int {
	if len(s.Weights) > 0 {
		return s.slotsBelow(m.Slots, minionIndex, s.Index+1) - s.slotsBelow(m.Slots, minionIndex, s.Index)
	}
	lent := 0
	for _, l := range s.Loans {
		offset := int(xxhash.Sum64String(l.Borrower) % uint64(count))
		lent += min(evenPart(l.Slots, count, (minionIndex+offset)%count), m.Slots)
	}
	if s.All {
		return max(m.Slots-lent, 0)
	}
	return min(lent, m.Slots)
}

// slotsBelow returns how many of a minion's slots belong to the hosts with an
// index in Weights below hostIndex. The rounding depends on the minion's
// position, so that each host's total over all minions follows the weights.
func (s *Share) slotsBelow(slots, minionIndex, hostIndex int) int {
	if hostIndex == 0 {
		return 0
	}
	below, total := 0, 0
	for i, w := range s.Weights {
		if i < hostIndex {
			below += w
		}
		total += w
	}
	if below == total {
		return slots
	}
	return (slots*below + (minionIndex*total/roundingVariants)%total) / total
}

// roundingVariants is the number of different rounding offsets that slotsBelow
// uses in turn for consecutive minions.
const roundingVariants = 5

// evenPart returns the size of the part at index when total is divided into
// parts that differ by at most one, the larger ones first.
func evenPart(total, parts, index int) int {
	if index < total%parts {
		return total/parts + 1
	}
	return total / parts
}

// InUse returns the number of this host's tasks in progress on all minions.
func (r *Registry) InUse() int { return r.inUse }

// IdleSlots returns how many tasks this host could start now on the unused slots of its
// share, not counting probes.
func (r *Registry) IdleSlots(now time.Time) int {
	n := 0
	for _, m := range r.ordered {
		if m.inUse < m.share && m.acceptsRegularTask(now) {
			n += m.limit.freeSlots(m.share, m.inUse)
		}
	}
	return n
}

// TotalSlots returns the number of slots of the minions that are ready and that this
// host has not ejected.
func (r *Registry) TotalSlots(now time.Time) int {
	n := 0
	for _, m := range r.ordered {
		if m.Ready(now) && !m.health.ejected {
			n += m.Slots
		}
	}
	return n
}

// acceptsRegularTask reports whether the minion may be sent a task that is not a
// probe.
func (m *Minion) acceptsRegularTask(now time.Time) bool {
	return !m.health.ejected && !m.health.peerEjected && m.limit.allows(now, m.inUse, false) && m.Ready(now)
}

// IdleServiceSlots returns how many tasks of the service this host could start now on the
// unused slots of its share, not counting probes.
func (r *Registry) IdleServiceSlots(now time.Time, service string) int {
	n := 0
	for _, m := range r.byService[service] {
		if m.inUse < m.share && m.acceptsRegularTask(now) {
			n += m.limit.freeSlots(m.share, m.inUse)
		}
	}
	return n
}
