package emulator

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

// stepDuration is the virtual time that runs after each step of a test.
const stepDuration = 3 * time.Second

func documentWithHosts(names ...string) *config.Document {
	d := &config.Document{
		FailureDomains: []config.FailureDomain{{Name: "a", Region: "r"}},
		Teams:          []config.Team{{Name: "t", Weight: 1}},
	}
	for _, n := range names {
		d.FailureDomains[0].Hosts = append(d.FailureDomains[0].Hosts, config.Host{Name: n, Address: n + ":1"})
	}
	return d
}

// configWithoutForwarding returns the configuration of a host that dispatches
// all its jobs itself, so that no other host learns of a key by dispatching its
// job.
func configWithoutForwarding(self membership.Host, all []membership.Host) engine.Config {
	c := hostConfig(self, all)
	c.Slots = engine.SlotsAnywhere
	return c
}

// joinScenario is a run in which host a3 joins a1 and a2.
type joinScenario struct {
	*Emulator
	t      *testing.T
	starts map[job.TaskID]int // number of starts on minions
}

func newJoinScenario(t *testing.T) *joinScenario {
	g := &joinScenario{Emulator: New(1, startTime), t: t, starts: map[job.TaskID]int{}}
	g.Net = Network{MinDelay: time.Millisecond, MaxDelay: time.Millisecond}
	g.OnStart = func(_ *Host, _ *Minion, s engine.Start, _ int) { g.starts[s.Task]++ }
	hosts := []membership.Host{
		{Name: "a1", FailureDomain: "a", Region: "r", Address: "a1:1"},
		{Name: "a2", FailureDomain: "a", Region: "r", Address: "a2:1"},
	}
	a3 := membership.Host{Name: "a3", FailureDomain: "a", Region: "r", Address: "a3:1"}
	for _, h := range hosts {
		g.AddHost(configWithoutForwarding(h, hosts), tickInterval)
	}
	joining := configWithoutForwarding(a3, hosts)
	joining.Joining = true
	g.AddHost(joining, tickInterval)
	a := minion.Announcement{Name: "m", Worker: "w", Rack: "r", FailureDomain: "a", Services: []string{"s"}, Slots: 8, Connections: 8, Address: "m:1"}
	g.AddMinion(a, g.Hosts()[:1], nil)
	for _, h := range hosts {
		g.apply(h.Name, 1, documentWithHosts("a1", "a2"))
	}
	return g
}

// apply applies a version of the configuration on one host.
func (g *joinScenario) apply(host string, version uint64, d *config.Document) {
	h := g.Host(host)
	h.HandleInput(func(now time.Time) { h.Engine.ApplyConfig(now, version, d) })
	g.RunUntil(g.Now().Add(stepDuration))
}

// submit submits a job with one task to a host and returns the code of the
// refusal or of the final answer, JobPending if there is none after
// stepDuration.
func (g *joinScenario) submit(host, key string, attempt int, submitted time.Time) result.Code {
	code := result.JobPending
	g.OnAnswer = func(h *Host, a *job.Answer) {
		if h.Name == host {
			code = a.Code
		}
	}
	s := job.Submission{ID: job.ID{Team: "t", Key: key}, Attempt: attempt, Service: "s", SubmittedAt: submitted, Tasks: make([]job.Task, 1)}
	g.Host(host).Submit(s, time.Minute, func(_ *job.Answer, err *result.Error) {
		if err != nil {
			code = err.Code
		}
	})
	g.RunUntil(g.Now().Add(stepDuration))
	return code
}

// A joining host refuses jobs until more than half of the hosts of its region
// have a configuration that lists it. After that, a host that still has the
// old configuration does not run a repetition of a key owned by the new host.
func TestJoiningHostIsKnownBeforeItWorks(t *testing.T) {
	g := newJoinScenario(t)
	g.apply("a3", 2, documentWithHosts("a1", "a2", "a3"))
	must.Eq(t, result.Joining, g.submit("a3", "early", 1, g.Now()))
	g.apply("a1", 2, documentWithHosts("a1", "a2", "a3"))
	submitted := g.Now()
	must.Eq(t, result.OK, g.submit("a3", "k", 1, submitted))
	must.Eq(t, result.OwnerUnknown, g.submit("a2", "k", 2, submitted))
	g.apply("a2", 2, documentWithHosts("a1", "a2", "a3"))
	must.Eq(t, result.OK, g.submit("a2", "k", 3, submitted))
	must.Eq(t, 1, g.starts[job.TaskID{Job: job.ID{Team: "t", Key: "k"}}])
}

// A removed host may own keys. Other hosts therefore do not run repetitions of
// jobs submitted before the removal until the key lifetime has passed.
func TestRemovedHostsKeysAreNotRunAgain(t *testing.T) {
	g := newJoinScenario(t)
	for _, h := range []string{"a3", "a1", "a2"} {
		g.apply(h, 2, documentWithHosts("a1", "a2", "a3"))
	}
	submitted := g.Now()
	must.Eq(t, result.OK, g.submit("a3", "k", 1, submitted))
	g.apply("a1", 3, documentWithHosts("a1", "a2"))
	g.apply("a2", 3, documentWithHosts("a1", "a2"))
	must.Eq(t, result.OwnerUnknown, g.submit("a1", "k", 2, submitted))
	must.Eq(t, result.OK, g.submit("a1", "later", 2, g.Now()))
}
