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
	if now.Before(p.noStartsUntil) || p.evacuation.blocksStarts(now) {
		return
	}
	p.heldBack = 0
	free := p.largestFreeCPU()
	if free <= 0 {
		return
	}
	for _, r := range p.waitingJobs(now) {
		if p.dispatchJob(now, r.job, free) {
			free = p.largestFreeCPU()
		}
	}
}

// dispatchJob starts the tasks of a job that can be started. It reports whether it has
// started any. free is the result of largestFreeCPU. While jobs queue up, most tasks fit
// on no minion; they are skipped without looking at each minion.
func (p *Pool) dispatchJob(now time.Time, j *job, free int64) (started bool) {
	var full *peer.TaskStep // a step for which there is no minion
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.step == full || t.step.CPU > free || !j.startable(t) {
			continue
		}
		m := p.pickMinion(now, j, t)
		if m == nil && t.nextRun == 1 {
			full = t.step // a task that has run before is accepted by no more minions
		}
		if m != nil && !p.mayBeRunning(t.ref) {
			p.start(now, m, j, t)
			started = true
		}
	}
	return started
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

// largestFreeCPU returns the largest free part, in thousandths of a processor, of a
// reachable, listed minion.
func (p *Pool) largestFreeCPU() int64 {
	var free int64
	for _, m := range p.ordered {
		if m.listed && m.reachable {
			free = max(free, m.CPU-m.usedCPU)
		}
	}
	return free
}

// pickMinion returns the minion for a task, or nil if none can start it now or a better
// one is about to be free. The highest step of the probability that the task ends in time
// wins, then the best fit: the minion with the least remaining capacity, so that large tasks
// still fit elsewhere later. With too few runs to know that probability, a slow minion gets
// a penalty in proportion to the additional run time. So does one without the data nearby.
// The minion of the task's previous run gets the largest fixed penalty.
func (p *Pool) pickMinion(now time.Time, j *job, t *task) *minion {
	var best *minion
	var bestScore int64
	bestStep, bestInterferes := 0, false
	kinds := false
	for _, m := range p.ordered {
		if m.Service != j.offer.Service || !m.hasCapacity(t.step) || !m.fitsWhenEmpty(t.step) || !p.acceptsStart(now, m, t) || !p.leaseFits(now, m, j) {
			continue
		}
		if t.step.MaxPerMinion > 0 && m.stepRuns(t.ref) >= t.step.MaxPerMinion {
			continue
		}
		if best == nil {
			kinds = p.fitKinds(now, j, t)
		}
		score, step := m.CPU-m.usedCPU-t.step.CPU+int64(slowdownPenalty*(m.health.slowdown()-1))+m.cold.penalty(), 0
		if kinds && m.speed != nil {
			step = m.speed.step
		}
		if m.cold.active {
			step = 0
		}
		if t.step.Rack != "" && !slices.Contains(m.Labels, t.step.Rack) {
			score += remoteDataPenalty
		}
		if m.ID == t.lastMinion && t.nextRun > 1 {
			score += retryPenalty
			step = -1
		}
		interferes := p.interferes(m, j.offer.Queue)
		if best == nil || step > bestStep || step == bestStep && (!interferes && bestInterferes || interferes == bestInterferes && score < bestScore) {
			best, bestScore, bestStep, bestInterferes = m, score, step, interferes
		}
	}
	if best != nil && kinds && best.speed != nil && p.betterSoon(now, j, t, best) {
		p.heldBack++
		return nil
	}
	return best
}

// acceptsStart reports whether the task may be started on the minion now. An ejected
// minion gets a single task at a time as a probe, and none that has failed or been
// moved before.
func (p *Pool) acceptsStart(now time.Time, m *minion, t *task) bool {
	if !m.listed || !m.reachable || m.Draining || m.Left || m.replaced || m.clock == 0 || m.blockedByOrphan() ||
		!m.runsKnown() || !m.capacityKnown() || !m.cold.takesRun(len(m.runs)) {
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
		task: t.ref, number: t.nextRun, job: j, step: t.step, token: m.token, incarnation: m.Incarnation, sentAt: now,
		expectedTime: p.expectedOn(m, j, t),
	}
	m.runs[t.ref] = x
	m.reserve(x)
	p.joinNeighbours(now, m, x)
	t.run, t.state, t.lastMinion = x, taskPlaced, m.ID
	t.nextRun++
	j.mayHaveStarted, j.startedHere = true, true
	j.possibleStarts++
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
	if a.isDisproof() {
		p.startDisproved(x)
	}
	p.endRun(now, m, x, EndStopped)
	p.dispatch(now)
}
