// Package entry holds the jobs of the callers that are connected to one entry
// host, and chooses the dispatcher that each job is offered to.
//
// A Table is a pure state machine: every method takes the current time; it does
// no I/O, starts no goroutine and reads no clock. A job that may still be running on
// a shard's minions is offered only to the dispatcher that takes over the shard, until
// its runs have certainly ended: only that dispatcher can find out what still runs
// there.
package entry

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/membership"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// resendInterval is the time after which an unacknowledged offer or cancellation is
	// sent again. It doubles with each copy of an offer.
	resendInterval = 150 * time.Millisecond
	// runEndTimeout bounds how long a job's runs go on after its dispatcher became
	// unavailable. The dispatcher notices within 0.6 s that this host is
	// unreachable and stops the runs on minions that it reaches; runs elsewhere
	// end with their lease of at most 1 s, on a clock that may be 2% slow.
	runEndTimeout = 1700 * time.Millisecond
	// cancelDelay is how long after its dispatcher became unavailable a job is
	// cancelled there, in case that dispatcher still receives messages and only
	// those that it sends are lost. By then the next dispatcher has usually taken
	// over, and leases that are no longer renewed end within runEndTimeout.
	cancelDelay = 700 * time.Millisecond
	// answerMargin is how long before the caller's deadline a job without a
	// result is answered as unknown or refused: two ticks, and the network time
	// to the caller.
	answerMargin = 45 * time.Millisecond
	// maxOffers bounds the number of dispatchers that may refuse a job for lack of
	// capacity before the caller's request is refused.
	maxOffers = 3
	// minCancelPeriod is the shortest time for which a cancellation is repeated.
	minCancelPeriod = time.Second
	// unknownJobCancelPeriod is the time for which the cancellation of a job with an unknown
	// deadline is repeated. Few callers wait for longer.
	unknownJobCancelPeriod = 15 * time.Second
)

// Outcome is what the caller of a job receives.
type Outcome struct {
	Outcome peer.JobOutcome
	RetryMS int64  // for peer.JobRefused: milliseconds after which the caller should retry
	Reason  string // cause of any outcome but peer.JobComplete
}

// Answer carries the outcome of a job to one waiting caller.
type Answer struct {
	Job    string
	Waiter uint64
	Outcome
}

// Message is addressed to the dispatcher on a host, which may be this host.
type Message struct {
	To   string
	Body peer.Body
}

// Dispatcher is a host that dispatches on the minions of one shard, as its newest
// reports describe it.
type Dispatcher struct {
	Host          string
	FailureDomain string
	Shard         int
	ShardCount    int // number of shards in the cell
	Cell          peer.Cell
	Phase         peer.ClaimPhase
	Load          peer.PoolLoad
	LoadAt        time.Time              // when Load was received
	Process       membership.Incarnation // of the host
}

// dispatcherID identifies a dispatcher; one host can dispatch on several shards.
type dispatcherID struct {
	host  string
	shard int
}

func (d *Dispatcher) id() dispatcherID { return dispatcherID{d.Host, d.Shard} }

// servesShardOf reports whether the dispatcher's shard is the one that the job
// was last offered to.
func (d *Dispatcher) servesShardOf(j *openJob) bool {
	return d.FailureDomain == j.domain && d.Shard == j.offer.Shard && d.ShardCount == j.offer.ShardCount && d.Cell == j.offer.Cell
}

// Ready holds the messages to send and the answers to deliver that have
// accumulated since the last call of Table.Ready.
type Ready struct {
	Messages []Message
	Answers  []Answer
}

