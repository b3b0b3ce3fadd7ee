package pool

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// taskState is where a task stands.
type taskState uint8

const (
	taskWaiting  taskState = iota
	taskDoubtful           // it may run under an earlier owner
	taskPlaced             // it has a run
	taskDone
)

type task struct {
	ref      TaskRef
	step     *peer.TaskStep
	state    taskState
	nextRun  int
	failures int
	moves    int // restarts because of a slow or stuck run
	run      *run
	lastOn   string        // minion of the last run
	took     time.Duration // of the run that was done
}

type job struct {
	id       string
	offer    *peer.JobOffer
	kind     *kind
	attached []Attachment
	tasks    []task
	open     int       // tasks that are not done
	touched  bool      // a start of it was sent, here or by an earlier owner
	doubtful time.Time // until when an earlier owner may run it on minions that were not heard
	arrived  time.Time
	goal     time.Time // of its latency objective
	deadline time.Time
	total    int64   // work of all tasks
	factor   float64 // expected run time over the declared one
}

func byArrival(a, b *job) int {
	return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
}

func (p *Pool) newJob(now time.Time, o *peer.JobOffer) *job {
	j := &job{
		id: o.Job, offer: o, kind: p.kind(o.Queue), touched: o.MayHaveRun,
		arrived:  now.Add(-time.Duration(o.AgeMS) * time.Millisecond),
		deadline: now.Add(time.Duration(o.LeftMS) * time.Millisecond),
		doubtful: now.Add(time.Duration(o.MayRunMS) * time.Millisecond),
	}
	for s := range o.Steps {
		for i := range o.Steps[s].Count {
			j.tasks = append(j.tasks, task{ref: TaskRef{o.Job, s, i}, step: &o.Steps[s], nextRun: 1})
		}
	}
	j.open = len(j.tasks)
	j.factor = j.kind.factor(o.Steps)
	j.total = j.work()
	j.kind.arrived(now, j.total)
	p.learnSize(j)
	chain := float64(j.chain()) * float64(o.StretchPct) / 100
	j.goal = j.arrived.Add(time.Duration(chain) + time.Duration(o.AddMS)*time.Millisecond)
	return j
}

// expected returns the expected run time of a task on a minion of usual speed.
func (j *job) expected(s *peer.TaskStep) time.Duration {
	return time.Duration(float64(s.EstimateMS) * j.factor * float64(time.Millisecond))
}

// chain returns the expected time of the longest chain of steps.
func (j *job) chain() time.Duration { return peer.LongestChain(j.offer.Steps, j.expected) }

// left returns the expected time until the job's end, if all that can start
// starts now.
func (j *job) left(now time.Time) time.Duration {
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
			rest = t.run.left(now)
		default:
			rest = j.expected(t.step)
		}
		ends[t.ref.Step] = max(ends[t.ref.Step], from+rest)
		longest = max(longest, ends[t.ref.Step])
	}
	return longest
}

// work returns the expected processor time, in thousandths of a processor
// times milliseconds, of the tasks that wait.
func (j *job) work() int64 {
	var sum int64
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskWaiting || t.state == taskDoubtful {
			sum += t.step.CPU * j.expected(t.step).Milliseconds()
		}
	}
	return sum
}

// startable reports whether the steps before the task's own are done.
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

// done returns the numbers of the tasks that have ended as done.
func (j *job) done() []int {
	var out []int
	for i := range j.tasks {
		if j.tasks[i].state == taskDone {
			out = append(out, i)
		}
	}
	return out
}

func (j *job) task(ref TaskRef) *task {
	for i := range j.tasks {
		if j.tasks[i].ref == ref {
			return &j.tasks[i]
		}
	}
	return nil
}

// adopt settles what is known of the tasks of a job that was with an earlier
// owner.
func (p *Pool) adopt(now time.Time, j *job) {
	for _, i := range j.offer.Done {
		if i >= 0 && i < len(j.tasks) {
			p.taskDone(j, &j.tasks[i])
		}
	}
	if !j.offer.MayHaveRun {
		return
	}
	settled := p.settledFor(now, j)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskDone || p.adoptRun(now, j, t) {
			continue
		}
		if e, ok := p.ends[t.ref]; ok {
			t.nextRun = max(t.nextRun, e.run+1)
			if e.how == EndDone {
				p.taskDone(j, t)
				continue
			}
		}
		if !settled {
			t.state = taskDoubtful
		}
	}
	p.completeIfDone(now, j)
}

// adoptRun takes over a run of the task that a minion has listed.
func (p *Pool) adoptRun(now time.Time, j *job, t *task) bool {
	for _, m := range p.ordered {
		x := m.runs[t.ref]
		if x == nil || x.owner != nil || x.stopping {
			continue
		}
		x.owner, x.step, x.expected = j, t.step, j.expected(t.step)
		t.run, t.state, t.nextRun, t.lastOn = x, taskPlaced, x.number+1, m.ID
		m.account(x)
		p.cfg.Note(event.PoolRunAdopted, slog.String("job", j.id), slog.Int("task", t.ref.Index), slog.Int("run", x.number), slog.String("minion", m.ID),
			slog.Uint64("token", m.token))
		return true
	}
	return false
}

// settledFor reports whether an earlier owner certainly runs nothing of the job
// that is not known here: all of its minions are known and have been listed under
// this owner's token, or that owner's time is over. Until then it may go on
// renewing the leases of minions that this owner does not know or reach.
func (p *Pool) settledFor(now time.Time, j *job) bool {
	return j.offer.Minions == p.set && p.allListed() || !now.Before(j.doubtful)
}

// settled reports whether every minion that can answer has done so since the
// takeover.
func (p *Pool) settled(now time.Time) bool {
	return p.allListed() || now.Sub(p.tookAt) > p.cfg.Timing.MaxLease
}

// doubts reports whether a task may still run under an earlier owner.
func (j *job) doubts() bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.state == taskDoubtful })
}

func (p *Pool) allListed() bool {
	for _, m := range p.ordered {
		if !m.listed {
			return false
		}
	}
	return len(p.ordered) > 0
}

func (p *Pool) taskDone(j *job, t *task) {
	if t.state != taskDone {
		t.state, t.run = taskDone, nil
		j.open--
	}
}

func (p *Pool) completeIfDone(now time.Time, j *job) {
	if j.open == 0 && p.jobs[j.id] == j {
		p.finish(now, j, peer.JobResult{Outcome: peer.JobComplete})
	}
}

// runEnded handles the end of a job's run.
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

// tickJob settles doubtful tasks and gives up what cannot be served in time.
func (p *Pool) tickJob(now time.Time, j *job) {
	if j.touched && p.settledFor(now, j) {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.state == taskDoubtful && !p.adoptRun(now, j, t) {
				t.state = taskWaiting
			}
		}
	}
	if r := p.expire(now, j); r != nil {
		p.finish(now, j, *r)
	}
}

func (p *Pool) noteEnd(now time.Time, j *job, r *peer.JobResult) {
	p.cfg.Note(event.PoolJobEnded, slog.String("job", j.id), slog.String("queue", j.offer.Queue), slog.Int("outcome", int(r.Outcome)),
		slog.String("reason", r.Reason), slog.Int64("age_ms", now.Sub(j.arrived).Milliseconds()),
		slog.Int64("goal_ms", j.goal.Sub(j.arrived).Milliseconds()), slog.Int("open_tasks", j.open), slog.Bool("touched", j.touched))
}
