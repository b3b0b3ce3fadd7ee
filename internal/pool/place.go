package pool

import (
	"log/slog"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// Penalties, in thousandths of a processor, that are added to a minion's free
// capacity when the best fit is chosen.
const (
	slowdownPenalty   = 40_000              // for each expected run time by which the minion prolongs a run
	remoteDataPenalty = 2 * slowdownPenalty // not near the data: a task takes three times as long there
	retryPenalty      = 4 * slowdownPenalty // the task's previous run was on this minion: others are preferred
)

// acceptsWork reports whether the minion counts as capacity for new runs. An ejected
// minion does not, though it may get a probe.
func (m *minion) acceptsWork() bool {
	return m.listed && m.reachable && !m.Draining && !m.Left && !m.replaced && m.clock > 0 && !m.health.ejected && m.capacityKnown()
}

// fitsWhenEmpty reports whether the minion, without any runs, can run a task of the
// step.
func (m *minion) fitsWhenEmpty(s *peer.TaskStep) bool {
	return s.CPU <= m.CPU && s.MemoryMB <= m.MemoryMB && s.Accelerators <= m.Accelerators &&
		(s.Label == "" || slices.Contains(m.Labels, s.Label))
}

// hasCapacity reports whether the minion has enough free capacity for one more task
// of the step.
func (m *minion) hasCapacity(s *peer.TaskStep) bool {
	return m.usedCPU+s.CPU <= m.CPU && m.usedMem+s.MemoryMB <= m.MemoryMB && m.usedAcc+s.Accelerators <= m.Accelerators
}

// dispatch starts every task that can be started, in the order of service. It does
// not stop at a task that fits nowhere: a smaller one behind it may fit.
func (p *Pool) dispatch(now time.Time) {
	if now.Before(p.noStartsUntil) || !p.anyFreeCPU() {
		return
	}
	for _, r := range p.waitingJobs(now) {
		for i := range r.job.tasks {
			t := &r.job.tasks[i]
			if !r.job.startable(t) || p.mayBeRunning(t.ref) {
				continue
			}
			if m := p.pickMinion(now, r.job, t); m != nil {
				p.start(now, m, r.job, t)
			}
		}
	}
}

// mayBeRunning reports whether any minion has, or may have, a run of the task.
func (p *Pool) mayBeRunning(ref TaskRef) bool {
	for _, m := range p.ordered {
		if m.runs[ref] != nil {
			return true
		}
	}
	return false
}

// anyFreeCPU reports whether a reachable, listed minion has any free processors.
func (p *Pool) anyFreeCPU() bool {
	for _, m := range p.ordered {
		if m.CPU > m.usedCPU && m.listed && m.reachable {
			return true
		}
	}
	return false
}

// pickMinion returns the minion for a task, or nil if none can start it now. The best
// fit wins: the minion with the least remaining capacity, so that large tasks still
// fit elsewhere later. A slow minion, or one without the data nearby, gets a penalty
// in proportion to the additional run time. The minion of the task's previous run gets
// the largest fixed penalty.
func (p *Pool) pickMinion(now time.Time, j *job, t *task) *minion {
	var best *minion
	var bestScore int64
	for _, m := range p.ordered {
		if m.Service != j.offer.Service || !m.fitsWhenEmpty(t.step) || !m.hasCapacity(t.step) || !p.acceptsStart(now, m, t) || !p.leaseFits(now, m, j) {
			continue
		}
		if t.step.MaxPerMinion > 0 && m.stepRuns(t.ref) >= t.step.MaxPerMinion {
			continue
		}
		score := m.CPU - m.usedCPU - t.step.CPU + int64(slowdownPenalty*(m.health.slowdown()-1))
		if t.step.Rack != "" && !slices.Contains(m.Labels, t.step.Rack) {
			score += remoteDataPenalty
		}
		if m.ID == t.lastMinion && t.nextRun > 1 {
			score += retryPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// acceptsStart reports whether the task may be started on the minion now. An ejected
// minion gets a single task at a time as a probe, and none that has failed or been
// moved before.
func (p *Pool) acceptsStart(now time.Time, m *minion, t *task) bool {
	if !m.listed || !m.reachable || m.Draining || m.Left || m.replaced || m.clock == 0 || m.blockedByOrphan() ||
		!m.runsKnown() || !m.capacityKnown() {
		return false
	}
	if !m.health.ejected {
		return true
	}
	return len(m.runs) == 0 && !now.Before(m.health.probeAt) && t.failures == 0 && t.moves == 0
}

// stepRuns counts the minion's runs of the task's step.
func (m *minion) stepRuns(ref TaskRef) int {
	n := 0
	for other := range m.runs {
		if other.Job == ref.Job && other.Step == ref.Step {
			n++
		}
	}
	return n
}

// start orders the minion to run the task, and reserves the capacity for it.
func (p *Pool) start(now time.Time, m *minion, j *job, t *task) {
	x := &run{
		task: t.ref, number: t.nextRun, job: j, step: t.step, token: m.token, sentAt: now,
		expectedTime: time.Duration(float64(j.expected(t.step)) * m.health.slowdown()),
	}
	m.runs[t.ref] = x
	m.reserve(x)
	t.run, t.state, t.lastMinion = x, taskPlaced, m.ID
	t.nextRun++
	j.mayHaveStarted = true
	p.cfg.Log(event.PoolTaskStarted, slog.String("job", j.id), slog.Int("task", t.ref.Index), slog.Int("run", x.number), slog.String("minion", m.ID),
		slog.Uint64("token", m.token), slog.Uint64("listed_token", m.listedToken), slog.Int64("age_ms", now.Sub(j.arrived).Milliseconds()),
		slog.Int64("used_cpu", m.usedCPU), slog.Int64("cpu", m.CPU), slog.Int64("born", m.Incarnation), slog.Int64("record_born", m.recordIncarnation))
	p.ready.Starts = append(p.ready.Starts, Start{
		Minion: m.ID, Address: m.Address, Task: t.ref, Run: x.number, Payload: j.offer.Payload,
		Token: m.token, LeaseEndMS: m.leaseEnd(now, p.leasePeriod(now, m)), Incarnation: m.Incarnation,
	})
}

// HandleStartAnswer handles the answer to a Start. clock is the reading of the minion's
// clock in the answer, in milliseconds; 0: none.
func (p *Pool) HandleStartAnswer(now time.Time, s Start, a Answer, clock int64) {
	m := p.minions[s.Minion]
	if m == nil || s.Incarnation != m.Incarnation {
		return // either incarnation may have answered; listings under the token since then show what runs
	}
	if clock > 0 {
		m.observeClock(now, clock)
	}
	x := m.runs[s.Task]
	if x == nil || x.number != s.Run {
		return // a listing has already shown that the run ended or was replaced
	}
	switch a {
	case AnswerOK:
		p.observeStartLatency(now.Sub(x.sentAt))
		if !x.started {
			x.started, x.ackAt, x.ackClock, x.progressAt = true, now, clock, now
		}
		return
	case AnswerUnknown:
		// Only a listing under a newer token shows whether the start was carried
		// out.
		p.cfg.Log(event.PoolStartUnknown, slog.String("minion", m.ID), slog.String("job", s.Task.Job), slog.Int("run", s.Run))
		if !x.started {
			p.raiseToken(now, m)
		}
		return
	case AnswerFenced:
		if s.Token == m.token {
			p.tokenSuperseded(m)
		}
	case AnswerOtherProcess:
		p.incarnationEnded(now, m)
		return
	case AnswerBusy, AnswerUnsent:
		m.health.eject(now)
	}
	if a != AnswerFenced && a != AnswerStaleRun {
		p.cfg.Log(event.PoolStartRefused, slog.String("minion", m.ID), slog.String("job", s.Task.Job), slog.Int("answer", int(a)))
	}
	p.endRun(now, m, x, EndStopped)
	p.dispatch(now)
}
