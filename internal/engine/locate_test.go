package engine

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newEngine returns an engine at t0 that was started an hour before and has
// received ticks, so that it detects no stall.
func newEngine(peers ...string) *Engine {
	e := freshEngine(peers...)
	for now := t0.Add(-2 * backlogDuration); !now.After(t0); now = now.Add(stallThreshold / 2) {
		e.Tick(now)
	}
	e.Ready()
	return e
}

// freshEngine returns an engine that was started an hour before t0 and has
// received no input.
func freshEngine(peers ...string) *Engine {
	cfg := Config{
		Host: membership.Host{Name: "self", FailureDomain: "d", Region: "r"}, StartedAt: t0.Add(-time.Hour),
		MinionLease: time.Second, HeartbeatEvery: time.Second, PeerTimeout: time.Second,
		LocateTimeout: time.Second, LocateResend: time.Second, FollowTimeout: time.Second, MaxSearches: 10,
		Jobs: job.Limits{MaxActive: 10, MaxRecords: 10, KeyLifetime: time.Minute, ClockError: time.Second},
	}
	for _, name := range peers {
		cfg.Peers = append(cfg.Peers, membership.Host{Name: name, FailureDomain: "d", Region: "r"})
	}
	return New(cfg)
}

// repetition returns a submission of a key with the given attempt number and body
// digest.
func repetition(key string, attempt int, digest uint64) *job.Submission {
	return &job.Submission{
		ID: job.ID{Team: "t", Key: key}, Attempt: attempt, Service: "s", SubmittedAt: t0,
		Deadline: t0.Add(time.Second), Digest: digest, Tasks: make([]job.Task, 1),
	}
}

// answerAsOwner makes peer p reply to the latest Locate as the owner, and returns
// the round of the Attach that the engine then sends.
func answerAsOwner(t *testing.T, e *Engine) uint64 {
	t.Helper()
	var q *peer.Locate
	for _, m := range e.Ready().Messages {
		if l, ok := m.Body.(*peer.Locate); ok {
			q = l
		}
	}
	must.NotNil(t, q)
	e.Receive(t0, "p", "1", &peer.LocateReply{Team: q.Team, Key: q.Key, Round: q.Round, State: peer.Owned})
	for _, m := range e.Ready().Messages {
		if a, ok := m.Body.(*peer.Attach); ok {
			return a.Round
		}
	}
	t.Fatal("the owner was not asked for the answer")
	return 0
}

// A late copy of the owner's answer to an earlier search is ignored: that search
// was for a submission of the key with another body.
func TestAnswerOfEarlierSearchIsDropped(t *testing.T) {
	e := newEngine("p")
	_, err := e.Submit(t0, repetition("k", 2, 2))
	must.Nil(t, err)
	conflict := &peer.JobAnswer{Team: "t", Key: "k", Round: answerAsOwner(t, e), Code: result.KeyConflict}
	e.Receive(t0, "p", "1", conflict)
	must.Eq(t, result.KeyConflict, e.Ready().Answers[0].Code)

	_, err = e.Submit(t0, repetition("k", 3, 1))
	must.Nil(t, err)
	round := answerAsOwner(t, e)
	e.Receive(t0, "p", "1", conflict)
	must.SliceEmpty(t, e.Ready().Answers)
	e.Receive(t0, "p", "1", &peer.JobAnswer{Team: "t", Key: "k", Round: round, Code: result.TaskFailed})
	must.Eq(t, result.TaskFailed, e.Ready().Answers[0].Code)
}

