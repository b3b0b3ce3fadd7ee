package fleet

import (
	"log/slog"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"github.com/laburnumwalk/laburnumwalk/internal/roster"
)

// newCellWait is how long a host collects the claims in a new cell before it claims
// a shard.
const newCellWait = 2 * heartbeatInterval

// shard is one part of the cell's minions. This host has claimed it and dispatches
// tasks to its minions.
type shard struct {
	number       int
	shardCount   int   // number of shards in the layout that the shard belongs to
	claimedClock int64 // heartbeatClock when this host claimed it
	phase        peer.ClaimPhase
	phaseAt      time.Time // when phase last changed
	pool         *pool.Pool
}

// sortedShards returns the shards that this host has claimed, by number.
func (c *core) sortedShards() []*shard {
	out := make([]*shard, 0, len(c.shards))
	for _, x := range c.shards {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *shard) int { return a.number - b.number })
	return out
}

// minionInCell reports whether a minion belongs to this host's cell.
func (c *core) minionInCell(id string) bool { return claim.CellOf(id, c.cellLayout) == c.cell }

// otherCandidates returns the other live entry hosts of the cell, as far as they
// use the same cell layout.
func (c *core) otherCandidates(now time.Time) []claim.Candidate {
	var out []claim.Candidate
	for _, h := range c.hosts().cell {
		if alive(now, h) && h.Heartbeat.CellLayout.Version == c.cellLayout.Version {
			out = append(out, claim.Candidate{Host: h.Name, ShuttingDown: h.Heartbeat.ShuttingDown, Carries: h.Heartbeat.Carries, Claims: h.Heartbeat.Claims})
		}
	}
	return out
}

// alive reports whether a host is a claim candidate or, in another cell, a possible
// dispatcher: its next heartbeat is late by less than two heartbeats, and its connection,
// if closed since, was closed less than claim.ClosedConnTimeout ago.
func alive(now time.Time, h *roster.Host) bool { return now.Before(aliveUntil(h)) }

// aliveUntil returns until when a host is alive if nothing more arrives from it.
func aliveUntil(h *roster.Host) time.Time {
	if h.Heartbeat == nil {
		return time.Time{}
	}
	until := h.HeartbeatAt.Add(claim.HeartbeatTimeout + nextHeartbeat(h.Heartbeat) - heartbeatInterval)
	if closed := h.ClosedAt.Add(claim.ClosedConnTimeout); !h.ClosedAt.IsZero() && closed.Before(until) {
		return closed
	}
	return until
}

// hasRecentContact reports whether any other host has sent a heartbeat recently. If
// none has, this host may no longer be a claim candidate for the others, and they may
// have claimed its shards.
func (c *core) hasRecentContact(now time.Time) bool {
	return slices.ContainsFunc(c.roster.Hosts(), func(h *roster.Host) bool { return now.Sub(h.HeartbeatAt) < 2*claim.HeartbeatTimeout })
}

// ownCandidate returns this host's own claims, as its heartbeats carry them.
func (c *core) ownCandidate() claim.Candidate {
	own := claim.Candidate{Host: c.self.Name, ShuttingDown: c.shuttingDown, Carries: c.carries}
	for _, x := range c.sortedShards() {
		own.Claims = append(own.Claims, peer.Claim{Shard: x.number, ShardCount: x.shardCount, LayoutVersion: c.shardLayoutVersion, Token: x.pool.Token(), Load: c.load(x), Phase: x.phase})
	}
	return own
}

// claimsInterval is the longest time between two calls of planClaims.
const claimsInterval = 100 * time.Millisecond

// tickClaims plans the claims again when another host may have become unavailable, when
// claims have changed, and every claimsInterval.
func (c *core) tickClaims(now time.Time) {
	if c.claimsChanged || !now.Before(c.nextClaims) || c.hasFinished() {
		c.planClaims(now)
	}
}

