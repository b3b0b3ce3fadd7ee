package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const testHeartbeat = 500 * time.Millisecond

// pair is a failure domain of two hosts, of which d dispatches and a forwards.
// Messages arrive at once, or wait in held.
type pair struct {
	t       *testing.T
	now     time.Time
	d, a    *Engine
	starts  map[string][]Start
	answers map[string][]*job.Answer
	hold    bool
	held    []func()
	minions []minion.Announcement
}

func newPair(t *testing.T, maxActive int) *pair {
	p := &pair{t: t, now: begin, starts: map[string][]Start{}, answers: map[string][]*job.Answer{}}
	p.d = p.engine("d", "a", "1", maxActive)
	p.a = p.engine("a", "d", "1", maxActive)
	for i := range 4 {
		p.minions = append(p.minions, minion.Announcement{
			Name: fmt.Sprintf("m%d", i), Rack: "r", FailureDomain: "f", Services: []string{"s"}, Slots: 2, Address: "m:1", Generation: 1,
		})
	}
	p.pass(3 * time.Second)
	return p
}

func (p *pair) engine(name, other, inc string, maxActive int) *Engine {
	host := map[string]string{"d": "h1", "a": "h2"}
	return New(Config{
		Host: membership.Host{Name: host[name], FailureDomain: "f", Region: "r"}, Incarnation: membership.Incarnation(host[name] + inc),
		Peers:     []membership.Host{{Name: host[other], FailureDomain: "f", Region: "r"}},
		StartedAt: p.now, MinionLease: time.Hour, HeartbeatEvery: testHeartbeat, PeerTimeout: 2 * time.Second,
		RetryBudget: 8, BusyPause: 5 * time.Millisecond, LocateTimeout: 500 * time.Millisecond, LocateResend: 100 * time.Millisecond,
		FollowTimeout: 10 * time.Second, MaxSearches: 100,
		Jobs: job.Limits{MaxActive: maxActive, MaxRecords: 1000, MaxAnswerBytes: 1 << 20, KeyLifetime: time.Minute, ClockError: 10 * time.Millisecond},
	})
}

// pass lets time go by in steps of 50 ms.
func (p *pair) pass(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(50 * time.Millisecond) {
		for _, e := range []*Engine{p.d, p.a} {
			if e == nil {
				continue
			}
			for _, m := range p.minions {
				_ = e.Announce(p.now, m)
			}
			e.Tick(p.now)
		}
		p.flush()
	}
}

// flush carries out what both hosts decided, until nothing follows.
func (p *pair) flush() {
	for more := true; more; {
		more = false
		for _, e := range []*Engine{p.d, p.a} {
			if e == nil {
				continue
			}
			r := e.Ready()
			name := e.Host().Name
			p.starts[name] = append(p.starts[name], r.Starts...)
			p.answers[name] = append(p.answers[name], r.Answers...)
			for _, m := range r.Messages {
				more = true
				p.deliver(name, e.Incarnation(), m)
			}
		}
	}
}

func (p *pair) deliver(from string, inc membership.Incarnation, m Outgoing) {
	f := func() {
		if to := p.host(m.To); to != nil {
			to.Receive(p.now, from, inc, m.Body)
		}
	}
	if _, heartbeat := m.Body.(*peer.Heartbeat); p.hold && !heartbeat {
		p.held = append(p.held, f)
		return
	}
	f()
}

func (p *pair) host(name string) *Engine {
	if name == "h1" {
		return p.d
	}
	return p.a
}

func (p *pair) submit(e *Engine, key string, tasks int) *result.Error {
	_, err := e.Submit(p.now, &job.Submission{
		ID: job.ID{Team: "t", Key: key}, Attempt: 1, Service: "s", SubmittedAt: p.now, Deadline: p.now.Add(10 * time.Second),
		Digest: 7, Tasks: make([]job.Task, tasks),
	})
	p.flush()
	return err
}

func (p *pair) finish(host string, s Start, code result.Code) {
	p.host(host).TaskFinished(p.now, s.Task, s.Minion, job.Outcome{Code: code, Result: []byte{byte(s.Task.Index)}, Run: 200 * time.Millisecond})
	p.flush()
}

func (p *pair) codes(host string) []result.Code {
	var codes []result.Code
	for _, a := range p.answers[host] {
		codes = append(codes, a.Code)
	}
	return codes
}

func TestForwardedJobIsAnsweredByItsOwner(t *testing.T) {
	p := newPair(t, 100)
	must.Nil(t, p.submit(p.a, "k", 3))
	must.Len(t, 3, p.starts["h1"])
	must.SliceEmpty(t, p.starts["h2"])
	for _, s := range p.starts["h1"] {
		p.finish("h1", s, result.OK)
	}
	must.Len(t, 1, p.answers["h2"])
	must.Eq(t, [][]byte{{0}, {1}, {2}}, p.answers["h2"][0].Results)
	must.Zero(t, p.a.Jobs().Active())
}

