package pool

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

var startTime = time.Unix(1_700_000_000, 0)

// harness drives a pool step by step: the test plays the hosts and minions.
type harness struct {
	t   *testing.T
	p   *Pool
	now time.Time
	out Ready
}

func newHarness(t *testing.T) *harness {
	s := &harness{t: t, now: startTime, p: New(Config{Timing: DefaultTiming(), Log: func(event.ID, ...slog.Attr) {}})}
	s.p.Claim(s.now, 1<<30)
	return s
}

// advance moves the time forward by d and ticks the pool.
func (s *harness) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.p.Tick(s.now)
	s.collect()
}

// collect appends the pool's pending orders and results to out.
func (s *harness) collect() {
	r := s.p.Ready()
	s.out.Starts = append(s.out.Starts, r.Starts...)
	s.out.Stops = append(s.out.Stops, r.Stops...)
	s.out.Polls = append(s.out.Polls, r.Polls...)
	s.out.Results = append(s.out.Results, r.Results...)
	s.out.TokenSuperseded = s.out.TokenSuperseded || r.TokenSuperseded
}

// minionClock returns the reading of the minions' clocks, in milliseconds.
func (s *harness) minionClock() int64 { return 1000 + s.now.Sub(startTime).Milliseconds() }

// addMinion adds a minion and answers its first poll with the given runs.
func (s *harness) addMinion(id string, cpu int64, running ...RunProgress) {
	s.p.UpdateMinion(s.now, peer.MinionRecord{ID: id, Service: "s", FailureDomain: "z", CPU: cpu, MemoryMB: 1000, Seq: 1})
	s.collect()
	s.answerPoll(id, &Listing{Running: running})
}

// answerPoll answers the newest poll of a minion.
func (s *harness) answerPoll(id string, l *Listing) {
	s.t.Helper()
	poll := s.lastPoll(id)
	l.ClockMS = s.minionClock()
	s.p.HandlePollAnswer(s.now, id, poll.Serial, AnswerOK, l)
	s.collect()
}

// advanceAnswering runs the given number of ticks, in which the minion confirms every
// start and lists its runs. It returns the starts.
func (s *harness) advanceAnswering(id string, ticks int) []Start {
	var all []Start
	l := &Listing{}
	for range ticks {
		s.advance(20 * ms)
		for _, x := range s.answerStarts(AnswerOK) {
			all = append(all, x)
			l.Running = append(l.Running, RunProgress{Task: x.Task, Run: x.Run})
		}
		s.answerPoll(id, &Listing{Running: l.Running})
	}
	return all
}

// pollsAbove returns the polls of a minion with tokens above the given one.
func (s *harness) pollsAbove(id string, token uint64) []Poll {
	var out []Poll
	for _, poll := range s.out.Polls {
		if poll.Minion == id && poll.Token > token {
			out = append(out, poll)
		}
	}
	return out
}

// lastPoll returns the newest poll of a minion.
func (s *harness) lastPoll(id string) Poll {
	s.t.Helper()
	for i := len(s.out.Polls) - 1; i >= 0; i-- {
		if s.out.Polls[i].Minion == id {
			return s.out.Polls[i]
		}
	}
	s.t.Fatalf("minion %s was not polled", id)
	return Poll{}
}

// offerJob offers a job of count equal tasks to the pool.
func (s *harness) offerJob(id string, count int, cpu, estimate int64) *peer.JobOffer {
	o := &peer.JobOffer{
		Job: id, Offer: 1, Queue: "q", Service: "s", Attempts: 2, StretchPct: 160, AddMS: 60, RemainingMS: 5000,
		Steps: []peer.TaskStep{{Count: count, CPU: cpu, MemoryMB: 1, EstimateMS: estimate}},
	}
	s.p.Offer(s.now, "entry", o)
	s.collect()
	return o
}

