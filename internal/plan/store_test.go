package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1767225600, 0)

func newTestStore() *Store {
	return NewStore(Limits{MaxPlans: 3, MaxConfirmations: 4, Lifetime: time.Minute})
}

func TestResentConfirmationGetsFirstOutcome(t *testing.T) {
	s := newTestStore()
	s.Add(epoch, "p", &Plan{})
	c, err := s.Begin(epoch, "p", "cmd", "ana")
	must.Nil(t, err)
	must.NotNil(t, c.Plan)
	s.Finish(c, Outcome{Code: result.OK, Version: 8})
	afterExpiry := epoch.Add(time.Hour)
	c, err = s.Begin(afterExpiry, "p", "cmd", "ana")
	must.Nil(t, err)
	must.Nil(t, c.Plan)
	must.Eq(t, 8, c.Outcome.Version)
	_, err = s.Begin(afterExpiry, "p", "other", "rui")
	must.Eq(t, result.UnknownPlan, err.Code)
	_, err = s.Begin(afterExpiry, "q", "cmd", "ana")
	must.Eq(t, result.InvalidField, err.Code)
}

func TestPlanIsConfirmedByOneCommand(t *testing.T) {
	s := newTestStore()
	s.Add(epoch, "p", &Plan{})
	_, err := s.Begin(epoch, "p", "one", "ana")
	must.Nil(t, err)
	_, err = s.Begin(epoch, "p", "two", "rui")
	must.Eq(t, result.PlanStale, err.Code)
	must.StrContains(t, err.Detail, "by ana")
}

// Without a majority the outcome is not final: a resent confirmation proposes the
// plan again until the confirmation expires. From then on it gets the last
// outcome.
func TestResendRetriesUndecidedPlan(t *testing.T) {
	s := newTestStore()
	s.Add(epoch, "p", &Plan{})
	c, _ := s.Begin(epoch, "p", "cmd", "ana")
	s.Finish(c, Outcome{Code: result.NoMajority})
	c, err := s.Begin(epoch.Add(time.Second), "p", "cmd", "ana")
	must.Nil(t, err)
	must.NotNil(t, c.Plan)
	c, err = s.Begin(epoch.Add(time.Minute), "p", "cmd", "ana")
	must.Nil(t, err)
	must.Nil(t, c.Plan)
	must.Eq(t, result.NoMajority, c.Outcome.Code)
}

func TestStoreStaysWithinLimits(t *testing.T) {
	s := newTestStore()
	for i := range 100 {
		id := fmt.Sprint("p", i)
		s.Add(epoch, id, &Plan{})
		c, err := s.Begin(epoch, id, "cmd-"+id, "ana")
		must.Nil(t, err)
		s.Finish(c, Outcome{Code: result.NoMajority})
		plans, confirmations := s.Len()
		must.LessEq(t, 3, plans)
		must.LessEq(t, 4, confirmations)
	}
	retainedPlans := 0
	for _, c := range s.confirmations {
		if c.Plan != nil {
			retainedPlans++
		}
	}
	must.LessEq(t, 3, retainedPlans)
}
