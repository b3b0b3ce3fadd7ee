package pool

import (
	"log/slog"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/interference"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// Pool holds the queue and the minions of one owner.
type Pool struct {
	cfg           Config
	minions       map[string]*minion     // by ID
	ordered       []*minion              // the same, sorted by ID
	minionDigest  uint64                 // XOR of the hashes of the minions' IDs
	jobs          map[string]*job        // by ID
	queueStats    map[string]*queueStats // by queue name
	compare       func(a, b rank) int    // order of service: compareRanks, unless a test replaces it
	meanTaskCPU   float64                // moving average of a task's demand, in thousandths of a processor; 0: unknown
	noStartsUntil time.Time              // no new starts before this time: the owner hands over
	evacuation    evacuation
	speeds        speeds
	heldBack      int // steps that waited for a faster minion than the best free one, at the last dispatch
	interference  interference.Learner

	meanStartLatency time.Duration // moving average of the time until a start is answered
	pollLostAt       time.Time     // when a poll was last counted as lost
	tokens           tokenSource
	pollSerial       uint64               // serial number of the newest poll
	uncertainOfferAt time.Time            // when the newest job with uncertain tasks was offered, at the last tick
	claimedAt        time.Time            // when the pool last claimed its minions
	takingOver       bool                 // not every minion has had the time to answer since then (takeoverComplete), at the last tick
	earlyEnds        map[TaskRef]earlyEnd // kept for earlyEndTTL
	ready            Ready
}

// earlyEnd is the end of a run that a minion listed before the run's job was
// offered to this owner.
type earlyEnd struct {
	listedAt time.Time
	run      int
	how      End
}

// New returns a pool without minions.
func New(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, minions: make(map[string]*minion), jobs: make(map[string]*job), queueStats: make(map[string]*queueStats),
		earlyEnds: make(map[TaskRef]earlyEnd), compare: compareRanks,
	}
}

// Ready returns the pending orders and results, and clears them.
func (p *Pool) Ready() Ready {
	r := p.ready
	p.ready = Ready{}
	return r
}

// Claim sets the token under which the pool owns its minions. It gives each minion
// that the pool already has a newer token and polls it.
func (p *Pool) Claim(now time.Time, token uint64) {
	p.tokens.raise(token)
	p.claimedAt = now
	p.takingOver = true
	p.noStartsUntil = time.Time{}
	for _, m := range p.ordered {
		p.raiseToken(now, m)
	}
}

// Token returns the highest token that the pool has used.
func (p *Pool) Token() uint64 { return p.tokens.last }

// MinionDigest returns a digest of the minions that may run tasks of this pool. An
// owner that takes over knows all of these minions only if its own digest is
// equal.
func (p *Pool) MinionDigest() uint64 { return p.minionDigest }

// handOverPause is how long an owner starts no tasks before it hands over its
// minions. The next owner claims them within two ticks; if no host does, this
// owner resumes.
const handOverPause = 100 * time.Millisecond

// PauseStarts pauses new starts for handOverPause, before the minions are handed over.
func (p *Pool) PauseStarts(now time.Time) { p.noStartsUntil = now.Add(handOverPause) }

// Release drops all minions and jobs. Each job gets the outcome JobMoved, with the
// tasks that are known to be done.
func (p *Pool) Release(now time.Time) {
	for _, j := range p.sortedJobs() {
		r := peer.JobResult{Outcome: peer.JobMoved, Done: j.doneTasks(), NotStarted: !j.mayHaveStarted, NotStartedHere: !j.startedHere, MinionsDigest: p.minionDigest, Reason: "dispatcher hands over"}
		if j.hasUncertainTasks() {
			r.MinionsDigest = 0 // an earlier owner may have run tasks on minions unknown here
		}
		r.Runs, r.RunsKnown = p.possibleRuns(j)
		p.finish(now, j, r)
	}
	clear(p.minions)
	p.ordered, p.minionDigest = nil, 0
	clear(p.earlyEnds)
}

// Offer handles a job offer from the host named from: it adds the job to the queue or
// refuses it. If the pool already has the job, the host is added to those that wait for
// its result. A copy of an offer whose result is pending in Ready is ignored.
func (p *Pool) Offer(now time.Time, from string, o *peer.JobOffer) {
	if p.resultPending(from, o.Job, o.Offer) {
		return
	}
	ref := OfferRef{Host: from, Offer: o.Offer}
	if j := p.jobs[o.Job]; j != nil {
		if !slices.Contains(j.waiters, ref) {
			// A newer offer from the same host replaces its older one.
			j.waiters = slices.DeleteFunc(j.waiters, func(x OfferRef) bool { return x.Host == from })
			j.waiters = append(j.waiters, ref)
		}
		return
	}
	j := p.newJob(now, o)
	j.waiters = []OfferRef{ref}
	if p.returnUnstarted(now, j, o.MayHaveRun) {
		return
	}
	if refusal := p.admit(now, j); refusal != nil {
		p.finish(now, j, *refusal)
		return
	}
	p.jobs[j.id] = j
	p.cfg.Log(event.PoolJobQueued, slog.String("job", j.id), slog.String("queue", o.Queue), slog.String("from", from), slog.Int("tasks", len(j.tasks)),
		slog.Int64("age_ms", o.AgeMS), slog.Int64("left_ms", o.RemainingMS), slog.Int64("goal_ms", j.objective.Sub(j.arrived).Milliseconds()),
		slog.Int("jobs_here", len(p.jobs)), slog.Int64("free_cpu", p.freeCPU(o.Service)), slog.Bool("may_have_run", o.MayHaveRun))
	p.adopt(now, j)
	p.dispatch(now)
}

