package fleet

import (
	"log/slog"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// staleRequests is for how long after a suspension requests are refused that may
// have waited in their connections meanwhile: their callers may have gone to
// another host. They are read within it by a slow machine.
const staleRequests = 100 * time.Millisecond

// submit takes a caller's job. Its outcome is sent to out, which has room for
// one; the result names the caller for callerLeft.
func (d *decisions) submit(now time.Time, o peer.JobOffer, deadline time.Time, out chan entry.Outcome) (waiter uint64) {
	if !d.wokeAt.IsZero() && now.Sub(d.wokeAt) < staleRequests {
		refusal := entry.Outcome{Outcome: peer.JobRefused, RetryMS: busyRetry.Milliseconds(), Reason: "the request may have waited while the host was suspended"}
		d.note(event.EntryJobAnswered, slog.String("job", o.Job), slog.String("queue", o.Queue), slog.Int("outcome", int(refusal.Outcome)),
			slog.String("reason", refusal.Reason), slog.Int64("retry_ms", refusal.RetryMS))
		out <- refusal
		return 0
	}
	d.nextID++
	d.waiters[d.nextID] = out
	d.table.Submit(now, o, deadline, d.nextID)
	return d.nextID
}

// callerLeft ends the wait of a caller whose connection is gone.
func (d *decisions) callerLeft(now time.Time, job string, waiter uint64) {
	delete(d.waiters, waiter)
	d.table.RemoveWaiter(now, job, waiter)
}

// announced takes a minion's announcement.
func (d *decisions) announced(now time.Time, m peer.MinionRecord) {
	if d.roster.ApplyAnnouncement(m) {
		d.note(event.MinionRecorded, slog.String("minion", m.ID), slog.Bool("draining", m.Draining), slog.Bool("gone", m.Gone), slog.Uint64("seq", m.Seq))
		d.minionChanged(now, m)
	}
}

// minionGone takes a minion's word that it ends.
func (d *decisions) minionGone(now time.Time, id string) {
	m, ok := d.roster.Minion(id)
	if !ok {
		return
	}
	m.Gone = true
	m.Seq++
	d.announced(now, m)
}

// shutDown begins to hand over: another host takes the minions, if there is one.
func (d *decisions) shutDown(now time.Time) {
	d.leaving = true
	d.beatSoon = true
	staying := slices.ContainsFunc(d.candidates(now), func(c claim.Candidate) bool { return !c.Leaving })
	if !staying {
		return // this host dispatches to its end
	}
	for _, x := range d.ordered() {
		x.pool.Freeze(now)
	}
}
