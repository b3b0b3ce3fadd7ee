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

// The platform gives a share of a number of processors. A missing factor counts as 1, so
// that a host that knows one of them does not count as one of unknown size.
func TestProcessorsAreTheProduct(t *testing.T) {
	must.Eq(t, 0.5, (&Fleet{ProcessorShare: 0.125, ProcessorCores: 4}).Processors())
	must.Eq(t, 0.125, (&Fleet{ProcessorShare: 0.125}).Processors())
	must.Eq(t, 4, (&Fleet{ProcessorCores: 4}).Processors())
	must.Eq(t, 0, (&Fleet{}).Processors())
}
