package entry

import (
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// crossDomainPenalty is added to the estimated delay of dispatchers in other
// failure domains: a job's messages then cross the domain boundary twice, and
// traffic between failure domains is expensive.
const crossDomainPenalty = 15 * time.Millisecond

// sentLoad sums up the jobs offered to a dispatcher since its last load report.
type sentLoad struct {
	loadAt time.Time // when that report was received
	cpu    int64     // thousandths of a processor
	work   int64     // thousandths of a processor times milliseconds
}

// recordSent adds a job to what was offered since the dispatcher's last load report.
func (t *Table) recordSent(d *Dispatcher, j *openJob) {
	s := t.sent[d.id()]
	if s == nil {
		s = &sentLoad{}
		t.sent[d.id()] = s
	}
	if !s.loadAt.Equal(d.LoadAt) {
		*s = sentLoad{loadAt: d.LoadAt}
	}
	cpu, work := demand(&j.offer)
	s.cpu = peer.AddWork(s.cpu, cpu)
	s.work = peer.AddWork(s.work, work)
}

// demand returns the most CPU that a step of the job uses at once, in thousandths
// of a processor, and the work of all steps, in thousandths of a processor times
// milliseconds.
func demand(o *peer.JobOffer) (cpu, work int64) {
	for i := range o.Steps {
		s := &o.Steps[i]
		cpu = max(cpu, int64(s.Count)*s.CPU)
		work = peer.AddWork(work, peer.Work(int64(s.Count)*s.CPU, s.EstimateMS))
	}
	return cpu, work
}

// chooseDispatcher returns the dispatcher with the shortest estimated delay, or
// nil if the job can be offered to none. Thus jobs spill over to other failure
// domains and shards when the load exceeds the capacity of one; a job moves as a
// whole, so that all its tasks stay with one dispatcher. Among several dispatchers
// without delay one is drawn at random, weighted by free CPU: if all hosts chose
// the best one, they would overload it. A dispatcher that does not acknowledge offers in
// time gets no further ones (see flow.go). An overloaded one is chosen only if all are; it
// refuses what it can't handle, and others like it are not tried after that.
func (t *Table) chooseDispatcher(now time.Time, j *openJob) *Dispatcher {
	unacked := t.unacked()
	var best *Dispatcher
	var bestDelay time.Duration
	var totalFree float64
	for i := range t.dispatchers {
		d := &t.dispatchers[i]
		if slices.Contains(j.refusedBy, d.id()) || t.handedOver[d.id()] {
			continue
		}
		if !d.takes(j) {
			continue
		}
		if !t.takesJob(d, j) {
			continue
		}
		flight := unacked[d.id()]
		if !j.boundToShard && flight.isFull(now) {
			continue
		}
		delay := t.estimateDelay(d, j) + flight.delay(now)
		if d.FailureDomain != t.domain {
			delay += crossDomainPenalty
		}
		switch free := t.freeCPU(d); {
		case best != nil && best.isAvoided() != d.isAvoided():
			if best.isAvoided() {
				best, bestDelay, totalFree = d, delay, free
			}
		case delay == 0 && bestDelay == 0 && best != nil:
			totalFree += free
			if t.rng.Float64()*totalFree < free {
				best = d
			}
		case best == nil || delay < bestDelay:
			best, bestDelay, totalFree = d, delay, free
		}
	}
	return best
}

// isAvoided reports whether the dispatcher is chosen only if there is no other: its host is
// overloaded, or none of its minions accepts work.
func (d *Dispatcher) isAvoided() bool { return d.Load.Overloaded || d.Load.Capacity <= 0 }

// freeCPU returns the dispatcher's free CPU in thousandths of a processor, without
// what was offered to it since its last load report; at least 1.
func (t *Table) freeCPU(d *Dispatcher) float64 {
	free := d.Load.Free
	if s := t.sent[d.id()]; s != nil && s.loadAt.Equal(d.LoadAt) {
		free -= s.cpu
	}
	return float64(max(1, free))
}

// estimateDelay estimates how long the job would be queued at the dispatcher until
// its last task starts.
func (t *Table) estimateDelay(d *Dispatcher, j *openJob) time.Duration {
	if d.Load.Capacity <= 0 {
		return time.Hour // none of its minions accepts work
	}
	free, queued := d.Load.Free, d.Load.Queued
	if s := t.sent[d.id()]; s != nil && s.loadAt.Equal(d.LoadAt) {
		free -= s.cpu
		queued = peer.AddWork(queued, scale(s.work, max(0, -free), max(1, s.cpu)))
	}
	cpu, work := demand(&j.offer)
	if queued == 0 && free >= cpu {
		return 0
	}
	// The tasks that exceed the free CPU wait for the queued work and for each
	// other.
	missing := max(0, cpu-max(0, free))
	ms := peer.AddWork(queued, scale(work, missing, max(1, cpu))) / d.Load.Capacity
	return time.Duration(min(ms, peer.MaxTimeMS)) * time.Millisecond
}

// scale returns work*part/whole, at most peer.MaxWork. The product alone can exceed the
// range of an int64.
func scale(work, part, whole int64) int64 {
	return int64(min(peer.MaxWork, float64(work)*float64(part)/float64(whole)))
}