// planClaims adopts new layouts, then claims and releases shards as claim.Plan says.
func (c *core) planClaims(now time.Time) {
	c.claimsChanged = false
	c.nextClaims = now.Add(claimsInterval)
	for _, hosts := range [][]*roster.Host{c.hosts().cell, c.hosts().outside} {
		for _, h := range hosts {
			if until := aliveUntil(h); until.After(now) && until.Before(c.nextClaims) {
				c.nextClaims = until
			}
		}
	}
	c.updateCellLayout(now)
	self, others := c.ownCandidate(), c.otherCandidates(now)
	c.updateShardLayout(now, self, others)
	c.updatePhases(now, self, others)
	self = c.ownCandidate()
	decisions, tokens := claim.Plan(self, others, c.shardCount)
	for number, decision := range decisions {
		c.highestToken = max(c.highestToken, tokens[number])
		switch decision {
		case claim.Release:
			if x := c.shards[number]; x != nil {
				c.releaseShard(now, x, "another host has claimed them")
			}
		case claim.Take:
			c.takeShard(now, number, others)
		}
	}
	c.updateDispatchers(now, others)
}

// countCellMinions returns how many minions are in the cell. It counts them again
// only when the roster has changed.
func (c *core) countCellMinions() int {
	if log := c.roster.LogIndex(); log != c.countedLogIndex {
		c.countedLogIndex = log
		c.minionsInCell = c.roster.CountMinions(c.self.FailureDomain, c.minionInCell)
	}
	return c.minionsInCell
}

// updateCellLayout adopts the newest cell layout of the failure domain. When the
// number of entry hosts has called for another number of cells during
// claim.RelayoutDelay, the holder of the first shard of the first cell makes a new
// layout, provided that it has contact to a control host.
func (c *core) updateCellLayout(now time.Time) {
	if layout := c.roster.CellLayout(c.self.FailureDomain); layout.Version > c.cellLayout.Version {
		c.adoptCellLayout(now, layout)
	}
	wanted := claim.WantedCells(c.countEntryHosts(), c.cellLayout.Cells)
	if wanted == c.cellLayout.Cells || c.cell.Number != 0 || c.shards[0] == nil || !c.hasControlContact(now) {
		c.cellMismatchSince = time.Time{}
		return
	}
	if c.cellMismatchSince.IsZero() {
		c.cellMismatchSince = now
	}
	if now.Sub(c.cellMismatchSince) < claim.RelayoutDelay {
		return
	}
	c.cellMismatchSince = time.Time{}
	c.highestToken = claim.Token(now, c.highestToken, c.tokenID)
	c.roster.SetCellLayout(c.self.FailureDomain, peer.CellLayout{Cells: wanted, Version: c.highestToken})
	c.adoptCellLayout(now, c.roster.CellLayout(c.self.FailureDomain))
	c.heartbeatDue = true
}

// adoptCellLayout releases all shards and switches to another cell layout.
func (c *core) adoptCellLayout(now time.Time, layout peer.CellLayout) {
	for _, x := range c.sortedShards() {
		c.releaseShard(now, x, "the failure domain is divided anew")
	}
	c.logEvent(event.CellLayoutChanged, slog.Int("cells", layout.Cells), slog.Uint64("at", layout.Version), slog.Int("hosts", c.countEntryHosts()))
	c.cellLayout, c.cell = layout, claim.CellOf(c.self.Name, layout)
	c.shardCount, c.shardLayoutVersion, c.countedLogIndex = 1, 0, 0
	c.cellLayoutAt = now
}

// countEntryHosts returns how many entry hosts the failure domain has, this host
// included.
func (c *core) countEntryHosts() int { return c.hosts().inDomain + 1 }

// hasControlContact reports whether a control host has sent a heartbeat recently.
// Without one, the roster lists only the hosts that send heartbeats to this one.
func (c *core) hasControlContact(now time.Time) bool {
	return slices.ContainsFunc(c.roster.Hosts(), func(h *roster.Host) bool { return h.Control && now.Sub(h.HeartbeatAt) < 2*c.controlInterval(now) })
}

// cellCarries returns what each host of the cell, this one included, reports to carry.
// Hosts that are unavailable for a short time count, too: a new layout interrupts the
// service of its cell.
func (c *core) cellCarries(now time.Time) []int {
	out := []int{c.carries}
	for _, h := range c.hosts().cell {
		if h.Heartbeat != nil && now.Before(aliveUntil(h).Add(claim.LostHostDelay)) {
			out = append(out, h.Heartbeat.Carries)
		}
	}
	return out
}

