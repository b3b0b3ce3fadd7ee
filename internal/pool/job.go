package pool

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// taskState is the state of a task in its job.
type taskState uint8

const (
	taskWaiting   taskState = iota // not started, or to be started again
	taskUncertain                  // may be running under an earlier owner
	taskPlaced                     // has a run on a minion, confirmed or not
	taskDone                       // has ended successfully
)

// task is the state of one task of a job.
type task struct {
	ref        TaskRef
	step       *peer.TaskStep
	state      taskState
	nextRun    int // number of the next start
	failures   int // failed runs
	moves      int // restarts because of a slow or stuck run
	run        *run
	lastMinion string        // ID of the minion of the last run
	runTime    time.Duration // of the successful run
}

// job is a job that this pool has admitted.
type job struct {
	id                string
	offer             *peer.JobOffer
	stats             *queueStats // of the job's queue
	waiters           []OfferRef  // offers to send the result to
	tasks             []task
	openTasks         int       // tasks that are not done
	mayHaveStarted    bool      // a task may have been started, here or by an earlier owner
	startedHere       bool      // a task may have been started here, or a run of an earlier owner was found
	possibleStarts    int       // starts sent here that may have been carried out
	foundRuns         bool      // a run of an earlier owner was found
	offeredAt         time.Time // when it was offered to this owner
	earlierOwnerUntil time.Time // until then an earlier owner may run tasks on minions not listed here
	arrived           time.Time // when the caller's request arrived at its entry host
	objective         time.Time // when its response-time objective ends
	unattainable      bool      // the objective leaves less time than the job takes without any delay
	deadline          time.Time // when the caller stops waiting
	totalWork         int64     // expected processor time of all tasks, in the unit of waitingWork
	runTimeFactor     float64   // ratio of expected to declared run times
	logRatio          logMean   // of actual to expected run times of its runs, on an average minion
}

// byArrival orders jobs by arrival, then by ID.
func byArrival(a, b *job) int {
	return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
}

// newJob returns a job with the offered tasks, all of them waiting, and counts it in
// its queue's averages, unless it can never run.
func (p *Pool) newJob(now time.Time, o *peer.JobOffer) *job {
	j := &job{
		id: o.Job, offer: o, stats: p.statsFor(o.Queue), mayHaveStarted: o.MayHaveRun || len(o.Done) > 0,
		offeredAt:         now,
		arrived:           now.Add(-time.Duration(o.AgeMS) * time.Millisecond),
		deadline:          now.Add(time.Duration(o.RemainingMS) * time.Millisecond),
		earlierOwnerUntil: now.Add(time.Duration(o.PriorRunsMS) * time.Millisecond),
	}
	for s := range o.Steps {
		for i := range o.Steps[s].Count {
			j.tasks = append(j.tasks, task{ref: TaskRef{o.Job, s, i}, step: &o.Steps[s], nextRun: 1})
		}
	}
	j.openTasks = len(j.tasks)
	j.runTimeFactor = j.stats.runTimeFactor(o.Steps)
	j.totalWork = j.waitingWork()
	j.objective = j.deadline // of a queue without an objective
	if objective := peer.Objective(j.criticalPath(), o.StretchPct, o.AddMS); objective > 0 {
		j.objective = j.arrived.Add(objective)
		j.unattainable = j.arrived.Add(j.criticalPath() + resultDelay).After(j.lateUntil())
	}
	if p.countsAsLoad(j) {
		j.stats.observeArrival(now, j.totalWork)
		p.learnTaskCPU(j)
	}
	return j
}

// expected returns the expected run time of a task of the step on a minion of average
// speed.
func (j *job) expected(s *peer.TaskStep) time.Duration {
	return time.Duration(min(float64(s.EstimateMS)*j.runTimeFactor, peer.MaxTimeMS) * float64(time.Millisecond))
}

// criticalPath returns the expected time of the longest chain of dependent steps.
func (j *job) criticalPath() time.Duration { return peer.CriticalPath(j.offer.Steps, j.expected) }

