package pool

import (
	"cmp"
	"slices"
	"time"
)

// urgency groups jobs that wait by what can still be had for them.
type urgency uint8

const (
	inTime urgency = iota // the objective can still be met
	late                  // only the deadline can
)

// rank orders the queue. It answers loads beyond the capacity: of the jobs that
// can meet their objective, those with the least work left go first, so that
// the most callers are served; a job that was begun has less left than the
// like, and is finished before others begin. Late ones follow.
type rank struct {
	job  *job
	when urgency
	work int64
}

func (p *Pool) rankOf(now time.Time, j *job) rank {
	r := rank{job: j, work: j.work()}
	if now.Add(j.left(now)).After(j.goal) {
		r.when = late
	}
	return r
}

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.when, b.when), cmp.Compare(a.work, b.work), byArrival(a.job, b.job))
}

// queue returns the jobs with tasks that wait, in the order of service.
func (p *Pool) queue(now time.Time) []rank {
	var out []rank
	for _, j := range p.jobs {
		if j.waits() {
			out = append(out, p.rankOf(now, j))
		}
	}
	slices.SortFunc(out, compareRanks)
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
