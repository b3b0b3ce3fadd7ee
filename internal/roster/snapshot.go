package roster

import (
	"cmp"
	"slices"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// MinionsVersion returns a number that changes whenever the record of a minion changes in
// more than its sequence number.
func (r *Roster) MinionsVersion() uint64 { return r.minionsVersion }

// Snapshot returns the records of all minions, for Restore in a later process. It includes
// those that have left, so that a record from before does not list them again.
func (r *Roster) Snapshot() []peer.MinionRecord {
	out := make([]peer.MinionRecord, 0, len(r.minions))
	for _, m := range r.minions {
		out = append(out, m.MinionRecord)
	}
	slices.SortFunc(out, func(a, b peer.MinionRecord) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Restore adds the records of a snapshot, and returns how many of them were added. Records
// that are known to be newer stay. A minion may have stopped since; nothing is started on
// one before it has answered.
func (r *Roster) Restore(records []peer.MinionRecord) int {
	n := 0
	for _, m := range records {
		if m.Check() == nil && r.updateMinion(m, false) {
			n++
		}
	}
	return n
}
