package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// Value of a job's result to its caller, by when it arrives. The values come from the
// requirements for each kind of job.
const (
	valueBeforeObjective = 1.0
	valueAfterObjective  = 0.2
	valueTooLate         = 0.02 // after peer.LateFactor times the objective
	// fixedValueShare is the part of a job's value that is the same for every job of
	// its queue. The rest grows with the job's work; maxValue bounds the sum.
	fixedValueShare = 0.3
	maxValue        = 4
)

// rank is a job's position in the order of service: jobs with the highest value per
// unit of waiting work go first, so that under overload the capacity goes to the most
// valuable results. All queues have equal weight, however many jobs they get, so that a
// queue of few large jobs is not starved by one of many small jobs. A job that has
// started has less work waiting than a similar one, so it is finished before others
// begin. A job that can no longer meet its objective ranks behind those that can.
type rank struct {
	job          *job
	valueDensity float64 // value of the job's result per unit of waiting work
}

// rankOf returns the job's rank at the given time.
func (p *Pool) rankOf(now time.Time, j *job) rank {
	return rank{job: j, valueDensity: j.value(now) / float64(max(1, j.waitingWork()))}
}

// value returns the value of the job's result if every task that can start starts
// now. It is divided by the queue's arrival rate to give all queues equal weight.
func (j *job) value(now time.Time) float64 {
	share := fixedValueShare + (1-fixedValueShare)*float64(j.totalWork)/max(1, j.stats.meanWork)
	value := min(share, maxValue) / j.stats.jobsPerSecond
	end := now.Add(j.remaining(now))
	switch {
	case j.unattainable:
		return value * valueTooLate
	case !end.After(j.objective):
		return value * valueBeforeObjective
	case !end.After(j.usefulUntil()):
		return value * valueAfterObjective
	}
	return value * valueTooLate
}

// usefulUntil returns the time after which the result has almost no value to the caller:
// peer.LateFactor times the objective, or the deadline if that is earlier. A job that can't
// end by then on idle minions either is served for what it is worth, until its deadline.
func (j *job) usefulUntil() time.Time {
	t := j.lateUntil()
	if j.deadline.Before(t) || j.unattainable {
		return j.deadline
	}
	return t
}

// lateUntil returns when peer.LateFactor times the objective has passed.
func (j *job) lateUntil() time.Time {
	return j.arrived.Add(peer.LateFactor * j.objective.Sub(j.arrived))
}

// compareRanks orders higher value densities first, then earlier arrivals.
func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(b.valueDensity, a.valueDensity), byArrival(a.job, b.job))
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
