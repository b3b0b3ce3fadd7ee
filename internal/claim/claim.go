// Package claim decides which entry host of a failure domain dispatches on which
// of its minions. The minions of a cell are split into shards. A host claims a
// shard by choosing a fencing token above all that it has seen; the claim with the
// highest token counts. If two hosts claim a shard at the same time, its tasks are
// delayed, but safety is kept: a minion obeys only the highest token. No
// consensus is needed, so a failure domain that is cut off keeps dispatching.
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
	// HeartbeatTimeout is the time without a heartbeat after which a host is no longer a
	// Candidate: other hosts claim its shards.
	HeartbeatTimeout = 600 * time.Millisecond
	// ClosedConnTimeout is the time after which a host whose connection was closed is no
	// longer a Candidate, if no heartbeat follows.
	ClosedConnTimeout = 150 * time.Millisecond
	// StartupWait is how long a new process receives the claims of other hosts before
	// it makes one itself.
	StartupWait = 1200 * time.Millisecond
	// ShortStartupWait is the shorter wait of a process that has received a heartbeat
	// from every listed host. It leaves time for one heartbeat of each host, and for
	// control hosts that restart to list the hosts.
	ShortStartupWait = 240 * time.Millisecond
	// RelayoutDelay is how long NeedsRelayout must be true for a shard layout before the
	// layout is replaced.
	RelayoutDelay = 3 * time.Second
	// ReclaimDelay is how long a host waits before it claims a shard again after losing
	// its claim, while it knows of no other claim.
	ReclaimDelay = time.Second
)

// Candidate is a live host of the cell with the shards that it claims.
type Candidate struct {
	Host         string
	ShuttingDown bool
	Carries      int // number of minions that it can dispatch for; 0: not known
	Claims       []peer.Claim
}

const (
	// minionsPerShard is how many minions one shard should have: their load of about
	// 50 tasks at a time uses a tenth of an entry host's processor.
	minionsPerShard    = 24
	minMinionsPerShard = 6 // fewer have too little capacity for one job of many tasks
	maxShards          = 64
	// minionBytesPerSecond is an estimate of what a dispatcher sends to one minion for starts
	// and polls under the usual load, with the headers of HTTP.
	minionBytesPerSecond = 10_000
	// minionLinkShare is the share of a dispatcher's link that its minions may take up,
	// in percent: callers, offers and bursts need the rest.
	minionLinkShare = 40
)

// MinionsPerShard returns how many minions one shard should have where all hosts are alike,
// given the rate of a dispatcher's link in bytes per second; 0: not limited. The load that it answers is a
// failure domain whose dispatcher has a full link while those of other hosts are idle.
func MinionsPerShard(linkRate int64) int {
	if linkRate <= 0 {
		return minionsPerShard
	}
	return int(min(minionsPerShard, max(minMinionsPerShard, linkMinions(linkRate))))
}

// WantedShards returns the number of shards of the given size that suits the number of
// minions and hosts.
func WantedShards(minions, hosts, perShard int) int {
	n := (minions + perShard - 1) / perShard
	return max(1, min(n, hosts, maxShards))
}

// NeedsRelayout reports whether a layout of shardCount shards should be replaced by one
// of wanted shards. Small differences are accepted, because moving minions to another
// shard takes time. If keepJobs is set, so are larger ones: the jobs in progress would lose
// their runs, and a dispatcher carries twice the minions for which layouts are made, unless
// its link limits them.
func NeedsRelayout(shardCount, wanted int, keepJobs bool) bool {
	if keepJobs {
		return wanted > 2*shardCount || 4*wanted <= shardCount
	}
	return 2*wanted >= 3*shardCount+1 || 2*wanted <= shardCount
}

// ShardOf returns the shard of a minion in a layout of shardCount shards.
func ShardOf(minion string, shardCount int) int {
	return int(xxhash.Sum64String(minion) % uint64(shardCount))
}

// NewestShardLayout returns the number of shards and the version of the newest shard
// layout in the candidates' claims. Both are 0 if there is no claim.
func NewestShardLayout(candidates []Candidate) (shardCount int, layout uint64) {
	for i := range candidates {
		for _, c := range candidates[i].Claims {
			if c.LayoutVersion > layout {
				shardCount, layout = c.ShardCount, c.LayoutVersion
			}
		}
	}
	return shardCount, layout
}

// Holder returns the candidate with the highest token for a shard and its claim, or
// nil if nobody claims the shard. A host that is shutting down keeps its claim until
// another host has claimed the shard with a higher token.
func Holder(candidates []Candidate, shard, shardCount int) (*Candidate, peer.Claim) {
	var holder *Candidate
	var held peer.Claim
	for i := range candidates {
		for _, c := range candidates[i].Claims {
			if c.Shard == shard && c.ShardCount == shardCount && c.Token > held.Token {
				holder, held = &candidates[i], c
			}
		}
	}
	return holder, held
}

