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

func beatOf(name string) *peer.Beat { return &peer.Beat{From: record(name)} }

func minionOf(seq uint64, draining bool) peer.MinionRecord {
	return peer.MinionRecord{ID: "m", Born: 5, Seq: seq, Service: "s", FailureDomain: "a", CPU: 1, Draining: draining}
}

func names(r *Roster) []string {
	var out []string
	for _, h := range r.Hosts() {
		out = append(out, h.Name)
	}
	return out
}

// A host that another one tells of stays listed as long as the teller hears of
// it, however long ago it told.
func TestToldHostsStay(t *testing.T) {
	control, entry := New(record("control")), New(record("entry"))
	control.Heard(begin, beatOf("far"))
	entry.Heard(begin, beatOf("control"))
	entry.Merge("control", control.Delta(0, Audience{FailureDomain: "a"}))
	for s := range 30 {
		now := begin.Add(time.Duration(s) * time.Second)
		control.Heard(now, beatOf("far"))
		entry.Heard(now, beatOf("control"))
		control.Tick(now)
		entry.Tick(now)
	}
	must.Eq(t, []string{"control", "far"}, names(entry))
	_, place := entry.Place("control")
	must.Nil(t, control.Delta(place, Audience{FailureDomain: "a"}), must.Sprint("nothing has changed"))
}

// A host that its tellers no longer hear of is dropped, and listed again when
// it comes back.
func TestLostHostsAreDropped(t *testing.T) {
	control, entry := New(record("control")), New(record("entry"))
	control.Heard(begin, beatOf("far"))
	entry.Merge("control", control.Delta(0, Audience{FailureDomain: "a"}))
	later := begin.Add(ForgetAfter + time.Second)
	entry.Heard(later, beatOf("control"))
	control.Tick(later)
	_, place := entry.Place("control")
	entry.Merge("control", control.Delta(place, Audience{FailureDomain: "a"}))
	entry.Tick(later)
	must.Eq(t, []string{"control"}, names(entry))
	control.Heard(later, beatOf("far"))
	_, place = entry.Place("control")
	entry.Merge("control", control.Delta(place, Audience{FailureDomain: "a"}))
	must.Eq(t, []string{"control", "far"}, names(entry))
}

// The hosts that a silent teller told of are dropped with it.
func TestSilentTellersHostsAreDropped(t *testing.T) {
	control, entry := New(record("control")), New(record("entry"))
	control.Heard(begin, beatOf("far"))
	entry.Heard(begin, beatOf("control"))
	entry.Merge("control", control.Delta(0, Audience{FailureDomain: "a"}))
	entry.Tick(begin.Add(ForgetAfter + time.Second))
	must.Len(t, 0, names(entry))
}

func TestOvertakenAnnouncementsTellNothing(t *testing.T) {
	r := New(record("control"))
	must.True(t, r.Announce(minionOf(3, false)))
	must.True(t, r.Announce(minionOf(4, true)))
	must.False(t, r.Announce(minionOf(3, false)), must.Sprint("late"))
	must.False(t, r.Announce(minionOf(5, true)), must.Sprint("nothing new"))
	reborn := minionOf(1, false)
	reborn.Born = 6
	must.True(t, r.Announce(reborn))
	must.False(t, r.Announce(minionOf(9, true)), must.Sprint("of an earlier life"))
}

// Deltas carry the minions of the asker's failure domain only.
func TestDeltaByDomain(t *testing.T) {
	r := New(record("control"))
	r.Announce(minionOf(1, false))
	must.Len(t, 1, r.Delta(0, Audience{FailureDomain: "a"}).Minions)
	must.Len(t, 0, r.Delta(0, Audience{FailureDomain: "b"}).Minions)
	must.Len(t, 1, r.Delta(0, Audience{}).Minions)
	must.Nil(t, r.Delta(r.Log(), Audience{}))
}

// A part of the log that was lost is read again, though a later one arrived.
func TestLostPartIsReadAgain(t *testing.T) {
	control, entry := New(record("control")), New(record("entry"))
	control.Announce(minionOf(1, false))
	lost := control.Delta(0, Audience{FailureDomain: "a"})
	must.NotNil(t, lost)
	place := control.Log()
	control.Heard(begin, beatOf("far"))
	entry.Merge("control", control.Delta(place, Audience{FailureDomain: "a"}))
	_, read := entry.Place("control")
	entry.Merge("control", control.Delta(read, Audience{FailureDomain: "a"}))
	must.Len(t, 1, entry.Minions("a"))
	_, read = entry.Place("control")
	must.Eq(t, control.Log(), read)
}

// A reader of all control hosts' logs is told each minion once, by the host that
// it announced itself to.
func TestReadersOfAllLogsGetDirectRecordsOnly(t *testing.T) {
	first, second := New(peer.HostRecord{Name: "first", Incarnation: "1"}), New(peer.HostRecord{Name: "second", Incarnation: "2"})
	first.Announce(minionOf(1, false))
	must.Len(t, 1, first.Delta(0, Audience{Direct: true}).Minions)
	must.Len(t, 1, second.Merge("first", first.Delta(0, Audience{})))
	must.Len(t, 0, second.Delta(0, Audience{Direct: true}).Minions)
	must.Len(t, 1, second.Delta(0, Audience{}).Minions)
	second.Announce(minionOf(2, true))
	must.Len(t, 1, second.Delta(0, Audience{Direct: true}).Minions)
}
