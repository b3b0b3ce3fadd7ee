// Package job is the state machine of the jobs submitted to one host. It
// decides whether a submission is a new job, repeats a known one or conflicts
// with it, and composes the answer, which holds the results of all tasks or a
// failure code.
//
// A repetition is a submission of a key that the caller has, or may have,
// submitted before, for example because the answer was lost.
//
// A start of a task is disproved when it is certain that the minion did not
// run the task. The package allows each task at most one start that was not
// disproved, so that no task runs twice.
//
// The package is deterministic: callers pass the current time; it does no I/O,
// starts no goroutine and reads no clock.
package job

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// ID identifies a job. The caller chooses the key, which is unique within the
// team.
type ID struct {
	Team string
	Key  string
}

// String returns "team/key".
func (id ID) String() string { return id.Team + "/" + id.Key }

// TaskID identifies one task of a job by its index in the submission.
type TaskID struct {
	Job   ID
	Index int
}

// Size is the declared resource demand of one task. The zero value declares
// nothing.
type Size struct {
	MilliCPU     int // thousandths of a processor
	MemoryMB     int
	Accelerators int
	Run          time.Duration // run time; zero when not declared
}

// Task is one unit of work of a submission.
type Task struct {
	Payload  []byte
	Size     Size
	NoRepeat bool // the caller declared the task not idempotent
}

// Submission is a caller's request to run a job. Record files contain it as
// JSON under its field names, like Outcome and Limits.
type Submission struct {
	ID          ID
	Attempt     int // 1 for the first; 0 when the caller does not number attempts
	Service     string
	SubmittedAt time.Time // on the caller's clock
	Deadline    time.Time // on the host's clock
	Digest      uint64    // hash of the body; detects a key used for two different jobs
	Tasks       []Task

	Receive    time.Duration // from the first byte of the request to its last
	ReceivedAt time.Time     // when the last byte arrived; zero when unknown
	Control    time.Duration // spent on locating the owner of the key
	Trace      string        // W3C trace context of the request, when sampled
}

// State is the state of one task.
type State uint8

// Task states. A task may start in state Queued only.
const (
	Queued State = iota
	Started
	Done
	Failed
	Unknown   // may have run; its outcome is unknown
	Withdrawn // never started, and will not start
)

// Outcome is the outcome of one start of a task.
type Outcome struct {
	Code   result.Code   // OK, TaskFailed, StartUnknown or AnswerMismatch; any code when another host dispatched the job
	Result []byte        // the minion's response body
	Detail string        // failure text
	Run    time.Duration // the service's run time as the minion measured it; zero when not reported
	Trip   time.Duration // round trip from sending the request to its response, on the host's clock
	Own    time.Duration // the minion's total time for the task, Run included; equals Run when not reported
	SentAt time.Time     // when the request was sent; zero when unknown
}

// Answer is the final answer to a submission.
type Answer struct {
	ID        ID
	Code      result.Code
	Detail    string
	Results   [][]byte // one per task, only when Code is result.OK
	Breakdown Breakdown

	Service  string    // empty when another host owns the job
	Accepted time.Time // zero when another host owns the job
}

// Breakdown splits the time until the answer into its parts, for one task of the
// job: the last one to end, or an unfinished one when the job ended at its
// deadline. The host measures all durations on its own clock, except Run and
// Own, which the minion reports. When Peer is set, the host has the durations of
// the task, and PeerHeld, from Peer.
type Breakdown struct {
	Total   time.Duration // from acceptance of the job to its answer
	Queue   time.Duration // total time in the queue, without the time in disproved starts
	Trip    time.Duration // round trip from sending the task to its response
	Run     time.Duration // the service's run time as the minion measured it; zero when not reported
	Minion  string        // minion of the task
	Task    int           // index of the task
	Retries int           // disproved starts of all tasks of the job

	Receive   time.Duration // from the first byte of the request to its last
	Admit     time.Duration // from the last byte of the request to acceptance, without Control
	Control   time.Duration // spent on locating the owner of the key
	Refused   time.Duration // spent in disproved starts of the task
	RefusedBy string        // minion of the last disproved start
	Handoff   time.Duration // from the decision to start the task until its request was sent
	Own       time.Duration // the minion's total time for the task, Run included
	Open      time.Duration // from the start of a task without an outcome to the job's answer
	Collect   time.Duration // from the minion's response until the host processed it
	Pause     time.Duration // part of Queue, Trip or Open during which this host's process was paused
	Peer      string        // other host that this host got the answer from: the job's owner or the host that dispatched the job
	PeerTrip  time.Duration // from asking Peer, or from acceptance of a job that Peer dispatched, to its answer
	PeerHeld  time.Duration // processing time of Peer, part of PeerTrip
	Encode    time.Duration // to encode the answer
	Write     time.Duration // until the answer was written to the caller's connection
	Verdict   Verdict
}

// task is the state of one task of a job.
type task struct {
	state     State
	starts    int // including disproved ones
	disproved int // disproved starts
	minion    string
	queuedAt  time.Time
	startedAt time.Time
	outcome   Outcome

	earlierQueued time.Duration // time in the queue before disproved starts
	disprovedTime time.Duration // time spent in disproved starts
	refusedBy     string
}

