// Package claim decides which entry host of a failure domain dispatches on
// which of its minions. The minions are split into shards; a host that claims
// a shard has chosen a fencing token above those it has seen, and the claim
// with the highest token counts. Two claims at a time cost time, never safety:
// a minion obeys the highest token only. No agreement is needed, so a failure
// domain that is cut off goes on by itself.
//
// The package is pure: it does no I/O and reads no clock.
package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// Timeout is the silence after which a host counts as gone.
	Timeout = 600 * time.Millisecond
	// ClosedTimeout is the same for a host whose connection was closed.
	ClosedTimeout = 150 * time.Millisecond
	// Settle is how long a new process listens for claims before it makes one.
	Settle = 1200 * time.Millisecond
	// Rebid is how long a host waits before it claims again what was taken
	// from it while it hears of no other claim.
	Rebid = time.Second
)

// Candidate is one live host of the failure domain.
type Candidate struct {
	Host    string
	Leaving bool
	Claims  []peer.Claim
}

// Shard returns the shard of a minion.
func Shard(minion string, shards int) int {
	return int(xxhash.Sum64String(minion) % uint64(shards))
}

// Holder returns the candidate with the highest token for a shard, or nil. A
// leaving host keeps its claim until another one has made a higher.
func Holder(candidates []Candidate, shard int) (*Candidate, uint64) {
	var holder *Candidate
	var token uint64
	for i := range candidates {
		for _, c := range candidates[i].Claims {
			if c.Shard == shard && c.Token > token {
				holder, token = &candidates[i], c.Token
			}
		}
	}
	return holder, token
}

// Successor returns the candidate that claims a shard that nobody holds: the
// first by a hash of the shard and the host, so that shards spread.
func Successor(candidates []Candidate, shard int) string {
	var staying []string
	for _, c := range candidates {
		if !c.Leaving {
			staying = append(staying, c.Host)
		}
	}
	if len(staying) == 0 {
		return ""
	}
	return slices.MinFunc(staying, func(a, b string) int {
		return cmp.Compare(weight(a, shard), weight(b, shard))
	})
}

func weight(host string, shard int) uint64 {
	return xxhash.Sum64String(host + "/" + string(rune('0'+shard)))
}

// Decision is what a host does about one shard.
type Decision uint8

// Decisions.
const (
	Keep Decision = iota
	Take
	Release
)

// Decide returns what the host does about a shard. others are the live hosts
// of its failure domain, without itself.
func Decide(self Candidate, others []Candidate, shard int) (Decision, uint64) {
	all := append([]Candidate{self}, others...)
	holder, token := Holder(all, shard)
	mine := slices.ContainsFunc(self.Claims, func(c peer.Claim) bool { return c.Shard == shard })
	switch {
	case holder != nil && holder.Host != self.Host && !holder.Leaving:
		if mine {
			return Release, token
		}
	case holder != nil && holder.Host == self.Host && !self.Leaving:
	case Successor(all, shard) == self.Host:
		return Take, token
	}
	return Keep, token
}

// Tokens fit into 53 bits: a round of tokenRound in the upper part, and one
// that is the process's own in the lower, so that no two processes ever use the
// same token.
const (
	tokenBits  = 16
	tokenRound = 16 // milliseconds
)

// Token returns a fencing token above seen: its round is the time, so that it
// is above what processes chose that this one never heard of.
func Token(wall time.Time, seen uint64, own uint64) uint64 {
	round := max(uint64(wall.UnixMilli())/tokenRound, seen>>tokenBits+1)
	return round<<tokenBits | own&(1<<tokenBits-1)
}

// Next returns the same process's token of the next round.
func Next(token uint64) uint64 { return token + 1<<tokenBits }
