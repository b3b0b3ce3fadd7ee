package dispatch

import (
	"math"
	"math/bits"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
)

// arrivalWindow is the time constant of the decaying average of arriving work.
const arrivalWindow = 10 * time.Second

// maxSmallerJobShare caps the share of the slots that smaller jobs are estimated
// to use.
const maxSmallerJobShare = 0.95

// queueMargin is the factor by which the estimated time is increased, because
// jobs that arrive later may start first.
const queueMargin = 1.5

// sizeBands is the number of job size bands; a band spans a factor of two in
// the number of tasks.
const sizeBands = 32

// Arrivals tracks how much work arrives per second in jobs of each size. Smaller
// jobs start first, so the slots that their work takes are not available to
// larger jobs.
type Arrivals struct {
	workRate  [sizeBands]float64 // seconds of run time arriving per second, by bit length of the job's task count
	decayedAt time.Time          // when the decay was last applied
}

// Add records the arrival of a job with the given number of tasks and an
// estimated total run time of work.
func (a *Arrivals) Add(now time.Time, tasks int, work time.Duration) {
	if elapsed := now.Sub(a.decayedAt); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / arrivalWindow.Seconds())
		for i := range a.workRate {
			a.workRate[i] *= decay
		}
		a.decayedAt = now
	}
	a.workRate[bits.Len(uint(tasks))] += work.Seconds() / arrivalWindow.Seconds()
}

// slotsForSmaller returns the mean number of slots that jobs with fewer tasks,
// in smaller size bands, keep busy.
func (a *Arrivals) slotsForSmaller(tasks int) float64 {
	sum := 0.0
	for i := range bits.Len(uint(tasks)) {
		sum += a.workRate[i]
	}
	return sum
}

// EstimateCompletion estimates the time until a new job would be done. Its
// tasks and the queued tasks of the same or a lower rank share the slots that
// smaller jobs leave free; smaller jobs are expected to keep arriving at the rate in
// a. slots is the capacity for the service and mean the mean run time of one task.
func (q *Queue) EstimateCompletion(now time.Time, a *Arrivals, s *job.Submission, slots int, mean time.Duration) time.Duration {
	if slots == 0 {
		return mean
	}
	smallerShare := min(a.slotsForSmaller(len(s.Tasks))/float64(slots), maxSmallerJobShare)
	remaining := float64(slots) * (1 - smallerShare)
	rank := now.UnixNano() + int64(len(s.Tasks))*int64(agePerTask)
	rounds := queueMargin * float64(q.tasksAhead(s.Service, rank)+len(s.Tasks)) / remaining
	return time.Duration(max(rounds, 1) * float64(mean))
}

// tasksAhead returns the number of queued tasks in jobs of the service that
// have the given rank or a lower one.
func (q *Queue) tasksAhead(service string, rank int64) int {
	n := 0
	for _, t := range q.active {
		for _, l := range t.lists {
			if l.service == service {
				n += l.tasksAhead(rank)
			}
		}
	}
	return n
}

// tasksAhead returns the number of queued tasks in the list's jobs that have the
// given rank or a lower one.
func (l *list) tasksAhead(rank int64) int {
	n := 0
	for _, e := range l.heap {
		if e.rank <= rank {
			n += e.job.Queued()
		}
	}
	return n
}
