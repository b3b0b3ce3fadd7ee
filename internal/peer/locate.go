package peer

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Kinds of the messages that find the owner of a key.
const (
	KindLocate Kind = iota + 16
	KindLocateReply
	KindAttach
	KindJobAnswer
)

// Locate asks whether a host knows a key.
type Locate struct {
	Team        string    `msgpack:"t"`
	Key         string    `msgpack:"k"`
	SubmittedAt time.Time `msgpack:"s"`
	Attempt     int       `msgpack:"a"` // of the submission; 0 when not known
	Fence       bool      `msgpack:"f"` // refuse the key from now on, if it is not known
	Round       uint64    `msgpack:"r"` // returned in the reply
}

// LocateState is a host's knowledge of a key.
type LocateState uint8

// Knowledge of a key.
const (
	NotSeen   LocateState = iota + 1 // never accepted here; fenced, if asked for
	Owned                            // accepted here, in progress or ended
	Locating                         // this host is looking for the owner and goes first
	Uncertain                        // restarted since, a later attempt fenced, or no room for a fence
)

// LocateReply answers a Locate.
type LocateReply struct {
	Team  string      `msgpack:"t"`
	Key   string      `msgpack:"k"`
	Round uint64      `msgpack:"r"`
	State LocateState `msgpack:"s"`
	Ended bool        `msgpack:"e"`
	// Config is the replying host's configuration version: a newer one than the
	// asking host's may list hosts that it did not ask.
	Config uint64 `msgpack:"c"`
}

// Attach asks the owner of a key for its final answer.
type Attach struct {
	Team   string `msgpack:"t"`
	Key    string `msgpack:"k"`
	Digest uint64 `msgpack:"d"` // of the body; 0 when not known
	Cancel bool   `msgpack:"c"` // cancel the job first
	Round  uint64 `msgpack:"r"` // returned in the answer
}

// JobAnswer carries the final answer to a host that attached.
type JobAnswer struct {
	Team      string      `msgpack:"t"`
	Key       string      `msgpack:"k"`
	Round     uint64      `msgpack:"n"` // of the Attach
	Code      result.Code `msgpack:"c"`
	Detail    string      `msgpack:"d"`
	Results   [][]byte    `msgpack:"r"`
	Breakdown Breakdown   `msgpack:"b"`
}

// Breakdown mirrors job.Breakdown.
type Breakdown struct {
	Total   time.Duration `msgpack:"t"`
	Queue   time.Duration `msgpack:"q"`
	Trip    time.Duration `msgpack:"p"`
	Run     time.Duration `msgpack:"r"`
	Minion  string        `msgpack:"m"`
	Task    int           `msgpack:"k"`
	Retries int           `msgpack:"n"`

	Receive   time.Duration `msgpack:"a"`
	Admit     time.Duration `msgpack:"d"`
	Control   time.Duration `msgpack:"c"`
	Refused   time.Duration `msgpack:"f"`
	RefusedBy string        `msgpack:"fb"`
	Handoff   time.Duration `msgpack:"h"`
	Own       time.Duration `msgpack:"o"`
	Open      time.Duration `msgpack:"oo"`
	Collect   time.Duration `msgpack:"l"`
	Pause     time.Duration `msgpack:"s"`
	Peer      string        `msgpack:"w"`
	PeerTrip  time.Duration `msgpack:"wt"`
	PeerHeld  time.Duration `msgpack:"wh"`
	Encode    time.Duration `msgpack:"e"`
	Write     time.Duration `msgpack:"we"`
	Verdict   job.Verdict   `msgpack:"v"`
}

// Kind implements Body.
func (*Locate) Kind() Kind { return KindLocate }

// Kind implements Body.
func (*LocateReply) Kind() Kind { return KindLocateReply }

// Kind implements Body.
func (*Attach) Kind() Kind { return KindAttach }

// Kind implements Body.
func (*JobAnswer) Kind() Kind { return KindJobAnswer }
