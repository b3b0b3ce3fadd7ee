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
	MaxActiveBytes int           // payloads and results of jobs in progress; 0: no bound
	MaxJobBytes    int           // payloads and results of one job; 0: no bound
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
	jobs        map[ID]*Job // in progress, or ended with tasks in progress
	active      int
	activeBytes int
	deadlines   deadlineHeap // of the jobs that have not ended
	records                  // of the other keys
}

// NewTable returns an empty table of a process that started at startedAt.
func NewTable(l Limits, startedAt time.Time) *Table {
	return &Table{limits: l, startedAt: startedAt, jobs: make(map[ID]*Job), records: newRecords(startedAt)}
}

// Get returns the job with the given identity, or nil. Of a job that ended and
// has no task in progress, only the identity and the answer are left.
func (t *Table) Get(id ID) *Job {
	if j := t.jobs[id]; j != nil {
		return j
	}
	if r, ok := t.ended[id]; ok {
		return r.job(id)
	}
	return nil
}

// Active returns the number of jobs in progress.
func (t *Table) Active() int { return t.active }

// Records returns the number of keys remembered.
func (t *Table) Records() int { return len(t.jobs) + len(t.ended) + len(t.fences) }

// Each calls f for every remembered job until f returns false, those in
// progress first.
func (t *Table) Each(f func(*Job) bool) {
	for _, j := range t.jobs {
		if !f(j) {
			return
		}
	}
	for id, r := range t.ended {
		if !f(r.job(id)) {
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
	if j := t.Get(s.ID); j != nil {
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
	t.hold(j, s.bytes())
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
	if err := t.Expired(now, s); err != nil {
		return err
	}
	switch {
	case now.Sub(s.SubmittedAt) < -t.limits.ClockError:
		return result.Errorf(result.InvalidField, "submitted_at_ms is in the future by more than the tolerated clock error")
	case t.active >= t.limits.MaxActive:
		return result.Errorf(result.QueueFull, "%d jobs in progress", t.active)
	case !t.roomFor(s.bytes()):
		return result.Errorf(result.QueueFull, "%d bytes of payloads and results in progress", t.activeBytes)
	case t.full():
		return result.Errorf(result.QueueFull, "%d keys remembered", t.Records())
	}
	return nil
}

// Expired refuses submissions that are older than the key lifetime. The record
// of an earlier attempt may be gone by then, so only a first one did not run.
func (t *Table) Expired(now time.Time, s *Submission) *result.Error {
	age := now.Sub(s.SubmittedAt)
	switch {
	case age <= t.limits.KeyLifetime:
		return nil
	case s.Attempt == 1:
		return result.Errorf(result.Expired, "submitted %v ago, key lifetime %v", age, t.limits.KeyLifetime)
	default:
		return result.Errorf(result.OwnerUnknown, "submitted %v ago, key lifetime %v: the record of an earlier attempt may be gone", age, t.limits.KeyLifetime)
	}
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

// Fence refuses the key's first attempt, and every one below the given number,
// from now on. It fails when a later attempt was fenced before, which may have
// been answered as not run, or when there is no room.
func (t *Table) Fence(id ID, submittedAt time.Time, attempt int) *result.Error {
	f, known := t.fences[id]
	switch {
	case attempt < f.attempt:
		return result.Errorf(result.OwnerUnknown, "a later attempt than %d was submitted", attempt)
	case !known && t.full():
		return result.Errorf(result.OwnerUnknown, "no room to fence the key")
	}
	t.fence(id, t.retention(submittedAt), attempt)
	return nil
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
	j, k := t.task(id)
	if k == nil {
		return nil
	}
	k.disprove++
	j.retries++
	j.running--
	k.waited += k.started.Sub(k.queued)
	k.refused += now.Sub(k.started)
	k.refusedBy = k.minion
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
	j, k := t.task(id)
	if k == nil {
		return nil
	}
	j.running--
	k.outcome = o
	switch {
	case o.Code == result.OK:
		k.state = Done
		j.done++
		t.holdResult(j, k)
	case o.Code.Class() == result.Ran:
		k.state = Failed
		j.stop(o.Code, o.Detail)
	default:
		k.state = Unknown
		j.stop(o.Code, o.Detail)
	}
	return t.settle(now, j, id.Index)
}

// settle ends j when nothing more can change its answer. An unknown outcome
// ends it at once; every other reason waits for the tasks in progress.
func (t *Table) settle(now time.Time, j *Job, last int) *Answer {
	switch {
	case j.ended:
		t.archive(j)
		return nil
	case j.stopCode.Class() == result.MayHaveRun:
		return t.end(now, j, j.stopCode, j.detail, last)
	case j.running > 0 || j.queued > 0:
		return nil
	default:
		return t.end(now, j, j.finalCode(), j.detail, last)
	}
}

func (t *Table) end(now time.Time, j *Job, code result.Code, detail string, last int) *Answer {
	a := j.end(now, code, detail, last)
	invariant.Check(code != result.OK || j.done == len(j.tasks), "job %s complete with %d of %d tasks", j.ID, j.done, len(j.tasks))
	invariant.Check(code.Class() != result.NotRun || !(j.anyRan() || j.anyUnknown()), "job %s answered %s after a start", j.ID, code)
	t.active--
	t.hold(j, -j.bytes)
	j.Tasks = nil // payloads are no longer needed
	j.dropResults()
	heap.Remove(&t.deadlines, j.heapIndex)
	t.archive(j)
	return a
}

// archive keeps only the record of an ended job, once no task is in progress.
func (t *Table) archive(j *Job) {
	if !j.ended || j.running > 0 {
		return
	}
	delete(t.jobs, j.ID)
	t.addEnded(j)
}

// Refuse withdraws queued tasks for a reason of class "not run". The answer
// follows when no task is in progress: the code itself when nothing ran.
func (t *Table) Refuse(now time.Time, id ID, code result.Code, detail string) *Answer {
	j := t.jobs[id]
	if j == nil || j.ended {
		return nil
	}
	j.stop(code, detail)
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
		j := t.deadlines[0]
		code := j.byProgress(result.DeadlineNotRun, result.DeadlineRan, result.DeadlineUnknown)
		j.withdraw()
		out = append(out, t.end(now, j, code, "deadline passed", j.lastOpen()))
	}
	t.releaseBeyond(t.limits.MaxAnswerBytes)
	t.expire(now)
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

type deadlineHeap []*Job

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, k int) bool { return h[i].Deadline.Before(h[k].Deadline) }
func (h deadlineHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapIndex = i
	h[k].heapIndex = k
}
func (h *deadlineHeap) Push(x any) {
	j := x.(*Job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
