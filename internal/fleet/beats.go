package fleet

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	beatEvery    = 200 * time.Millisecond // to hosts of the failure domain and to dispatchers
	controlEvery = 500 * time.Millisecond // to control hosts
	maxControl   = 5                      // control hosts that an entry host beats
)

func (d *decisions) tickBeats(now time.Time) {
	if now.Sub(d.beatAt) >= beatEvery {
		d.sendBeats(now)
	}
}

func (d *decisions) sendBeats(now time.Time) {
	d.beatSoon = false
	d.beatAt = now
	slow := now.Sub(d.slowAt) >= controlEvery
	if slow {
		d.slowAt = now
	}
	self := d.candidate()
	for _, to := range d.targets(slow) {
		d.sendTo(to, d.newBeat(&self, to))
	}
}

// newBeat returns the beat for one host; self is the same for all of a round.
func (d *decisions) newBeat(self *claim.Candidate, to string) *peer.Beat {
	b := &peer.Beat{From: d.self, Config: d.version(), Leaving: self.Leaving, Claims: self.Claims}
	b.LogOf, b.Log = d.roster.Place(to)
	return b
}

// targets returns the hosts that are beaten now; slow includes those that are
// beaten less often.
func (d *decisions) targets(slow bool) []string {
	var out []string
	add := func(name string) {
		if name != d.self.Name && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	control := 0
	for _, h := range d.roster.Hosts() {
		switch {
		case h.Control && slow && (d.self.Control || control < maxControl):
			control++
			add(h.Name)
		case h.Entry && d.self.Entry && (h.FailureDomain == d.self.FailureDomain || len(d.shards) > 0):
			add(h.Name)
		}
	}
	if slow {
		for _, s := range d.seedHosts() {
			add(s)
		}
	}
	for _, name := range d.table.Hosts() {
		add(name)
	}
	return out
}

// beat takes the beat of another host.
func (d *decisions) beat(now time.Time, b *peer.Beat) {
	known := d.roster.Host(b.From.Name) != nil
	if d.roster.Heard(now, b) {
		d.table.HostRestarted(now, b.From.Name)
		for _, x := range d.ordered() {
			x.pool.HostLost(now, b.From.Name)
		}
		delete(d.sentLog, b.From.Name)
	}
	if !known {
		d.note(event.PeerUp, slog.String("host", b.From.Name), slog.String("failure_domain", b.From.FailureDomain))
		d.hostsChanged()
	}
	if !d.self.Control {
		return
	}
	after := b.Log
	if b.LogOf != d.self.Incarnation {
		after = 0
	}
	if r := d.roster.Delta(after, d.domainOf(b)); r != nil {
		d.sendTo(b.From.Name, r)
	}
	d.sentLog[b.From.Name] = d.roster.Log()
	if b.From.Entry {
		self := d.candidate()
		d.sendTo(b.From.Name, d.newBeat(&self, b.From.Name))
	}
}

// domainOf returns whose minions a host is told of; empty: all.
func (d *decisions) domainOf(b *peer.Beat) string {
	if b.From.Control {
		return ""
	}
	return b.From.FailureDomain
}

// pushRoster tells subscribers at once what has changed.
func (d *decisions) pushRoster() {
	if !d.self.Control {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(d.sentLog)) {
		sent := d.sentLog[name]
		if sent >= d.roster.Log() {
			continue
		}
		h := d.roster.Host(name)
		if h == nil || h.Beat == nil {
			delete(d.sentLog, name)
			continue
		}
		if r := d.roster.Delta(sent, d.domainOf(h.Beat)); r != nil && len(r.Hosts)+len(r.Minions) > 0 {
			d.sendTo(name, r)
		}
		d.sentLog[name] = d.roster.Log()
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
