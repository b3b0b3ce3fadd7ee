package claim

import (
	"fmt"
	"slices"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// Hosts of the two sizes of an uneven cell.
var (
	weakSize   = HostSize{Processors: 0.144, LinkBytesPerSecond: 19e6 / 8, MemoryMB: 144}
	strongSize = HostSize{Processors: 0.48, LinkBytesPerSecond: 62e6 / 8, MemoryMB: 424}
)

// A host carries what its scarcest resource allows. One that knows nothing of its size
// reports nothing, as older processes do.
func TestCarries(t *testing.T) {
	must.Eq(t, 32, weakSize.Carries())
	must.Eq(t, 109, strongSize.Carries())
	must.Eq(t, 0, HostSize{}.Carries())
	must.Eq(t, minionsPerShard, HostSize{LinkBytesPerSecond: 25e6 / 8}.Carries(), must.Sprint("processors are not known"))
	must.Eq(t, 10, HostSize{Processors: 1, LinkBytesPerSecond: 2e6 / 8}.Carries())
	must.Eq(t, 16, HostSize{Processors: 1, MemoryMB: 80}.Carries())
	must.Eq(t, minMinionsPerShard, HostSize{Processors: 0.001, MemoryMB: 10}.Carries())
	must.Eq(t, maxCarries, HostSize{Processors: 1000}.Carries())
}

// unevenCell returns the hosts of a cell, the strong ones first, without claims.
func unevenCell(strong, weak int) []Candidate {
	var out []Candidate
	for i := range strong + weak {
		size := strongSize
		if i >= strong {
			size = weakSize
		}
		out = append(out, Candidate{Host: fmt.Sprintf("h%02d", i), Carries: size.Carries()})
	}
	return out
}

// The shards of an uneven cell are few and large while its strong hosts are enough for
// all minions. Small hosts alone, and hosts that are nearly alike, get shards of the usual
// size.
func TestShardSizeFollowsStrongHosts(t *testing.T) {
	for _, c := range []struct {
		strong, weak, minions, shards int
	}{
		{4, 13, 117, 2},
		{2, 13, 117, 2},
		{1, 13, 117, 4}, // the strong host alone is not enough
		{0, 13, 117, 5},
		{4, 13, 10, 1},
		{8, 0, 117, 5}, // all alike
		{3, 12, 300, 10},
	} {
		hosts := reportedBy(unevenCell(c.strong, c.weak))
		must.Eq(t, c.shards, WantedShards(c.minions, len(hosts), ShardSize(c.minions, hosts, MinionsPerShard(0))), must.Sprintf("%+v", c))
	}
	must.Eq(t, minionsPerShard, ShardSize(200, []int{43, 60, 85, 0}, minionsPerShard), must.Sprint("less than twice as large"))
	must.Eq(t, minionsPerShard, ShardSize(200, []int{90, 90, 0, 0}, minionsPerShard), must.Sprint("older processes tell nothing"))
	must.Eq(t, 10, ShardSize(23, []int{10, 10, 10}, 10), must.Sprint("slow links"))
	must.Eq(t, 20, ShardSize(2000, []int{64, 20}, minionsPerShard), must.Sprint("nobody is enough"))
}

// claimFree lets every host claim the free shards that Plan gives it, and returns the
// number of shards of each.
func claimFree(t *testing.T, hosts []Candidate, shardCount int) map[string]int {
	t.Helper()
	held := make(map[string]int)
	for i, self := range hosts {
		others := slices.Concat(hosts[:i], hosts[i+1:])
		plan, _ := Plan(self, others, shardCount)
		for shard, d := range plan {
			if d == Take {
				held[self.Host]++
				hosts[i].Claims = append(hosts[i].Claims, peer.Claim{Shard: shard, ShardCount: shardCount, LayoutVersion: 1, Token: uint64(100*shard + i)})
			}
		}
	}
	return held
}

// Strong hosts claim the shards, each one before any of them claims two, and the next
// strong host those of a strong host that is lost. Weak hosts claim only when no strong
// one is left.
func TestStrongHostsClaimFirst(t *testing.T) {
	hosts := unevenCell(4, 13)
	held := claimFree(t, hosts, 3)
	must.MapLen(t, 3, held)
	for len(hosts) > 13 {
		hosts = hosts[1:]
		claimFree(t, hosts, 3)
		strong := len(hosts) - 13
		for i, h := range hosts {
			if i < strong {
				must.LessEq(t, (3+strong-1)/strong, len(h.Claims))
			} else if strong > 0 {
				must.SliceEmpty(t, h.Claims, must.Sprint(h.Host))
			}
		}
	}
	for _, h := range hosts {
		must.LessEq(t, 1, len(h.Claims))
	}
}

// Where all hosts are alike, or some report nothing, the successor is the host with the
// fewest shards and among these the first by rendezvous hashing, whatever they report.
func TestEqualHostsClaimAsBefore(t *testing.T) {
	for _, reports := range [][]int{{0, 0, 0}, {43, 43, 43}, {43, 0, 60}} {
		hosts := []Candidate{{Host: "a"}, {Host: "b"}, {Host: "c"}}
		for i := range hosts {
			hosts[i].Carries = reports[i]
		}
		for shard := range 50 {
			held := map[string]int{"a": shard % 2, "b": shard % 3, "c": 1}
			plain := []Candidate{{Host: "a"}, {Host: "b"}, {Host: "c"}}
			must.Eq(t, successor(plain, plain, held, shard).Host, successor(hosts, hosts, held, shard).Host)
		}
	}
}
