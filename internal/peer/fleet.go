package peer

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
)

// Kinds of the messages between hosts that discover each other and dispatch on leased
// minions.
const (
	KindFleetHeartbeat Kind = iota + 80
	KindRosterUpdate
	KindJobOffer
	KindJobAck
	KindJobResult
	KindJobResultAck
	KindJobCancel
)

// HostRecord describes one host in heartbeats and in rosters.
type HostRecord struct {
	Name          string                 `msgpack:"n"` // IP address
	FailureDomain string                 `msgpack:"d"`
	Region        string                 `msgpack:"r"`
	Incarnation   membership.Incarnation `msgpack:"i"`
	Entry         bool                   `msgpack:"e,omitempty"` // accepts requests from callers and dispatches jobs
	Control       bool                   `msgpack:"c,omitempty"` // accepts announcements from minions and documents from operators
	Tombstone     bool                   `msgpack:"x,omitempty"` // the host has become unreachable for the reporter, which withdraws the record
}

// MinionRecord is the newest announcement of a minion that the reporting host knows.
type MinionRecord struct {
	ID            string   `msgpack:"i"`
	Incarnation   int64    `msgpack:"b"` // start time of the minion's process, in Unix milliseconds
	Seq           uint64   `msgpack:"q"` // sequence number of the announcement within the incarnation
	Service       string   `msgpack:"s"`
	Address       string   `msgpack:"a"`
	FailureDomain string   `msgpack:"d"`
	Draining      bool     `msgpack:"g,omitempty"`
	Left          bool     `msgpack:"x,omitempty"` // the minion has announced that it stops
	CPU           int64    `msgpack:"c"`           // thousandths of a processor
	MemoryMB      int64    `msgpack:"m"`
	Accelerators  int64    `msgpack:"p,omitempty"`
	Labels        []string `msgpack:"l,omitempty"`
	ColdUntilMS   int64    `msgpack:"k,omitempty"` // until then the minion is slow after its start, in milliseconds of its clock, rounded up; 0: it is not
	// Version and Slots are known only to the hosts that the minion has announced itself to.
	// They are not used, but are the same throughout an incarnation.
	Version string `msgpack:"-"` // of the minion's program; empty: not known
	Slots   int64  `msgpack:"-"` // 0: not known
}

// CellLayout is the cell layout of a failure domain: the number of cells among which
// its hosts and minions are divided. Cells limit the work of a host in large failure
// domains.
type CellLayout struct {
	Cells   int    `msgpack:"c"`
	Version uint64 `msgpack:"a"` // version of the layout: the highest one applies; 0: a single cell
}

// DomainCellLayout is a failure domain with its cell layout.
type DomainCellLayout struct {
	FailureDomain string     `msgpack:"d"`
	CellLayout    CellLayout `msgpack:"v"`
}

// Cell identifies one cell of a cell layout.
type Cell struct {
	Number        int    `msgpack:"n"`
	LayoutVersion uint64 `msgpack:"a"` // version of the cell layout
}

// Claim states that the sender of a heartbeat dispatches on the minions of one shard.
type Claim struct {
	Shard         int      `msgpack:"s"`
	ShardCount    int      `msgpack:"o"` // number of shards in the sender's cell
	LayoutVersion uint64   `msgpack:"l"` // version of the cell's shard layout: the highest one applies
	Token         uint64   `msgpack:"t"` // fencing token of the claim
	Load          PoolLoad `msgpack:"p"`

	Phase ClaimPhase `msgpack:"w,omitempty"`
}

// ClaimPhase says whether the holder of a shard goes on dispatching on it.
type ClaimPhase uint8

// Phases of a claim. The holder of the first shard that is finishing is going to make a new
// shard layout; the others finish because of it.
const (
	ClaimServing     ClaimPhase = iota
	ClaimHandingOver            // another host should claim the shard
	ClaimFinishing              // the holder takes no new jobs
	ClaimFinished               // the same, and it has no job left
	lastClaimPhase   = ClaimFinished
)

