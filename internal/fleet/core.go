package fleet

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/overload"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"github.com/laburnumwalk/laburnumwalk/internal/roster"
)

const (
	// suspensionThreshold is the longest gap between two inputs or ticks that does
	// not count as a suspension of the host. It is below claim.HeartbeatTimeout,
	// after which this host is no longer a claim candidate for other hosts: they may
	// claim its shards.
	suspensionThreshold = 500 * time.Millisecond
	// rosterTickInterval is a small part of roster.UnreachableAfter.
	rosterTickInterval = 200 * time.Millisecond
	// resultResendInterval is the time between sends of an unacknowledged result.
	resultResendInterval = 150 * time.Millisecond
	// maxResultSends bounds how often a result is sent.
	maxResultSends = 6
)

// environment carries out what a core decides. Host implements it with connections
// and goroutines, the tests with a simulation in virtual time.
type environment interface {
	send(to string, b peer.Body)
	// start, stop and poll send an order to a minion and later pass its answer to
	// the pool's method HandleStartAnswer, HandleStopAnswer or
	// HandlePollAnswer.
	start(p *pool.Pool, s *pool.Start)
	stop(p *pool.Pool, s *pool.Stop)
	poll(p *pool.Pool, poll *pool.Poll)
	logEvent(id event.ID, attrs ...slog.Attr)
	version() uint64                // newest configuration version known to this host
	evacuations() *[]string         // failure domains that the applied version evacuates; nil: no version is applied
	seedHosts() []string            // configured hosts to contact first
	setPeers([]membership.Host)     // hosts that new documents are pushed to
	setDispatchersKnown(known bool) // whether any dispatcher is known: without one the host isn't ready
}

// core is the state machine of a host. It does no I/O, reads no clock and starts no
// goroutine; only one goroutine may call its methods.
type core struct {
	environment
	self               peer.HostRecord
	tokenID            uint64 // identifies this process in its fencing tokens (claim.Token)
	shuttingDown       bool   // a shutdown has begun
	roster             *roster.Roster
	groups             hostGroups // result of hosts
	jobTable           *entry.Table
	shards             map[int]*shard                // claimed by this host, by number
	cellLayout         peer.CellLayout               // layout of the failure domain that this host has adopted
	cell               peer.Cell                     // cell of this host
	shardCount         int                           // number of shards in the cell
	minionsPerShard    int                           // wanted by this host where all hosts are alike
	carries            int                           // number of minions that this host can dispatch for; 0: not known
	shardLayoutVersion uint64                        // version of the shard layout: a number from claim.Token; 0: no layout yet
	highestToken       uint64                        // highest fencing token that this host has used or seen
	waiters            map[uint64]chan entry.Outcome // callers that wait for an outcome, by number
	lastWaiter         uint64                        // newest number in waiters
	unackedResults     map[offerKey]*pendingResult
	overload           overload.Controller     // of this host
	deletions          map[string]*deletion    // by job: deletions in progress that were begun here
	deletedJobs        offerMemory             // jobs that were deleted, without sender and offer
	endedOffers        offerMemory             // offers that have ended or were cancelled
	sentLogIndex       map[string]uint64       // by subscribed host: index up to which the roster log was sent
	signs              map[string]*sign        // by host, as long as it is in lastMessageAt
	lastMessageAt      map[string]time.Time    // by host: when its newest message arrived
	incarnations       map[string]incarnations // by host, as long as it is in lastMessageAt

	startedAt          time.Time
	contactAt          time.Time // when the first heartbeat of a control host arrived
	claimsChanged      bool      // claims have changed since planClaims was last called
	nextClaims         time.Time // when planClaims is due even if they have not
	claimLostAt        time.Time // when a shard was lost to a newer token or to a suspension
	shardMismatchSince time.Time // since when shardCount is far from the wanted number; zero: it is not
	relayoutAt         time.Time // when this host, as holder of the first shard, announced a new shard layout; zero: it has not
	finishingSince     time.Time // since when this host's shards finish for a new layout; zero: they do not
	overloadedSince    time.Time // since when this host holds clearly more minions than it carries; zero: it does not
	nextHandOverAt     time.Time // before this time no shard is handed over
	cellMismatchSince  time.Time // since when the number of cells differs from the wanted one; zero: it does not
	countedLogIndex    uint64    // index of the roster log at which minionsInCell was counted
	minionsInCell      int
	rosterTickedAt     time.Time       // when the roster was last told the time
	rosterPushedAt     time.Time       // when roster changes were last sent to subscribers
	heartbeatAt        time.Time       // when heartbeats were last sent
	controlHeartbeatAt time.Time       // when heartbeats were last sent to control hosts
	cellHeartbeatAt    time.Time       // when heartbeats were last sent to all hosts of the cell
	promised           map[string]bool // hosts outside the cell that expect the next heartbeat after heartbeatInterval
	loadReportAt       time.Time       // when heartbeats were last sent to all hosts that this one reports its load to
	lastBootTime       time.Duration   // boot time (see bootTime) at the last input or tick
	cellLayoutAt       time.Time       // when cellLayout was adopted
	resumedAt          time.Time       // when a suspension was last detected
	heartbeatDue       bool            // send heartbeats with the next output, without waiting for the interval
	loopback           []peer.Body     // messages from this host to itself
	evacuated          evacuatedState

	separateInterfering bool // the setting of that name
}

