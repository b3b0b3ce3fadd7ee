package daemon

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/plan"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Bounds of the operators' requests.
const (
	maxPlans       = 64
	maxCommands    = 1024
	planLifetime   = 15 * time.Minute
	confirmTimeout = 8 * time.Second // less than the command line's own
	winnerTimeout  = 2 * time.Second // wait for the change that won to be in force here
	winnerPoll     = 20 * time.Millisecond
	planIDLength   = 8
)

// operators keeps the plans made on this host and the confirmations of them.
type operators struct {
	mu      sync.Mutex
	store   *plan.Store
	running map[string]chan struct{} // by command; closed when the try has ended
}

func newOperators() *operators {
	limits := plan.Limits{Plans: maxPlans, Commands: maxCommands, Lifetime: planLifetime}
	return &operators{store: plan.NewStore(limits), running: make(map[string]chan struct{})}
}

// Plan implements api.Control.
func (d *Daemon) Plan(_ context.Context, r api.PlanRequest) (api.PlanResponse, *result.Error) {
	want := plan.Request{Intent: r.Intent, Minions: r.Minions, Hosts: r.Hosts}
	if r.Document != "" {
		doc, err := config.Parse(r.File, []byte(r.Document))
		if err != nil {
			return api.PlanResponse{}, result.Errorf(result.PlanRefused, "%v", err)
		}
		want.Document = doc
	}
	view, err := d.view()
	if err != nil {
		return api.PlanResponse{}, err
	}
	p, err := plan.Make(want, view)
	if err != nil {
		return api.PlanResponse{}, err
	}
	return d.keepPlan(p), nil
}

func (d *Daemon) keepPlan(p *plan.Plan) api.PlanResponse {
	id := uuid.NewString()[:planIDLength]
	now := time.Now()
	d.operators.mu.Lock()
	expiresAt := d.operators.store.Add(now, id, p)
	d.operators.mu.Unlock()
	return api.PlanResponse{
		Name:      result.OK.String(),
		ID:        id,
		Intent:    p.Intent,
		Base:      p.Base,
		Digest:    p.Digest,
		Changes:   p.Changes,
		Touches:   api.Touches(p.Touches),
		Warnings:  p.Warnings,
		Host:      d.settings.Host,
		ExpiresMS: expiresAt.Sub(now).Milliseconds(),
	}
}

// view returns what this host knows, for a plan.
func (d *Daemon) view() (plan.View, *result.Error) {
	var v plan.View
	err := d.query(func(e *engine.Engine, now time.Time) { v = planView(e, now) })
	return v, err
}

func planView(e *engine.Engine, now time.Time) plan.View {
	self := e.Host()
	v := plan.View{
		Host:          self.Name,
		FailureDomain: self.FailureDomain,
		Version:       e.ConfigVersion(),
		Document:      e.Document(),
		Hosts:         []plan.Host{{Name: self.Name, Incarnation: string(e.Incarnation()), Up: true}},
		Work:          workByTeam(e),
	}
	for _, p := range e.Members().All() {
		v.Hosts = append(v.Hosts, plan.Host{Name: p.Name, Incarnation: string(p.Incarnation), Up: p.Up()})
	}
	for _, m := range e.Minions().All() {
		v.Minions = append(v.Minions, plan.Minion{Name: m.Name, Services: m.Services, Ready: m.Ready(now), Running: m.InUse()})
	}
	return v
}

// workByTeam counts the tasks of jobs in progress by team and service.
func workByTeam(e *engine.Engine) []plan.Work {
	type teamService struct{ team, service string }
	index := make(map[teamService]int)
	var all []plan.Work
	e.Jobs().EachActive(func(j *job.Job) {
		k := teamService{j.ID.Team, j.Service}
		i, ok := index[k]
		if !ok {
			i = len(all)
			index[k] = i
			all = append(all, plan.Work{Team: k.team, Service: k.service})
		}
		all[i].Queued += j.Queued()
		all[i].Running += j.Running()
	})
	return all
}

// Confirm implements api.Control. Requests with one command identity are
// carried out one after the other, so that a resend gets the first outcome.
func (d *Daemon) Confirm(ctx context.Context, id string, r api.ConfirmRequest) (api.ConfirmResponse, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	o := d.operators
	if err := o.enter(ctx, r.Command); err != nil {
		return api.ConfirmResponse{}, err
	}
	defer o.leave(r.Command)
	o.mu.Lock()
	c, err := o.store.Begin(time.Now(), id, r.Command, r.Operator)
	if err != nil {
		o.mu.Unlock()
		return d.confirmChosen(ctx, r, err)
	}
	try := *c
	o.mu.Unlock()
	if try.Plan == nil {
		return confirmResponse(try.Outcome), nil
	}
	outcome, err := d.carryOut(ctx, &try)
	if err != nil {
		return api.ConfirmResponse{}, err
	}
	o.mu.Lock()
	o.store.Finish(c, outcome)
	o.mu.Unlock()
	event.Log(ctx, d.log, event.PlanConfirmed, slog.String("plan", id), slog.String("command", r.Command),
		slog.String("operator", r.Operator), slog.Int("code", int(outcome.Code)), slog.Uint64("version", outcome.Version))
	return confirmResponse(outcome), nil
}

