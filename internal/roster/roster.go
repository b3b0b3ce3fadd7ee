// Package roster keeps what one host knows of the other hosts and of the
// minions. There is no list to read: control hosts hear of minions by their
// announcements, hosts hear of each other by beats, and each tells the next
// from a log of what changed.
//
// A Roster is pure: every method takes the current time; it does no I/O,
// starts no goroutine and reads no clock.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// ForgetAfter is the silence after which another host is no longer listed.
const ForgetAfter = 10 * time.Second

// Host is another host as it is known here.
type Host struct {
	peer.HostRecord
	Beat    *peer.Beat      // newest; nil: only heard of
	HeardAt time.Time       // zero: only heard of
	LoadAt  time.Time       // when it last told the load of a shard
	Closed  time.Time       // when its connection ended, without a beat since
	tellers map[string]bool // hosts that list it
	gone    bool            // was heard of, and is not any more
	at      uint64          // place in the log
}

type minionEntry struct {
	peer.MinionRecord
	direct bool // announced to this host, not told by another
	at     uint64
}

// Audience is what a reader of the log wants of the minions.
type Audience struct {
	FailureDomain string // of the minions; empty: all
	Direct        bool   // only those that were announced here
}

type divisionEntry struct {
	peer.Division
	at uint64
}

// Roster is what one host knows.
type Roster struct {
	self    peer.HostRecord
	hosts   map[string]*Host
	minions map[string]*minionEntry
	cells   map[string]*divisionEntry // by failure domain
	listed  []*Host                   // by name; nil: to be listed anew
	log     uint64
	places  map[string]place // of other hosts' logs
}

// place is how far another host's log was read.
type place struct {
	of  membership.Incarnation
	log uint64
}

// New returns the roster of a host that knows nobody.
func New(self peer.HostRecord) *Roster {
	return &Roster{self: self, hosts: make(map[string]*Host), minions: make(map[string]*minionEntry), cells: make(map[string]*divisionEntry), places: make(map[string]place)}
}

// Log returns the number of the newest change.
func (r *Roster) Log() uint64 { return r.log }

// Place returns how far the log of a host was read.
func (r *Roster) Place(host string) (of membership.Incarnation, log uint64) {
	p := r.places[host]
	return p.of, p.log
}

func (r *Roster) next() uint64 {
	r.log++
	return r.log
}

// Heard takes a beat.
func (r *Roster) Heard(now time.Time, b *peer.Beat) {
	if b.From.Name == r.self.Name {
		return
	}
	h := r.hosts[b.From.Name]
	if h == nil {
		h = &Host{tellers: make(map[string]bool)}
		r.hosts[b.From.Name] = h
	}
	r.Divide(b.From.FailureDomain, b.Division)
	if h.HostRecord != b.From || h.HeardAt.IsZero() || h.gone {
		h.HostRecord = b.From
		h.at = r.next()
		r.listed = nil
	}
	h.Beat, h.HeardAt, h.LoadAt, h.Closed, h.gone = b, now, now, time.Time{}, false
}

// Loaded takes the load of a shard that its dispatcher told between two beats.
func (r *Roster) Loaded(now time.Time, host string, shard int, l peer.PoolLoad) {
	h := r.hosts[host]
	if h == nil || h.Beat == nil {
		return
	}
	for i := range h.Beat.Claims {
		if h.Beat.Claims[i].Shard == shard {
			h.Beat.Claims[i].Load = l
			h.LoadAt = now
		}
	}
}

// ConnectionClosed notes that a host's connection has ended.
func (r *Roster) ConnectionClosed(now time.Time, host string, inc membership.Incarnation) {
	if h := r.hosts[host]; h != nil && h.Incarnation == inc {
		h.Closed = now
	}
}

// Merge takes the records of another host's log and returns the minions that
// changed.
func (r *Roster) Merge(from string, m *peer.Roster) []peer.MinionRecord {
	p := r.places[from]
	if p.of != m.Of {
		for _, h := range r.hosts {
			delete(h.tellers, from) // a new process lists anew
		}
		r.listed = nil
	}
	if p.of != m.Of {
		p = place{of: m.Of}
	}
	// A part that does not follow what was read leaves a gap: it is read again.
	if m.After <= p.log {
		p.log = max(p.log, m.Log)
	}
	r.places[from] = p
	for _, rec := range m.Hosts {
		r.told(from, rec)
	}
	for _, c := range m.Divisions {
		r.Divide(c.FailureDomain, c.Division)
	}
	var changed []peer.MinionRecord
	for _, rec := range m.Minions {
		if r.learn(rec, false) {
			changed = append(changed, rec)
		}
	}
	return changed
}

// told takes a record from another host. What was heard directly goes first.
func (r *Roster) told(from string, rec peer.HostRecord) {
	if rec.Name == r.self.Name {
		return
	}
	r.listed = nil
	h := r.hosts[rec.Name]
	if rec.Gone {
		if h != nil {
			delete(h.tellers, from)
		}
		return
	}
	if h == nil {
		h = &Host{HostRecord: rec, tellers: make(map[string]bool)}
		r.hosts[rec.Name] = h
	}
	h.tellers[from] = true
	if h.HeardAt.IsZero() {
		h.HostRecord = rec
	}
}

// Announce takes a minion's record and reports whether it tells something new.
// Announcements of an earlier life, or overtaken ones, tell nothing.
func (r *Roster) Announce(rec peer.MinionRecord) bool { return r.learn(rec, true) }

