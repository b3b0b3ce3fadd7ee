package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// SnapshotVersion returns a number that changes whenever the content of a snapshot changes
// in more than sequence numbers of minions.
func (r *Roster) SnapshotVersion() uint64 { return r.snapshotVersion }

// Snapshot is what a later process restores: the records of all minions and the cell
// layouts. It includes the minions that have left, so that a record from before does not
// list them again.
type Snapshot struct {
	Minions     []peer.MinionRecord     `msgpack:"m"`
	CellLayouts []peer.DomainCellLayout `msgpack:"d"`
}

// Snapshot returns a snapshot of the roster.
func (r *Roster) Snapshot() *Snapshot {
	s := &Snapshot{Minions: make([]peer.MinionRecord, 0, len(r.minions))}
	for _, m := range r.minions {
		s.Minions = append(s.Minions, m.MinionRecord)
	}
	slices.SortFunc(s.Minions, func(a, b peer.MinionRecord) int { return cmp.Compare(a.ID, b.ID) })
	for _, domain := range slices.Sorted(maps.Keys(r.cellLayouts)) {
		s.CellLayouts = append(s.CellLayouts, peer.DomainCellLayout{FailureDomain: domain, CellLayout: r.cellLayouts[domain].CellLayout})
	}
	return s
}

// Restore adds the content of a snapshot, and returns how many records of minions were
// added. Records that are known to be newer stay. A minion may have stopped since; nothing
// is started on one before it has answered.
func (r *Roster) Restore(s *Snapshot) int {
	for _, c := range s.CellLayouts {
		if c.CellLayout.Check() == nil {
			r.SetCellLayout(c.FailureDomain, c.CellLayout)
		}
	}
	n := 0
	for _, m := range s.Minions {
		if m.Check() == nil && r.updateMinion(m, false) {
			n++
		}
	}
	return n
}
