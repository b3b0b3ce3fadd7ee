package pool

import (
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// An evacuated pool must return jobs without a start at once, finish what runs, start the
// remaining tasks of started jobs only during the grace, and then return these jobs with
// the tasks that are done.
func TestEvacuatedPoolReturnsItsJobs(t *testing.T) {
	s := newHarness(t)
	s.addMinion("m", 2000)
	s.offerJob("started", 3, 1000, 100)
	s.offerJob("waiting", 1, 2000, 100)
	s.collect()
	starts := s.answerStarts(AnswerOK)
	must.Len(t, 2, starts)
	s.p.SetEvacuated(s.now, true, s.now.Add(EvacuationGrace))
	s.offerJob("late", 1, 1000, 100)
	s.collect()
	for i, id := range []string{"waiting", "late"} {
		must.Eq(t, id, s.out.Results[i].Body.Job)
		must.Eq(t, peer.JobMoved, s.out.Results[i].Body.Outcome)
		must.True(t, s.out.Results[i].Body.NotStarted)
	}
	must.Eq(t, 0, s.p.Load().Capacity)
	end := func(x Start, number uint64, running ...Start) {
		l := &Listing{Ended: []EndedRun{{Number: number, Task: x.Task, Run: x.Run, How: EndDone}}}
		for _, r := range running {
			l.Running = append(l.Running, RunProgress{Task: r.Task, Run: r.Run})
		}
		s.advance(20 * ms)
		s.answerPoll("m", l)
	}
	end(starts[0], 1, starts[1])
	third := s.answerStarts(AnswerOK)
	must.Len(t, 1, third, must.Sprint("within the grace the last task starts"))
	s.advance(EvacuationGrace)
	s.answerPoll("m", &Listing{
		Running: []RunProgress{{Task: starts[1].Task, Run: 1}},
		Ended:   []EndedRun{{Number: 2, Task: third[0].Task, Run: 1, How: EndFailed}},
	})
	s.advance(20 * ms)
	must.Len(t, 0, s.out.Starts, must.Sprint("nothing is started after the grace"))
	must.Len(t, 2, s.out.Results, must.Sprint("a run has not ended yet"))
	end(starts[1], 3)
	s.advance(20 * ms)
	must.Len(t, 3, s.out.Results)
	r := s.out.Results[2].Body
	must.Eq(t, peer.JobMoved, r.Outcome)
	must.True(t, r.RunsEnded)
	must.False(t, r.NotStarted)
	must.Eq(t, []int{starts[0].Task.Index, starts[1].Task.Index}, r.Done)
	s.p.SetEvacuated(s.now, false, s.now)
	s.offerJob("after", 1, 1000, 100)
	s.collect()
	must.Len(t, 1, s.out.Starts)
}

// A dispatcher that takes over in an evacuated failure domain must adopt what runs, start
// nothing, and return the job only when no earlier run of it can go on.
func TestTakeoverInEvacuatedDomainAdoptsRuns(t *testing.T) {
	s := newHarness(t)
	s.p.SetEvacuated(s.now, true, s.now)
	task := TaskRef{Job: "j", Index: 0}
	s.addMinion("m", 2000, RunProgress{Task: task, Run: 1})
	s.offerJobOfEarlierOwner("j", s.p.MinionDigest())
	s.advance(20 * ms)
	must.Len(t, 0, s.out.Results)
	s.answerPoll("m", &Listing{Running: []RunProgress{{Task: task, Run: 1}}})
	s.advance(20 * ms)
	must.Len(t, 0, s.out.Results)
	s.answerPoll("m", &Listing{Ended: []EndedRun{{Number: 1, Task: task, Run: 1, How: EndFailed}}})
	s.advance(20 * ms)
	must.Len(t, 0, s.out.Starts)
	must.Len(t, 1, s.out.Results)
	must.True(t, s.out.Results[0].Body.RunsEnded)
}

// A job that is continued after its runs have ended elsewhere must start only its remaining
// tasks, and must not be refused for a backlog: it has run, so its caller could not be told
// that it has not.
func TestContinuedJobStartsItsRemainingTasks(t *testing.T) {
	s := newHarness(t)
	s.addMinion("m", 1000)
	s.offerJob("long", 1, 1000, 4000)
	s.collect()
	s.answerStarts(AnswerOK)
	s.p.Offer(s.now, "entry", &peer.JobOffer{
		Job: "j", Offer: 1, Queue: "q", Service: "s", Attempts: 2, StretchPct: 160, AddMS: 60, AgeMS: 2000, RemainingMS: 1000, Done: []int{0},
		Steps: []peer.TaskStep{{Count: 1, CPU: 1000, EstimateMS: 2000}, {Count: 1, CPU: 1000, EstimateMS: 100, After: []int{0}}},
	})
	s.collect()
	must.Len(t, 0, s.out.Results)
	s.addMinion("n", 1000)
	s.advance(20 * ms)
	must.Len(t, 0, s.out.Results)
	must.Len(t, 1, s.out.Starts)
	must.Eq(t, TaskRef{Job: "j", Step: 1}, s.out.Starts[0].Task)
}
