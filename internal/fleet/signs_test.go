package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A heartbeat that a link held back is an old sign: its sender may have ended since.
func TestDelayedHeartbeatIsAnOldSign(t *testing.T) {
	const ms = time.Millisecond
	var s sign
	at := func(sent, arrived time.Duration) time.Duration {
		s.observeHeartbeat(simStart.Add(arrived), arrived, sent+time.Hour) // the clocks have different origins
		return s.at.Sub(simStart)
	}
	must.Eq(t, 5*ms, at(0, 5*ms))
	must.Eq(t, 202*ms, at(200*ms, 202*ms))
	must.Between(t, 400*ms, at(400*ms, 1402*ms), 430*ms)
	must.Between(t, 600*ms, at(600*ms, 1402*ms), 630*ms)
	must.Between(t, 1400*ms, at(1400*ms, 1403*ms), 1403*ms)
	s.observeHeartbeat(simStart.Add(2*time.Second), 2*time.Second, 99*time.Hour) // another process
	must.Eq(t, 2*time.Second, s.at.Sub(simStart))
}