// offerJobOfEarlierOwner offers a job of one task that an earlier owner, whose minions have
// the given digest, may have run.
func (s *harness) offerJobOfEarlierOwner(id string, minions uint64) {
	s.p.Offer(s.now, "entry", &peer.JobOffer{
		Job: id, Offer: 1, Queue: "q", Service: "s", Attempts: 2, StretchPct: 160, AddMS: 60, RemainingMS: 5000, MayHaveRun: true, PriorRunsMS: 1700,
		MinionsDigest: minions, Steps: []peer.TaskStep{{Count: 1, CPU: 27_000, MemoryMB: 1, EstimateMS: 100}},
	})
	s.collect()
}

// answerStarts answers all pending starts with a and returns them.
func (s *harness) answerStarts(a Answer) []Start {
	starts := s.out.Starts
	s.out.Starts = nil
	for _, x := range starts {
		s.p.HandleStartAnswer(s.now, x, a, s.minionClock())
	}
	s.collect()
	return starts
}

// An orphaned run of an earlier owner blocks its minion until the run is listed as
// ended, because the resources that it uses are unknown.
func TestOrphanedRunBlocksItsMinion(t *testing.T) {
	s := newHarness(t)
	orphan := RunProgress{Task: TaskRef{"old", 0, 0}, Run: 3, Percent: 10}
	s.addMinion("m", 64_000, orphan)
	s.offerJob("new", 1, 27_000, 100)
	must.Len(t, 0, s.out.Starts)
	s.advance(DefaultTiming().AdoptionGrace + ms)
	must.Len(t, 1, s.out.Stops)
	s.p.HandleStopAnswer(s.now, s.out.Stops[0], AnswerOK)
	s.collect()
	s.advance(20 * ms)
	must.Len(t, 0, s.out.Starts, must.Sprint("the stop is confirmed, but the end is not listed yet"))
	s.answerPoll("m", &Listing{Ended: []EndedRun{{Number: 1, Task: orphan.Task, Run: 3, How: EndStopped}}})
	must.Len(t, 1, s.out.Starts)
}

// A new owner adopts the runs of a job that is offered again, and counts their
// resources as used.
func TestRunsAreAdopted(t *testing.T) {
	s := newHarness(t)
	s.addMinion("m", 64_000, RunProgress{Task: TaskRef{"j", 0, 1}, Run: 2, Percent: 50})
	s.p.Offer(s.now, "entry", &peer.JobOffer{
		Job: "j", Offer: 1, Queue: "q", Service: "s", Attempts: 2, StretchPct: 160, AddMS: 60, RemainingMS: 5000, MayHaveRun: true, Done: []int{2},
		Steps: []peer.TaskStep{{Count: 3, CPU: 40_000, EstimateMS: 100}},
	})
	s.collect()
	must.Len(t, 0, s.out.Starts, must.Sprint("40 of 64 processors are in use"))
	s.advance(20 * ms)
	s.answerPoll("m", &Listing{Ended: []EndedRun{{Number: 1, Task: TaskRef{"j", 0, 1}, Run: 2, How: EndDone}}})
	starts := s.answerStarts(AnswerOK)
	must.Len(t, 1, starts)
	must.Eq(t, TaskRef{"j", 0, 0}, starts[0].Task)
	s.advance(20 * ms)
	s.answerPoll("m", &Listing{Ended: []EndedRun{{Number: 2, Task: starts[0].Task, Run: starts[0].Run, How: EndDone}}})
	must.Len(t, 1, s.out.Results)
	must.Eq(t, peer.JobComplete, s.out.Results[0].Body.Outcome)
}

// A task whose start was not answered is started again only after a listing under a
// newer token has shown that the first start was not carried out.
func TestUnansweredStartIsRepeatedOnlyAfterListing(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.offerJob("j", 1, 27_000, 100)
	first := s.out.Starts[0]
	s.answerStarts(AnswerUnknown)
	s.addMinion("b", 64_000)
	s.advance(20 * ms)
	must.Len(t, 0, s.out.Starts)
	poll := s.lastPoll("a")
	must.Greater(t, first.Token, poll.Token)
	s.answerPoll("a", &Listing{})
	must.Len(t, 1, s.out.Starts)
	must.Greater(t, first.Run, s.out.Starts[0].Run)
}

