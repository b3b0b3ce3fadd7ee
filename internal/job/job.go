// Package job is the state machine of submitted jobs on one host. It decides
// whether a submission is new, a repetition or a conflict, allows each task at
// most one start that was not disproved, and composes the answer, which is
// either complete or a failure.
//
// The package is pure: every method takes the current time and returns what
// follows; it does no I/O, starts no goroutine and reads no clock.
package job

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// ID identifies a job: the key is chosen by the caller and scoped by the team.
type ID struct {
	Team string
	Key  string
}

// String returns "team/key".
func (id ID) String() string { return id.Team + "/" + id.Key }

// TaskID identifies one task of a job.
type TaskID struct {
	Job   ID
	Index int
}

// Size is the declared need of one task.
type Size struct {
	MilliCPU     int // thousandths of a processor
	MemoryMB     int
	Accelerators int
	Run          time.Duration // declared run time, zero when not declared
}

// Task is one unit of work of a submission.
type Task struct {
	Payload  []byte
	Size     Size
	NoRepeat bool // the caller marked the task as not idempotent
}

// Submission is a caller's request.
type Submission struct {
	ID          ID
	Attempt     int // 1 for the first; 0 when the caller does not say
	Service     string
	SubmittedAt time.Time // the caller's clock
	Deadline    time.Time // the host's clock
	Digest      uint64    // hash of the body, to detect a key used twice
	Tasks       []Task

	Receive    time.Duration // from the first byte of the request to its last
	ReceivedAt time.Time     // the last byte; zero when not known
	Control    time.Duration // looking for the owner of the key
	Trace      string        // W3C trace context of the request, when sampled
}

// State is the state of one task.
type State uint8

// Task states. Queued is the only one from which a task may start.
const (
	Queued State = iota
	Started
	Done
	Failed
	Unknown   // may have run, outcome never learned
	Withdrawn // will not start
)

// Outcome is what became of one start.
type Outcome struct {
	Code   result.Code   // OK, TaskFailed, StartUnknown or AnswerMismatch
	Result []byte        // the minion's answer
	Detail string        // failure text
	Run    time.Duration // the minion's own run time, zero when not given
	Trip   time.Duration // from sending to the answer, on the host's clock
	Own    time.Duration // the minion's whole time for the task; the run when not given
	SentAt time.Time     // when the request was sent; zero when not known
}

// Answer is the whole answer to one submission.
type Answer struct {
	ID        ID
	Code      result.Code
	Detail    string
	Results   [][]byte // one per task, only when Code is result.OK
	Breakdown Breakdown

	Service  string    // empty when another host owns the job
	Accepted time.Time // zero when another host owns the job
}

// Breakdown tells where the time of the answer's last task went. All
// durations are differences on the host's own clock, but for Run.
type Breakdown struct {
	Total   time.Duration // from acceptance to the answer
	Queue   time.Duration // from acceptance, or the last disproved start, to the start
	Trip    time.Duration // from sending the task to its answer
	Run     time.Duration // the minion's own run time, zero when not given
	Minion  string        // minion of the last task
	Task    int           // index of the last task
	Retries int           // disproved starts in the whole job

	Receive   time.Duration // from the first byte of the request to its last
	Admit     time.Duration // from the last byte to acceptance, without Control
	Control   time.Duration // looking for the owner of the key
	Refused   time.Duration // in disproved starts of the task
	RefusedBy string        // minion of the last of them
	Handoff   time.Duration // from the decision to start until the request was sent
	Own       time.Duration // the minion's whole time for the task
	Open      time.Duration // since the start of a task that was not answered
	Collect   time.Duration // from the minion's answer until the host decided on it
	Pause     time.Duration // of the trip, during which the host stood still
	Peer      string        // owner of the job, when it is another host
	PeerTrip  time.Duration // from asking the owner to its answer
	PeerHeld  time.Duration // of PeerTrip, the owner's own time
	Encode    time.Duration // of the answer
	Write     time.Duration // until the caller's connection had taken the answer
	Verdict   Verdict
}

type task struct {
	state    State
	starts   int
	disprove int
	minion   string
	queued   time.Time
	started  time.Time
	outcome  Outcome

	waited    time.Duration // queued before disproved starts
	refused   time.Duration // in disproved starts
	refusedBy string
}

