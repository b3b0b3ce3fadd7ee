package fleet

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// relayoutReason is the reason in the results of jobs that are returned before a new shard
// layout.
const relayoutReason = "the minions are divided anew"

func (x *shard) setPhase(now time.Time, p peer.ClaimPhase) { x.phase, x.phaseAt = p, now }

// updatePhases begins and ends the finishing and the hand-overs of this host's shards.
func (c *core) updatePhases(now time.Time, self claim.Candidate, others []claim.Candidate) {
	c.followRelayout(now, self, others)
	for _, x := range c.sortedShards() {
		if x.phase == peer.ClaimHandingOver && now.Sub(x.phaseAt) > claim.HandOverTimeout {
			x.setPhase(now, peer.ClaimServing)
			c.nextHandOverAt = now.Add(claim.HandOverPause)
			c.logEvent(event.ShardHandOverEnded, slog.Int("shard", x.number), slog.Int("of", x.shardCount))
			c.heartbeatDue = true
		}
	}
	c.handOverIfOverloaded(now, self, others)
	c.relieve(now, self, others)
}

// relieve hands a shard over when this host's processor has been the bottleneck for
// handOverAfter and another host can take the shard (claim.CanRelieve).
func (c *core) relieve(now time.Time, self claim.Candidate, others []claim.Candidate) {
	x := c.shardToHandOver(now)
	if x == nil || x.phase != peer.ClaimServing || now.Before(c.nextHandOverAt) || !claim.CanRelieve(self, others, x.number, c.shardCount) {
		return
	}
	c.nextHandOverAt = now.Add(claim.HandOverPause)
	c.handOver(now, x, overloadedReason)
}

// followRelayout makes this host's shards finish while a new shard layout is announced,
// by this host or another one, but for at most twice claim.FinishTime: then its maker has
// got no further, and dispatching goes on.
func (c *core) followRelayout(now time.Time, self claim.Candidate, others []claim.Candidate) {
	announced := !c.relayoutAt.IsZero() || claim.RelayoutAnnounced(self, others, c.shardCount)
	if !announced {
		c.finishingSince = time.Time{}
	} else if c.finishingSince.IsZero() {
		c.finishingSince = now
	}
	finish := announced && now.Sub(c.finishingSince) < 2*claim.FinishTime
	for _, x := range c.sortedShards() {
		before := x.phase
		switch {
		case finish && x.phase == peer.ClaimServing:
			c.logEvent(event.ShardFinishing, slog.Int("shard", x.number), slog.Int("of", x.shardCount), slog.Int("jobs", x.pool.JobCount()))
			x.pool.ReturnUnstarted(now, relayoutReason)
			x.setPhase(now, peer.ClaimFinishing)
		case !finish && x.phase.IsFinishing():
			x.setPhase(now, peer.ClaimServing)
		}
		if x.phase == peer.ClaimFinishing && x.pool.JobCount() == 0 {
			x.setPhase(now, peer.ClaimFinished)
		}
		c.heartbeatDue = c.heartbeatDue || x.phase != before
	}
}

// hasFinished reports whether the last job of a finishing shard has ended, so that the
// claims are to be planned without waiting for claimsInterval.
func (c *core) hasFinished() bool {
	for _, x := range c.shards {
		if x.phase == peer.ClaimFinishing && x.pool.JobCount() == 0 {
			return true
		}
	}
	return false
}

// holdersFinished announces a layout with the wanted number of shards. It reports whether
// the holders of the present layout have had the time to finish their jobs.
func (c *core) holdersFinished(now time.Time, wanted int, others []claim.Candidate) bool {
	if c.relayoutAt.IsZero() {
		c.relayoutAt = now
		c.logEvent(event.ShardLayoutPlanned, slog.Int("shards", wanted), slog.Int("before", c.shardCount), slog.Int("minions", c.countCellMinions()),
			slog.Any("carries", c.cellCarries(now)))
		return false
	}
	end := c.relayoutAt.Add(claim.FinishTime)
	if end.Before(c.nextClaims) {
		c.nextClaims = end
	}
	return !now.Before(end) || claim.AllFinished(append([]claim.Candidate{c.ownCandidate()}, others...), c.shardCount)
}

