// Package dispatch decides which task of which job starts next and on which
// minion.
//
// The package is pure: every method takes the current time; it does no I/O,
// starts no goroutine and reads no clock.
package dispatch

import (
	"sort"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
)

// Assignment is one decided start.
type Assignment struct {
	Task   job.TaskID
	Size   job.Size
	Minion *minion.Minion
}

// Quota is a team's share of a failure domain.
type Quota struct {
	Weight   int // relative share of the slots when teams compete
	MaxSlots int // tasks in progress; 0: no bound
}

// defaultQuota is that of a team that the configuration does not name.
var defaultQuota = Quota{Weight: 1}

// Queue orders the jobs that have tasks to start. Teams that use less than
// their weighted share of the slots in use go first; among those the job with
// the lowest rank: fewest tasks left, aged by waiting. Teams over their share
// follow, the one furthest below the others first.
type Queue struct {
	teams   map[string]*team
	active  []*team // teams with jobs or tasks in progress
	entries map[job.ID]*entry
	quotas  map[string]Quota
	trials  int // disproved starts after which a job is tried less often
	running int
	round   uint64        // marks the lists tried by one call of Next
	blocked []requirement // what one call of Next found no minion for
}

// requirement is what a task needs of a minion.
type requirement struct {
	service string
	size    job.Size
	sure    bool // a slot known to be free, not a trial
}

type team struct {
	name    string
	quota   Quota
	running int
	entries int
	lists   []*list
	pos     int // in Queue.active
}

// NewQueue returns an empty queue without quotas. A job with more disproved
// starts than trials, plus one per trialEvery of its age, goes only where a slot
// is known to be free, so that minions that refuse do not use up its retry
// budget.
func NewQueue(trials int) *Queue {
	return &Queue{trials: trials, teams: make(map[string]*team), entries: make(map[job.ID]*entry)}
}

// SetQuotas replaces every team's quota.
func (q *Queue) SetQuotas(quotas map[string]Quota) {
	q.quotas = quotas
	for _, t := range q.active {
		t.quota = q.quota(t.name)
	}
}

func (q *Queue) quota(name string) Quota {
	if quota, ok := q.quotas[name]; ok {
		return quota
	}
	return defaultQuota
}

// Add queues the job's tasks.
func (q *Queue) Add(j *job.Job) {
	t := q.team(j.ID.Team)
	t.entries++
	e := &entry{job: j, list: t.list(j.Service), pos: notListed}
	q.entries[j.ID] = e
	e.list.push(e)
}

func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, quota: q.quota(name), pos: len(q.active)}
		q.teams[name] = t
		q.active = append(q.active, t)
	}
	return t
}

// release forgets a team that has neither jobs nor tasks in progress.
func (q *Queue) release(t *team) {
	if t.entries > 0 || t.running > 0 {
		return
	}
	last := q.active[len(q.active)-1]
	q.active[t.pos] = last
	last.pos = t.pos
	q.active[len(q.active)-1] = nil
	q.active = q.active[:len(q.active)-1]
	delete(q.teams, t.name)
}

func (t *team) list(service string) *list {
	for _, l := range t.lists {
		if l.service == service {
			return l
		}
	}
	l := &list{service: service}
	t.lists = append(t.lists, l)
	return l
}

// Remove drops a job that has ended. Its tasks in progress still count until
// they finish.
func (q *Queue) Remove(id job.ID) {
	e := q.entries[id]
	if e == nil {
		return
	}
	delete(q.entries, id)
	e.list.remove(e)
	t := q.teams[id.Team]
	t.entries--
	q.release(t)
}

// Finished records that a start has ended; a disproved one is queued again
// while its job goes on. The job table must have recorded the end before.
func (q *Queue) Finished(id job.TaskID) {
	t := q.teams[id.Job.Team]
	if t == nil {
		return
	}
	t.running--
	q.running--
	if e := q.entries[id.Job]; e != nil {
		e.next = min(e.next, id.Index)
		e.list.update(e)
	}
	q.release(t)
}

// Waiting reports whether a job waits for the start of a task. It is exact
// after Next has found nothing to start.
func (q *Queue) Waiting() bool {
	for _, t := range q.active {
		for _, l := range t.lists {
			if len(l.heap) > 0 {
				return true
			}
		}
	}
	return false
}

