// Package roster keeps what one host knows of the other hosts and of the minions.
// There is no central list: control hosts learn of minions from their
// announcements, and hosts learn of each other from heartbeats. Each roster logs its
// changes; control hosts send the logged changes to other hosts.
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

// UnreachableAfter is the time without a heartbeat after which another host is
// unreachable: it is listed only as long as other hosts report it.
const UnreachableAfter = 10 * time.Second

// Host is what is known of another host.
type Host struct {
	peer.HostRecord
	Heartbeat   *peer.FleetHeartbeat // newest heartbeat; nil: only reported by others
	HeartbeatAt time.Time            // when Heartbeat was received; zero: only reported by others
	LoadAt      time.Time            // when the host last reported the load of a shard
	ClosedAt    time.Time            // when its connection was closed, if no heartbeat followed; else zero
	reporters   map[string]bool      // hosts that list it
	unreachable bool                 // it has sent heartbeats to this host, but none within UnreachableAfter
	logIndex    uint64               // of its last change; zero: only reported by others, not in the log
}

type minionEntry struct {
	peer.MinionRecord
	direct   bool   // announced to this host, not reported by another
	logIndex uint64 // of its last change
}

// MinionFilter selects the minions that a reader of the log receives.
type MinionFilter struct {
	FailureDomain string // of the minions; empty: all
	DirectOnly    bool   // only minions that were announced to this host
}

type cellLayoutEntry struct {
	peer.CellLayout
	logIndex uint64 // of its last change
}

// Roster is what one host knows of hosts, minions and cell layouts, and the log
// of its changes.
type Roster struct {
	self          peer.HostRecord
	hosts         map[string]*Host            // by name
	minions       map[string]*minionEntry     // by ID
	cellLayouts   map[string]*cellLayoutEntry // by failure domain
	listedHosts   []*Host                     // result of Hosts, by name; nil: must be computed again
	hostsVersion  uint64                      // incremented with each change of the result of Hosts
	lastIndex     uint64                      // of the log
	readPositions map[string]readPosition     // in other hosts' logs, by host name

	snapshotVersion uint64 // see SnapshotVersion
}

// readPosition is how far another host's log was read.
type readPosition struct {
	incarnation membership.Incarnation // of the host that keeps the log; a restarted host starts a new log
	index       uint64                 // of the last change that was read
}

// New returns the roster of a host that knows no other host yet.
func New(self peer.HostRecord) *Roster {
	return &Roster{self: self, hosts: make(map[string]*Host), minions: make(map[string]*minionEntry), cellLayouts: make(map[string]*cellLayoutEntry), readPositions: make(map[string]readPosition)}
}

// LogIndex returns the index of the newest change in the log.
func (r *Roster) LogIndex() uint64 { return r.lastIndex }

// ReadPosition returns how far the log of a host was read: the incarnation of the host
// that keeps the log, and the index of the last change that was read.
func (r *Roster) ReadPosition(host string) (incarnation membership.Incarnation, index uint64) {
	p := r.readPositions[host]
	return p.incarnation, p.index
}

func (r *Roster) nextIndex() uint64 {
	r.lastIndex++
	return r.lastIndex
}

// RecordHeartbeat records a heartbeat of another host. Heartbeats of this host itself are
// ignored.
func (r *Roster) RecordHeartbeat(now time.Time, b *peer.FleetHeartbeat) {
	if b.From.Name == r.self.Name {
		return
	}
	h := r.hosts[b.From.Name]
	if h == nil {
		h = &Host{reporters: make(map[string]bool)}
		r.hosts[b.From.Name] = h
	}
	r.SetCellLayout(b.From.FailureDomain, b.CellLayout)
	if h.HostRecord != b.From || h.HeartbeatAt.IsZero() || h.unreachable {
		h.HostRecord = b.From
		h.logIndex = r.nextIndex()
		r.hostsChanged()
	}
	h.Heartbeat, h.HeartbeatAt, h.LoadAt, h.ClosedAt, h.unreachable = b, now, now, time.Time{}, false
}

