package pool

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// TaskRef identifies one task of a job.
type TaskRef struct {
	Job   string
	Step  int
	Index int
}

// Start orders a minion to run a task.
type Start struct {
	Minion     string
	Address    string
	Task       TaskRef
	Run        int // number of this start of the task, counted from 1
	Payload    string
	Token      uint64
	LeaseEndMS int64 // end of the lease, in milliseconds of the minion's clock
	// Incarnation is the incarnation whose capacity the task was placed on. No other one
	// may receive the order.
	Incarnation int64
}

// Stop orders a minion to end a run, and to refuse the run's start if that arrives
// later.
type Stop struct {
	Minion      string
	Address     string
	Task        TaskRef
	Run         int
	Token       uint64
	Incarnation int64 // the minion's newest known incarnation when the order was made; a later one may receive it
}

// Poll asks a minion for a listing of its current and ended runs, and renews its
// lease if LeaseEndMS is set.
type Poll struct {
	Minion     string
	Address    string
	Token      uint64
	Serial     uint64        // identifies the poll in HandlePollAnswer
	LastEnd    uint64        // number of the newest ended run that was processed; later listings omit it and older ones
	LeaseEndMS int64         // new end of the lease, in milliseconds of the minion's clock; 0: not renewed
	Wait       time.Duration // how long the minion may delay its answer until a run ends
}

// Answer classifies a minion's answer to an order or a poll.
type Answer uint8

// Answers. Only AnswerUnknown leaves open whether the order was carried out.
const (
	AnswerOK           Answer = iota + 1
	AnswerFenced              // refused: the minion has seen a higher fencing token
	AnswerStaleRun            // refused: the minion has stopped or ended a run of the task with this number or a higher one
	AnswerLeaseExpired        // refused: the lease had already expired on the minion's clock
	AnswerNoCapacity          // refused: the task does not fit into the minion's free capacity
	AnswerOtherProcess        // another process than the minion's answers at its address
	AnswerInvalid             // refused: the minion could not decode the order
	AnswerBusy                // refused without effect: the minion is overloaded or unavailable
	AnswerUnsent              // the order was not sent
	AnswerUnknown             // no answer, or one that could not be read
)

// End says how a run ended.
type End uint8

// Ways in which a run ends.
const (
	EndDone End = iota + 1
	EndFailed
	EndStopped // stopped, or never started
	EndExpired // the lease expired, the minion's process ended, or a listing proved that the minion does not have the run
)

// String returns the text for logs.
func (e End) String() string {
	return [...]string{"unknown", "done", "failed", "stopped or not started", "lapsed"}[e]
}

// RunProgress is the progress of one run on a minion.
type RunProgress struct {
	Task    TaskRef
	Run     int
	Percent float64 // of the task's work that is done, 0 to 100
}

// EndedRun describes one run that has ended on a minion.
type EndedRun struct {
	Number uint64 // counted from 1 in each incarnation of the minion
	Task   TaskRef
	Run    int
	How    End
}

// Listing is a minion's answer to a poll.
type Listing struct {
	ClockMS     int64 // reading of the minion's monotonic clock
	Incarnation int64 // start of the minion's process in Unix milliseconds; 0: not reported
	Running     []RunProgress
	Ended       []EndedRun
	// MoreEnded says that further runs may have ended, which the next listings name.
	MoreEnded bool
}

// OfferRef identifies the offer of a job by a host that waits for the job's result.
type OfferRef struct {
	Host  string
	Offer uint64
}

// Result is a job's result, addressed to one of the hosts that wait for it.
type Result struct {
	To   string
	Body peer.JobResult
}

// Ready holds the orders, polls and results that the inputs since the last call
// have produced.
type Ready struct {
	Starts  []Start
	Stops   []Stop
	Polls   []Poll
	Results []Result
	// TokenSuperseded is set when a minion has refused an order or poll because it has
	// seen a higher fencing token: another host has claimed the minion.
	TokenSuperseded bool
}

// LogFunc logs an event with its attributes.
type LogFunc func(id event.ID, attrs ...slog.Attr)

// Config configures a Pool.
type Config struct {
	Timing Timing
	Log    LogFunc
	// LastSign returns when the process of an entry host was last known to run; nil: always
	// now.
	LastSign            func(now time.Time, host string) time.Time
	SeparateInterfering bool // place tasks of queues that slow each other down on different minions, where that costs nothing
}

// Timing holds the intervals of a Pool.
type Timing struct {
	Lease         time.Duration // requested with each start and renewal; determines how soon an unreachable minion's tasks run elsewhere
	MaxLease      time.Duration // longest lease that a minion grants to any owner
	BusyPollWait  time.Duration // longest wait of a poll while the minion has runs: the interval of progress reports
	IdlePollWait  time.Duration // longest wait of a poll while the minion has no runs
	AdoptionGrace time.Duration // after a takeover, how long orphaned runs are not stopped: their jobs may still be offered
	Stop          time.Duration // longest time that a minion takes to end a run
}

// DefaultTiming returns the intervals for minions with a round trip of a few
// milliseconds.
func DefaultTiming() Timing {
	return Timing{
		Lease:         800 * time.Millisecond,
		MaxLease:      time.Second,
		BusyPollWait:  160 * time.Millisecond,
		IdlePollWait:  500 * time.Millisecond,
		AdoptionGrace: 400 * time.Millisecond,
		Stop:          50 * time.Millisecond,
	}
}

// minClockRate is the lowest rate of a minion's monotonic clock relative to true
// time: the clock's error is at most 2%.
const minClockRate = 0.98
