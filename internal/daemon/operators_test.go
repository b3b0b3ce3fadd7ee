package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/plan"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// fakeProposer is a proposer in memory that the daemons of a test share. It chooses
// one proposal per version and applies a chosen document to all daemons before
// Propose returns.
type fakeProposer struct {
	mu         sync.Mutex
	version    uint64
	winner     string
	proposals  int
	noMajority int           // number of proposals still to fail with NoMajority
	gate       chan struct{} // if not nil, Propose blocks until it is closed
	proposed   chan struct{} // if not nil, receives a value at the start of each Propose
	outcomes   map[string]control.Outcome
	daemons    []*Daemon
}

func (r *fakeProposer) Propose(ctx context.Context, p control.Proposal) control.Outcome {
	if r.proposed != nil {
		r.proposed <- struct{}{}
	}
	if r.gate != nil {
		select {
		case <-r.gate:
		case <-ctx.Done():
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proposals++
	if o, ok := r.outcomes[p.Command]; ok {
		return o
	}
	if r.noMajority > 0 {
		r.noMajority--
		return control.Outcome{Command: p.Command, Code: result.NoMajority}
	}
	if p.Base != r.version {
		return control.Outcome{Command: p.Command, Code: result.VersionTaken, Version: r.version, Winner: r.winner}
	}
	r.version, r.winner = r.version+1, p.Operator
	r.apply(p.Document)
	o := control.Outcome{Command: p.Command, Code: result.OK, Version: r.version}
	r.outcomes[p.Command] = o
	return o
}

func (r *fakeProposer) apply(text []byte) {
	doc, err := config.Parse("proposal", text)
	if err != nil {
		panic(err)
	}
	for _, d := range r.daemons {
		if err := d.runInCore(func(e *engine.Engine, now time.Time) { e.ApplyConfig(now, r.version, doc) }); err != nil {
			panic(err)
		}
	}
}

// newDaemon returns a daemon on free ports whose core goroutine runs. It proposes to
// r.
func newDaemon(t *testing.T, name string, r *fakeProposer) *Daemon {
	t.Helper()
	d := newUnstartedDaemon(t, name, r)
	ctx, cancel := context.WithCancel(context.Background())
	go d.core.run(ctx)
	t.Cleanup(func() {
		cancel()
		<-d.core.done
		d.listeners.close()
	})
	return d
}

// newUnstartedDaemon returns a daemon on free ports without running goroutines. It
// proposes to r.
func newUnstartedDaemon(t *testing.T, name string, r *fakeProposer) *Daemon {
	t.Helper()
	s := settings.Defaults()
	s.Host, s.FailureDomain, s.Region = name, "a", "r"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Minions: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	d, err := New(s, slog.New(slog.DiscardHandler))
	must.NoError(t, err)
	d.proposer = r
	r.daemons = append(r.daemons, d)
	return d
}

func newFakeProposer() *fakeProposer {
	return &fakeProposer{outcomes: make(map[string]control.Outcome)}
}

const testDocument = `{
  "services": [{"name": "despacho"}],
  "teams": [{"name": "patio", "weight": 1}],
  "failure_domains": [{"name": "a", "region": "r", "hosts": [
    {"name": "a-1", "address": "127.0.0.1:1"}, {"name": "a-2", "address": "127.0.0.1:2"}]}],
  "control_hosts": []
}`

// testTimeout limits each wait. It is long, so that no test fails because the
// machine is slow.
const testTimeout = 20 * time.Second

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(testTimeout), wait.Gap(time.Millisecond)))
}

func mustPlan(t *testing.T, d *Daemon, r api.PlanRequest) api.PlanResponse {
	t.Helper()
	p, err := d.Plan(t.Context(), r)
	must.Nil(t, err)
	return p
}

func mustConfirm(t *testing.T, d *Daemon, id, command, operator string) api.ConfirmResponse {
	t.Helper()
	c, err := d.Confirm(t.Context(), id, api.ConfirmRequest{Command: command, Operator: operator})
	must.Nil(t, err)
	return c
}

// applyTestDocument makes testDocument the applied configuration, as version 1.
func applyTestDocument(t *testing.T, d *Daemon) {
	t.Helper()
	p := mustPlan(t, d, api.PlanRequest{Intent: plan.Change, File: "wanted.json", Document: testDocument})
	must.Eq(t, result.OK, mustConfirm(t, d, p.ID, "declare", "ana").Code)
}

func drainMinion(name string) api.PlanRequest {
	return api.PlanRequest{Intent: plan.Drain, Minions: []string{name}}
}

func announceMinion(t *testing.T, d *Daemon, name string) {
	t.Helper()
	_, err := d.Announce(t.Context(), minion.Announcement{
		Name: name, Worker: "w", Rack: "k", FailureDomain: "a", Services: []string{"despacho"}, Slots: 1, Connections: 1, Address: "127.0.0.1:9",
	})
	must.Nil(t, err)
}

