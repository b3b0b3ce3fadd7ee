// Package dispatch decides which task of which job starts next and on which
// minion.
//
// The package is pure: every method takes the current time; it does no I/O,
// starts no goroutine and reads no clock.
package dispatch

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
)

// Assignment is one decided start.
type Assignment struct {
	Task   job.TaskID
	Minion *minion.Minion
}

// Queue orders the jobs that have tasks to start: the team with the fewest
// tasks in progress per unit of weight goes first, and inside a team the job
// with the fewest tasks left.
type Queue struct {
	teams map[string]*team
}

type team struct {
	name    string
	running int
	jobs    []*job.Job
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{teams: make(map[string]*team)} }

// Add queues the job's tasks.
func (q *Queue) Add(j *job.Job) {
	t := q.team(j.ID.Team)
	t.jobs = append(t.jobs, j)
}

func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name}
		q.teams[name] = t
	}
	return t
}

// Finished records that one of the team's starts has ended.
func (q *Queue) Finished(name string) { q.team(name).running-- }

// Next decides one start, or reports false when no queued task has a free
// minion. The caller must record the start before it calls Next again.
func (q *Queue) Next(now time.Time, minions *minion.Registry) (Assignment, bool) {
	tried := make(map[string]bool)
	for {
		t := q.nextTeam(tried)
		if t == nil {
			return Assignment{}, false
		}
		if a, ok := t.next(now, minions); ok {
			t.running++
			return a, true
		}
		tried[t.name] = true
	}
}

func (q *Queue) nextTeam(tried map[string]bool) *team {
	var best *team
	for _, t := range q.teams {
		t.prune()
		if len(t.jobs) == 0 || tried[t.name] {
			continue
		}
		if best == nil || t.running < best.running || t.running == best.running && t.name < best.name {
			best = t
		}
	}
	return best
}

// prune drops jobs that have nothing left to start.
func (t *team) prune() {
	kept := t.jobs[:0]
	for _, j := range t.jobs {
		if !j.Ended() && j.Queued()+j.Running() > 0 {
			kept = append(kept, j)
		}
	}
	clear(t.jobs[len(kept):])
	t.jobs = kept
}

func (t *team) next(now time.Time, minions *minion.Registry) (Assignment, bool) {
	var best *job.Job
	var on *minion.Minion
	for _, j := range t.jobs {
		if j.Queued() == 0 || best != nil && j.Queued()+j.Running() >= best.Queued()+best.Running() {
			continue
		}
		m := minions.Pick(now, j.Service, j.Tasks[j.NextQueued(0)].Size)
		if m != nil {
			best, on = j, m
		}
	}
	if best == nil {
		return Assignment{}, false
	}
	return Assignment{Task: job.TaskID{Job: best.ID, Index: best.NextQueued(0)}, Minion: on}, true
}