// Decision is what a host does about its claim to one shard.
type Decision uint8

// Decisions.
const (
	Keep    Decision = iota // change nothing, whether or not the host is the shard's holder
	Take                    // claim the shard: it has no holder, or the holder is shutting down or handing over
	Release                 // drop the claim: another host has a higher token
)

// Plan returns the host's decision for each shard of a layout of shardCount shards,
// and the highest token seen for each shard. others are the live hosts of its cell
// without itself.
func Plan(self Candidate, others []Candidate, shardCount int) ([]Decision, []uint64) {
	all := append([]Candidate{self}, others...)
	decisions, tokens := make([]Decision, shardCount), make([]uint64, shardCount)
	held := make(map[string]int)
	var free, handedOver []int
	for shard := range shardCount {
		holder, c := Holder(all, shard, shardCount)
		tokens[shard] = c.Token
		switch {
		case holder == nil || holder.ShuttingDown:
			free = append(free, shard)
		default:
			held[holder.Host]++
			if holder.Host != self.Host && holdsClaim(&self, shard, shardCount) {
				decisions[shard] = Release
			}
			if c.Phase == peer.ClaimHandingOver {
				handedOver = append(handedOver, shard)
			}
		}
	}
	for _, shard := range free {
		next := successor(all, all, held, shard)
		if next == nil {
			continue
		}
		held[next.Host]++
		if next.Host == self.Host {
			decisions[shard] = Take
		}
	}
	for _, shard := range handedOver {
		holder, _ := Holder(all, shard, shardCount)
		if next := receiver(all, holder, held, shard); next != nil {
			held[holder.Host]--
			held[next.Host]++
			if next.Host == self.Host {
				decisions[shard] = Take
			}
		}
	}
	return decisions, tokens
}

// holdsClaim reports whether a candidate claims a shard, with any token.
func holdsClaim(c *Candidate, shard, shardCount int) bool {
	return slices.ContainsFunc(c.Claims, func(x peer.Claim) bool { return x.Shard == shard && x.ShardCount == shardCount })
}

// successor returns the host that should claim a free shard: among the hosts that are
// not shutting down, the one that is then loaded least, chosen by rendezvous hashing among
// several so that all hosts choose the same. The load is the number of shards; where the
// hosts of the cell are uneven, it is in proportion to what each carries. The result is nil
// if every candidate is shutting down.
func successor(cell, candidates []Candidate, held map[string]int, shard int) *Candidate {
	var eligible []Candidate
	for _, c := range candidates {
		if !c.ShuttingDown {
			eligible = append(eligible, c)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	uneven := Uneven(reportedBy(cell))
	next := slices.MinFunc(eligible, func(a, b Candidate) int {
		return cmp.Or(compareLoads(&a, &b, held, uneven), cmp.Compare(rendezvousHash(a.Host, shard), rendezvousHash(b.Host, shard)))
	})
	return &next
}

// compareLoads compares the loads that two hosts would have with one more shard.
func compareLoads(a, b *Candidate, held map[string]int, uneven bool) int {
	loadA, loadB := held[a.Host]+1, held[b.Host]+1
	if uneven {
		loadA, loadB = loadA*carried(b.Carries), loadB*carried(a.Carries)
	}
	return cmp.Compare(loadA, loadB)
}

// reportedBy returns what each host reports to carry.
func reportedBy(candidates []Candidate) []int {
	var out []int
	for _, c := range candidates {
		out = append(out, c.Carries)
	}
	return out
}

// rendezvousHash ranks the hosts for a shard; the lowest value wins.
func rendezvousHash(host string, shard int) uint64 {
	return xxhash.Sum64String(host + "/" + strconv.Itoa(shard))
}

// A token fits into 53 bits. The upper bits are a round, which is the wall time in
// units of tokenRoundMS or, if that is not above the rounds seen, one more than the
// highest of them. The lower tokenProcessBits bits are those of the process's ID, which
// is a hash: the tokens of two processes are equal only if both parts are.
const (
	tokenProcessBits = 16
	tokenRoundMS     = 16
)

// Token returns a fencing token above seen. Its round is at least that of the wall
// clock, so that the token is usually also above those of other processes that this
// host has not received. Only the lowest tokenProcessBits bits of processID are used.
func Token(wall time.Time, seen uint64, processID uint64) uint64 {
	round := max(uint64(wall.UnixMilli())/tokenRoundMS, seen>>tokenProcessBits+1)
	return round<<tokenProcessBits | processID&(1<<tokenProcessBits-1)
}

// NextToken returns the token of the same process in the next round.
func NextToken(token uint64) uint64 { return token + 1<<tokenProcessBits }