// UpdateLoad updates the load of a shard that its dispatcher reported between two
// heartbeats.
func (r *Roster) UpdateLoad(now time.Time, host string, shard int, l peer.PoolLoad) {
	h := r.hosts[host]
	if h == nil || h.Heartbeat == nil {
		return
	}
	for i := range h.Heartbeat.Claims {
		if h.Heartbeat.Claims[i].Shard == shard {
			h.Heartbeat.Claims[i].Load = l
			h.LoadAt = now
		}
	}
}

// ConnectionClosed records that the connection of a host was closed. It ignores
// connections of incarnations other than the known one.
func (r *Roster) ConnectionClosed(now time.Time, host string, inc membership.Incarnation) {
	if h := r.hosts[host]; h != nil && h.Incarnation == inc {
		h.ClosedAt = now
	}
}

// Merge applies changes from another host's log and returns the minions that
// changed.
func (r *Roster) Merge(from string, m *peer.RosterUpdate) []peer.MinionRecord {
	p := r.readPositions[from]
	if p.incarnation != m.LogIncarnation {
		for _, h := range r.hosts {
			delete(h.reporters, from) // a restarted host reports its list from the start
		}
		r.hostsChanged()
	}
	if p.incarnation != m.LogIncarnation {
		p = readPosition{incarnation: m.LogIncarnation}
	}
	// Changes that do not follow the last one read leave a gap. They are applied,
	// but the position stays, so that the missing ones are sent again.
	if m.After <= p.index {
		p.index = max(p.index, m.LogIndex)
	}
	r.readPositions[from] = p
	for _, rec := range m.Hosts {
		r.mergeHost(from, rec)
	}
	for _, c := range m.CellLayouts {
		r.SetCellLayout(c.FailureDomain, c.CellLayout)
	}
	var changed []peer.MinionRecord
	for _, rec := range m.Minions {
		if r.updateMinion(rec, false) {
			changed = append(changed, rec)
		}
	}
	return changed
}

// mergeHost applies a host record that another host reported. The host's own
// heartbeats take precedence over it.
func (r *Roster) mergeHost(from string, rec peer.HostRecord) {
	if rec.Name == r.self.Name {
		return
	}
	r.hostsChanged()
	h := r.hosts[rec.Name]
	if rec.Tombstone {
		if h != nil {
			delete(h.reporters, from)
		}
		return
	}
	if h == nil {
		h = &Host{HostRecord: rec, reporters: make(map[string]bool)}
		r.hosts[rec.Name] = h
	}
	h.reporters[from] = true
	if h.HeartbeatAt.IsZero() {
		h.HostRecord = rec
	}
}

// ApplyAnnouncement applies a minion's announcement and reports whether it changed the
// record. Announcements of an earlier incarnation of the minion, and ones that a
// newer announcement has overtaken, are ignored.
func (r *Roster) ApplyAnnouncement(rec peer.MinionRecord) bool { return r.updateMinion(rec, true) }

// updateMinion stores the record if it is newer than the known one, and reports
// whether more than the sequence number has changed.
func (r *Roster) updateMinion(rec peer.MinionRecord, direct bool) bool {
	m := r.minions[rec.ID]
	if m == nil {
		r.snapshotVersion++
		r.minions[rec.ID] = &minionEntry{MinionRecord: rec, direct: direct, logIndex: r.nextIndex()}
		return true
	}
	if c := cmp.Or(cmp.Compare(rec.Incarnation, m.Incarnation), cmp.Compare(rec.Seq, m.Seq)); c <= 0 {
		return false
	}
	if rec.Incarnation != 0 && rec.Incarnation == m.Incarnation && !sameIncarnation(m.MinionRecord, rec, direct) {
		return false // not from the minion: its service, place and capacity last as long as its process
	}
	if !direct && rec.Incarnation == m.Incarnation {
		rec.Slots, rec.Version = m.Slots, m.Version
	}
	same := m.MinionRecord
	same.Seq, same.Slots, same.Version = rec.Seq, rec.Slots, rec.Version
	if equalRecords(same, rec) {
		m.MinionRecord = same // nothing that is passed on has changed
		return false
	}
	r.snapshotVersion++
	m.MinionRecord, m.direct = rec, direct
	m.logIndex = r.nextIndex()
	return true
}

