package pool

import (
	"log/slog"
	"math"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
)

const (
	firstProbeDelay = 150 * time.Millisecond // before the first probe of an ejected minion; doubled with each further failure
	maxProbeDelay   = 3 * time.Second
	slowdownWeight  = 0.05 // weight of a new run in the minion's slowdown
	// stallTimeout is the shortest time without progress after which a run counts
	// as stuck.
	stallTimeout = 150 * time.Millisecond
	// slowFactor is the ratio of a run's projected to its expected run time above
	// which the run is moved. Declared run times are off by a factor of 1.5 in
	// either direction.
	slowFactor = 2.5
	// restartCost is the time that it takes to stop a run and start it elsewhere.
	restartCost = 60 * time.Millisecond
)

// health holds what the outcomes of a minion's runs and starts show about it.
type health struct {
	ejected         bool      // gets only single tasks, as probes
	failures        int       // ejections since the last successful run
	probeAt         time.Time // no probe before this time
	meanLogSlowdown float64   // mean logarithm of the ratio of actual run times to those expected on minions of its kind
}

// slowdown returns the ratio of the minion's run times to those expected on minions of its
// kind.
func (h *health) slowdown() float64 { return math.Exp(h.meanLogSlowdown) }

// eject excludes the minion from normal placement until a probe succeeds.
func (h *health) eject(now time.Time) {
	pause := min(firstProbeDelay<<min(h.failures, 8), maxProbeDelay)
	h.ejected = true
	h.failures++
	h.probeAt = now.Add(pause)
}

// learnFromEnd updates the minion's health and the queue's run times after a run has
// ended.
func (p *Pool) learnFromEnd(now time.Time, m *minion, x *run, how End) {
	switch how {
	case EndDone:
		if m.health.ejected {
			p.cfg.Log(event.MinionRestored, slog.String("minion", m.ID))
		}
		m.health.ejected, m.health.failures = false, 0
		if x.job == nil || x.step == nil || !x.started || x.expectedTime <= 0 || m.cold.slowed(x) {
			return
		}
		took := now.Sub(x.ackAt)
		if t := x.job.task(x.task); t != nil {
			t.runTime = took
		}
		p.learnRunTime(now, m, x, took)
	case EndFailed:
		m.health.eject(now)
		p.cfg.Log(event.MinionEjected, slog.String("minion", m.ID), slog.String("reason", "a run failed"), slog.String("job", x.task.Job))
	}
}

// learnRunTime adds a successful run to the run times of its queue, its minion and its
// minion's kind.
func (p *Pool) learnRunTime(now time.Time, m *minion, x *run, took time.Duration) {
	j := x.job
	kind := p.speeds.logSlowdownOf(m.speed, j.stats)
	ratio := math.Log(math.Max(1, float64(took)) / math.Max(1, float64(j.expected(x.step))))
	rest := ratio - kind - m.health.meanLogSlowdown
	j.stats.observeRun(took, math.Exp(kind+m.health.meanLogSlowdown), x.step.EstimateMS)
	j.stats.spread.observe(rest, j.logRatio.mean, j.logRatio.runs)
	j.logRatio.observe(rest)
	p.speeds.observe(m.speed, j.stats, ratio-m.health.meanLogSlowdown)
	p.logSpeed(m.speed, j)
	m.health.meanLogSlowdown += slowdownWeight * rest
	p.learnInterference(now, m, x, rest)
}

// checkProgress stops a run, to start it elsewhere, if it makes no progress or if it
// is so slow that a new run elsewhere would end sooner.
func (p *Pool) checkProgress(now time.Time, m *minion, x *run) {
	if x.job == nil || !x.started || x.stopping || x.listedAt.IsZero() {
		return
	}
	stuck := x.listedAt.Sub(x.progressAt) >= max(stallTimeout, x.expectedTime/8)
	if !stuck && !p.endsSoonerElsewhere(now, m, x) {
		return
	}
	t := x.job.task(x.task)
	if t == nil || t.run != x {
		return
	}
	if !stuck && (t.moves > 0 || m.cold.active || !p.fitsElsewhere(m, x)) {
		return
	}
	t.moves++
	m.health.eject(now)
	p.cfg.Log(event.PoolRunMoved, slog.String("minion", m.ID), slog.String("job", x.task.Job), slog.Bool("stuck", stuck),
		slog.Float64("percent", x.percent), slog.Int64("ran_ms", now.Sub(x.ackAt).Milliseconds()), slog.Int64("expected_ms", x.expectedTime.Milliseconds()))
	x.moving = true
	p.stop(now, m, x)
}

// endsSoonerElsewhere reports whether a new run on another minion would end sooner
// than this run at its current rate of progress. The expected run time also
// reflects the job's other tasks: if all of them are slow, the declared run time was
// wrong and the minion is not slow.
func (p *Pool) endsSoonerElsewhere(now time.Time, m *minion, x *run) bool {
	elapsed := now.Sub(x.ackAt)
	if x.percent <= 0 || elapsed < stallTimeout {
		return false
	}
	remaining := x.remaining(now)
	elsewhere, siblings := x.job.projectedRunTime(m)
	if siblings == 0 && !p.minionIsSlow(m, x) {
		return false
	}
	elsewhere = max(elsewhere, x.job.expected(x.step))
	return float64(elapsed+remaining) > slowFactor*float64(elsewhere) && remaining > 3*(elsewhere+restartCost)/2
}

// projectedRunTime returns the longest run time of the job's tasks on other minions,
// actual or projected from their progress, and the number of these tasks.
func (j *job) projectedRunTime(except *minion) (longest time.Duration, n int) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.lastMinion == except.ID {
			continue
		}
		switch {
		case t.state == taskDone:
			longest = max(longest, t.runTime)
			n++
		case t.run != nil && t.run.percent > 0:
			longest = max(longest, time.Duration(float64(t.run.listedAt.Sub(t.run.ackAt))*100/t.run.percent))
			n++
		}
	}
	return longest, n
}

// minionIsSlow reports whether the minion is slow in general, or a run of another job
// on it is projected to exceed its expected run time by slowFactor, too.
func (p *Pool) minionIsSlow(m *minion, x *run) bool {
	if math.Exp(p.logSlowdown(m, x.job.stats)) > slowFactor/2 {
		return true
	}
	for _, o := range m.runs {
		if o.job == nil || o.job == x.job || o.percent <= 0 {
			continue
		}
		if total := float64(o.listedAt.Sub(o.ackAt)) * 100 / o.percent; total > slowFactor*float64(o.job.expected(o.step)) {
			return true
		}
	}
	return false
}

// fitsElsewhere reports whether another minion that accepts work has capacity for the
// run's step.
func (p *Pool) fitsElsewhere(m *minion, x *run) bool {
	for _, o := range p.ordered {
		if o != m && o.Service == m.Service && o.acceptsWork() && o.fitsWhenEmpty(x.step) && o.hasCapacity(x.step) {
			return true
		}
	}
	return false
}
