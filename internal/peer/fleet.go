package peer

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/membership"
)

// Kinds of the messages between hosts that find each other and share leased
// minions.
const (
	KindBeat Kind = iota + 80
	KindRoster
	KindJobOffer
	KindJobAck
	KindJobResult
	KindJobResultAck
	KindJobCancel
)

// HostRecord is what hosts tell each other about one host.
type HostRecord struct {
	Name          string                 `msgpack:"n"` // IP address
	FailureDomain string                 `msgpack:"d"`
	Region        string                 `msgpack:"r"`
	Incarnation   membership.Incarnation `msgpack:"i"`
	Entry         bool                   `msgpack:"e,omitempty"` // takes callers' requests and dispatches
	Control       bool                   `msgpack:"c,omitempty"` // takes minions' announcements and operators' orders
	Gone          bool                   `msgpack:"x,omitempty"` // no longer heard of by the teller
}

// MinionRecord is the newest announcement of one minion that a host knows.
type MinionRecord struct {
	ID            string   `msgpack:"i"`
	Born          int64    `msgpack:"b"` // Unix milliseconds of its process start
	Seq           uint64   `msgpack:"q"` // of the announcement within that life
	Service       string   `msgpack:"s"`
	Address       string   `msgpack:"a"`
	FailureDomain string   `msgpack:"d"`
	Draining      bool     `msgpack:"g,omitempty"`
	Gone          bool     `msgpack:"x,omitempty"` // it said that it ends
	CPU           int64    `msgpack:"c"`           // thousandths of a processor
	MemoryMB      int64    `msgpack:"m"`
	Accelerators  int64    `msgpack:"p,omitempty"`
	Labels        []string `msgpack:"l,omitempty"`
}

// Division says into how many cells the hosts and minions of a failure domain are
// divided, so that the work of a host does not grow with their number.
type Division struct {
	Cells int    `msgpack:"c"`
	At    uint64 `msgpack:"a"` // when it was made: the highest one counts; 0: undivided
}

// DomainDivision is the division of one failure domain.
type DomainDivision struct {
	FailureDomain string   `msgpack:"d"`
	Division      Division `msgpack:"v"`
}

// Cell is one part of a division.
type Cell struct {
	Number int    `msgpack:"n"`
	At     uint64 `msgpack:"a"` // of the division
}

// Claim says that the sender dispatches on the minions of one shard.
type Claim struct {
	Shard  int      `msgpack:"s"`
	Of     int      `msgpack:"o"` // shards in the sender's cell
	Layout uint64   `msgpack:"l"` // when they were laid out: the highest one counts
	Token  uint64   `msgpack:"t"` // fencing token of the claim
	Load   PoolLoad `msgpack:"p"`
}

// PoolLoad is the state of the sender's queue and minions.
type PoolLoad struct {
	Capacity int64  `msgpack:"c"` // thousandths of a processor on minions that take work
	Free     int64  `msgpack:"f"` // of these, not in use, in pieces that a usual task fits into
	Queued   int64  `msgpack:"q"` // processor-milliseconds (thousandths of a processor times ms) of tasks that wait
	Minions  uint64 `msgpack:"m"` // digest of the minions that may run something, for whoever takes over
}

// Beat tells that the sender lives. It is sent at a fixed interval to the
// hosts that the sender works with.
type Beat struct {
	From    HostRecord             `msgpack:"h"`
	Config  uint64                 `msgpack:"c"` // register version in force
	Leaving bool                   `msgpack:"l,omitempty"`
	Claims  []Claim                `msgpack:"m,omitempty"`
	Log     uint64                 `msgpack:"g"` // how much of the receiver's roster log the sender has
	LogOf   membership.Incarnation `msgpack:"o"` // whose log that is

	Division Division `msgpack:"v"` // of the sender's failure domain, as it follows it

	// Clock is the sender's, in milliseconds that go on while its machine is
	// suspended, from a number that is its process's own.
	Clock int64 `msgpack:"t"`
}

// Roster carries the records of the sender's log after the receiver's place.
type Roster struct {
	Of      membership.Incarnation `msgpack:"o"`
	After   uint64                 `msgpack:"a,omitempty"` // the place that the records follow
	Log     uint64                 `msgpack:"g"`
	Hosts   []HostRecord           `msgpack:"h,omitempty"`
	Minions []MinionRecord         `msgpack:"m,omitempty"`

	Divisions []DomainDivision `msgpack:"d,omitempty"`
}

// LateFactor is after how many times its objective an answer is worth nothing to
// its caller (the users' rules).
const LateFactor = 3