// The tasks of an unreachable minion are started elsewhere only when its lease has
// certainly expired.
func TestTasksOfUnreachableMinionWaitForLeaseExpiry(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.offerJob("j", 1, 27_000, 100)
	s.answerStarts(AnswerOK)
	s.addMinion("b", 64_000)
	lease := DefaultTiming().Lease
	for range 40 {
		s.advance(20 * ms)
		s.answerPoll("b", &Listing{})
		if s.now.Sub(startTime) < lease-20*ms {
			must.Len(t, 0, s.out.Starts)
		}
	}
	starts := s.advanceAnswering("b", 40)
	must.Len(t, 1, starts)
	must.Eq(t, "b", starts[0].Minion)
}

// Right after a takeover, a job waits for the minions' first listings instead of being
// refused for lack of capacity.
func TestJobsWaitForFirstListingsAfterTakeover(t *testing.T) {
	s := newHarness(t)
	s.p.UpdateMinion(s.now, peer.MinionRecord{ID: "m", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1})
	s.collect()
	s.offerJob("j", 1, 27_000, 100)
	must.Len(t, 0, s.out.Results)
	s.answerPoll("m", &Listing{})
	must.Len(t, 1, s.out.Starts)
}

// A start that is in flight while its minion restarts may still reach the new
// incarnation, which has not seen any token yet. The task is started again only after
// a listing of the new incarnation.
func TestInFlightStartMayReachRestartedMinion(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.offerJob("j", 1, 27_000, 100)
	first := s.out.Starts[0]
	s.out.Starts = nil
	s.addMinion("b", 64_000)
	s.p.UpdateMinion(s.now, peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1, Incarnation: 5})
	s.advance(20 * ms)
	must.Len(t, 0, s.out.Starts)
	s.answerPoll("a", &Listing{Incarnation: 5})
	must.Len(t, 1, s.out.Starts)
	must.Greater(t, first.Run, s.out.Starts[0].Run)
}

// A listing of a minion's earlier incarnation is ignored: the clock and the numbers of
// ended runs start again in the new incarnation.
func TestAnswerOfEarlierIncarnationIsIgnored(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.advance(20 * ms)
	old := s.lastPoll("a")
	s.p.UpdateMinion(s.now, peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1, Incarnation: 5})
	s.collect()
	fresh := s.lastPoll("a")
	s.p.HandlePollAnswer(s.now, "a", old.Serial, AnswerOK, &Listing{ClockMS: 90_000, Ended: []EndedRun{{Number: 40, Task: TaskRef{"x", 0, 0}, Run: 1, How: EndDone}}})
	s.collect()
	s.p.HandlePollAnswer(s.now, "a", fresh.Serial, AnswerOK, &Listing{ClockMS: 10, Incarnation: 5})
	s.collect()
	s.offerJob("j", 1, 27_000, 100)
	must.Len(t, 1, s.out.Starts)
	must.Less(t, 2000, s.out.Starts[0].LeaseEndMS, must.Sprint("by the new incarnation's clock"))
}

// A minion that has left is dropped once the lease of its last run has expired, while
// Tick goes through the minions.
func TestMinionThatLeftIsDropped(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.addMinion("b", 64_000)
	s.offerJob("j", 2, 64_000, 1000)
	must.Len(t, 2, s.answerStarts(AnswerOK))
	s.p.UpdateMinion(s.now, peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 2, Left: true})
	for range 100 { // no poll is answered: both leases expire
		s.advance(20 * ms)
	}
	must.MapNotContainsKey(t, s.p.minions, "a")
	must.MapContainsKey(t, s.p.minions, "b")
}

// An earlier owner may go on renewing the lease of a minion that this owner cannot
// reach, however long ago this owner claimed it. A job of the earlier owner waits
// until that owner has certainly stopped running it.
func TestJobOfLiveOwnerWaitsForUnlistedMinion(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.p.UpdateMinion(s.now, peer.MinionRecord{ID: "b", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1})
	s.collect()
	s.advance(10 * time.Second) // "b" never answers
	s.answerPoll("a", &Listing{})
	s.offerJobOfEarlierOwner("j", 0)
	s.advance(1600 * ms)
	must.Len(t, 0, s.out.Starts)
	s.answerPoll("a", &Listing{})
	s.advance(120 * ms)
	must.Len(t, 1, s.out.Starts)
}

