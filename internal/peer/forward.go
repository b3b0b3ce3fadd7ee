package peer

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
)

// Kinds of the messages that forward jobs within a failure domain.
const (
	KindForward Kind = iota + 32
)

// Forward sends a whole job, none of whose tasks has started, to the dispatching host
// of the failure domain. The receiver answers with a JobAnswer. The sender may repeat
// the message: the receiver recognizes the job by its key.
type Forward struct {
	// ToIncarnation is the incarnation of the receiver that may run the job. A later incarnation
	// must not run it, because the earlier one may have.
	ToIncarnation membership.Incarnation `msgpack:"i"`
	Team          string                 `msgpack:"t"`
	Key           string                 `msgpack:"k"`
	Attempt       int                    `msgpack:"a"`
	Service       string                 `msgpack:"v"`
	SubmittedAt   time.Time              `msgpack:"s"`
	Remaining     time.Duration          `msgpack:"r"` // from sending to the job's deadline
	SentAt        time.Duration          `msgpack:"n"` // on the sender's monotonic clock
	Digest        uint64                 `msgpack:"d"`
	Tasks         []job.Task             `msgpack:"j"`
	Trace         string                 `msgpack:"tr,omitempty"` // W3C trace context, if the job is sampled
}

// Kind implements Body.
func (*Forward) Kind() Kind { return KindForward }