// IsFinishing reports whether the shard's holder takes no new jobs because of a new shard
// layout.
func (p ClaimPhase) IsFinishing() bool { return p == ClaimFinishing || p == ClaimFinished }

// PoolLoad is the load of a shard: the state of its dispatcher's queue and minions.
type PoolLoad struct {
	Capacity      int64  `msgpack:"c"`           // processor capacity of the minions that accept work, in thousandths of a processor
	Free          int64  `msgpack:"f"`           // part of Capacity that is free, in thousandths of a processor; for each minion, rounded down to a multiple of an average task's size
	Queued        int64  `msgpack:"q"`           // work of the waiting tasks, in thousandths of a processor times milliseconds
	MinionsDigest uint64 `msgpack:"m"`           // digest of the set of minions that may run tasks of the shard; the dispatcher that takes over compares it with its own
	Overloaded    bool   `msgpack:"o,omitempty"` // the dispatcher's host is the bottleneck: other dispatchers are preferred
}

// FleetHeartbeat is the heartbeat between hosts that discover each other; the packages
// claim, fleet and roster call it the heartbeat. It is sent at fixed intervals to
// control hosts and to the entry hosts that the sender works with.
type FleetHeartbeat struct {
	From            HostRecord             `msgpack:"h"`
	ConfigVersion   uint64                 `msgpack:"c"`           // newest configuration version that the sender knows
	ShuttingDown    bool                   `msgpack:"l,omitempty"` // the sender is shutting down
	Claims          []Claim                `msgpack:"m,omitempty"`
	ReadIndex       uint64                 `msgpack:"g"` // index up to which the sender has read the receiver's roster log
	ReadIncarnation membership.Incarnation `msgpack:"o"` // incarnation of the receiver that kept that log

	Carries    int        `msgpack:"b,omitempty"` // number of minions that the sender can dispatch for; 0: not known, counts as 24
	CellLayout CellLayout `msgpack:"v"`           // cell layout that the sender applies to its failure domain
	NextMS     int64      `msgpack:"n,omitempty"` // longest time until the sender's next heartbeat to this receiver; 0: 200 ms

	// Clock is the sender's clock in milliseconds. It advances while the sender's
	// machine is suspended. It includes an offset that differs for each process, so
	// that readings of different processes don't match.
	Clock int64 `msgpack:"t"`
}

// RosterUpdate carries the changes in the sender's roster log that the receiver has not
// read.
type RosterUpdate struct {
	LogIncarnation membership.Incarnation `msgpack:"o"`           // incarnation of the sender, which keeps the log
	After          uint64                 `msgpack:"a,omitempty"` // log index that the changes follow
	LogIndex       uint64                 `msgpack:"g"`           // index of the newest change in the log
	Hosts          []HostRecord           `msgpack:"h,omitempty"`
	Minions        []MinionRecord         `msgpack:"m,omitempty"`

	CellLayouts []DomainCellLayout `msgpack:"d,omitempty"`
}

// LateFactor is the multiple of a job's objective after which an answer has almost no
// value to the caller. The factor is a requirement.
const LateFactor = 3

// TaskStep is a step of a job: a number of equal tasks.
type TaskStep struct {
	Count        int    `msgpack:"n"`
	CPU          int64  `msgpack:"c"`           // per task, in thousandths of a processor
	MemoryMB     int64  `msgpack:"m,omitempty"` // per task
	Accelerators int64  `msgpack:"p,omitempty"` // per task
	EstimateMS   int64  `msgpack:"e"`           // declared run time of a task
	After        []int  `msgpack:"a,omitempty"` // indexes of the steps that must end first
	Label        string `msgpack:"l,omitempty"` // label that the minion must have
	Rack         string `msgpack:"r,omitempty"` // rack that holds the data: minions with this label are preferred
	MaxPerMinion int    `msgpack:"x,omitempty"` // maximum number of the step's tasks on one minion; 0: no limit
}

