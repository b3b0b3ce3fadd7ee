// Package entry holds the jobs of the callers that are connected to one host,
// and chooses the dispatcher that each is offered to.
//
// A Table is a pure state machine: every method takes the current time; it does
// no I/O, starts no goroutine and reads no clock. A job that may have run with
// the dispatcher of a failure domain stays in that domain: only its next
// dispatcher can tell what runs there.
package entry

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// offerResend is the interval of offers without an answer.
	offerResend = 150 * time.Millisecond
	// endedTimeout is how long after its dispatcher was lost a job has certainly
	// ended there: the dispatcher misses this host within 0.6 s and stops what
	// it can; what it cannot stop ends with a lease of at most 1 s on a clock
	// that may be 2% slow.
	endedTimeout = 1700 * time.Millisecond
	// cancelDelay is how long after its dispatcher was lost a job is cancelled
	// there, in case only that one's messages are lost: the next dispatcher has
	// usually taken over by then, and a lease that is no longer renewed ends
	// within endedTimeout.
	cancelDelay = 700 * time.Millisecond
	// answerMargin is how long before the caller's deadline an answer is sent that
	// says that there will be no other: two ticks, and the way to the caller.
	answerMargin = 45 * time.Millisecond
	// maxOffers bounds the dispatchers that a job is offered to: each may
	// refuse for want of room.
	maxOffers = 3
	// cancelResends is how often a cancellation is sent.
	cancelResends = 3
)

// Outcome is what a caller is told.
type Outcome struct {
	Outcome peer.JobOutcome
	RetryMS int64
	Reason  string
}

// Answer ends a caller's wait.
type Answer struct {
	Job    string
	Waiter uint64
	Outcome
}

// Message goes to a dispatcher, possibly on the own host.
type Message struct {
	To   string
	Body peer.Body
}

// Dispatcher is a host that dispatches on the minions of one shard, as last
// heard.
type Dispatcher struct {
	Host          string
	FailureDomain string
	Shard         int
	Of            int // shards in the cell
	Cell          peer.Cell
	Load          peer.PoolLoad
	LoadAt        time.Time // when Load was told
}

// place names a dispatcher.
type place struct {
	host  string
	shard int
}

func (d *Dispatcher) place() place { return place{d.Host, d.Shard} }

// serves reports whether the dispatcher's shard is the one that the job was
// offered to last.
func (d *Dispatcher) serves(j *open) bool {
	return d.FailureDomain == j.domain && d.Shard == j.offer.Shard && d.Of == j.offer.Of && d.Cell == j.offer.Cell
}

// Ready is what follows from the inputs since the last call.
type Ready struct {
	Messages []Message
	Answers  []Answer
}

// open is a job without an answer.
type open struct {
	offer    peer.JobOffer
	arrived  time.Time
	deadline time.Time
	waiters  []uint64
	to       place  // dispatcher; zero: none yet
	domain   string // of the dispatcher
	sentAt   time.Time
	heardAt  time.Time // from the dispatcher, about this offer; zero: not yet
	refused  []place   // dispatchers that had no room
	retryMS  int64     // shortest of their hints
	tied     bool      // may have run on the minions of its shard
	touched  bool      // may have run anywhere: never answered as not run
	minions  uint64    // digest of the dispatcher's minions, as last heard
	lostAt   time.Time // when its last dispatcher was lost
	lost     lostOffer // to that dispatcher, until it is cancelled there
}

// lostOffer is an offer to a dispatcher that was lost.
type lostOffer struct {
	place
	number uint64
}

type cancellation struct {
	to     string
	body   peer.JobCancel
	sentAt time.Time
	left   int
}

// Table holds the open jobs of one host.
type Table struct {
	self        string
	domain      string
	note        func(event.ID, ...slog.Attr)
	jobs        map[string]*open
	dispatchers []Dispatcher
	knownAt     time.Time      // when there was a dispatcher last
	moved       map[place]bool // dispatchers that handed over since they were listed
	sent        map[place]*sentWork
	cancels     []*cancellation
	offers      uint64
	rng         *rand.Rand
	ready       Ready
}

// New returns the table of a host that begins to learn of dispatchers now.
// Offers are numbered from offers on.
func New(now time.Time, self, domain string, offers uint64, note func(event.ID, ...slog.Attr)) *Table {
	return &Table{
		self: self, domain: domain, offers: offers, note: note, knownAt: now, rng: rand.New(rand.NewPCG(offers, 0)),
		jobs: make(map[string]*open), sent: make(map[place]*sentWork), moved: make(map[place]bool),
	}
}