// An earlier owner may have run a job on a minion that this owner does not know. The
// job then waits although all known minions have been listed.
func TestJobWaitsWhenEarlierOwnerHadOtherMinions(t *testing.T) {
	earlier := newHarness(t)
	earlier.addMinion("a", 64_000)
	earlier.addMinion("b", 64_000)
	must.NotEq(t, 0, earlier.p.MinionDigest())
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.advance(ms)
	s.offerJobOfEarlierOwner("other", earlier.p.MinionDigest())
	must.Len(t, 0, s.out.Starts)
	s.offerJobOfEarlierOwner("same", s.p.MinionDigest())
	must.Len(t, 0, s.out.Starts)
	s.advance(20 * ms)
	s.answerPoll("a", &Listing{})
	must.Len(t, 1, s.out.Starts)
	must.Eq(t, "same", s.out.Starts[0].Task.Job)
	s.advance(1700 * ms)
	s.answerPoll("a", &Listing{Running: []RunProgress{{Task: s.out.Starts[0].Task, Run: 1, Percent: 50}}})
	s.advance(20 * ms)
	must.Len(t, 2, s.out.Starts)
}

// A start may be confirmed by a minion's new incarnation before the owner knows of the
// restart. The task is not started elsewhere before a listing shows whether it runs.
func TestStartAnsweredByNewIncarnationIsNotRepeated(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.offerJob("j", 1, 27_000, 100)
	first := s.answerStarts(AnswerOK)[0] // by the incarnation that has started meanwhile
	s.addMinion("b", 64_000)
	s.advance(5 * ms)
	s.p.UpdateMinion(s.now, peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1, Incarnation: 9})
	s.advance(ms)
	must.Len(t, 0, s.out.Starts)
	s.answerPoll("a", &Listing{Incarnation: 9, Running: []RunProgress{{Task: first.Task, Run: 1, Percent: 5}}})
	s.advance(20 * ms)
	must.Len(t, 0, s.out.Starts)
	s.answerPoll("a", &Listing{Incarnation: 9, Ended: []EndedRun{{Number: 1, Task: first.Task, Run: 1, How: EndDone}}})
	must.Len(t, 1, s.out.Results)
	must.Eq(t, peer.JobComplete, s.out.Results[0].Body.Outcome)
}

// When a restarted minion is unreachable, its runs end when the lease has certainly
// expired.
func TestRunsOfUnreachableRestartedMinionExpire(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.offerJob("j", 1, 27_000, 100)
	s.answerStarts(AnswerOK)
	s.addMinion("b", 64_000)
	s.p.UpdateMinion(s.now, peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1, Incarnation: 9})
	s.collect()
	for range 5 {
		s.advance(200 * ms)
		s.answerPoll("b", &Listing{})
	}
	must.Len(t, 0, s.out.Starts)
	starts := s.advanceAnswering("b", 30)
	must.Len(t, 1, starts)
	must.Eq(t, "b", starts[0].Minion)
}

// When the answer to a start is lost, the minion is polled after a tick, and again if
// that poll is lost too. A task that the listing does not include is started elsewhere
// at once.
func TestOverdueStartIsPolledFor(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.offerJob("j", 1, 27_000, 100)
	first := s.out.Starts[0]
	s.out.Starts = nil
	s.addMinion("b", 32_000)
	s.out.Polls = nil
	s.advance(15 * ms)
	must.Len(t, 0, s.pollsAbove("a", first.Token))
	s.advance(10 * ms)
	must.Len(t, 1, s.pollsAbove("a", first.Token))
	s.advance(25 * ms)
	must.Len(t, 2, s.pollsAbove("a", first.Token))
	must.Len(t, 0, s.out.Starts)
	s.answerPoll("a", &Listing{})
	must.Len(t, 1, s.out.Starts)
	must.Eq(t, "b", s.out.Starts[0].Minion)
	s.p.HandleStartAnswer(s.now, first, AnswerOK, s.minionClock()) // far too late: the minion refuses it by its token
	s.collect()
	must.Len(t, 1, s.out.Starts)
}

