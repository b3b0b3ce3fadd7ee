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
	beatEvery    = 200 * time.Millisecond // to hosts of the failure domain and to dispatchers
	controlEvery = 500 * time.Millisecond // to control hosts
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
	b.LogOf, b.Log = d.roster.ReadPosition(to)
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
		if h.Entry && d.self.Entry && (d.inCell(h) || len(d.shards) > 0 && claim.ReportsLoadTo(d.self.Name, h.Name, outside)) {
			out[h.Name] = true
		}
	}
	if slow {
		d.addControl(out)
	}
	for _, name := range d.table.DispatcherHosts() {
		out[name] = true
	}
	delete(out, d.self.Name)
	return slices.Sorted(maps.Keys(out))
}

// beat takes the beat of another host.
func (d *decisions) beat(now time.Time, b *peer.Beat) {
	known := d.roster.Host(b.From.Name) != nil
	d.roster.RecordHeartbeat(now, b)
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
	if r := d.roster.Delta(after, audience(b, d.neighbours())); r != nil {
		d.sendTo(b.From.Name, r)
	}
	d.sentLog[b.From.Name] = d.roster.LogIndex()
	if b.From.Entry {
		self := d.candidate()
		d.sendTo(b.From.Name, d.newBeat(&self, b.From.Name))
	}
}
