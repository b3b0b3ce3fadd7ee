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
	"strconv"
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
	// QuickSettle is the same when it has heard every host that is listed: one
	// beat of each, and time for control hosts that start anew to list them.
	QuickSettle = 240 * time.Millisecond
	// Relayout is for how long a layout must be far from the wanted one before
	// it is replaced.
	Relayout = 3 * time.Second
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

const (
	// minionsPerShard is how many minions one host dispatches on: the load of
	// about 50 tasks at a time takes a tenth of an entry host's processor.
	minionsPerShard = 24
	maxShards       = 64
)

// Wanted returns into how many shards the minions should be split.
func Wanted(minions, hosts int) int {
	n := (minions + minionsPerShard - 1) / minionsPerShard
	return max(1, min(n, hosts, maxShards))
}

// Far reports whether a layout should be replaced by one of the wanted size.
// Moving minions costs some time, so small differences are left.
func Far(of, wanted int) bool { return 2*wanted >= 3*of+1 || 2*wanted <= of }

// Shard returns the shard of a minion.
func Shard(minion string, of int) int {
	return int(xxhash.Sum64String(minion) % uint64(of))
}

// Layout returns the layout that counts: that of the newest claim; 0: there is
// no claim.
func Layout(candidates []Candidate) (of int, layout uint64) {
	for i := range candidates {
		for _, c := range candidates[i].Claims {
			if c.Layout > layout {
				of, layout = c.Of, c.Layout
			}
		}
	}
	return of, layout
}

// Holder returns the candidate with the highest token for a shard, or nil. A
// leaving host keeps its claim until another one has made a higher.
func Holder(candidates []Candidate, shard, of int) (*Candidate, peer.Claim) {
	var holder *Candidate
	var held peer.Claim
	for i := range candidates {
		for _, c := range candidates[i].Claims {
			if c.Shard == shard && c.Of == of && c.Token > held.Token {
				holder, held = &candidates[i], c
			}
		}
	}
	return holder, held
}

// Decision is what a host does about one shard.
type Decision uint8

// Decisions.
const (
	Keep Decision = iota
	Take
	Release
)

// Plan returns what the host does about each shard of a layout, and the highest
// token seen of each. others are the live hosts of its failure domain, without
// itself.
func Plan(self Candidate, others []Candidate, of int) ([]Decision, []uint64) {
	all := append([]Candidate{self}, others...)
	decisions, tokens := make([]Decision, of), make([]uint64, of)
	held := make(map[string]int)
	var free []int
	for shard := range of {
		holder, c := Holder(all, shard, of)
		tokens[shard] = c.Token
		switch {
		case holder == nil || holder.Leaving:
			free = append(free, shard)
		default:
			held[holder.Host]++
			if holder.Host != self.Host && holdsClaim(&self, shard, of) {
				decisions[shard] = Release
			}
		}
	}
	for _, shard := range free {
		next := successor(all, held, shard)
		if next == "" {
			continue
		}
		held[next]++
		if next == self.Host {
			decisions[shard] = Take
		}
	}
	return decisions, tokens
}

func holdsClaim(c *Candidate, shard, of int) bool {
	return slices.ContainsFunc(c.Claims, func(x peer.Claim) bool { return x.Shard == shard && x.Of == of })
}

// successor returns the host that claims a free shard: of those with the
// fewest, the first by a hash of the shard and the host.
func successor(candidates []Candidate, held map[string]int, shard int) string {
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
		return cmp.Or(cmp.Compare(held[a], held[b]), cmp.Compare(rendezvousHash(a, shard), rendezvousHash(b, shard)))
	})
}

func rendezvousHash(host string, shard int) uint64 {
	return xxhash.Sum64String(host + "/" + strconv.Itoa(shard))
}

// Tokens fit into 53 bits: a round of tokenRound in the upper part, and one
// that is the process's own in the lower, so that no two processes ever use the
// same token.
const (
	tokenProcessBits = 16
	tokenRoundMS     = 16 // milliseconds
)

// Token returns a fencing token above seen: its round is the time, so that it
// is above what processes chose that this one never heard of.
func Token(wall time.Time, seen uint64, own uint64) uint64 {
	round := max(uint64(wall.UnixMilli())/tokenRoundMS, seen>>tokenProcessBits+1)
	return round<<tokenProcessBits | own&(1<<tokenProcessBits-1)
}

// Next returns the same process's token of the next round.
func Next(token uint64) uint64 { return token + 1<<tokenProcessBits }
