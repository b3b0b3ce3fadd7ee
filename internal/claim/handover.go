package claim

import (
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// FinishTime is how long the holders of a cell's shards take no new jobs before a new
	// shard layout, so that their jobs in progress can end. Most jobs end within it, and
	// callers whose jobs have to wait for longer would not get their answers in time.
	FinishTime = time.Second
	// HandOverDelay is how long there must be a reason for handing a shard over. It is
	// longer than StartupWait: a host that has just started can claim the shard then, and
	// one that starts again and again gets none.
	HandOverDelay = 3 * time.Second
	// HandOverTimeout is how long a shard is offered to other hosts. They claim it with
	// the next heartbeat.
	HandOverTimeout = 300 * time.Millisecond
	// HandOverPause is how long a shard that was handed over, or that no host has
	// claimed, is not handed over again: each hand-over interrupts its service.
	HandOverPause = 10 * time.Second
	// LostHostDelay is how long a silent host counts in the size of shards. A process that
	// starts again is back before.
	LostHostDelay = 3 * time.Second
)

// A host carries clearly less than it holds if it has more than overloadNumerator
// / overloadDenominator times as many minions as it carries. Shards vary that much around
// their mean size, because a hash assigns the minions.
const overloadNumerator, overloadDenominator = 9, 8

// receiver returns the host that should claim a shard that its holder hands over, or nil if
// that would not spread the load better: the receiver must then have less in proportion to
// what it carries than the holder has now. So no shard is handed back and forth.
func receiver(cell []Candidate, holder *Candidate, held map[string]int, shard int) *Candidate {
	others := slices.DeleteFunc(slices.Clone(cell), func(c Candidate) bool { return c.Host == holder.Host })
	next := successor(cell, others, held, shard)
	if next == nil || (held[next.Host]+1)*carried(holder.Carries) >= held[holder.Host]*carried(next.Carries) {
		return nil
	}
	return next
}

// Overloaded reports whether a host that reports to carry a number of minions holds clearly
// more.
func Overloaded(minions, reported int) bool {
	return reported > 0 && minions*overloadDenominator > reported*overloadNumerator
}

// ShardToHandOver returns the shard that a weak host should hand over: it holds clearly
// more minions than it carries, and a strong host of the cell has no shard. minions is the
// number of minions of each shard that self holds.
func ShardToHandOver(self Candidate, others []Candidate, minions map[int]int, shardCount int) (shard int, ok bool) {
	total, most := 0, 0
	for number, n := range minions {
		total += n
		if !ok || n > most || n == most && number < shard {
			shard, most, ok = number, n, true
		}
	}
	if !ok || self.ShuttingDown || !Overloaded(total, self.Carries) {
		return 0, false
	}
	return shard, slices.ContainsFunc(others, func(o Candidate) bool {
		return !o.ShuttingDown && o.Carries >= strongFactor*self.Carries && !holdsAny(&o, shardCount)
	})
}

// CanRelieve reports whether another host of the cell would claim a shard that self hands over:
// it then has less in proportion to what it carries than self has now.
func CanRelieve(self Candidate, others []Candidate, shard, shardCount int) bool {
	cell := append([]Candidate{self}, others...)
	held := make(map[string]int)
	for i := range shardCount {
		if holder, _ := Holder(cell, i, shardCount); holder != nil {
			held[holder.Host]++
		}
	}
	return !self.ShuttingDown && receiver(cell, &self, held, shard) != nil
}

// holdsAny reports whether a candidate claims any shard of a layout.
func holdsAny(c *Candidate, shardCount int) bool {
	return slices.ContainsFunc(c.Claims, func(x peer.Claim) bool { return x.ShardCount == shardCount })
}

// RelayoutAnnounced reports whether another host holds the first shard and is about to make
// a new shard layout.
func RelayoutAnnounced(self Candidate, others []Candidate, shardCount int) bool {
	holder, c := Holder(append([]Candidate{self}, others...), 0, shardCount)
	return holder != nil && holder.Host != self.Host && c.Phase.IsFinishing()
}

// AllFinished reports whether no holder of a shard has a job left.
func AllFinished(candidates []Candidate, shardCount int) bool {
	for shard := range shardCount {
		if holder, c := Holder(candidates, shard, shardCount); holder != nil && c.Phase != peer.ClaimFinished {
			return false
		}
	}
	return true
}

// BestHolder reports whether a host should hold the given shard of a layout that nobody
// holds a shard of yet. Where hosts are alike, any of them may.
func BestHolder(self Candidate, others []Candidate, shard int) bool {
	all := append([]Candidate{self}, others...)
	return !Uneven(reportedBy(all)) || successor(all, all, map[string]int{}, shard).Host == self.Host
}
