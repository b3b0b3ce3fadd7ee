package fleet

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	heartbeatInterval        = 200 * time.Millisecond // to entry hosts
	controlHeartbeatInterval = 500 * time.Millisecond // to control hosts
)

func (c *core) tickHeartbeats(now time.Time) {
	if now.Sub(c.heartbeatAt) >= heartbeatInterval {
		c.sendHeartbeats(now)
	}
}

func (c *core) sendHeartbeats(now time.Time) {
	c.heartbeatDue = false
	c.heartbeatAt = now
	controlDue := now.Sub(c.controlHeartbeatAt) >= controlHeartbeatInterval
	if controlDue {
		c.controlHeartbeatAt = now
	}
	self := c.ownCandidate()
	for _, to := range c.heartbeatTargets(controlDue) {
		c.sendTo(to, c.newHeartbeat(&self, to))
	}
}

// newHeartbeat returns the heartbeat for one host. self is this host's ownCandidate,
// shared by all heartbeats that are sent at the same time.
func (c *core) newHeartbeat(self *claim.Candidate, to string) *peer.FleetHeartbeat {
	heartbeat := &peer.FleetHeartbeat{From: c.self, ConfigVersion: c.version(), ShuttingDown: self.ShuttingDown, Claims: self.Claims, CellLayout: c.cellLayout, Clock: c.heartbeatClock()}
	heartbeat.ReadIncarnation, heartbeat.ReadIndex = c.roster.ReadPosition(to)
	return heartbeat
}

// heartbeatTargets returns the hosts that get a heartbeat now: the entry hosts of the
// cell, the other entry hosts that this host reports its load to (claim.ReportsLoadTo),
// the dispatchers of this host's open jobs and, if controlDue, control hosts.
func (c *core) heartbeatTargets(controlDue bool) []string {
	out := make(map[string]bool)
	outside := 0
	for _, h := range c.roster.Hosts() {
		if h.Entry && !c.inCell(h) {
			outside++
		}
	}
	for _, h := range c.roster.Hosts() {
		if h.Entry && c.self.Entry && (c.inCell(h) || len(c.shards) > 0 && claim.ReportsLoadTo(c.self.Name, h.Name, outside)) {
			out[h.Name] = true
		}
	}
	if controlDue {
		c.addControlTargets(out)
	}
	for _, name := range c.jobTable.DispatcherHosts() {
		out[name] = true
	}
	delete(out, c.self.Name)
	return slices.Sorted(maps.Keys(out))
}

// handleHeartbeat records a heartbeat of another host. A control host replies with
// the roster changes that the sender has not read, and to an entry host with a
// heartbeat, too.
func (c *core) handleHeartbeat(now time.Time, heartbeat *peer.FleetHeartbeat) {
	known := c.roster.Host(heartbeat.From.Name) != nil
	c.roster.RecordHeartbeat(now, heartbeat)
	if !known {
		c.logEvent(event.PeerUp, slog.String("host", heartbeat.From.Name), slog.String("failure_domain", heartbeat.From.FailureDomain))
		c.hostsChanged()
	}
	if !c.self.Control {
		return
	}
	after := heartbeat.ReadIndex
	if heartbeat.ReadIncarnation != c.self.Incarnation {
		after = 0
	}
	if r := c.roster.Delta(after, minionFilter(heartbeat, c.controlNeighbours())); r != nil {
		c.sendTo(heartbeat.From.Name, r)
	}
	c.sentLogIndex[heartbeat.From.Name] = c.roster.LogIndex()
	if heartbeat.From.Entry {
		self := c.ownCandidate()
		c.sendTo(heartbeat.From.Name, c.newHeartbeat(&self, heartbeat.From.Name))
	}
}
