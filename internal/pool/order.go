package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// What an answer is worth to its caller (the users' tables of kinds).
const (
	worthInTime = 1.0
	worthLate   = 0.2  // after the objective
	worthServed = 0.02 // after peer.LateFactor times the objective: hardly anything
	// Of a job's worth, fixedShare is the same for every job of its queue; the
	// rest grows with its work, up to maxWorth.
	fixedShare = 0.3
	maxWorth   = 4
)

// rank orders the queue. It answers loads beyond the capacity: the job goes
// first that is worth the most for the work that it still needs. All queues
// count alike, whatever their numbers of jobs, so a queue of few large jobs is
// not starved by one of many small ones; a job that was begun needs less work
// than the like and is finished before others begin; one that can no longer
// meet its objective gives way to those that can.
type rank struct {
	job   *job
	value float64
}

func (p *Pool) rankOf(now time.Time, j *job) rank {
	return rank{job: j, value: j.worth(now) / float64(max(1, j.work()))}
}

// worth returns what an answer is worth, if all that can start starts now.
func (j *job) worth(now time.Time) float64 {
	share := fixedShare + (1-fixedShare)*float64(j.total)/max(1, j.kind.meanWork)
	worth := min(share, maxWorth) / j.kind.rate
	end := now.Add(j.left(now))
	switch {
	case !end.After(j.goal):
		return worth * worthInTime
	case !end.After(j.useful()):
		return worth * worthLate
	}
	return worth * worthServed
}

// useful returns until when an answer is worth something to the caller.
func (j *job) useful() time.Time {
	t := j.arrived.Add(peer.LateFactor * j.goal.Sub(j.arrived))
	if j.deadline.Before(t) {
		return j.deadline
	}
	return t
}

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(b.value, a.value), byArrival(a.job, b.job))
}

// queue returns the jobs with tasks that wait, in the order of service.
func (p *Pool) queue(now time.Time) []rank {
	var out []rank
	for _, j := range p.jobs {
		if j.waits() {
			out = append(out, p.rankOf(now, j))
		}
	}
	slices.SortFunc(out, p.order)
	return out
}

func (j *job) waits() bool {
	for i := range j.tasks {
		if j.tasks[i].state == taskWaiting {
			return true
		}
	}
	return false
}
