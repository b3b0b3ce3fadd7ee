package pool

import (
	"log/slog"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

var begin = time.Unix(1_700_000_000, 0)

// script feeds a pool by hand.
type script struct {
	t   *testing.T
	p   *Pool
	now time.Time
	out Ready
}

func newScript(t *testing.T) *script {
	s := &script{t: t, now: begin, p: New(Config{Timing: DefaultTiming(), Note: func(event.ID, ...slog.Attr) {}})}
	s.p.Claim(s.now, 1<<30)
	return s
}

func (s *script) pass(d time.Duration) {
	s.now = s.now.Add(d)
	s.p.Tick(s.now)
	s.take()
}

// take adds what the pool asks for to out.
func (s *script) take() {
	r := s.p.Ready()
	s.out.Starts = append(s.out.Starts, r.Starts...)
	s.out.Stops = append(s.out.Stops, r.Stops...)
	s.out.Holds = append(s.out.Holds, r.Holds...)
	s.out.Results = append(s.out.Results, r.Results...)
	s.out.Deposed = s.out.Deposed || r.Deposed
}

// clock is what the minions' clocks show.
func (s *script) clock() int64 { return 1000 + s.now.Sub(begin).Milliseconds() }

// minion adds a minion and answers its first hold with the runs.
func (s *script) minion(id string, cpu int64, running ...Running) {
	s.p.Minion(s.now, peer.MinionRecord{ID: id, Service: "s", FailureDomain: "z", CPU: cpu, MemoryMB: 1000, Seq: 1})
	s.take()
	s.held(id, &Listing{Running: running})
}

// held answers the newest hold of a minion.
func (s *script) held(id string, l *Listing) {
	s.t.Helper()
	h := s.lastHold(id)
	l.ClockMS = s.clock()
	s.p.Held(s.now, id, h.Serial, AnswerOK, l)
	s.take()
}

// passWith lets ticks pass in which a minion answers every start and lists what
// it runs, and returns those starts.
func (s *script) passWith(id string, ticks int) []Start {
	var all []Start
	l := &Listing{}
	for range ticks {
		s.pass(20 * ms)
		for _, x := range s.started(AnswerOK) {
			all = append(all, x)
			l.Running = append(l.Running, Running{Task: x.Task, Run: x.Run})
		}
		s.held(id, &Listing{Running: l.Running})
	}
	return all
}

// holdsAbove returns the holds of a minion under tokens above the given one.
func (s *script) holdsAbove(id string, token uint64) []Hold {
	var out []Hold
	for _, h := range s.out.Holds {
		if h.Minion == id && h.Token > token {
			out = append(out, h)
		}
	}
	return out
}

func (s *script) lastHold(id string) Hold {
	s.t.Helper()
	for i := len(s.out.Holds) - 1; i >= 0; i-- {
		if s.out.Holds[i].Minion == id {
			return s.out.Holds[i]
		}
	}
	s.t.Fatalf("no hold of %s", id)
	return Hold{}
}

// offer hands a job of equal tasks in.
func (s *script) offer(id string, count int, cpu, estimate int64) *peer.JobOffer {
	o := &peer.JobOffer{
		Job: id, Offer: 1, Queue: "q", Service: "s", Attempts: 2, StretchPct: 160, AddMS: 60, LeftMS: 5000,
		Steps: []peer.TaskStep{{Count: count, CPU: cpu, MemoryMB: 1, EstimateMS: estimate}},
	}
	s.p.Offer(s.now, "entry", o)
	s.take()
	return o
}

// started takes the starts that are asked for and answers them.
func (s *script) started(a Answer) []Start {
	starts := s.out.Starts
	s.out.Starts = nil
	for _, x := range starts {
		s.p.Started(s.now, x, a, s.clock())
	}
	s.take()
	return starts
}

// A run that an earlier owner left, and that no job here wants, keeps the
// minion's room until it is listed as ended: what it uses is not known.
func TestLeftoverRunBlocksItsMinion(t *testing.T) {
	s := newScript(t)
	left := Running{Task: TaskRef{"old", 0, 0}, Run: 3, Percent: 10}
	s.minion("m", 64_000, left)
	s.offer("new", 1, 27_000, 100)
	must.Len(t, 0, s.out.Starts)
	s.pass(DefaultTiming().Adopt + ms)
	must.Len(t, 1, s.out.Stops)
	s.p.Stopped(s.now, s.out.Stops[0], AnswerOK)
	s.take()
	s.pass(20 * ms)
	must.Len(t, 0, s.out.Starts, must.Sprint("the stop is confirmed, the end is not listed"))
	s.held("m", &Listing{Ended: []Ended{{Number: 1, Task: left.Task, Run: 3, How: EndStopped}}})
	must.Len(t, 1, s.out.Starts)
}

// A new owner takes over what runs for a job that is offered again, and counts
// what it needs.
func TestRunsAreAdopted(t *testing.T) {
	s := newScript(t)
	s.minion("m", 64_000, Running{Task: TaskRef{"j", 0, 1}, Run: 2, Percent: 50})
	s.p.Offer(s.now, "entry", &peer.JobOffer{
		Job: "j", Offer: 1, Queue: "q", Service: "s", Attempts: 2, StretchPct: 160, AddMS: 60, LeftMS: 5000, MayHaveRun: true, Done: []int{2},
		Steps: []peer.TaskStep{{Count: 3, CPU: 40_000, EstimateMS: 100}},
	})
	s.take()
	must.Len(t, 0, s.out.Starts, must.Sprint("40 of 64 processors are in use"))
	s.pass(20 * ms)
	s.held("m", &Listing{Ended: []Ended{{Number: 1, Task: TaskRef{"j", 0, 1}, Run: 2, How: EndDone}}})
	starts := s.started(AnswerOK)
	must.Len(t, 1, starts)
	must.Eq(t, TaskRef{"j", 0, 0}, starts[0].Task)
	s.pass(20 * ms)
	s.held("m", &Listing{Ended: []Ended{{Number: 2, Task: starts[0].Task, Run: starts[0].Run, How: EndDone}}})
	must.Len(t, 1, s.out.Results)
	must.Eq(t, peer.JobComplete, s.out.Results[0].Body.Outcome)
}

// A start without an answer is repeated elsewhere only when a listing under a
// newer token shows that it was not carried out.
func TestUnansweredStartIsDisproved(t *testing.T) {
	s := newScript(t)
	s.minion("a", 64_000)
	s.offer("j", 1, 27_000, 100)
	first := s.out.Starts[0]
	s.started(AnswerUnknown)
	s.minion("b", 64_000)
	s.pass(20 * ms)
	must.Len(t, 0, s.out.Starts)
	h := s.lastHold("a")
	must.Greater(t, first.Token, h.Token)
	s.held("a", &Listing{})
	must.Len(t, 1, s.out.Starts)
	must.Greater(t, first.Run, s.out.Starts[0].Run)
}

// The tasks of a minion that is out of reach run elsewhere when its lease has
// certainly lapsed, and not before.
func TestLostMinionsTasksWaitForTheLease(t *testing.T) {
	s := newScript(t)
	s.minion("a", 64_000)
	s.offer("j", 1, 27_000, 100)
	s.started(AnswerOK)
	s.minion("b", 64_000)
	lease := DefaultTiming().Lease
	for range 40 {
		s.pass(20 * ms)
		s.held("b", &Listing{})
		if s.now.Sub(begin) < lease-20*ms {
			must.Len(t, 0, s.out.Starts)
		}
	}
	starts := s.passWith("b", 40)
	must.Len(t, 1, starts)
	must.Eq(t, "b", starts[0].Minion)
}

// Right after a takeover jobs wait for the minions' first answers.
func TestJobsWaitForATakeover(t *testing.T) {
	s := newScript(t)
	s.p.Minion(s.now, peer.MinionRecord{ID: "m", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1})
	s.take()
	s.offer("j", 1, 27_000, 100)
	must.Len(t, 0, s.out.Results)
	s.held("m", &Listing{})
	must.Len(t, 1, s.out.Starts)
}

// A start that was on its way when its minion started again may still arrive at
// the new process, which has seen no token yet.
func TestStartInFlightOutlivesItsMinion(t *testing.T) {
	s := newScript(t)
	s.minion("a", 64_000)
	s.offer("j", 1, 27_000, 100)
	first := s.out.Starts[0]
	s.out.Starts = nil
	s.minion("b", 64_000)
	s.p.Minion(s.now, peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1, Born: 5})
	s.pass(20 * ms)
	must.Len(t, 0, s.out.Starts)
	s.held("a", &Listing{Born: 5})
	must.Len(t, 1, s.out.Starts)
	must.Greater(t, first.Run, s.out.Starts[0].Run)
}

