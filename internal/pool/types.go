package pool

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// TaskRef names one task of a job.
type TaskRef struct {
	Job   string
	Step  int
	Index int
}

// Start tells a minion to run a task.
type Start struct {
	Minion  string
	Address string
	Task    TaskRef
	Run     int // number of the task's start, rising from 1
	Payload string
	Token   uint64
	UntilMS int64 // end of the lease on the minion's clock
}

// Stop tells a minion to end a run, and to refuse it if it comes later.
type Stop struct {
	Minion  string
	Address string
	Task    TaskRef
	Run     int
	Token   uint64
}

// Hold asks a minion what runs and what has ended, and renews its lease.
type Hold struct {
	Minion   string
	Address  string
	Token    uint64
	Serial   uint64 // identifies the call in Held
	LastSeen uint64 // ends up to this one are not listed again
	UntilMS  int64  // 0: does not renew
	Wait     time.Duration
}

// Answer classifies a minion's answer to an order.
type Answer uint8

// Answers. Only AnswerUnknown leaves open whether the order was carried out.
const (
	AnswerOK           Answer = iota + 1
	AnswerFenced              // the minion has seen a higher token
	AnswerOld                 // not higher than a run that was stopped or has ended there
	AnswerLate                // the lease had ended on the minion's clock
	AnswerRoom                // it does not fit
	AnswerOtherProcess        // another process runs at the address
	AnswerInvalid             // the minion could not read the order
	AnswerBusy                // the minion refused and has done nothing
	AnswerUnsent              // nothing was sent
	AnswerUnknown
)

// End is how a run ended.
type End uint8

// Ends.
const (
	EndDone End = iota + 1
	EndFailed
	EndStopped
	EndLapsed
)

// String returns the end as logs show it.
func (e End) String() string {
	return [...]string{"unknown", "done", "failed", "stopped or not started", "lapsed"}[e]
}

// Running is one run on a minion.
type Running struct {
	Task    TaskRef
	Run     int
	Percent float64 // of its work
}

// Ended is one ended run on a minion.
type Ended struct {
	Number uint64 // rising from 1 in each process of the minion
	Task   TaskRef
	Run    int
	How    End
}

// Listing is a minion's answer to a Hold.
type Listing struct {
	ClockMS int64 // the minion's steady clock
	Born    int64 // Unix milliseconds of the start of its process; 0: not told
	Running []Running
	Ended   []Ended
}

// Attachment is a host that waits for a job's result.
type Attachment struct {
	Host  string
	Offer uint64
}

// Result is the end of a job for one attachment.
type Result struct {
	To   string
	Body peer.JobResult
}

// Ready is what follows from the inputs since the last call.
type Ready struct {
	Starts  []Start
	Stops   []Stop
	Holds   []Hold
	Results []Result
	// Deposed is set when a minion has seen a higher token than this pool's.
	Deposed bool
}

// Note takes one line for the log.
type Note func(id event.ID, attrs ...slog.Attr)

// Config is the fixed part of a Pool.
type Config struct {
	Timing Timing
	Note   Note
}

// Timing holds the intervals of a Pool.
type Timing struct {
	Lease    time.Duration // that runs are given; how soon a lost minion's tasks run elsewhere
	MaxLease time.Duration // longest that a minion grants, whoever asked
	BusyWait time.Duration // longest wait of a Hold while something runs: the interval of progress
	IdleWait time.Duration // the same while nothing runs
	Adopt    time.Duration // after a takeover, how long runs without a job are left alone
	Stop     time.Duration // longest that a minion takes to end a run
}

// DefaultTiming returns the intervals for minions within a few milliseconds.
func DefaultTiming() Timing {
	return Timing{
		Lease:    800 * time.Millisecond,
		MaxLease: time.Second,
		BusyWait: 100 * time.Millisecond,
		IdleWait: 250 * time.Millisecond,
		Adopt:    400 * time.Millisecond,
		Stop:     50 * time.Millisecond,
	}
}

// clockError is how much slower than true time a minion's steady clock may
// run, as a divisor of its readings (platform's limit: 2%).
const clockError = 0.98
