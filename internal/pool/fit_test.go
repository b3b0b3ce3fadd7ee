package pool

import (
	"math"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// Long tasks must not count as in time on slow minions where only their objective's
// constant part covers the slowness, nor short ones as late there: then long tasks go to
// slow minions and short ones to fast ones.
func TestProbabilityFollowsTheObjective(t *testing.T) {
	slow, fast := math.Log(1.55), math.Log(0.8)
	fit := func(expected time.Duration, tasks int) *taskFit {
		return &taskFit{left: expected*16/10 + 45*ms, fixed: 45 * ms, expected: expected, between: 0.3, within: 0.15, tasks: tasks}
	}
	must.Less(t, 0.5, fit(760*ms, 4).probability(slow, 0))
	must.Greater(t, 0.99, fit(760*ms, 4).probability(fast, 0))
	must.Greater(t, 0.9, fit(51*ms, 8).probability(slow, 0))
	must.Less(t, 0.1, fit(51*ms, 8).probability(fast, 90*ms), must.Sprint("after a long wait"))
	must.Eq(t, 0, fit(51*ms, 8).probability(fast, time.Second))
}

// speedPool returns a pool of four minions with label a and two with label b that has seen
// runs of a queue, which take half the expected time on a and twice that on b.
func speedPool(labels func(i int) []string) (*Pool, *queueStats) {
	p := New(Config{Timing: DefaultTiming()})
	for i := range 6 {
		p.ordered = append(p.ordered, &minion{MinionRecord: peer.MinionRecord{Labels: labels(i)}})
	}
	p.speeds.count(p.ordered)
	q := p.statsFor("q")
	for i := range 600 {
		x := math.Log(0.5)
		if i%2 == 1 {
			x = math.Log(2)
		}
		p.speeds.observe(p.ordered[3*(i%2)].speed, q, x)
	}
	return p, q
}

// A queue's slowdown on a kind of minion is relative to all minions, so that the expected
// run times of the queue do not drift with it; with a single kind there is none.
func TestSlowdownByKindIsRelative(t *testing.T) {
	p, q := speedPool(func(i int) []string { return []string{string(rune('a' + i/3)), "rack"} })
	must.InDelta(t, math.Log(0.5), p.logSlowdown(p.ordered[0], q), 0.01)
	must.InDelta(t, math.Log(2), p.logSlowdown(p.ordered[5], q), 0.01)
	must.InDelta(t, math.Log(2), p.logSlowdown(p.ordered[5], p.statsFor("new")), 0.2, must.Sprint("a queue without runs has the kind's slowdown"))

	p, q = speedPool(func(i int) []string { return []string{"rack" + string(rune('a'+i))} })
	must.Eq(t, 0, p.logSlowdown(p.ordered[0], q), must.Sprint("labels of single minions are not kinds"))
}

// The spread within a job is told from that between jobs: a job's objective follows its
// work, so only the former makes a task late.
func TestSpreadWithinJobs(t *testing.T) {
	var s spread
	for i := range 400 {
		job := 0.4 * float64(i%2*2-1)
		s.observe(job-0.1, 0, 0)
		s.observe(job+0.1, job-0.1, 1)
	}
	between, within := s.deviations()
	must.InDelta(t, 0.14, within, 0.01)
	must.InDelta(t, 0.38, between, 0.02)
}

// addKind adds three minions with the label, each with room for one task of 10,000.
func (s *harness) addKind(label string) {
	for i := range 3 {
		s.p.UpdateMinion(s.now, peer.MinionRecord{ID: label + string(rune('0'+i)), Service: "s", FailureDomain: "z", CPU: 10_000, MemoryMB: 1000, Seq: 1, Labels: []string{label}})
		s.collect()
		s.answerPoll(label+string(rune('0'+i)), &Listing{})
	}
}

// A task that would be late on a slow minion waits for a fast one that is about to be free.
// When the fast minions become unreachable it must not go on waiting for them.
func TestTaskWaitsForAFastMinionOnlyWhileItIsReachable(t *testing.T) {
	s := newHarness(t)
	s.addKind("fast")
	s.addKind("slow")
	s.advance(ms)
	q := s.p.statsFor("q")
	for range 100 {
		s.p.speeds.observe(s.p.minions["fast0"].speed, q, math.Log(0.7))
		s.p.speeds.observe(s.p.minions["slow0"].speed, q, math.Log(1.6))
		q.spread.observe(0.15, 0, 0)
	}
	s.offerJob("first", 3, 10_000, 300)
	must.Len(t, 3, s.out.Starts)
	for _, x := range s.out.Starts {
		must.StrHasPrefix(t, "fast", x.Minion)
	}
	s.answerStarts(AnswerOK)
	s.offerJob("second", 1, 10_000, 1000)
	s.advance(20 * ms)
	must.Len(t, 0, s.out.Starts, must.Sprint("it waits for the end of a run of 210 ms"))
	for _, id := range []string{"fast0", "fast1", "fast2"} {
		s.p.HandlePollAnswer(s.now, id, s.lastPoll(id).Serial, AnswerUnknown, nil)
	}
	s.collect()
	must.Len(t, 1, s.out.Starts)
	must.StrHasPrefix(t, "slow", s.out.Starts[0].Minion)
}
