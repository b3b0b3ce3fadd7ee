package daemon

import (
	"sync/atomic"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
)

// inbox is the ring of messages from peers. It limits both their number and the
// total size of their payloads and results. A message that exceeds a limit is
// dropped; its sender repeats messages that must not be lost.
type inbox struct {
	*ring.Ring[input]
	maxBytes int64
	bytes    atomic.Int64 // sum of payloadBytes of the queued messages
}

func newInbox(size, maxBytes int) *inbox {
	return &inbox{Ring: ring.New[input](size), maxBytes: int64(maxBytes)}
}

// push queues m. It returns false when m exceeds a limit.
func (i *inbox) push(m *peerMessage) bool {
	n := payloadBytes(m.body)
	if i.bytes.Add(n) > i.maxBytes || !i.TryPush(m) {
		i.bytes.Add(-n)
		return false
	}
	return true
}

// release subtracts the size of m from the total size. It is called for each message
// that was received from the ring.
func (i *inbox) release(m *peerMessage) { i.bytes.Add(-payloadBytes(m.body)) }

// payloadBytes returns the size of the task payloads and results in b. These are
// the parts of a message whose size callers and minions determine.
func payloadBytes(b peer.Body) int64 {
	var n int64
	switch m := b.(type) {
	case *peer.Forward:
		for i := range m.Tasks {
			n += int64(len(m.Tasks[i].Payload))
		}
	case *peer.JobAnswer:
		for _, r := range m.Results {
			n += int64(len(r))
		}
	}
	return n
}
