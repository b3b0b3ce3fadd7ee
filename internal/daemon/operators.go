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

// Limits on the requests of operators.
const (
	maxPlans           = 64
	maxCommands        = 1024
	planLifetime       = 15 * time.Minute
	confirmTimeout     = 8 * time.Second // less than the default request timeout of laburnumctl
	winnerApplyTimeout = 2 * time.Second // wait until the winning change is applied on this host
	winnerPollInterval = 20 * time.Millisecond
	planIDLength       = 8
)

// planRegistry keeps the plans made on this host and their confirmations. It lets
// one request per command run at a time.
type planRegistry struct {
	mu         sync.Mutex
	store      *plan.Store
	inProgress map[string]chan struct{} // by command; closed when the request has ended
}

func newPlanRegistry() *planRegistry {
	limits := plan.Limits{MaxPlans: maxPlans, MaxConfirmations: maxCommands, Lifetime: planLifetime}
	return &planRegistry{store: plan.NewStore(limits), inProgress: make(map[string]chan struct{})}
}

// Plan implements api.Control.
func (d *Daemon) Plan(_ context.Context, r api.PlanRequest) (api.PlanResponse, *result.Error) {
	request := plan.Request{Intent: r.Intent, Minions: r.Minions, Hosts: r.Hosts}
	if r.Document != "" {
		doc, err := config.Parse(r.File, []byte(r.Document))
		if err != nil {
			return api.PlanResponse{}, result.Errorf(result.PlanRefused, "%v", err)
		}
		request.Document = doc
	}
	view, err := d.queryPlanView()
	if err != nil {
		return api.PlanResponse{}, err
	}
	p, err := plan.Make(request, view)
	if err != nil {
		return api.PlanResponse{}, err
	}
	return d.storePlan(p), nil
}

func (d *Daemon) storePlan(p *plan.Plan) api.PlanResponse {
	id := uuid.NewString()[:planIDLength]
	now := time.Now()
	d.plans.mu.Lock()
	expiresAt := d.plans.store.Add(now, id, p)
	d.plans.mu.Unlock()
	return api.PlanResponse{
		Name:      result.OK.String(),
		ID:        id,
		Intent:    p.Intent,
		Base:      p.Base,
		Digest:    p.Digest,
		Changes:   p.Changes,
		Impact:    api.Impact(p.Impact),
		Warnings:  p.Warnings,
		Host:      d.settings.Host,
		ExpiresMS: expiresAt.Sub(now).Milliseconds(),
	}
}

// queryPlanView returns the state of this host and its view of the system, from
// which a plan is made.
func (d *Daemon) queryPlanView() (plan.View, *result.Error) {
	var v plan.View
	err := d.runInCore(func(e *engine.Engine, now time.Time) { v = newPlanView(e, now) })
	return v, err
}

func newPlanView(e *engine.Engine, now time.Time) plan.View {
	self := e.Host()
	v := plan.View{
		Host:          self.Name,
		FailureDomain: self.FailureDomain,
		Version:       e.ConfigVersion(),
		Document:      e.Document(),
		Hosts:         []plan.Host{{Name: self.Name, Incarnation: string(e.Incarnation()), Reachable: true}},
		TaskCounts:    countTasks(e),
	}
	for _, p := range e.Members().All() {
		v.Hosts = append(v.Hosts, plan.Host{Name: p.Name, Incarnation: string(p.Incarnation), Reachable: p.Up()})
	}
	for _, m := range e.Minions().All() {
		v.Minions = append(v.Minions, plan.Minion{Name: m.Name, Services: m.Services, Ready: m.Ready(now), Running: m.InUse()})
	}
	return v
}

// countTasks counts the tasks of jobs in progress by team and service.
func countTasks(e *engine.Engine) []plan.TaskCounts {
	type teamService struct{ team, service string }
	index := make(map[teamService]int)
	var all []plan.TaskCounts
	e.Jobs().EachActive(func(j *job.Job) {
		k := teamService{j.ID.Team, j.Service}
		i, ok := index[k]
		if !ok {
			i = len(all)
			index[k] = i
			all = append(all, plan.TaskCounts{Team: k.team, Service: k.service})
		}
		all[i].Queued += j.Queued()
		all[i].Running += j.Running()
	})
	return all
}