// sameIncarnation reports whether a known record and a newer one of the same ID and
// incarnation differ only in what a minion changes while it runs. Other hosts pass on records
// without slots and version; a minion's own announcement has what an earlier one had.
func sameIncarnation(known, newer peer.MinionRecord, direct bool) bool {
	known.Seq, known.Draining, known.Left, known.ColdUntilMS = newer.Seq, newer.Draining, newer.Left, newer.ColdUntilMS
	if known.Slots == 0 || newer.Slots == 0 && !direct {
		known.Slots = newer.Slots
	}
	if known.Version == "" || newer.Version == "" && !direct {
		known.Version = newer.Version
	}
	return equalRecords(known, newer)
}

// ShowsDraining reports whether a minion's announcement that it is draining has taken
// effect: the record says so, or is that of a later incarnation. It also returns true for
// other announcements. One that another writer's announcement with a higher sequence number
// hides has no effect, and must not be acknowledged.
func (r *Roster) ShowsDraining(rec peer.MinionRecord) bool {
	m := r.minions[rec.ID]
	return !rec.Draining || m != nil && (m.Draining || m.Left || m.Incarnation > rec.Incarnation)
}

func equalRecords(a, b peer.MinionRecord) bool {
	if !slices.Equal(a.Labels, b.Labels) {
		return false
	}
	a.Labels, b.Labels = nil, nil
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Seq == b.Seq && a.Service == b.Service && a.Address == b.Address &&
		a.FailureDomain == b.FailureDomain && a.Draining == b.Draining && a.Left == b.Left && a.CPU == b.CPU &&
		a.MemoryMB == b.MemoryMB && a.Accelerators == b.Accelerators && a.ColdUntilMS == b.ColdUntilMS && a.Slots == b.Slots && a.Version == b.Version
}

// Minion returns the record of a minion, and whether it is known.
func (r *Roster) Minion(id string) (peer.MinionRecord, bool) {
	m := r.minions[id]
	if m == nil {
		return peer.MinionRecord{}, false
	}
	return m.MinionRecord, true
}

