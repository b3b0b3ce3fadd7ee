package pool

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
)

// handleListing applies a minion's listing: it ends and adds runs and updates their
// progress. If the listing reveals a new incarnation, the rest of it is ignored, and
// the minion is polled again under a newer token.
func (p *Pool) handleListing(now time.Time, m *minion, poll *pendingPoll, l *Listing) {
	if l.Incarnation != 0 && m.Incarnation != 0 && l.Incarnation > m.Incarnation {
		p.restarted(now, m, l.Incarnation)
		return
	}
	m.observeClock(now, l.ClockMS)
	p.updateCold(now, m)
	m.failedPolls, m.listedAt = 0, now
	m.nextPollAt = now
	if !m.reachable {
		m.reachable = true
		p.cfg.Log(event.PoolMinionReachable, slog.String("minion", m.ID), slog.Uint64("token", m.token), slog.Int("running", len(l.Running)))
	}
	for i := range l.Ended {
		p.handleEnded(now, m, &l.Ended[i])
	}
	if poll.token == m.token && m.listedToken < m.token {
		// A lease granted to an earlier owner may last this long.
		m.maxLeaseEnd = max(m.maxLeaseEnd, l.ClockMS+p.cfg.Timing.MaxLease.Milliseconds())
	}
	m.listedToken = max(m.listedToken, poll.token)
	if poll.token == m.token && poll.sentAt.After(m.listedPollAt) && !l.MoreEnded {
		m.listedPollAt = poll.sentAt
	}
	if l.ClockMS < m.listingClock {
		return // a newer listing arrived first
	}
	m.listingClock = l.ClockMS
	listed := make(map[TaskRef]bool, len(l.Running))
	for i := range l.Running {
		listed[l.Running[i].Task] = true
		p.handleRunning(now, m, &l.Running[i])
	}
	if l.MoreEnded {
		p.checkCapacity(m)
		return // a run that isn't listed may have ended
	}
	for _, x := range m.sortedRuns() {
		if !listed[x.task] && x.provedAbsent(poll, l) {
			if x.absenceDisproves(m, poll, l) {
				p.startDisproved(x)
			}
			p.endRun(now, m, x, EndExpired)
		}
	}
	p.checkCapacity(m)
	if poll.token == m.token {
		m.listed = true
	}
}

// provedAbsent reports whether a listing that does not include the run proves that the
// minion neither has the run nor will begin it.
func (x *run) provedAbsent(poll *pendingPoll, l *Listing) bool {
	switch {
	case x.started:
		return poll.sentAt.After(x.ackAt) && l.ClockMS > x.ackClock
	case !x.stopConfirmedAt.IsZero():
		return poll.sentAt.After(x.stopConfirmedAt)
	}
	return poll.token > x.token
}

// handleEnded handles one ended run of a listing.
func (p *Pool) handleEnded(now time.Time, m *minion, e *EndedRun) {
	if e.Number <= m.lastEnd {
		return
	}
	m.lastEnd = e.Number
	x := m.runs[e.Task]
	if x == nil || x.number != e.Run {
		if x == nil || x.number < e.Run {
			p.earlyEnds[e.Task] = earlyEnd{now, e.Run, e.How}
		}
		return
	}
	if x.job == nil {
		p.earlyEnds[e.Task] = earlyEnd{now, e.Run, e.How}
	}
	p.learnFromEnd(now, m, x, e.How)
	p.endRun(now, m, x, e.How)
}

// handleRunning handles one current run of a listing: it confirms a start, or adds a
// run that an earlier owner started.
func (p *Pool) handleRunning(now time.Time, m *minion, r *RunProgress) {
	x := m.runs[r.Task]
	if x == nil || x.number < r.Run {
		if x != nil {
			p.endRun(now, m, x, EndExpired)
		}
		x = &run{task: r.Task, number: r.Run, sentAt: now}
		m.runs[r.Task] = x
	} else if x.number > r.Run {
		return
	}
	if !x.started {
		x.started, x.ackAt, x.ackClock, x.progressAt = true, now, m.listingClock, now
		if x.job != nil && !x.sentAt.IsZero() {
			x.ackAt = x.sentAt
		}
	}
	if r.Percent > x.percent {
		x.progressAt = now
	}
	x.percent, x.listedAt = r.Percent, now
	if x.job != nil {
		return
	}
	if j := p.jobs[x.task.Job]; j != nil && !x.stopping {
		if t := j.task(x.task); t != nil && t.run == nil && t.state != taskDone && p.adoptRun(now, j, t) {
			return
		}
	}
	if now.Sub(p.claimedAt) >= p.cfg.Timing.AdoptionGrace {
		p.stop(now, m, x)
	}
}
