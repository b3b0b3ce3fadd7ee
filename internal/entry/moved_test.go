package entry

import (
	"fmt"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/shoenig/test/must"
)

// layoutOf returns the dispatchers of a layout of n shards.
func layoutOf(n int) []Dispatcher {
	var out []Dispatcher
	for i := range n {
		d := dispatcherOf(fmt.Sprintf("of%d-%d", n, i), "a", 100_000, 0)
		d.Shard, d.ShardCount = i, n
		out = append(out, d)
	}
	return out
}

// minionIn returns the name of a minion in a shard of a layout.
func minionIn(shard, shardCount int) string {
	for i := 0; ; i++ {
		if m := fmt.Sprintf("m%d", i); claim.ShardOf(m, shardCount) == shard {
			return m
		}
	}
}

// After a new shard layout a job goes to the dispatcher that has most of its running tasks,
// which adopts them, also if the claims of the new layout arrive before the result of the
// earlier dispatcher. Otherwise it would wait for the end of all leases.
func TestJobFollowsItsRunsToTheNewLayout(t *testing.T) {
	for _, claimsFirst := range []bool{false, true} {
		x := newTable()
		x.SetDispatchers(begin, layoutOf(1))
		submit(x, "j")
		first := offers(x.Ready())[0].Body.(*peer.JobOffer)
		if claimsFirst {
			x.SetDispatchers(begin, layoutOf(3))
			must.SliceEmpty(t, offers(x.Ready()), must.Sprint("nothing is known of its runs yet"))
		}
		runs := []peer.TaskRun{{Task: 0, Minion: minionIn(0, 3)}, {Task: 1, Minion: minionIn(2, 3)}, {Task: 2, Minion: minionIn(2, 3)}}
		x.HandleResult(begin, "of1-0", &peer.JobResult{Job: "j", Offer: first.Offer, Outcome: peer.JobMoved, Runs: runs, RunsKnown: true})
		x.SetDispatchers(begin, layoutOf(3))
		o := offers(x.Ready())
		must.Len(t, 1, o)
		must.Eq(t, "of3-2", o[0].To)
		body := o[0].Body.(*peer.JobOffer)
		must.True(t, body.MayHaveRun && body.PriorRunsKnown)
		must.Eq(t, runs, body.PriorRuns)

		// What is known holds for one offer: this dispatcher may have started more.
		x.SetDispatchers(begin.Add(ms), layoutOf(5))
		must.SliceEmpty(t, offers(x.Ready()))
		x.SetDispatchers(begin.Add(2*ms), layoutOf(3))
		must.False(t, offers(x.Ready())[0].Body.(*peer.JobOffer).PriorRunsKnown)
	}
}

// The result of an unavailable dispatcher counts only until the job is offered elsewhere.
func TestLateHandOverIsIgnored(t *testing.T) {
	x := newTable()
	x.SetDispatchers(begin, layoutOf(1))
	submit(x, "j")
	first := offers(x.Ready())[0].Body.(*peer.JobOffer)
	next := layoutOf(1)
	next[0].Host = "next"
	x.SetDispatchers(begin, next)
	must.Len(t, 1, offers(x.Ready()))
	x.HandleResult(begin, "of1-0", &peer.JobResult{Job: "j", Offer: first.Offer, Outcome: peer.JobMoved, RunsKnown: true})
	must.SliceEmpty(t, offers(x.Ready()))
}

// Dispatchers that finish before a new layout get no new jobs, but those that may have run
// on their minions. A dispatcher that hands its shard over gets none.
func TestFinishingDispatcherGetsNoNewJobs(t *testing.T) {
	for phase, takes := range map[peer.ClaimPhase][2]bool{
		peer.ClaimServing: {true, true}, peer.ClaimFinishing: {false, true}, peer.ClaimFinished: {false, true}, peer.ClaimHandingOver: {false, false},
	} {
		d := layoutOf(1)[0]
		d.Phase = phase
		j := &openJob{domain: "a"}
		j.offer.ShardCount = 1
		must.Eq(t, takes[0], d.takes(j), must.Sprint(phase))
		j.boundToShard = true
		must.Eq(t, takes[1], d.takes(j), must.Sprint(phase))
	}
}
