package entry

import (
	"slices"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
)

// awayCost is by how much another failure domain's dispatcher must be expected
// to end a job sooner: its messages cross zones twice, and bytes between zones
// are dear.
const awayCost = 15 * time.Millisecond

// sentWork is what was offered to a dispatcher since it told its load.
type sentWork struct {
	loadAt time.Time
	cpu    int64 // thousandths of a processor
	work   int64 // the same times milliseconds
}

// count adds a job to what was sent since the dispatcher's last load.
func (t *Table) count(d *Dispatcher, j *open) {
	s := t.sent[d.place()]
	if s == nil {
		s = &sentWork{}
		t.sent[d.place()] = s
	}
	if !s.loadAt.Equal(d.LoadAt) {
		*s = sentWork{loadAt: d.LoadAt}
	}
	cpu, work := need(&j.offer)
	s.cpu += cpu
	s.work += work
}

// need returns the processors, in thousandths, that a job uses at once, and its
// work in that unit times milliseconds.
func need(o *peer.JobOffer) (cpu, work int64) {
	for i := range o.Steps {
		s := &o.Steps[i]
		cpu = max(cpu, int64(s.Count)*s.CPU)
		work += int64(s.Count) * s.CPU * s.EstimateMS
	}
	return cpu, work
}

// choose returns the dispatcher that is expected to start all of the job the
// soonest, or nil. It answers loads that exceed what one failure domain, or one
// shard, can carry while others have room: whole jobs move, so that a job's
// tasks stay with one dispatcher. Of several with room one is drawn, by their
// room: hosts that all chose the best would meet there.
func (t *Table) choose(j *open) *Dispatcher {
	var best *Dispatcher
	var bestDelay time.Duration
	var room float64
	for i := range t.dispatchers {
		d := &t.dispatchers[i]
		if slices.Contains(j.refused, d.place()) || t.moved[d.place()] {
			continue
		}
		if j.tied && !d.serves(j) {
			continue
		}
		delay := t.delay(d, j)
		if d.FailureDomain != t.domain {
			delay += awayCost
		}
		switch free := t.room(d); {
		case delay == 0 && bestDelay == 0 && best != nil:
			room += free
			if t.rng.Float64()*room < free {
				best = d
			}
		case best == nil || delay < bestDelay:
			best, bestDelay, room = d, delay, free
		}
	}
	return best
}

// room returns the processors that are free with a dispatcher.
func (t *Table) room(d *Dispatcher) float64 {
	free := d.Load.Free
	if s := t.sent[d.place()]; s != nil && s.loadAt.Equal(d.LoadAt) {
		free -= s.cpu
	}
	return float64(max(1, free))
}

// delay estimates how long the job waits with the dispatcher until its last
// task starts.
func (t *Table) delay(d *Dispatcher, j *open) time.Duration {
	if d.Load.Capacity <= 0 {
		return time.Hour // it knows no minions that take work
	}
	free, queued := d.Load.Free, d.Load.Queued
	if s := t.sent[d.place()]; s != nil && s.loadAt.Equal(d.LoadAt) {
		free -= s.cpu
		queued += max(0, s.work*max(0, -free)/max(1, s.cpu))
	}
	cpu, work := need(&j.offer)
	if queued == 0 && free >= cpu {
		return 0
	}
	// The share of the job that finds no room waits for the work before it and
	// for itself.
	missing := max(0, cpu-max(0, free))
	return time.Duration((queued+work*missing/max(1, cpu))/d.Load.Capacity) * time.Millisecond
}
