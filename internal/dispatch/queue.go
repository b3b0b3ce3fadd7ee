// Package dispatch decides which task of which job starts next and on which
// minion.
//
// The package is deterministic: callers pass the current time; it does no I/O,
// starts no goroutine and reads no clock.
package dispatch

import (
	"sort"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
)

// Assignment is the decision to start a task on a minion.
type Assignment struct {
	Task   job.TaskID
	Size   job.Size
	Minion *minion.Minion
}

// Quota is a team's share of the slots of a failure domain.
type Quota struct {
	Weight   int // relative share of the slots when teams compete
	MaxSlots int // limit on the team's tasks in progress; 0: no limit
}

// defaultQuota applies to teams without a quota in the configuration.
var defaultQuota = Quota{Weight: 1}

// Queue orders the jobs that have tasks to start. A team is over its share when
// one more start would take it beyond its weighted share of the slots in use.
// Jobs of teams that are not over their share start first, in the order of their
// ranks (see rankOf): the fewest remaining tasks first, with a bonus for waiting
// time. The other teams follow, the one with the fewest running tasks per weight
// first.
type Queue struct {
	teams       map[string]*team
	active      []*team // teams with jobs or tasks in progress
	entries     map[job.ID]*entry
	quotas      map[string]Quota
	trialBudget int           // a job gets no more trials once it has this many disproved starts plus those earned by its age
	running     int           // tasks in progress, of all teams
	round       uint64        // number of the current call of Next; see list.triedRound
	blocked     []requirement // requirements for which this call of Next found no minion
}

// requirement is what a task requires of a minion.
type requirement struct {
	service   string
	size      job.Size
	knownFree bool // only a slot known to be free will do, not a trial
}

// team is a team that has jobs in the queue or tasks in progress.
type team struct {
	name        string
	quota       Quota
	running     int     // tasks in progress
	jobs        int     // jobs in the queue
	lists       []*list // one per service
	activeIndex int     // index in Queue.active
}

// NewQueue returns an empty queue without quotas.
//
// A start on a minion that refused a task recently is a trial: the minion may
// refuse again, which disproves the start. A job may be sent on trials while it
// has fewer disproved starts than trials plus one per trialInterval of its age.
// After that it starts only where a slot is known to be free, so that minions
// that refuse do not use up its retry budget.
func NewQueue(trials int) *Queue {
	return &Queue{trialBudget: trials, teams: make(map[string]*team), entries: make(map[job.ID]*entry)}
}

// SetQuotas replaces every team's quota.
func (q *Queue) SetQuotas(quotas map[string]Quota) {
	q.quotas = quotas
	for _, t := range q.active {
		t.quota = q.quotaOf(t.name)
	}
}

func (q *Queue) quotaOf(name string) Quota {
	if quota, ok := q.quotas[name]; ok {
		return quota
	}
	return defaultQuota
}

// Add adds a job to the queue.
func (q *Queue) Add(j *job.Job) {
	t := q.ensureTeam(j.ID.Team)
	t.jobs++
	e := &entry{job: j, list: t.ensureList(j.Service), heapIndex: notListed}
	q.entries[j.ID] = e
	e.list.push(e)
}

// ensureTeam returns the named team and adds it when it is not known.
func (q *Queue) ensureTeam(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, quota: q.quotaOf(name), activeIndex: len(q.active)}
		q.teams[name] = t
		q.active = append(q.active, t)
	}
	return t
}

// dropIfIdle removes a team that has neither jobs nor tasks in progress.
func (q *Queue) dropIfIdle(t *team) {
	if t.jobs > 0 || t.running > 0 {
		return
	}
	last := q.active[len(q.active)-1]
	q.active[t.activeIndex] = last
	last.activeIndex = t.activeIndex
	q.active[len(q.active)-1] = nil
	q.active = q.active[:len(q.active)-1]
	delete(q.teams, t.name)
}

// ensureList returns the team's list of the service and adds it when there is
// none.
func (t *team) ensureList(service string) *list {
	for _, l := range t.lists {
		if l.service == service {
			return l
		}
	}
	l := &list{service: service}
	t.lists = append(t.lists, l)
	return l
}

// Remove removes a job. Its tasks in progress still count as the team's until
// TaskEnded is called for them.
func (q *Queue) Remove(id job.ID) {
	e := q.entries[id]
	if e == nil {
		return
	}
	delete(q.entries, id)
	e.list.remove(e)
	t := q.teams[id.Team]
	t.jobs--
	q.dropIfIdle(t)
}

// TaskEnded records that a start has ended, with an outcome or disproved. The
// caller must record the end in the job table first, because the job's position
// follows from the states of its tasks there: a disproved start queues its task
// again unless the job has ended or was stopped.
func (q *Queue) TaskEnded(id job.TaskID) {
	t := q.teams[id.Job.Team]
	if t == nil {
		return
	}
	t.running--
	q.running--
	if e := q.entries[id.Job]; e != nil {
		e.searchFrom = min(e.searchFrom, id.Index)
		e.list.update(e)
	}
	q.dropIfIdle(t)
}