// An answer of a minion's earlier process says nothing of its new one, whose
// clock and ends start anew.
func TestAnswerOfEarlierProcessIsIgnored(t *testing.T) {
	s := newScript(t)
	s.minion("a", 64_000)
	s.pass(20 * ms)
	old := s.lastHold("a")
	s.p.Minion(s.now, peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1, Born: 5})
	s.take()
	fresh := s.lastHold("a")
	s.p.Held(s.now, "a", old.Serial, AnswerOK, &Listing{ClockMS: 90_000, Ended: []Ended{{Number: 40, Task: TaskRef{"x", 0, 0}, Run: 1, How: EndDone}}})
	s.take()
	s.p.Held(s.now, "a", fresh.Serial, AnswerOK, &Listing{ClockMS: 10, Born: 5})
	s.take()
	s.offer("j", 1, 27_000, 100)
	must.Len(t, 1, s.out.Starts)
	must.Less(t, 2000, s.out.Starts[0].UntilMS, must.Sprint("by the new process's clock"))
}

// A minion that has left is dropped when its last run has lapsed, while the
// others are looked after.
func TestMinionThatLeftIsDropped(t *testing.T) {
	s := newScript(t)
	s.minion("a", 64_000)
	s.minion("b", 64_000)
	s.offer("j", 2, 64_000, 1000)
	must.Len(t, 2, s.started(AnswerOK))
	s.p.Minion(s.now, peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 2, Gone: true})
	for range 100 { // no hold is answered: both leases end
		s.pass(20 * ms)
	}
	must.MapNotContainsKey(t, s.p.minions, "a")
	must.MapContainsKey(t, s.p.minions, "b")
}

