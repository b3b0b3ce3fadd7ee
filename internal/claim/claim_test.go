package claim

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

func holding(host string, token uint64) Candidate {
	return Candidate{Host: host, Claims: []peer.Claim{{Shard: 0, Token: token}}}
}

func decide(self Candidate, others ...Candidate) Decision {
	d, _ := Decide(self, others, 0)
	return d
}

// Of the live hosts exactly one takes a shard that nobody holds.
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

// A leaving holder keeps its claim until the successor has a higher one.
func TestLeavingHolderIsSucceeded(t *testing.T) {
	leaving := holding("a", 5)
	leaving.Leaving = true
	must.Eq(t, Take, decide(Candidate{Host: "b"}, leaving))
	must.Eq(t, Keep, decide(leaving, Candidate{Host: "b"}))
	must.Eq(t, Release, decide(leaving, holding("b", 6)))
	must.Eq(t, Keep, decide(leaving), must.Sprint("nobody else is there"))
}

// Tokens fit into 53 bits, rise, and differ between processes.
func TestTokens(t *testing.T) {
	now := time.UnixMilli(1_790_000_000_000)
	a := Token(now, 0, 1)
	must.Less(t, uint64(1)<<53, a)
	must.Greater(t, a, Next(a))
	must.Greater(t, a, Token(now.Add(-time.Hour), a, 2), must.Sprint("a clock that jumped back"))
	must.NotEq(t, Token(now, 0, 1), Token(now, 0, 2))
	must.Eq(t, 1, Next(Next(a))&(1<<tokenBits-1))
}
