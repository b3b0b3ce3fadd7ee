package plan

import (
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Limits bounds the memory of a Store.
type Limits struct {
	MaxPlans         int           // maximum number of plans; the oldest is evicted first
	MaxConfirmations int           // maximum number of confirmations; the oldest is evicted first
	Lifetime         time.Duration // how long a plan can be confirmed, and an undecided confirmation retried
}

// Outcome is the result of a confirmation.
type Outcome struct {
	Code    result.Code
	Detail  string
	Version uint64   // created from the plan, or chosen instead of it
	Winner  string   // operator whose change was chosen instead, if any
	Changes []string // differences from the plan's base, if another change was chosen
}

// Decided reports whether the outcome is final. Otherwise it is unknown whether
// a version was chosen, and a resent confirmation proposes the plan again.
func (o Outcome) Decided() bool {
	switch o.Code {
	case result.OK, result.VersionTaken, result.PlanStale, result.PlanRefused:
		return true
	}
	return false
}

// Confirmation is an operator's command to apply one plan.
type Confirmation struct {
	Command  string // idempotency key chosen by the operator
	Operator string
	PlanID   string
	Plan     *Plan // nil once the outcome is final

	Outcome   Outcome
	attempted bool      // Outcome is set by at least one attempt
	decided   bool      // Outcome is final
	expiresAt time.Time // when an undecided outcome becomes final
}

// storedPlan is a plan with its id and, once confirmed, its confirmation.
type storedPlan struct {
	id          string
	plan        *Plan
	expiresAt   time.Time
	confirmedBy *Confirmation // nil until the plan is confirmed
}

// Store keeps plans and the outcomes of confirmations in memory, up to its
// limits. It is not safe for concurrent use.
type Store struct {
	limits        Limits
	plans         []*storedPlan   // oldest first
	confirmations []*Confirmation // oldest first
}

// NewStore returns an empty store with the given limits.
func NewStore(l Limits) *Store { return &Store{limits: l} }

// Add stores a plan and returns its expiry time. The id must not be in use.
func (s *Store) Add(now time.Time, id string, p *Plan) time.Time {
	s.expire(now)
	if len(s.plans) >= s.limits.MaxPlans {
		s.plans = slices.Delete(s.plans, 0, 1)
	}
	expiresAt := now.Add(s.limits.Lifetime)
	s.plans = append(s.plans, &storedPlan{id: id, plan: p, expiresAt: expiresAt})
	return expiresAt
}

// Len returns the numbers of stored plans and confirmations.
func (s *Store) Len() (plans, confirmations int) { return len(s.plans), len(s.confirmations) }

// Begin starts or resumes the confirmation of a plan. If the same command has a
// final outcome already, Plan is nil and Outcome holds that outcome. Otherwise
// the caller proposes the plan and passes the outcome to Finish. Begin refuses a
// command that was used for another plan, an unknown or expired plan, and a plan
// that another command has confirmed.
func (s *Store) Begin(now time.Time, planID, command, operator string) (*Confirmation, *result.Error) {
	s.expire(now)
	if c := s.findConfirmation(command); c != nil {
		if c.PlanID != planID {
			return nil, result.Errorf(result.InvalidField, "command %q was used for plan %q", command, c.PlanID)
		}
		return c, nil
	}
	p := s.findPlan(planID)
	if p == nil {
		return nil, result.Errorf(result.UnknownPlan, "plan %q: it expired, was made on another host, or this host has restarted", planID)
	}
	if p.confirmedBy != nil {
		return nil, result.Errorf(result.PlanStale, "plan %q was confirmed by %s under command %q: %s",
			planID, p.confirmedBy.Operator, p.confirmedBy.Command, p.confirmedBy.describe())
	}
	c := &Confirmation{Command: command, Operator: operator, PlanID: planID, Plan: p.plan, expiresAt: now.Add(s.limits.Lifetime)}
	p.confirmedBy = c
	s.addConfirmation(c)
	return c, nil
}

// Finish records the outcome of one attempt to carry out the confirmation.
func (s *Store) Finish(c *Confirmation, o Outcome) {
	c.attempted = true
	c.Outcome = o
	if o.Decided() {
		c.finalize()
	}
}

// finalize makes the outcome final and releases the plan.
func (c *Confirmation) finalize() {
	c.decided = true
	c.Plan = nil
}

// describe returns the state of the confirmation for the error text that
// another operator gets.
func (c *Confirmation) describe() string {
	switch {
	case !c.attempted:
		return "in progress"
	case c.Outcome.Code == result.OK:
		return "accepted"
	}
	return c.Outcome.Code.String()
}

// addConfirmation stores c and evicts the oldest confirmation at the limit.
func (s *Store) addConfirmation(c *Confirmation) {
	if len(s.confirmations) >= s.limits.MaxConfirmations {
		s.confirmations = slices.Delete(s.confirmations, 0, 1)
	}
	s.confirmations = append(s.confirmations, c)
	s.limitUndecided()
}

// limitUndecided bounds the number of undecided confirmations, as each of them
// retains its plan: beyond Limits.MaxPlans it finalizes the oldest ones that have
// been attempted.
func (s *Store) limitUndecided() {
	undecided := 0
	for _, c := range slices.Backward(s.confirmations) {
		if c.decided {
			continue
		}
		undecided++
		if undecided > s.limits.MaxPlans && c.attempted {
			c.finalize()
		}
	}
}

// expire deletes expired plans and finalizes undecided confirmations that have
// been attempted and have expired.
func (s *Store) expire(now time.Time) {
	for len(s.plans) > 0 && !now.Before(s.plans[0].expiresAt) {
		s.plans = slices.Delete(s.plans, 0, 1)
	}
	for _, c := range s.confirmations {
		if !c.decided && c.attempted && !now.Before(c.expiresAt) {
			c.finalize()
		}
	}
}

func (s *Store) findPlan(id string) *storedPlan {
	for _, p := range s.plans {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (s *Store) findConfirmation(command string) *Confirmation {
	for _, c := range s.confirmations {
		if c.Command == command {
			return c
		}
	}
	return nil
}
