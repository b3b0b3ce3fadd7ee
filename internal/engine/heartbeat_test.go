package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// countHeartbeats runs an engine with n peers for 20 s and returns the number of
// heartbeats sent to each peer.
func countHeartbeats(n int) map[string]int {
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
	sent := map[string]int{}
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
		e.Tick(now)
		for _, m := range e.Ready().Messages {
			if _, ok := m.Body.(*peer.Heartbeat); ok {
				sent[m.To]++
			}
		}
	}
	return sent
}

// In a small system every peer gets a heartbeat in every interval.
func TestSmallSystemSendsHeartbeatsToAllPeers(t *testing.T) {
	for _, n := range countHeartbeats(10) {
		must.Eq(t, 40, n)
	}
}

// In a large system the number of heartbeats is bounded, peers of the sender's
// failure domain get one in every interval, and every peer gets one at least
// every maxStride intervals, before its link would be closed for lack of messages.
func TestLargeSystemSendsHeartbeatsInTurn(t *testing.T) {
	sent := countHeartbeats(175)
	must.MapLen(t, 175, sent)
	sum := 0
	for name, n := range sent {
		must.GreaterEq(t, 40/maxStride, n, must.Sprint(name))
		sum += n
	}
	must.Eq(t, 40, sent["p000"]) // in the sender's failure domain
	must.Less(t, 40*(8+regionPeersPerInterval+remotePeersPerInterval+2), sum)
}

// A peer that sends heartbeats rarely is not marked as down between two of them.
func TestExtraTimeoutKeepsPeersUp(t *testing.T) {
	start := time.Unix(1000, 0)
	v := membership.NewView(time.Second, []membership.Host{{Name: "near"}, {Name: "far"}})
	v.Get("far").ExtraTimeout = 3 * time.Second
	v.RecordMessage(start, "near", "i")
	v.RecordMessage(start, "far", "i")
	v.Tick(start.Add(2 * time.Second))
	must.False(t, v.Get("near").Up())
	must.True(t, v.Get("far").Up())
	v.Tick(start.Add(5 * time.Second))
	must.False(t, v.Get("far").Up())
}
