package job

import (
	"container/heap"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/invariant"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Limits bounds the table's contents.
type Limits struct {
	MaxActive      int           // jobs in progress
	MaxRecords     int           // remembered keys: of jobs in progress, ended jobs and fences
	MaxAnswerBytes int           // approximate memory of the answers of ended jobs, kept for later fetches
	MaxActiveBytes int           // payloads and results of all jobs in progress; 0: no limit
	MaxJobBytes    int           // payloads and results of one job; 0: no limit
	KeyLifetime    time.Duration // since SubmittedAt; older submissions are refused
	ClockError     time.Duration // tolerated difference between the clocks of hosts and callers
}

// Admission is the table's decision about a submission.
type Admission uint8

// Admission decisions.
const (
	Refused  Admission = iota
	Accepted           // a new job was created
	Attached           // repeats a job in progress and will get its answer
	Replayed           // repeats an ended job, whose final answer is available
)

// Table holds the jobs of one host.
type Table struct {
	limits      Limits
	startedAt   time.Time
	jobs        map[ID]*Job  // in progress, or ended with tasks in progress
	active      int          // jobs in progress
	activeBytes int          // payloads and results of the jobs in progress
	deadlines   deadlineHeap // of the jobs that have not ended
	records                  // of all other remembered keys
}

// NewTable returns an empty table. startedAt is when this process started: the
// table has no record of keys submitted before.
func NewTable(l Limits, startedAt time.Time) *Table {
	return &Table{limits: l, startedAt: startedAt, jobs: make(map[ID]*Job), records: newRecords(startedAt)}
}

// Get returns the job with the given ID, or nil. For an ended job without tasks
// in progress the returned Job holds only the ID, the digest and the answer.
func (t *Table) Get(id ID) *Job {
	if j := t.jobs[id]; j != nil {
		return j
	}
	if r, ok := t.ended[id]; ok {
		return r.asJob(id)
	}
	return nil
}

// Active returns the number of jobs in progress.
func (t *Table) Active() int { return t.active }

// Records returns the number of remembered keys: of jobs in progress, ended
// jobs and fences.
func (t *Table) Records() int { return len(t.jobs) + len(t.ended) + len(t.fences) }

// Each calls f for every remembered job until f returns false. Jobs in progress
// and ended jobs with tasks in progress come before the other ended jobs.
func (t *Table) Each(f func(*Job) bool) {
	for _, j := range t.jobs {
		if !f(j) {
			return
		}
	}
	for id, r := range t.ended {
		if !f(r.asJob(id)) {
			return
		}
	}
}

// EachActive calls f for every job in progress. Its cost is independent of the
// number of ended jobs remembered.
func (t *Table) EachActive(f func(*Job)) {
	for _, j := range t.deadlines {
		if !j.Ended() {
			f(j)
		}
	}
}

// Submit accepts s as a new job, attaches it to a known one or refuses it.
// located says that every host that could own the key has fenced it, or that the
// owner has forwarded the job here, so that a repetition may run on this host.
func (t *Table) Submit(now time.Time, s *Submission, located bool) (*Job, Admission, *result.Error) {
	if j := t.Get(s.ID); j != nil {
		return t.handleRepetition(j, s)
	}
	if err := t.checkAdmission(now, s, located); err != nil {
		return nil, Refused, err
	}
	j := &Job{Submission: *s, Accepted: now, tasks: make([]task, len(s.Tasks)), queued: len(s.Tasks)}
	for i := range j.tasks {
		j.tasks[i].queuedAt = now
	}
	j.retainUntil = t.retainUntil(s.SubmittedAt)
	t.jobs[s.ID] = j
	delete(t.fences, s.ID)
	t.active++
	t.addActiveBytes(j, s.payloadBytes())
	heap.Push(&t.deadlines, j)
	return j, Accepted, nil
}

func (t *Table) handleRepetition(j *Job, s *Submission) (*Job, Admission, *result.Error) {
	if j.Digest != s.Digest {
		return nil, Refused, result.Errorf(result.KeyConflict, "key %q was submitted with another body", s.ID.Key)
	}
	if j.ended {
		return j, Replayed, nil
	}
	return j, Attached, nil
}

// checkAdmission returns an error unless s may become a new job on this host,
// which has no job for its key. Codes of class "not run" are returned only for
// a first attempt and for a located repetition: any other submission may have
// run on another host.
func (t *Table) checkAdmission(now time.Time, s *Submission, located bool) *result.Error {
	if !located {
		if err := t.checkOwnership(s); err != nil {
			return err
		}
	}
	if err := t.CheckKeyLifetime(now, s); err != nil {
		return err
	}
	switch {
	case now.Sub(s.SubmittedAt) < -t.limits.ClockError:
		return result.Errorf(result.InvalidField, "submitted_at_ms is in the future by more than the tolerated clock error")
	case t.active >= t.limits.MaxActive:
		return result.Errorf(result.QueueFull, "%d jobs in progress", t.active)
	case !t.fitsActiveBytes(s.payloadBytes()):
		return result.Errorf(result.QueueFull, "%d bytes of payloads and results in progress", t.activeBytes)
	case t.recordsFull():
		return result.Errorf(result.QueueFull, "%d keys remembered", t.Records())
	}
	return nil
}

// CheckKeyLifetime returns an error for submissions older than the key
// lifetime. By then the record of an earlier attempt may have expired, so only a
// first attempt is certain not to have run.
func (t *Table) CheckKeyLifetime(now time.Time, s *Submission) *result.Error {
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

// checkOwnership returns an error when another host, or an earlier process of
// this host, may have accepted the submission's key.
func (t *Table) checkOwnership(s *Submission) *result.Error {
	_, fenced := t.fences[s.ID]
	switch {
	case s.Attempt != 1:
		return result.Errorf(result.OwnerUnknown, "attempt %d: an earlier attempt may have run elsewhere", s.Attempt)
	case fenced:
		return result.Errorf(result.OwnerUnknown, "a later attempt was located elsewhere")
	case t.MayHaveForgotten(s.SubmittedAt):
		return result.Errorf(result.OwnerUnknown, "submitted before this process could have recorded the key")
	}
	return nil
}

// MayHaveForgotten reports whether an earlier process of this host, whose
// records are lost, may have accepted or fenced a key submitted at that time.
func (t *Table) MayHaveForgotten(submittedAt time.Time) bool {
	return submittedAt.Before(t.startedAt.Add(t.limits.ClockError))
}

func (t *Table) recordsFull() bool { return t.Records() >= t.limits.MaxRecords }

// Fence makes this host refuse the key's first attempt and every attempt below
// the given number from now on. It fails when a later attempt has fenced the
// key before, because that attempt may have been answered as not run, and when
// the table has reached MaxRecords.
func (t *Table) Fence(id ID, submittedAt time.Time, attempt int) *result.Error {
	f, known := t.fences[id]
	switch {
	case attempt < f.attempt:
		return result.Errorf(result.OwnerUnknown, "a later attempt than %d was submitted", attempt)
	case !known && t.recordsFull():
		return result.Errorf(result.OwnerUnknown, "no room to fence the key")
	}
	t.fence(id, t.retainUntil(submittedAt), attempt)
	return nil
}

// retainUntil returns the time until which a key is remembered. After it, even
// a host whose clock is behind by ClockError refuses the key as too old.
func (t *Table) retainUntil(submittedAt time.Time) time.Time {
	return submittedAt.Add(t.limits.KeyLifetime + t.limits.ClockError)
}

// Start records that a task is about to be sent to a minion. It reports whether
// the start is allowed. A start that is not allowed breaks an invariant: the
// caller asked for a second start, or for a job that is not in progress.
func (t *Table) Start(now time.Time, id TaskID, minion string) bool {
	j := t.jobs[id.Job]
	if !invariant.Check(j != nil && !j.ended, "start of task %d of ended or unknown job %s", id.Index, id.Job) {
		return false
	}
	k := &j.tasks[id.Index]
	if !invariant.Check(k.state == Queued && k.starts == k.disproved, "second start of task %d of job %s", id.Index, id.Job) {
		return false
	}
	k.state = Started
	k.starts++
	k.minion = minion
	k.startedAt = now
	j.queued--
	j.running++
	return true
}

// Disprove records that a start never reached the minion, or that the minion
// refused it before running the task. The task is queued again unless the job
// has ended or was stopped. Disprove returns the answer if this ends the job.
func (t *Table) Disprove(now time.Time, id TaskID) *Answer {
	j, k := t.startedTask(id)
	if k == nil {
		return nil
	}
	k.disproved++
	j.retries++
	j.running--
	k.earlierQueued += k.startedAt.Sub(k.queuedAt)
	k.disprovedTime += now.Sub(k.startedAt)
	k.refusedBy = k.minion
	k.queuedAt = now
	if j.ended || j.stopCode != result.OK {
		k.state = Withdrawn
		return t.endIfDecided(now, j, id.Index)
	}
	k.state = Queued
	j.queued++
	return nil
}

// Finish records the outcome of a start. It returns the answer if this ends the
// job, and nil otherwise.
func (t *Table) Finish(now time.Time, id TaskID, o Outcome) *Answer {
	j, k := t.startedTask(id)
	if k == nil {
		return nil
	}
	j.running--
	k.outcome = o
	switch {
	case o.Code == result.OK:
		k.state = Done
		j.done++
		t.keepResult(j, k)
	case o.Code.Class() == result.Ran:
		k.state = Failed
		j.stop(o.Code, o.Detail)
	default:
		k.state = Unknown
		j.stop(o.Code, o.Detail)
	}
	return t.endIfDecided(now, j, id.Index)
}

// endIfDecided ends j and returns its answer when the tasks in progress can't
// change the answer any more. An unknown outcome ends the job at once; in every
// other case the answer waits for the tasks in progress. A job that has ended
// already is archived instead. last is the index of the task that the answer's
// Breakdown describes.
func (t *Table) endIfDecided(now time.Time, j *Job, last int) *Answer {
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
	invariant.Check(code != result.OK || j.done == len(j.tasks), "job %s answered as complete with %d of %d tasks done", j.ID, j.done, len(j.tasks))
	invariant.Check(code.Class() != result.NotRun || !(j.anyRan() || j.anyMayHaveRun()), "job %s answered %s although a task may have run", j.ID, code)
	t.active--
	t.addActiveBytes(j, -j.activeBytes)
	j.Tasks = nil // payloads are no longer needed
	j.dropResults()
	heap.Remove(&t.deadlines, j.deadlineIndex)
	t.archive(j)
	return a
}

// archive replaces an ended job by its record when no task is in progress.
func (t *Table) archive(j *Job) {
	if !j.ended || j.running > 0 {
		return
	}
	delete(t.jobs, j.ID)
	t.addEnded(j)
}

// Refuse withdraws the queued tasks of a job for a reason whose code is of class
// "not run". It returns the answer when no task is in progress; otherwise the
// job ends with its last task. The answer has the given code only if no task
// ran or may have run.
func (t *Table) Refuse(now time.Time, id ID, code result.Code, detail string) *Answer {
	j := t.jobs[id]
	if j == nil || j.ended {
		return nil
	}
	j.stop(code, detail)
	return t.endIfDecided(now, j, 0)
}

// Cancel withdraws the queued tasks of a job. It returns the answer when no task
// is in progress; otherwise the job ends with its last task. Cancel does not
// stop the started tasks: its caller does.
func (t *Table) Cancel(now time.Time, id ID) *Answer {
	j := t.jobs[id]
	if j == nil || j.ended {
		return nil
	}
	j.stop(result.CancelledNotRun, "cancelled by the caller")
	return t.endIfDecided(now, j, 0)
}

// Tick ends the jobs whose deadline has passed and returns their answers. It
// also releases answers beyond MaxAnswerBytes and deletes expired records.
func (t *Table) Tick(now time.Time) []*Answer {
	var out []*Answer
	for len(t.deadlines) > 0 && !t.deadlines[0].Deadline.After(now) {
		j := t.deadlines[0]
		code := j.codeByProgress(result.DeadlineNotRun, result.DeadlineRan, result.DeadlineUnknown)
		j.withdraw()
		out = append(out, t.end(now, j, code, "deadline passed", j.firstUnfinished()))
	}
	t.limitAnswerBytes(t.limits.MaxAnswerBytes)
	t.expire(now)
	return out
}

// firstUnfinished returns the index of the first task that is not done, or 0.
func (j *Job) firstUnfinished() int {
	for i := range j.tasks {
		if j.tasks[i].state != Done {
			return i
		}
	}
	return 0
}

// deadlineHeap orders jobs by deadline, the earliest first. It implements
// heap.Interface.
type deadlineHeap []*Job

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, k int) bool { return h[i].Deadline.Before(h[k].Deadline) }
func (h deadlineHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].deadlineIndex = i
	h[k].deadlineIndex = k
}
func (h *deadlineHeap) Push(x any) {
	j := x.(*Job)
	j.deadlineIndex = len(*h)
	*h = append(*h, j)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