// Confirm implements api.Control. Requests with the same command run one after the
// other, so that a resent request gets the outcome of the first.
func (d *Daemon) Confirm(ctx context.Context, id string, r api.ConfirmRequest) (api.ConfirmResponse, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	plans := d.plans
	if err := plans.beginCommand(ctx, r.Command); err != nil {
		return api.ConfirmResponse{}, err
	}
	defer plans.endCommand(r.Command)
	plans.mu.Lock()
	c, err := plans.store.Begin(time.Now(), id, r.Command, r.Operator)
	if err != nil {
		plans.mu.Unlock()
		return d.confirmFromRecent(ctx, r, err)
	}
	confirmation := *c // copied under the lock; proposePlan reads the copy without it
	plans.mu.Unlock()
	if confirmation.Plan == nil {
		return confirmResponse(confirmation.Outcome), nil
	}
	outcome, err := d.proposePlan(ctx, &confirmation)
	if err != nil {
		return api.ConfirmResponse{}, err
	}
	plans.mu.Lock()
	plans.store.Finish(c, outcome)
	plans.mu.Unlock()
	event.Log(ctx, d.log, event.PlanConfirmed, slog.String("plan", id), slog.String("command", r.Command),
		slog.String("operator", r.Operator), slog.Int("code", int(outcome.Code)), slog.Uint64("version", outcome.Version))
	return confirmResponse(outcome), nil
}

// confirmFromRecent answers a command whose plan this host does not store, or no
// longer stores, from the commands that are recorded in the latest configuration
// version. It returns the error unknown if the command is not recorded there.
func (d *Daemon) confirmFromRecent(ctx context.Context, r api.ConfirmRequest, unknown *result.Error) (api.ConfirmResponse, *result.Error) {
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
	// The command produced the latest version. Only the control hosts know whether
	// that version is on enough disks to count as accepted, so the same change is
	// proposed again.
	proposed := d.proposer.Propose(ctx, control.Proposal{
		Command:  r.Command,
		Operator: r.Operator,
		Base:     version - 1,
		Document: document,
	})
	return confirmResponse(plan.Outcome{Code: proposed.Code, Detail: proposed.Detail, Version: proposed.Version, Winner: proposed.Winner}), nil
}

// beginCommand waits until no other request with the command is in progress and
// then registers this one. It returns NoMajority when ctx ends first. After
// a nil error the caller must call endCommand.
func (r *planRegistry) beginCommand(ctx context.Context, command string) *result.Error {
	for {
		r.mu.Lock()
		done := r.inProgress[command]
		if done == nil {
			r.inProgress[command] = make(chan struct{})
			r.mu.Unlock()
			return nil
		}
		r.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return result.Errorf(result.NoMajority, "command %q is still in progress; send it again", command)
		}
	}
}

// endCommand lets the next request with the command proceed.
func (r *planRegistry) endCommand(command string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.inProgress[command])
	delete(r.inProgress, command)
}

// proposePlan proposes the plan to the control hosts. They refuse a plan whose base
// is no longer the latest version and return the operator of the change that was
// chosen instead, unless that change came from this same command.
func (d *Daemon) proposePlan(ctx context.Context, c *plan.Confirmation) (plan.Outcome, *result.Error) {
	version, _, err := d.currentDocument()
	if err != nil {
		return plan.Outcome{}, err
	}
	proposed := d.proposer.Propose(ctx, control.Proposal{
		Command:  c.Command,
		Operator: c.Operator,
		Base:     c.Plan.Base,
		Document: c.Plan.Encoded,
	})
	o := plan.Outcome{Code: proposed.Code, Detail: proposed.Detail, Version: proposed.Version, Winner: proposed.Winner}
	if o.Code == result.VersionTaken && version != c.Plan.Base {
		o.Code = result.PlanStale // the base was outdated before the proposal; no concurrent change won
	}
	if o.Code == result.VersionTaken || o.Code == result.PlanStale {
		o.Changes = d.winnerChanges(ctx, c.Plan, o.Version)
	}
	return o, nil
}

// currentDocument returns the applied configuration version and its document.
func (d *Daemon) currentDocument() (version uint64, doc *config.Document, err *result.Error) {
	err = d.runInCore(func(e *engine.Engine, _ time.Time) { version, doc = e.ConfigVersion(), e.Document() })
	return version, doc, err
}

// winnerChanges waits until the given version, which was chosen instead of the
// plan, or a later one is applied on this host. It returns the differences from the
// plan's base, or nil after winnerApplyTimeout.
func (d *Daemon) winnerChanges(ctx context.Context, p *plan.Plan, version uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, winnerApplyTimeout)
	defer cancel()
	for {
		applied, doc, err := d.currentDocument()
		if err == nil && applied >= version && applied != p.Base {
			return plan.Changes(p.Before, doc)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(winnerPollInterval):
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
	version, doc, err := d.currentDocument()
	if err != nil {
		return api.ConfigResponse{}, err
	}
	r := api.ConfigResponse{
		Name:    result.OK.String(),
		Version: version,
		AgeMS:   d.core.appliedConfig.age(time.Now()).Milliseconds(),
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
