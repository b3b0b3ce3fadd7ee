package fleet

import (
	"context"
	"log/slog"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/roster"
	"golang.org/x/sys/unix"
)

const (
	// suspension is a gap between two ticks after which others may have taken
	// this host for gone: it is below claim.Timeout.
	suspension = 500 * time.Millisecond
	// maxBatch bounds the inputs that are handled before their consequences
	// are carried out.
	maxBatch = 64
	// resultResend is the interval of results without an acknowledgement.
	resultResend = 150 * time.Millisecond
	// resultTries is how often a result is sent.
	resultTries = 6
)

// decisions is the duty that makes the host's decisions. Its methods are
// called by its own goroutine only.
type decisions struct {
	host    *Host
	roster  *roster.Roster
	table   *entry.Table
	shards  map[int]*shard // that this host dispatches on, by number
	of      int            // shards in the failure domain
	layout  uint64         // when they were laid out
	token   uint64         // highest that was used or seen here
	waiters map[uint64]chan entry.Outcome
	nextID  uint64
	results map[resultKey]*pendingResult
	sentLog map[string]uint64    // by host: how much of the roster log was sent
	heardAt map[string]time.Time // by host that offers jobs: its newest message

	startedAt time.Time
	deposedAt time.Time     // when a claim was lost
	farSince  time.Time     // when the layout began to be far from the wanted one
	beatAt    time.Time     // of the last beat
	slowAt    time.Time     // of the last beat to control hosts
	lastBoot  time.Duration // boot time at the last tick
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

func newDecisions(h *Host) *decisions {
	return &decisions{
		host: h, roster: roster.New(h.self), table: h.newTable(),
		shards: make(map[int]*shard), of: 1,
		waiters: make(map[uint64]chan entry.Outcome), results: make(map[resultKey]*pendingResult),
		sentLog: make(map[string]uint64), heardAt: make(map[string]time.Time), startedAt: time.Now(),
	}
}

func (d *decisions) run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	d.lastBoot = bootTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.tick(time.Now())
		case f := <-d.host.inputs.C():
			f(time.Now())
			d.batch()
		}
		d.flush(time.Now())
	}
}

// batch handles inputs that have arrived meanwhile.
func (d *decisions) batch() {
	for range maxBatch {
		select {
		case f := <-d.host.inputs.C():
			f(time.Now())
		default:
			return
		}
	}
}

// bootTime returns a steady clock that counts the time of a suspended machine.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // without it a suspended machine is noticed by others only
	}
	return time.Duration(t.Nano())
}

func (d *decisions) tick(now time.Time) {
	boot := bootTime()
	if gap := boot - d.lastBoot; gap > suspension {
		d.suspended(now, gap)
	}
	d.lastBoot = boot
	d.roster.Tick(now)
	for name, at := range d.heardAt {
		if now.Sub(at) > roster.ForgetAfter {
			delete(d.heardAt, name)
		}
	}
	if d.host.self.Entry {
		d.tickClaims(now)
		d.dropLost(now)
		d.table.Tick(now)
		for _, x := range d.ordered() {
			x.pool.Tick(now)
		}
		d.tickResults(now)
		d.gauges(now)
	}
	d.tickBeats(now)
}

// gauges publishes what the decisions hold.
func (d *decisions) gauges(now time.Time) {
	m := d.host.metrics
	var jobs int
	waiting := make(map[string]int)
	var capacity, free int64
	for _, x := range d.shards {
		load := x.pool.Load()
		jobs += x.pool.Jobs()
		x.pool.CountWaiting(waiting)
		capacity, free = capacity+load.Capacity, free+load.Free
	}
	d.host.waiting.Store(&waiting)
	queued := 0
	for _, n := range waiting {
		queued += n
	}
	m.openJobs.Set(int64(d.table.Open()))
	m.dispatched.Set(int64(jobs))
	m.queued.Set(int64(queued))
	m.claims.Set(int64(len(d.shards)))
	m.capacity.Set(capacity)
	m.free.Set(free)
	m.hosts.Set(int64(len(d.roster.Hosts())))
}

// suspended gives up what others may have taken over meanwhile.
func (d *decisions) suspended(now time.Time, gap time.Duration) {
	d.host.note(event.HostSuspended, slog.Int64("gap_ms", gap.Milliseconds()), slog.Int("open_jobs", d.table.Open()), slog.Int("claims", len(d.shards)))
	d.table.Abandon(now, "the host was suspended")
	for _, x := range d.ordered() {
		d.release(now, x, "the host was suspended")
	}
	d.deposedAt = now
}

// receive takes a message of another host, or of the own one.
func (d *decisions) receive(now time.Time, from string, b peer.Body) {
	d.heardAt[from] = now
	switch m := b.(type) {
	case *peer.Beat:
		d.beat(now, m)
	case *peer.Roster:
		d.merge(now, from, m)
	case *peer.JobOffer:
		d.offered(now, from, m)
	case *peer.JobAck:
		d.table.Ack(now, from, m)
		d.roster.Loaded(now, from, m.Shard, m.Load)
	case *peer.JobResult:
		d.table.Result(now, from, m)
	case *peer.JobResultAck:
		delete(d.results, resultKey{from, m.Job, m.Offer})
	case *peer.JobCancel:
		if x := d.shards[m.Shard]; x != nil {
			x.pool.Cancel(now, from, m)
		}
	}
}

// send hands a message to another host, or keeps it for the own one.
func (d *decisions) send(to string, b peer.Body) {
	if to == d.host.self.Name {
		d.local = append(d.local, b)
		return
	}
	d.host.mesh.Send(to, b)
}

// maxRounds bounds how often messages to the own host are handled in one go:
// the ticks must go on whatever the decisions ask of each other.
const maxRounds = 16

// flush carries out what the decisions ask for.
func (d *decisions) flush(now time.Time) {
	for range maxRounds {
		d.flushTable()
		for _, x := range d.ordered() {
			d.flushPool(now, x)
		}
		if len(d.local) == 0 {
			break
		}
		local := d.local
		d.local = nil
		for _, b := range local {
			d.receive(now, d.host.self.Name, b)
		}
	}
	d.pushRoster()
	if d.beatSoon {
		d.sendBeats(now)
	}
}

func (d *decisions) flushTable() {
	r := d.table.Ready()
	for _, m := range r.Messages {
		d.send(m.To, m.Body)
	}
	for _, a := range r.Answers {
		if w, ok := d.waiters[a.Waiter]; ok {
			w <- a.Outcome // has room for its one outcome
			delete(d.waiters, a.Waiter)
		}
	}
}
