package peer

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
)

// Kinds of the messages by which the hosts of a failure domain share its slots.
const (
	KindForward Kind = iota + 32
)

// Forward hands a whole job, of which nothing has started, to the host that
// dispatches for the failure domain. It is answered by a JobAnswer and may be
// repeated: the receiver knows the key.
type Forward struct {
	// To is the receiver's process: a later one must not run the job, since
	// its predecessor may have.
	To          membership.Incarnation `msgpack:"i"`
	Team        string                 `msgpack:"t"`
	Key         string                 `msgpack:"k"`
	Attempt     int                    `msgpack:"a"`
	Service     string                 `msgpack:"v"`
	SubmittedAt time.Time              `msgpack:"s"`
	Remaining   time.Duration          `msgpack:"r"` // until the deadline
	SentAt      time.Duration          `msgpack:"n"` // sender's monotonic clock
	Digest      uint64                 `msgpack:"d"`
	Tasks       []job.Task             `msgpack:"j"`
	Trace       string                 `msgpack:"tr,omitempty"` // W3C trace context, when sampled
}

// Kind implements Body.
func (*Forward) Kind() Kind { return KindForward }
