package fleet

import (
	"log/slog"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// staleRequestWindow is how long requests are refused after a suspension. Those read
// within it may have waited in their connections during the suspension, while their
// callers moved to another host; even a slow machine reads all of them in this time.
const staleRequestWindow = 100 * time.Millisecond

// submit accepts or refuses a caller's job. It sends the outcome to out, which must
// have a buffer of one. The result identifies the caller for callerDisconnected; it
// is 0 if the job is refused because of a suspension or of overload, or was deleted.
func (c *core) submit(now time.Time, o peer.JobOffer, deadline time.Time, out chan entry.Outcome) (waiter uint64) {
	var refusal entry.Outcome
	switch {
	case !c.resumedAt.IsZero() && now.Sub(c.resumedAt) < staleRequestWindow:
		refusal = entry.Outcome{Outcome: peer.JobRefused, RetryMS: busyRetryAfter.Milliseconds(), Reason: "the request may have waited while the host was suspended"}
	case !c.jobTable.HasJob(o.Job) && c.overload.RefuseRequest():
		refusal = entry.Outcome{Outcome: peer.JobRefused, RetryMS: c.overloadRetryMS(now), Reason: overloadedReason}
	}
	if refusal.Outcome != 0 {
		c.logEvent(event.EntryJobUnsuccessful, slog.String("job", o.Job), slog.String("queue", o.Queue), slog.Int("outcome", int(refusal.Outcome)),
			slog.String("reason", refusal.Reason), slog.Int64("retry_ms", refusal.RetryMS))
		out <- refusal
		return 0
	}
	if c.isDeleted(o.Job) {
		out <- entry.Outcome{Outcome: peer.JobDeleted, Reason: "the job was deleted"}
		return 0
	}
	c.lastWaiter++
	c.waiters[c.lastWaiter] = out
	c.jobTable.Submit(now, o, deadline, c.lastWaiter)
	return c.lastWaiter
}

// callerDisconnected removes a caller whose connection has ended.
func (c *core) callerDisconnected(now time.Time, job string, waiter uint64) {
	delete(c.waiters, waiter)
	c.jobTable.RemoveWaiter(now, job, waiter)
}

// connectionClosed records that the connection of another host was closed.
func (c *core) connectionClosed(now time.Time, from string, inc membership.Incarnation) {
	c.roster.ConnectionClosed(now, from, inc)
	c.claimsChanged = true
}

// minionAnnounced records a minion's announcement if it is newer than the known one. A
// changed record is passed on to the pool of the minion's shard. The result is false if the
// announcement says that the minion is draining and has no effect.
//
// named says whether the newest document names the minion's service. If it doesn't, the
// announcement may be another writer's, and must not take the place of a minion that serves.
// A minion whose service has been dropped goes on reporting its state.
func (c *core) minionAnnounced(now time.Time, m peer.MinionRecord, named bool) bool {
	if !named {
		if known, ok := c.roster.Minion(m.ID); !ok || known.Incarnation != m.Incarnation || known.Service != m.Service {
			return true // no minion to use
		}
	}
	if c.roster.ApplyAnnouncement(m) {
		c.logEvent(event.AnnouncementChanged, slog.String("minion", m.ID), slog.Bool("draining", m.Draining), slog.Bool("gone", m.Left), slog.Uint64("seq", m.Seq),
			slog.Int64("born", m.Incarnation), slog.Int64("cpu", m.CPU), slog.Int64("mem_mb", m.MemoryMB))
		c.minionChanged(now, m)
	}
	return c.roster.ShowsDraining(m)
}

// minionLeft records that a minion has announced its stop. Minions that the roster
// doesn't list are ignored.
func (c *core) minionLeft(now time.Time, id string) {
	m, ok := c.roster.Minion(id)
	if !ok {
		return
	}
	m.Left = true
	m.Seq++
	c.minionAnnounced(now, m, true)
}

// beginShutdown announces that this host is shutting down. If another host of the cell
// can take over, the pools pause starts for a short time, in which that host claims the
// shards.
func (c *core) beginShutdown(now time.Time) {
	c.shuttingDown = true
	c.heartbeatDue = true
	canTakeOver := slices.ContainsFunc(c.otherCandidates(now), func(o claim.Candidate) bool { return !o.ShuttingDown })
	if !canTakeOver {
		return // no other host can take over: dispatch until the process stops
	}
	for _, x := range c.sortedShards() {
		x.pool.PauseStarts(now)
	}
}