func TestRepeatedForwardStartsOnce(t *testing.T) {
	p := newPair(t, 100)
	must.Nil(t, p.submit(p.a, "k", 2))
	p.pass(5 * time.Second) // past two repetitions
	must.Len(t, 2, p.starts["h1"])
}

// A refused forward that arrives again, when there is room, is not run: its
// owner has answered "not run".
func TestRefusedForwardStaysRefused(t *testing.T) {
	p := newPair(t, 1)
	p.hold = true
	must.Nil(t, p.submit(p.a, "k", 1))
	must.Len(t, 1, p.held)
	again := p.held[0]
	p.hold = false
	must.Nil(t, p.submit(p.d, "first", 1))
	again()
	p.flush()
	must.Eq(t, []result.Code{result.QueueFull}, p.codes("h2"))
	p.finish("h1", p.starts["h1"][0], result.OK)
	again()
	p.flush()
	must.Len(t, 1, p.starts["h1"])
}

// A forward is meant for one process: its successor cannot know whether the
// job has run.
func TestForwardToFormerProcessIsIgnored(t *testing.T) {
	p := newPair(t, 100)
	p.hold = true
	must.Nil(t, p.submit(p.a, "k", 1))
	p.hold = false
	p.d = p.engine("d", "a", "2", 100)
	p.pass(3 * time.Second)
	for _, f := range p.held {
		f()
	}
	p.flush()
	must.SliceEmpty(t, p.starts["h1"])
	must.Eq(t, []result.Code{result.StartUnknown}, p.codes("h2"))
}

func TestLostDispatcherMayHaveRun(t *testing.T) {
	p := newPair(t, 100)
	must.Nil(t, p.submit(p.a, "k", 1))
	p.d = nil
	p.pass(3 * time.Second)
	must.Eq(t, []result.Code{result.StartUnknown}, p.codes("h2"))
	must.Nil(t, p.submit(p.a, "next", 1))
	must.Len(t, 1, p.starts["h2"])
}

// A host that stops hands a forwarded job back, which then runs elsewhere.
func TestStoppingDispatcherHandsBack(t *testing.T) {
	p := newPair(t, 100)
	p.d.Stop()
	must.Nil(t, p.submit(p.a, "k", 1))
	must.SliceEmpty(t, p.starts["h1"])
	must.Len(t, 1, p.starts["h2"])
}

func TestCancelReachesTheDispatcher(t *testing.T) {
	p := newPair(t, 100)
	must.Nil(t, p.submit(p.a, "k", 20))
	_, err := p.a.Lookup(p.now, job.ID{Team: "t", Key: "k"}, true)
	must.Nil(t, err)
	p.flush()
	for _, s := range p.starts["h1"] {
		p.finish("h1", s, result.TaskFailed)
	}
	must.Eq(t, []result.Code{result.CancelledRan}, p.codes("h2"))
}

// While slots are idle, small jobs start on lent slots without a message.
func TestSmallJobsStartOnLentSlots(t *testing.T) {
	p := newPair(t, 100)
	for i := range 40 {
		must.Nil(t, p.submit(p.a, fmt.Sprint(i), 4))
		p.pass(200 * time.Millisecond)
		for _, h := range []string{"h1", "h2"} {
			started := p.starts[h]
			p.starts[h] = nil
			for _, s := range started {
				p.finish(h, s, result.OK)
			}
		}
	}
	must.Nil(t, p.submit(p.a, "large", smallJob+1))
	must.Positive(t, len(p.starts["h1"]))
	p.starts["h2"] = nil
	must.Nil(t, p.submit(p.a, "small", 1))
	must.Len(t, 1, p.starts["h2"])
}

func (p *pair) configure(team config.Team) {
	d := &config.Document{Teams: []config.Team{team}}
	for _, e := range []*Engine{p.d, p.a} {
		e.Apply(p.now, e.ConfigVersion()+1, d)
	}
}

func TestTeamQuotaOnWaitingTasks(t *testing.T) {
	p := newPair(t, 100)
	p.configure(config.Team{Name: "t", Weight: 1, MaxSlots: 2, MaxQueued: 5})
	must.Nil(t, p.submit(p.a, "k", 5))
	must.Len(t, 2, p.starts["h1"])
	must.Nil(t, p.submit(p.a, "too many", 3))
	must.Eq(t, []result.Code{result.QuotaExceeded}, p.codes("h2"))
}

// Learned run times decide, not declared ones that are ten times too short.
func TestUnreachableDeadlineIsRefused(t *testing.T) {
	p := newPair(t, 1000)
	for i := range 20 {
		must.Nil(t, p.submit(p.d, fmt.Sprint(i), 1))
		p.finish("h1", p.starts["h1"][i], result.OK)
	}
	s := &job.Submission{
		ID: job.ID{Team: "t", Key: "k"}, Attempt: 1, Service: "s", SubmittedAt: p.now, Deadline: p.now.Add(150 * time.Millisecond),
		Tasks: []job.Task{{Size: job.Size{Run: 20 * time.Millisecond}}},
	}
	_, err := p.d.Submit(p.now, s)
	must.NotNil(t, err)
	must.Eq(t, result.DeadlineUnreachable, err.Code)
}