// HasOffer reports whether the pool has the job of an offer, with that offer among those
// that wait for its result, or is about to return the offer's result.
func (p *Pool) HasOffer(from, job string, offer uint64) bool {
	j := p.jobs[job]
	return j != nil && slices.Contains(j.waiters, OfferRef{Host: from, Offer: offer}) || p.resultPending(from, job, offer)
}

// OfferNotStarted reports whether the pool has the job of an offer, for no other offer, and
// neither started a task of it nor has seen a run of it.
func (p *Pool) OfferNotStarted(from, job string, offer uint64) bool {
	j := p.jobs[job]
	return j != nil && !j.startedHere && len(j.waiters) == 1 && j.waiters[0] == OfferRef{Host: from, Offer: offer}
}

// resultPending reports whether Ready is going to return the offer's result.
func (p *Pool) resultPending(from, job string, offer uint64) bool {
	return slices.ContainsFunc(p.ready.Results, func(r Result) bool {
		return r.To == from && r.Body.Job == job && r.Body.Offer == offer
	})
}

// WaitingHosts returns the names of the hosts that wait for results, sorted.
func (p *Pool) WaitingHosts() []string {
	var out []string
	for _, j := range p.jobs {
		for _, w := range j.waiters {
			if !slices.Contains(out, w.Host) {
				out = append(out, w.Host)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Cancel withdraws an offer. A job without any remaining offer is stopped.
func (p *Pool) Cancel(now time.Time, from string, c *peer.JobCancel) {
	j := p.jobs[c.Job]
	if j == nil {
		return
	}
	p.detach(now, j, func(w OfferRef) bool { return w.Host == from && w.Offer == c.Offer })
}

// DetachHost withdraws every offer of an unreachable or restarted host. It sends
// the host a JobUnknown result for each, in case the host is still running.
func (p *Pool) DetachHost(now time.Time, host string) {
	for _, j := range p.sortedJobs() {
		for _, w := range j.waiters {
			if w.Host == host {
				p.ready.Results = append(p.ready.Results, Result{To: host, Body: peer.JobResult{
					Job: j.id, Offer: w.Offer, Outcome: peer.JobUnknown, NotStartedHere: p.OfferNotStarted(host, j.id, w.Offer), Reason: "the dispatcher did not hear of the host",
				}})
			}
		}
		p.detach(now, j, func(w OfferRef) bool { return w.Host == host })
	}
}

// detach removes the job's offers that match, and ends the job if none is left.
func (p *Pool) detach(now time.Time, j *job, match func(OfferRef) bool) {
	before := len(j.waiters)
	j.waiters = slices.DeleteFunc(j.waiters, match)
	if len(j.waiters) == before || len(j.waiters) > 0 {
		return
	}
	p.finish(now, j, peer.JobResult{Outcome: peer.JobUnknown, Reason: "caller is gone"})
	p.dispatch(now)
}

// finish removes a job. It sends the result to every host that waits for it and,
// unless the job moves to another owner, stops the job's runs.
func (p *Pool) finish(now time.Time, j *job, r peer.JobResult) {
	delete(p.jobs, j.id)
	r.Job = j.id
	for _, w := range j.waiters {
		r.Offer = w.Offer
		p.ready.Results = append(p.ready.Results, Result{To: w.Host, Body: r})
	}
	p.logJobEnd(now, j, &r)
	if r.Outcome == peer.JobMoved {
		return // the next owner adopts its runs
	}
	for _, m := range p.ordered {
		for _, x := range m.sortedRuns() {
			if x.task.Job == j.id {
				x.job = nil
				p.stop(now, m, x)
			}
		}
	}
}

// Tick advances time: it polls minions, repeats stops, ends runs whose lease has
// expired and jobs that cannot be served in time, and starts tasks. The caller calls
// it at a fixed interval.
func (p *Pool) Tick(now time.Time) {
	p.uncertainOfferAt = p.newestUncertainOffer()
	p.takingOver = p.takingOver && !p.takeoverComplete(now)
	p.speeds.count(p.ordered)
	for _, m := range slices.Clone(p.ordered) { // tickMinion removes minions that have left from p.ordered
		p.tickMinion(now, m)
	}
	p.resolveUncertainTasks(now)
	for _, j := range p.sortedJobs() {
		p.tickJob(now, j)
	}
	p.refuseLateJobs(now)
	p.returnEndedJobs(now)
	for ref, e := range p.earlyEnds {
		if now.Sub(e.listedAt) > earlyEndTTL {
			delete(p.earlyEnds, ref)
		}
	}
	p.dispatch(now)
}

// earlyEndTTL is how long the end of a run without a known job is kept: entry
// hosts offer their jobs to a new owner within a second.
const earlyEndTTL = 2 * time.Second

// sortedJobs returns the jobs by arrival.
func (p *Pool) sortedJobs() []*job {
	out := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, byArrival)
	return out
}

// JobCount returns the number of jobs that are queued or running.
func (p *Pool) JobCount() int { return len(p.jobs) }

// MinionCount returns the number of minions.
func (p *Pool) MinionCount() int { return len(p.ordered) }

// CountWaiting adds the number of jobs that wait for their first start to
// byQueue, by queue name.
func (p *Pool) CountWaiting(byQueue map[string]int) {
	for _, j := range p.jobs {
		if !j.mayHaveStarted {
			byQueue[j.offer.Queue]++
		}
	}
}

// tokenSource issues increasing fencing tokens.
type tokenSource struct{ last uint64 }

// raise makes later tokens higher than the given one.
func (t *tokenSource) raise(to uint64) { t.last = max(t.last, to) }

// next returns a token higher than all before it.
func (t *tokenSource) next() uint64 {
	t.last = claim.NextToken(t.last)
	return t.last
}
