package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// resultDelay is the time from the end of a job's last task until its caller
	// has the result.
	resultDelay = 10 * time.Millisecond
	// minRetry is the shortest retry time that a refused caller is given: a
	// backlog shorter than that has been worked off by then.
	minRetry = 200 * time.Millisecond
)

// admit returns nil if a new job is to be added to the queue, and the job's result
// otherwise. It refuses a job that, behind the current backlog, would end after
// job.usefulUntil, and fails a job that no minion can ever run. A job that may have
// run, or of which tasks are done, is always added.
func (p *Pool) admit(now time.Time, j *job) *peer.JobResult {
	if len(j.tasks) == 0 {
		return &peer.JobResult{Outcome: peer.JobComplete}
	}
	if j.mayHaveStarted {
		return nil
	}
	if reason := p.unplaceableReason(j); reason != "" {
		return &peer.JobResult{Outcome: peer.JobFailed, Reason: reason}
	}
	capacity := p.serviceCapacity(j.offer.Service)
	if capacity == 0 && !p.takeoverComplete(now) && len(p.ordered) > 0 {
		return nil // not every minion has answered since the takeover
	}
	if capacity == 0 {
		return &peer.JobResult{Outcome: peer.JobRefused, RetryMS: minRetry.Milliseconds(), Reason: "no minion takes work"}
	}
	delay := p.queueDelay(now, j, capacity)
	if now.Add(delay + j.criticalPath() + resultDelay).After(j.usefulUntil()) {
		return &peer.JobResult{Outcome: peer.JobRefused, RetryMS: max(minRetry, delay).Milliseconds(), Reason: "the backlog is longer than an answer is of use"}
	}
	return nil
}

// unplaceableReason returns why no minion of the service can ever run one of the
// job's steps. It returns "" if each step fits on a minion, or if no minion of the
// service is known.
func (p *Pool) unplaceableReason(j *job) string {
	for i := range j.offer.Steps {
		s := &j.offer.Steps[i]
		fits, known := false, false
		for _, m := range p.ordered {
			if m.Service != j.offer.Service {
				continue
			}
			known = true
			fits = fits || m.fitsWhenEmpty(s)
		}
		if known && !fits {
			return "no minion is large enough, or has the label"
		}
	}
	return ""
}

// countsAsLoad reports whether a new job says something about the load to come. One that
// no minion can run, or that can't end by its deadline however soon it starts, takes no
// capacity, and its numbers may be arbitrarily large: in the averages it would delay the
// jobs that can run.
func (p *Pool) countsAsLoad(j *job) bool {
	return p.unplaceableReason(j) == "" && !j.arrived.Add(j.criticalPath()).After(j.deadline)
}

// countsAsCapacity reports whether queue delays and load reports count on the minion: it
// accepts work or, just after a claim, it has not had the time to answer. The load that
// the second part answers is that of a takeover: the jobs that waited for it arrive before
// the first listings, and would be refused or sent elsewhere for the lack of minions that
// are about to answer.
func (p *Pool) countsAsCapacity(m *minion) bool {
	return m.acceptsWork() || p.takingOver && m.awaited()
}

// awaited reports whether the minion can be expected to answer its first poll.
func (m *minion) awaited() bool {
	return !m.listed && m.failedPolls == 0 && !m.Draining && !m.Left && !m.replaced && !m.health.ejected && m.capacityKnown()
}

// serviceCapacity returns the processors, in thousandths, of the service's minions
// that count as capacity.
func (p *Pool) serviceCapacity(service string) int64 {
	var sum int64
	for _, m := range p.ordered {
		if m.Service == service && p.countsAsCapacity(m) {
			sum += p.warmCPU(m)
		}
	}
	return sum
}

// queueDelay estimates how long the job waits until its last task starts: the work
// that is ranked ahead of it, divided by the capacity that remains after jobs that
// arrive later and overtake it.
func (p *Pool) queueDelay(now time.Time, j *job, capacity int64) time.Duration {
	own := p.rankOf(now, j)
	var ahead int64
	for _, o := range p.jobs {
		if o != j && o.offer.Service == j.offer.Service && o.hasWaitingTasks() && p.compare(p.rankOf(now, o), own) < 0 {
			ahead = peer.AddWork(ahead, o.waitingWork())
		}
	}
	return p.delayBehind(own, ahead, capacity, p.freeCPU(j.offer.Service))
}

