package dispatch

import (
	"math"
	"math/bits"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
)

// arrivalMemory is the time over which the arrival of work is averaged.
const arrivalMemory = 10 * time.Second

// maxOvertaken bounds the part of the slots that smaller jobs are taken to use.
const maxOvertaken = 0.95

// queueMargin multiplies the estimated wait: jobs that arrive later may go first.
const queueMargin = 1.5

const sizeBands = 32

// Arrivals tracks the work that arrives in jobs of each size. Smaller jobs go
// first, so that what they bring is not there for larger ones.
type Arrivals struct {
	bands [sizeBands]float64 // seconds of work per second, by binary logarithm of the size
	at    time.Time
}

// Add records a job of the given number of tasks and total run time.
func (a *Arrivals) Add(now time.Time, tasks int, work time.Duration) {
	if elapsed := now.Sub(a.at); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / arrivalMemory.Seconds())
		for i := range a.bands {
			a.bands[i] *= decay
		}
		a.at = now
	}
	a.bands[bits.Len(uint(tasks))] += work.Seconds() / arrivalMemory.Seconds()
}

// smaller returns the slots that smaller jobs keep busy.
func (a *Arrivals) smaller(tasks int) float64 {
	sum := 0.0
	for i := range bits.Len(uint(tasks)) {
		sum += a.bands[i]
	}
	return sum
}

// Finish estimates the time until a new job of the service would be done:
// its tasks and those that go before it share the slots that smaller jobs to
// come leave free.
func (q *Queue) Finish(now time.Time, a *Arrivals, s *job.Submission, slots int, mean time.Duration) time.Duration {
	if slots == 0 {
		return mean
	}
	overtaken := min(a.smaller(len(s.Tasks))/float64(slots), maxOvertaken)
	left := float64(slots) * (1 - overtaken)
	rank := now.UnixNano() + int64(len(s.Tasks))*int64(agePerTask)
	rounds := queueMargin * float64(q.ahead(s.Service, rank)+len(s.Tasks)) / left
	return time.Duration(max(rounds, 1) * float64(mean))
}

// ahead returns the queued tasks of a service's jobs with a lower rank.
func (q *Queue) ahead(service string, rank int64) int {
	n := 0
	for _, t := range q.active {
		for _, l := range t.lists {
			if l.service == service {
				n += l.ahead(rank)
			}
		}
	}
	return n
}

func (l *list) ahead(rank int64) int {
	n := 0
	for _, e := range l.heap {
		if e.rank <= rank {
			n += e.job.Queued()
		}
	}
	return n
}
