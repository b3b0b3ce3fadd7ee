package daemon

import (
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// The inbox limits messages by bytes and by number. A message that exceeds the byte
// limit is refused while smaller ones are still accepted, and releasing a message
// frees its bytes.
func TestInboxBoundsBytesAndMessages(t *testing.T) {
	i := newInbox(3, 100)
	large := &peerMessage{body: &peer.JobAnswer{Results: [][]byte{make([]byte, 30), make([]byte, 30)}}}
	forward := &peerMessage{body: &peer.Forward{Tasks: []job.Task{{Payload: make([]byte, 41)}}}}
	heartbeat := &peerMessage{body: &peer.Heartbeat{}}
	must.True(t, i.push(large))
	must.False(t, i.push(forward))
	must.True(t, i.push(heartbeat))
	must.Eq(t, 60, i.bytes.Load())
	i.release(large)
	must.True(t, i.push(forward))
	must.False(t, i.push(heartbeat))
	must.Eq(t, 41, i.bytes.Load())
}
