package fleet

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	heartbeatInterval        = 200 * time.Millisecond // to entry hosts
	controlHeartbeatInterval = 500 * time.Millisecond // of a control host to control hosts
	entryControlInterval     = time.Second            // of an entry host to control hosts; roster changes are pushed meanwhile
	idleHeartbeatInterval    = 400 * time.Millisecond // of an entry host without claims to the hosts of its cell
	searchInterval           = 100 * time.Millisecond // to control hosts, until one has answered
	searchPeriod             = 5 * time.Second        // since the start of the process, in which searchInterval applies
	loadReportInterval       = 800 * time.Millisecond // to entry hosts outside the cell that have no job here
)

// Heartbeats are sent at multiples of heartbeatInterval. The others of these intervals that
// receivers rely on, idleHeartbeatInterval and loadReportInterval, are such multiples.

// nextHeartbeat returns the longest time until its sender sends the next heartbeat.
func nextHeartbeat(h *peer.FleetHeartbeat) time.Duration {
	if h.NextMS <= 0 {
		return heartbeatInterval
	}
	return min(time.Duration(h.NextMS)*time.Millisecond, entryControlInterval)
}

func (c *core) tickHeartbeats(now time.Time) {
	if now.Sub(c.heartbeatAt) >= min(heartbeatInterval, c.controlInterval(now)) {
		c.sendHeartbeats(now)
	}
}

// controlInterval returns the interval of heartbeats to control hosts. It is shorter while
// none has answered: when all machines start at the same time, the first heartbeats find
// control hosts that are not up yet.
func (c *core) controlInterval(now time.Time) time.Duration {
	if c.contactAt.IsZero() && now.Sub(c.startedAt) < searchPeriod {
		return searchInterval
	}
	if c.self.Control {
		return controlHeartbeatInterval
	}
	return entryControlInterval
}

func (c *core) sendHeartbeats(now time.Time) {
	controlDue := now.Sub(c.controlHeartbeatAt) >= c.controlInterval(now)
	if controlDue {
		c.controlHeartbeatAt = now
	}
	reportDue := c.heartbeatDue || now.Sub(c.loadReportAt) >= loadReportInterval
	if reportDue {
		c.loadReportAt = now
	}
	cellDue := c.heartbeatDue || now.Sub(c.cellHeartbeatAt) >= idleHeartbeatInterval
	if cellDue {
		c.cellHeartbeatAt = now
	}
	c.heartbeatDue = false
	c.heartbeatAt = now
	self := c.ownCandidate()
	targets := c.heartbeatTargets(controlDue, cellDue, reportDue)
	c.keepPromises(targets)
	shared := make(map[time.Duration]peer.Body) // by interval
	for _, to := range slices.Sorted(maps.Keys(targets)) {
		interval := targets[to]
		if h := c.roster.Host(to); h == nil || h.Control {
			c.sendTo(to, c.newHeartbeat(&self, to, interval))
			continue
		}
		if shared[interval] == nil {
			shared[interval] = encodeOnce(c.newHeartbeat(&self, "", interval))
		}
		c.sendTo(to, shared[interval])
	}
}

// keepPromises adds the hosts outside the cell that were promised a heartbeat now, because
// they had a job here, and would get none: they learn that the next one comes later.
func (c *core) keepPromises(targets map[string]time.Duration) {
	outside := c.hosts().outside
	for _, h := range outside {
		interval, due := targets[h.Name]
		if c.promised[h.Name] && !due && c.reportsLoadTo(h.Name) {
			targets[h.Name] = loadReportInterval
		}
		if due && interval == heartbeatInterval {
			c.promised[h.Name] = true
		} else {
			delete(c.promised, h.Name)
		}
	}
}

// reportsLoadTo reports whether this host reports the load of its shards to an entry host
// outside its cell.
func (c *core) reportsLoadTo(name string) bool {
	return len(c.shards) > 0 && claim.ReportsLoadTo(c.self.Name, name, len(c.hosts().outside))
}

// sameClaims reports whether two heartbeats of a host differ in the load of its shards at
// most, as far as claims are concerned.
func sameClaims(a, b *peer.FleetHeartbeat) bool {
	return a.From.Incarnation == b.From.Incarnation && a.ShuttingDown == b.ShuttingDown && a.Carries == b.Carries && a.CellLayout == b.CellLayout &&
		slices.EqualFunc(a.Claims, b.Claims, func(x, y peer.Claim) bool {
			x.Load, y.Load = peer.PoolLoad{}, peer.PoolLoad{}
			return x == y
		})
}

