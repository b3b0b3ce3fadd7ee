package minion

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A minion is reported as ejected whether this host or the dispatching host
// ejected it. A drain and an expired lease take precedence.
func TestStateOfEjectedMinion(t *testing.T) {
	now := time.Unix(1767225600, 0)
	r := NewRegistry(time.Second)
	must.True(t, r.Announce(now, Announcement{Name: "m1", Services: []string{"s"}, Slots: 1}, time.Second, true))
	must.Eq(t, "ready", r.Get("m1").State(now).String())
	r.SetPeerEjected([]string{"m1"})
	must.Eq(t, "ejected", r.Get("m1").State(now).String())
	r.SetPeerEjected(nil)
	r.Get("m1").health.ejected = true
	must.Eq(t, "ejected", r.Get("m1").State(now).String())
	r.SetDrains([]string{"m1"})
	must.Eq(t, "draining", r.Get("m1").State(now).String())
	must.Eq(t, "expired", r.Get("m1").State(now.Add(time.Second)).String())
}
