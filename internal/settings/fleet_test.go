package settings

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A host that is shutting down keeps the last sixth of its stop grace in reserve
// and continues to answer for at most maxLinger, however long the grace.
func TestLingerFollowsStopGrace(t *testing.T) {
	s := FleetDefaults()
	must.Eq(t, 5*time.Second, s.Linger())
	s.StopGraceS = 3
	must.Eq(t, 2500*time.Millisecond, s.Linger())
	s.StopGraceS = 30
	must.Eq(t, maxLinger, s.Linger())
}
