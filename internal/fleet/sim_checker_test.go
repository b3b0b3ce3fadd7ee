package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
)

const (
	simDrainLimit   = 2 * time.Second // requirement: no task starts on a minion this long after its draining was acknowledged
	simCancelLimit  = 3 * time.Second // requirement: no task of a job starts or still runs this long after its caller finished or left
	simContactLimit = 3 * time.Second // requirement: the limits above apply to starts after this time without faults
)

// simChecker checks the guarantees to callers and minions against what the simulated
// callers and minions see.
type simChecker struct {
	sim                 *simulation
	running             map[simTask]*simMinion
	done                map[simTask]bool
	starts              map[string]int // by job
	startsIn            map[string]int // by failure domain
	violations          []string
	answeredAfterFaults [2]int // number of jobs submitted well after the last fault: [0] those answered as complete, [1] all
}

func (chk *simChecker) reportViolation(format string, args ...any) {
	text := fmt.Sprintf("at %v: ", chk.sim.now) + fmt.Sprintf(format, args...)
	chk.sim.trace("violation: %s", text)
	chk.violations = append(chk.violations, text)
}

// callerOf returns the caller of a job, or nil.
func (chk *simChecker) callerOf(job string) *simCaller {
	for _, c := range chk.sim.callers {
		if c.offer.Job == job {
			return c
		}
	}
	return nil
}

// startReceived checks a start order against the jobs that callers submitted. It
// returns the job's caller, or nil if nobody submitted the job.
func (chk *simChecker) startReceived(m *simMinion, s *pool.Start) *simCaller {
	chk.sim.trace("%s starts %v run %d token %d", m, s.Task, s.Run, s.Token)
	c := chk.callerOf(s.Task.Job)
	if c == nil || s.Payload != c.offer.Payload {
		chk.reportViolation("%s gets a start of %v, which no caller submitted", m, s.Task)
		return nil
	}
	chk.starts[s.Task.Job]++
	chk.startsIn[m.domain]++
	if c.started == nil {
		c.started = make(map[simTask]bool)
	}
	if c.started[s.Task] {
		c.again++
	}
	c.started[s.Task] = true
	if c.finished && c.refusals == c.tries {
		chk.reportViolation("%s starts %v of a job that was refused as not started", m, s.Task)
	}
	if c.finished && chk.sim.now-c.finishedAt > simCancelLimit && chk.sim.faultFreeFor(simContactLimit) {
		chk.reportViolation("%s starts %v, %v after its caller finished", m, s.Task, chk.sim.now-c.finishedAt)
	}
	if m.drainAckAt > 0 && chk.sim.now-m.drainAckAt > simDrainLimit && chk.sim.faultFreeFor(simContactLimit) {
		chk.reportViolation("%s starts %v, %v after its draining was acknowledged", m, s.Task, chk.sim.now-m.drainAckAt)
	}
	if at := chk.sim.evacuatedAt[m.domain]; at > 0 && chk.sim.now-at > simEvacuationLimit && chk.sim.faultFreeFor(simEvacuationLimit) {
		chk.reportViolation("%s starts %v, %v after the evacuation of %s was acknowledged", m, s.Task, chk.sim.now-at, m.domain)
	}
	return c
}