// Job is one accepted submission.
type Job struct {
	Submission
	Accepted time.Time

	tasks     []task
	queued    int
	running   int
	done      int
	retries   int
	stopCode  result.Code // first reason to stop; OK while none
	detail    string
	ended     bool
	answer    *Answer
	retention time.Time
	bytes     int // payloads and results that count as active
	heapIndex int // in the table's heap of deadlines, until the job has ended
}

// Queued returns the number of tasks that may still start.
func (j *Job) Queued() int { return j.queued }

// Running returns the number of tasks in progress.
func (j *Job) Running() int { return j.running }

// Done returns the number of finished tasks.
func (j *Job) Done() int { return j.done }

// Ended reports whether the answer is final.
func (j *Job) Ended() bool { return j.ended }

// Answer returns the final answer, nil while the job is in progress.
func (j *Job) Answer() *Answer { return j.answer }

// NextQueued returns the lowest index at or above from that may start, or -1.
func (j *Job) NextQueued(from int) int {
	for i := from; i < len(j.tasks); i++ {
		if j.tasks[i].state == Queued {
			return i
		}
	}
	return -1
}

// Started calls f for each task in progress.
func (j *Job) Started(f func(index int, minion string)) {
	for i := range j.tasks {
		if j.tasks[i].state == Started {
			f(i, j.tasks[i].minion)
		}
	}
}

func (j *Job) withdraw() {
	for i := range j.tasks {
		if j.tasks[i].state == Queued {
			j.tasks[i].state = Withdrawn
		}
	}
	j.queued = 0
}

// stop records the first reason not to go on and withdraws queued tasks.
func (j *Job) stop(code result.Code, detail string) {
	if j.stopCode == result.OK {
		j.stopCode = code
		j.detail = detail
	}
	j.withdraw()
}

func (j *Job) anyRan() bool {
	for i := range j.tasks {
		if j.tasks[i].state == Done || j.tasks[i].state == Failed {
			return true
		}
	}
	return false
}

func (j *Job) anyUnknown() bool {
	for i := range j.tasks {
		if j.tasks[i].state == Started || j.tasks[i].state == Unknown {
			return true
		}
	}
	return false
}

// byProgress picks the code that is true of what has started so far.
func (j *Job) byProgress(notRun, ran, maybe result.Code) result.Code {
	switch {
	case j.anyUnknown():
		return maybe
	case j.anyRan():
		return ran
	default:
		return notRun
	}
}

// finalCode is the code of a job without tasks in progress that is true of
// what its tasks did, whatever the reason to stop was at first.
func (j *Job) finalCode() result.Code {
	switch {
	case j.stopCode == result.OK:
		return result.OK
	case j.stopCode == result.CancelledNotRun:
		return j.byProgress(result.CancelledNotRun, result.CancelledRan, result.CancelledMaybe)
	case j.stopCode.Class() == result.Ran:
		return j.byProgress(j.stopCode, j.stopCode, result.StartUnknown)
	default:
		return j.byProgress(j.stopCode, result.TaskFailed, result.StartUnknown)
	}
}

func (j *Job) breakdown(now time.Time, last int) Breakdown {
	t := &j.tasks[last]
	b := Breakdown{
		Total: now.Sub(j.Accepted), Task: last, Retries: j.retries, Minion: t.minion,
		Receive: j.Receive, Control: j.Control, Refused: t.refused, RefusedBy: t.refusedBy,
		Trip: t.outcome.Trip, Run: t.outcome.Run, Own: t.outcome.Own,
	}
	if !j.ReceivedAt.IsZero() {
		b.Admit = max(0, j.Accepted.Sub(j.ReceivedAt)-j.Control)
	}
	if t.starts == t.disprove {
		b.Queue = t.waited + now.Sub(t.queued)
		return b
	}
	b.Queue = t.waited + t.started.Sub(t.queued)
	if t.state == Started {
		b.Open = now.Sub(t.started)
	}
	if sent := t.outcome.SentAt; !sent.IsZero() {
		b.Handoff = max(0, sent.Sub(t.started))
		b.Collect = max(0, now.Sub(sent)-t.outcome.Trip)
	}
	return b
}

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
