package fleet

import (
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"github.com/laburnumwalk/laburnumwalk/internal/roster"
)

const (
	// suspension is a gap between two inputs after which others may have taken
	// this host for gone: it is below claim.HeartbeatTimeout.
	suspension = 500 * time.Millisecond
	// resultResend is the interval of results without an acknowledgement.
	resultResend = 150 * time.Millisecond
	// resultTries is how often a result is sent.
	resultTries = 6
)

// outside carries what the decisions ask for. A Host does it with connections
// and goroutines, the simulation of the tests in virtual time.
type outside interface {
	send(to string, b peer.Body)
	// Each order's answer comes back to the pool: Started, Stopped, Held.
	start(p *pool.Pool, s *pool.Start)
	stop(p *pool.Pool, s *pool.Stop)
	hold(p *pool.Pool, h *pool.Hold)
	note(id event.ID, attrs ...slog.Attr)
	version() uint64            // of the newest document that is known here
	seedHosts() []string        // by which other hosts are found
	setPeers([]membership.Host) // whom documents are pushed to
	setDispatchers(known bool)  // whether jobs can be placed
}

// decisions makes the host's decisions. It does no I/O, reads no clock and
// starts no goroutine; its methods are called by one goroutine only.
type decisions struct {
	outside
	self    peer.HostRecord
	own     uint64 // the process's own part of fencing tokens
	leaving bool   // the host shuts down
	roster  *roster.Roster
	table   *entry.Table
	shards  map[int]*shard // that this host dispatches on, by number
	cells   peer.Division  // of the failure domain, that this host follows
	cell    peer.Cell      // of this host
	of      int            // shards in the cell
	layout  uint64         // when they were laid out
	token   uint64         // highest that was used or seen here
	waiters map[uint64]chan entry.Outcome
	nextID  uint64
	results map[resultKey]*pendingResult
	ended   map[resultKey]time.Time // offers that have ended here lately
	sentLog map[string]uint64       // by host: how much of the roster log was sent
	heardAt map[string]time.Time    // by host that offers jobs: its newest message
	lives   map[string]lives        // by host, while it is in heardAt

	startedAt time.Time
	deposedAt time.Time     // when a claim was lost
	farSince  time.Time     // when the layout began to be far from the wanted one
	fewSince  time.Time     // when the division began to be far from the wanted one
	counted   uint64        // place in the roster's log at which minions was counted
	minions   int           // in the cell
	pushedAt  time.Time     // when subscribers were told what has changed
	beatAt    time.Time     // of the last beat
	slowAt    time.Time     // of the last beat to control hosts
	lastBoot  time.Duration // boot time at the last input
	dividedAt time.Time     // when the division was taken over
	wokeAt    time.Time     // when the host was last found to have been suspended
	beatSoon  bool          // something changed that others should know at once
	local     []peer.Body   // messages to the own host
}

type resultKey struct {
	to    string
	job   string
	offer uint64
}

type pendingResult struct {
	body   peer.JobResult
	sentAt time.Time
	left   int
}

// newDecisions returns the decisions of a process that starts now. Its offers
// are numbered from offers on.
func newDecisions(now time.Time, self peer.HostRecord, own, offers uint64, out outside) *decisions {
	return &decisions{
		outside: out, self: self, own: own,
		roster: roster.New(self), table: entry.New(now, self.Name, self.FailureDomain, offers, out.note),
		shards: make(map[int]*shard), of: 1, cells: peer.Division{Cells: 1},
		waiters: make(map[uint64]chan entry.Outcome), results: make(map[resultKey]*pendingResult), ended: make(map[resultKey]time.Time),
		sentLog: make(map[string]uint64), heardAt: make(map[string]time.Time), lives: make(map[string]lives), startedAt: now,
	}
}

// awake notices that the machine was suspended, before anything else is taken:
// what waits to be read may be out of date. boot is a steady clock that counts
// the time of a suspended machine.
func (d *decisions) awake(now time.Time, boot time.Duration) {
	if gap := boot - d.lastBoot; d.lastBoot > 0 && gap > suspension {
		d.suspended(now, gap)
	}
	d.lastBoot = boot
}

// tick advances time.
func (d *decisions) tick(now time.Time) {
	d.roster.Tick(now)
	for name, at := range d.heardAt {
		if now.Sub(at) > roster.ForgetAfter {
			delete(d.heardAt, name)
			delete(d.lives, name)
		}
	}
	if d.self.Entry {
		d.tickClaims(now)
		d.dropLost(now)
		d.table.Tick(now)
		for _, x := range d.ordered() {
			x.pool.Tick(now)
		}
		d.tickResults(now)
		d.forgetOffers(now)
	}
	d.tickBeats(now)
}

// suspended gives up what others may have taken over meanwhile.
func (d *decisions) suspended(now time.Time, gap time.Duration) {
	d.note(event.HostSuspended, slog.Int64("gap_ms", gap.Milliseconds()), slog.Int("open_jobs", d.table.OpenJobs()), slog.Int("claims", len(d.shards)))
	d.table.Abandon(now, "the host was suspended")
	for _, x := range d.ordered() {
		d.release(now, x, "the host was suspended")
	}
	d.deposedAt, d.wokeAt = now, now
}

// receive takes a message of another host, or of the own one.
func (d *decisions) receive(now time.Time, from string, inc membership.Incarnation, b peer.Body) {
	if !d.ofThisLife(now, from, inc) {
		return
	}
	d.heardAt[from] = now
	switch m := b.(type) {
	case *peer.Beat:
		d.beat(now, m)
	case *peer.Roster:
		d.merge(now, from, m)
	case *peer.JobOffer:
		d.offered(now, from, m)
	case *peer.JobAck:
		d.table.HandleAck(now, from, m)
		d.roster.UpdateLoad(now, from, m.Shard, m.Load)
	case *peer.JobResult:
		d.table.HandleResult(now, from, m)
	case *peer.JobResultAck:
		delete(d.results, resultKey{from, m.Job, m.Offer})
	case *peer.JobCancel:
		d.ended[resultKey{from, m.Job, m.Offer}] = now
		if x := d.shards[m.Shard]; x != nil {
			x.pool.Cancel(now, from, m)
		}
	}
}

// sendTo hands a message to another host, or keeps it for the own one.
func (d *decisions) sendTo(to string, b peer.Body) {
	if to == d.self.Name {
		d.local = append(d.local, b)
		return
	}
	d.send(to, b)
}

// maxRounds bounds how often messages to the own host are handled in one go:
// the ticks must go on whatever the decisions ask of each other.
const maxRounds = 16

// flush carries out what the decisions ask for.
func (d *decisions) flush(now time.Time) {
	for range maxRounds {
		d.flushTable(now)
		for _, x := range d.ordered() {
			d.flushPool(now, x)
		}
		if len(d.local) == 0 {
			break
		}
		local := d.local
		d.local = nil
		for _, b := range local {
			d.receive(now, d.self.Name, d.self.Incarnation, b)
		}
	}
	d.pushRoster(now)
	if d.beatSoon {
		d.sendBeats(now)
	}
}

func (d *decisions) flushTable(now time.Time) {
	r := d.table.Ready()
	for _, m := range r.Messages {
		if o, ok := m.Body.(*peer.JobOffer); ok {
			d.stamp(now, m.To, o)
		}
		d.sendTo(m.To, m.Body)
	}
	for _, a := range r.Answers {
		if w, ok := d.waiters[a.Waiter]; ok {
			w <- a.Outcome // has room for its one outcome
			delete(d.waiters, a.Waiter)
		}
	}
}