// openJob is a job that has not been answered yet.
type openJob struct {
	offer           peer.JobOffer // as sent last; offers to other dispatchers reuse it
	arrived         time.Time
	deadline        time.Time
	waiters         []uint64
	dispatcher      dispatcherID // that the job is offered to; zero: none
	domain          string       // failure domain of the dispatcher offered to last
	offeredAt       time.Time    // when the offer was first sent
	sentAt          time.Time    // when it was last sent
	sends           int          // how many times it was sent
	ackedAt         time.Time    // when the dispatcher acknowledged the offer; zero: not yet
	refusedBy       []dispatcherID
	retryMS         int64                  // shortest retry time that these dispatchers named
	boundToShard    bool                   // may still run on its shard's minions: offered only to that shard's dispatcher
	started         bool                   // has started on a minion, or a dispatcher could not tell
	doubts          []offerRef             // offers to unavailable dispatchers, which may have started it
	process         membership.Incarnation // of the dispatcher's host
	withdrawal      withdrawal             // of the current offer
	minionsDigest   uint64                 // digest of the dispatcher's minions, as last reported
	priorRuns       priorRuns              // of the dispatcher that handed the job over
	unassignedAt    time.Time              // when its last dispatcher became unavailable or handed the job over
	prevOffer       offerRef               // to an unavailable dispatcher; zero once cancelled there
	lostOffer       offerRef               // to a dispatcher that became unavailable, while the job was offered to no other since
	prevWithdrawnAt time.Time              // when the withdrawal of prevOffer was last sent
}

// Table holds the open jobs of one host.
type Table struct {
	self             string
	domain           string // failure domain of this host
	logEvent         func(event.ID, ...slog.Attr)
	jobs             map[string]*openJob // by job ID
	dispatchers      []Dispatcher
	lastDispatcherAt time.Time                      // when any dispatcher was last listed
	handedOver       map[dispatcherID]bool          // handed a job over since the list was last replaced
	sent             map[dispatcherID]*sentLoad     // offered since the dispatcher's last load report
	flight           map[dispatcherID]unackedOffers // result of unacked; nil: must be computed again
	cancels          pendingCancels
	lastOffer        uint64 // number of the newest offer
	rng              *rand.Rand
	ready            Ready
	evacuated        []string  // failure domains that get no new jobs, sorted
	allEvacuated     bool      // no failure domain takes jobs
	reachableAt      time.Time // when a dispatcher was last listed whose failure domain takes jobs
}

// New returns the table of a host that knows no dispatcher yet. Offers are
// numbered from lastOffer+1; events are written with logEvent.
func New(now time.Time, self, domain string, lastOffer uint64, logEvent func(event.ID, ...slog.Attr)) *Table {
	return &Table{
		self: self, domain: domain, lastOffer: lastOffer, logEvent: logEvent, lastDispatcherAt: now, rng: rand.New(rand.NewPCG(lastOffer, 0)),
		jobs: make(map[string]*openJob), sent: make(map[dispatcherID]*sentLoad), handedOver: make(map[dispatcherID]bool),
	}
}

// Ready returns and clears the pending messages and answers.
func (t *Table) Ready() Ready {
	r := t.ready
	t.ready = Ready{}
	return r
}

// HasJob reports whether the job is open.
func (t *Table) HasJob(job string) bool { return t.jobs[job] != nil }

// OpenJobs returns the number of open jobs.
func (t *Table) OpenJobs() int { return len(t.jobs) }

// DispatcherHosts returns the names of the hosts whose dispatchers have open jobs of this
// table, sorted.
func (t *Table) DispatcherHosts() []string {
	var out []string
	for _, j := range t.jobs {
		if j.dispatcher.host != "" && !slices.Contains(out, j.dispatcher.host) {
			out = append(out, j.dispatcher.host)
		}
	}
	slices.Sort(out)
	return out
}

// Submit adds a caller's job and offers it to a dispatcher. If the job is open
// already, the caller is added to its waiters. A job that no minion can be large enough for
// fails at once.
func (t *Table) Submit(now time.Time, o peer.JobOffer, deadline time.Time, waiter uint64) {
	if j := t.jobs[o.Job]; j != nil {
		j.waiters = append(j.waiters, waiter)
		return
	}
	j := &openJob{offer: o, arrived: now, deadline: deadline, waiters: []uint64{waiter}}
	t.jobs[o.Job] = j
	if slices.ContainsFunc(o.Steps, func(s peer.TaskStep) bool { return s.ExceedsEveryMinion() }) {
		t.answer(now, j, Outcome{Outcome: peer.JobFailed, Reason: "no minion can be large enough"})
		return
	}
	t.assign(now, j)
}

