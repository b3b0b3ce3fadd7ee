package pool

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
)

// listing takes what a minion says of its runs.
func (p *Pool) listing(now time.Time, m *minion, call *holdCall, l *Listing) {
	if l.Born != 0 && m.Born != 0 && l.Born > m.Born {
		p.restarted(now, m, l.Born)
		return
	}
	m.tick(now, l.ClockMS)
	m.failures, m.heardAt = 0, now
	m.nextHold = now
	if !m.reachable {
		m.reachable = true
		p.cfg.Note(event.PoolMinionHeld, slog.String("minion", m.ID), slog.Uint64("token", m.token), slog.Int("running", len(l.Running)))
	}
	for i := range l.Ended {
		p.ended(now, m, &l.Ended[i])
	}
	if l.ClockMS < m.listClock {
		return // overtaken by a newer listing
	}
	m.listClock = l.ClockMS
	present := make(map[TaskRef]bool, len(l.Running))
	for i := range l.Running {
		present[l.Running[i].Task] = true
		p.running(now, m, &l.Running[i])
	}
	for _, x := range m.sortedRuns() {
		if !present[x.task] && x.absent(call, l) {
			p.endRun(now, m, x, EndLapsed)
		}
	}
	if call.token == m.token && !m.listed {
		m.listed = true
		// What an earlier owner granted may last this long.
		m.maxUntil = max(m.maxUntil, l.ClockMS+p.cfg.Timing.MaxLease.Milliseconds())
	}
}

// absent reports whether a run that a listing does not show is certainly not
// there, nor will be.
func (x *run) absent(call *holdCall, l *Listing) bool {
	switch {
	case x.started:
		return call.sentAt.After(x.ackAt) && l.ClockMS > x.ackClock
	case !x.stopOK.IsZero():
		return call.sentAt.After(x.stopOK)
	}
	return call.token > x.token
}

// ended takes one end that a minion lists.
func (p *Pool) ended(now time.Time, m *minion, e *Ended) {
	if e.Number <= m.lastSeen {
		return
	}
	m.lastSeen = e.Number
	x := m.runs[e.Task]
	if x == nil || x.number != e.Run {
		if x == nil || x.number < e.Run {
			p.ends[e.Task] = pastEnd{now, e.Run, e.How}
		}
		return
	}
	if x.owner == nil {
		p.ends[e.Task] = pastEnd{now, e.Run, e.How}
	}
	p.judge(now, m, x, e.How)
	p.endRun(now, m, x, e.How)
}

// running takes one run that a minion lists.
func (p *Pool) running(now time.Time, m *minion, r *Running) {
	x := m.runs[r.Task]
	if x == nil || x.number < r.Run {
		if x != nil {
			p.endRun(now, m, x, EndLapsed)
		}
		x = &run{task: r.Task, number: r.Run, sentAt: now}
		m.runs[r.Task] = x
	} else if x.number > r.Run {
		return
	}
	if !x.started {
		x.started, x.ackAt, x.ackClock, x.movedAt = true, now, m.listClock, now
		if x.owner != nil && !x.sentAt.IsZero() {
			x.ackAt = x.sentAt
		}
	}
	if r.Percent > x.percent {
		x.movedAt = now
	}
	x.percent, x.seenAt = r.Percent, now
	if x.owner != nil {
		return
	}
	if j := p.jobs[x.task.Job]; j != nil && !x.stopping {
		if t := j.task(x.task); t != nil && t.run == nil && t.state != taskDone && p.adoptRun(now, j, t) {
			return
		}
	}
	if now.Sub(p.tookAt) >= p.cfg.Timing.Adopt {
		p.stop(now, m, x)
	}
}
