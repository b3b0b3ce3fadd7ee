package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/plan"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/shoenig/test/must"
)

// sendOperatorRequest sends a request to the host's operator API and decodes the
// answer, whatever its HTTP status.
func sendOperatorRequest[T any](h *host, method, path string, body any) (T, error) {
	var out T
	text, err := json.Marshal(body)
	if err != nil {
		return out, err
	}
	req, err := http.NewRequest(method, "http://"+h.settings.Listen.Operators+path, bytes.NewReader(text))
	if err != nil {
		return out, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// createPlan makes a plan on the host.
func (h *host) createPlan(t *testing.T, r api.PlanRequest) api.PlanResponse {
	t.Helper()
	p, err := sendOperatorRequest[api.PlanResponse](h, "POST", "/v1/plans", r)
	must.NoError(t, err)
	must.Eq(t, result.OK, p.Code, must.Sprint(p.Detail))
	return p
}

// confirm confirms a plan on the host, with the given command ID and operator.
func (h *host) confirm(t *testing.T, id, command, operator string) api.ConfirmResponse {
	t.Helper()
	c, err := h.tryConfirm(id, command, operator)
	must.NoError(t, err)
	return c
}

// tryConfirm confirms a plan like confirm, but returns the error of a failed
// request instead of failing the test.
func (h *host) tryConfirm(id, command, operator string) (api.ConfirmResponse, error) {
	return sendOperatorRequest[api.ConfirmResponse](h, "POST", "/v1/plans/"+id+"/confirm", api.ConfirmRequest{Command: command, Operator: operator})
}

// planAndConfirm makes a plan on one host, confirms it there and waits until all
// the given hosts have applied the new version.
func planAndConfirm(t *testing.T, planner *host, r api.PlanRequest, all ...*host) uint64 {
	t.Helper()
	p := planner.createPlan(t, r)
	c := planner.confirm(t, p.ID, "confirm-"+p.ID, "ana")
	must.Eq(t, result.OK, c.Code, must.Sprint(c.Detail))
	for _, h := range all {
		h.awaitVersion(t, c.Version)
	}
	return c.Version
}

func (h *host) awaitVersion(t *testing.T, version uint64) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s has version %d", h.settings.Host, version), func() bool {
		s, err := h.status()
		return err == nil && s.ConfigVersion >= version
	})
}

// controlHosts starts three control hosts in two failure domains and waits until
// they have applied a configuration.
func controlHosts(t *testing.T, edits ...func(*settings.Settings)) (a1, a2, b1 *host) {
	t.Helper()
	s := []settings.Settings{hostSettings(t, "a-1", "a"), hostSettings(t, "a-2", "a"), hostSettings(t, "b-1", "b")}
	makeAllPeers(&s[0], &s[1], &s[2])
	hosts := make([]*host, len(s))
	for i := range s {
		s[i].DataFolder = t.TempDir()
		s[i].Control.Members = []string{"a-1", "a-2", "b-1"}
		for _, edit := range edits {
			edit(&s[i])
		}
		hosts[i] = startHost(t, s[i])
	}
	for _, h := range hosts {
		h.awaitPeers(t, len(hosts)-1)
	}
	r := api.PlanRequest{Intent: plan.Change, File: "wanted.json", Document: wantedDocument(t, hosts)}
	planAndConfirm(t, hosts[0], r, hosts...)
	return hosts[0], hosts[1], hosts[2]
}

// wantedDocument returns a document that lists the given hosts, all of them as
// control hosts.
func wantedDocument(t *testing.T, hosts []*host) string {
	t.Helper()
	var control, a, b []string
	for _, h := range hosts {
		status, err := h.status()
		must.NoError(t, err)
		control = append(control, fmt.Sprintf(`{"host": %q, "disk": %q}`, status.Host, status.Disk))
		entry := fmt.Sprintf(`{"name": %q, "address": %q}`, status.Host, h.settings.Listen.Peers)
		if status.FailureDomain == "a" {
			a = append(a, entry)
		} else {
			b = append(b, entry)
		}
	}
	return fmt.Sprintf(`{
  "services": [{"name": "despacho"}], // declared
  "teams": [{"name": "team", "weight": 1}],
  "failure_domains": [{"name": "a", "region": "test", "hosts": [%s]}, {"name": "b", "region": "test", "hosts": [%s]}],
  "control_hosts": [%s],
}`, strings.Join(a, ","), strings.Join(b, ","), strings.Join(control, ","))
}