// RemoveWaiter removes a waiter whose connection was closed. A job without waiters is
// cancelled.
func (t *Table) RemoveWaiter(now time.Time, id string, waiter uint64) {
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
	t.flight = nil
}

// cancel cancels the job at its dispatcher and at the unavailable one that had
// it before.
func (t *Table) cancel(now time.Time, j *openJob) {
	t.cancelPrevOffer(now, j)
	t.cancelOffer(now, j, j.currentOffer())
}

// cancelPrevOffer cancels the job at its unavailable previous dispatcher.
func (t *Table) cancelPrevOffer(now time.Time, j *openJob) {
	t.cancelOffer(now, j, j.prevOffer)
	j.prevOffer = offerRef{}
}

// cancelOffer sends a cancellation of one offer and keeps it pending, so that Tick
// resends it. It does nothing if ref.host is empty.
func (t *Table) cancelOffer(now time.Time, j *openJob, ref offerRef) {
	if ref.host == "" {
		return
	}
	t.startCancel(now, ref, j.offer.Job, j.deadline)
}

// startCancel sends a cancellation and keeps it pending until the deadline, but at least
// for minCancelPeriod.
func (t *Table) startCancel(now time.Time, ref offerRef, job string, deadline time.Time) {
	until := now.Add(minCancelPeriod)
	if deadline.After(until) {
		until = deadline
	}
	t.sendCancel(now, t.cancels.add(ref, job, until))
}

func (t *Table) sendCancel(now time.Time, c *pendingCancel) {
	c.repeatedAt = now
	body := c.cancelBody(now, c.job, false)
	t.send(c.host, &body)
}

func (t *Table) send(to string, b peer.Body) {
	t.ready.Messages = append(t.ready.Messages, Message{to, b})
}

// answer removes a job and answers all its waiters. A job that may have run is
// answered as unknown instead of refused.
func (t *Table) answer(now time.Time, j *openJob, o Outcome) {
	delete(t.jobs, j.offer.Job)
	t.flight = nil
	if o.Outcome == peer.JobRefused && j.mayHaveStarted() {
		o.Outcome = peer.JobUnknown
	}
	for _, w := range j.waiters {
		t.ready.Answers = append(t.ready.Answers, Answer{Job: j.offer.Job, Waiter: w, Outcome: o})
	}
	if o.Outcome == peer.JobComplete {
		t.logEvent(event.EntryJobSucceeded, slog.String("job", j.offer.Job), slog.String("queue", j.offer.Queue), slog.Int64("age_ms", now.Sub(j.arrived).Milliseconds()))
		return
	}
	t.logEvent(event.EntryJobUnsuccessful, slog.String("job", j.offer.Job), slog.String("queue", j.offer.Queue), slog.Int("outcome", int(o.Outcome)),
		slog.String("reason", o.Reason), slog.String("dispatcher", j.dispatcher.host), slog.Int64("age_ms", now.Sub(j.arrived).Milliseconds()),
		slog.Int64("retry_ms", o.RetryMS), slog.Bool("may_have_run", j.mayHaveStarted()))
}

// offer assigns the job to a dispatcher and sends the offer under a new number.
func (t *Table) offer(now time.Time, j *openJob, d *Dispatcher) {
	t.lastOffer++
	j.offer.Offer = t.lastOffer
	j.dispatcher, j.domain, j.process = d.id(), d.FailureDomain, d.Process
	j.withdrawal = withdrawal{}
	j.offer.Shard, j.offer.ShardCount, j.offer.Cell = d.Shard, d.ShardCount, d.Cell
	j.ackedAt, j.offeredAt, j.sends = time.Time{}, now, 0
	t.flight = nil
	j.offer.MayHaveRun, j.offer.MinionsDigest = j.boundToShard, j.minionsDigest
	j.minionsDigest = d.Load.MinionsDigest
	j.stampPriorRuns()
	t.recordSent(d, j)
	t.logEvent(event.EntryJobOffered, slog.String("job", j.offer.Job), slog.String("queue", j.offer.Queue), slog.String("dispatcher", d.Host),
		slog.Int64("load_age_ms", now.Sub(d.LoadAt).Milliseconds()), slog.Int64("free_cpu", d.Load.Free), slog.Int64("queued", d.Load.Queued),
		slog.Int("shard", d.Shard), slog.Int("dispatchers", len(t.dispatchers)), slog.Bool("may_have_run", j.boundToShard))
	t.sendOffer(now, j)
}

