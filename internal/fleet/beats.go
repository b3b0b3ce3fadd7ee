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
	"github.com/laburnumwalk/laburnumwalk/internal/roster"
)

const (
	beatEvery    = 200 * time.Millisecond // to hosts of the failure domain and to dispatchers
	controlEvery = 500 * time.Millisecond // to control hosts
	// enoughControl is how many control hosts must be heard for the seeds to be
	// left alone: a failure domain's hubs outlive the loss of two.
	enoughControl = 4
	// pushEvery gathers changes of the roster: a minion that drains must be known
	// everywhere in 2 s, and every push costs a message for each subscriber.
	pushEvery = 60 * time.Millisecond
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
	b := &peer.Beat{From: d.self, Config: d.version(), Leaving: self.Leaving, Claims: self.Claims, Division: d.cells, Clock: d.clock()}
	b.LogOf, b.Log = d.roster.Place(to)
	b.All = d.self.Control && (d.readsAll || to == d.teacher)
	return b
}

// targets returns the hosts that are beaten now; slow includes those that are
// beaten less often.
func (d *decisions) targets(slow bool) []string {
	out := make(map[string]bool)
	outside := 0
	for _, h := range d.roster.Hosts() {
		if h.Entry && !d.inCell(h) {
			outside++
		}
	}
	for _, h := range d.roster.Hosts() {
		if h.Entry && d.self.Entry && (d.inCell(h) || len(d.shards) > 0 && claim.Follows(d.self.Name, h.Name, outside)) {
			out[h.Name] = true
		}
	}
	if slow {
		d.addControl(out)
	}
	for _, name := range d.table.Hosts() {
		out[name] = true
	}
	delete(out, d.self.Name)
	return slices.Sorted(maps.Keys(out))
}

// addControl adds the control hosts that this host keeps in touch with.
func (d *decisions) addControl(out map[string]bool) {
	control := d.controlHosts()
	to := d.hubs(control)
	if d.self.Control {
		all := append([]claim.ControlHost{{Name: d.self.Name, FailureDomain: d.self.FailureDomain}}, control...)
		to = append(to, claim.Neighbours(d.self.Name, names(control))...)
		for domain := range d.domains() {
			hubs := claim.Hubs(domain, all)
			to = append(to, hubs...)
			if slices.Contains(hubs, d.self.Name) {
				to = append(to, names(control)...)
			}
		}
		d.followTeacher(control)
	}
	heard := 0
	for _, c := range control {
		if d.hears(c.Name) {
			heard++
		}
	}
	if heard < enoughControl {
		to = append(to, d.seedHosts()...)
	}
	for _, name := range to {
		out[name] = true
	}
}

// controlHosts returns the other control hosts, by name.
func (d *decisions) controlHosts() []claim.ControlHost {
	var out []claim.ControlHost
	for _, h := range d.roster.Hosts() {
		if h.Control {
			out = append(out, claim.ControlHost{Name: h.Name, FailureDomain: h.FailureDomain})
		}
	}
	return out
}

func names(control []claim.ControlHost) []string {
	out := make([]string, len(control))
	for i, c := range control {
		out[i] = c.Name
	}
	return out
}

// hubs returns the hubs of the own failure domain.
func (d *decisions) hubs(control []claim.ControlHost) []string {
	return claim.Hubs(d.self.FailureDomain, control)
}

// domains returns the failure domains of all listed hosts.
func (d *decisions) domains() map[string]bool {
	out := make(map[string]bool)
	for _, h := range d.roster.Hosts() {
		out[h.FailureDomain] = true
	}
	return out
}

// hears reports whether a host was heard lately.
func (d *decisions) hears(name string) bool {
	h := d.roster.Host(name)
	return h != nil && d.beatAt.Sub(h.HeardAt) < 2*controlEvery
}

// followTeacher chooses the hub whose log a control host reads in whole where
// there are many. A new one is read from its beginning.
func (d *decisions) followTeacher(control []claim.ControlHost) {
	few := claim.AreFew(control)
	if few && !d.readsAll {
		d.roster.ForgetPlaces(names(control)...)
	}
	d.readsAll = few
	if few || d.hears(d.teacher) {
		return
	}
	for _, hub := range d.hubs(control) {
		if d.hears(hub) {
			d.teacher = hub
			d.roster.ForgetPlaces(hub)
			return
		}
	}
}

// beat takes the beat of another host.
func (d *decisions) beat(now time.Time, b *peer.Beat) {
	known := d.roster.Host(b.From.Name) != nil
	d.roster.Heard(now, b)
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
	if r := d.roster.Delta(after, audience(b)); r != nil {
		d.sendTo(b.From.Name, r)
	}
	d.sentLog[b.From.Name] = d.roster.Log()
	if b.From.Entry {
		self := d.candidate()
		d.sendTo(b.From.Name, d.newBeat(&self, b.From.Name))
	}
}

// audience returns which minions a host is told of: those of its failure domain,
// or, a control host, all or what changes.
func audience(b *peer.Beat) roster.Audience {
	if !b.From.Control {
		return roster.Audience{FailureDomain: b.From.FailureDomain}
	}
	return roster.Audience{Changes: !b.All}
}

// pushRoster tells subscribers at once what has changed.
func (d *decisions) pushRoster(now time.Time) {
	if !d.self.Control || now.Sub(d.pushedAt) < pushEvery {
		return
	}
	d.pushedAt = now
	type part struct {
		after uint64
		to    roster.Audience
	}
	parts := make(map[part]*peer.Roster) // most subscribers have read as far as the others
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
		p := part{sent, audience(h.Beat)}
		r, known := parts[p]
		if !known {
			r = d.roster.Delta(p.after, p.to)
			parts[p] = r
		}
		if r != nil && len(r.Hosts)+len(r.Minions)+len(r.Divisions) > 0 {
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