// encodeOnce returns b in encoded form if it can be encoded, and else b.
func encodeOnce(b peer.Body) peer.Body {
	if e, err := peer.EncodeOnce(b); err == nil {
		return e
	}
	return b
}

// newHeartbeat returns the heartbeat for a host that gets the next one after an interval.
// self is this host's ownCandidate, shared by all heartbeats that are sent at the same
// time. Only control hosts need the read position: those of all other hosts are equal.
func (c *core) newHeartbeat(self *claim.Candidate, to string, interval time.Duration) *peer.FleetHeartbeat {
	heartbeat := &peer.FleetHeartbeat{
		From: c.self, ConfigVersion: c.version(), ShuttingDown: self.ShuttingDown, Claims: self.Claims, Carries: self.Carries, CellLayout: c.cellLayout,
		NextMS: interval.Milliseconds(), Clock: c.heartbeatClock(),
	}
	heartbeat.ReadIncarnation, heartbeat.ReadIndex = c.roster.ReadPosition(to)
	return heartbeat
}

// heartbeatTargets returns the hosts that get a heartbeat now and the interval at which
// each gets them: the dispatchers of this host's open jobs, the hosts with open jobs here,
// the entry hosts of the cell (if this host has no claims: only if cellDue), control hosts
// if controlDue and, if reportDue, the other entry hosts that this host reports its load
// to (claim.ReportsLoadTo).
func (c *core) heartbeatTargets(controlDue, cellDue, reportDue bool) map[string]time.Duration {
	out := make(map[string]time.Duration)
	if reportDue {
		for _, h := range c.hosts().outside {
			if c.reportsLoadTo(h.Name) {
				out[h.Name] = loadReportInterval
			}
		}
	}
	if c.self.Entry {
		interval := heartbeatInterval
		if len(c.shards) == 0 {
			interval = idleHeartbeatInterval
		}
		if len(c.shards) > 0 || cellDue {
			for _, h := range c.hosts().cell {
				out[h.Name] = interval
			}
		}
	}
	if controlDue {
		c.addControlTargets(out)
	}
	for _, name := range c.jobTable.DispatcherHosts() {
		out[name] = heartbeatInterval
	}
	for _, x := range c.shards {
		for _, name := range x.pool.WaitingHosts() {
			out[name] = heartbeatInterval
		}
	}
	delete(out, c.self.Name)
	return out
}

// handleHeartbeat records a heartbeat of another host. A control host replies with
// the roster changes that the sender has not read, and to an entry host with a
// heartbeat, too.
func (c *core) handleHeartbeat(now time.Time, heartbeat *peer.FleetHeartbeat) {
	h := c.roster.Host(heartbeat.From.Name)
	known := h != nil
	c.claimsChanged = c.claimsChanged || heartbeat.From.Entry && (!known || !alive(now, h) || !sameClaims(h.Heartbeat, heartbeat))
	c.roster.RecordHeartbeat(now, heartbeat)
	if c.contactAt.IsZero() && heartbeat.From.Control {
		c.contactAt = now
	}
	c.observeVersion(now, heartbeat)
	for i := range heartbeat.Claims {
		c.jobTable.UpdateLoad(now, heartbeat.From.Name, heartbeat.Claims[i].Shard, heartbeat.Claims[i].Load)
	}
	if !known {
		c.logEvent(event.PeerUp, slog.String("host", heartbeat.From.Name), slog.String("failure_domain", heartbeat.From.FailureDomain))
		c.hostsChanged(now)
	}
	if !c.self.Control {
		return
	}
	after := heartbeat.ReadIndex
	if heartbeat.ReadIncarnation != c.self.Incarnation {
		after = 0
	}
	if r := c.roster.Delta(after, minionFilter(heartbeat, c.controlNeighbours())); r != nil {
		c.sendTo(heartbeat.From.Name, r)
	}
	c.sentLogIndex[heartbeat.From.Name] = c.roster.LogIndex()
	if heartbeat.From.Entry {
		self := c.ownCandidate()
		c.sendTo(heartbeat.From.Name, c.newHeartbeat(&self, heartbeat.From.Name, entryControlInterval))
	}
}