// sendOffer sends the current offer, or repeats it, with the times as of now.
func (t *Table) sendOffer(now time.Time, j *openJob) {
	j.sentAt = now
	j.sends++
	o := j.offer
	o.AgeMS = now.Sub(j.arrived).Milliseconds()
	o.RemainingMS = j.deadline.Sub(now).Milliseconds()
	if o.MayHaveRun {
		o.PriorRunsMS = max(0, runEndTimeout-now.Sub(j.unassignedAt)).Milliseconds()
	}
	t.send(j.dispatcher.host, &o)
}

// assign offers a job to the best dispatcher. Without one the job waits; a job that
// is not bound to a shard is answered with unassignedOutcome after takeoverTimeout
// or its latest useful start, whichever is earlier.
func (t *Table) assign(now time.Time, j *openJob) {
	if d := t.chooseDispatcher(now, j); d != nil {
		t.offer(now, j, d)
		return
	}
	if !j.boundToShard && (t.allEvacuated || t.isCutOff(now) || now.Sub(t.waitingSince(j)) >= takeoverTimeout || now.After(j.latestStart())) {
		t.answer(now, j, t.unassignedOutcome(now))
	}
}

// waitingSince returns when the job's wait for its next dispatcher began: when its
// last dispatcher became unavailable or, if later, when any dispatcher was last
// listed. While dispatchers are listed but the job can be offered to none of them,
// the arrival of the job counts instead of the time of the last listing.
func (t *Table) waitingSince(j *openJob) time.Time {
	since := t.lastDispatcherAt
	if len(t.dispatchers) > 0 {
		since = j.arrived
	}
	if j.unassignedAt.After(since) {
		return j.unassignedAt
	}
	return since
}

// unassignedOutcome is the outcome of a job that is not bound to a shard and that no
// dispatcher can be offered.
func (t *Table) unassignedOutcome(now time.Time) Outcome {
	o := Outcome{Outcome: peer.JobRefused, RetryMS: noDispatcherRetry.Milliseconds(), Reason: "no dispatcher is known"}
	switch {
	case t.allEvacuated:
		o.Reason = "every failure domain is evacuated"
	case t.isCutOff(now):
		o.Reason = "only evacuated failure domains can be reached"
	case len(t.dispatchers) > 0:
		o.Reason = "no dispatcher takes further offers"
	}
	return o
}

// takeoverTimeout is how long a job waits for its next dispatcher. The other hosts
// detect an unavailable one within 0.6 s; when all hosts restart, they claim the
// minions within claim.StartupWait. Most jobs pass their latest useful start sooner.
const takeoverTimeout = claim.StartupWait + 200*time.Millisecond

// latestStart returns the latest time at which the job can start and still end
// within peer.LateFactor times its objective, by its declared run times. Later
// answers have almost no value to the caller.
func (j *openJob) latestStart() time.Time {
	criticalPath := peer.CriticalPath(j.offer.Steps, (*peer.TaskStep).DeclaredRunTime)
	objective := peer.Objective(criticalPath, j.offer.StretchPct, j.offer.AddMS)
	if objective <= 0 || peer.LateFactor*objective <= criticalPath {
		return j.deadline // no objective, or one that no dispatcher can attain
	}
	return j.arrived.Add(peer.LateFactor*objective - criticalPath)
}

// noDispatcherRetry is the retry time that callers get when no dispatcher is
// known: a takeover lasts about as long.
const noDispatcherRetry = time.Second

