package pool

import (
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// movedOffer returns the offer of a job of three tasks that an earlier owner has handed
// over: task 0 may run on a minion of this pool, task 1 on one of another shard, and task
// 2 has no run.
func movedOffer(here, elsewhere string) *peer.JobOffer {
	return &peer.JobOffer{
		Job: "j", Offer: 1, Queue: "q", Service: "s", Attempts: 2, StretchPct: 160, AddMS: 60, RemainingMS: 5000, MayHaveRun: true, PriorRunsMS: 1700,
		Steps:     []peer.TaskStep{{Count: 3, CPU: 10_000, MemoryMB: 1, EstimateMS: 1000}},
		PriorRuns: []peer.TaskRun{{Task: 0, Minion: here}, {Task: 1, Minion: elsewhere}}, PriorRunsKnown: true,
	}
}

func taskRef(i int) TaskRef { return TaskRef{"j", 0, i} }

// startedTasks returns the tasks that were started, and clears the starts.
func (s *harness) startedTasks() []int {
	var out []int
	for _, x := range s.out.Starts {
		out = append(out, x.Task.Index)
	}
	s.out.Starts = nil
	return out
}

// After a new shard layout a job's runs are on minions of several shards. A task without
// a run starts at once, one that runs on a minion of this shard is adopted, and one that
// may run elsewhere waits until its lease has certainly ended: it must not run twice.
func TestMovedJobWaitsForRunsElsewhereOnly(t *testing.T) {
	s := newHarness(t)
	s.addMinion("m", 64_000, RunProgress{Task: taskRef(0), Run: 1})
	s.p.Offer(s.now, "e", movedOffer("m", "other"))
	s.collect()
	must.Eq(t, []int{2}, s.startedTasks())
	s.p.HandleStartAnswer(s.now, Start{Minion: "m", Task: taskRef(2), Run: 1}, AnswerOK, s.minionClock())
	for s.now.Before(startTime.Add(1680 * ms)) {
		s.advance(20 * ms)
		must.SliceEmpty(t, s.startedTasks(), must.Sprint(s.now.Sub(startTime)))
		percent := float64(s.now.Sub(startTime)/ms) / 20
		s.answerPoll("m", &Listing{Running: []RunProgress{{Task: taskRef(0), Run: 1, Percent: percent}, {Task: taskRef(2), Run: 1, Percent: percent}}})
	}
	must.SliceEmpty(t, s.out.Stops, must.Sprint("the run is adopted"))
	s.advance(20 * ms)
	must.Eq(t, []int{1}, s.startedTasks())
}

// A task whose run may be on a minion of this shard waits for a listing that is newer
// than the offer. An end in that listing counts: the task doesn't run again.
func TestMovedTaskWaitsForListing(t *testing.T) {
	for name, l := range map[string]Listing{"ended": {Ended: []EndedRun{{Number: 1, Task: taskRef(0), Run: 1, How: EndDone}}}, "never began": {}} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t)
			s.addMinion("m", 64_000)
			s.now = s.now.Add(ms)
			s.p.Offer(s.now, "e", movedOffer("m", "m"))
			s.collect()
			must.Eq(t, []int{2}, s.startedTasks())
			s.advance(20 * ms)
			must.SliceEmpty(t, s.startedTasks())
			s.answerPoll("m", &l)
			s.advance(20 * ms)
			if name == "ended" {
				must.Eq(t, []int{1}, s.startedTasks())
			} else {
				must.Eq(t, []int{0, 1}, s.startedTasks())
			}
		})
	}
}

// An owner that hands a job over names every run that may not have ended: its own, and
// those of the owner before it that it has not been able to check.
func TestReleaseNamesPossibleRuns(t *testing.T) {
	s := newHarness(t)
	s.addMinion("m", 64_000, RunProgress{Task: taskRef(0), Run: 1})
	s.p.Offer(s.now, "e", movedOffer("m", "other"))
	s.p.Release(s.now)
	s.collect()
	r := s.out.Results[0].Body
	must.Eq(t, peer.JobMoved, r.Outcome)
	must.True(t, r.RunsKnown)
	must.Eq(t, []peer.TaskRun{{Task: 0, Minion: "m"}, {Task: 1, Minion: "other"}, {Task: 2, Minion: "m"}}, r.Runs)

	s = newHarness(t)
	s.addMinion("m", 64_000)
	o := movedOffer("m", "other")
	o.PriorRuns, o.PriorRunsKnown = nil, false
	s.p.Offer(s.now, "e", o)
	s.p.Release(s.now)
	s.collect()
	must.False(t, s.out.Results[0].Body.RunsKnown, must.Sprint("an earlier owner's runs are not known"))
}

// Before a new layout, jobs without a start go back as not started, and the others stay.
func TestUnstartedJobsAreReturned(t *testing.T) {
	s := newHarness(t)
	s.addMinion("m", 10_000)
	s.offerJob("running", 1, 10_000, 1000)
	s.offerJob("waiting", 1, 10_000, 1000)
	s.p.ReturnUnstarted(s.now, "r")
	s.collect()
	must.Len(t, 1, s.out.Results)
	must.Eq(t, peer.JobResult{Job: "waiting", Offer: 1, Outcome: peer.JobMoved, NotStarted: true, Reason: "r"}, s.out.Results[0].Body)
	must.True(t, s.p.HasJob("running"))
	must.False(t, s.p.HasJob("waiting"))
}