// Job is one accepted submission and the state of its tasks.
type Job struct {
	Submission
	Accepted time.Time

	tasks         []task
	queued        int
	running       int
	done          int
	retries       int
	stopCode      result.Code // first reason to start no more tasks; OK when there is none
	detail        string
	ended         bool
	answer        *Answer
	retainUntil   time.Time
	activeBytes   int // payloads and results counted in the table's activeBytes
	deadlineIndex int // index in the table's heap of deadlines; valid until the job has ended
}

// Queued returns the number of queued tasks.
func (j *Job) Queued() int { return j.queued }

// Running returns the number of started tasks without an outcome.
func (j *Job) Running() int { return j.running }

// Done returns the number of tasks that succeeded.
func (j *Job) Done() int { return j.done }

// Ended reports whether the answer is final.
func (j *Job) Ended() bool { return j.ended }

// Answer returns the final answer, or nil while the job is in progress.
func (j *Job) Answer() *Answer { return j.answer }

// NextQueued returns the index of the first queued task at or after from, or
// -1 when there is none.
func (j *Job) NextQueued(from int) int {
	for i := from; i < len(j.tasks); i++ {
		if j.tasks[i].state == Queued {
			return i
		}
	}
	return -1
}

// EachStarted calls f for each task in progress.
func (j *Job) EachStarted(f func(index int, minion string)) {
	for i := range j.tasks {
		if j.tasks[i].state == Started {
			f(i, j.tasks[i].minion)
		}
	}
}

// withdraw withdraws the queued tasks.
func (j *Job) withdraw() {
	for i := range j.tasks {
		if j.tasks[i].state == Queued {
			j.tasks[i].state = Withdrawn
		}
	}
	j.queued = 0
}

// stop withdraws the queued tasks and records the reason, unless the job has
// been stopped before.
func (j *Job) stop(code result.Code, detail string) {
	if j.stopCode == result.OK {
		j.stopCode = code
		j.detail = detail
	}
	j.withdraw()
}

// anyRan reports whether a task is known to have run.
func (j *Job) anyRan() bool {
	for i := range j.tasks {
		if j.tasks[i].state == Done || j.tasks[i].state == Failed {
			return true
		}
	}
	return false
}

// anyMayHaveRun reports whether a task has been started and its outcome is not
// known.
func (j *Job) anyMayHaveRun() bool {
	for i := range j.tasks {
		if j.tasks[i].state == Started || j.tasks[i].state == Unknown {
			return true
		}
	}
	return false
}

// codeByProgress returns maybe when a task may have run without a known
// outcome, ran when at least one task ran, and notRun otherwise.
func (j *Job) codeByProgress(notRun, ran, maybe result.Code) result.Code {
	switch {
	case j.anyMayHaveRun():
		return maybe
	case j.anyRan():
		return ran
	default:
		return notRun
	}
}

// finalCode returns the code of a job without tasks in progress. Its class
// (not run, ran, may have run) follows from what the tasks did, which can
// differ from the class of the code that stopped the job.
func (j *Job) finalCode() result.Code {
	switch {
	case j.stopCode == result.OK:
		return result.OK
	case j.stopCode == result.CancelledNotRun:
		return j.codeByProgress(result.CancelledNotRun, result.CancelledRan, result.CancelledUnknown)
	case j.stopCode.Class() == result.Ran:
		return j.codeByProgress(j.stopCode, j.stopCode, result.StartUnknown)
	default:
		return j.codeByProgress(j.stopCode, result.TaskFailed, result.StartUnknown)
	}
}

// breakdown returns the durations of the answer at now for the task with index
// last.
func (j *Job) breakdown(now time.Time, last int) Breakdown {
	t := &j.tasks[last]
	b := Breakdown{
		Total: now.Sub(j.Accepted), Task: last, Retries: j.retries, Minion: t.minion,
		Receive: j.Receive, Control: j.Control, Refused: t.disprovedTime, RefusedBy: t.refusedBy,
		Trip: t.outcome.Trip, Run: t.outcome.Run, Own: t.outcome.Own,
	}
	if !j.ReceivedAt.IsZero() {
		b.Admit = max(0, j.Accepted.Sub(j.ReceivedAt)-j.Control)
	}
	if t.starts == t.disproved {
		b.Queue = t.earlierQueued + now.Sub(t.queuedAt)
		return b
	}
	b.Queue = t.earlierQueued + t.startedAt.Sub(t.queuedAt)
	if t.state == Started {
		b.Open = now.Sub(t.startedAt)
	}
	if sent := t.outcome.SentAt; !sent.IsZero() {
		b.Handoff = max(0, sent.Sub(t.startedAt))
		b.Collect = max(0, now.Sub(sent)-t.outcome.Trip)
	}
	return b
}

// end withdraws the queued tasks and composes the final answer.
func (j *Job) end(now time.Time, code result.Code, detail string, last int) *Answer {
	a := &Answer{ID: j.ID, Code: code, Detail: detail, Breakdown: j.breakdown(now, last), Service: j.Service, Accepted: j.Accepted}
	if code == result.OK {
		a.Results = make([][]byte, len(j.tasks))
		for i := range j.tasks {
			a.Results[i] = j.tasks[i].outcome.Result
		}
	}
	j.withdraw()
	j.ended = true
	j.answer = a
	return a
}

// Retries returns the number of disproved starts.
func (j *Job) Retries() int { return j.retries }
