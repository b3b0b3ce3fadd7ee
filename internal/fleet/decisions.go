package fleet

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/entry"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/pool"
	"github.com/laburnumwalk/laburnumwalk/internal/roster"
	"golang.org/x/sys/unix"
)

const (
	// standstill is a gap between two ticks after which others may have taken
	// this host for gone: it is below claim.Timeout.
	standstill = 500 * time.Millisecond
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
	pool    *pool.Pool
	claims  []int // shards that are claimed
	waiters map[uint64]chan entry.Outcome
	nextID  uint64
	results map[resultKey]*pendingResult
	sentLog map[string]uint64    // by host: how much of the roster log was sent
	heardAt map[string]time.Time // by host that offers jobs: its newest message

	startedAt time.Time
	deposedAt time.Time
	beatAt    time.Time
	slowAt    time.Time // of the last beat to control hosts
	lastBoot  time.Duration
	beatSoon  bool
	local     []localMessage
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

type localMessage struct{ body peer.Body }

func newDecisions(h *Host) *decisions {
	return &decisions{
		host: h, roster: roster.New(h.self), table: h.newTable(),
		pool:    pool.New(pool.Config{Timing: pool.DefaultTiming(), Note: h.note}),
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
	if gap := boot - d.lastBoot; gap > standstill {
		d.stoodStill(now, gap)
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
		d.pool.Tick(now)
		d.tickResults(now)
		_, waiting := d.pool.Jobs()
		d.host.waiting.Store(int64(waiting))
		d.gauges(now)
	}
	d.tickBeats(now)
}

// gauges publishes what the decisions hold.
func (d *decisions) gauges(now time.Time) {
	m := d.host.metrics
	all, waiting := d.pool.Jobs()
	load := d.pool.Load(now)
	m.openJobs.Set(int64(d.table.Open()))
	m.dispatched.Set(int64(all))
	m.queued.Set(int64(waiting))
	m.claims.Set(int64(len(d.claims)))
	m.capacity.Set(load.Capacity)
	m.free.Set(load.Free)
	m.hosts.Set(int64(len(d.roster.Hosts())))
}

// stoodStill gives up what others may have taken over meanwhile.
func (d *decisions) stoodStill(now time.Time, gap time.Duration) {
	d.host.note(event.HostStoodStill, slog.Int64("gap_ms", gap.Milliseconds()), slog.Int("open_jobs", d.table.Open()), slog.Any("claims", d.claims))
	d.table.Abandon(now, "the host stood still")
	if len(d.claims) > 0 {
		d.release(now, "the host stood still")
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
	case *peer.JobResult:
		d.table.Result(now, from, m)
	case *peer.JobResultAck:
		delete(d.results, resultKey{from, m.Job, m.Offer})
	case *peer.JobCancel:
		d.pool.Cancel(now, from, m)
	}
}

// dropLost gives up the jobs of entry hosts that have fallen silent: their
// callers' connections may be gone, and the jobs may come again elsewhere.
func (d *decisions) dropLost(now time.Time) {
	for _, name := range d.pool.Waiting() {
		if name == d.host.self.Name {
			continue
		}
		if now.Sub(d.heardAt[name]) > claim.Timeout {
			d.host.note(event.PeerDown, slog.String("host", name))
			d.pool.HostLost(now, name)
		}
	}
}

// offered takes a job for dispatch.
func (d *decisions) offered(now time.Time, from string, o *peer.JobOffer) {
	key := resultKey{from, o.Job, o.Offer}
	if r := d.results[key]; r != nil {
		d.sendResult(now, key, r) // it ended meanwhile
		return
	}
	if len(d.claims) == 0 {
		r := &pendingResult{left: 1, body: peer.JobResult{Job: o.Job, Offer: o.Offer, Outcome: peer.JobMoved, Done: o.Done, Clean: !o.MayHaveRun, Reason: "not a dispatcher"}}
		d.sendResult(now, key, r)
		return
	}
	d.pool.Offer(now, from, o)
	if from != d.host.self.Name {
		d.send(from, &peer.JobAck{Job: o.Job, Offer: o.Offer})
	} else {
		d.table.Ack(now, from, &peer.JobAck{Job: o.Job, Offer: o.Offer})
	}
}

func (d *decisions) sendResult(now time.Time, key resultKey, r *pendingResult) {
	r.sentAt = now
	r.left--
	d.send(key.to, &r.body)
}

func (d *decisions) tickResults(now time.Time) {
	for key, r := range d.results {
		if now.Sub(r.sentAt) < resultResend {
			continue
		}
		if r.left <= 0 {
			delete(d.results, key)
			continue
		}
		d.sendResult(now, key, r)
	}
}

// send hands a message to another host, or keeps it for the own one.
func (d *decisions) send(to string, b peer.Body) {
	if to == d.host.self.Name {
		d.local = append(d.local, localMessage{b})
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
		d.flushPool(now)
		if len(d.local) == 0 {
			break
		}
		local := d.local
		d.local = nil
		for _, m := range local {
			d.receive(now, d.host.self.Name, m.body)
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

func (d *decisions) flushPool(now time.Time) {
	r := d.pool.Ready()
	for i := range r.Starts {
		d.host.orders.start(&r.Starts[i])
	}
	for i := range r.Stops {
		d.host.orders.stop(&r.Stops[i])
	}
	for i := range r.Holds {
		d.host.orders.hold(&r.Holds[i])
	}
	for i := range r.Results {
		x := &r.Results[i]
		p := &pendingResult{body: x.Body, left: resultTries}
		key := resultKey{x.To, x.Body.Job, x.Body.Offer}
		if x.To != d.host.self.Name {
			d.results[key] = p
		}
		d.sendResult(now, key, p)
	}
	if r.Deposed && len(d.claims) > 0 {
		d.release(now, "a minion obeys a newer token")
		d.deposedAt = now
	}
}

// ---- claims

// shards is the number of parts that the minions of a failure domain are split
// into.
const shards = 1

// candidates returns the other live entry hosts of the failure domain.
func (d *decisions) candidates(now time.Time) []claim.Candidate {
	var out []claim.Candidate
	for _, h := range d.roster.Hosts() {
		if h.Entry && h.FailureDomain == d.host.self.FailureDomain && alive(now, h) {
			out = append(out, claim.Candidate{Host: h.Name, Leaving: h.Beat.Leaving, Claims: h.Beat.Claims})
		}
	}
	return out
}

// alive reports whether a host was heard from lately.
func alive(now time.Time, h *roster.Host) bool {
	if h.Beat == nil || now.Sub(h.HeardAt) > claim.Timeout {
		return false
	}
	return h.Closed.IsZero() || now.Sub(h.Closed) < claim.ClosedTimeout
}

// hearsAny reports whether any other host was heard from lately: one that
// hears nobody cannot tell whether others have taken it for gone.
func (d *decisions) hearsAny(now time.Time) bool {
	return slices.ContainsFunc(d.roster.Hosts(), func(h *roster.Host) bool { return now.Sub(h.HeardAt) < 2*claim.Timeout })
}

func (d *decisions) tickClaims(now time.Time) {
	others := d.candidates(now)
	for shard := range shards {
		decision, seen := claim.Decide(d.candidate(), others, shard)
		switch decision {
		case claim.Release:
			d.release(now, "another host has claimed them")
		case claim.Take:
			d.take(now, shard, seen)
		}
	}
	d.tellTable(now, others)
}

func (d *decisions) candidate() claim.Candidate {
	c := claim.Candidate{Host: d.host.self.Name, Leaving: d.host.leaving.Load()}
	for _, s := range d.claims {
		c.Claims = append(c.Claims, peer.Claim{Shard: s, Token: d.pool.Token()})
	}
	return c
}

// take claims a shard that no live host holds.
func (d *decisions) take(now time.Time, shard int, seen uint64) {
	if slices.Contains(d.claims, shard) || now.Sub(d.startedAt) < claim.Settle || !d.hearsAny(now) {
		return
	}
	if !d.deposedAt.IsZero() && now.Sub(d.deposedAt) < claim.Rebid {
		return
	}
	token := claim.Token(time.Now(), max(seen, d.pool.Token()), d.host.own())
	d.claims = append(d.claims, shard)
	d.pool.Claim(now, token)
	for _, m := range d.roster.Minions(d.host.self.FailureDomain) {
		if claim.Shard(m.ID, shards) == shard {
			d.pool.Minion(now, m)
		}
	}
	d.host.note(event.ClaimTaken, slog.Int("shard", shard), slog.Uint64("token", token), slog.Int("minions", len(d.roster.Minions(d.host.self.FailureDomain))))
	d.beatSoon = true
}

func (d *decisions) release(now time.Time, reason string) {
	all, _ := d.pool.Jobs()
	d.host.note(event.ClaimReleased, slog.Any("shards", d.claims), slog.String("reason", reason), slog.Int("jobs", all))
	d.claims = nil
	d.pool.Release(now)
	d.tellTable(now, d.candidates(now))
	d.beatSoon = true
}

// tellTable tells the callers' side which dispatchers there are.
func (d *decisions) tellTable(now time.Time, others []claim.Candidate) {
	var list []entry.Dispatcher
	self := d.candidate()
	for shard := range shards {
		holder, _ := claim.Holder(append([]claim.Candidate{self}, others...), shard)
		if holder == nil {
			continue
		}
		if holder.Host == self.Host {
			list = append(list, entry.Dispatcher{Host: self.Host, FailureDomain: d.host.self.FailureDomain, Load: d.pool.Load(now), HeardAt: now, LoadAt: now})
			continue
		}
		list = append(list, dispatcher(d.roster.Host(holder.Host)))
	}
	for _, h := range d.roster.Hosts() {
		if h.Entry && h.FailureDomain != d.host.self.FailureDomain && alive(now, h) && len(h.Beat.Claims) > 0 && h.Beat.Load != nil {
			list = append(list, dispatcher(h))
		}
	}
	d.table.Dispatchers(now, list)
	d.host.ready.Store(len(list) > 0 && d.host.document.Load() != nil && !d.host.leaving.Load())
}

func dispatcher(h *roster.Host) entry.Dispatcher {
	x := entry.Dispatcher{Host: h.Name, FailureDomain: h.FailureDomain, HeardAt: h.HeardAt, LoadAt: h.HeardAt}
	if h.Beat.Load != nil {
		x.Load = *h.Beat.Load
	}
	return x
}

// ---- beats

const (
	beatEvery    = 200 * time.Millisecond // to hosts of the failure domain and to dispatchers
	controlEvery = 500 * time.Millisecond // to control hosts
	maxControl   = 5                      // control hosts that an entry host beats
)

func (d *decisions) tickBeats(now time.Time) {
	if now.Sub(d.beatAt) >= beatEvery {
		d.sendBeats(now)
	}
}

func (d *decisions) sendBeats(now time.Time) {
	d.beatSoon = false
	d.beatAt = now
	slow := now.Sub(d.slowAt) >= controlEvery
	if slow {
		d.slowAt = now
	}
	for _, to := range d.targets(now, slow) {
		d.send(to, d.newBeat(now, to))
	}
}

func (d *decisions) newBeat(now time.Time, to string) *peer.Beat {
	b := &peer.Beat{From: d.host.self, Config: d.host.control.View().Version, Leaving: d.host.leaving.Load(), Claims: d.candidate().Claims}
	b.LogOf, b.Log = d.roster.Place(to)
	if len(d.claims) > 0 {
		l := d.pool.Load(now)
		b.Load = &l
	}
	return b
}

// targets returns the hosts that are beaten now; slow includes those that are
// beaten less often.
func (d *decisions) targets(now time.Time, slow bool) []string {
	var out []string
	add := func(name string) {
		if name != d.host.self.Name && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	control := 0
	for _, h := range d.roster.Hosts() {
		switch {
		case h.Control && slow && (d.host.self.Control || control < maxControl):
			control++
			add(h.Name)
		case h.Entry && d.host.self.Entry && (h.FailureDomain == d.host.self.FailureDomain || len(d.claims) > 0):
			add(h.Name)
		}
	}
	if slow {
		for _, s := range *d.host.seeds.Load() {
			add(s)
		}
	}
	for _, name := range d.table.Hosts() {
		add(name)
	}
	return out
}

// beat takes the beat of another host.
func (d *decisions) beat(now time.Time, b *peer.Beat) {
	known := d.roster.Host(b.From.Name) != nil
	if d.roster.Heard(now, b) {
		d.table.HostRestarted(now, b.From.Name)
		d.pool.HostLost(now, b.From.Name)
		delete(d.sentLog, b.From.Name)
	}
	if !known {
		d.host.note(event.PeerUp, slog.String("host", b.From.Name), slog.String("failure_domain", b.From.FailureDomain))
		d.hostsChanged()
	}
	if !d.host.self.Control {
		return
	}
	after := b.Log
	if b.LogOf != d.host.self.Incarnation {
		after = 0
	}
	if r := d.roster.Delta(after, d.domainOf(b)); r != nil {
		d.send(b.From.Name, r)
	}
	d.sentLog[b.From.Name] = d.roster.Log()
	if b.From.Entry {
		d.send(b.From.Name, d.newBeat(now, b.From.Name))
	}
}

// domainOf returns whose minions a host is told of; empty: all.
func (d *decisions) domainOf(b *peer.Beat) string {
	if b.From.Control {
		return ""
	}
	return b.From.FailureDomain
}

// pushRoster tells subscribers at once what has changed.
func (d *decisions) pushRoster() {
	if !d.host.self.Control {
		return
	}
	for name, sent := range d.sentLog {
		if sent >= d.roster.Log() {
			continue
		}
		h := d.roster.Host(name)
		if h == nil || h.Beat == nil {
			delete(d.sentLog, name)
			continue
		}
		if r := d.roster.Delta(sent, d.domainOf(h.Beat)); r != nil && len(r.Hosts)+len(r.Minions) > 0 {
			d.send(name, r)
		}
		d.sentLog[name] = d.roster.Log()
	}
}

// merge takes a part of another host's roster.
func (d *decisions) merge(now time.Time, from string, r *peer.Roster) {
	before := len(d.roster.Hosts())
	for _, m := range d.roster.Merge(from, r) {
		d.minionChanged(now, m)
	}
	if len(d.roster.Hosts()) != before {
		d.hostsChanged()
	}
}

func (d *decisions) minionChanged(now time.Time, m peer.MinionRecord) {
	if m.FailureDomain == d.host.self.FailureDomain && slices.Contains(d.claims, claim.Shard(m.ID, shards)) {
		d.pool.Minion(now, m)
	}
}

// hostsChanged tells the controller whom to push documents to.
func (d *decisions) hostsChanged() {
	var peers []membership.Host
	for _, h := range d.roster.Hosts() {
		peers = append(peers, membership.Host{Name: h.Name, FailureDomain: h.FailureDomain, Region: h.Region})
	}
	d.host.control.SetPeers(peers)
}
