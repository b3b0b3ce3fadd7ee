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

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const testHeartbeat = 500 * time.Millisecond

// hostPair is a failure domain of two hosts, of which one dispatches and the other
// forwards to it. Messages are delivered at once; with holdMessages all but
// heartbeats are kept in heldMessages.
type hostPair struct {
	t                     *testing.T
	now                   time.Time
	dispatcher, forwarder *Engine
	starts                map[string][]Start
	answers               map[string][]*job.Answer
	holdMessages          bool
	heldMessages          []func()
	minions               []minion.Announcement
}

func newHostPair(t *testing.T, maxActive int) *hostPair {
	p := &hostPair{t: t, now: testStart, starts: map[string][]Start{}, answers: map[string][]*job.Answer{}}
	p.dispatcher = p.engine("dispatcher", "forwarder", "1", maxActive)
	p.forwarder = p.engine("forwarder", "dispatcher", "1", maxActive)
	for i := range 4 {
		p.minions = append(p.minions, minion.Announcement{
			Name: fmt.Sprintf("m%d", i), Rack: "r", FailureDomain: "f", Services: []string{"s"}, Slots: 2, Address: "m:1", Generation: 1,
		})
	}
	p.advance(3 * time.Second)
	return p
}

func (p *hostPair) engine(role, peerRole, inc string, maxActive int) *Engine {
	host := map[string]string{"dispatcher": "h1", "forwarder": "h2"}
	return New(Config{
		Host: membership.Host{Name: host[role], FailureDomain: "f", Region: "r"}, Incarnation: membership.Incarnation(host[role] + inc),
		Peers:     []membership.Host{{Name: host[peerRole], FailureDomain: "f", Region: "r"}},
		StartedAt: p.now, MinionLease: time.Hour, HeartbeatEvery: testHeartbeat, PeerTimeout: 2 * time.Second,
		RetryBudget: 8, BusyPause: 5 * time.Millisecond, LocateTimeout: 500 * time.Millisecond, LocateResend: 100 * time.Millisecond,
		FollowTimeout: 10 * time.Second, MaxSearches: 100,
		Jobs: job.Limits{MaxActive: maxActive, MaxRecords: 1000, MaxAnswerBytes: 1 << 20, KeyLifetime: time.Minute, ClockError: 10 * time.Millisecond},
	})
}

// advance moves the time forward in steps of 50 ms, with a tick of both hosts in
// each.
func (p *hostPair) advance(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(50 * time.Millisecond) {
		for _, e := range []*Engine{p.dispatcher, p.forwarder} {
			if e == nil {
				continue
			}
			for _, m := range p.minions {
				_ = e.Announce(p.now, m)
			}
			e.Tick(p.now)
		}
		p.deliverPending()
	}
}