// TaskStep is a set of equal tasks of a job.
type TaskStep struct {
	Count        int    `msgpack:"n"`
	CPU          int64  `msgpack:"c"` // thousandths of a processor, each
	MemoryMB     int64  `msgpack:"m,omitempty"`
	Accelerators int64  `msgpack:"p,omitempty"`
	EstimateMS   int64  `msgpack:"e"` // declared run time
	After        []int  `msgpack:"a,omitempty"`
	Label        string `msgpack:"l,omitempty"` // that the minion must have
	Rack         string `msgpack:"r,omitempty"` // near the data
	MaxPerMinion int    `msgpack:"x,omitempty"` // 0: no bound
}

// Declared returns the run time of a task as its caller declared it.
func (s *TaskStep) Declared() time.Duration { return time.Duration(s.EstimateMS) * time.Millisecond }

// LongestChain returns the time of the longest chain of steps that wait for each
// other, by the time that a task of each takes.
func LongestChain(steps []TaskStep, takes func(*TaskStep) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i := range steps {
		var from time.Duration
		for _, a := range steps[i].After {
			from = max(from, ends[a])
		}
		ends[i] = from + takes(&steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// JobOffer hands a job to the host that dispatches it. It is repeated until it
// is answered.
type JobOffer struct {
	Job        string     `msgpack:"j"`
	Offer      uint64     `msgpack:"o"` // number of the offer, chosen by its sender
	Shard      int        `msgpack:"h"` // whose minions are to run it
	Of         int        `msgpack:"f"` // shards in the cell
	Cell       Cell       `msgpack:"k"` // of the shard
	Queue      string     `msgpack:"q"` // route, for learning run times
	Service    string     `msgpack:"s"`
	Payload    string     `msgpack:"p"` // given to each task
	Steps      []TaskStep `msgpack:"t"`
	Attempts   int        `msgpack:"a"`           // failed runs of a task after which the job fails
	StretchPct int64      `msgpack:"g"`           // objective, in hundredths of the longest chain of work
	AddMS      int64      `msgpack:"b"`           // and milliseconds beside that
	AgeMS      int64      `msgpack:"w"`           // since the caller's request arrived
	LeftMS     int64      `msgpack:"l"`           // until the caller stops waiting
	MayHaveRun bool       `msgpack:"u,omitempty"` // it was with another dispatcher of the failure domain
	MayRunMS   int64      `msgpack:"m,omitempty"` // with MayHaveRun: how long that one may go on running it on minions that it reaches
	Minions    uint64     `msgpack:"x,omitempty"` // with MayHaveRun: digest of that one's minions, as last heard
	Heard      int64      `msgpack:"e,omitempty"` // newest clock that the sender has heard from the receiver
	HeardAgoMS int64      `msgpack:"i,omitempty"` // and how long ago: together they tell the offer's time on its way
	Done       []int      `msgpack:"d,omitempty"` // tasks, numbered over all steps, that are known to have ended
}

// JobAck says that the offer was taken.
type JobAck struct {
	Job   string   `msgpack:"j"`
	Offer uint64   `msgpack:"o"`
	Shard int      `msgpack:"s"`
	Load  PoolLoad `msgpack:"p"` // with the job
}

// JobOutcome is what became of an offered job.
type JobOutcome uint8

// Outcomes of an offer.
const (
	JobComplete JobOutcome = iota + 1
	JobFailed              // a task failed too often, or can never run
	JobRefused             // nothing of it has run, or ever will by this offer
	JobMoved               // the dispatcher hands over; offer it to the next one
	JobUnknown             // it was given up, and parts of it may have run
)

// JobResult ends an offer. It is repeated until it is acknowledged.
type JobResult struct {
	Job     string     `msgpack:"j"`
	Offer   uint64     `msgpack:"f"`
	Outcome JobOutcome `msgpack:"o"`
	RetryMS int64      `msgpack:"r,omitempty"` // of JobRefused: when there should be room
	Done    []int      `msgpack:"d,omitempty"` // of JobMoved
	Clean   bool       `msgpack:"c,omitempty"` // of JobMoved: nothing of it has run
	Minions uint64     `msgpack:"m,omitempty"` // of JobMoved: digest of the sender's minions
	Reason  string     `msgpack:"n,omitempty"`
}

// JobResultAck says that the result has arrived.
type JobResultAck struct {
	Job   string `msgpack:"j"`
	Offer uint64 `msgpack:"o"`
}

// JobCancel gives up an offered job: its caller is gone.
type JobCancel struct {
	Job   string `msgpack:"j"`
	Offer uint64 `msgpack:"o"`
	Shard int    `msgpack:"h"`
}

// Kind implements Body.
func (*Beat) Kind() Kind { return KindBeat }

// Kind implements Body.
func (*Roster) Kind() Kind { return KindRoster }

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