// wantedShards returns the number of shards that suits the cell's minions and hosts.
func (c *core) wantedShards(now time.Time) int {
	minions := c.countCellMinions()
	return claim.WantedShards(minions, len(c.hosts().cell)+1, claim.ShardSize(minions, c.cellCarries(now), c.minionsPerShard))
}

// updateShardLayout adopts the newest shard layout of the cell; while no host claims a
// shard, that is the wanted number of shards. When the number of shards has been far
// from the wanted one (claim.NeedsRelayout) during claim.RelayoutDelay, the holder of
// the first shard makes a new layout, once the holders have finished (claim.FinishTime).
func (c *core) updateShardLayout(now time.Time, self claim.Candidate, others []claim.Candidate) {
	// Hosts that are unavailable for a short time count, too: a new layout interrupts the
	// service of its cell.
	wanted := c.wantedShards(now)
	count, version := claim.NewestShardLayout(append([]claim.Candidate{self}, others...))
	if version == 0 {
		c.shardCount, c.shardLayoutVersion = wanted, 0
		return
	}
	if version > c.shardLayoutVersion {
		c.shardLayoutVersion = version
		c.setShardCount(now, count, "another host laid them out")
	}
	first := c.shards[0]
	if first == nil || !claim.NeedsRelayout(c.shardCount, wanted, c.keepsLayout(now, first, wanted)) {
		c.shardMismatchSince, c.relayoutAt = time.Time{}, time.Time{}
		return
	}
	if c.shardMismatchSince.IsZero() {
		c.shardMismatchSince = now
	}
	if now.Sub(c.shardMismatchSince) >= claim.RelayoutDelay && c.holdersFinished(now, wanted, others) {
		c.makeShardLayout(now, wanted, others)
	}
}

// keepsLayout reports whether only a large difference from the wanted number of shards
// calls for a new layout: it interrupts the service of the cell for a time. That is not so
// for hosts that can't carry their shards, and where strong hosts could.
func (c *core) keepsLayout(now time.Time, first *shard, wanted int) bool {
	if first.pool.JobCount() == 0 || c.minionsPerShard != claim.MinionsPerShard(0) || claim.Uneven(c.cellCarries(now)) {
		return false
	}
	return wanted < c.shardCount || !claim.Overloaded(c.heldMinions(), c.carries)
}

// heldMinions returns the number of minions in this host's shards.
func (c *core) heldMinions() int {
	n := 0
	for _, x := range c.shards {
		n += x.pool.MinionCount()
	}
	return n
}

// setShardCount switches to a layout of another number of shards and releases the
// shards of the earlier layout.
func (c *core) setShardCount(now time.Time, count int, reason string) {
	if c.shardCount == count {
		return
	}
	for _, x := range c.sortedShards() {
		c.releaseShard(now, x, reason)
	}
	c.shardCount = count
}

// startupWaitOver reports whether this process has run long enough to know the
// claims of the other hosts in its cell, so that it doesn't claim their shards.
func (c *core) startupWaitOver(now time.Time) bool {
	since := c.startedAt
	if c.contactAt.After(since) {
		since = c.contactAt // only since then does this host learn of the others
	}
	age := now.Sub(since)
	if age >= claim.StartupWait || age < claim.ShortStartupWait || !c.hasControlContact(now) {
		return age >= claim.StartupWait
	}
	return !slices.ContainsFunc(c.hosts().cell, func(h *roster.Host) bool { return h.HeartbeatAt.IsZero() })
}