// An earlier owner may go on renewing a minion that this one does not reach,
// however long ago this one claimed it: a job that comes from there waits until
// that owner has certainly given it up.
func TestJobOfLiveOwnerWaitsForUnheardMinion(t *testing.T) {
	s := newScript(t)
	s.minion("a", 64_000)
	s.p.Minion(s.now, peer.MinionRecord{ID: "b", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1})
	s.take()
	s.pass(10 * time.Second) // "b" never answers
	s.held("a", &Listing{})
	o := &peer.JobOffer{
		Job: "j", Offer: 1, Queue: "q", Service: "s", Attempts: 2, StretchPct: 160, AddMS: 60, LeftMS: 5000, MayHaveRun: true, MayRunMS: 1700,
		Steps: []peer.TaskStep{{Count: 1, CPU: 27_000, MemoryMB: 1, EstimateMS: 100}},
	}
	s.p.Offer(s.now, "entry", o)
	s.take()
	s.pass(1600 * ms)
	must.Len(t, 0, s.out.Starts)
	s.held("a", &Listing{})
	s.pass(120 * ms)
	must.Len(t, 1, s.out.Starts)
}

// An earlier owner may have run a job on a minion that this owner has not heard
// of: that all known ones are listed says nothing then.
func TestJobWaitsWhereTheEarlierOwnerHadOtherMinions(t *testing.T) {
	earlier := newScript(t)
	earlier.minion("a", 64_000)
	earlier.minion("b", 64_000)
	must.NotEq(t, 0, earlier.p.MinionSet())
	s := newScript(t)
	s.minion("a", 64_000)
	offer := func(id string, minions uint64) {
		s.p.Offer(s.now, "entry", &peer.JobOffer{
			Job: id, Offer: 1, Queue: "q", Service: "s", Attempts: 2, StretchPct: 160, AddMS: 60, LeftMS: 5000, MayHaveRun: true, MayRunMS: 1700,
			Minions: minions, Steps: []peer.TaskStep{{Count: 1, CPU: 27_000, MemoryMB: 1, EstimateMS: 100}},
		})
		s.take()
	}
	offer("other", earlier.p.MinionSet())
	must.Len(t, 0, s.out.Starts)
	offer("same", s.p.MinionSet())
	must.Len(t, 1, s.out.Starts)
	must.Eq(t, "same", s.out.Starts[0].Task.Job)
	s.pass(1700 * ms)
	s.held("a", &Listing{Running: []Running{{Task: s.out.Starts[0].Task, Run: 1, Percent: 50}}})
	s.pass(20 * ms)
	must.Len(t, 2, s.out.Starts)
}

