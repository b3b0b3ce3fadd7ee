package roster

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

var begin = time.Unix(1_700_000_000, 0)

func record(name string) peer.HostRecord {
	return peer.HostRecord{Name: name, FailureDomain: "a", Incarnation: "i", Entry: true}
}

func heartbeatOf(name string) *peer.FleetHeartbeat { return &peer.FleetHeartbeat{From: record(name)} }

func minionOf(seq uint64, draining bool) peer.MinionRecord {
	return peer.MinionRecord{ID: "m", Incarnation: 5, Seq: seq, Service: "s", FailureDomain: "a", CPU: 1, Draining: draining}
}

// names returns the names of the listed hosts.
func names(r *Roster) []string {
	var out []string
	for _, h := range r.Hosts() {
		out = append(out, h.Name)
	}
	return out
}

// A host that another host reports stays listed as long as the reporter receives
// its heartbeats, although the report itself is not repeated.
func TestReportedHostsStayListed(t *testing.T) {
	control, entry := New(record("control")), New(record("entry"))
	control.RecordHeartbeat(begin, heartbeatOf("far"))
	entry.RecordHeartbeat(begin, heartbeatOf("control"))
	entry.Merge("control", control.Delta(0, MinionFilter{FailureDomain: "a"}))
	for s := range 30 {
		now := begin.Add(time.Duration(s) * time.Second)
		control.RecordHeartbeat(now, heartbeatOf("far"))
		entry.RecordHeartbeat(now, heartbeatOf("control"))
		control.Tick(now)
		entry.Tick(now)
	}
	must.Eq(t, []string{"control", "far"}, names(entry))
	_, index := entry.ReadPosition("control")
	must.Nil(t, control.Delta(index, MinionFilter{FailureDomain: "a"}), must.Sprint("nothing has changed"))
}

// A host whose reporters no longer receive its heartbeats is dropped, and listed
// again when its heartbeats resume.
func TestUnreachableHostsAreDropped(t *testing.T) {
	control, entry := New(record("control")), New(record("entry"))
	control.RecordHeartbeat(begin, heartbeatOf("far"))
	entry.Merge("control", control.Delta(0, MinionFilter{FailureDomain: "a"}))
	later := begin.Add(UnreachableAfter + time.Second)
	entry.RecordHeartbeat(later, heartbeatOf("control"))
	control.Tick(later)
	_, index := entry.ReadPosition("control")
	entry.Merge("control", control.Delta(index, MinionFilter{FailureDomain: "a"}))
	entry.Tick(later)
	must.Eq(t, []string{"control"}, names(entry))
	control.RecordHeartbeat(later, heartbeatOf("far"))
	_, index = entry.ReadPosition("control")
	entry.Merge("control", control.Delta(index, MinionFilter{FailureDomain: "a"}))
	must.Eq(t, []string{"control", "far"}, names(entry))
}

// A host that only an unreachable host reported is dropped together with its reporter.
func TestHostsOfUnreachableReporterAreDropped(t *testing.T) {
	control, entry := New(record("control")), New(record("entry"))
	control.RecordHeartbeat(begin, heartbeatOf("far"))
	entry.RecordHeartbeat(begin, heartbeatOf("control"))
	entry.Merge("control", control.Delta(0, MinionFilter{FailureDomain: "a"}))
	entry.Tick(begin.Add(UnreachableAfter + time.Second))
	must.Len(t, 0, names(entry))
}

// Announcements that arrive after a newer one, or from an earlier incarnation of
// the minion, are ignored.
func TestOutdatedAnnouncementsAreIgnored(t *testing.T) {
	r := New(record("control"))
	must.True(t, r.ApplyAnnouncement(minionOf(3, false)))
	must.True(t, r.ApplyAnnouncement(minionOf(4, true)))
	must.False(t, r.ApplyAnnouncement(minionOf(3, false)), must.Sprint("arrived after a newer one"))
	must.False(t, r.ApplyAnnouncement(minionOf(5, true)), must.Sprint("changes nothing"))
	cold := minionOf(6, true)
	cold.ColdUntilMS = 500
	must.True(t, r.ApplyAnnouncement(cold))
	must.True(t, r.ApplyAnnouncement(minionOf(7, true)), must.Sprint("no longer cold, in the same incarnation"))
	restarted := minionOf(1, false)
	restarted.Incarnation = 6
	must.True(t, r.ApplyAnnouncement(restarted))
	must.False(t, r.ApplyAnnouncement(minionOf(9, true)), must.Sprint("of an earlier incarnation"))
}

