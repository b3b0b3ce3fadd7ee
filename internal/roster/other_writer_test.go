package roster

import (
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// An announcement of another writer under a minion's ID has no effect, not even on the
// sequence number: the minion's own announcements would be ignored, also that it is draining.
func TestOtherWritersAnnouncementHidesNothing(t *testing.T) {
	own := func(seq uint64, draining bool) peer.MinionRecord {
		m := minionOf(seq, draining)
		m.Version, m.Slots = "v", 8
		return m
	}
	for name, change := range map[string]func(*peer.MinionRecord){
		"slots": func(m *peer.MinionRecord) { m.Slots = 9 }, "no slots": func(m *peer.MinionRecord) { m.Slots = 0 },
		"version": func(m *peer.MinionRecord) { m.Version = "w" }, "no version": func(m *peer.MinionRecord) { m.Version = "" },
		"capacity": func(m *peer.MinionRecord) { m.CPU = 2 }, "service": func(m *peer.MinionRecord) { m.Service = "t" },
	} {
		r := New(record("control"))
		r.ApplyAnnouncement(own(1, false))
		copied := own(1000, false)
		change(&copied)
		must.False(t, r.ApplyAnnouncement(copied), must.Sprint(name))
		must.True(t, r.ApplyAnnouncement(own(2, true)), must.Sprint(name))
		must.True(t, r.ShowsDraining(own(2, true)), must.Sprint(name))
	}
}

// A copy with the same content can't be told from the minion's own announcement. Draining
// that it hides is not acknowledged.
func TestHiddenDrainingIsNotAcknowledged(t *testing.T) {
	r := New(record("control"))
	r.ApplyAnnouncement(minionOf(1000, false))
	r.ApplyAnnouncement(minionOf(2, true))
	must.False(t, r.ShowsDraining(minionOf(2, true)))
	must.True(t, r.ShowsDraining(minionOf(2, false)))
	must.False(t, r.ShowsDraining(peer.MinionRecord{ID: "unknown", Draining: true}))
}

// Other hosts pass on records without slots and version. They don't remove the known ones.
func TestRecordsWithoutSlotsAreMerged(t *testing.T) {
	r := New(record("control"))
	r.ApplyAnnouncement(minionOf(1, false))
	own := minionOf(2, false)
	own.Version, own.Slots = "v", 8
	must.False(t, r.ApplyAnnouncement(own), must.Sprint("nothing that is passed on has changed"))
	merged := r.Merge("other", &peer.RosterUpdate{Minions: []peer.MinionRecord{minionOf(3, true)}})
	must.SliceLen(t, 1, merged)
	m, _ := r.Minion("m")
	must.Eq(t, 8, m.Slots)
	must.False(t, r.ApplyAnnouncement(minionOf(4, false)))
}