// deliverPending collects the outputs of both hosts and delivers their messages
// until there are no more.
func (p *hostPair) deliverPending() {
	for more := true; more; {
		more = false
		for _, e := range []*Engine{p.dispatcher, p.forwarder} {
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

func (p *hostPair) deliver(from string, inc membership.Incarnation, m OutgoingMessage) {
	f := func() {
		if to := p.host(m.To); to != nil {
			to.Receive(p.now, from, inc, m.Body)
		}
	}
	if _, heartbeat := m.Body.(*peer.Heartbeat); p.holdMessages && !heartbeat {
		p.heldMessages = append(p.heldMessages, f)
		return
	}
	f()
}

func (p *hostPair) host(name string) *Engine {
	if name == "h1" {
		return p.dispatcher
	}
	return p.forwarder
}

func (p *hostPair) submit(e *Engine, key string, tasks int) *result.Error {
	_, err := e.Submit(p.now, &job.Submission{
		ID: job.ID{Team: "t", Key: key}, Attempt: 1, Service: "s", SubmittedAt: p.now, Deadline: p.now.Add(10 * time.Second),
		Digest: 7, Tasks: make([]job.Task, tasks),
	})
	p.deliverPending()
	return err
}

func (p *hostPair) finish(host string, s Start, code result.Code) {
	p.host(host).TaskFinished(p.now, s.Task, s.Minion, job.Outcome{Code: code, Result: []byte{byte(s.Task.Index)}, Run: 200 * time.Millisecond})
	p.deliverPending()
}

func (p *hostPair) codes(host string) []result.Code {
	var codes []result.Code
	for _, a := range p.answers[host] {
		codes = append(codes, a.Code)
	}
	return codes
}

func TestForwardedJobIsAnsweredByItsOwner(t *testing.T) {
	p := newHostPair(t, 100)
	must.Nil(t, p.submit(p.forwarder, "k", 3))
	must.Len(t, 3, p.starts["h1"])
	must.SliceEmpty(t, p.starts["h2"])
	for _, s := range p.starts["h1"] {
		p.finish("h1", s, result.OK)
	}
	must.Len(t, 1, p.answers["h2"])
	must.Eq(t, [][]byte{{0}, {1}, {2}}, p.answers["h2"][0].Results)
	must.Zero(t, p.forwarder.Jobs().Active())
}

func TestRepeatedForwardStartsOnce(t *testing.T) {
	p := newHostPair(t, 100)
	must.Nil(t, p.submit(p.forwarder, "k", 2))
	p.advance(5 * time.Second) // the forward is sent again after forwardResend
	must.Len(t, 2, p.starts["h1"])
}

// A copy of a refused forward that arrives when the host could accept it is not
// run: the job's owner has answered "not run".
func TestRefusedForwardStaysRefused(t *testing.T) {
	p := newHostPair(t, 1)
	p.holdMessages = true
	must.Nil(t, p.submit(p.forwarder, "k", 1))
	must.Len(t, 1, p.heldMessages)
	again := p.heldMessages[0]
	p.holdMessages = false
	must.Nil(t, p.submit(p.dispatcher, "first", 1))
	again()
	p.deliverPending()
	must.Eq(t, []result.Code{result.QueueFull}, p.codes("h2"))
	p.finish("h1", p.starts["h1"][0], result.OK)
	again()
	p.deliverPending()
	must.Len(t, 1, p.starts["h1"])
}

// A forward is addressed to one incarnation of a host: after a restart the host
// cannot know whether the job has run.
func TestForwardToFormerIncarnationIsIgnored(t *testing.T) {
	p := newHostPair(t, 100)
	p.holdMessages = true
	must.Nil(t, p.submit(p.forwarder, "k", 1))
	p.holdMessages = false
	p.dispatcher = p.engine("dispatcher", "forwarder", "2", 100)
	p.advance(3 * time.Second)
	for _, f := range p.heldMessages {
		f()
	}
	p.deliverPending()
	must.SliceEmpty(t, p.starts["h1"])
	must.Eq(t, []result.Code{result.StartUnknown}, p.codes("h2"))
}

func TestUnreachableDispatcherMayHaveRun(t *testing.T) {
	p := newHostPair(t, 100)
	must.Nil(t, p.submit(p.forwarder, "k", 1))
	p.dispatcher = nil
	p.advance(3 * time.Second)
	must.Eq(t, []result.Code{result.StartUnknown}, p.codes("h2"))
	must.Nil(t, p.submit(p.forwarder, "next", 1))
	must.Len(t, 1, p.starts["h2"])
}

// A stopping host refuses a forwarded job, which its owner then runs itself.
func TestStoppingDispatcherReturnsForward(t *testing.T) {
	p := newHostPair(t, 100)
	p.dispatcher.Stop()
	must.Nil(t, p.submit(p.forwarder, "k", 1))
	must.SliceEmpty(t, p.starts["h1"])
	must.Len(t, 1, p.starts["h2"])
}

func TestCancelIsForwardedToDispatcher(t *testing.T) {
	p := newHostPair(t, 100)
	must.Nil(t, p.submit(p.forwarder, "k", 20))
	_, err := p.forwarder.Lookup(p.now, job.ID{Team: "t", Key: "k"}, true)
	must.Nil(t, err)
	p.deliverPending()
	for _, s := range p.starts["h1"] {
		p.finish("h1", s, result.TaskFailed)
	}
	must.Eq(t, []result.Code{result.CancelledRan}, p.codes("h2"))
}

// While slots are idle, small jobs start on lent slots without being forwarded.
func TestSmallJobsStartOnLentSlots(t *testing.T) {
	p := newHostPair(t, 100)
	for i := range 40 {
		must.Nil(t, p.submit(p.forwarder, fmt.Sprint(i), 4))
		p.advance(200 * time.Millisecond)
		for _, h := range []string{"h1", "h2"} {
			started := p.starts[h]
			p.starts[h] = nil
			for _, s := range started {
				p.finish(h, s, result.OK)
			}
		}
	}
	must.Nil(t, p.submit(p.forwarder, "large", maxSmallJobTasks+1))
	must.Positive(t, len(p.starts["h1"]))
	p.starts["h2"] = nil
	must.Nil(t, p.submit(p.forwarder, "small", 1))
	must.Len(t, 1, p.starts["h2"])
}

func (p *hostPair) configure(team config.Team) {
	d := &config.Document{Teams: []config.Team{team}}
	for _, e := range []*Engine{p.dispatcher, p.forwarder} {
		e.ApplyConfig(p.now, e.ConfigVersion()+1, d)
	}
}

func TestTeamQuotaOnWaitingTasks(t *testing.T) {
	p := newHostPair(t, 100)
	p.configure(config.Team{Name: "t", Weight: 1, MaxSlots: 2, MaxQueued: 5})
	must.Nil(t, p.submit(p.forwarder, "k", 5))
	must.Len(t, 2, p.starts["h1"])
	must.Nil(t, p.submit(p.forwarder, "too many", 3))
	must.Eq(t, []result.Code{result.QuotaExceeded}, p.codes("h2"))
}

// Admission uses measured run times, not declared ones that are ten times too
// short.
func TestUnreachableDeadlineIsRefused(t *testing.T) {
	p := newHostPair(t, 1000)
	for i := range 20 {
		must.Nil(t, p.submit(p.dispatcher, fmt.Sprint(i), 1))
		p.finish("h1", p.starts["h1"][i], result.OK)
	}
	s := &job.Submission{
		ID: job.ID{Team: "t", Key: "k"}, Attempt: 1, Service: "s", SubmittedAt: p.now, Deadline: p.now.Add(150 * time.Millisecond),
		Tasks: []job.Task{{Size: job.Size{Run: 20 * time.Millisecond}}},
	}
	_, err := p.dispatcher.Submit(p.now, s)
	must.NotNil(t, err)
	must.Eq(t, result.DeadlineUnreachable, err.Code)
}