// A start becomes overdue later when answers take longer on average.
func TestOverdueThresholdFollowsMeanStartLatency(t *testing.T) {
	s := newHarness(t)
	must.Eq(t, minOverdue, s.p.overdueAfter())
	for range 500 {
		s.p.observeStartLatency(10 * ms)
	}
	must.Between(t, 75*ms, s.p.overdueAfter(), 81*ms)
}

// While polls are being lost, a minion with runs gets two polls at a time, half of
// Timing.BusyPollWait apart.
func TestBusyMinionsHaveTwoPollsWhilePollsAreLost(t *testing.T) {
	polls := func(lostBefore time.Duration) int {
		s := newHarness(t)
		s.addMinion("a", 64_000)
		s.offerJob("j", 1, 27_000, 1000)
		running := []RunProgress{{Task: s.answerStarts(AnswerOK)[0].Task, Run: 1}}
		s.p.pollLostAt = s.now.Add(-lostBefore)
		s.answerPoll("a", &Listing{Running: running})
		s.out.Polls = nil
		for passed := time.Duration(0); passed < DefaultTiming().BusyPollWait*3/4; passed += 20 * ms {
			s.advance(20 * ms)
		}
		return len(s.out.Polls)
	}
	must.Eq(t, 1, polls(lossPeriod))
	must.Eq(t, 2, polls(0))
}

// A minion's newer token may overtake another owner's, whose runs only a listing shows.
func TestNoStartUnderTokenWithoutListing(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.offerJob("j1", 1, 27_000, 1000)
	s.out.Starts = nil // the answer is lost
	s.advance(minOverdue + 5*ms)
	s.offerJob("j2", 1, 27_000, 1000)
	must.SliceEmpty(t, s.out.Starts)
	foreign := TaskRef{"by the other owner", 0, 0}
	s.answerPoll("a", &Listing{Running: []RunProgress{{Task: foreign, Run: 1}}})
	s.advance(500 * ms) // the poll before the token was raised counts as lost
	must.SliceEmpty(t, s.out.Starts)
	s.answerPoll("a", &Listing{Ended: []EndedRun{{Number: 1, Task: foreign, Run: 1, How: EndDone}}})
	must.SliceNotEmpty(t, s.out.Starts)
}

// The same after the lease of an unreachable minion has expired.
func TestNoStartAfterLeaseExpiryWithoutListing(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.offerJob("j1", 1, 27_000, 2000)
	s.answerStarts(AnswerOK)
	for range 100 {
		s.advance(20 * ms)
		if s.p.minions["a"].token > s.lastPoll("a").Token {
			break
		}
	}
	must.Greater(t, s.lastPoll("a").Token, s.p.minions["a"].token, must.Sprint("the lease has expired"))
	s.answerPoll("a", &Listing{}) // of a poll with the token before
	must.SliceEmpty(t, s.out.Starts)
	s.advance(20 * ms)
	s.answerPoll("a", &Listing{})
	must.SliceNotEmpty(t, s.out.Starts)
}

// A listing may show a restart before the new incarnation has announced its capacity.
func TestNoStartByCapacityOfEarlierIncarnation(t *testing.T) {
	record := func(incarnation, cpu int64) peer.MinionRecord {
		return peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: cpu, MemoryMB: 1000, Seq: 1, Incarnation: incarnation}
	}
	s := newHarness(t)
	s.p.UpdateMinion(s.now, record(1, 64_000))
	s.collect()
	s.answerPoll("a", &Listing{Incarnation: 1})
	s.offerJob("j", 2, 27_000, 1000)
	must.Len(t, 2, s.answerStarts(AnswerOK))
	s.advance(20 * ms)
	s.answerPoll("a", &Listing{Incarnation: 2})
	s.answerPoll("a", &Listing{Incarnation: 2})
	s.advance(20 * ms)
	must.MapEmpty(t, s.p.minions["a"].runs)
	must.SliceEmpty(t, s.out.Starts)
	s.p.UpdateMinion(s.now, record(2, 32_000))
	s.p.UpdateMinion(s.now, record(1, 64_000)) // late
	s.advance(20 * ms)
	must.Len(t, 1, s.out.Starts)
}

