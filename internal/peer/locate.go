package peer

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Kinds of the messages that find the host that owns a key.
const (
	KindLocate Kind = iota + 16
	KindLocateReply
	KindAttach
	KindJobAnswer
)

// Locate asks a host for the state of a key. The receiver answers with a LocateReply.
type Locate struct {
	Team        string    `msgpack:"t"`
	Key         string    `msgpack:"k"`
	SubmittedAt time.Time `msgpack:"s"`
	Attempt     int       `msgpack:"a"` // of the submission; 0: not known
	Fence       bool      `msgpack:"f"` // if the key is not known, refuse later submissions of it
	Round       uint64    `msgpack:"r"` // search round, copied into the reply
}

// LocateState is the state of a key on one host.
type LocateState uint8

// States of a key.
const (
	NotSeen   LocateState = iota + 1 // never accepted on this host; fenced, if the request asked for it
	Owned                            // accepted on this host; the job is in progress or has ended
	Locating                         // this host searches for the owner itself, and its search has precedence
	Uncertain                        // the host restarted since the submission, a later attempt is fenced, or the fence limit is reached
)

// LocateReply is the reply to a Locate.
type LocateReply struct {
	Team  string      `msgpack:"t"`
	Key   string      `msgpack:"k"`
	Round uint64      `msgpack:"r"`
	State LocateState `msgpack:"s"`
	Ended bool        `msgpack:"e"` // with Owned: the job has ended
	// ConfigVersion is the configuration version of the replying host. A version newer than
	// that of the asking host may list hosts that were not asked.
	ConfigVersion uint64 `msgpack:"c"`
}

// Attach asks the owner of a key to send the job's final answer when there is one. The
// owner answers with a JobAnswer.
type Attach struct {
	Team   string `msgpack:"t"`
	Key    string `msgpack:"k"`
	Digest uint64 `msgpack:"d"` // of the job's body; 0: not known
	Cancel bool   `msgpack:"c"` // cancel the job
	Round  uint64 `msgpack:"r"` // search round, copied into the answer
}

// JobAnswer carries a job's final answer to a host that sent an Attach or a Forward.
type JobAnswer struct {
	Team      string      `msgpack:"t"`
	Key       string      `msgpack:"k"`
	Round     uint64      `msgpack:"n"` // of the Attach
	Code      result.Code `msgpack:"c"`
	Detail    string      `msgpack:"d"`
	Results   [][]byte    `msgpack:"r"`
	Breakdown Breakdown   `msgpack:"b"`
}

// Breakdown is the encoding of job.Breakdown.
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
