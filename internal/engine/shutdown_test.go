package engine

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// A stopping host waits until the peers of its failure domain know it, not
// for those elsewhere, whose heartbeats come by turns.
func TestStoppingHostWaitsForItsDomain(t *testing.T) {
	const beat = 500 * time.Millisecond
	start := time.Unix(1767225600, 0)
	e := New(Config{
		Host:           membership.Host{Name: "a1", FailureDomain: "a", Region: "r"},
		Peers:          []membership.Host{{Name: "a2", FailureDomain: "a", Region: "r"}, {Name: "b1", FailureDomain: "b", Region: "r"}},
		StartedAt:      start,
		HeartbeatEvery: beat,
		PeerTimeout:    time.Minute,
	})
	at := func(after time.Duration) time.Time { return start.Add(after) }
	e.Receive(at(beat), "a2", "i", &peer.Heartbeat{})
	e.Receive(at(beat), "b1", "i", &peer.Heartbeat{})
	must.False(t, e.Idle()) // not stopping
	e.Stop()
	e.Tick(at(2 * beat))
	e.Receive(at(2*beat), "a2", "i", &peer.Heartbeat{EchoAt: 2*beat - 1})
	e.Tick(at(4 * beat))
	must.False(t, e.Idle()) // a2 echoed a heartbeat from before
	e.Receive(at(4*beat), "a2", "i", &peer.Heartbeat{EchoAt: 2 * beat})
	must.True(t, e.Idle())
	e.send("a2", &peer.JobAnswer{})
	must.False(t, e.Idle()) // a2 may not have the answer
	e.Tick(at(5 * beat))
	e.Tick(at(6 * beat))
	e.Receive(at(6*beat), "a2", "i", &peer.Heartbeat{EchoAt: 5 * beat})
	must.True(t, e.Idle())
}