// Ready returns and clears what is to be done.
func (t *Table) Ready() Ready {
	r := t.ready
	t.ready = Ready{}
	return r
}

// Open returns the number of jobs without an answer.
func (t *Table) Open() int { return len(t.jobs) }

// Hosts returns the dispatchers of open jobs.
func (t *Table) Hosts() []string {
	var out []string
	for _, j := range t.jobs {
		if j.to.host != "" && !slices.Contains(out, j.to.host) {
			out = append(out, j.to.host)
		}
	}
	slices.Sort(out)
	return out
}

// Submit takes a caller's job. A job that is open already gets one more waiter.
func (t *Table) Submit(now time.Time, o peer.JobOffer, deadline time.Time, waiter uint64) {
	if j := t.jobs[o.Job]; j != nil {
		j.waiters = append(j.waiters, waiter)
		return
	}
	j := &open{offer: o, arrived: now, deadline: deadline, waiters: []uint64{waiter}}
	t.jobs[o.Job] = j
	t.place(now, j)
}

// Leave ends the wait of a caller whose connection is gone.
func (t *Table) Leave(now time.Time, id string, waiter uint64) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	j.waiters = slices.DeleteFunc(j.waiters, func(w uint64) bool { return w == waiter })
	if len(j.waiters) > 0 {
		return
	}
	t.cancel(now, j)
	delete(t.jobs, id)
}

// cancel gives up the job at its dispatcher, and at the one that was lost.
func (t *Table) cancel(now time.Time, j *open) {
	t.cancelLost(now, j)
	t.cancelAt(now, j, lostOffer{j.to, j.offer.Offer})
}

// cancelLost gives up the job at the dispatcher that was lost.
func (t *Table) cancelLost(now time.Time, j *open) {
	t.cancelAt(now, j, j.lost)
	j.lost = lostOffer{}
}

func (t *Table) cancelAt(now time.Time, j *open, at lostOffer) {
	if at.host == "" {
		return
	}
	c := &cancellation{to: at.host, body: peer.JobCancel{Job: j.offer.Job, Offer: at.number, Shard: at.shard}, sentAt: now, left: cancelResends}
	t.cancels = append(t.cancels, c)
	t.sendCancel(now, c)
}

func (t *Table) sendCancel(now time.Time, c *cancellation) {
	c.sentAt = now
	c.left--
	t.send(c.to, &c.body)
}

func (t *Table) send(to string, b peer.Body) {
	t.ready.Messages = append(t.ready.Messages, Message{to, b})
}

// answer ends a job for all its waiters.
func (t *Table) answer(now time.Time, j *open, o Outcome) {
	delete(t.jobs, j.offer.Job)
	if o.Outcome == peer.JobRefused && j.touched {
		o.Outcome = peer.JobUnknown
	}
	for _, w := range j.waiters {
		t.ready.Answers = append(t.ready.Answers, Answer{Job: j.offer.Job, Waiter: w, Outcome: o})
	}
	if o.Outcome == peer.JobComplete {
		t.note(event.EntryJobDone, slog.String("job", j.offer.Job), slog.String("queue", j.offer.Queue), slog.Int64("age_ms", now.Sub(j.arrived).Milliseconds()))
		return
	}
	t.note(event.EntryJobAnswered, slog.String("job", j.offer.Job), slog.String("queue", j.offer.Queue), slog.Int("outcome", int(o.Outcome)),
		slog.String("reason", o.Reason), slog.String("dispatcher", j.to.host), slog.Int64("age_ms", now.Sub(j.arrived).Milliseconds()),
		slog.Int64("retry_ms", o.RetryMS), slog.Bool("may_have_run", j.touched))
}

// offer sends the job to a dispatcher.
func (t *Table) offer(now time.Time, j *open, d *Dispatcher) {
	t.offers++
	j.offer.Offer = t.offers
	j.to, j.domain = d.place(), d.FailureDomain
	j.offer.Shard, j.offer.Of, j.offer.Cell = d.Shard, d.Of, d.Cell
	j.heardAt = time.Time{}
	j.offer.MayHaveRun, j.offer.Minions = j.tied, j.minions
	j.minions = d.Load.Minions
	t.count(d, j)
	t.note(event.EntryJobForwarded, slog.String("job", j.offer.Job), slog.String("queue", j.offer.Queue), slog.String("dispatcher", d.Host),
		slog.Int64("load_age_ms", now.Sub(d.LoadAt).Milliseconds()), slog.Int64("free_cpu", d.Load.Free), slog.Int64("queued", d.Load.Queued),
		slog.Int("shard", d.Shard), slog.Int("dispatchers", len(t.dispatchers)), slog.Bool("may_have_run", j.tied))
	t.sendOffer(now, j)
}