// remaining returns the expected time until the job's end if every task that can
// start starts now.
func (j *job) remaining(now time.Time) time.Duration {
	steps := j.offer.Steps
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i := range j.tasks {
		t := &j.tasks[i]
		var from time.Duration
		for _, a := range t.step.After {
			from = max(from, ends[a])
		}
		rest := time.Duration(0)
		switch {
		case t.state == taskDone:
		case t.run != nil:
			rest = t.run.remaining(now)
		default:
			rest = j.expected(t.step)
		}
		ends[t.ref.Step] = max(ends[t.ref.Step], from+rest)
		longest = max(longest, ends[t.ref.Step])
	}
	return longest
}

// waitingWork returns the expected processor time, in thousandths of a processor
// times milliseconds, of the waiting and uncertain tasks.
func (j *job) waitingWork() int64 {
	var sum int64
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskWaiting || t.state == taskUncertain {
			sum = peer.AddWork(sum, peer.Work(t.step.CPU, j.expected(t.step).Milliseconds()))
		}
	}
	return sum
}

// startable reports whether the task waits and all steps that its step depends on are
// done.
func (j *job) startable(t *task) bool {
	if t.state != taskWaiting {
		return false
	}
	for _, a := range t.step.After {
		for i := range j.tasks {
			if j.tasks[i].ref.Step == a && j.tasks[i].state != taskDone {
				return false
			}
		}
	}
	return true
}

// doneTasks returns the numbers, over all steps, of the tasks that are done.
func (j *job) doneTasks() []int {
	var out []int
	for i := range j.tasks {
		if j.tasks[i].state == taskDone {
			out = append(out, i)
		}
	}
	return out
}

// task returns the task with the given reference, or nil.
func (j *job) task(ref TaskRef) *task {
	for i := range j.tasks {
		if j.tasks[i].ref == ref {
			return &j.tasks[i]
		}
	}
	return nil
}

// adopt sets the initial states of the tasks of a job that an earlier owner may have
// run: done, running on a listed minion, uncertain, or waiting.
func (p *Pool) adopt(now time.Time, j *job) {
	for _, i := range j.offer.Done {
		if i >= 0 && i < len(j.tasks) {
			j.startedHere, j.foundRuns = true, true
			p.taskDone(j, &j.tasks[i])
		}
	}
	if !j.offer.MayHaveRun {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskDone || p.adoptRun(now, j, t) || p.adoptEarlyEnd(j, t) {
			continue
		}
		if !p.earlierRunKnown(now, j, i) {
			t.state = taskUncertain
		}
	}
	p.completeIfDone(now, j)
}

// adoptRun assigns a listed run of the task to the job, if that run belongs to no job
// yet and is not being stopped. It reports whether there is such a run.
func (p *Pool) adoptRun(now time.Time, j *job, t *task) bool {
	for _, m := range p.ordered {
		x := m.runs[t.ref]
		if x == nil || x.job != nil || x.stopping {
			continue
		}
		j.startedHere, j.foundRuns = true, true
		x.job, x.step, x.expectedTime = j, t.step, j.expected(t.step)
		t.run, t.state, t.nextRun, t.lastMinion = x, taskPlaced, x.number+1, m.ID
		m.reserve(x)
		p.checkCapacity(m)
		p.cfg.Log(event.PoolRunAdopted, slog.String("job", j.id), slog.Int("task", t.ref.Index), slog.Int("run", x.number), slog.String("minion", m.ID),
			slog.Uint64("token", m.token))
		return true
	}
	return false
}

// earlierRunsKnown reports whether every run of the job by an earlier owner is
// certainly known here: all of that owner's minions are known here and have been
// listed since the job was offered, or earlierOwnerUntil has passed. Until then the
// earlier owner may renew the leases of minions that this owner does not know or
// cannot reach. An older listing proves nothing: the earlier owner may have had a
// higher token meanwhile.
func (p *Pool) earlierRunsKnown(now time.Time, j *job) bool {
	return j.offer.MinionsDigest == p.minionDigest && p.allListedSince(j.offeredAt) || !now.Before(j.earlierOwnerUntil)
}