// A start may be answered by the new process of a minion before that is known
// to be new: the task is not started elsewhere until a listing tells.
func TestStartAnsweredByTheNewProcessIsNotRepeated(t *testing.T) {
	s := newScript(t)
	s.minion("a", 64_000)
	s.offer("j", 1, 27_000, 100)
	first := s.started(AnswerOK)[0] // by the process that was born meanwhile
	s.minion("b", 64_000)
	s.pass(5 * ms)
	s.p.Minion(s.now, peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1, Born: 9})
	s.pass(ms)
	must.Len(t, 0, s.out.Starts)
	s.held("a", &Listing{Born: 9, Running: []Running{{Task: first.Task, Run: 1, Percent: 5}}})
	s.pass(20 * ms)
	must.Len(t, 0, s.out.Starts)
	s.held("a", &Listing{Born: 9, Ended: []Ended{{Number: 1, Task: first.Task, Run: 1, How: EndDone}}})
	must.Len(t, 1, s.out.Results)
	must.Eq(t, peer.JobComplete, s.out.Results[0].Body.Outcome)
}

// Where the new process is out of reach, what ran there has ended with its
// lease.
func TestRunsOfAMinionBornOutOfReachEnd(t *testing.T) {
	s := newScript(t)
	s.minion("a", 64_000)
	s.offer("j", 1, 27_000, 100)
	s.started(AnswerOK)
	s.minion("b", 64_000)
	s.p.Minion(s.now, peer.MinionRecord{ID: "a", Service: "s", FailureDomain: "z", CPU: 64_000, MemoryMB: 1000, Seq: 1, Born: 9})
	s.take()
	for range 5 {
		s.pass(200 * ms)
		s.held("b", &Listing{})
	}
	must.Len(t, 0, s.out.Starts)
	starts := s.passWith("b", 30)
	must.Len(t, 1, starts)
	must.Eq(t, "b", starts[0].Minion)
}

// A start whose answer is lost is asked about after a tick; what is not there
// runs elsewhere at once, and the listing is asked for again when it is lost too.
func TestOverdueStartIsAskedAbout(t *testing.T) {
	s := newScript(t)
	s.minion("a", 64_000)
	s.offer("j", 1, 27_000, 100)
	first := s.out.Starts[0]
	s.out.Starts = nil
	s.minion("b", 32_000)
	s.out.Holds = nil
	s.pass(15 * ms)
	must.Len(t, 0, s.holdsAbove("a", first.Token))
	s.pass(10 * ms)
	must.Len(t, 1, s.holdsAbove("a", first.Token))
	s.pass(25 * ms)
	must.Len(t, 2, s.holdsAbove("a", first.Token))
	must.Len(t, 0, s.out.Starts)
	s.held("a", &Listing{})
	must.Len(t, 1, s.out.Starts)
	must.Eq(t, "b", s.out.Starts[0].Minion)
	s.p.Started(s.now, first, AnswerOK, s.clock()) // far too late: the minion refuses it by its token
	s.take()
	must.Len(t, 1, s.out.Starts)
}

// Where answers usually take long, a start is given as much longer.
func TestOverdueFollowsTheUsualTime(t *testing.T) {
	s := newScript(t)
	must.Eq(t, minOverdue, s.p.overdue())
	for range 500 {
		s.p.answered(10 * ms)
	}
	must.Between(t, 75*ms, s.p.overdue(), 81*ms)
}

// While holds are lost a busy minion has two of them, half their wait apart.
func TestBusyMinionsHaveTwoHoldsWhileSomeAreLost(t *testing.T) {
	holds := func(lostBefore time.Duration) int {
		s := newScript(t)
		s.minion("a", 64_000)
		s.offer("j", 1, 27_000, 1000)
		running := []Running{{Task: s.started(AnswerOK)[0].Task, Run: 1}}
		s.p.lostAt = s.now.Add(-lostBefore)
		s.held("a", &Listing{Running: running})
		s.out.Holds = nil
		for range 4 {
			s.pass(20 * ms)
		}
		return len(s.out.Holds)
	}
	must.Eq(t, 1, holds(lossyFor))
	must.Eq(t, 2, holds(0))
}