// The remaining time of a forwarded job counts from the sending of the forward: a
// forward that arrives after the deadline is refused as not run, and no task
// starts.
func TestForwardAfterItsDeadlineIsRefused(t *testing.T) {
	e := newEngine("p")
	e.Receive(t0, "p", "1", &peer.Heartbeat{SentAt: 10 * time.Second})
	late := t0.Add(3 * time.Second)
	a := minion.Announcement{Name: "m", FailureDomain: "d", Services: []string{"s"}, Slots: 1, Connections: 1, Address: "m:1"}
	for now := t0; !now.After(late); now = now.Add(stallThreshold / 2) {
		must.Nil(t, e.Announce(now, a))
	}
	e.Ready()
	e.Receive(late, "p", "1", &peer.Forward{
		Team: "t", Key: "k", Attempt: 1, Service: "s", SubmittedAt: t0, Tasks: make([]job.Task, 1),
		SentAt: 11 * time.Second, Remaining: time.Second,
	})
	r := e.Ready()
	must.SliceEmpty(t, r.Starts)
	must.SliceLen(t, 1, r.Messages)
	must.Eq(t, result.DeadlineNotRun, r.Messages[0].Body.(*peer.JobAnswer).Code)
}

// Callers that wait for the owner of a key do not get the answer of a job of the
// same key but another body that is forwarded to this host.
func TestForwardWithAnotherBodyEndsTheSearch(t *testing.T) {
	e := newEngine("p")
	must.Nil(t, e.Announce(t0, minion.Announcement{Name: "m", FailureDomain: "d", Services: []string{"s"}, Slots: 1, Connections: 1, Address: "m:1"}))
	_, err := e.Submit(t0, repetition("k", 2, 1))
	must.Nil(t, err)
	e.Receive(t0, "p", "1", &peer.Forward{
		Team: "t", Key: "k", Attempt: 1, Service: "s", SubmittedAt: t0, Digest: 2, Tasks: make([]job.Task, 1), Remaining: time.Second,
	})
	r := e.Ready()
	must.SliceLen(t, 1, r.Answers)
	must.Eq(t, result.OwnerUnknown, r.Answers[0].Code)
	must.SliceLen(t, 1, r.Starts)
	_, err = e.Submit(t0, repetition("k", 3, 1))
	must.Eq(t, result.KeyConflict, err.Code)
}

// When a later attempt joins a search, every host must fence that attempt before
// the search ends; replies to the earlier round do not count.
func TestLaterAttemptRaisesTheFences(t *testing.T) {
	e := newEngine("p")
	_, err := e.Submit(t0, repetition("k", 2, 1))
	must.Nil(t, err)
	first := e.Ready().Messages[0].Body.(*peer.Locate)
	_, err = e.Submit(t0, repetition("k", 4, 1))
	must.Nil(t, err)
	e.Receive(t0, "p", "1", &peer.LocateReply{Team: "t", Key: "k", Round: first.Round, State: peer.NotSeen})
	r := e.Ready()
	must.SliceEmpty(t, r.Answers)
	must.SliceLen(t, 1, r.Messages)
	must.Eq(t, 4, r.Messages[0].Body.(*peer.Locate).Attempt)
	_, err = e.Submit(t0, repetition("k", 3, 1))
	must.Nil(t, err)
	must.SliceEmpty(t, e.Ready().Messages)
}

// A forward older than the key lifetime may be a copy of one that ran and whose
// record has expired: it is not refused as not run.
func TestExpiredForwardMayHaveRun(t *testing.T) {
	e := newEngine("p")
	must.Nil(t, e.Announce(t0, minion.Announcement{Name: "m", FailureDomain: "d", Services: []string{"s"}, Slots: 1, Connections: 1, Address: "m:1"}))
	e.Ready()
	e.Receive(t0, "p", "1", &peer.Forward{
		Team: "t", Key: "k", Attempt: 1, Service: "s", SubmittedAt: t0.Add(-2 * time.Minute), Tasks: make([]job.Task, 1), Remaining: time.Second,
	})
	for _, m := range e.Ready().Messages {
		if a, ok := m.Body.(*peer.JobAnswer); ok {
			must.Eq(t, result.OwnerUnknown, a.Code)
			return
		}
	}
	t.Fatal("the forward was not answered")
}