func (r *Roster) learn(rec peer.MinionRecord, direct bool) bool {
	m := r.minions[rec.ID]
	if m == nil {
		r.minions[rec.ID] = &minionEntry{MinionRecord: rec, direct: direct, at: r.next()}
		return true
	}
	if c := cmp.Or(cmp.Compare(rec.Born, m.Born), cmp.Compare(rec.Seq, m.Seq)); c <= 0 {
		return false
	}
	same := m.MinionRecord
	same.Seq = rec.Seq
	if equal(same, rec) {
		m.Seq = rec.Seq
		return false
	}
	m.MinionRecord, m.direct = rec, direct
	m.at = r.next()
	return true
}

func equal(a, b peer.MinionRecord) bool {
	if !slices.Equal(a.Labels, b.Labels) {
		return false
	}
	a.Labels, b.Labels = nil, nil
	return a.ID == b.ID && a.Born == b.Born && a.Seq == b.Seq && a.Service == b.Service && a.Address == b.Address &&
		a.FailureDomain == b.FailureDomain && a.Draining == b.Draining && a.Gone == b.Gone && a.CPU == b.CPU &&
		a.MemoryMB == b.MemoryMB && a.Accelerators == b.Accelerators
}

// Minion returns the record of a minion.
func (r *Roster) Minion(id string) (peer.MinionRecord, bool) {
	m := r.minions[id]
	if m == nil {
		return peer.MinionRecord{}, false
	}
	return m.MinionRecord, true
}

// Minions returns the minions of a failure domain that have not gone, by ID.
func (r *Roster) Minions(domain string) []peer.MinionRecord {
	var out []peer.MinionRecord
	for _, m := range r.minions {
		if m.FailureDomain == domain && !m.Gone {
			out = append(out, m.MinionRecord)
		}
	}
	slices.SortFunc(out, func(a, b peer.MinionRecord) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// CountMinions returns how many minions of a failure domain have not gone and
// are in a cell.
func (r *Roster) CountMinions(domain string, in func(id string) bool) int {
	n := 0
	for _, m := range r.minions {
		if m.FailureDomain == domain && !m.Gone && in(m.ID) {
			n++
		}
	}
	return n
}

// Division returns how a failure domain is divided; it has one cell at least.
func (r *Roster) Division(domain string) peer.Division {
	if c := r.cells[domain]; c != nil {
		return c.Division
	}
	return peer.Division{Cells: 1}
}

// Divide takes a failure domain's division, if it is newer than the known one.
func (r *Roster) Divide(domain string, c peer.Division) {
	if c.Cells > 0 && c.At > r.Division(domain).At {
		r.cells[domain] = &divisionEntry{Division: c, at: r.next()}
	}
}

// Hosts returns the other hosts that are listed, by name. The caller does not
// change the slice.
func (r *Roster) Hosts() []*Host {
	if r.listed == nil {
		r.listed = slices.DeleteFunc(r.ordered(), func(h *Host) bool { return h.gone && len(h.tellers) == 0 })
	}
	return r.listed
}

func (r *Roster) ordered() []*Host {
	return slices.SortedFunc(maps.Values(r.hosts), func(a, b *Host) int { return cmp.Compare(a.Name, b.Name) })
}

// Host returns another host, or nil.
func (r *Roster) Host(name string) *Host { return r.hosts[name] }

// Delta returns what changed after a place in the log; nil: nothing.
func (r *Roster) Delta(after uint64, to Audience) *peer.Roster {
	if after >= r.log {
		return nil
	}
	d := &peer.Roster{Of: r.self.Incarnation, After: after, Log: r.log}
	for _, h := range r.ordered() {
		if h.at > after { // only what was heard directly is in the log
			rec := h.HostRecord
			rec.Gone = h.gone
			d.Hosts = append(d.Hosts, rec)
		}
	}
	for _, m := range r.minions {
		if m.at > after && (to.FailureDomain == "" || m.FailureDomain == to.FailureDomain) && (m.direct || !to.Direct) {
			d.Minions = append(d.Minions, m.MinionRecord)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(r.cells)) {
		if c := r.cells[domain]; c.at > after {
			d.Divisions = append(d.Divisions, peer.DomainDivision{FailureDomain: domain, Division: c.Division})
		}
	}
	slices.SortFunc(d.Minions, func(a, b peer.MinionRecord) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

// keepGone is how long a host that is gone stays in the log, so that all who
// read it learn.
const keepGone = 6 * ForgetAfter

// Tick forgets hosts that neither this host nor one that it hears of has heard
// lately.
func (r *Roster) Tick(now time.Time) {
	for _, h := range r.ordered() {
		name := h.Name
		silent := now.Sub(h.HeardAt)
		if silent <= ForgetAfter {
			continue
		}
		if !h.HeardAt.IsZero() && !h.gone {
			h.gone = true
			h.at = r.next()
			r.listed = nil
		}
		for t := range h.tellers {
			if teller := r.hosts[t]; teller == nil || now.Sub(teller.HeardAt) > ForgetAfter {
				delete(h.tellers, t)
				r.listed = nil
			}
		}
		if len(h.tellers) == 0 && (h.HeardAt.IsZero() || silent > keepGone) {
			delete(r.hosts, name)
			delete(r.places, name)
			r.listed = nil
		}
	}
}