// allListedSince reports whether there are minions, and each has answered a poll that
// was sent at t or later with a listing under its present token.
func (p *Pool) allListedSince(t time.Time) bool {
	for _, m := range p.ordered {
		if !m.listedSince(t) {
			return false
		}
	}
	return len(p.ordered) > 0
}

// newestUncertainOffer returns when the newest job with uncertain tasks was offered;
// zero if there is none.
func (p *Pool) newestUncertainOffer() time.Time {
	var newest time.Time
	for _, j := range p.jobs {
		if j.offer.MayHaveRun && j.offeredAt.After(newest) && j.hasUncertainTasks() {
			newest = j.offeredAt
		}
	}
	return newest
}

// takeoverComplete reports whether every minion that can answer has been listed since
// the claim: all have been, or MaxLease has passed.
func (p *Pool) takeoverComplete(now time.Time) bool {
	return p.allListed() || now.Sub(p.claimedAt) > p.cfg.Timing.MaxLease
}

// hasUncertainTasks reports whether a task may still be running under an earlier
// owner.
func (j *job) hasUncertainTasks() bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.state == taskUncertain })
}

// allListed reports whether there are minions and all of them have been listed.
func (p *Pool) allListed() bool {
	for _, m := range p.ordered {
		if !m.listed {
			return false
		}
	}
	return len(p.ordered) > 0
}

// taskDone marks a task as done.
func (p *Pool) taskDone(j *job, t *task) {
	if t.state != taskDone {
		t.state, t.run = taskDone, nil
		j.openTasks--
	}
}

// completeIfDone ends the job as complete if all of its tasks are done.
func (p *Pool) completeIfDone(now time.Time, j *job) {
	if j.openTasks == 0 && p.jobs[j.id] == j {
		p.finish(now, j, peer.JobResult{Outcome: peer.JobComplete})
	}
}

// runEnded handles the end of a task's run: the task is done, waits to be started
// again, or has failed too often and fails its job.
func (p *Pool) runEnded(now time.Time, j *job, t *task, how End) {
	t.run = nil
	switch how {
	case EndDone:
		p.taskDone(j, t)
		p.completeIfDone(now, j)
		return
	case EndFailed:
		t.failures++
		if t.failures >= max(1, j.offer.Attempts) {
			p.finish(now, j, peer.JobResult{Outcome: peer.JobFailed, Reason: "a task failed too often"})
			return
		}
	}
	t.state = taskWaiting
}

// resolveUncertainTasks resolves the uncertain tasks whose runs by earlier owners are
// known: it adopts a task's run or its end if there is one, and otherwise lets the task be
// started again.
func (p *Pool) resolveUncertainTasks(now time.Time) {
	for _, j := range p.sortedJobs() {
		if !j.offer.MayHaveRun {
			continue
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state == taskUncertain && p.earlierRunKnown(now, j, i) && !p.adoptRun(now, j, t) && !p.adoptEarlyEnd(j, t) {
				t.state = taskWaiting
			}
		}
		p.completeIfDone(now, j)
	}
}

// tickJob ends a job that can no longer be served in time.
func (p *Pool) tickJob(now time.Time, j *job) {
	if r := p.expiryResult(now, j); r != nil {
		p.finish(now, j, *r)
	}
}

// logJobEnd logs a job's result.
func (p *Pool) logJobEnd(now time.Time, j *job, r *peer.JobResult) {
	p.cfg.Log(event.PoolJobEnded, slog.String("job", j.id), slog.String("queue", j.offer.Queue), slog.Int("outcome", int(r.Outcome)),
		slog.String("reason", r.Reason), slog.Int64("age_ms", now.Sub(j.arrived).Milliseconds()),
		slog.Int64("goal_ms", j.objective.Sub(j.arrived).Milliseconds()), slog.Int("open_tasks", j.openTasks), slog.Bool("touched", j.mayHaveStarted))
}
