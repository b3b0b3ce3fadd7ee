package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var base = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestView() *View {
	return NewView(2*time.Second, []Host{{Name: "b", FailureDomain: "d", Region: "r"}})
}

// A message between two heartbeats must not shorten the time that an echo was
// held, or the peer measures the waiting time as network time.
func TestEchoHeldCountsFromHeartbeat(t *testing.T) {
	v := newTestView()
	v.Heard(base, "b", "i")
	v.Measured(base, "b", 5*time.Second, 0, Echo{})
	v.Heard(base.Add(300*time.Millisecond), "b", "i")
	echo := v.EchoFor(base.Add(400*time.Millisecond), "b")
	must.Eq(t, Echo{SentAt: 5 * time.Second, Held: 400 * time.Millisecond}, echo)
}

func TestSilentPeerGoesDownOnce(t *testing.T) {
	v := newTestView()
	c, changed := v.Heard(base, "b", "i")
	must.True(t, changed)
	must.True(t, c.Up)
	must.SliceEmpty(t, v.Tick(base.Add(2*time.Second)))
	must.SliceLen(t, 1, v.Tick(base.Add(2*time.Second+1)))
	must.SliceEmpty(t, v.Tick(base.Add(3*time.Second)))
}

func TestRestartIsAChange(t *testing.T) {
	v := newTestView()
	v.Heard(base, "b", "i")
	c, changed := v.Heard(base, "b", "j")
	must.True(t, changed)
	must.True(t, c.Restart)
}
