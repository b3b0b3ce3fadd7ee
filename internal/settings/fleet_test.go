package settings

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A stopping host leaves the last sixth of its grace, and does not linger when
// that is long.
func TestLingerFollowsTheGrace(t *testing.T) {
	s := FleetDefaults()
	must.Eq(t, 5*time.Second, s.Linger())
	s.StopGraceS = 3
	must.Eq(t, 2500*time.Millisecond, s.Linger())
	s.StopGraceS = 30
	must.Eq(t, longestLinger, s.Linger())
}
