package verdict

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

var testTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTrainedModel returns a model that has recorded runs of 100 ms and round trips
// of 101 ms on four minions.
func newTrainedModel() *Model {
	m := NewModel("h")
	for i := range 100 {
		name := []string{"m0", "m1", "m2", "m3"}[i%4]
		at := testTime.Add(time.Duration(i) * 20 * ms)
		m.RecordOutcome("s", name, job.TaskID{Index: i}, job.Outcome{Run: 100 * ms, Own: 100 * ms, Trip: 101 * ms, SentAt: at})
	}
	return m
}

// verdictFor returns the verdict of m on an answer with the given breakdown.
func verdictFor(m *Model, b job.Breakdown) job.Verdict {
	now := testTime.Add(time.Minute)
	m.Attribute(AnswerTiming{Service: "s", Team: "t", Now: now, Accepted: now.Add(-b.Total), Breakdown: &b})
	return b.Verdict
}

func TestVerdictNamesSlowPart(t *testing.T) {
	baseline := job.Breakdown{Total: 102 * ms, Trip: 101 * ms, Run: 100 * ms, Own: 100 * ms, Minion: "m0"}
	cases := []struct {
		name   string
		change func(b *job.Breakdown)
		part   job.Part
		where  string
	}{
		{"no delay", func(*job.Breakdown) {}, job.PartMinionRun, "m0"},
		{"slow link", func(b *job.Breakdown) { b.Trip += 80 * ms; b.Total += 80 * ms }, job.PartNetwork, "h to m0"},
		{"refused start", func(b *job.Breakdown) { b.Refused = 500 * ms; b.RefusedBy = "m3"; b.Total += 500 * ms }, job.PartNetwork, "h to m3"},
		{"queue", func(b *job.Breakdown) { b.Queue = 80 * ms; b.Total += 80 * ms }, job.PartQueue, "h"},
		{"minion outside its run", func(b *job.Breakdown) { b.Own += 80 * ms; b.Trip += 80 * ms; b.Total += 80 * ms }, job.PartMinionRun, "m0"},
		{"straggler", func(b *job.Breakdown) { b.Run += 400 * ms; b.Own += 400 * ms; b.Trip += 400 * ms; b.Total += 400 * ms }, job.PartStraggler, "m0"},
		{"owner lookup", func(b *job.Breakdown) { b.Control = 300 * ms }, job.PartControl, "h"},
		{"slow caller", func(b *job.Breakdown) { b.Receive = 300 * ms }, job.PartCaller, "t"},
		{"host's ring buffer", func(b *job.Breakdown) { b.Handoff = 80 * ms; b.Total += 80 * ms }, job.PartHost, "h"},
		{"minion reports no times", func(b *job.Breakdown) { b.Run, b.Own = 0, 0; b.Trip += 300 * ms; b.Total += 300 * ms }, job.PartUnknown, "m0"},
		{"task without outcome", func(b *job.Breakdown) { b.Run, b.Own, b.Trip = 0, 0, 0; b.Open = 400 * ms; b.Total = 400 * ms }, job.PartUnknown, "m0"},
		{"link to owner", func(b *job.Breakdown) { b.Peer = "p"; b.PeerTrip = 300 * ms; b.PeerHeld = 100 * ms }, job.PartNetwork, "h to p"},
		{"queue of owner", func(b *job.Breakdown) {
			b.Peer, b.PeerTrip, b.PeerHeld = "p", 300*ms, 299*ms
			b.Verdict = job.Verdict{Part: job.PartQueue, Where: "p", Share: 0.8}
		}, job.PartQueue, "p"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := baseline
			c.change(&b)
			v := verdictFor(newTrainedModel(), b)
			must.Eq(t, c.part, v.Part)
			must.Eq(t, c.where, v.Where)
			must.Positive(t, v.Share)
		})
	}
}

// A pause of the host during a round trip is attributed to the host, not to the
// network.
func TestHostPauseIsAttributedToHost(t *testing.T) {
	m := newTrainedModel()
	end := testTime.Add(time.Minute)
	for at := end.Add(-time.Second); at.Before(end); at = at.Add(10 * ms) {
		if at.Before(end.Add(-400*ms)) || at.After(end.Add(-50*ms)) {
			m.RecordActivity(at)
		}
	}
	v := verdictFor(m, job.Breakdown{Total: 502 * ms, Trip: 501 * ms, Run: 100 * ms, Own: 100 * ms, Minion: "m0"})
	must.Eq(t, job.PartHost, v.Part)
}

// A link that has been slow for longer than its window of samples is still
// attributed to the network.
func TestPermanentlySlowLinkIsAttributedToNetwork(t *testing.T) {
	m := newTrainedModel()
	for i := range 2 * linkWindow {
		m.RecordOutcome("s", "far", job.TaskID{Index: i}, job.Outcome{Run: 100 * ms, Own: 100 * ms, Trip: 190 * ms, SentAt: testTime})
	}
	v := verdictFor(m, job.Breakdown{Total: 190 * ms, Trip: 190 * ms, Run: 100 * ms, Own: 100 * ms, Minion: "far"})
	must.Eq(t, job.PartNetwork, v.Part)
}

// A short task on a slow minion takes less than twice the longest run times on other
// minions, so its own time does not show a straggler. The minion's other runs at
// that time do.
func TestShortTaskOnSlowMinionIsStraggler(t *testing.T) {
	m := newTrainedModel()
	for i := range 20 { // on other minions, runs of very different lengths
		at := testTime.Add(3*time.Second + time.Duration(i)*20*ms)
		m.RecordOutcome("s", "m1", job.TaskID{Index: 200 + i}, job.Outcome{Run: 250 * ms, Own: 250 * ms, Trip: 251 * ms, SentAt: at})
	}
	now := testTime.Add(4 * time.Second)
	for i := range 8 {
		m.RecordStart(now.Add(-900*ms), "s", "m0", job.TaskID{Index: 300 + i})
	}
	for i := range 4 {
		m.RecordStart(now.Add(-250*ms), "s", "m2", job.TaskID{Index: 400 + i})
	}
	b := job.Breakdown{Total: 451 * ms, Trip: 450 * ms, Run: 449 * ms, Own: 449 * ms, Minion: "m0"}
	m.Attribute(AnswerTiming{Service: "s", Team: "t", Now: now, Accepted: now.Add(-451 * ms), Breakdown: &b})
	must.Eq(t, job.PartStraggler, b.Verdict.Part)
}
