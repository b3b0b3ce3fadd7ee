package fleet

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// detachTimedOutHosts cancels the jobs of entry hosts that have sent no message for
// claim.HeartbeatTimeout: their callers may have disconnected and sent the jobs again to
// other hosts.
func (c *core) detachTimedOutHosts(now time.Time) {
	for _, x := range c.sortedShards() {
		for _, name := range x.pool.WaitingHosts() {
			if name != c.self.Name && now.Sub(c.lastMessageAt[name]) > claim.HeartbeatTimeout {
				c.logEvent(event.PeerDown, slog.String("host", name))
				x.pool.DetachHost(now, name)
			}
		}
	}
}

// handleOffer accepts a job for dispatch, or answers that it belongs to another
// dispatcher. A repeated offer whose result is not acknowledged gets the result again.
// Other offers that have ended, and those of unknown age, are ignored.
func (c *core) handleOffer(now time.Time, from string, o *peer.JobOffer) {
	key := offerKey{from, o.Job, o.Offer}
	if r := c.unackedResults[key]; r != nil {
		c.sendResult(now, key, r) // it has ended, but its result was not acknowledged
		return
	}
	if c.endedOffers.contains(key) {
		return
	}
	if c.isDeleted(o.Job) {
		c.endOffer(now, key, peer.JobResult{Job: o.Job, Offer: o.Offer, Outcome: peer.JobDeleted, Reason: "the job was deleted"})
		return
	}
	x := c.shards[o.Shard]
	switch c.ageOf(now, from, o) {
	case offerAgeUnknown:
		return // an earlier process of this host may have accepted a copy of it
	case offerLate:
		c.handleLateOffer(now, key, x, o)
		return
	}
	if x == nil || x.shardCount != o.ShardCount || o.Cell != c.cell || !x.knownTo(from, c.self.Name, o) {
		c.endOffer(now, key, movedResult(o, "not the shard's dispatcher"))
		return
	}
	if x.phase.IsFinishing() && !o.MayHaveRun && !x.pool.HasJob(o.Job) {
		c.endOffer(now, key, movedResult(o, relayoutReason))
		return
	}
	if c.refusesOffer(from, x, o) {
		c.endOffer(now, key, peer.JobResult{Job: o.Job, Offer: o.Offer, Outcome: peer.JobRefused, RetryMS: c.overloadRetryMS(now), Reason: overloadedReason})
		return
	}
	x.pool.Offer(now, from, o)
	if from != c.self.Name {
		c.sendTo(from, &peer.JobAck{Job: o.Job, Offer: o.Offer, Shard: o.Shard, Load: c.load(x)})
	} else {
		load := c.load(x)
		c.jobTable.HandleAck(now, from, &peer.JobAck{Job: o.Job, Offer: o.Offer, Load: load})
		c.jobTable.UpdateLoad(now, from, o.Shard, load)
	}
}

// handleLateOffer answers an offer that was in flight for too long. Unless a copy of it was
// accepted before, it has not run and will not, and the sender is told so: the caller
// need not wait until its deadline.
func (c *core) handleLateOffer(now time.Time, key offerKey, x *shard, o *peer.JobOffer) {
	switch {
	case x != nil && x.pool.HasOffer(key.sender, o.Job, o.Offer):
		c.sendTo(key.sender, &peer.JobAck{Job: o.Job, Offer: o.Offer, Shard: o.Shard, Load: c.load(x)})
	case o.MayHaveRun:
		c.endOffer(now, key, movedResult(o, "the offer was late"))
	default:
		c.endOffer(now, key, peer.JobResult{Job: o.Job, Offer: o.Offer, Outcome: peer.JobRefused, RetryMS: busyRetryAfter.Milliseconds(), Reason: "the offer was late"})
	}
}

// movedResult answers an offer of which this host has started nothing and will start
// nothing: what its sender knows of an earlier dispatcher's runs stays true.
func movedResult(o *peer.JobOffer, reason string) peer.JobResult {
	return peer.JobResult{
		Job: o.Job, Offer: o.Offer, Outcome: peer.JobMoved, Done: o.Done, NotStarted: !o.MayHaveRun, NotStartedHere: true, MinionsDigest: o.MinionsDigest,
		Runs: o.PriorRuns, RunsKnown: o.PriorRunsKnown, Reason: reason,
	}
}

// knownTo reports whether the sender of an offer had received a heartbeat with the present
// claim. An offer made to an earlier claim of this host may have been made to another
// dispatcher of the shard since.
func (x *shard) knownTo(sender, self string, o *peer.JobOffer) bool {
	return sender == self || o.ReceiverClock >= x.claimedClock
}

// endOffer sends the result of an offer, until it is acknowledged if another host made
// the offer, and ignores further copies of the offer.
func (c *core) endOffer(now time.Time, key offerKey, result peer.JobResult) {
	r := &pendingResult{body: result, sendsRemaining: maxResultSends}
	if key.sender != c.self.Name {
		c.unackedResults[key] = r
	}
	c.endedOffers.add(now, key, result.NotStarted || result.NotStartedHere || result.Outcome == peer.JobRefused)
	c.sendResult(now, key, r)
}

// sendResult sends a result, for the first time or again.
func (c *core) sendResult(now time.Time, key offerKey, r *pendingResult) {
	r.sentAt = now
	r.sendsRemaining--
	c.sendTo(key.sender, &r.body)
}

func compareOfferKeys(a, b offerKey) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.sender, b.sender), cmp.Compare(a.offer, b.offer))
}

// resendResults sends unacknowledged results again, and drops those that were sent
// maxResultSends times.
func (c *core) resendResults(now time.Time) {
	for _, key := range slices.SortedFunc(maps.Keys(c.unackedResults), compareOfferKeys) {
		r := c.unackedResults[key]
		if now.Sub(r.sentAt) < resultResendInterval {
			continue
		}
		if r.sendsRemaining <= 0 {
			delete(c.unackedResults, key)
			continue
		}
		c.sendResult(now, key, r)
	}
}

// carryOutPool sends the orders and results of a shard's pool. It releases the shard
// if a minion has seen a newer fencing token.
func (c *core) carryOutPool(now time.Time, x *shard) {
	r := x.pool.Ready()
	for i := range r.Starts {
		c.start(x.pool, &r.Starts[i])
	}
	for i := range r.Stops {
		c.stop(x.pool, &r.Stops[i])
	}
	for i := range r.Polls {
		c.poll(x.pool, &r.Polls[i])
	}
	for i := range r.Results {
		out := &r.Results[i]
		c.endOffer(now, offerKey{out.To, out.Body.Job, out.Body.Offer}, out.Body)
	}
	if r.TokenSuperseded && c.shards[x.number] == x {
		c.releaseShard(now, x, "a minion obeys a newer token")
		c.claimLostAt = now
	}
}
