package fleet

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"github.com/shoenig/test/must"
)

// Requests that may have waited while the host stood still are refused: their
// callers may have gone to another host.
func TestRequestsAfterASuspensionAreRefused(t *testing.T) {
	w := newWorld(usualShape, 1)
	h := w.byName["e0-0"]
	h.launch()
	now := simBegin
	submit := func(job string) chan entry.Outcome {
		out := make(chan entry.Outcome, 1)
		h.d.submit(now, peer.JobOffer{Job: job}, now.Add(time.Second), out)
		return out
	}
	h.d.awake(now, time.Hour)
	must.Zero(t, len(submit("before")))
	h.d.awake(now.Add(time.Millisecond), time.Hour+2*suspension)
	now = now.Add(time.Millisecond)
	must.Eq(t, peer.JobRefused, (<-submit("waited")).Outcome)
	now = now.Add(staleRequests)
	must.Zero(t, len(submit("fresh")))
}

// When all hosts start at once, the minions are claimed as soon as every host
// has been heard.
func TestClaimsAfterAllHostsStarted(t *testing.T) {
	w := newWorld(simShape{domains: 2, entries: 3, minions: 6, load: 0.3, rest: 12 * time.Second}, 1)
	const killed, started, bound = 8 * time.Second, 9 * time.Second, 700 * time.Millisecond
	for _, h := range w.hosts {
		w.after(killed, func() { h.die(true) })
		w.after(started, h.launch)
	}
	claims := 0
	w.after(started+bound, func() {
		for _, h := range w.hosts {
			claims += len(h.d.shards)
		}
	})
	w.run()
	must.Eq(t, 2, claims, must.Sprint("one of each failure domain"))
	must.SliceEmpty(t, w.ledger.finish())
}

// When all hosts of a failure domain are stopped one after the other, the last
// goes on dispatching until it ends.
func TestOverlappingStopsGoOnServing(t *testing.T) {
	w := newWorld(simShape{domains: 1, entries: 2, minions: 12, load: 0.5, rest: 14 * time.Second}, 1)
	const first, second, linger = 8 * time.Second, 9 * time.Second, 5 * time.Second
	w.after(first, func() { w.byName["e0-0"].shutDown(linger) })
	w.after(second, func() { w.byName["e0-1"].shutDown(linger) })
	w.after(second+linger+time.Second, func() { w.byName["e0-0"].launch(); w.byName["e0-1"].launch() })
	asked, served := 0, 0
	w.after(second+linger, func() {
		for _, c := range w.calls {
			left := c.closed && c.outcome == 0
			if c.began > second && c.began < second+linger-time.Second && c.work[0] < time.Second && !left {
				asked++
				if c.outcome == peer.JobComplete {
					served++
				}
			}
		}
	})
	w.run()
	must.SliceEmpty(t, w.ledger.finish())
	must.Greater(t, 30, asked)
	must.GreaterEq(t, 9*asked, 10*served, must.Sprintf("%d of %d", served, asked))
}

// The first message of a host's new process, whatever it is, ends the jobs of
// the earlier one. A beat that comes after it ends none of its own.
func TestNewProcessOfAHostEndsTheEarlierOnesJobs(t *testing.T) {
	w := newWorld(simShape{domains: 1, entries: 2, minions: 2, rest: time.Second}, 1)
	h := w.byName["e0-0"]
	h.launch()
	x := &shard{of: 1, pool: pool.New(pool.Config{Timing: pool.DefaultTiming(), Note: h.note})}
	x.pool.Claim(simBegin, 1<<30)
	x.pool.Minion(simBegin, peer.MinionRecord{ID: "m", Service: "s", CPU: simCPU, MemoryMB: 100, Seq: 1})
	h.d.shards[0] = x
	offer := func(inc membership.Incarnation, job string) {
		h.d.receive(simBegin, "far", inc, &peer.JobOffer{Job: job, Offer: 1, Heard: h.d.clock(), Of: 1, Service: "s", StretchPct: 160, AddMS: 60, LeftMS: 1000,
			Steps: []peer.TaskStep{{Count: 1, CPU: 1000, MemoryMB: 1, EstimateMS: 100}}})
	}
	beat := func(inc membership.Incarnation) {
		h.d.receive(simBegin, "far", inc, &peer.Beat{From: peer.HostRecord{Name: "far", Entry: true, Incarnation: inc}})
	}
	beat("1")
	offer("1", "earlier")
	must.Eq(t, 1, x.pool.Jobs())
	offer("2", "new")
	must.Eq(t, 1, x.pool.Jobs(), must.Sprint("the earlier process's job is given up"))
	beat("2")
	must.Eq(t, 1, x.pool.Jobs(), must.Sprint("the new process's job goes on"))
	offer("1", "late")
	must.Eq(t, 1, x.pool.Jobs(), must.Sprint("a late message of the earlier process counts for nothing"))
}

// An offer that was on its way for long is ignored: its job may have ended or run
// elsewhere. So is a second copy of one that has ended.
func TestStaleOffersAreIgnored(t *testing.T) {
	w := newWorld(simShape{domains: 1, entries: 2, minions: 2, rest: time.Second}, 1)
	h := w.byName["e0-0"]
	h.launch()
	now, boot := simBegin, time.Hour
	h.d.awake(now, boot)
	x := &shard{of: 1, pool: pool.New(pool.Config{Timing: pool.DefaultTiming(), Note: h.note})}
	x.pool.Claim(now, 1<<30)
	x.pool.Minion(now, peer.MinionRecord{ID: "m", Service: "s", CPU: simCPU, MemoryMB: 100, Seq: 1})
	h.d.shards[0] = x
	offer := func(job string, heard, ago int64) {
		h.d.receive(now, "far", "1", &peer.JobOffer{Job: job, Offer: 1, Of: 1, Service: "s", StretchPct: 160, AddMS: 60, LeftMS: 1000, Heard: heard, HeardAgoMS: ago,
			Steps: []peer.TaskStep{{Count: 1, CPU: 1000, MemoryMB: 1, EstimateMS: 100}}})
	}
	heard := h.d.clock()
	pass := func(d time.Duration) {
		for ; d > 0; d -= 50 * time.Millisecond { // below a suspension
			now, boot = now.Add(50*time.Millisecond), boot+50*time.Millisecond
			h.d.awake(now, boot)
		}
	}
	pass(300 * time.Millisecond)
	offer("fresh", heard, 250) // 50 ms on its way
	must.Eq(t, 1, x.pool.Jobs())
	pass(maxFlight + 50*time.Millisecond)
	offer("late", heard, 300) // 50 ms more than it may be on its way
	offer("unheard", 0, 0)
	offer("other process", heard-1_000_000, 0)
	must.Eq(t, 1, x.pool.Jobs())
	h.d.receive(now, "far", "1", &peer.JobCancel{Job: "fresh", Offer: 1})
	must.Eq(t, 0, x.pool.Jobs())
	offer("fresh", h.d.clock(), 0)
	must.Eq(t, 0, x.pool.Jobs())
}