// SetDispatchers replaces the list of dispatchers. A job whose dispatcher is no longer
// in the list is offered to the one that took over the shard, once there is one.
func (t *Table) SetDispatchers(now time.Time, list []Dispatcher) {
	t.dispatchers = list
	t.noteReachable(now)
	clear(t.handedOver)
	for id := range t.sent {
		if !slices.ContainsFunc(list, func(d Dispatcher) bool { return d.id() == id }) {
			delete(t.sent, id)
		}
	}
	if len(list) > 0 {
		t.lastDispatcherAt = now
	}
	for _, j := range t.sortedJobs() {
		if j.dispatcher.host == "" {
			t.assign(now, j)
			continue
		}
		i := slices.IndexFunc(list, func(d Dispatcher) bool { return d.id() == j.dispatcher && d.servesShardOf(j) })
		if i < 0 {
			t.reoffer(now, j, "dispatcher is gone")
			continue
		}
		j.minionsDigest = list[i].Load.MinionsDigest
	}
}

// UpdateLoad updates the load of a dispatcher between two calls of SetDispatchers.
func (t *Table) UpdateLoad(now time.Time, host string, shard int, l peer.PoolLoad) {
	for i := range t.dispatchers {
		if d := &t.dispatchers[i]; d.Host == host && d.Shard == shard {
			d.Load, d.LoadAt = l, now
		}
	}
}

// reoffer unassigns a job from its unavailable dispatcher and offers it to the one
// that took over the shard, if there is one.
func (t *Table) reoffer(now time.Time, j *openJob, reason string) {
	t.logEvent(event.EntryJobReoffered, slog.String("job", j.offer.Job), slog.String("from", j.dispatcher.host), slog.String("reason", reason))
	if j.offer.MayHaveRun && now.Sub(j.unassignedAt) < runEndTimeout {
		j.minionsDigest = 0 // the dispatcher before this one may still run it on minions that are not known
	}
	j.boundToShard = true
	j.prevOffer, j.dispatcher = j.currentOffer(), dispatcherID{}
	j.doubts = append(j.doubts, j.prevOffer)
	j.prevWithdrawnAt = now // a planned hand-over returns the job by itself within that time
	j.lostOffer = j.prevOffer
	t.flight = nil
	j.unassignedAt = now
	t.assign(now, j)
}

// Abandon cancels every open job and answers it as unknown, for a host that was
// suspended or shuts down: callers may have resubmitted to other hosts meanwhile.
func (t *Table) Abandon(now time.Time, reason string) {
	for _, j := range t.sortedJobs() {
		t.cancel(now, j)
		t.answer(now, j, Outcome{Outcome: peer.JobUnknown, Reason: reason})
	}
}

// Tick resends unacknowledged offers and cancellations, and answers jobs whose
// time is up.
func (t *Table) Tick(now time.Time) {
	for _, j := range t.sortedJobs() {
		t.tickJob(now, j)
	}
	for _, c := range t.cancels.due(now) {
		t.sendCancel(now, c)
	}
}

func (t *Table) tickJob(now time.Time, j *openJob) {
	if j.prevOffer.host != "" && now.Sub(j.unassignedAt) >= cancelDelay {
		t.cancelPrevOffer(now, j)
	}
	if j.dispatcher.host == "" && j.boundToShard && now.Sub(j.unassignedAt) >= runEndTimeout {
		j.boundToShard = false
		j.offer.Done = nil
	}
	if !now.Before(j.deadline.Add(-answerMargin)) {
		t.expire(now, j)
		return
	}
	if j.dispatcher.host == "" && !j.boundToShard {
		t.assign(now, j)
		return
	}
	t.tickWithdrawals(now, j)
	if j.dispatcher.host != "" && j.ackedAt.IsZero() && j.withdrawal.sentAt.IsZero() && now.Sub(j.sentAt) >= resendDelay(j.sends) {
		t.sendOffer(now, j)
	}
}

// expire answers a job whose caller's deadline is closer than answerMargin.
func (t *Table) expire(now time.Time, j *openJob) {
	if j.dispatcher.host == "" && !j.boundToShard {
		t.answer(now, j, t.unassignedOutcome(now))
		return
	}
	t.cancel(now, j)
	t.answer(now, j, Outcome{Outcome: peer.JobUnknown, Reason: "deadline passed"})
}

// sortedJobs returns the open jobs by time of arrival.
func (t *Table) sortedJobs() []*openJob {
	out := make([]*openJob, 0, len(t.jobs))
	for _, j := range t.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *openJob) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.offer.Job, b.offer.Job))
	})
	return out
}
