package pool

import (
	"log/slog"
	"math"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/interference"
)

// This file tells the learner of package interference which queues' tasks ran beside a
// run. The load that it answers has queues whose tasks slow each other down on a minion.

// presence says since when and for how long a queue has had runs on a minion.
type presence struct {
	queue string
	runs  int
	any   time.Duration // total time with a run
	two   time.Duration // total time with two or more runs
}

// neighbours holds the presence of all queues on a minion. A run keeps a copy of it from
// its start, so that the difference at its end is what ran beside it.
type neighbours struct {
	queues []presence
	at     time.Time // up to which the times are counted
}

// advance counts the time until now.
func (n *neighbours) advance(now time.Time) {
	passed := now.Sub(n.at)
	n.at = now
	for i := range n.queues {
		q := &n.queues[i]
		if q.runs >= 1 {
			q.any += passed
		}
		if q.runs >= 2 {
			q.two += passed
		}
	}
}

// change adds delta to the number of the queue's runs.
func (n *neighbours) change(now time.Time, queue string, delta int) {
	n.advance(now)
	for i := range n.queues {
		if n.queues[i].queue == queue {
			n.queues[i].runs += delta
			return
		}
	}
	n.queues = append(n.queues, presence{queue: queue, runs: delta})
}

// beside returns the shares of the time since then in which other runs were present, for
// a run of the queue that started then and still counts as present.
func (n *neighbours) beside(queue string, then *neighbours) []interference.Neighbour {
	took := n.at.Sub(then.at)
	if took <= 0 {
		return nil
	}
	var out []interference.Neighbour
	for i := range n.queues {
		present := n.queues[i].other(queue)
		if i < len(then.queues) {
			present -= then.queues[i].other(queue)
		}
		if present > 0 {
			out = append(out, interference.Neighbour{Queue: n.queues[i].queue, Share: float64(present) / float64(took)})
		}
	}
	return out
}

// other returns the time in which a queue had a run beside one of the given queue.
func (q *presence) other(queue string) time.Duration {
	if q.queue == queue {
		return q.two
	}
	return q.any
}

// maxNeighbourQueues is the number of queues above which an idle minion's presences are
// dropped.
const maxNeighbourQueues = 32

// joinNeighbours counts a run that starts among those of its minion.
func (p *Pool) joinNeighbours(now time.Time, m *minion, x *run) {
	if !p.cfg.SeparateInterfering {
		return
	}
	if m.neighbours == nil {
		m.neighbours = &neighbours{at: now}
	}
	m.neighbours.change(now, x.job.offer.Queue, 1)
	x.neighbourQueue = x.job.offer.Queue
	x.neighboursAtStart = &neighbours{queues: append([]presence(nil), m.neighbours.queues...), at: now}
}

// leaveNeighbours ends the count of a run.
func (p *Pool) leaveNeighbours(now time.Time, m *minion, x *run) {
	if x.neighboursAtStart != nil {
		m.neighbours.change(now, x.neighbourQueue, -1)
		x.neighboursAtStart = nil
	}
	if m.neighbours != nil && len(m.runs) == 0 && len(m.neighbours.queues) > maxNeighbourQueues {
		m.neighbours = nil // queues that no document declares any more would stay
	}
}

// learnInterference tells the learner of a run that ended. logRatio is the logarithm of
// its run time divided by the expectation. The runs of a job share the error of the
// declared run time, so they count as one.
func (p *Pool) learnInterference(now time.Time, m *minion, x *run, logRatio float64) {
	if x.neighboursAtStart == nil {
		return
	}
	m.neighbours.advance(now)
	r := interference.Run{
		Queue: x.neighbourQueue, Ratio: math.Exp(logRatio), Weight: 1 / float64(max(1, x.step.Count)),
		Neighbours: m.neighbours.beside(x.neighbourQueue, x.neighboursAtStart),
	}
	for _, c := range p.interference.Observe(r) {
		id := event.InterferenceEnded
		if c.Interferes {
			id = event.InterferenceBegan
		}
		p.cfg.Log(id, slog.String("queue", c.Queue), slog.String("neighbour", c.Neighbour),
			slog.Int("slowdown_pct", int(math.Round(100*c.Slowdown))), slog.Float64("standard_error", c.StandardError))
	}
}

// interferes reports whether a run on the minion is of a queue that interferes with the
// given one.
func (p *Pool) interferes(m *minion, queue string) bool {
	if p.interference.Pairs() == 0 || m.neighbours == nil {
		return false
	}
	for i := range m.neighbours.queues {
		if q := &m.neighbours.queues[i]; q.runs > 0 && p.interference.Interferes(queue, q.queue) {
			return true
		}
	}
	return false
}

// InterferingPairs returns the number of ordered pairs of queues that interfere.
func (p *Pool) InterferingPairs() int { return p.interference.Pairs() }
