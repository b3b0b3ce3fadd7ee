package plan

import (
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Limits bounds a Store.
type Limits struct {
	Plans    int           // plans that wait for confirmation; the oldest gives way
	Commands int           // confirmations remembered; the oldest gives way
	Lifetime time.Duration // of a plan, and of a confirmation without a decision
}

// Outcome is what became of a confirmation.
type Outcome struct {
	Code    result.Code
	Detail  string
	Version uint64   // chosen by, or instead of, the plan
	Winner  string   // operator whose change was chosen instead
	Changes []string // since the plan's base, when another change was chosen
}

// Decided reports whether the outcome is final. Otherwise nothing is known to
// be chosen, and a resend tries again.
func (o Outcome) Decided() bool {
	switch o.Code {
	case result.OK, result.VersionTaken, result.PlanStale, result.PlanRefused:
		return true
	}
	return false
}

// Confirmation is an operator's command to carry out one plan.
type Confirmation struct {
	Command  string // identity chosen by the operator
	Operator string
	PlanID   string
	Plan     *Plan // nil once Outcome is decided

	Outcome   Outcome
	tried     bool // Outcome is set
	decided   bool
	expiresAt time.Time // end of tries without a decision
}

// stored is a plan in the store.
type stored struct {
	id        string
	plan      *Plan
	expiresAt time.Time
	command   *Confirmation // that confirmed it
}

// Store keeps plans and the outcomes of confirmations in bounded memory. It
// isn't safe for concurrent use.
type Store struct {
	limits   Limits
	plans    []*stored       // oldest first
	commands []*Confirmation // oldest first
}

// NewStore returns an empty store.
func NewStore(l Limits) *Store { return &Store{limits: l} }

// Add keeps a plan under an unused id and returns when it expires.
func (s *Store) Add(now time.Time, id string, p *Plan) time.Time {
	s.expire(now)
	if len(s.plans) >= s.limits.Plans {
		s.plans = slices.Delete(s.plans, 0, 1)
	}
	expiresAt := now.Add(s.limits.Lifetime)
	s.plans = append(s.plans, &stored{id: id, plan: p, expiresAt: expiresAt})
	return expiresAt
}

// Len returns the number of plans and of confirmations that are remembered.
func (s *Store) Len() (plans, commands int) { return len(s.plans), len(s.commands) }

// Begin starts a confirmation. Its Plan is nil when the command was decided
// before: Outcome then is the first outcome. Otherwise the caller proposes the
// plan and reports to Finish.
func (s *Store) Begin(now time.Time, planID, command, operator string) (*Confirmation, *result.Error) {
	s.expire(now)
	if c := s.command(command); c != nil {
		if c.PlanID != planID {
			return nil, result.Errorf(result.InvalidField, "command %q was used for plan %q", command, c.PlanID)
		}
		return c, nil
	}
	p := s.plan(planID)
	if p == nil {
		return nil, result.Errorf(result.UnknownPlan, "plan %q: it expired, was made on another host, or this host has restarted", planID)
	}
	if p.command != nil {
		return nil, result.Errorf(result.PlanStale, "plan %q was confirmed by %s under command %q: %s",
			planID, p.command.Operator, p.command.Command, p.command.state())
	}
	c := &Confirmation{Command: command, Operator: operator, PlanID: planID, Plan: p.plan, expiresAt: now.Add(s.limits.Lifetime)}
	p.command = c
	s.remember(c)
	return c, nil
}

// Finish records the outcome of a try.
func (s *Store) Finish(c *Confirmation, o Outcome) {
	c.tried = true
	c.Outcome = o
	if o.Decided() {
		c.decide()
	}
}

// decide makes the outcome final and frees the plan.
func (c *Confirmation) decide() {
	c.decided = true
	c.Plan = nil
}

// state describes the confirmation to another operator.
func (c *Confirmation) state() string {
	switch {
	case !c.tried:
		return "in progress"
	case c.Outcome.Code == result.OK:
		return "accepted"
	}
	return c.Outcome.Code.String()
}

// remember keeps c; the oldest command gives way.
func (s *Store) remember(c *Confirmation) {
	if len(s.commands) >= s.limits.Commands {
		s.commands = slices.Delete(s.commands, 0, 1)
	}
	s.commands = append(s.commands, c)
	s.boundUndecided()
}

// boundUndecided ends the tries of the oldest commands without a decision, as
// each keeps its plan.
func (s *Store) boundUndecided() {
	undecided := 0
	for _, c := range slices.Backward(s.commands) {
		if c.decided {
			continue
		}
		undecided++
		if undecided > s.limits.Plans && c.tried {
			c.decide()
		}
	}
}

// expire drops old plans, and the plans of commands without a decision.
func (s *Store) expire(now time.Time) {
	for len(s.plans) > 0 && !now.Before(s.plans[0].expiresAt) {
		s.plans = slices.Delete(s.plans, 0, 1)
	}
	for _, c := range s.commands {
		if !c.decided && c.tried && !now.Before(c.expiresAt) {
			c.decide()
		}
	}
}

func (s *Store) plan(id string) *stored {
	for _, p := range s.plans {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (s *Store) command(id string) *Confirmation {
	for _, c := range s.commands {
		if c.Command == id {
			return c
		}
	}
	return nil
}