// TakeUntouched removes and returns the waiting jobs of which no task has
// started, in the common order.
func (q *Queue) TakeUntouched() []*job.Job {
	var out []*entry
	for _, t := range q.active {
		for _, l := range t.lists {
			for _, e := range l.heap {
				if !e.job.Ended() && e.job.Queued() == len(e.job.Tasks) {
					out = append(out, e)
				}
			}
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].before(out[k]) })
	jobs := make([]*job.Job, len(out))
	for i, e := range out {
		jobs[i] = e.job
		q.Remove(e.job.ID)
	}
	return jobs
}

// Running returns the team's tasks in progress.
func (q *Queue) Running(name string) int {
	if t := q.teams[name]; t != nil {
		return t.running
	}
	return 0
}

// Queued returns the team's tasks that wait for their start.
func (q *Queue) Queued(name string) int {
	t := q.teams[name]
	if t == nil {
		return 0
	}
	return t.queued()
}

// Tasks returns the tasks of all teams that wait for their start.
func (q *Queue) Tasks() int {
	n := 0
	for _, t := range q.active {
		n += t.queued()
	}
	return n
}

func (t *team) queued() int {
	n := 0
	for _, l := range t.lists {
		for _, e := range l.heap {
			n += e.job.Queued()
		}
	}
	return n
}

// Next decides one start, or reports false when no queued task has a free
// minion. The caller must record the start before it calls Next again.
func (q *Queue) Next(now time.Time, minions *minion.Registry) (Assignment, bool) {
	q.round++
	q.blocked = q.blocked[:0]
	for {
		t, l := q.nextList()
		if l == nil {
			return Assignment{}, false
		}
		if a, ok := q.place(now, l, minions); ok {
			q.begin(t)
			return a, true
		}
		l.tried = q.round
	}
}

func (q *Queue) begin(t *team) {
	t.running++
	q.running++
	invariant.Check(t.quota.MaxSlots == 0 || t.running <= t.quota.MaxSlots,
		"team %s has %d tasks in progress, quota %d", t.name, t.running, t.quota.MaxSlots)
}

// nextList returns the list whose head is next in the common order.
func (q *Queue) nextList() (*team, *list) {
	weights := 0
	for _, t := range q.active {
		weights += t.quota.Weight
	}
	var best candidate
	for _, t := range q.active {
		if t.quota.MaxSlots > 0 && t.running >= t.quota.MaxSlots {
			continue
		}
		over := (t.running+1)*weights > t.quota.Weight*(q.running+1)
		for _, l := range t.lists {
			if l.tried == q.round || l.head() == nil {
				continue
			}
			c := candidate{team: t, list: l, over: over, rank: l.heap[0].rank}
			if best.list == nil || c.before(&best) {
				best = c
			}
		}
	}
	return best.team, best.list
}

type candidate struct {
	team *team
	list *list
	over bool
	rank int64
}

func (c *candidate) before(d *candidate) bool {
	if c.over != d.over {
		return d.over
	}
	if c.over {
		if a, b := c.team.running*d.team.quota.Weight, d.team.running*c.team.quota.Weight; a != b {
			return a < b
		}
	}
	if c.rank != d.rank {
		return c.rank < d.rank
	}
	return c.team.name < d.team.name
}

// maxSkipped is how many jobs behind a head that no free minion fits are tried.
const maxSkipped = 8

// place finds a minion for the head of the list, or for one of the jobs right
// behind it when their tasks need less.
func (q *Queue) place(now time.Time, l *list, minions *minion.Registry) (Assignment, bool) {
	for i := range min(len(l.heap), maxSkipped) {
		e := l.heap[i]
		index := e.nextTask()
		if index < 0 {
			continue
		}
		need := requirement{service: l.service, size: e.job.Tasks[index].Size, sure: !q.mayTry(now, e.job)}
		if q.isBlocked(need) {
			continue
		}
		if m := minions.Pick(now, need.service, need.size, need.sure); m != nil {
			return Assignment{Task: job.TaskID{Job: e.job.ID, Index: index}, Size: need.size, Minion: m}, true
		}
		q.blocked = append(q.blocked, need)
	}
	return Assignment{}, false
}

// trialEvery is the time that earns a waiting job one more disproved start.
const trialEvery = 100 * time.Millisecond

// Earned returns the disproved starts that a job's age allows beside its budget.
func Earned(now time.Time, j *job.Job) int { return int(now.Sub(j.Accepted) / trialEvery) }

// mayTry reports whether the job may be sent to a minion that lately refused.
func (q *Queue) mayTry(now time.Time, j *job.Job) bool {
	return j.Retries() < q.trials+Earned(now, j)
}

func (q *Queue) isBlocked(need requirement) bool {
	for i := range q.blocked {
		if q.blocked[i] == need {
			return true
		}
	}
	return false
}
