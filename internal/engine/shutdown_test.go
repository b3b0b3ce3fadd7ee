package engine

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// A stopping host waits until the peers of its failure domain have echoed a
// heartbeat sent after its last answer. It does not wait for other peers, which
// get heartbeats less often.
func TestShutdownWaitsForDomainPeersOnly(t *testing.T) {
	const interval = 500 * time.Millisecond
	start := time.Unix(1767225600, 0)
	e := New(Config{
		Host:           membership.Host{Name: "a1", FailureDomain: "a", Region: "r"},
		Peers:          []membership.Host{{Name: "a2", FailureDomain: "a", Region: "r"}, {Name: "b1", FailureDomain: "b", Region: "r"}},
		StartedAt:      start,
		HeartbeatEvery: interval,
		PeerTimeout:    time.Minute,
	})
	at := func(after time.Duration) time.Time { return start.Add(after) }
	e.Receive(at(interval), "a2", "i", &peer.Heartbeat{})
	e.Receive(at(interval), "b1", "i", &peer.Heartbeat{})
	must.False(t, e.ShutdownComplete()) // not stopping
	e.Stop()
	e.Tick(at(2 * interval))
	e.Receive(at(2*interval), "a2", "i", &peer.Heartbeat{EchoSentAt: 2*interval - 1})
	e.Tick(at(4 * interval))
	must.False(t, e.ShutdownComplete()) // a2 echoed a heartbeat sent before the quiet period
	e.Receive(at(4*interval), "a2", "i", &peer.Heartbeat{EchoSentAt: 2 * interval})
	must.True(t, e.ShutdownComplete())
	e.send("a2", &peer.JobAnswer{})
	must.False(t, e.ShutdownComplete()) // a2 may not have received the answer
	e.Tick(at(5 * interval))
	e.Tick(at(6 * interval))
	e.Receive(at(6*interval), "a2", "i", &peer.Heartbeat{EchoSentAt: 5 * interval})
	must.True(t, e.ShutdownComplete())
}