// delayBehind returns the expected delay of a job behind the given work, which is in
// the unit of waitingWork. free is the result of freeCPU.
func (p *Pool) delayBehind(own rank, ahead, capacity, free int64) time.Duration {
	ahead += own.job.waitingWork() - peer.Work(free, own.job.criticalPath().Milliseconds())
	if ahead <= 0 {
		return 0
	}
	share := max(minCapacityShare, 1-p.overtakingShare(own, capacity))
	return time.Duration(min(float64(ahead)/(share*float64(capacity)), peer.MaxTimeMS)) * time.Millisecond
}

// refuseLateJobs refuses the jobs that have not started and that, behind the current
// backlog, would end after job.usefulUntil, so that their callers need not wait.
func (p *Pool) refuseLateJobs(now time.Time) {
	byService := make(map[string]*backlog)
	for _, r := range p.waitingJobs(now) {
		b := byService[r.job.offer.Service]
		if b == nil {
			b = &backlog{capacity: p.serviceCapacity(r.job.offer.Service), free: p.freeCPU(r.job.offer.Service)}
			byService[r.job.offer.Service] = b
		}
		if !r.job.mayHaveStarted && b.capacity > 0 {
			if wait := p.delayBehind(r, b.ahead, b.capacity, b.free); now.Add(wait + r.job.criticalPath() + resultDelay).After(r.job.usefulUntil()) {
				p.finish(now, r.job, peer.JobResult{
					Outcome: peer.JobRefused, RetryMS: max(minRetry, wait).Milliseconds(), Reason: "the backlog has become longer than an answer is of use",
				})
				continue
			}
		}
		b.ahead = peer.AddWork(b.ahead, r.job.waitingWork())
	}
}

// backlog is the work that waits for the minions of a service, in the unit of waitingWork,
// and their processors.
type backlog struct{ ahead, capacity, free int64 }

// minCapacityShare is the smallest share of the capacity that a job is assumed to
// get, however many jobs overtake it: the load may fall again.
const minCapacityShare = 0.1

// overtakingShare returns the share of the capacity that will be needed by jobs that
// have yet to arrive in the queues whose jobs usually rank ahead of this one.
func (p *Pool) overtakingShare(own rank, capacity int64) float64 {
	var work float64
	for _, name := range slices.Sorted(maps.Keys(p.queueStats)) { // sorted: a float sum depends on the order of its terms
		q := p.queueStats[name]
		if q == own.job.stats || q.meanWork <= 0 || valueBeforeObjective/(q.jobsPerSecond*q.meanWork) <= own.valueDensity {
			continue
		}
		work += q.jobsPerSecond * q.meanWork / 1000
	}
	return work / float64(capacity)
}

// expiryResult returns the result of a job that can no longer be served, or nil: a
// job that has not started is refused when it can no longer end by
// job.usefulUntil, and one that may have started ends with JobUnknown at its deadline.
func (p *Pool) expiryResult(now time.Time, j *job) *peer.JobResult {
	if !j.mayHaveStarted {
		if now.Add(j.criticalPath() + resultDelay).Before(j.usefulUntil()) {
			return nil
		}
		return &peer.JobResult{Outcome: peer.JobRefused, RetryMS: minRetry.Milliseconds(), Reason: "the queue did not empty while an answer was of use"}
	}
	if now.Before(j.deadline) {
		return nil
	}
	return &peer.JobResult{Outcome: peer.JobUnknown, Reason: "deadline passed"}
}

// Load returns the pool's capacity and backlog, by which entry hosts choose
// where to offer their jobs.
func (p *Pool) Load() peer.PoolLoad {
	l := peer.PoolLoad{MinionsDigest: p.minionDigest}
	if p.evacuation.active {
		return l
	}
	for _, m := range p.ordered {
		if p.countsAsCapacity(m) {
			l.Capacity += p.warmCPU(m)
			l.Free += p.usableCPU(m)
		}
	}
	for _, j := range p.jobs {
		l.Queued = peer.AddWork(l.Queued, j.waitingWork())
	}
	return l
}

// usableCPU returns the free processors of a minion, in thousandths, rounded down to
// a multiple of an average task's size. The average approaches 0 while tasks arrive that
// request accelerators or memory only.
func (p *Pool) usableCPU(m *minion) int64 {
	free := p.warmCPU(m) - m.usedCPU
	unit := max(1, int64(p.meanTaskCPU))
	return max(0, free/unit*unit)
}

// freeCPU returns the usable processors, in thousandths, of the service's minions
// that count as capacity.
func (p *Pool) freeCPU(service string) int64 {
	var sum int64
	for _, m := range p.ordered {
		if m.Service == service && p.countsAsCapacity(m) {
			sum += p.usableCPU(m)
		}
	}
	return sum
}
