package fleet

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// inputWaited records how long an input waited in the ring.
func (c *core) inputWaited(wait time.Duration) { c.overload.Observe(wait) }

// tickOverload adapts the refused share to the waits of the inputs.
func (c *core) tickOverload(now time.Time) {
	if !c.overload.Advance(now) {
		return
	}
	c.heartbeatDue = true // others prefer different dispatchers
	id := event.OverloadEnded
	if c.overload.Overloaded() {
		id = event.OverloadBegan
	}
	c.logEvent(id, slog.Float64("refused_share", c.overload.Share()), slog.Int("open_jobs", c.jobTable.OpenJobs()), slog.Int("claims", len(c.shards)))
}

// overloadedFor returns for how long this host has been overloaded without a break; 0 if it
// is not.
func (c *core) overloadedFor(now time.Time) time.Duration { return c.overload.OverloadedFor(now) }

const (
	// handOverAfter is how long a host is overloaded before it hands a shard over. Refusals
	// end a shorter overload.
	handOverAfter = 2 * time.Second
	// minHoldTime is how long a host keeps a shard before it hands it over because of
	// overload: when all hosts are overloaded, no shard goes back and forth.
	minHoldTime = 10 * time.Second
)

// shardToHandOver returns the shard that this host should hand over because it is
// overloaded, or nil: the one with the least capacity of those that it has held for
// minHoldTime. Whether another host carries more is for the caller to decide.
func (c *core) shardToHandOver(now time.Time) *shard {
	if c.overloadedFor(now) < handOverAfter {
		return nil
	}
	var least *shard
	for _, x := range c.sortedShards() {
		held := time.Duration(c.heartbeatClock()-x.claimedClock) * time.Millisecond
		if held >= minHoldTime && (least == nil || x.pool.Load().Capacity < least.pool.Load().Capacity) {
			least = x
		}
	}
	return least
}

// overloadedReason is the reason of refusals because of overload.
const overloadedReason = "the host is overloaded"

// load returns the load of a shard as other hosts are told it.
func (c *core) load(x *shard) peer.PoolLoad {
	l := x.pool.Load()
	l.Overloaded = c.overload.Overloaded()
	return l
}

// refusesOffer reports whether an offer of another host is refused because this host is
// overloaded. A job that may have run, or that the pool has, is never refused.
func (c *core) refusesOffer(from string, x *shard, o *peer.JobOffer) bool {
	if from == c.self.Name || o.MayHaveRun || x.pool.HasJob(o.Job) || x.pool.HasOffer(from, o.Job, o.Offer) {
		return false
	}
	return c.overload.RefuseOffer(x.pool.ValuePerTask(o))
}

// overloadRetryMS is the retry time of work that is refused because of overload.
func (c *core) overloadRetryMS(now time.Time) int64 {
	return c.overload.RetryAfter(now).Milliseconds()
}
