package engine

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/shoenig/test/must"
)

// A process that was suspended between its start and its first input cannot know
// how long that input waited, so the lease that it grants counts from the start of
// the process.
func TestStallBeforeFirstInputShortensLease(t *testing.T) {
	e := freshEngine()
	started := t0.Add(-time.Hour) // by freshEngine
	a := minion.Announcement{Name: "m", FailureDomain: "d", Services: []string{"s"}, Slots: 1, Connections: 1, Address: "m:1"}
	must.Nil(t, e.Announce(started.Add(600*time.Millisecond), a))
	must.Eq(t, started.Add(e.minions.LeaseDuration()), e.minions.Get("m").LeaseUntil)
}
