package engine

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
)

// A host sends a heartbeat to every peer of its own failure domain in each
// interval. The other peers get heartbeats in turn, about the given number of
// peers per interval, so that a host's traffic stays bounded as the system grows.
const (
	regionPeersPerInterval = 12 // peers in other failure domains of the region
	remotePeersPerInterval = 10 // peers in other regions
	// maxStride is the maximum number of intervals between two heartbeats to one
	// peer. It must be small, since a link closes a connection on which no message
	// arrives for long (readTimeout in package link).
	maxStride = 16
)

// strides holds the number of intervals between two heartbeats to one peer.
type strides struct {
	region, remote int // in other failure domains of the region, in other regions
}

func (e *Engine) strides(peers []*membership.Peer) strides {
	region, remote := 0, 0
	for _, p := range peers {
		switch {
		case p.Region != e.cfg.Host.Region:
			remote++
		case p.FailureDomain != e.cfg.Host.FailureDomain:
			region++
		}
	}
	return strides{stride(region, regionPeersPerInterval), stride(remote, remotePeersPerInterval)}
}

// stride returns the number of intervals in which n peers are served,
// perInterval in each, up to maxStride.
func stride(n, perInterval int) int {
	return min(maxStride, max(1, (n+perInterval-1)/perInterval))
}

// of returns the stride of a peer; self is the sending host.
func (s strides) of(p *membership.Peer, self membership.Host) int {
	switch {
	case p.Region != self.Region:
		return s.remote
	case p.FailureDomain != self.FailureDomain:
		return s.region
	default:
		return 1
	}
}

// duePeers returns the peers that get a heartbeat now, and extends the timeout
// of each peer by the silence that its stride causes. A stopping host sends to
// all peers.
func (e *Engine) duePeers() []*membership.Peer {
	peers := e.members.All()
	s := e.strides(peers)
	e.heartbeatIntervals++
	var due []*membership.Peer
	for i, p := range peers {
		n := s.of(p, e.cfg.Host)
		p.ExtraTimeout = time.Duration(n-1) * e.cfg.HeartbeatEvery
		if (e.heartbeatIntervals+i)%n == 0 || e.Stopping() {
			due = append(due, p)
		}
	}
	return due
}
