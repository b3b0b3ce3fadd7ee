package entry

import (
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// priorRuns are the runs of a job that its last dispatcher left on minions.
type priorRuns struct {
	runs  []peer.TaskRun
	known bool // runs is complete
}

// stampPriorRuns moves what is known of the earlier dispatcher's runs into the offer. It
// holds for this offer only: its receiver may start further runs.
func (j *openJob) stampPriorRuns() {
	j.offer.PriorRuns, j.offer.PriorRunsKnown = nil, false
	if j.boundToShard {
		j.offer.PriorRuns, j.offer.PriorRunsKnown = j.priorRuns.runs, j.priorRuns.known
	}
	j.priorRuns, j.lostOffer = priorRuns{}, offerRef{}
}

// awaits reports whether a result settles the job's present offer. If its dispatcher is no
// longer listed, that is only so when it hands the job over: the claims of a new shard
// layout often arrive before the results of the earlier dispatchers.
func (j *openJob) awaits(from string, r *peer.JobResult) bool {
	if j.dispatcher.host == "" {
		return r.Outcome == peer.JobMoved && j.lostOffer.host == from && j.lostOffer.number == r.Offer
	}
	return j.dispatcher.host == from && j.offer.Offer == r.Offer
}

// unless returns the offer, or zero if it is the given one.
func (o offerRef) unless(host string, number uint64) offerRef {
	if o.host == host && o.number == number {
		return offerRef{}
	}
	return o
}

// takes reports whether the job may be offered to the dispatcher now.
func (d *Dispatcher) takes(j *openJob) bool {
	switch {
	case d.Phase == peer.ClaimHandingOver:
		return false // the next dispatcher claims the shard at once
	case !j.boundToShard:
		return !d.Phase.IsFinishing()
	}
	return d.servesShardOf(j) || d.followsShardOf(j)
}

// followsShardOf reports whether the dispatcher has, in a new shard layout, most of the
// minions that still run tasks of a job that was handed over. It adopts the runs there;
// tasks that run elsewhere wait until their runs have certainly ended. If nothing of the
// job runs, the job's ID decides.
func (d *Dispatcher) followsShardOf(j *openJob) bool {
	if !j.priorRuns.known || d.FailureDomain != j.domain || d.Cell != j.offer.Cell || d.ShardCount == j.offer.ShardCount {
		return false
	}
	if len(j.priorRuns.runs) == 0 {
		return claim.ShardOf(j.offer.Job, d.ShardCount) == d.Shard
	}
	counts := make(map[int]int)
	best := -1
	for _, r := range j.priorRuns.runs {
		shard := claim.ShardOf(r.Minion, d.ShardCount)
		counts[shard]++
		if n := counts[shard]; best < 0 || n > counts[best] || n == counts[best] && shard < best {
			best = shard
		}
	}
	return best == d.Shard
}

// HostRestarted reoffers the jobs of a dispatcher host that has restarted: its
// new process does not know them.
func (t *Table) HostRestarted(now time.Time, host string) {
	for _, j := range t.sortedJobs() {
		if j.dispatcher.host == host {
			t.reoffer(now, j, "dispatcher restarted")
		}
	}
}