// DeclaredRunTime returns the run time that the caller declared for a task of the step.
func (s *TaskStep) DeclaredRunTime() time.Duration {
	return time.Duration(s.EstimateMS) * time.Millisecond
}

// CriticalPath returns the length of the critical path: the total run time of the
// longest chain of dependent steps. runTime returns the run time of a task of a step.
func CriticalPath(steps []TaskStep, runTime func(*TaskStep) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i := range steps {
		var start time.Duration
		for _, a := range steps[i].After {
			start = max(start, ends[a])
		}
		ends[i] = start + runTime(&steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// JobOffer asks a dispatcher to run a job. The sender repeats it until it receives a
// JobAck or a JobResult.
type JobOffer struct {
	Job                string     `msgpack:"j"`
	Offer              uint64     `msgpack:"o"` // number of the offer, unique on its sender
	Shard              int        `msgpack:"h"` // shard whose minions are to run the job
	ShardCount         int        `msgpack:"f"` // number of shards in the cell
	Cell               Cell       `msgpack:"k"` // cell of the shard
	Queue              string     `msgpack:"q"` // name of the job's queue; run times are learned per queue
	Service            string     `msgpack:"s"`
	Payload            string     `msgpack:"p"` // input of each task
	Steps              []TaskStep `msgpack:"t"`
	Attempts           int        `msgpack:"a"`           // number of failed runs of one task after which the job fails
	StretchPct         int64      `msgpack:"g"`           // part of the objective that is proportional to the critical path, in percent of the critical path
	AddMS              int64      `msgpack:"b"`           // constant part of the objective, added to the proportional part
	AgeMS              int64      `msgpack:"w"`           // time since the caller's request arrived
	RemainingMS        int64      `msgpack:"l"`           // time until the caller stops waiting
	MayHaveRun         bool       `msgpack:"u,omitempty"` // an earlier dispatcher of the failure domain may have started tasks of the job
	PriorRunsMS        int64      `msgpack:"m,omitempty"` // with MayHaveRun: how long runs that the earlier dispatcher started may continue
	MinionsDigest      uint64     `msgpack:"x,omitempty"` // with MayHaveRun: digest of the earlier dispatcher's minions, as last reported; 0: not known
	ReceiverClock      int64      `msgpack:"e,omitempty"` // newest Clock in the receiver's heartbeats; 0: none received
	ReceiverClockAgeMS int64      `msgpack:"i,omitempty"` // time since that heartbeat arrived; with ReceiverClock, the receiver computes how long the offer was in flight
	Done               []int      `msgpack:"d,omitempty"` // tasks that are known to have ended, numbered across all steps
	PriorRuns          []TaskRun  `msgpack:"y,omitempty"` // with PriorRunsKnown: as JobResult.Runs
	PriorRunsKnown     bool       `msgpack:"z,omitempty"` // with MayHaveRun: as JobResult.RunsKnown
}

// TaskRun names a task that may run on a minion.
type TaskRun struct {
	Task   int    `msgpack:"t"` // number across all steps
	Minion string `msgpack:"m"`
}

// JobAck acknowledges that the dispatcher accepted an offer.
type JobAck struct {
	Job   string   `msgpack:"j"`
	Offer uint64   `msgpack:"o"`
	Shard int      `msgpack:"s"`
	Load  PoolLoad `msgpack:"p"` // load of the shard, including the job

	Started bool `msgpack:"t,omitempty"` // answers a withdrawal: a task may have started, so the dispatcher keeps the job
}

// JobOutcome is the outcome of an offer.
type JobOutcome uint8

// Outcomes of offers.
const (
	JobComplete JobOutcome = iota + 1 // every task has ended
	JobFailed                         // a task failed too often, or no minion can ever run it
	JobRefused                        // no task was started, and none will be because of this offer
	JobMoved                          // the host does not dispatch the shard, or no longer does; the job should be offered to the next dispatcher
	JobUnknown                        // the job was abandoned, and some of its tasks may have run
	JobDeleted                        // the caller has deleted the job; its tasks are stopped
)

// JobResult ends an offer. The dispatcher repeats it until it receives a JobResultAck.
type JobResult struct {
	Job           string     `msgpack:"j"`
	Offer         uint64     `msgpack:"f"`
	Outcome       JobOutcome `msgpack:"o"`
	RetryMS       int64      `msgpack:"r,omitempty"` // of JobRefused: time after which capacity should be free
	Done          []int      `msgpack:"d,omitempty"` // of JobMoved: tasks that are known to have ended, as in JobOffer
	NotStarted    bool       `msgpack:"c,omitempty"` // of JobMoved: no task has started
	MinionsDigest uint64     `msgpack:"m,omitempty"` // of JobMoved: digest of the minions that may run tasks of the job; 0: not known
	RunsEnded     bool       `msgpack:"e,omitempty"` // of JobMoved: tasks have started, but none runs any more or will be started; any dispatcher may continue the job
	Runs          []TaskRun  `msgpack:"u,omitempty"` // of JobMoved with RunsKnown: all runs of the job that may not have ended
	RunsKnown     bool       `msgpack:"k,omitempty"` // of JobMoved: Runs is complete
	Reason        string     `msgpack:"n,omitempty"`

	// NotStartedHere says of JobMoved and JobUnknown that the sending process has started no
	// task of the offer and will start none. Unlike NotStarted it says nothing about
	// earlier dispatchers.
	NotStartedHere bool `msgpack:"h,omitempty"`
}

// JobResultAck acknowledges a JobResult.
type JobResultAck struct {
	Job   string `msgpack:"j"`
	Offer uint64 `msgpack:"o"`
}

// JobCancel withdraws an offer. The dispatcher ends the job, unless it has an offer of
// the job from another host as well, and answers with a JobResult. The sender repeats the
// JobCancel until then.
//
// With Deleted set it says that the job was deleted by its caller, and Offer is 0. It is sent
// to all entry hosts. The receiver ends the job where it is open or dispatched, accepts it no
// more, and answers with a JobResult for offer 0: JobDeleted if it had the job, JobUnknown
// otherwise.
type JobCancel struct {
	Job   string `msgpack:"j"`
	Offer uint64 `msgpack:"o"`
	Shard int    `msgpack:"h"`

	Deleted bool `msgpack:"d,omitempty"`

	// Withdraw asks for the job's return only if no task of it has started. A dispatcher that
	// keeps the job answers with a JobAck.
	Withdraw bool `msgpack:"w,omitempty"`

	// With the following fields the receiver can tell whether it would know of the offer:
	// only the process that the offer was sent to does, and only for some time.
	Process            membership.Incarnation `msgpack:"p,omitempty"` // that the offer was sent to
	SinceOfferMS       int64                  `msgpack:"a,omitempty"` // time since the offer was first sent
	ReceiverClock      int64                  `msgpack:"e,omitempty"` // as in JobOffer
	ReceiverClockAgeMS int64                  `msgpack:"i,omitempty"`
}

// Kind implements Body.
func (*FleetHeartbeat) Kind() Kind { return KindFleetHeartbeat }

// Kind implements Body.
func (*RosterUpdate) Kind() Kind { return KindRosterUpdate }

// Kind implements Body.
func (*JobOffer) Kind() Kind { return KindJobOffer }

// Kind implements Body.
func (*JobAck) Kind() Kind { return KindJobAck }

// Kind implements Body.
func (*JobResult) Kind() Kind { return KindJobResult }

// Kind implements Body.
func (*JobResultAck) Kind() Kind { return KindJobResultAck }

// Kind implements Body.
func (*JobCancel) Kind() Kind { return KindJobCancel }
