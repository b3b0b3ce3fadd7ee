package pool

import (
	"log/slog"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// Room, in thousandths of a processor, that is given up to avoid a minion.
const (
	slowPenalty = 40_000          // per usual run time that it takes more
	farPenalty  = 2 * slowPenalty // away from the data a task takes three times as long (platform's far_x)
	lastPenalty = 4 * slowPenalty // that the task's last run was on: after any other
)

// takesWork reports whether new runs may be placed on the minion at all.
func (m *minion) takesWork() bool {
	return m.listed && m.reachable && !m.Draining && !m.Gone && !m.replaced && m.clock > 0 && !m.health.ejected
}

// couldRun reports whether the minion, when empty, can run a task of the step.
func (m *minion) couldRun(s *peer.TaskStep) bool {
	return s.CPU <= m.CPU && s.MemoryMB <= m.MemoryMB && s.Accelerators <= m.Accelerators &&
		(s.Label == "" || slices.Contains(m.Labels, s.Label))
}

// hasRoom reports whether the minion has room for one more task of the step.
func (m *minion) hasRoom(s *peer.TaskStep) bool {
	return m.usedCPU+s.CPU <= m.CPU && m.usedMem+s.MemoryMB <= m.MemoryMB && m.usedAcc+s.Accelerators <= m.Accelerators
}

// dispatch starts what can be started, in the order of the queue. It looks
// past a task that fits nowhere: a smaller one behind it may fit.
func (p *Pool) dispatch(now time.Time) {
	if now.Before(p.frozen) || !p.anyRoom() {
		return
	}
	for _, r := range p.queue(now) {
		for i := range r.job.tasks {
			t := &r.job.tasks[i]
			if !r.job.startable(t) || p.present(t.ref) {
				continue
			}
			if m := p.pick(now, r.job, t); m != nil {
				p.start(now, m, r.job, t)
			}
		}
	}
}

// present reports whether a run of the task may be on some minion.
func (p *Pool) present(ref TaskRef) bool {
	for _, m := range p.ordered {
		if m.runs[ref] != nil {
			return true
		}
	}
	return false
}

func (p *Pool) anyRoom() bool {
	for _, m := range p.ordered {
		if m.CPU > m.usedCPU && m.listed && m.reachable {
			return true
		}
	}
	return false
}

// pick returns the minion for a task, or nil. The least room that remains is
// best, so that large tasks find room later; a slow minion, or one without the
// data nearby, is worse by as much as it would take longer.
func (p *Pool) pick(now time.Time, j *job, t *task) *minion {
	var best *minion
	var bestScore int64
	for _, m := range p.ordered {
		if m.Service != j.offer.Service || !m.couldRun(t.step) || !m.hasRoom(t.step) || !p.mayStart(now, m, t) {
			continue
		}
		if t.step.MaxPerMinion > 0 && m.runsOf(t.ref) >= t.step.MaxPerMinion {
			continue
		}
		score := m.CPU - m.usedCPU - t.step.CPU + int64(slowPenalty*(m.health.speed()-1))
		if t.step.Rack != "" && !slices.Contains(m.Labels, t.step.Rack) {
			score += farPenalty
		}
		if m.ID == t.lastOn && t.nextRun > 1 {
			score += lastPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// mayStart reports whether the minion takes this task now. An ejected one gets a
// single task at a time, and none that has failed before.
func (p *Pool) mayStart(now time.Time, m *minion, t *task) bool {
	if !m.listed || !m.reachable || m.Draining || m.Gone || m.replaced || m.clock == 0 || m.dirty() {
		return false
	}
	if !m.health.ejected {
		return true
	}
	return len(m.runs) == 0 && !now.Before(m.health.probeAt) && t.failures == 0 && t.moves == 0
}

// runsOf counts the runs of the task's step on the minion.
func (m *minion) runsOf(ref TaskRef) int {
	n := 0
	for other := range m.runs {
		if other.Job == ref.Job && other.Step == ref.Step {
			n++
		}
	}
	return n
}

func (p *Pool) start(now time.Time, m *minion, j *job, t *task) {
	x := &run{
		task: t.ref, number: t.nextRun, owner: j, step: t.step, token: m.token, sentAt: now,
		expected: time.Duration(float64(j.expected(t.step)) * m.health.speed()),
	}
	m.runs[t.ref] = x
	m.account(x)
	t.run, t.state, t.lastOn = x, taskPlaced, m.ID
	t.nextRun++
	j.touched = true
	p.cfg.Note(event.PoolTaskStarted, slog.String("job", j.id), slog.Int("task", t.ref.Index), slog.Int("run", x.number), slog.String("minion", m.ID),
		slog.Uint64("token", m.token), slog.Int64("age_ms", now.Sub(j.arrived).Milliseconds()), slog.Int64("used_cpu", m.usedCPU))
	p.ready.Starts = append(p.ready.Starts, Start{
		Minion: m.ID, Address: m.Address, Task: t.ref, Run: x.number, Payload: j.offer.Payload,
		Token: m.token, UntilMS: m.until(now, p.cfg.Timing.Lease),
	})
}

// Started takes the answer to a Start; clock is the minion's, in milliseconds,
// or 0.
func (p *Pool) Started(now time.Time, s Start, a Answer, clock int64) {
	m := p.minions[s.Minion]
	if m == nil {
		return
	}
	if clock > 0 {
		m.tick(now, clock)
	}
	x := m.runs[s.Task]
	if x == nil || x.number != s.Run {
		return // a listing has told before
	}
	switch a {
	case AnswerOK:
		p.answered(now.Sub(x.sentAt))
		if !x.started {
			x.started, x.ackAt, x.ackClock, x.movedAt = true, now, clock, now
		}
		return
	case AnswerUnknown:
		// Only a listing under a newer token tells whether it was carried out.
		p.cfg.Note(event.PoolStartUnknown, slog.String("minion", m.ID), slog.String("job", s.Task.Job), slog.Int("run", s.Run))
		if !x.started {
			p.renew(now, m)
		}
		return
	case AnswerFenced:
		if s.Token == m.token {
			p.depose(m)
		}
	case AnswerOtherProcess:
		p.processEnded(now, m)
		return
	case AnswerBusy, AnswerUnsent:
		m.health.failed(now)
	}
	if a != AnswerFenced && a != AnswerOld {
		p.cfg.Note(event.PoolStartRefused, slog.String("minion", m.ID), slog.String("job", s.Task.Job), slog.Int("answer", int(a)))
	}
	p.endRun(now, m, x, EndStopped)
	p.dispatch(now)
}