// offerKey identifies a job offer by its sending entry host, job and number.
type offerKey struct {
	sender string
	job    string
	offer  uint64
}

// pendingResult is a job result that its receiver has not acknowledged.
type pendingResult struct {
	body           peer.JobResult
	sentAt         time.Time
	sendsRemaining int
}

// newCore returns the core of a process that starts at now. Its job offers are
// numbered from lastOffer+1.
func newCore(now time.Time, self peer.HostRecord, tokenID, lastOffer uint64, out environment) *core {
	return &core{
		environment: out, self: self, tokenID: tokenID,
		roster: roster.New(self), jobTable: entry.New(now, self.Name, self.FailureDomain, lastOffer, out.logEvent),
		shards: make(map[int]*shard), shardCount: 1, minionsPerShard: claim.MinionsPerShard(0), cellLayout: peer.CellLayout{Cells: 1},
		waiters: make(map[uint64]chan entry.Outcome), unackedResults: make(map[offerKey]*pendingResult),
		sentLogIndex: make(map[string]uint64), promised: make(map[string]bool), signs: make(map[string]*sign), deletions: make(map[string]*deletion), lastMessageAt: make(map[string]time.Time), incarnations: make(map[string]incarnations), startedAt: now,
	}
}

// detectSuspension compares boot, the time since boot including suspensions of the
// machine, with its last value. It must be called before each input, because inputs
// that were queued during a suspension may be stale.
func (c *core) detectSuspension(now time.Time, boot time.Duration) {
	if gap := boot - c.lastBootTime; c.lastBootTime > 0 && gap > suspensionThreshold {
		c.handleSuspension(now, gap)
	}
	c.lastBootTime = boot
}

// tick handles everything that depends on the time alone: timeouts, claims, and
// results and heartbeats that are due. It is called every tickInterval.
func (c *core) tick(now time.Time) {
	if now.Sub(c.rosterTickedAt) >= rosterTickInterval {
		c.tickRoster(now)
	}
	c.tickEvacuations(now)
	if c.self.Entry {
		c.tickOverload(now)
		c.tickClaims(now)
		c.detachTimedOutHosts(now)
		c.jobTable.Tick(now)
		for _, x := range c.sortedShards() {
			x.pool.Tick(now)
		}
		c.resendResults(now)
		c.tickDeletions(now)
	}
	c.tickHeartbeats(now)
}

// tickRoster forgets the hosts from which nothing has arrived for long.
func (c *core) tickRoster(now time.Time) {
	c.rosterTickedAt = now
	c.roster.Tick(now)
	for name, at := range c.lastMessageAt {
		if now.Sub(at) > roster.UnreachableAfter {
			delete(c.lastMessageAt, name)
			delete(c.incarnations, name)
			delete(c.signs, name)
		}
	}
}