func drainRequest(minion string) api.PlanRequest {
	return api.PlanRequest{Intent: plan.Drain, Minions: []string{minion}}
}

// runOneTask submits a job with one task and returns the minion that ran it.
func (h *host) runOneTask(t *testing.T, key string) string {
	t.Helper()
	r, err := h.submit(newRequest(key, "one"))
	must.NoError(t, err)
	must.Eq(t, result.OK, r.Code, must.Sprint(r.Detail))
	return r.Timing.Minion
}

// A plan that is not confirmed changes nothing. Once the drain of a minion is
// confirmed, no host of its failure domain starts tasks on it.
func TestDrainWorksOnlyOnceConfirmed(t *testing.T) {
	a1, a2, _ := controlHosts(t)
	startMinion(t, "m1", "a", a1)
	a1.awaitMinions(t, 1)
	a2.awaitMinions(t, 1)
	p := a1.createPlan(t, drainRequest("m1"))
	must.Eq(t, []string{"minion m1 drained"}, p.Changes)
	must.Eq(t, "m1", a1.runOneTask(t, "planned-1"))
	must.Eq(t, "m1", a2.runOneTask(t, "planned-2"))
	s, err := a1.status()
	must.NoError(t, err)
	must.Eq(t, p.Base, s.ConfigVersion)

	startMinion(t, "m2", "a", a2)
	a1.awaitMinions(t, 2)
	a2.awaitMinions(t, 2)
	begin := time.Now()
	c := a1.confirm(t, p.ID, "c", "ana")
	must.Eq(t, result.OK, c.Code, must.Sprint(c.Detail))
	accepted := time.Since(begin)
	a1.awaitMinions(t, 1)
	a2.awaitMinions(t, 1)
	t.Logf("drain accepted after %v, applied on both hosts after %v", accepted, time.Since(begin))
	for i := range 20 {
		must.Eq(t, "m2", a1.runOneTask(t, fmt.Sprint("drained-1-", i)))
		must.Eq(t, "m2", a2.runOneTask(t, fmt.Sprint("drained-2-", i)))
	}
}

// A planned stop of a host answers every request in progress and ends the
// process. It does not stop the host's next process, which stays drained until
// an operator undrains the host.
func TestPlannedStopAnswersRequestsInProgress(t *testing.T) {
	const jobs = 8
	a1, a2, b1 := controlHosts(t)
	startMinion(t, "m1", "a", a1)
	a2.awaitMinions(t, 1)
	var wg sync.WaitGroup
	answers := make([]api.JobResponse, jobs)
	for i := range jobs {
		wg.Go(func() {
			answers[i], _ = a2.submit(newRequest(fmt.Sprint("k", i), fmt.Sprintf("sleep %dms", 500+200*i)))
		})
	}
	eventually(t, "jobs in progress", func() bool {
		s, err := a2.status()
		return err == nil && s.ActiveJobs == jobs
	})
	planAndConfirm(t, a1, api.PlanRequest{Intent: plan.Stop, Hosts: []string{"a-2"}}, a1, b1)
	wg.Wait()
	for _, r := range answers {
		must.Eq(t, result.OK, r.Code, must.Sprint(r.Detail))
	}
	must.NoError(t, <-a2.exited)
	a2.exited <- nil

	a2.process = startProcess(t, "laburnumd", "-settings", a2.settingsFile)
	eventually(t, "a-2 restarted and is drained", func() bool {
		s, err := a2.status()
		return err == nil && s.Drained && !s.Stopping
	})
	r, err := a2.submit(newRequest("refused", "one"))
	must.NoError(t, err)
	must.Eq(t, result.Stopping, r.Code)
	planAndConfirm(t, a1, api.PlanRequest{Intent: plan.Undrain, Hosts: []string{"a-2"}}, a1, a2, b1)
	a2.awaitMinions(t, 1)
	must.Eq(t, "m1", a2.runOneTask(t, "served"))
}