// Minions returns the minions of a failure domain that have not left, sorted by
// ID.
func (r *Roster) Minions(domain string) []peer.MinionRecord {
	var out []peer.MinionRecord
	for _, m := range r.minions {
		if m.FailureDomain == domain && !m.Left {
			out = append(out, m.MinionRecord)
		}
	}
	slices.SortFunc(out, func(a, b peer.MinionRecord) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// CountMinions returns the number of minions of a failure domain that have not
// left and for which inCell returns true.
func (r *Roster) CountMinions(domain string, inCell func(id string) bool) int {
	n := 0
	for _, m := range r.minions {
		if m.FailureDomain == domain && !m.Left && inCell(m.ID) {
			n++
		}
	}
	return n
}

// CellLayout returns the newest known cell layout of a failure domain. It has at
// least one cell.
func (r *Roster) CellLayout(domain string) peer.CellLayout {
	if c := r.cellLayouts[domain]; c != nil {
		return c.CellLayout
	}
	return peer.CellLayout{Cells: 1}
}

// SetCellLayout stores a failure domain's cell layout if it is newer than the known one.
func (r *Roster) SetCellLayout(domain string, c peer.CellLayout) {
	if c.Cells > 0 && c.Version > r.CellLayout(domain).Version {
		r.snapshotVersion++
		r.cellLayouts[domain] = &cellLayoutEntry{CellLayout: c, logIndex: r.nextIndex()}
	}
}

// Hosts returns the other hosts that are reachable or reported by others, sorted by
// name. The caller must not modify the slice.
func (r *Roster) Hosts() []*Host {
	if r.listedHosts == nil {
		r.listedHosts = slices.DeleteFunc(r.sortedHosts(), func(h *Host) bool { return h.unreachable && len(h.reporters) == 0 })
	}
	return r.listedHosts
}

// HostsVersion returns a number that changes whenever the result of Hosts may change.
func (r *Roster) HostsVersion() uint64 { return r.hostsVersion }

func (r *Roster) hostsChanged() {
	r.listedHosts = nil
	r.hostsVersion++
}

func (r *Roster) sortedHosts() []*Host {
	return slices.SortedFunc(maps.Values(r.hosts), compareHosts)
}

func compareHosts(a, b *Host) int { return cmp.Compare(a.Name, b.Name) }

// Host returns the host with that name, or nil.
func (r *Roster) Host(name string) *Host { return r.hosts[name] }

// Delta returns the changes after an index of the log, with the minions that the
// reader receives; nil: there are no changes.
func (r *Roster) Delta(after uint64, filter MinionFilter) *peer.RosterUpdate {
	if after >= r.lastIndex {
		return nil
	}
	d := &peer.RosterUpdate{LogIncarnation: r.self.Incarnation, After: after, LogIndex: r.lastIndex}
	for _, h := range r.sortedHosts() {
		if h.logIndex > after { // hosts that others reported are not in the log
			rec := h.HostRecord
			rec.Tombstone = h.unreachable
			d.Hosts = append(d.Hosts, rec)
		}
	}
	for _, m := range r.minions {
		if m.logIndex > after && (filter.FailureDomain == "" || m.FailureDomain == filter.FailureDomain) && (m.direct || !filter.DirectOnly) {
			d.Minions = append(d.Minions, m.MinionRecord)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(r.cellLayouts)) {
		if c := r.cellLayouts[domain]; c.logIndex > after {
			d.CellLayouts = append(d.CellLayouts, peer.DomainCellLayout{FailureDomain: domain, CellLayout: c.CellLayout})
		}
	}
	slices.SortFunc(d.Minions, func(a, b peer.MinionRecord) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

// tombstoneTTL is the time since its last heartbeat after which an unreachable
// host is deleted. Until then it stays in the log, so that all readers learn that
// it is unreachable.
const tombstoneTTL = 6 * UnreachableAfter

// Tick marks hosts without a recent heartbeat as unreachable, drops the reports of
// reporters that are unreachable themselves, and deletes hosts that nobody reports
// any more.
func (r *Roster) Tick(now time.Time) {
	var silent []*Host
	for _, h := range r.hosts {
		if now.Sub(h.HeartbeatAt) > UnreachableAfter {
			silent = append(silent, h)
		}
	}
	slices.SortFunc(silent, compareHosts)
	for _, h := range silent {
		name := h.Name
		sinceHeartbeat := now.Sub(h.HeartbeatAt)
		if !h.HeartbeatAt.IsZero() && !h.unreachable {
			h.unreachable = true
			h.logIndex = r.nextIndex()
			r.hostsChanged()
		}
		for reporterName := range h.reporters {
			if reporter := r.hosts[reporterName]; reporter == nil || now.Sub(reporter.HeartbeatAt) > UnreachableAfter {
				delete(h.reporters, reporterName)
				r.hostsChanged()
			}
		}
		if len(h.reporters) == 0 && (h.HeartbeatAt.IsZero() || sinceHeartbeat > tombstoneTTL) {
			delete(r.hosts, name)
			delete(r.readPositions, name)
			r.hostsChanged()
		}
	}
}
