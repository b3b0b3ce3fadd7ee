package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// beats runs an engine among n peers for 20 s and counts the heartbeats that
// each got.
func beats(n int) map[string]int {
	start := time.Unix(1000, 0)
	cfg := Config{
		Host: membership.Host{Name: "self", FailureDomain: "d0", Region: "r0"}, StartedAt: start,
		HeartbeatEvery: 500 * time.Millisecond, PeerTimeout: 2 * time.Second, MinionLease: time.Second,
	}
	for i := range n {
		d := i % 22
		cfg.Peers = append(cfg.Peers, membership.Host{Name: fmt.Sprintf("p%03d", i), FailureDomain: fmt.Sprint("d", d), Region: fmt.Sprint("r", d%6)})
	}
	e := New(cfg)
	got := map[string]int{}
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
		e.Tick(now)
		for _, m := range e.Ready().Messages {
			if _, ok := m.Body.(*peer.Heartbeat); ok {
				got[m.To]++
			}
		}
	}
	return got
}

// In a small system every peer gets every heartbeat.
func TestSmallSystemBeatsToAll(t *testing.T) {
	for _, n := range beats(10) {
		must.Eq(t, 40, n)
	}
}

// In a large one the traffic is bounded, the own domain is told each time, and
// nobody is left out for as long as links stay open.
func TestLargeSystemBeatsInTurn(t *testing.T) {
	got := beats(175)
	must.MapLen(t, 175, got)
	sum := 0
	for name, n := range got {
		must.GreaterEq(t, 40/maxStride, n, must.Sprint(name))
		sum += n
	}
	must.Eq(t, 40, got["p000"]) // of the own failure domain
	must.Less(t, 40*(8+regionBeats+farBeats+2), sum)
}

// A peer that is told seldom is not taken for dead between two heartbeats.
func TestSlackOfSeldomPeers(t *testing.T) {
	start := time.Unix(1000, 0)
	v := membership.NewView(time.Second, []membership.Host{{Name: "near"}, {Name: "far"}})
	v.Get("far").Slack = 3 * time.Second
	v.Heard(start, "near", "i")
	v.Heard(start, "far", "i")
	v.Tick(start.Add(2 * time.Second))
	must.False(t, v.Get("near").Up())
	must.True(t, v.Get("far").Up())
	v.Tick(start.Add(5 * time.Second))
	must.False(t, v.Get("far").Up())
}