// runStarted checks a new run against the minion's other runs, the runs of other
// minions and the steps that must have ended before.
func (chk *simChecker) runStarted(m *simMinion, x *simRun) {
	if other := chk.running[x.task]; other != nil {
		chk.reportViolation("%s starts %v, which already runs on %s", m, x.task, other)
	}
	chk.running[x.task] = m
	var cpu int64
	same := 0
	for _, r := range m.running {
		cpu += r.step.CPU
		if r.task.Job == x.task.Job && r.task.Step == x.task.Step {
			same++
		}
	}
	if cpu > m.cpu {
		chk.reportViolation("%s runs tasks of %d thousandths of a processor in total and has %d", m, cpu, m.cpu)
	}
	if x.step.MaxPerMinion > 0 && same > x.step.MaxPerMinion {
		chk.reportViolation("%s runs %d tasks of step %d of %s", m, same, x.task.Step, x.task.Job)
	}
	if x.step.Label != "" && x.step.Label != "r-"+m.id {
		chk.reportViolation("%s runs %v without having its label", m, x.task)
	}
	c := chk.callerOf(x.task.Job)
	for _, a := range x.step.After {
		for i := range c.offer.Steps[a].Count {
			if !chk.done[simTask{Job: x.task.Job, Step: a, Index: i}] {
				chk.reportViolation("%s runs %v before step %d has ended", m, x.task, a)
			}
		}
	}
}

// callerLeft checks that no task of a caller's job runs any more, some time after the
// caller left.
func (chk *simChecker) callerLeft(c *simCaller) {
	if !chk.sim.faultFreeFor(2 * simCancelLimit) {
		return
	}
	for s := range c.offer.Steps {
		for i := range c.offer.Steps[s].Count {
			if m := chk.running[simTask{Job: c.offer.Job, Step: s, Index: i}]; m != nil && !m.mayMissOrders() {
				chk.reportViolation("%s runs a task of %s, whose caller left at %v", m, c.offer.Job, c.finishedAt)
			}
		}
	}
}

// runEnded records that a run has ended.
func (chk *simChecker) runEnded(m *simMinion, x *simRun) {
	if chk.running[x.task] == m {
		delete(chk.running, x.task)
	}
}

// jobCompleted checks that all tasks of a job that is answered as complete are done.
func (chk *simChecker) jobCompleted(c *simCaller) {
	for s := range c.offer.Steps {
		for i := range c.offer.Steps[s].Count {
			if !chk.done[simTask{Job: c.offer.Job, Step: s, Index: i}] {
				chk.reportViolation("%s is answered as complete without task %d of step %d", c.offer.Job, i, s)
			}
		}
	}
}

// closeJob does the last checks of a job and drops its records. It always returns true,
// so that collectAnswers can use it as the last condition for dropping the caller.
func (chk *simChecker) closeJob(c *simCaller) bool {
	if c.refusals == c.tries && chk.starts[c.offer.Job] > 0 {
		chk.reportViolation("%s was refused at each try, but started", c.offer.Job)
	}
	chk.countAnswer(c)
	delete(chk.starts, c.offer.Job)
	for s := range c.offer.Steps {
		for i := range c.offer.Steps[s].Count {
			delete(chk.done, simTask{Job: c.offer.Job, Step: s, Index: i})
		}
	}
	return true
}

// countAnswer counts the outcomes of jobs that were submitted well after the last
// fault.
func (chk *simChecker) countAnswer(c *simCaller) {
	if c.began < chk.sim.faultsEnd()+chk.sim.config.recoveryPeriod/2 {
		return
	}
	chk.answeredAfterFaults[1]++
	if c.outcome == peer.JobComplete || c.outcome == 0 && c.tries == 1 {
		chk.answeredAfterFaults[0]++ // a caller that left early counts as answered
	}
}

// finish does the last checks of all jobs and returns the violations.
func (chk *simChecker) finish() []string {
	for _, c := range chk.sim.callers {
		if !c.finished {
			chk.reportViolation("%s has no answer after %d tries", c.offer.Job, c.tries)
		}
		chk.closeJob(c)
	}
	if 10*chk.answeredAfterFaults[0] < 9*chk.answeredAfterFaults[1] {
		chk.reportViolation("after the faults only %d of %d jobs are answered as complete", chk.answeredAfterFaults[0], chk.answeredAfterFaults[1])
	}
	return chk.violations
}

func sortRuns(runs []*simRun) {
	slices.SortFunc(runs, func(a, b *simRun) int {
		return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Step, b.task.Step), cmp.Compare(a.task.Index, b.task.Index))
	})
}
