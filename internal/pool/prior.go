package pool

import (
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// Jobs that are handed over with a list of their runs. After a new shard layout the runs of
// a job may be on minions of several shards. The list shows which of its tasks certainly
// have no run, and which runs the new owner can know.

// possibleRuns returns all runs of the job that may not have ended. ok is false if it does
// not know them all.
func (p *Pool) possibleRuns(j *job) (runs []peer.TaskRun, ok bool) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskDone {
			continue
		}
		for _, m := range p.ordered {
			if m.runs[t.ref] != nil {
				runs = append(runs, peer.TaskRun{Task: i, Minion: m.ID})
			}
		}
		if t.state != taskUncertain {
			continue
		}
		if !j.offer.PriorRunsKnown {
			return nil, false
		}
		for _, r := range j.offer.PriorRuns {
			if r.Task == i && !slices.Contains(runs, r) {
				runs = append(runs, r)
			}
		}
	}
	return runs, true
}

// earlierRunKnown reports whether a run of the job's task with the given number by an
// earlier owner is certainly known here, if there is one: all of the job's runs are, or
// each minion that the earlier owner has named for the task is known here and has been
// listed since the job was offered.
func (p *Pool) earlierRunKnown(now time.Time, j *job, number int) bool {
	if p.earlierRunsKnown(now, j) {
		return true
	}
	if !j.offer.PriorRunsKnown {
		return false
	}
	for _, r := range j.offer.PriorRuns {
		if m := p.minions[r.Minion]; r.Task == number && (m == nil || !m.listedSince(j.offeredAt)) {
			return false
		}
	}
	return true
}

// listedSince reports whether the minion has answered a poll that was sent at t or later
// with a listing under its present token.
func (m *minion) listedSince(t time.Time) bool {
	return m.listed && m.runsKnown() && !m.listedPollAt.Before(t)
}

// adoptEarlyEnd takes over the end of a run that was listed before the run's job was known
// here or while the task was uncertain. It reports whether the task is done.
func (p *Pool) adoptEarlyEnd(j *job, t *task) bool {
	e, ok := p.earlyEnds[t.ref]
	if !ok {
		return false
	}
	j.startedHere, j.foundRuns = true, true
	t.nextRun = max(t.nextRun, e.run+1)
	if e.how == EndDone {
		p.taskDone(j, t)
	}
	return e.how == EndDone
}

// ReturnUnstarted hands the jobs without a start back to their entry hosts, which offer
// them to other dispatchers.
func (p *Pool) ReturnUnstarted(now time.Time, reason string) {
	for _, j := range p.sortedJobs() {
		if !j.mayHaveStarted {
			p.finish(now, j, peer.JobResult{Outcome: peer.JobMoved, Done: j.doneTasks(), NotStarted: true, Reason: reason})
		}
	}
}
