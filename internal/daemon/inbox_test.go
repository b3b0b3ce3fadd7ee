package daemon

import (
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// Messages are bounded by bytes and by number; small ones still pass when a
// large one finds no room, and room comes back when one is handled.
func TestInboxIsBounded(t *testing.T) {
	i := newInbox(3, 100)
	large := &message{body: &peer.JobAnswer{Results: [][]byte{make([]byte, 30), make([]byte, 30)}}}
	forward := &message{body: &peer.Forward{Tasks: []job.Task{{Payload: make([]byte, 41)}}}}
	beat := &message{body: &peer.Heartbeat{}}
	must.True(t, i.push(large))
	must.False(t, i.push(forward))
	must.True(t, i.push(beat))
	must.Eq(t, 60, i.bytes.Load())
	i.taken(large)
	must.True(t, i.push(forward))
	must.False(t, i.push(beat))
	must.Eq(t, 41, i.bytes.Load())
}
