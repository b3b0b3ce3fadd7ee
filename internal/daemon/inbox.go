package daemon

import (
	"sync/atomic"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
)

// inbox is the ring of peers' messages, bounded by their payloads and results
// as well as by their number. A message without room is dropped: its sender
// repeats what matters.
type inbox struct {
	*ring.Ring[input]
	maxBytes int64
	bytes    atomic.Int64
}

func newInbox(size, maxBytes int) *inbox {
	return &inbox{Ring: ring.New[input](size), maxBytes: int64(maxBytes)}
}

// push queues m and reports whether there was room.
func (i *inbox) push(m *message) bool {
	n := payloadBytes(m.body)
	if i.bytes.Add(n) > i.maxBytes || !i.TryPush(m) {
		i.bytes.Add(-n)
		return false
	}
	return true
}

// taken gives back the room of a message that is being handled.
func (i *inbox) taken(m *message) { i.bytes.Add(-payloadBytes(m.body)) }

// payloadBytes returns the bytes that callers and minions determine.
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