func minionState(t *testing.T, d *Daemon) string {
	t.Helper()
	s, err := d.Status(t.Context())
	must.Nil(t, err)
	return s.Minions[0].State
}

func TestPlanChangesNothingBeforeConfirm(t *testing.T) {
	r := newFakeProposer()
	d := newDaemon(t, "a-1", r)
	applyTestDocument(t, d)
	announceMinion(t, d, "m1")
	before, err := d.Config(t.Context())
	must.Nil(t, err)
	p := mustPlan(t, d, drainMinion("m1"))
	must.Eq(t, 1, p.Base)
	must.Eq(t, []string{"minion m1 drained"}, p.Changes)
	after, err := d.Config(t.Context())
	must.Nil(t, err)
	must.Eq(t, before.Document, after.Document)
	must.Eq(t, 1, after.Version)
	must.Eq(t, 1, r.proposals)
	must.Eq(t, "ready", minionState(t, d))
	must.Eq(t, result.OK, mustConfirm(t, d, p.ID, "c", "ana").Code)
	must.Eq(t, "draining", minionState(t, d))
}

func TestResentConfirmReturnsFirstOutcome(t *testing.T) {
	r := newFakeProposer()
	d := newDaemon(t, "a-1", r)
	applyTestDocument(t, d)
	p := mustPlan(t, d, drainMinion("m1"))
	first := mustConfirm(t, d, p.ID, "c", "ana")
	other := mustPlan(t, d, drainMinion("m2"))
	must.Eq(t, result.OK, mustConfirm(t, d, other.ID, "c2", "rui").Code)
	must.Eq(t, first, mustConfirm(t, d, p.ID, "c", "ana"))
	must.Eq(t, 3, r.proposals)
	_, err := d.Confirm(t.Context(), p.ID, api.ConfirmRequest{Command: "c3", Operator: "rui"})
	must.Eq(t, result.PlanStale, err.Code)
	_, err = d.Confirm(t.Context(), "unknown", api.ConfirmRequest{Command: "c4", Operator: "rui"})
	must.Eq(t, result.UnknownPlan, err.Code)
}

// A command that is confirmed again while its first request is in progress waits
// for the outcome of the first, until its context ends, and is not proposed a
// second time.
func TestResentConfirmWaitsForFirst(t *testing.T) {
	r := newFakeProposer()
	d := newDaemon(t, "a-1", r)
	applyTestDocument(t, d)
	p := mustPlan(t, d, drainMinion("m1"))
	r.gate, r.proposed = make(chan struct{}), make(chan struct{}, 2)
	outcomes := make(chan api.ConfirmResponse, 2)
	confirm := func() {
		c, _ := d.Confirm(t.Context(), p.ID, api.ConfirmRequest{Command: "c", Operator: "ana"})
		outcomes <- c
	}
	go confirm()
	<-r.proposed
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := d.Confirm(ctx, p.ID, api.ConfirmRequest{Command: "c", Operator: "ana"})
	must.Eq(t, result.NoMajority, err.Code)
	go confirm()
	close(r.gate)
	must.Eq(t, api.ConfirmResponse{Name: "ok", Version: 2}, <-outcomes)
	must.Eq(t, api.ConfirmResponse{Name: "ok", Version: 2}, <-outcomes)
	must.Eq(t, 2, r.proposals)
}

// Of two operators who confirm plans with the same base on two hosts at the same
// time, one wins. The response to the other names the winner and its changes.
func TestConcurrentConfirmsHaveOneWinner(t *testing.T) {
	r := newFakeProposer()
	first, second := newDaemon(t, "a-1", r), newDaemon(t, "a-2", r)
	applyTestDocument(t, first)
	for round := range 20 {
		r.gate = make(chan struct{})
		daemons := []*Daemon{first, second}
		operators := []string{"ana", "rui"}
		outcomes := make([]api.ConfirmResponse, 2)
		var wg sync.WaitGroup
		for i, d := range daemons {
			p := mustPlan(t, d, drainMinion(fmt.Sprint("m-", round, operators[i])))
			command := fmt.Sprint("c-", round, operators[i])
			wg.Go(func() {
				outcomes[i], _ = d.Confirm(t.Context(), p.ID, api.ConfirmRequest{Command: command, Operator: operators[i]})
			})
		}
		close(r.gate)
		wg.Wait()
		winner := 0
		if outcomes[1].Code == result.OK {
			winner = 1
		}
		loser := outcomes[1-winner]
		must.Eq(t, result.OK, outcomes[winner].Code)
		must.NotEq(t, result.OK, loser.Code)
		must.Eq(t, []string{fmt.Sprintf("minion m-%d%s drained", round, operators[winner])}, loser.Changes)
		must.Eq(t, operators[winner], loser.Winner)
	}
}

