package pool

import (
	"log/slog"
	"math"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
)

const (
	firstProbe = 150 * time.Millisecond // pause before the first probe of an ejected minion, doubled each time
	maxProbe   = 3 * time.Second
	speedRate  = 0.05 // weight of a new run in a minion's speed
	// stall is how long a run may show no progress before it counts as stuck.
	stall = 150 * time.Millisecond
	// slowFactor is how much longer than expected a run must be going to take
	// before it is moved; declared times are off by a factor of 1.5 either way.
	slowFactor = 2.5
	// moveCost is the time that stopping a run and starting it again takes.
	moveCost = 60 * time.Millisecond
)

// health is what was seen of a minion's work.
type health struct {
	ejected  bool // gets single tasks as probes
	probes   int
	probeAt  time.Time
	logSpeed float64 // mean logarithm of run times over the expected ones
}

// speed returns the minion's run times over the usual ones.
func (h *health) speed() float64 { return math.Exp(h.logSpeed) }

func (h *health) failed(now time.Time) {
	pause := min(firstProbe<<min(h.probes, 8), maxProbe)
	h.ejected = true
	h.probes++
	h.probeAt = now.Add(pause)
}

// judge learns from the end of a run.
func (p *Pool) judge(now time.Time, m *minion, x *run, how End) {
	switch how {
	case EndDone:
		if m.health.ejected {
			p.cfg.Note(event.MinionRestored, slog.String("minion", m.ID))
		}
		m.health.ejected, m.health.probes = false, 0
		if x.owner == nil || x.step == nil || !x.started || x.expected <= 0 {
			return
		}
		took := now.Sub(x.ackAt)
		if t := x.owner.task(x.task); t != nil {
			t.took = took
		}
		speed := m.health.speed()
		x.owner.kind.observe(took, speed, x.step.EstimateMS)
		usual := float64(x.owner.expected(x.step))
		m.health.logSpeed += speedRate * (math.Log(math.Max(1, float64(took))/math.Max(1, usual)) - m.health.logSpeed)
	case EndFailed:
		m.health.failed(now)
		p.cfg.Note(event.MinionEjected, slog.String("minion", m.ID), slog.String("reason", "a run failed"), slog.String("job", x.task.Job))
	}
}

// checkProgress stops a run that is stuck, or so slow that it would end sooner
// elsewhere.
func (p *Pool) checkProgress(now time.Time, m *minion, x *run) {
	if x.owner == nil || !x.started || x.stopping || x.seenAt.IsZero() {
		return
	}
	stuck := x.seenAt.Sub(x.movedAt) >= max(stall, x.expected/8)
	if !stuck && !p.slower(now, m, x) {
		return
	}
	t := x.owner.task(x.task)
	if t == nil || t.run != x {
		return
	}
	if !stuck && (t.moves > 0 || !p.roomElsewhere(m, x)) {
		return
	}
	t.moves++
	m.health.failed(now)
	p.cfg.Note(event.PoolRunMoved, slog.String("minion", m.ID), slog.String("job", x.task.Job), slog.Bool("stuck", stuck),
		slog.Float64("percent", x.percent), slog.Int64("ran_ms", now.Sub(x.ackAt).Milliseconds()), slog.Int64("expected_ms", x.expected.Milliseconds()))
	x.moving = true
	p.stop(now, m, x)
}

// slower reports whether the run, at its rate of progress, ends later than a
// new one elsewhere would. What is usual for the job is told by its other tasks
// too: when all of them take long, the declared time was wrong.
func (p *Pool) slower(now time.Time, m *minion, x *run) bool {
	elapsed := now.Sub(x.ackAt)
	if x.percent <= 0 || elapsed < stall {
		return false
	}
	left := x.left(now)
	usual, siblings := x.owner.projected(m)
	if siblings == 0 && !p.slowHere(m, x) {
		return false
	}
	usual = max(usual, x.owner.expected(x.step))
	return float64(elapsed+left) > slowFactor*float64(usual) && left > 3*(usual+moveCost)/2
}

// projected returns the longest time that the job's tasks on other minions
// took, or will take at their rates, and how many there are.
func (j *job) projected(not *minion) (longest time.Duration, n int) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.lastOn == not.ID {
			continue
		}
		switch {
		case t.state == taskDone:
			longest = max(longest, t.took)
			n++
		case t.run != nil && t.run.percent > 0:
			longest = max(longest, time.Duration(float64(t.run.seenAt.Sub(t.run.ackAt))*100/t.run.percent))
			n++
		}
	}
	return longest, n
}

// slowHere reports whether the minion's other runs, of other jobs, are as late.
func (p *Pool) slowHere(m *minion, x *run) bool {
	if m.health.speed() > slowFactor/2 {
		return true
	}
	for _, o := range m.runs {
		if o.owner == nil || o.owner == x.owner || o.percent <= 0 {
			continue
		}
		if total := float64(o.seenAt.Sub(o.ackAt)) * 100 / o.percent; total > slowFactor*float64(o.owner.expected(o.step)) {
			return true
		}
	}
	return false
}

func (p *Pool) roomElsewhere(m *minion, x *run) bool {
	for _, o := range p.ordered {
		if o != m && o.Service == m.Service && o.takesWork() && o.couldRun(x.step) && o.hasRoom(x.step) {
			return true
		}
	}
	return false
}