// confirmChosen answers a command whose plan this host does not have, or no
// longer, from the latest configuration versions. unknown is the answer when
// none of them was chosen for the command.
func (d *Daemon) confirmChosen(ctx context.Context, r api.ConfirmRequest, unknown *result.Error) (api.ConfirmResponse, *result.Error) {
	latest := d.control.View().Record
	if unknown.Code != result.UnknownPlan || latest == nil {
		return api.ConfirmResponse{}, unknown
	}
	i := slices.IndexFunc(latest.Recent, func(c peer.CommandRecord) bool { return c.Command == r.Command && c.Operator == r.Operator })
	if i < 0 {
		return api.ConfirmResponse{}, unknown
	}
	version := latest.Recent[i].Version
	if version < latest.Version {
		return confirmResponse(plan.Outcome{Version: version}), nil
	}
	document, err := control.Document(latest)
	if err != nil {
		return api.ConfirmResponse{}, result.Errorf(result.StoreUnavailable, "%v", err)
	}
	// The same proposal again: only the control hosts know whether the latest
	// version is on enough disks to count as accepted.
	chosen := d.proposer.Propose(ctx, control.Proposal{
		Command:  r.Command,
		Operator: r.Operator,
		Base:     version - 1,
		Document: document,
	})
	return confirmResponse(plan.Outcome{Code: chosen.Code, Detail: chosen.Detail, Version: chosen.Version, Winner: chosen.Winner}), nil
}

// enter waits until no other request with the command is in progress.
func (o *operators) enter(ctx context.Context, command string) *result.Error {
	for {
		o.mu.Lock()
		ended := o.running[command]
		if ended == nil {
			o.running[command] = make(chan struct{})
			o.mu.Unlock()
			return nil
		}
		o.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
			return result.Errorf(result.NoMajority, "command %q is still in progress; send it again", command)
		}
	}
}

func (o *operators) leave(command string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.running[command])
	delete(o.running, command)
}

// carryOut proposes the plan. The control hosts refuse one whose base has
// moved, and tell by whom, unless it was this very command that moved it.
func (d *Daemon) carryOut(ctx context.Context, c *plan.Confirmation) (plan.Outcome, *result.Error) {
	version, _, err := d.document()
	if err != nil {
		return plan.Outcome{}, err
	}
	chosen := d.proposer.Propose(ctx, control.Proposal{
		Command:  c.Command,
		Operator: c.Operator,
		Base:     c.Plan.Base,
		Document: c.Plan.Encoded,
	})
	o := plan.Outcome{Code: chosen.Code, Detail: chosen.Detail, Version: chosen.Version, Winner: chosen.Winner}
	if o.Code == result.VersionTaken && version != c.Plan.Base {
		o.Code = result.PlanStale // it lost no race: its base had moved before
	}
	if o.Code == result.VersionTaken || o.Code == result.PlanStale {
		o.Changes = d.changesSince(ctx, c.Plan, o.Version)
	}
	return o, nil
}

// document returns the version and document in force.
func (d *Daemon) document() (version uint64, doc *config.Document, err *result.Error) {
	err = d.query(func(e *engine.Engine, _ time.Time) { version, doc = e.ConfigVersion(), e.Document() })
	return version, doc, err
}

// changesSince lists what the change that won did to the plan's base, once it
// is in force here.
func (d *Daemon) changesSince(ctx context.Context, p *plan.Plan, version uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, winnerTimeout)
	defer cancel()
	for {
		inForce, doc, err := d.document()
		if err == nil && inForce >= version && inForce != p.Base {
			return plan.Changes(p.Before, doc)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(winnerPoll):
		}
	}
}

func confirmResponse(o plan.Outcome) api.ConfirmResponse {
	return api.ConfirmResponse{
		Code:    o.Code,
		Name:    o.Code.String(),
		Detail:  o.Detail,
		Version: o.Version,
		Winner:  o.Winner,
		Changes: o.Changes,
	}
}

// Config implements api.Control.
func (d *Daemon) Config(context.Context) (api.ConfigResponse, *result.Error) {
	version, doc, err := d.document()
	if err != nil {
		return api.ConfigResponse{}, err
	}
	r := api.ConfigResponse{
		Name:    result.OK.String(),
		Version: version,
		AgeMS:   d.core.inForce.age(time.Now()).Milliseconds(),
	}
	if doc == nil {
		return r, nil
	}
	text, encodeErr := doc.Encode()
	if encodeErr != nil {
		return r, result.Errorf(result.StoreUnavailable, "%v", encodeErr)
	}
	r.Document = string(text)
	return r, nil
}
