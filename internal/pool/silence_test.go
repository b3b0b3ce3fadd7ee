package pool

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// Leases of a job whose entry host is silent end before its caller submits the job again to
// another host, whatever the time at which the minion becomes unreachable: by then another
// dispatcher may start the same tasks.
func TestLeasesEndBeforeTheCallersNextTry(t *testing.T) {
	const resubmit = 1300 * ms
	s := newHarness(t)
	lastSign := s.now
	s.p.cfg.LastSign = func(time.Time, string) time.Time { return lastSign }
	s.addMinion("m", 1000)
	s.p.Offer(s.now, "e", &peer.JobOffer{Job: "j", Offer: 1, Service: "s", RemainingMS: 60_000, StretchPct: 160, AddMS: 60, Steps: []peer.TaskStep{{Count: 1, CPU: 500, EstimateMS: 30_000}}})
	s.collect()
	must.SliceNotEmpty(t, s.out.Starts)
	begin := s.minionClock()
	for range 300 { // more than claim.HeartbeatTimeout, after which the offer is withdrawn
		s.advance(2 * ms)
		if len(s.out.Polls) > 0 {
			s.answerPoll("m", &Listing{Running: []RunProgress{{Task: TaskRef{Job: "j"}, Run: 1}}})
		}
	}
	s.p.DetachHost(s.now, "e")
	slowest := func(end int64) time.Duration { return time.Duration(float64(end-begin)/minClockRate) * ms }
	m := s.p.minions["m"]
	must.Less(t, resubmit-s.p.cfg.Timing.Stop, slowest(m.maxLeaseEnd))
	must.Greater(t, 1000*ms, slowest(m.maxLeaseEnd), must.Sprint("the lease must be renewed as long as possible"))
}

// A task is not started for an entry host whose last sign is so old that a lease, or the one
// that the minion has, would outlast the caller's wait for its next try.
func TestNoStartsForASilentEntryHost(t *testing.T) {
	s := newHarness(t)
	lastSign := s.now.Add(-450 * ms)
	s.p.cfg.LastSign = func(time.Time, string) time.Time { return lastSign }
	s.addMinion("m", 1000)
	s.p.minions["m"].maxLeaseEnd = s.minionClock() + 800
	s.p.Offer(s.now, "e", &peer.JobOffer{Job: "j", Offer: 1, Service: "s", RemainingMS: 60_000, StretchPct: 160, AddMS: 60, Steps: []peer.TaskStep{{Count: 1, CPU: 500, EstimateMS: 300}}})
	s.collect()
	must.SliceEmpty(t, s.out.Starts)
	s.p.minions["m"].maxLeaseEnd = 0
	lastSign = s.now.Add(-900 * ms)
	s.advance(0)
	must.SliceEmpty(t, s.out.Starts)
	lastSign = s.now.Add(-450 * ms)
	s.advance(20 * ms)
	must.SliceNotEmpty(t, s.out.Starts)
	must.Less(t, s.minionClock()+800, s.out.Starts[0].LeaseEndMS)
}
