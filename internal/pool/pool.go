package pool

import (
	"log/slog"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/claim"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// Pool is the queue and the minions of one owner.
type Pool struct {
	cfg     Config
	minions map[string]*minion
	ordered []*minion // by ID
	set     uint64    // digest of their IDs
	jobs    map[string]*job
	kinds   map[string]*kind
	order   func(a, b rank) int
	taskCPU float64   // usual thousandths of a processor of a task; 0: not known
	frozen  time.Time // until when there are no new starts: the owner hands over

	answerTime time.Duration // usual time to the answer of a start
	lostAt     time.Time     // when a hold was last found to be lost
	tokens     tokenSource
	serial     uint64
	tookAt     time.Time // when the pool began to take minions over
	ends       map[TaskRef]pastEnd
	ready      Ready
}

// pastEnd is an end that was listed before its job was offered here.
type pastEnd struct {
	at  time.Time
	run int
	how End
}

// New returns a pool without minions.
func New(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, minions: make(map[string]*minion), jobs: make(map[string]*job), kinds: make(map[string]*kind),
		ends: make(map[TaskRef]pastEnd), order: compareRanks,
	}
}

// Ready returns and clears what is to be done.
func (p *Pool) Ready() Ready {
	r := p.ready
	p.ready = Ready{}
	return r
}

// Claim sets the token under which the pool owns its minions. Those that it
// has are held again under the new one.
func (p *Pool) Claim(now time.Time, token uint64) {
	p.tokens.raise(token)
	p.tookAt = now
	p.frozen = time.Time{}
	for _, m := range p.ordered {
		p.renew(now, m)
	}
}

// Token returns the highest token that the pool has used.
func (p *Pool) Token() uint64 { return p.tokens.last }

// MinionSet returns a digest of the minions that may run something of this pool.
// An owner that takes over has heard all of them only if its own is the same.
func (p *Pool) MinionSet() uint64 { return p.set }

// handOver is for how long an owner that is about to hand over starts nothing: the
// next one claims within two ticks. If none does, this one goes on.
const handOver = 100 * time.Millisecond

// Freeze ends new starts for a while, before the minions are handed over.
func (p *Pool) Freeze(now time.Time) { p.frozen = now.Add(handOver) }

// Release gives up all minions and jobs: every job is moved, with the tasks
// that are known to be done.
func (p *Pool) Release(now time.Time) {
	for _, j := range p.sortedJobs() {
		r := peer.JobResult{Outcome: peer.JobMoved, Done: j.done(), Clean: !j.touched, Minions: p.set, Reason: "dispatcher hands over"}
		if j.doubts() {
			r.Minions = 0 // an owner before this one may have others
		}
		p.finish(now, j, r)
	}
	clear(p.minions)
	p.ordered, p.set = nil, 0
	clear(p.ends)
}

// Offer takes a job for an attachment. A job that is here already gets one
// more attachment.
func (p *Pool) Offer(now time.Time, from string, o *peer.JobOffer) {
	a := Attachment{Host: from, Offer: o.Offer}
	if j := p.jobs[o.Job]; j != nil {
		if !slices.Contains(j.attached, a) {
			// A newer offer of the same host replaces its older one.
			j.attached = slices.DeleteFunc(j.attached, func(x Attachment) bool { return x.Host == from })
			j.attached = append(j.attached, a)
		}
		return
	}
	j := p.newJob(now, o)
	j.attached = []Attachment{a}
	if refusal := p.admit(now, j); refusal != nil {
		p.finish(now, j, *refusal)
		return
	}
	p.jobs[j.id] = j
	p.cfg.Note(event.PoolJobTaken, slog.String("job", j.id), slog.String("queue", o.Queue), slog.String("from", from), slog.Int("tasks", len(j.tasks)),
		slog.Int64("age_ms", o.AgeMS), slog.Int64("left_ms", o.LeftMS), slog.Int64("goal_ms", j.goal.Sub(j.arrived).Milliseconds()),
		slog.Int("jobs_here", len(p.jobs)), slog.Int64("free_cpu", p.free(o.Service)), slog.Bool("may_have_run", o.MayHaveRun))
	p.adopt(now, j)
	p.dispatch(now)
}