// Another owner may have run a job on a minion after this owner last listed it.
func TestJobOfOtherOwnerIsNotStartedByOldListing(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.addMinion("b", 64_000)
	s.advance(ms)
	s.offerJobOfEarlierOwner("j", s.p.MinionDigest())
	s.advance(20 * ms)
	s.answerPoll("b", &Listing{})
	must.SliceEmpty(t, s.out.Starts)
	s.answerPoll("a", &Listing{Running: []RunProgress{{Task: TaskRef{"j", 0, 0}, Run: 1, Percent: 10}}})
	s.advance(DefaultTiming().IdlePollWait + pollGrace + 50*ms) // the poll in flight counts as lost, and another is sent
	must.SliceEmpty(t, s.out.Starts)
	s.answerPoll("a", &Listing{Ended: []EndedRun{{Number: 1, Task: TaskRef{"j", 0, 0}, Run: 1, How: EndDone}}})
	must.Len(t, 1, s.out.Results)
	must.Eq(t, peer.JobComplete, s.out.Results[0].Body.Outcome)
}

// Late answers of a minion's earlier incarnation say nothing about the present one.
func TestLateOrderAnswersOfEarlierIncarnationAreIgnored(t *testing.T) {
	record := peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1, Incarnation: 1}
	s := newHarness(t)
	s.p.UpdateMinion(s.now, record)
	s.collect()
	s.answerPoll("a", &Listing{Incarnation: 1})
	s.offerJob("j", 2, 27_000, 1000)
	early := s.out.Starts
	must.Len(t, 2, early)
	s.out.Starts = nil
	record.Incarnation = 5
	s.p.UpdateMinion(s.now, record)
	s.collect()
	s.p.HandlePollAnswer(s.now, "a", s.lastPoll("a").Serial, AnswerOK, &Listing{ClockMS: 10, Incarnation: 5, Running: []RunProgress{{Task: early[0].Task, Run: 1, Percent: 1}}})
	s.collect()
	must.Len(t, 1, s.out.Starts, must.Sprint("the second task again"))

	s.p.HandleStartAnswer(s.now, early[1], AnswerOK, 90_000)
	s.p.HandleStartAnswer(s.now, early[0], AnswerOtherProcess, 0)
	must.MapContainsKey(t, s.p.minions["a"].runs, early[0].Task)
	must.False(t, s.p.minions["a"].replaced)
	must.Less(t, 1000, s.p.minions["a"].clockMS(s.now), must.Sprint("by the new incarnation's clock"))
}

// A stop that the earlier incarnation confirmed ends nothing in the present one.
func TestStopIsRepeatedAfterRestart(t *testing.T) {
	record := peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1, Incarnation: 1}
	s := newHarness(t)
	s.p.UpdateMinion(s.now, record)
	s.collect()
	s.answerPoll("a", &Listing{Incarnation: 1})
	o := s.offerJob("j", 1, 27_000, 1000)
	run := RunProgress{Task: s.answerStarts(AnswerOK)[0].Task, Run: 1, Percent: 1}
	s.p.Cancel(s.now, "entry", &peer.JobCancel{Job: o.Job, Offer: o.Offer})
	s.collect()
	s.p.HandleStopAnswer(s.now, s.out.Stops[0], AnswerOK)
	record.Incarnation = 5
	s.p.UpdateMinion(s.now, record)
	s.collect()
	s.p.HandleStopAnswer(s.now, s.out.Stops[0], AnswerOK) // late
	s.out.Stops = nil
	s.p.HandlePollAnswer(s.now, "a", s.lastPoll("a").Serial, AnswerOK, &Listing{ClockMS: 10, Incarnation: 5, Running: []RunProgress{run}})
	s.advance(20 * ms)
	must.Len(t, 1, s.out.Stops)
}