// makeShardLayout replaces the shard layout and claims the first shard of the new one. If
// another host should hold it, this host hands it over at once.
func (c *core) makeShardLayout(now time.Time, wanted int, others []claim.Candidate) {
	jobs := 0
	for _, x := range c.shards {
		jobs += x.pool.JobCount()
	}
	c.logEvent(event.ShardLayoutMade, slog.Int("shards", wanted), slog.Int("before", c.shardCount), slog.Int("minions", c.countCellMinions()),
		slog.Int64("took_ms", now.Sub(c.relayoutAt).Milliseconds()), slog.Int("jobs", jobs))
	c.shardMismatchSince, c.relayoutAt = time.Time{}, time.Time{}
	c.shardLayoutVersion = claim.Token(now, c.shardLayoutVersion, c.tokenID)
	c.setShardCount(now, wanted, relayoutReason)
	c.claimShard(now, 0)
	if x := c.shards[0]; x != nil && !claim.BestHolder(c.ownCandidate(), others, 0) {
		c.handOver(now, x, "another host carries more")
	}
}

// publishShardGauges updates the gauges that show the sizes of shards and hosts.
func (h *Host) publishShardGauges() {
	c, m := h.core, h.metrics
	if !c.self.Entry {
		return
	}
	m.minionsCarried.Set(int64(c.carries))
	m.minionsClaimed.Set(int64(c.heldMinions()))
	m.cellShards.Set(int64(c.shardCount))
	m.shardsWanted.Set(int64(c.wantedShards(time.Now())))
	carries := map[string]int{c.self.Name: c.carries}
	for _, x := range c.hosts().cell {
		if x.Heartbeat != nil {
			carries[x.Name] = x.Heartbeat.Carries
		}
	}
	m.cellCarries.Store(&carries)
}

// handOverIfOverloaded hands a shard over when this host has held clearly more minions than
// it carries for claim.HandOverDelay, and a strong host has none.
func (c *core) handOverIfOverloaded(now time.Time, self claim.Candidate, others []claim.Candidate) {
	minions := make(map[int]int)
	for number, x := range c.shards {
		if x.phase != peer.ClaimServing {
			return
		}
		minions[number] = x.pool.MinionCount()
	}
	number, ok := claim.ShardToHandOver(self, others, minions, c.shardCount)
	if !ok {
		c.overloadedSince = time.Time{}
		return
	}
	if c.overloadedSince.IsZero() {
		c.overloadedSince = now
	}
	if now.Sub(c.overloadedSince) >= claim.HandOverDelay && !now.Before(c.nextHandOverAt) {
		c.overloadedSince = time.Time{}
		c.handOver(now, c.shards[number], "it has more minions than this host carries")
	}
}

// handOver offers a shard to the other hosts of the cell. As before a planned stop, its
// pool pauses starts for a short time; the next host claims the shard, and the jobs go back
// to their entry hosts, which offer them there.
func (c *core) handOver(now time.Time, x *shard, reason string) {
	c.logEvent(event.ShardHandOver, slog.Int("shard", x.number), slog.Int("of", x.shardCount), slog.String("reason", reason),
		slog.Int("minions", x.pool.MinionCount()), slog.Int("carries", c.carries), slog.Int("jobs", x.pool.JobCount()))
	x.setPhase(now, peer.ClaimHandingOver)
	x.pool.PauseStarts(now)
	c.heartbeatDue = true
}

// takeShard claims a shard that has no holder, or whose holder does not go on. One that was
// handed over stays here for claim.HandOverPause at least.
func (c *core) takeShard(now time.Time, number int, others []claim.Candidate) {
	_, held := claim.Holder(others, number, c.shardCount)
	c.claimShard(now, number)
	if c.shards[number] != nil && held.Phase == peer.ClaimHandingOver {
		c.nextHandOverAt = now.Add(claim.HandOverPause)
	}
}