// Another writer may use the ID of a minion.
func TestRecordThatContradictsTheIncarnationIsIgnored(t *testing.T) {
	r := New(record("control"))
	r.ApplyAnnouncement(minionOf(1, false))
	for _, change := range []func(*peer.MinionRecord){
		func(m *peer.MinionRecord) { m.CPU = 1000 },
		func(m *peer.MinionRecord) { m.MemoryMB = 1000 },
		func(m *peer.MinionRecord) { m.Service = "other" },
		func(m *peer.MinionRecord) { m.Address = "10.0.0.9:1" },
		func(m *peer.MinionRecord) { m.FailureDomain = "b" },
		func(m *peer.MinionRecord) { m.Labels = []string{"other"} },
	} {
		odd := minionOf(9, false)
		change(&odd)
		must.False(t, r.ApplyAnnouncement(odd))
		must.SliceEmpty(t, r.Merge("other", &peer.RosterUpdate{LogIncarnation: "1", Minions: []peer.MinionRecord{odd}}))
	}
	must.True(t, r.ApplyAnnouncement(minionOf(2, true)), must.Sprint("the minion itself is heard"))
	known, _ := r.Minion("m")
	must.Eq(t, minionOf(2, true), known)
}

// A delta carries only the minions of the reader's failure domain.
func TestDeltaIsLimitedToFailureDomain(t *testing.T) {
	r := New(record("control"))
	r.ApplyAnnouncement(minionOf(1, false))
	must.Len(t, 1, r.Delta(0, MinionFilter{FailureDomain: "a"}).Minions)
	must.Len(t, 0, r.Delta(0, MinionFilter{FailureDomain: "b"}).Minions)
	must.Len(t, 1, r.Delta(0, MinionFilter{}).Minions)
	must.Nil(t, r.Delta(r.LogIndex(), MinionFilter{}))
}

// Changes that were lost in transit are sent again, even if later changes have
// arrived.
func TestLostChangesAreReadAgain(t *testing.T) {
	control, entry := New(record("control")), New(record("entry"))
	control.ApplyAnnouncement(minionOf(1, false))
	lost := control.Delta(0, MinionFilter{FailureDomain: "a"})
	must.NotNil(t, lost)
	index := control.LogIndex()
	control.RecordHeartbeat(begin, heartbeatOf("far"))
	entry.Merge("control", control.Delta(index, MinionFilter{FailureDomain: "a"}))
	_, readIndex := entry.ReadPosition("control")
	entry.Merge("control", control.Delta(readIndex, MinionFilter{FailureDomain: "a"}))
	must.Len(t, 1, entry.Minions("a"))
	_, readIndex = entry.ReadPosition("control")
	must.Eq(t, control.LogIndex(), readIndex)
}

// A reader of all control hosts' logs receives each minion's record once: from the
// control host that the minion announced itself to.
func TestReadersOfAllLogsGetDirectRecordsOnly(t *testing.T) {
	first, second := New(peer.HostRecord{Name: "first", Incarnation: "1"}), New(peer.HostRecord{Name: "second", Incarnation: "2"})
	first.ApplyAnnouncement(minionOf(1, false))
	must.Len(t, 1, first.Delta(0, MinionFilter{DirectOnly: true}).Minions)
	must.Len(t, 1, second.Merge("first", first.Delta(0, MinionFilter{})))
	must.Len(t, 0, second.Delta(0, MinionFilter{DirectOnly: true}).Minions)
	must.Len(t, 1, second.Delta(0, MinionFilter{}).Minions)
	second.ApplyAnnouncement(minionOf(2, true))
	must.Len(t, 1, second.Delta(0, MinionFilter{DirectOnly: true}).Minions)
}

// A snapshot lists the minions of a later process until they announce themselves again. It
// does not bring back one that has left, and does not replace newer records.
func TestRestoredSnapshot(t *testing.T) {
	earlier := New(peer.HostRecord{Name: "c"})
	stays, left := minionRecord("stays", 3), minionRecord("left", 3)
	must.True(t, earlier.ApplyAnnouncement(stays))
	must.True(t, earlier.ApplyAnnouncement(left))
	before := earlier.SnapshotVersion()
	left.Seq, left.Left = 4, true
	must.True(t, earlier.ApplyAnnouncement(left))
	must.NotEq(t, before, earlier.SnapshotVersion())
	layout := peer.CellLayout{Cells: 2, Version: 9}
	earlier.SetCellLayout("d", layout)
	snapshot := earlier.Snapshot()

	r := New(peer.HostRecord{Name: "c"})
	newer := stays
	newer.Seq, newer.Draining = 9, true
	must.True(t, r.ApplyAnnouncement(newer))
	must.Eq(t, 1, r.Restore(snapshot))
	must.Eq(t, []peer.MinionRecord{newer}, r.Minions(stays.FailureDomain))
	must.Eq(t, layout, r.CellLayout("d"))
	left.Seq, left.Left = 3, false
	must.False(t, r.ApplyAnnouncement(left), must.Sprint("a late announcement from before it left"))
}

// Records of a damaged or foreign file are skipped.
func TestInvalidRecordsAreNotRestored(t *testing.T) {
	odd := minionRecord("odd", 1)
	odd.CPU = -1
	r := New(peer.HostRecord{Name: "c"})
	must.Eq(t, 1, r.Restore(&Snapshot{Minions: []peer.MinionRecord{odd, minionRecord("m", 1)}}))
}

func minionRecord(id string, seq uint64) peer.MinionRecord {
	return peer.MinionRecord{ID: id, Incarnation: 1, Seq: seq, Service: "s", Address: "10.0.0.9:80", FailureDomain: "d", CPU: 1, MemoryMB: 1}
}