func (t *Table) sendOffer(now time.Time, j *open) {
	j.sentAt = now
	o := j.offer
	o.AgeMS = now.Sub(j.arrived).Milliseconds()
	o.LeftMS = j.deadline.Sub(now).Milliseconds()
	if o.MayHaveRun {
		o.MayRunMS = max(0, endedTimeout-now.Sub(j.lostAt)).Milliseconds()
	}
	t.send(j.to.host, &o)
}

// Ack takes a dispatcher's word that it has the offer. One that is no longer
// wanted is cancelled there: the cancellation may have come before the offer.
func (t *Table) Ack(now time.Time, from string, a *peer.JobAck) {
	j := t.jobs[a.Job]
	if j != nil && j.to.host == from && j.offer.Offer == a.Offer {
		j.heardAt, j.minions = now, a.Load.Minions
		return
	}
	if j == nil || j.lost.host != from || j.lost.number != a.Offer {
		t.send(from, &peer.JobCancel{Job: a.Job, Offer: a.Offer, Shard: a.Shard})
	}
}

// Result takes the end of an offer.
func (t *Table) Result(now time.Time, from string, r *peer.JobResult) {
	t.send(from, &peer.JobResultAck{Job: r.Job, Offer: r.Offer})
	t.cancels = slices.DeleteFunc(t.cancels, func(c *cancellation) bool { return c.body.Job == r.Job && c.body.Offer == r.Offer })
	j := t.jobs[r.Job]
	if j == nil || j.to.host != from || j.offer.Offer != r.Offer {
		return
	}
	switch r.Outcome {
	case peer.JobRefused:
		t.refused(now, j, r)
	case peer.JobMoved:
		j.offer.Done = r.Done
		j.minions = r.Minions
		j.tied = !r.Clean
		j.touched = j.touched || j.tied
		j.to = place{}
		j.lostAt = now
		t.moved[place{from, j.offer.Shard}] = true
		t.place(now, j)
	default:
		t.answer(now, j, Outcome{Outcome: r.Outcome, Reason: r.Reason})
	}
}

// refused offers the job to another dispatcher, or tells the caller.
func (t *Table) refused(now time.Time, j *open, r *peer.JobResult) {
	j.refused = append(j.refused, j.to)
	if j.retryMS == 0 || r.RetryMS < j.retryMS {
		j.retryMS = r.RetryMS
	}
	j.to = place{}
	if len(j.refused) < maxOffers {
		if d := t.choose(j); d != nil {
			t.offer(now, j, d)
			return
		}
	}
	t.answer(now, j, Outcome{Outcome: peer.JobRefused, RetryMS: j.retryMS, Reason: r.Reason})
}

// place offers a job to the best dispatcher, or leaves it waiting for one.
func (t *Table) place(now time.Time, j *open) {
	if d := t.choose(j); d != nil {
		t.offer(now, j, d)
		return
	}
	if !j.tied && (now.Sub(t.waitsSince(j)) >= takeoverTime || now.After(j.lastStart())) {
		t.answer(now, j, noDispatcher)
	}
}

// waitsSince returns since when a next dispatcher for the job could have
// appeared: since its own was lost, and since there was any, or, where others
// are listed that do not take the job, since it arrived.
func (t *Table) waitsSince(j *open) time.Time {
	since := t.knownAt
	if len(t.dispatchers) > 0 {
		since = j.arrived
	}
	if j.lostAt.After(since) {
		return j.lostAt
	}
	return since
}

// noDispatcher is what a caller is told when there is nobody to run its job.
var noDispatcher = Outcome{Outcome: peer.JobRefused, RetryMS: noDispatcherRetry.Milliseconds(), Reason: "no dispatcher is known"}

// takeoverTime is for how long a job waits for the next dispatcher. A lost one is
// noticed within 0.6 s; where all hosts start anew they claim the minions within
// claim.Settle. Most jobs are hopeless sooner.
const takeoverTime = claim.Settle + 200*time.Millisecond

