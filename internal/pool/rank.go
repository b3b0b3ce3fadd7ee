package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// Worth of a job's result to its caller, by when it arrives (from the users'
// tables of job kinds).
const (
	worthBeforeObjective = 1.0
	worthAfterObjective  = 0.2
	worthTooLate         = 0.02 // after peer.LateFactor times the objective
	// fixedWorthShare is the part of a job's worth that is the same for every job of
	// its queue. The rest grows with the job's work, up to maxWorth in total.
	fixedWorthShare = 0.3
	maxWorth        = 4
)

// rank is a job's position in the order of service: jobs with the highest worth per
// unit of waiting work go first, so that under overload the capacity goes to the
// results that are worth the most. All queues have equal weight, however many jobs
// they get, so that a queue of few large jobs is not starved by one of many small
// jobs. A job that has started has less work waiting than a similar one, so it is
// finished before others begin. A job that can no longer meet its objective ranks
// behind those that can.
type rank struct {
	job   *job
	value float64 // worth per unit of waiting work
}

// rankOf returns the job's rank at the given time.
func (p *Pool) rankOf(now time.Time, j *job) rank {
	return rank{job: j, value: j.worth(now) / float64(max(1, j.waitingWork()))}
}

// worth returns the worth of the job's result if every task that can start starts
// now. It is divided by the queue's arrival rate to give all queues equal weight.
func (j *job) worth(now time.Time) float64 {
	share := fixedWorthShare + (1-fixedWorthShare)*float64(j.totalWork)/max(1, j.stats.meanWork)
	worth := min(share, maxWorth) / j.stats.jobsPerSecond
	end := now.Add(j.remaining(now))
	switch {
	case !end.After(j.objective):
		return worth * worthBeforeObjective
	case !end.After(j.usefulUntil()):
		return worth * worthAfterObjective
	}
	return worth * worthTooLate
}

// usefulUntil returns the time after which the caller has no use for the result:
// peer.LateFactor times the objective, or the deadline if that is earlier.
func (j *job) usefulUntil() time.Time {
	t := j.arrived.Add(peer.LateFactor * j.objective.Sub(j.arrived))
	if j.deadline.Before(t) {
		return j.deadline
	}
	return t
}

// compareRanks orders higher values first, then earlier arrivals.
func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(b.value, a.value), byArrival(a.job, b.job))
}

// waitingJobs returns the jobs with waiting tasks, in the order of service.
func (p *Pool) waitingJobs(now time.Time) []rank {
	var out []rank
	for _, j := range p.jobs {
		if j.hasWaitingTasks() {
			out = append(out, p.rankOf(now, j))
		}
	}
	slices.SortFunc(out, p.compare)
	return out
}

// hasWaitingTasks reports whether a task waits to be started.
func (j *job) hasWaitingTasks() bool {
	for i := range j.tasks {
		if j.tasks[i].state == taskWaiting {
			return true
		}
	}
	return false
}