// A resent confirmation returns its first outcome. A plan whose base version is
// no longer the newest is refused, and the answer names the operator whose change
// was accepted first. Only the host that made a plan knows it.
func TestResendAndStalePlan(t *testing.T) {
	a1, a2, _ := controlHosts(t)
	old := a1.createPlan(t, drainRequest("m1"))
	p := a1.createPlan(t, drainRequest("m2"))
	first := a1.confirm(t, p.ID, "c", "ana")
	must.Eq(t, result.OK, first.Code, must.Sprint(first.Detail))
	a2.awaitVersion(t, first.Version)
	other := a2.createPlan(t, drainRequest("m3"))
	must.Eq(t, result.OK, a2.confirm(t, other.ID, "c2", "rui").Code)
	must.Eq(t, first, a1.confirm(t, p.ID, "c", "ana"))

	stale := a1.confirm(t, old.ID, "c3", "eva")
	must.Eq(t, result.PlanStale, stale.Code)
	must.Eq(t, "ana", stale.Winner)
	must.SliceContains(t, stale.Changes, "minion m2 drained")
	must.Eq(t, stale, a1.confirm(t, old.ID, "c3", "eva"))
	must.Eq(t, result.UnknownPlan, a2.confirm(t, old.ID, "c4", "eva").Code)
}

// The control hosts store the commands of the latest versions. A resent command
// therefore gets its first outcome from any host, also after the restart of the
// host that held the plan.
func TestResendAfterTheLossOfThePlan(t *testing.T) {
	a1, a2, b1 := controlHosts(t)
	p := a1.createPlan(t, drainRequest("m1"))
	older := a1.confirm(t, p.ID, "older", "ana")
	must.Eq(t, result.OK, older.Code, must.Sprint(older.Detail))
	p = a1.createPlan(t, drainRequest("m2"))
	latest := a1.confirm(t, p.ID, "latest", "ana")
	must.Eq(t, result.OK, latest.Code, must.Sprint(latest.Detail))
	a1.kill()
	a1.restart(t)
	for _, h := range []*host{a1, a2, b1} {
		h.awaitVersion(t, latest.Version)
		must.Eq(t, older, h.confirm(t, "lost", "older", "ana"))
		must.Eq(t, latest, h.confirm(t, "lost", "latest", "ana"))
		must.Eq(t, result.UnknownPlan, h.confirm(t, "lost", "latest", "rui").Code)
		must.Eq(t, result.UnknownPlan, h.confirm(t, "lost", "never", "ana").Code)
	}
}

// Of two operators who confirm plans with the same base version on two hosts at
// once, exactly one succeeds. The answer to the other names the operator who
// succeeded and the changes.
func TestRacingOperators(t *testing.T) {
	a1, a2, b1 := controlHosts(t)
	for round := range 5 {
		hosts, operators := []*host{a1, b1}, []string{"ana", "rui"}
		plans, outcomes := make([]api.PlanResponse, 2), make([]api.ConfirmResponse, 2)
		for i, h := range hosts {
			plans[i] = h.createPlan(t, drainRequest(fmt.Sprint("m-", round, "-", operators[i])))
		}
		must.Eq(t, plans[0].Base, plans[1].Base)
		var wg sync.WaitGroup
		for i, h := range hosts {
			wg.Go(func() { outcomes[i], _ = h.tryConfirm(plans[i].ID, "confirm-"+plans[i].ID, operators[i]) })
		}
		wg.Wait()
		winner := 0
		if outcomes[1].Code == result.OK {
			winner = 1
		}
		loser := outcomes[1-winner]
		must.Eq(t, result.OK, outcomes[winner].Code, must.Sprint(outcomes))
		must.SliceContains(t, []result.Code{result.VersionTaken, result.PlanStale}, loser.Code, must.Sprint(outcomes))
		must.Eq(t, operators[winner], loser.Winner)
		must.Eq(t, []string{fmt.Sprintf("minion m-%d-%s drained", round, operators[winner])}, loser.Changes)
		for _, h := range []*host{a1, a2, b1} {
			h.awaitVersion(t, outcomes[winner].Version)
		}
	}
}

// Without a majority of the control hosts a confirmation is answered with
// NoMajority, and callers are still served. Once there is a majority again, the
// resent confirmation is carried out.
func TestNoMajorityThenResend(t *testing.T) {
	a1, a2, b1 := controlHosts(t)
	startMinion(t, "m1", "a", a1)
	a1.awaitMinions(t, 1)
	p := a1.createPlan(t, drainRequest("m9"))
	a2.kill()
	b1.kill()
	must.Eq(t, result.NoMajority, a1.confirm(t, p.ID, "c", "ana").Code)
	must.Eq(t, "m1", a1.runOneTask(t, "served"))
	a2.restart(t)
	var c api.ConfirmResponse
	eventually(t, "resend accepted", func() bool {
		c = a1.confirm(t, p.ID, "c", "ana")
		return c.Code == result.OK
	})
	a2.awaitVersion(t, c.Version)
	b1.restart(t)
	b1.awaitVersion(t, c.Version)
}
