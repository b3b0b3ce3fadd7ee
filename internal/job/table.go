package job

import (
	"container/heap"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Limits bounds the table.
type Limits struct {
	MaxActive      int           // jobs in progress
	MaxRecords     int           // keys remembered, in progress or ended
	MaxAnswerBytes int           // bytes of ended answers kept for later fetches
	KeyLifetime    time.Duration // from SubmittedAt; older submissions are refused
	ClockError     time.Duration // tolerated difference between clocks
}

// Admission is the table's decision on a submission.
type Admission uint8

// Admissions.
const (
	Refused  Admission = iota
	Accepted           // a new job
	Attached           // a repetition of a job in progress
	Replayed           // a repetition of an ended job: its answer is final
)

// Table holds the jobs of one host.
type Table struct {
	limits      Limits
	startedAt   time.Time
	jobs        map[ID]*Job
	active      int
	answerBytes int
	deadlines   deadlineHeap
	fences      map[ID]time.Time // keys refused here, until then
	ended       []*Job           // oldest first
	released    int              // leading entries of ended whose answers were dropped
}

// NewTable returns an empty table of a process that started at startedAt.
func NewTable(l Limits, startedAt time.Time) *Table {
	return &Table{limits: l, startedAt: startedAt, jobs: make(map[ID]*Job), fences: make(map[ID]time.Time)}
}

// Get returns the job with the given identity, or nil.
func (t *Table) Get(id ID) *Job { return t.jobs[id] }

// Active returns the number of jobs in progress.
func (t *Table) Active() int { return t.active }

// Records returns the number of keys remembered.
func (t *Table) Records() int { return len(t.jobs) + len(t.fences) }

// Each calls f for every remembered job until f returns false.
func (t *Table) Each(f func(*Job) bool) {
	for _, j := range t.jobs {
		if !f(j) {
			return
		}
	}
}

// EachActive calls f for every job in progress. Its cost doesn't grow with the
// ended jobs that are remembered.
func (t *Table) EachActive(f func(*Job)) {
	for _, j := range t.deadlines {
		if !j.Ended() {
			f(j)
		}
	}
}

// Submit admits, attaches or refuses s. Located says that every host in scope
// has fenced the key, so that a repetition may run here.
func (t *Table) Submit(now time.Time, s *Submission, located bool) (*Job, Admission, *result.Error) {
	if j := t.jobs[s.ID]; j != nil {
		return t.repeat(j, s)
	}
	if err := t.admissible(now, s, located); err != nil {
		return nil, Refused, err
	}
	j := &Job{Submission: *s, Accepted: now, tasks: make([]task, len(s.Tasks)), queued: len(s.Tasks)}
	for i := range j.tasks {
		j.tasks[i].queued = now
	}
	j.retention = t.retention(s.SubmittedAt)
	t.jobs[s.ID] = j
	delete(t.fences, s.ID)
	t.active++
	heap.Push(&t.deadlines, j)
	return j, Accepted, nil
}

func (t *Table) repeat(j *Job, s *Submission) (*Job, Admission, *result.Error) {
	if j.Digest != s.Digest {
		return nil, Refused, result.Errorf(result.KeyConflict, "key %q was submitted with another body", s.ID.Key)
	}
	if j.ended {
		return j, Replayed, nil
	}
	return j, Attached, nil
}

// admissible decides on a key that has no job here. Only a first attempt and a
// located repetition can be refused as "not run".
func (t *Table) admissible(now time.Time, s *Submission, located bool) *result.Error {
	if !located {
		if err := t.ownable(s); err != nil {
			return err
		}
	}
	age := now.Sub(s.SubmittedAt)
	switch {
	case age < -t.limits.ClockError:
		return result.Errorf(result.InvalidField, "submitted_at_ms is in the future by more than the tolerated clock error")
	case age > t.limits.KeyLifetime:
		return result.Errorf(result.Expired, "submitted %v ago, key lifetime %v", age, t.limits.KeyLifetime)
	case t.active >= t.limits.MaxActive:
		return result.Errorf(result.QueueFull, "%d jobs in progress", t.active)
	case t.full():
		return result.Errorf(result.QueueFull, "%d keys remembered", t.Records())
	}
	return nil
}

// ownable refuses submissions whose key may have been accepted elsewhere.
func (t *Table) ownable(s *Submission) *result.Error {
	_, fenced := t.fences[s.ID]
	switch {
	case s.Attempt != 1:
		return result.Errorf(result.OwnerUnknown, "attempt %d: an earlier attempt may have run elsewhere", s.Attempt)
	case fenced:
		return result.Errorf(result.OwnerUnknown, "a later attempt was located elsewhere")
	case t.Forgot(s.SubmittedAt):
		return result.Errorf(result.OwnerUnknown, "submitted before this process could have recorded the key")
	}
	return nil
}

// Forgot reports whether a key submitted at that time may have been accepted
// or fenced by an earlier process of this host.
func (t *Table) Forgot(submittedAt time.Time) bool {
	return submittedAt.Before(t.startedAt.Add(t.limits.ClockError))
}

func (t *Table) full() bool { return t.Records() >= t.limits.MaxRecords }

// Fence refuses the key from now on, unless a job has it. It reports false
// when there is no room to remember the fence.
func (t *Table) Fence(id ID, submittedAt time.Time) bool {
	if _, ok := t.fences[id]; !ok && t.full() {
		return false
	}
	t.fences[id] = t.retention(submittedAt)
	return true
}

// retention is the time until which a key is remembered: a host whose clock
// runs behind by the tolerated error accepts no repetition after it.
func (t *Table) retention(submittedAt time.Time) time.Time {
	return submittedAt.Add(t.limits.KeyLifetime + t.limits.ClockError)
}

// Start records that a task is about to be sent to a minion. It reports
// whether the start is allowed; a refusal is a broken invariant.
func (t *Table) Start(now time.Time, id TaskID, minion string) bool {
	j := t.jobs[id.Job]
	if !invariant.Check(j != nil && !j.ended, "start of task %d of ended or unknown job %s", id.Index, id.Job) {
		return false
	}
	k := &j.tasks[id.Index]
	if !invariant.Check(k.state == Queued && k.starts == k.disprove, "second start of task %d of job %s", id.Index, id.Job) {
		return false
	}
	k.state = Started
	k.starts++
	k.minion = minion
	k.started = now
	j.queued--
	j.running++
	return true
}

// Disprove records that a start never reached a minion, or that the minion
// refused it before starting. The task may start again while the job goes on.
func (t *Table) Disprove(now time.Time, id TaskID) *Answer {
	j := t.jobs[id.Job]
	if j == nil {
		return nil
	}
	k := &j.tasks[id.Index]
	if k.state != Started {
		return nil
	}
	k.disprove++
	j.retries++
	j.running--
	k.queued = now
	if j.ended || j.stopCode != result.OK {
		k.state = Withdrawn
		return t.settle(now, j, id.Index)
	}
	k.state = Queued
	j.queued++
	return nil
}

// Finish records the outcome of a start and returns the answer when the job
// has ended by it.
func (t *Table) Finish(now time.Time, id TaskID, o Outcome) *Answer {
	j := t.jobs[id.Job]
	if j == nil {
		return nil
	}
	k := &j.tasks[id.Index]
	if k.state != Started {
		return nil
	}
	j.running--
	k.outcome = o
	switch o.Code {
	case result.OK:
		k.state = Done
		j.done++
	case result.TaskFailed:
		k.state = Failed
		j.stop(result.TaskFailed, o.Detail)
	default:
		k.state = Unknown
		j.stop(o.Code, o.Detail)
	}
	return t.settle(now, j, id.Index)
}

// settle ends j when nothing more can change its answer.
func (t *Table) settle(now time.Time, j *Job, last int) *Answer {
	switch {
	case j.ended:
		return nil
	case j.anyOutcomeUnknown():
		return t.end(now, j, result.StartUnknown, j.detail, last)
	case j.running > 0 || j.queued > 0:
		return nil
	case j.stopCode == result.OK:
		return t.end(now, j, result.OK, "", last)
	case j.stopCode == result.CancelledNotRun:
		code := j.byProgress(result.CancelledNotRun, result.CancelledRan, result.CancelledMaybe)
		return t.end(now, j, code, j.detail, last)
	default:
		return t.end(now, j, j.stopCode, j.detail, last)
	}
}

func (j *Job) anyOutcomeUnknown() bool {
	return j.stopCode.Class() == result.MayHaveRun && j.stopCode != result.OK
}

func (t *Table) end(now time.Time, j *Job, code result.Code, detail string, last int) *Answer {
	if code == result.StartUnknown && j.stopCode != result.OK {
		code = j.stopCode
	}
	a := j.end(now, code, detail, last)
	invariant.Check(code != result.OK || j.done == len(j.tasks), "job %s complete with %d of %d tasks", j.ID, j.done, len(j.tasks))
	invariant.Check(code.Class() != result.NotRun || !(j.anyRan() || j.anyUnknown()), "job %s answered %s after a start", j.ID, code)
	t.active--
	j.Tasks = nil // payloads are no longer needed
	for _, r := range a.Results {
		t.answerBytes += len(r)
	}
	t.ended = append(t.ended, j)
	return a
}

// Refuse ends a job that has no start in progress, with a true "not run" code
// when nothing ran, and result.TaskFailed otherwise.
func (t *Table) Refuse(now time.Time, id ID, code result.Code, detail string) *Answer {
	j := t.jobs[id]
	if j == nil || j.ended {
		return nil
	}
	j.stop(j.byProgress(code, result.TaskFailed, result.TaskFailed), detail)
	return t.settle(now, j, 0)
}

// Cancel withdraws queued tasks. The answer follows when no task is in
// progress; the caller of Cancel stops the started ones.
func (t *Table) Cancel(now time.Time, id ID) *Answer {
	j := t.jobs[id]
	if j == nil || j.ended {
		return nil
	}
	j.stop(result.CancelledNotRun, "cancelled by the caller")
	return t.settle(now, j, 0)
}

// Tick ends the jobs whose deadline has passed and forgets expired records.
func (t *Table) Tick(now time.Time) []*Answer {
	var out []*Answer
	for len(t.deadlines) > 0 && !t.deadlines[0].Deadline.After(now) {
		j := heap.Pop(&t.deadlines).(*Job)
		if j.ended {
			continue
		}
		code := j.byProgress(result.DeadlineNotRun, result.DeadlineRan, result.DeadlineUnknown)
		j.withdraw()
		out = append(out, t.end(now, j, code, "deadline passed", j.lastOpen()))
	}
	t.forget(now)
	return out
}

// lastOpen returns the index of a task that is not done, or 0.
func (j *Job) lastOpen() int {
	for i := range j.tasks {
		if j.tasks[i].state != Done {
			return i
		}
	}
	return 0
}

// forget drops the answers beyond the byte bound, oldest first, and the
// records whose key lifetime has passed.
func (t *Table) forget(now time.Time) {
	for t.answerBytes > t.limits.MaxAnswerBytes && t.released < len(t.ended) {
		t.releaseAnswer(t.ended[t.released])
		t.released++
	}
	drop := 0
	for drop < len(t.ended) && t.ended[drop].retention.Before(now) {
		t.releaseAnswer(t.ended[drop])
		delete(t.jobs, t.ended[drop].ID)
		drop++
	}
	t.ended = t.ended[drop:]
	t.released = max(0, t.released-drop)
	for id, until := range t.fences {
		if until.Before(now) {
			delete(t.fences, id)
		}
	}
}

func (t *Table) releaseAnswer(j *Job) {
	for _, r := range j.answer.Results {
		t.answerBytes -= len(r)
	}
	if j.answer.Results != nil {
		j.answer = &Answer{ID: j.ID, Code: result.AnswerReleased, Breakdown: j.answer.Breakdown}
	}
}

type deadlineHeap []*Job

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, k int) bool { return h[i].Deadline.Before(h[k].Deadline) }
func (h deadlineHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *deadlineHeap) Push(x any)        { *h = append(*h, x.(*Job)) }
func (h *deadlineHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