func TestStalePlanReportsChanges(t *testing.T) {
	r := newFakeProposer()
	d := newDaemon(t, "a-1", r)
	applyTestDocument(t, d)
	stale := mustPlan(t, d, drainMinion("m1"))
	p := mustPlan(t, d, drainMinion("m2"))
	mustConfirm(t, d, p.ID, "c", "ana")
	c := mustConfirm(t, d, stale.ID, "c2", "rui")
	must.Eq(t, result.PlanStale, c.Code)
	must.Eq(t, []string{"minion m2 drained"}, c.Changes)
	must.Eq(t, "ana", c.Winner)
}

func TestResentConfirmAfterNoMajorityIsProposedAgain(t *testing.T) {
	r := newFakeProposer()
	d := newDaemon(t, "a-1", r)
	applyTestDocument(t, d)
	r.noMajority = 1
	p := mustPlan(t, d, drainMinion("m1"))
	must.Eq(t, result.NoMajority, mustConfirm(t, d, p.ID, "c", "ana").Code)
	c := mustConfirm(t, d, p.ID, "c", "ana")
	must.Eq(t, result.OK, c.Code)
	must.Eq(t, 2, c.Version)
}

func TestDrainedHostRefusesJobs(t *testing.T) {
	r := newFakeProposer()
	d := newDaemon(t, "a-1", r)
	d.ready.Store(true)
	applyTestDocument(t, d)
	announceMinion(t, d, "m1")
	must.True(t, d.Ready())
	p := mustPlan(t, d, api.PlanRequest{Intent: plan.Drain, Hosts: []string{"a-1"}})
	mustConfirm(t, d, p.ID, "c", "ana")
	eventually(t, func() bool { return !d.Ready() })
	now := time.Now()
	_, err := d.Submit(t.Context(), &job.Submission{
		ID: job.ID{Team: "patio", Key: "k"}, Attempt: 1, Service: "despacho", SubmittedAt: now, Deadline: now.Add(time.Minute),
		Tasks: []job.Task{{}},
	}, false)
	must.Eq(t, result.Stopping, err.Code)
	p = mustPlan(t, d, api.PlanRequest{Intent: plan.Undrain, Hosts: []string{"a-1"}})
	mustConfirm(t, d, p.ID, "c2", "ana")
	eventually(t, d.Ready)
}

// A confirmed stop ends the incarnation of the host that the plan names. A
// restarted process, which has another incarnation, keeps running with the same
// document.
func TestStopEndsOnlyNamedIncarnation(t *testing.T) {
	r := newFakeProposer()
	d := newUnstartedDaemon(t, "a-1", r)
	ended := make(chan error, 1)
	go func() { ended <- d.Run(t.Context()) }()
	applyTestDocument(t, d)
	p := mustPlan(t, d, api.PlanRequest{Intent: plan.Stop, Hosts: []string{"a-1"}})
	must.Eq(t, result.OK, mustConfirm(t, d, p.ID, "c", "ana").Code)
	must.NoError(t, <-ended)
	must.False(t, d.Ready())

	restarted := newDaemon(t, "a-1", newFakeProposer())
	doc := d.core.engine.Document()
	must.Nil(t, restarted.runInCore(func(e *engine.Engine, now time.Time) { e.ApplyConfig(now, 2, doc) }))
	eventually(t, func() bool { return restarted.core.appliedConfig.appliedAt.Load() != nil })
	s, err := restarted.Status(t.Context())
	must.Nil(t, err)
	must.True(t, s.Drained)
	select {
	case <-restarted.core.appliedConfig.stopRequested:
		t.Fatal("the restarted process was stopped too")
	default:
	}
}

// Jobs lists the jobs in progress first, also when there are more ended jobs than
// the limit of the list.
func TestJobsInProgressAreListedFirst(t *testing.T) {
	d := newDaemon(t, "a-1", newFakeProposer())
	now := time.Now()
	submit := func(key string) job.TaskID {
		id := job.ID{Team: "patio", Key: key}
		s := &job.Submission{ID: id, Attempt: 1, SubmittedAt: now, Deadline: now.Add(time.Minute), Tasks: make([]job.Task, 1)}
		must.Nil(t, d.runInCore(func(e *engine.Engine, now time.Time) { _, _, _ = e.Jobs().Submit(now, s, true) }))
		return job.TaskID{Job: id}
	}
	for i := range 50 {
		task := submit(fmt.Sprint("ended-", i))
		must.Nil(t, d.runInCore(func(e *engine.Engine, now time.Time) {
			e.Jobs().Start(now, task, "m")
			e.Jobs().Finish(now, task, job.Outcome{Code: result.OK})
		}))
	}
	submit("running")
	list, err := d.Jobs(t.Context(), 5)
	must.Nil(t, err)
	must.Len(t, 5, list)
	must.Eq(t, "running", list[0].Key)
	must.True(t, list[1].Ended)
}
