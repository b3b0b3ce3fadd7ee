package pool

import (
	"math"
	"time"
)

// This file says how likely a task ends in time on a minion. The load that it answers has
// long tasks that are late on slow minions, beside short ones that are in time anywhere:
// with a fixed penalty for slowness, long tasks went to slow minions while short ones
// took the fast ones.

// fitSteps is the number of steps by which minions are compared. Minions of one step count
// as equally suitable: estimates are too inaccurate for finer ones.
const fitSteps = 3

// taskFit is what decides in how much time a task has to end.
type taskFit struct {
	left     time.Duration // until the task has to end so that its job is in time
	fixed    time.Duration // part of left that does not grow with the job's work
	expected time.Duration // run time on an average minion
	between  float64       // deviations of spread
	within   float64
	tasks    int // tasks of the step that are not done, each of which has to be in time
}

// fitOf returns the fit of the tasks of a job's step.
func (j *job) fitOf(now time.Time, t *task) taskFit {
	f := taskFit{expected: j.expected(t.step)}
	f.between, f.within = j.stats.spread.deviations()
	f.left = j.objective.Sub(now) - resultDelay - j.timeAfter(t.ref.Step)
	f.fixed = time.Duration(j.offer.AddMS)*time.Millisecond - now.Sub(j.arrived) - resultDelay
	for i := range j.tasks {
		if j.tasks[i].ref.Step == t.ref.Step && j.tasks[i].state != taskDone {
			f.tasks++
		}
	}
	return f
}

// timeAfter returns the expected time of the longest chain of steps that wait for a step.
func (j *job) timeAfter(step int) time.Duration {
	var longest time.Duration
	for i := step + 1; i < len(j.offer.Steps); i++ {
		for _, a := range j.offer.Steps[i].After {
			if a == step {
				longest = max(longest, j.expected(&j.offer.Steps[i])+j.timeAfter(i))
			}
		}
	}
	return longest
}

// probability returns the probability that all tasks of the step end in time if they start
// after wait on minions with the given logarithm of the slowdown. The job's work is
// uncertain; where it is more than expected, so is the part of left that grows with it.
func (f *taskFit) probability(logSlowdown float64, wait time.Duration) float64 {
	left := f.left - wait
	if left <= 0 || f.expected <= 0 {
		return 0
	}
	share := float64(f.fixed-wait) / float64(left)
	deviation := math.Hypot(f.within, share*f.between)
	z := (math.Log(float64(left)/float64(f.expected)) - logSlowdown) / deviation
	return math.Pow(math.Erfc(-z/math.Sqrt2)/2, float64(f.tasks))
}

// step returns the step of a probability.
func fitStep(probability float64) int { return int(math.Round(probability * fitSteps)) }

// fitKinds sets the steps of all kinds of minions for a task. It reports whether they are
// known and differ.
func (p *Pool) fitKinds(now time.Time, j *job, t *task) bool {
	if len(p.speeds.kinds) < 2 || !j.stats.spread.known() {
		return false
	}
	f := j.fitOf(now, t)
	differ := false
	for _, k := range p.speeds.kinds {
		k.logSlowdown = p.speeds.logSlowdownOf(k, j.stats)
		k.step = fitStep(f.probability(k.logSlowdown, 0))
		differ = differ || k.logSlowdown != p.speeds.kinds[0].logSlowdown
	}
	return differ
}

// betterSoon reports whether a task should wait for a run to end instead of starting on
// best: it would probably be late there and in time where the run ends, and it would also
// end sooner. fitKinds has been called for the task.
func (p *Pool) betterSoon(now time.Time, j *job, t *task, best *minion) bool {
	if t.nextRun > 1 || best.speed.step == fitSteps {
		return false
	}
	f := j.fitOf(now, t)
	end := p.expectedOn(best, j, t)
	for _, m := range p.ordered {
		if m.speed == nil || m.speed.step <= best.speed.step || m.Service != best.Service || !m.acceptsWork() || !m.fitsWhenEmpty(t.step) {
			continue
		}
		wait := m.freeAfter(now, t.step.CPU)
		if wait+p.expectedOn(m, j, t) < end && fitStep(f.probability(m.speed.logSlowdown, wait)) > best.speed.step {
			return true
		}
	}
	return false
}

// HeldBack returns the number of jobs' steps that waited, when tasks were last started, for a
// faster minion than the best free one.
func (p *Pool) HeldBack() int { return p.heldBack }

// expectedOn returns the expected run time of the task on the minion.
func (p *Pool) expectedOn(m *minion, j *job, t *task) time.Duration {
	return time.Duration(float64(j.expected(t.step)) * math.Exp(p.logSlowdown(m, j.stats)))
}

// freeAfter returns the expected time until the end of a run leaves cpu free on the minion.
func (m *minion) freeAfter(now time.Time, cpu int64) time.Duration {
	shortest := time.Duration(math.MaxInt64 / 4)
	for _, x := range m.runs {
		if x.step != nil && m.CPU-m.usedCPU+x.step.CPU >= cpu {
			shortest = min(shortest, x.remaining(now))
		}
	}
	return shortest
}