// lastStart returns until when the job can start and still be of use to its
// caller, by its declared times.
func (j *open) lastStart() time.Time {
	chain := peer.LongestChain(j.offer.Steps, (*peer.TaskStep).Declared)
	goal := chain*time.Duration(j.offer.StretchPct)/100 + time.Duration(j.offer.AddMS)*time.Millisecond
	if goal <= 0 {
		return j.deadline // it has no objective
	}
	return j.arrived.Add(peer.LateFactor*goal - chain)
}

// noDispatcherRetry is what a caller is told when no dispatcher is known: a
// takeover lasts about as long.
const noDispatcherRetry = time.Second

// Dispatchers replaces what is known of the dispatchers. Jobs with one that is
// gone are offered to the next of its failure domain.
func (t *Table) Dispatchers(now time.Time, list []Dispatcher) {
	t.dispatchers = list
	clear(t.moved)
	for p := range t.sent {
		if !slices.ContainsFunc(list, func(d Dispatcher) bool { return d.place() == p }) {
			delete(t.sent, p)
		}
	}
	if len(list) > 0 {
		t.knownAt = now
	}
	for _, j := range t.sorted() {
		if j.to.host == "" {
			t.place(now, j)
			continue
		}
		i := slices.IndexFunc(list, func(d Dispatcher) bool { return d.place() == j.to && d.serves(j) })
		if i < 0 {
			t.reoffer(now, j, "dispatcher is gone")
			continue
		}
		j.minions = list[i].Load.Minions
	}
}

// reoffer gives a job whose dispatcher is gone to the next one.
func (t *Table) reoffer(now time.Time, j *open, reason string) {
	t.note(event.EntryJobReoffered, slog.String("job", j.offer.Job), slog.String("from", j.to.host), slog.String("reason", reason))
	if j.offer.MayHaveRun && now.Sub(j.lostAt) < endedTimeout {
		j.minions = 0 // those of the dispatcher before this one are not known
	}
	j.tied, j.touched = true, true
	j.lost, j.to = lostOffer{j.to, j.offer.Offer}, place{}
	j.lostAt = now
	t.place(now, j)
}

// HostRestarted tells that a dispatcher has lost its memory.
func (t *Table) HostRestarted(now time.Time, host string) {
	for _, j := range t.sorted() {
		if j.to.host == host {
			t.reoffer(now, j, "dispatcher restarted")
		}
	}
}

// Abandon answers every open job as unknown: the host was suspended, and
// callers may have gone to others meanwhile.
func (t *Table) Abandon(now time.Time, reason string) {
	for _, j := range t.sorted() {
		t.cancel(now, j)
		t.answer(now, j, Outcome{Outcome: peer.JobUnknown, Reason: reason})
	}
}

// Tick repeats what has no answer and ends what is late.
func (t *Table) Tick(now time.Time) {
	for _, j := range t.sorted() {
		t.tickJob(now, j)
	}
	open := t.cancels[:0]
	for _, c := range t.cancels {
		if now.Sub(c.sentAt) >= offerResend {
			t.sendCancel(now, c)
		}
		if c.left > 0 {
			open = append(open, c)
		}
	}
	t.cancels = open
}

func (t *Table) tickJob(now time.Time, j *open) {
	if j.lost.host != "" && now.Sub(j.lostAt) >= cancelDelay {
		t.cancelLost(now, j)
	}
	if j.to.host == "" && j.tied && now.Sub(j.lostAt) >= endedTimeout {
		j.tied = false
		j.offer.Done = nil
	}
	if !now.Before(j.deadline.Add(-answerMargin)) {
		t.expire(now, j)
		return
	}
	if j.to.host == "" && !j.tied {
		t.place(now, j)
		return
	}
	if j.to.host != "" && j.heardAt.IsZero() && now.Sub(j.sentAt) >= offerResend {
		t.sendOffer(now, j)
	}
}

// expire answers a job whose caller's deadline has come.
func (t *Table) expire(now time.Time, j *open) {
	if j.to.host == "" && !j.tied {
		t.answer(now, j, noDispatcher)
		return
	}
	t.cancel(now, j)
	t.answer(now, j, Outcome{Outcome: peer.JobUnknown, Reason: "deadline passed"})
}

func (t *Table) sorted() []*open {
	out := make([]*open, 0, len(t.jobs))
	for _, j := range t.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *open) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.offer.Job, b.offer.Job))
	})
	return out
}