// Waiting returns the hosts that wait for results, by name.
func (p *Pool) Waiting() []string {
	var out []string
	for _, j := range p.jobs {
		for _, a := range j.attached {
			if !slices.Contains(out, a.Host) {
				out = append(out, a.Host)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Cancel detaches an offer. A job that nobody waits for is stopped.
func (p *Pool) Cancel(now time.Time, from string, c *peer.JobCancel) {
	j := p.jobs[c.Job]
	if j == nil {
		return
	}
	p.detach(now, j, func(a Attachment) bool { return a.Host == from && a.Offer == c.Offer })
}

// HostLost detaches every offer of a host. It is told, in case it lives.
func (p *Pool) HostLost(now time.Time, host string) {
	for _, j := range p.sortedJobs() {
		for _, a := range j.attached {
			if a.Host == host {
				p.ready.Results = append(p.ready.Results, Result{To: host, Body: peer.JobResult{
					Job: j.id, Offer: a.Offer, Outcome: peer.JobUnknown, Reason: "the dispatcher did not hear of the host",
				}})
			}
		}
		p.detach(now, j, func(a Attachment) bool { return a.Host == host })
	}
}

func (p *Pool) detach(now time.Time, j *job, gone func(Attachment) bool) {
	before := len(j.attached)
	j.attached = slices.DeleteFunc(j.attached, gone)
	if len(j.attached) == before || len(j.attached) > 0 {
		return
	}
	p.finish(now, j, peer.JobResult{Outcome: peer.JobUnknown, Reason: "caller is gone"})
	p.dispatch(now)
}

// finish ends a job: results for its attachments, stops for its runs.
func (p *Pool) finish(now time.Time, j *job, r peer.JobResult) {
	delete(p.jobs, j.id)
	r.Job = j.id
	for _, a := range j.attached {
		r.Offer = a.Offer
		p.ready.Results = append(p.ready.Results, Result{To: a.Host, Body: r})
	}
	p.noteEnd(now, j, &r)
	if r.Outcome == peer.JobMoved {
		return // its runs go on under the next owner
	}
	for _, m := range p.ordered {
		for _, x := range m.sortedRuns() {
			if x.task.Job == j.id {
				x.owner = nil
				p.stop(now, m, x)
			}
		}
	}
}

// Tick advances time.
func (p *Pool) Tick(now time.Time) {
	for _, m := range slices.Clone(p.ordered) { // minions that have left are dropped meanwhile
		p.tickMinion(now, m)
	}
	for _, j := range p.sortedJobs() {
		p.tickJob(now, j)
	}
	p.shed(now)
	for ref, e := range p.ends {
		if now.Sub(e.at) > keepEnds {
			delete(p.ends, ref)
		}
	}
	p.dispatch(now)
}

// keepEnds is how long an end without a job is remembered: an entry host
// offers its jobs to a new owner within a second.
const keepEnds = 2 * time.Second

func (p *Pool) sortedJobs() []*job {
	out := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, byArrival)
	return out
}

// Jobs returns how many jobs are in progress.
func (p *Pool) Jobs() int { return len(p.jobs) }

// CountWaiting adds the jobs that wait for their first start, by queue.
func (p *Pool) CountWaiting(byQueue map[string]int) {
	for _, j := range p.jobs {
		if !j.touched {
			byQueue[j.offer.Queue]++
		}
	}
}

// tokenSource gives rising fencing tokens.
type tokenSource struct{ last uint64 }

func (t *tokenSource) raise(to uint64) { t.last = max(t.last, to) }

func (t *tokenSource) next() uint64 {
	t.last = claim.NextToken(t.last)
	return t.last
}
