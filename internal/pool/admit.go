package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

const (
	// answerTime is what a result needs from its last task to the caller.
	answerTime = 10 * time.Millisecond
	// minRetry is the shortest time after which a refused caller is told to
	// come back: a queue shorter than that admits jobs again by then.
	minRetry = 200 * time.Millisecond
)

// admit decides whether a new job is taken. It refuses what the backlog keeps
// from ending while an answer is of use, and fails what no minion can ever run.
func (p *Pool) admit(now time.Time, j *job) *peer.JobResult {
	if len(j.tasks) == 0 {
		return &peer.JobResult{Outcome: peer.JobComplete}
	}
	if j.offer.MayHaveRun {
		return nil
	}
	if reason := p.neverFits(j); reason != "" {
		return &peer.JobResult{Outcome: peer.JobFailed, Reason: reason}
	}
	capacity := p.capacity(j.offer.Service)
	if capacity == 0 && !p.settled(now) && len(p.ordered) > 0 {
		return nil // the minions have not answered yet since they were taken over
	}
	if capacity == 0 {
		return &peer.JobResult{Outcome: peer.JobRefused, RetryMS: minRetry.Milliseconds(), Reason: "no minion takes work"}
	}
	delay := p.delay(now, j, capacity)
	if now.Add(delay + j.chain() + answerTime).After(j.useful()) {
		return &peer.JobResult{Outcome: peer.JobRefused, RetryMS: max(minRetry, delay).Milliseconds(), Reason: "the backlog is longer than an answer is of use"}
	}
	return nil
}

// neverFits returns why no minion of the service could run a step, or "".
func (p *Pool) neverFits(j *job) string {
	for i := range j.offer.Steps {
		s := &j.offer.Steps[i]
		fits, known := false, false
		for _, m := range p.ordered {
			if m.Service != j.offer.Service {
				continue
			}
			known = true
			fits = fits || m.couldRun(s)
		}
		if known && !fits {
			return "no minion is large enough, or has the label"
		}
	}
	return ""
}

// capacity returns the processors, in thousandths, of a service's minions that
// take work.
func (p *Pool) capacity(service string) int64 {
	var sum int64
	for _, m := range p.ordered {
		if m.Service == service && m.takesWork() {
			sum += m.CPU
		}
	}
	return sum
}

// delay estimates how long the job waits until its last task starts: the work
// that goes before it, over the capacity that is left by jobs that will still
// arrive and go before it too.
func (p *Pool) delay(now time.Time, j *job, capacity int64) time.Duration {
	own := p.rankOf(now, j)
	var ahead int64
	for _, o := range p.jobs {
		if o != j && o.offer.Service == j.offer.Service && o.waits() && p.order(p.rankOf(now, o), own) < 0 {
			ahead += o.work()
		}
	}
	return p.wait(own, ahead, capacity)
}

// wait returns the delay of a job behind the given work.
func (p *Pool) wait(own rank, ahead, capacity int64) time.Duration {
	ahead += own.job.work() - p.free(own.job.offer.Service)*own.job.chain().Milliseconds()
	if ahead <= 0 {
		return 0
	}
	left := max(minLeft, 1-p.preempting(own, capacity))
	return time.Duration(float64(ahead)/(left*float64(capacity))) * time.Millisecond
}

// shed refuses jobs of which nothing has run and that, by the backlog as it is
// now, will end too late: their callers need not wait for it.
func (p *Pool) shed(now time.Time) {
	ahead := make(map[string]int64)
	for _, r := range p.queue(now) {
		service := r.job.offer.Service
		if capacity := p.capacity(service); !r.job.touched && capacity > 0 {
			if wait := p.wait(r, ahead[service], capacity); now.Add(wait + r.job.chain() + answerTime).After(r.job.useful()) {
				p.finish(now, r.job, peer.JobResult{
					Outcome: peer.JobRefused, RetryMS: max(minRetry, wait).Milliseconds(), Reason: "the backlog has become longer than an answer is of use",
				})
				continue
			}
		}
		ahead[service] += r.job.work()
	}
}

// minLeft bounds the share of the capacity that is taken for left to a job:
// the load may fall again.
const minLeft = 0.1

// preempting returns the share of the capacity that jobs of the kinds that
// usually go before this one need.
func (p *Pool) preempting(own rank, capacity int64) float64 {
	var work float64
	for _, name := range slices.Sorted(maps.Keys(p.kinds)) { // the sum must not depend on the order
		k := p.kinds[name]
		if k == own.job.kind || k.meanWork <= 0 || worthInTime/(k.rate*k.meanWork) <= own.value {
			continue
		}
		work += k.rate * k.meanWork / 1000
	}
	return work / float64(capacity)
}

// expire returns the result of a job that can no longer end in time, or nil.
func (p *Pool) expire(now time.Time, j *job) *peer.JobResult {
	if !j.touched {
		if now.Add(j.chain() + answerTime).Before(j.useful()) {
			return nil
		}
		return &peer.JobResult{Outcome: peer.JobRefused, RetryMS: minRetry.Milliseconds(), Reason: "the queue did not empty while an answer was of use"}
	}
	if now.Before(j.deadline) {
		return nil
	}
	return &peer.JobResult{Outcome: peer.JobUnknown, Reason: "deadline passed"}
}

// Load returns the state that other hosts choose by.
func (p *Pool) Load() peer.PoolLoad {
	l := peer.PoolLoad{Minions: p.set}
	for _, m := range p.ordered {
		if m.takesWork() {
			l.Capacity += m.CPU
			l.Free += p.usable(m)
		}
	}
	for _, j := range p.jobs {
		l.Queued += j.work()
	}
	return l
}

// usable returns the processors, in thousandths, that are free on a minion in
// pieces that a usual task fits into.
func (p *Pool) usable(m *minion) int64 {
	free := m.CPU - m.usedCPU
	if p.taskCPU <= 0 {
		return max(0, free)
	}
	unit := int64(p.taskCPU)
	return max(0, free/unit*unit)
}

// free returns the usable processors, in thousandths, of a service's minions.
func (p *Pool) free(service string) int64 {
	var sum int64
	for _, m := range p.ordered {
		if m.Service == service && m.takesWork() {
			sum += p.usable(m)
		}
	}
	return sum
}
