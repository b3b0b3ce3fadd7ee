package fleet

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/roster"
)

// rosterPushInterval is the minimum time between pushes of roster changes. Changes
// are batched, because each push costs a message per subscriber; but every host must
// know of a draining minion within 2 s, the required limit after which no task starts on it.
const rosterPushInterval = 60 * time.Millisecond

// minionFilter returns which minion records the sender of a heartbeat gets from
// this host. Entry hosts get those of their failure domain; neighbouring control
// hosts get all. Other control hosts are relay hosts, which read the logs of all
// control hosts: they get only the minions that announced themselves to this host.
func minionFilter(heartbeat *peer.FleetHeartbeat, neighbours []string) roster.MinionFilter {
	if !heartbeat.From.Control {
		return roster.MinionFilter{FailureDomain: heartbeat.From.FailureDomain}
	}
	return roster.MinionFilter{DirectOnly: !slices.Contains(neighbours, heartbeat.From.Name)}
}

// pushRoster sends roster changes to the subscribers: the hosts that send heartbeats
// to this control host.
func (c *core) pushRoster(now time.Time) {
	if !c.self.Control || now.Sub(c.rosterPushedAt) < rosterPushInterval {
		return
	}
	c.rosterPushedAt = now
	neighbours := c.controlNeighbours()
	type deltaKey struct {
		after  uint64
		filter roster.MinionFilter
	}
	deltas := make(map[deltaKey]*peer.RosterUpdate) // cached, because most subscribers need the same changes
	for _, name := range slices.Sorted(maps.Keys(c.sentLogIndex)) {
		sent := c.sentLogIndex[name]
		if sent >= c.roster.LogIndex() {
			continue
		}
		h := c.roster.Host(name)
		if h == nil || h.Heartbeat == nil {
			delete(c.sentLogIndex, name)
			continue
		}
		key := deltaKey{sent, minionFilter(h.Heartbeat, neighbours)}
		r, cached := deltas[key]
		if !cached {
			r = c.roster.Delta(key.after, key.filter)
			deltas[key] = r
		}
		if r != nil && len(r.Hosts)+len(r.Minions)+len(r.CellLayouts) > 0 {
			c.sendTo(name, r)
		}
		c.sentLogIndex[name] = c.roster.LogIndex()
	}
}

// mergeRoster applies roster changes from another host. It skips invalid records of
// minions, so that one of them doesn't keep this host from the rest of the log.
func (c *core) mergeRoster(now time.Time, from string, r *peer.RosterUpdate) {
	r.Minions = slices.DeleteFunc(r.Minions, func(m peer.MinionRecord) bool {
		err := m.Check()
		if err != nil {
			c.logEvent(event.AnnouncementInvalid, slog.String("minion", m.ID), slog.String("from", from), slog.String("error", err.Error()))
		}
		return err != nil
	})
	before := len(c.roster.Hosts())
	for _, m := range c.roster.Merge(from, r) {
		c.minionChanged(now, m)
	}
	if len(c.roster.Hosts()) != before {
		c.hostsChanged(now)
	}
}

// hostsChanged updates the list of hosts that documents are pushed to. While this process
// looks for the others, it sends them a heartbeat at once: they wait for one before they
// claim minions.
func (c *core) hostsChanged(now time.Time) {
	if now.Sub(c.startedAt) < searchPeriod {
		c.heartbeatDue = true
	}
	var peers []membership.Host
	for _, h := range c.roster.Hosts() {
		peers = append(peers, membership.Host{Name: h.Name, FailureDomain: h.FailureDomain, Region: h.Region})
	}
	c.setPeers(peers)
}