// handleSuspension abandons this host's open jobs and releases its shards: other
// hosts may have taken them over during the suspension.
func (c *core) handleSuspension(now time.Time, gap time.Duration) {
	c.logEvent(event.HostSuspended, slog.Int64("gap_ms", gap.Milliseconds()), slog.Int("open_jobs", c.jobTable.OpenJobs()), slog.Int("claims", len(c.shards)))
	c.jobTable.Abandon(now, "the host was suspended")
	for _, x := range c.sortedShards() {
		c.releaseShard(now, x, "the host was suspended")
	}
	c.claimLostAt, c.resumedAt = now, now
	c.overload.Reset() // the inputs waited for the host to resume
}

// receive handles a message from another host or from this host itself. Messages of
// the sender's previous incarnation are dropped.
func (c *core) receive(now time.Time, from string, inc membership.Incarnation, b peer.Body) {
	if !c.fromCurrentIncarnation(now, from, inc) {
		return
	}
	c.lastMessageAt[from] = now
	switch m := b.(type) {
	case *peer.FleetHeartbeat:
		c.recordSign(now, m)
		c.handleHeartbeat(now, m)
	case *peer.RosterUpdate:
		c.mergeRoster(now, from, m)
	case *peer.JobOffer:
		c.handleOffer(now, from, m)
	case *peer.JobAck:
		c.jobTable.HandleAck(now, from, m)
		c.roster.UpdateLoad(now, from, m.Shard, m.Load)
		c.jobTable.UpdateLoad(now, from, m.Shard, m.Load)
	case *peer.JobResult:
		if m.Offer == 0 {
			c.handleDeletionAnswer(now, from, m)
			return
		}
		c.jobTable.HandleResult(now, from, m)
	case *peer.JobResultAck:
		delete(c.unackedResults, offerKey{from, m.Job, m.Offer})
	case *peer.JobCancel:
		if m.Deleted {
			c.handleDeletion(now, from, m.Job)
			return
		}
		c.handleCancel(now, from, m)
	}
}

// sendTo sends a message to another host, or queues it in loopback if to is this
// host.
func (c *core) sendTo(to string, b peer.Body) {
	if to == c.self.Name {
		c.loopback = append(c.loopback, b)
		return
	}
	c.send(to, b)
}

// maxLoopbackRounds bounds how many rounds of messages to itself the host handles
// in one call of carryOut, so that such messages can't delay ticks indefinitely.
const maxLoopbackRounds = 16

// carryOut sends the pending messages, orders and answers, handles messages to this
// host itself, and sends roster changes and heartbeats that are due.
func (c *core) carryOut(now time.Time) {
	for range maxLoopbackRounds {
		c.carryOutJobTable(now)
		for _, x := range c.sortedShards() {
			c.carryOutPool(now, x)
		}
		if len(c.loopback) == 0 {
			break
		}
		local := c.loopback
		c.loopback = nil
		for _, b := range local {
			c.receive(now, c.self.Name, c.self.Incarnation, b)
		}
	}
	c.pushRoster(now)
	if c.heartbeatDue {
		c.sendHeartbeats(now)
	}
}

// carryOutJobTable sends the job table's messages to dispatchers and its answers to
// callers.
func (c *core) carryOutJobTable(now time.Time) {
	r := c.jobTable.Ready()
	for _, m := range r.Messages {
		switch b := m.Body.(type) {
		case *peer.JobOffer:
			b.ReceiverClock, b.ReceiverClockAgeMS = c.receiverClock(now, m.To)
		case *peer.JobCancel:
			b.ReceiverClock, b.ReceiverClockAgeMS = c.receiverClock(now, m.To)
		}
		c.sendTo(m.To, m.Body)
	}
	for _, a := range r.Answers {
		if w, ok := c.waiters[a.Waiter]; ok {
			w <- a.Outcome // doesn't block: the channel is buffered for its only outcome
			delete(c.waiters, a.Waiter)
		}
	}
}
