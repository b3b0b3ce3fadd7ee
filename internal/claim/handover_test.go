package claim

import (
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// claims returns the claims of one host to shards of a layout, with a token each.
func claims(shardCount int, phase peer.ClaimPhase, shards ...int) []peer.Claim {
	var out []peer.Claim
	for _, s := range shards {
		out = append(out, peer.Claim{Shard: s, ShardCount: shardCount, LayoutVersion: 1, Token: uint64(10 + s), Phase: phase})
	}
	return out
}

// takers returns the hosts that claim each shard.
func takers(hosts []Candidate, shardCount int) map[int][]string {
	out := make(map[int][]string)
	for i, self := range hosts {
		others := append(append([]Candidate{}, hosts[:i]...), hosts[i+1:]...)
		plan, _ := Plan(self, others, shardCount)
		for shard, d := range plan {
			if d == Take {
				out[shard] = append(out[shard], self.Host)
			}
		}
	}
	return out
}

// A shard that a weak host hands over goes to a strong host without one, and to nobody if
// that would leave it with a host that is not better off.
func TestShardHandedOverGoesToStrongerHost(t *testing.T) {
	hosts := unevenCell(2, 2)
	hosts[0].Claims = claims(2, peer.ClaimServing, 1)
	hosts[2].Claims = claims(2, peer.ClaimHandingOver, 0)
	must.Eq(t, map[int][]string{0: {"h01"}}, takers(hosts, 2))
	hosts[1].ShuttingDown = true
	must.Eq(t, map[int][]string{0: {"h00"}}, takers(hosts, 2), must.Sprint("two shards are less for it than one for the weak host"))
	must.Eq(t, map[int][]string{1: {"h03"}}, takers(hosts[2:], 2), must.Sprint("the other weak host is no better"))
}

// A host with several shards can hand one over to an equal host, which doesn't hand it back.
func TestShardHandedOverSpreadsLoad(t *testing.T) {
	both := append(claims(2, peer.ClaimHandingOver, 0), claims(2, peer.ClaimServing, 1)...)
	must.Eq(t, map[int][]string{0: {"b"}}, takers([]Candidate{{Host: "a", Claims: both}, {Host: "b"}}, 2))
	hosts := []Candidate{{Host: "a", Claims: claims(2, peer.ClaimServing, 1)}, {Host: "b", Claims: claims(2, peer.ClaimHandingOver, 0)}}
	must.MapEmpty(t, takers(hosts, 2))
}

// Only a host that holds clearly more than it carries hands over, and only if a strong
// host has no shard: between equal hosts shards would go back and forth.
func TestOnlyOverloadedWeakHostsHandOver(t *testing.T) {
	cell := unevenCell(1, 2)
	strong, weak := cell[0], cell[1]
	decide := func(self Candidate, minions map[int]int, others ...Candidate) int {
		shard, ok := ShardToHandOver(self, others, minions, 2)
		if !ok {
			return -1
		}
		return shard
	}
	must.Eq(t, 1, decide(weak, map[int]int{1: 58}, strong))
	must.Eq(t, 0, decide(weak, map[int]int{0: 25, 1: 20}, strong), must.Sprint("the larger of two"))
	must.Eq(t, -1, decide(weak, map[int]int{1: 36}, strong))
	must.Eq(t, -1, decide(weak, nil, strong))
	must.Eq(t, -1, decide(weak, map[int]int{1: 58}, cell[2]))
	must.Eq(t, -1, decide(strong, map[int]int{1: 200}, weak))
	must.Eq(t, -1, decide(Candidate{Host: "old"}, map[int]int{1: 58}, strong))
	strong.Claims = claims(2, peer.ClaimServing, 0)
	must.Eq(t, -1, decide(weak, map[int]int{1: 58}, strong))
}

// A new layout is announced by the holder of the first shard alone, and waits for every
// holder that it knows of.
func TestLayoutWaitsForHolders(t *testing.T) {
	first := Candidate{Host: "a", Claims: claims(2, peer.ClaimFinished, 0)}
	second := Candidate{Host: "b", Claims: claims(2, peer.ClaimFinishing, 1)}
	must.True(t, RelayoutAnnounced(second, []Candidate{first}, 2))
	must.False(t, RelayoutAnnounced(second, nil, 2))
	must.False(t, RelayoutAnnounced(first, []Candidate{second}, 2), must.Sprint("it decides by itself"))
	must.False(t, AllFinished([]Candidate{first, second}, 2))
	second.Claims[0].Phase = peer.ClaimFinished
	must.True(t, AllFinished([]Candidate{first, second}, 2))
}

// The maker of a new layout keeps its first shard unless it is weak among strong hosts.
func TestBestHolderIsStrong(t *testing.T) {
	cell := unevenCell(1, 2)
	must.True(t, BestHolder(cell[0], cell[1:], 0))
	must.False(t, BestHolder(cell[1], []Candidate{cell[0], cell[2]}, 0))
	must.True(t, BestHolder(cell[1], cell[2:], 0))
}

// A host that is the bottleneck hands a shard over only if another one then has less in
// proportion to what it carries: where all are alike and have one shard each, none is handed
// back and forth.
func TestRelievedByHostsThatCarryMore(t *testing.T) {
	weak := Candidate{Host: "weak", Carries: 30, Claims: claims(3, peer.ClaimServing, 0)}
	must.True(t, CanRelieve(weak, []Candidate{{Host: "strong", Carries: 100}}, 0, 3))
	must.True(t, CanRelieve(weak, []Candidate{{Host: "strong", Carries: 100, Claims: claims(3, peer.ClaimServing, 1)}}, 0, 3))
	must.False(t, CanRelieve(weak, []Candidate{{Host: "alike", Carries: 30}}, 0, 3))
	must.False(t, CanRelieve(weak, []Candidate{{Host: "stopping", Carries: 100, ShuttingDown: true}}, 0, 3))
	several := Candidate{Host: "weak", Carries: 30, Claims: claims(3, peer.ClaimServing, 0, 1, 2)}
	must.True(t, CanRelieve(several, []Candidate{{Host: "alike", Carries: 30}}, 1, 3))
}
