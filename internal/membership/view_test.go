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

// The held time of an echo counts from the peer's last heartbeat, even if another
// message arrived in between. Otherwise the peer would count the difference as
// network time.
func TestEchoHeldCountsFromHeartbeat(t *testing.T) {
	v := newTestView()
	v.RecordMessage(base, "b", "i")
	v.RecordHeartbeat(base, "b", 5*time.Second, 0, Echo{})
	v.RecordMessage(base.Add(300*time.Millisecond), "b", "i")
	echo := v.EchoFor(base.Add(400*time.Millisecond), "b")
	must.Eq(t, Echo{SentAt: 5 * time.Second, Held: 400 * time.Millisecond}, echo)
}

func TestTimedOutPeerGoesDownOnce(t *testing.T) {
	v := newTestView()
	c, changed := v.RecordMessage(base, "b", "i")
	must.True(t, changed)
	must.True(t, c.Up)
	must.SliceEmpty(t, v.Tick(base.Add(2*time.Second)))
	must.SliceLen(t, 1, v.Tick(base.Add(2*time.Second+1)))
	must.SliceEmpty(t, v.Tick(base.Add(3*time.Second)))
}

func TestRestartIsReported(t *testing.T) {
	v := newTestView()
	v.RecordMessage(base, "b", "i")
	c, changed := v.RecordMessage(base, "b", "j")
	must.True(t, changed)
	must.True(t, c.Restart)
}

// ExcessDelay returns the extra time of a message that took longer than usual.
// Clock drift of 100 us per second does not accumulate, and a restart of the
// peer, whose clock starts from zero, resets the minimum.
func TestExcessDelayOfLateMessage(t *testing.T) {
	v := NewView(time.Second, []Host{{Name: "p"}})
	must.Eq(t, 0, v.ExcessDelay("p", 10*time.Second, 3*time.Second))
	must.Eq(t, 0, v.ExcessDelay("p", 11*time.Second, 4*time.Second))
	must.Eq(t, 2*time.Second, v.ExcessDelay("p", 12*time.Second, 7*time.Second))
	drift := time.Duration(0)
	for at := 8 * time.Second; at < time.Hour; at += time.Second {
		drift += 100 * time.Microsecond
		must.Less(t, 10*time.Millisecond, v.ExcessDelay("p", at+7*time.Second, at+drift))
	}
	v.RecordMessage(time.Time{}, "p", "1")
	v.RecordMessage(time.Time{}, "p", "2")
	must.Eq(t, 0, v.ExcessDelay("p", 0, time.Hour))
}
