package claim

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// holding returns a candidate that claims the only shard.
func holding(host string, token uint64) Candidate {
	return Candidate{Host: host, Claims: []peer.Claim{{Shard: 0, ShardCount: 1, LayoutVersion: 1, Token: token}}}
}

// decide returns the decision about the only shard.
func decide(self Candidate, others ...Candidate) Decision {
	d, _ := Plan(self, others, 1)
	return d[0]
}

// Shards without a holder are spread over the hosts: no host claims a second shard
// while another host has none.
func TestFreeShardsAreSpread(t *testing.T) {
	var hosts []Candidate
	for i := range 9 {
		hosts = append(hosts, Candidate{Host: string(rune('a' + i))})
	}
	taken := make(map[int]int)
	for i, self := range hosts {
		others := append(append([]Candidate{}, hosts[:i]...), hosts[i+1:]...)
		plan, _ := Plan(self, others, 6)
		n := 0
		for shard, d := range plan {
			if d == Take {
				taken[shard]++
				n++
			}
		}
		must.LessEq(t, 1, n)
	}
	for shard := range 6 {
		must.Eq(t, 1, taken[shard])
	}
}

// The newest layout counts; a claim of another layout does not make its host the
// holder of a shard of the newest.
func TestNewestLayoutCounts(t *testing.T) {
	old := holding("a", 9)
	next := Candidate{Host: "b", Claims: []peer.Claim{{Shard: 0, ShardCount: 2, LayoutVersion: 5, Token: 10}}}
	shardCount, layout := NewestShardLayout([]Candidate{old, next})
	must.Eq(t, 2, shardCount)
	must.Eq(t, 5, layout)
	plan, _ := Plan(old, []Candidate{next}, shardCount)
	must.Eq(t, []Decision{Keep, Take}, plan)
}

// A shard is smaller where links are slow, so that a dispatcher's link carries the load of
// its minions.
func TestMinionsPerShard(t *testing.T) {
	must.Eq(t, minionsPerShard, MinionsPerShard(0), must.Sprint("no limit is set"))
	must.Eq(t, minionsPerShard, MinionsPerShard(25e6/8))
	must.Eq(t, 10, MinionsPerShard(2e6/8))
	must.Eq(t, minMinionsPerShard, MinionsPerShard(1))
}

func TestWantedShards(t *testing.T) {
	must.Eq(t, 1, WantedShards(0, 3, minionsPerShard))
	must.Eq(t, 1, WantedShards(16, 3, minionsPerShard))
	must.Eq(t, 5, WantedShards(117, 12, minionsPerShard))
	must.Eq(t, 3, WantedShards(117, 3, minionsPerShard))
	must.Eq(t, 3, WantedShards(23, 4, MinionsPerShard(250_000)))
	must.True(t, NeedsRelayout(1, 5, false))
	must.False(t, NeedsRelayout(4, 5, false))
	must.True(t, NeedsRelayout(5, 2, false))
	must.False(t, NeedsRelayout(1, 1, false))
	must.True(t, NeedsRelayout(1, 2, false))
}

// Exactly one of the live hosts claims a shard without a holder.
func TestOneHostTakesAFreeShard(t *testing.T) {
	hosts := []Candidate{{Host: "a"}, {Host: "b"}, {Host: "c"}, {Host: "d"}}
	taken := 0
	for i, self := range hosts {
		var others []Candidate
		others = append(append(others, hosts[:i]...), hosts[i+1:]...)
		if decide(self, others...) == Take {
			taken++
		}
	}
	must.Eq(t, 1, taken)
}

func TestHolderKeepsItsShard(t *testing.T) {
	for _, other := range []string{"a", "c", "z"} {
		must.Eq(t, Keep, decide(holding("b", 5), Candidate{Host: other}))
		must.Eq(t, Keep, decide(Candidate{Host: other}, holding("b", 5)))
	}
}

func TestLowerTokenReleases(t *testing.T) {
	must.Eq(t, Release, decide(holding("a", 5), holding("b", 6)))
	must.Eq(t, Keep, decide(holding("b", 6), holding("a", 5)))
}

// A holder that is shutting down keeps its claim until its successor claims the shard
// with a higher token.
func TestHolderShuttingDownIsReplaced(t *testing.T) {
	shuttingDown := holding("a", 5)
	shuttingDown.ShuttingDown = true
	must.Eq(t, Take, decide(Candidate{Host: "b"}, shuttingDown))
	must.Eq(t, Keep, decide(shuttingDown, Candidate{Host: "b"}))
	must.Eq(t, Release, decide(shuttingDown, holding("b", 6)))
	must.Eq(t, Keep, decide(shuttingDown), must.Sprint("no other host is live"))
}

// Tokens fit into 53 bits, rise even if the clock jumps back, and differ between
// processes.
func TestTokensRiseAndDiffer(t *testing.T) {
	now := time.UnixMilli(1_790_000_000_000)
	a := Token(now, 0, 1)
	must.Less(t, uint64(1)<<53, a)
	must.Greater(t, a, NextToken(a))
	must.Greater(t, a, Token(now.Add(-time.Hour), a, 2), must.Sprint("a clock that jumped back"))
	must.NotEq(t, Token(now, 0, 1), Token(now, 0, 2))
	must.Eq(t, 1, NextToken(NextToken(a))&(1<<tokenProcessBits-1))
}

// Minions that come and go in numbers, as when empty ones are added, do not interrupt the
// jobs in progress with a new layout. A layout from before most minions were known is
// replaced.
func TestBusyShardsKeepTheirLayout(t *testing.T) {
	must.True(t, NeedsRelayout(4, 8, false))
	must.False(t, NeedsRelayout(4, 8, true))
	must.False(t, NeedsRelayout(5, 8, true))
	must.False(t, NeedsRelayout(5, 2, true))
	must.True(t, NeedsRelayout(1, 3, true))
	must.True(t, NeedsRelayout(8, 2, true))
	must.False(t, NeedsRelayout(3, 4, false))
}
