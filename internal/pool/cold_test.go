package pool

import (
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// A cold minion must get a run only when no other minion can take it, one at a time at
// first and more towards the end of its cold time. Entry hosts must not count on all of it,
// and its run times must not make it look slow afterwards.
func TestColdMinionGetsLittleWork(t *testing.T) {
	s := newHarness(t)
	s.addMinion("warm", 2000)
	r := peer.MinionRecord{ID: "cold", Service: "s", FailureDomain: "z", CPU: 4000, MemoryMB: 1000, Seq: 1, ColdUntilMS: s.minionClock() + 4000}
	s.p.UpdateMinion(s.now, r)
	s.collect()
	s.answerPoll("cold", &Listing{})
	on := func() map[string]int {
		counts := make(map[string]int)
		for _, x := range s.answerStarts(AnswerOK) {
			counts[x.Minion]++
		}
		return counts
	}
	s.offerJob("a", 2, 1000, 100)
	must.Eq(t, map[string]int{"warm": 2}, on())
	must.Less(t, 4000, s.p.Load().Capacity, must.Sprint("of 6000"))
	s.offerJob("b", 3, 1000, 2000)
	must.Eq(t, map[string]int{"cold": 1}, on())

	runs := []RunProgress{{Task: TaskRef{Job: "b"}, Run: 1}}
	s.now = s.now.Add(2 * time.Second)
	s.advance(20 * ms)
	must.Eq(t, 3, s.p.minions["cold"].cold.maxRuns, must.Sprint("half of its cold time has passed"))
	s.p.UpdateMinion(s.now, r) // repeated: the cold time doesn't begin again
	s.now = s.now.Add(2 * time.Second)
	s.advance(20 * ms)
	s.answerPoll("cold", &Listing{Ended: []EndedRun{{Number: 1, Task: runs[0].Task, Run: 1, How: EndDone}}})
	must.False(t, s.p.minions["cold"].cold.active)
	must.Eq(t, 1.0, s.p.minions["cold"].health.slowdown())
	must.Eq(t, 0, s.p.ColdMinions())
}
