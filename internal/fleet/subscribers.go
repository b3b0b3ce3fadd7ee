package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/roster"
)

// pushEvery gathers changes of the roster: a minion that drains must be known
// everywhere in 2 s (platform's drain_ms), and every push costs a message for
// each subscriber.
const pushEvery = 60 * time.Millisecond

// audience returns which minions a host is told of. Control hosts that are no
// neighbours are hubs, which read every log.
func audience(b *peer.Beat, neighbours []string) roster.MinionFilter {
	if !b.From.Control {
		return roster.MinionFilter{FailureDomain: b.From.FailureDomain}
	}
	return roster.MinionFilter{DirectOnly: !slices.Contains(neighbours, b.From.Name)}
}

// pushRoster tells subscribers, the hosts that beat this control host, what has
// changed.
func (d *decisions) pushRoster(now time.Time) {
	if !d.self.Control || now.Sub(d.pushedAt) < pushEvery {
		return
	}
	d.pushedAt = now
	neighbours := d.neighbours()
	type part struct {
		after uint64
		to    roster.MinionFilter
	}
	parts := make(map[part]*peer.Roster) // most subscribers have read as far as the others
	for _, name := range slices.Sorted(maps.Keys(d.sentLog)) {
		sent := d.sentLog[name]
		if sent >= d.roster.LogIndex() {
			continue
		}
		h := d.roster.Host(name)
		if h == nil || h.Heartbeat == nil {
			delete(d.sentLog, name)
			continue
		}
		p := part{sent, audience(h.Heartbeat, neighbours)}
		r, known := parts[p]
		if !known {
			r = d.roster.Delta(p.after, p.to)
			parts[p] = r
		}
		if r != nil && len(r.Hosts)+len(r.Minions)+len(r.Divisions) > 0 {
			d.sendTo(name, r)
		}
		d.sentLog[name] = d.roster.LogIndex()
	}
}

// merge takes a part of another host's roster.
func (d *decisions) merge(now time.Time, from string, r *peer.Roster) {
	before := len(d.roster.Hosts())
	for _, m := range d.roster.Merge(from, r) {
		d.minionChanged(now, m)
	}
	if len(d.roster.Hosts()) != before {
		d.hostsChanged()
	}
}

// hostsChanged tells the controller whom to push documents to.
func (d *decisions) hostsChanged() {
	var peers []membership.Host
	for _, h := range d.roster.Hosts() {
		peers = append(peers, membership.Host{Name: h.Name, FailureDomain: h.FailureDomain, Region: h.Region})
	}
	d.setPeers(peers)
}