// Another owner may have renewed the lease before this owner's newer token overtook it.
func TestLeaseOfOvertakenOwnerIsWaitedFor(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.advance(500 * ms)
	s.offerJob("j1", 1, 27_000, 1000)
	s.answerStarts(AnswerOK)
	s.offerJob("j2", 1, 27_000, 1000)
	s.out.Starts = nil // the answer is lost
	s.advance(minOverdue + 5*ms)
	s.answerPoll("a", &Listing{Running: []RunProgress{{Task: TaskRef{"j1", 0, 0}, Run: 1, Percent: 1}}})
	must.GreaterEq(t, s.minionClock()+DefaultTiming().MaxLease.Milliseconds(), s.p.minions["a"].maxLeaseEnd)
}

// A host that gets no processor time may read an offer and its copy before it sends the
// refusal.
func TestCopyOfRefusedOfferIsNotStarted(t *testing.T) {
	s := newHarness(t)
	s.addMinion("a", 64_000)
	s.p.UpdateMinion(s.now, peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 2, Draining: true})
	o := &peer.JobOffer{
		Job: "j", Offer: 1, Queue: "q", Service: "s", Attempts: 2, StretchPct: 160, AddMS: 60, RemainingMS: 5000,
		Steps: []peer.TaskStep{{Count: 1, CPU: 27_000, MemoryMB: 1, EstimateMS: 100}},
	}
	s.p.Offer(s.now, "entry", o)
	s.p.UpdateMinion(s.now, peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 3})
	s.p.Offer(s.now, "entry", o)
	s.collect()
	must.Len(t, 1, s.out.Results)
	must.Eq(t, peer.JobRefused, s.out.Results[0].Body.Outcome)
	must.SliceEmpty(t, s.out.Starts)
}

// The jobs that have waited for a takeover arrive before the minions have answered their
// first polls, and the minions answer one after the other. Jobs for which all of them
// suffice are not refused, and the load report counts on them. A minion that does not answer
// counts no longer once the takeover is over.
func TestMinionsThatAreAboutToAnswerCount(t *testing.T) {
	const minions, cpu = 10, 64_000
	s := newHarness(t)
	id := func(i int) string { return string(rune('a' + i)) }
	for i := range minions {
		s.p.UpdateMinion(s.now, peer.MinionRecord{ID: id(i), Service: "s", FailureDomain: "z", CPU: cpu, MemoryMB: 1000, Seq: 1})
	}
	s.collect()
	must.Eq(t, minions*cpu, s.p.Load().Capacity)
	must.Eq(t, minions*cpu, s.p.Load().Free)
	for i := range minions {
		s.offerJob("j"+id(i), 2, 32_000, 500)
	}
	s.answerPoll(id(0), &Listing{})
	s.advance(20 * ms)
	s.offerJob("after the first listing", 1, 32_000, 500)
	must.SliceEmpty(t, s.out.Results)
	for i := range minions - 1 {
		if i > 0 {
			s.answerPoll(id(i), &Listing{})
		}
	}
	must.Len(t, 2*(minions-1), s.out.Starts)
	s.advance(DefaultTiming().MaxLease + ms)
	must.LessEq(t, (minions-1)*cpu, s.p.Load().Capacity, must.Sprint("one has not answered"))
	s.answerPoll(id(0), &Listing{})
	before := s.p.Load().Capacity
	s.p.UpdateMinion(s.now, peer.MinionRecord{ID: id(0), Service: "s", FailureDomain: "z", CPU: cpu, MemoryMB: 1000, Seq: 1, Incarnation: 5})
	must.Eq(t, before-cpu, s.p.Load().Capacity, must.Sprint("it restarted after the takeover"))
}

// Tasks that request no processor take the average task's size below one thousandth of a
// processor, which must not be divided by: the panic ended the dispatching process.
func TestTasksWithoutCPUKeepTheDispatcherRunning(t *testing.T) {
	s := newHarness(t)
	s.addMinion("m", 64_000)
	s.offerJob("first", 1, 27_000, 10)
	for i := range 600 {
		s.offerJob(fmt.Sprint("j", i), 1, 0, 10)
		s.advanceAnswering("m", 1)
	}
	must.Less(t, 1, s.p.meanTaskCPU)
	must.Eq(t, 64_000, s.p.Load().Free)
}
