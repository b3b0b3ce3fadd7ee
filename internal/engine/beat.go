package engine

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
)

// Heartbeats go to every peer of the own failure domain each interval. Peers
// farther away share a number of heartbeats per interval, in turn, so that a
// host's traffic stays bounded as the system grows.
const (
	regionBeats = 12 // peers of the region told per interval
	farBeats    = 10 // peers of other regions told per interval
	// maxStride bounds the intervals between two heartbeats to one peer: links
	// close a connection that is silent for much longer.
	maxStride = 16
)

// strides is every how many intervals a peer is told, by distance.
type strides struct {
	region, far int
}

func (e *Engine) strides(peers []*membership.Peer) strides {
	region, far := 0, 0
	for _, p := range peers {
		switch {
		case p.Region != e.cfg.Host.Region:
			far++
		case p.FailureDomain != e.cfg.Host.FailureDomain:
			region++
		}
	}
	return strides{stride(region, regionBeats), stride(far, farBeats)}
}

// stride returns the intervals that n peers need at perInterval each.
func stride(n, perInterval int) int {
	return min(maxStride, max(1, (n+perInterval-1)/perInterval))
}

// of returns the stride of a peer.
func (s strides) of(p *membership.Peer, self membership.Host) int {
	switch {
	case p.Region != self.Region:
		return s.far
	case p.FailureDomain != self.FailureDomain:
		return s.region
	default:
		return 1
	}
}

// duePeers returns the peers that get a heartbeat now, and grants each peer
// the silence that its own stride causes. A stopping host tells all of them.
func (e *Engine) duePeers() []*membership.Peer {
	peers := e.members.All()
	s := e.strides(peers)
	e.beats++
	var due []*membership.Peer
	for i, p := range peers {
		n := s.of(p, e.cfg.Host)
		p.Slack = time.Duration(n-1) * e.cfg.HeartbeatEvery
		if (e.beats+i)%n == 0 || e.Stopping() {
			due = append(due, p)
		}
	}
	return due
}