// claimShard claims a shard that has no holder, or whose holder is shutting down. It
// does nothing while this host must still wait: after its start, after a new cell layout,
// after a lost claim, without contact to any other host, or until it knows the version
// that a control host has reported.
func (c *core) claimShard(now time.Time, number int) {
	if c.shards[number] != nil || !c.startupWaitOver(now) || now.Sub(c.cellLayoutAt) < newCellWait || !c.hasRecentContact(now) || c.awaitsVersion(now) {
		return
	}
	if !c.claimLostAt.IsZero() && now.Sub(c.claimLostAt) < claim.ReclaimDelay {
		return
	}
	c.highestToken = claim.Token(now, c.highestToken, c.tokenID)
	if c.shardLayoutVersion == 0 {
		c.shardLayoutVersion = c.highestToken
	}
	x := &shard{number: number, shardCount: c.shardCount, claimedClock: c.heartbeatClock(), pool: pool.New(c.poolConfig())}
	c.shards[number] = x
	x.pool.Claim(now, c.highestToken)
	x.pool.SetEvacuated(now, c.evacuated.own, c.evacuated.startsUntil)
	n := 0
	for _, m := range c.roster.Minions(c.self.FailureDomain) {
		if c.minionInCell(m.ID) && claim.ShardOf(m.ID, c.shardCount) == number {
			x.pool.UpdateMinion(now, m)
			n++
		}
	}
	c.logEvent(event.ShardClaimed, slog.Int("shard", number), slog.Int("of", c.shardCount), slog.Uint64("token", c.highestToken), slog.Int("minions", n), slog.Int("carries", c.carries),
		slog.Bool("evacuated", c.evacuated.own), slog.Int64("known_age_ms", c.knowledgeAge(now).Milliseconds()))
	c.heartbeatDue = true
}

// poolConfig returns the configuration of the pool of a shard.
func (c *core) poolConfig() pool.Config {
	return pool.Config{Timing: pool.DefaultTiming(), Log: c.logEvent, SeparateInterfering: c.separateInterfering, LastSign: c.lastSign}
}

// releaseShard stops dispatching on a shard and sends the pending orders and results
// of its pool.
func (c *core) releaseShard(now time.Time, x *shard, reason string) {
	c.logEvent(event.ShardReleased, slog.Int("shard", x.number), slog.Int("of", x.shardCount), slog.String("reason", reason), slog.Int("jobs", x.pool.JobCount()))
	c.highestToken = max(c.highestToken, x.pool.Token())
	x.pool.Release(now)
	c.carryOutPool(now, x)
	delete(c.shards, x.number)
	c.claimsChanged = true
	c.updateDispatchers(now, c.otherCandidates(now))
	c.heartbeatDue = true
}

// updateDispatchers passes the known dispatchers, those of this cell and of other
// cells and failure domains, to the job table.
func (c *core) updateDispatchers(now time.Time, others []claim.Candidate) {
	var list []entry.Dispatcher
	self := c.ownCandidate()
	all := append([]claim.Candidate{self}, others...)
	for number := range c.shardCount {
		holder, held := claim.Holder(all, number, c.shardCount)
		if holder == nil {
			continue
		}
		loadAt := now
		if h := c.roster.Host(holder.Host); h != nil {
			loadAt = h.LoadAt
		}
		list = append(list, newDispatcher(holder.Host, c.self.FailureDomain, c.cell, held, loadAt))
	}
	for _, h := range c.hosts().outside {
		if !alive(now, h) || len(h.Heartbeat.Claims) == 0 {
			continue
		}
		cell := claim.CellOf(h.Name, h.Heartbeat.CellLayout)
		for _, held := range h.Heartbeat.Claims {
			list = append(list, newDispatcher(h.Name, h.FailureDomain, cell, held, h.LoadAt))
		}
	}
	for i := range list {
		list[i].Process = c.incarnationOf(list[i].Host)
	}
	c.jobTable.SetDispatchers(now, list)
	c.setDispatchersKnown(len(list) > 0)
}

func newDispatcher(host, domain string, cell peer.Cell, c peer.Claim, loadAt time.Time) entry.Dispatcher {
	return entry.Dispatcher{Host: host, FailureDomain: domain, Cell: cell, Shard: c.Shard, ShardCount: c.ShardCount, Phase: c.Phase, Load: c.Load, LoadAt: loadAt}
}

// minionChanged passes a changed minion record to the pool of its shard, if this
// host has claimed it.
func (c *core) minionChanged(now time.Time, m peer.MinionRecord) {
	if m.FailureDomain != c.self.FailureDomain || !c.minionInCell(m.ID) {
		return
	}
	if x := c.shards[claim.ShardOf(m.ID, c.shardCount)]; x != nil {
		x.pool.UpdateMinion(now, m)
	}
}