// HasWaiting reports whether a job waits for the start of a task. It is exact
// after Next has found nothing to start; otherwise it may count jobs that have
// no queued task any more.
func (q *Queue) HasWaiting() bool {
	for _, t := range q.active {
		for _, l := range t.lists {
			if len(l.heap) > 0 {
				return true
			}
		}
	}
	return false
}

// TakeUnstarted removes and returns the jobs whose tasks are all queued, ordered
// by rank.
func (q *Queue) TakeUnstarted() []*job.Job {
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

// Running returns the number of the team's tasks in progress.
func (q *Queue) Running(name string) int {
	if t := q.teams[name]; t != nil {
		return t.running
	}
	return 0
}

// Queued returns the number of the team's queued tasks.
func (q *Queue) Queued(name string) int {
	t := q.teams[name]
	if t == nil {
		return 0
	}
	return t.queuedTasks()
}

// QueuedTasks returns the number of queued tasks of all teams.
func (q *Queue) QueuedTasks() int {
	n := 0
	for _, t := range q.active {
		n += t.queuedTasks()
	}
	return n
}

func (t *team) queuedTasks() int {
	n := 0
	for _, l := range t.lists {
		for _, e := range l.heap {
			n += e.job.Queued()
		}
	}
	return n
}

// Next decides which task starts next and on which minion. It reports false when
// there is no minion for any queued task, or quotas allow no more starts. The
// caller must record the start in the job table and the registry before it
// calls Next again.
func (q *Queue) Next(now time.Time, minions *minion.Registry) (Assignment, bool) {
	q.round++
	q.blocked = q.blocked[:0]
	for {
		t, l := q.nextList()
		if l == nil {
			return Assignment{}, false
		}
		if a, ok := q.assign(now, l, minions); ok {
			q.countStart(t)
			return a, true
		}
		l.triedRound = q.round
	}
}

// countStart counts a task in progress of the team.
func (q *Queue) countStart(t *team) {
	t.running++
	q.running++
	invariant.Check(t.quota.MaxSlots == 0 || t.running <= t.quota.MaxSlots,
		"team %s has %d tasks in progress, quota %d", t.name, t.running, t.quota.MaxSlots)
}

// nextList returns the list whose head is next in the queue's order, among those
// that were not tried in this call of Next, and its team. It returns nil when
// there is none.
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
			if l.triedRound == q.round || l.head() == nil {
				continue
			}
			c := candidate{team: t, list: l, overShare: over, rank: l.heap[0].rank}
			if best.list == nil || c.before(&best) {
				best = c
			}
		}
	}
	return best.team, best.list
}

// candidate is a list that nextList compares with others.
type candidate struct {
	team      *team
	list      *list
	overShare bool  // one more start would exceed the team's weighted share
	rank      int64 // of the list's head
}

func (c *candidate) before(d *candidate) bool {
	if c.overShare != d.overShare {
		return d.overShare
	}
	if c.overShare {
		if a, b := c.team.running*d.team.quota.Weight, d.team.running*c.team.quota.Weight; a != b {
			return a < b
		}
	}
	if c.rank != d.rank {
		return c.rank < d.rank
	}
	return c.team.name < d.team.name
}

// maxTriedEntries bounds how many entries of a list, in heap order, are tried in one
// call of Next when there is no minion for the first ones.
const maxTriedEntries = 8

// assign finds a minion for the head of the list. When there is none, it tries
// the entries that follow in the heap, whose tasks may need fewer resources.
func (q *Queue) assign(now time.Time, l *list, minions *minion.Registry) (Assignment, bool) {
	for i := range min(len(l.heap), maxTriedEntries) {
		e := l.heap[i]
		index := e.nextTask()
		if index < 0 {
			continue
		}
		need := requirement{service: l.service, size: e.job.Tasks[index].Size, knownFree: !q.maySendTrial(now, e.job)}
		if q.isBlocked(need) {
			continue
		}
		if m := minions.Pick(now, need.service, need.size, need.knownFree); m != nil {
			return Assignment{Task: job.TaskID{Job: e.job.ID, Index: index}, Size: need.size, Minion: m}, true
		}
		q.blocked = append(q.blocked, need)
	}
	return Assignment{}, false
}

// trialInterval is the age that earns a job one more disproved start.
const trialInterval = 100 * time.Millisecond

// TrialsEarned returns how many disproved starts the job's age allows in addition
// to its budget.
func TrialsEarned(now time.Time, j *job.Job) int { return int(now.Sub(j.Accepted) / trialInterval) }

// maySendTrial reports whether the job may be sent to a minion that recently refused
// a task.
func (q *Queue) maySendTrial(now time.Time, j *job.Job) bool {
	return j.Retries() < q.trialBudget+TrialsEarned(now, j)
}

// isBlocked reports whether this call of Next has already found no minion for
// the requirement.
func (q *Queue) isBlocked(need requirement) bool {
	for i := range q.blocked {
		if q.blocked[i] == need {
			return true
		}
	}
	return false
}
