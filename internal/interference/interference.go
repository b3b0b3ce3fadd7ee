// Package interference learns which queues' tasks slow each other down when they run on the
// same minion: they share its caches, memory bandwidth or link, which their requests do
// not name. docs/design/interference.md describes the method. It reads no clock.
package interference

import (
	"cmp"
	"math"
	"slices"
)

const (
	maxQueues = 32 // the least recently seen queue is dropped
	// window is the number of runs of a queue whose weight dominates its estimates.
	// Older runs are forgotten.
	window     = 4000
	minRuns    = 50   // of the queue, both with and without the neighbour, weighted
	certainty  = 3    // standard errors
	beginAbove = 0.10 // slowdown above which, with certainty, a pair interferes
	endBelow   = 0.05 // slowdown below which it no longer does
	// maxLogRatio bounds the logarithm of a run's ratio: 3% of the runs take seven times as
	// long for reasons of their own.
	maxLogRatio = 1.0
	rescaleAt   = 1e9 // weight of a new run above which all sums are rescaled
)

// Neighbour is a queue whose tasks ran beside a run.
type Neighbour struct {
	Queue string
	Share float64 // of the run's duration, 0 to 1
}

// Run is a run that ended.
type Run struct {
	Queue      string
	Ratio      float64     // run time divided by the expectation for its minion and queue
	Weight     float64     // 1 divided by the number of runs whose expectation has the same error
	Neighbours []Neighbour // absent queues did not run beside it
}

// Change says that a pair began or ceased to interfere.
type Change struct {
	Queue, Neighbour string
	Interferes       bool
	Slowdown         float64 // of Queue by Neighbour; 0.25 means a quarter longer
	StandardError    float64 // of the slowdown's logarithm
}

// pair holds weighted sums over the runs of one queue, for the share x of a run that
// one neighbour was beside it and the logarithm y of its ratio.
type pair struct {
	x, xx, xy  float64
	with       float64 // weight of the runs with x of at least one half
	interferes bool
}

// row holds the sums of one queue's runs.
type row struct {
	queue     string
	seen      uint64  // number of the newest run in which the queue had a part
	weight    float64 // of the next run; it grows, so that older runs are forgotten
	w, ww     float64 // sums of weights, and of their squares
	y, yy     float64
	neighbour map[string]*pair
}

// Learner estimates the slowdown of each ordered pair of queues. The zero value is
// ready for use. It isn't safe for concurrent use.
type Learner struct {
	rows  []*row
	runs  uint64
	pairs int // that interfere
}

// Pairs returns the number of ordered pairs that interfere.
func (l *Learner) Pairs() int { return l.pairs }

// Interferes reports whether one of two queues slows the other down.
func (l *Learner) Interferes(a, b string) bool {
	return l.pairs > 0 && (l.slows(a, b) || l.slows(b, a))
}

func (l *Learner) slows(queue, neighbour string) bool {
	r := l.find(queue)
	return r != nil && r.neighbour[neighbour] != nil && r.neighbour[neighbour].interferes
}

func (l *Learner) find(queue string) *row {
	for _, r := range l.rows {
		if r.queue == queue {
			return r
		}
	}
	return nil
}

// Observe adds a run and returns the pairs that have begun or ceased to interfere.
func (l *Learner) Observe(x Run) []Change {
	l.runs++
	changes := l.touch(x.Queue)
	for _, n := range x.Neighbours {
		changes = append(changes, l.touch(n.Queue)...)
	}
	r := l.find(x.Queue)
	if r == nil || x.Ratio <= 0 || x.Weight <= 0 {
		return changes
	}
	w := r.weight * x.Weight
	y := max(-maxLogRatio, min(maxLogRatio, math.Log(x.Ratio)))
	r.w, r.ww, r.y, r.yy = r.w+w, r.ww+w*w, r.y+w*y, r.yy+w*y*y
	for _, n := range x.Neighbours {
		if n.Share <= 0 || l.find(n.Queue) == nil {
			continue
		}
		p := r.neighbour[n.Queue]
		if p == nil {
			p = &pair{}
			r.neighbour[n.Queue] = p
		}
		p.add(w, min(1, n.Share), y)
		if c, changed := r.judge(n.Queue, p); changed {
			l.count(c.Interferes)
			changes = append(changes, c)
		}
	}
	r.age()
	return changes
}

func (l *Learner) count(interferes bool) {
	if interferes {
		l.pairs++
	} else {
		l.pairs--
	}
}

// touch marks a queue as seen. A new one replaces the least recently seen if there are
// maxQueues; its pairs that interfere end.
func (l *Learner) touch(queue string) []Change {
	if r := l.find(queue); r != nil {
		r.seen = l.runs
		return nil
	}
	var changes []Change
	if len(l.rows) >= maxQueues {
		oldest := slices.MinFunc(l.rows, func(a, b *row) int { return cmp.Compare(a.seen, b.seen) })
		if oldest.seen == l.runs {
			return nil // all others belong to this run
		}
		changes = l.drop(oldest.queue)
	}
	l.rows = append(l.rows, &row{queue: queue, seen: l.runs, weight: 1, neighbour: make(map[string]*pair)})
	return changes
}

func (l *Learner) drop(queue string) []Change {
	var changes []Change
	for _, r := range l.rows {
		for _, name := range sortedNames(r.neighbour) {
			if r.queue != queue && name != queue {
				continue
			}
			if r.neighbour[name].interferes {
				l.count(false)
				changes = append(changes, Change{Queue: r.queue, Neighbour: name})
			}
			delete(r.neighbour, name)
		}
	}
	l.rows = slices.DeleteFunc(l.rows, func(r *row) bool { return r.queue == queue })
	return changes
}

func sortedNames(m map[string]*pair) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (p *pair) add(w, x, y float64) {
	p.x, p.xx, p.xy = p.x+w*x, p.xx+w*x*x, p.xy+w*x*y
	if x >= 0.5 {
		p.with += w
	}
}

// judge estimates the slowdown by a neighbour, the slope of a weighted regression of y on
// x, and reports whether the pair has begun or ceased to interfere.
func (r *row) judge(neighbour string, p *pair) (Change, bool) {
	runs := r.w / r.weight // weight of all runs in terms of the newest
	with := p.with / r.weight
	if min(with, runs-with) < minRuns {
		return Change{}, false
	}
	mx, my := p.x/r.w, r.y/r.w
	varX, varY, cov := p.xx/r.w-mx*mx, r.yy/r.w-my*my, p.xy/r.w-mx*my
	if varX <= 1e-6 {
		return Change{}, false
	}
	slope := cov / varX
	n := r.w * r.w / r.ww // effective number of runs
	se := math.Sqrt(max(0, varY-slope*cov) / varX / max(1, n-2))
	began := !p.interferes && slope-certainty*se > math.Log1p(beginAbove)
	ended := p.interferes && slope < math.Log1p(endBelow)
	if began || ended {
		p.interferes = began
	}
	return Change{Queue: r.queue, Neighbour: neighbour, Interferes: began, Slowdown: math.Expm1(slope), StandardError: se}, began || ended
}

// age raises the weight of the next run.
func (r *row) age() {
	r.weight *= 1 + 1.0/window
	if r.weight < rescaleAt {
		return
	}
	f := 1 / r.weight
	r.weight = 1
	r.w, r.ww, r.y, r.yy = r.w*f, r.ww*f*f, r.y*f, r.yy*f
	for _, p := range r.neighbour {
		p.x, p.xx, p.xy, p.with = p.x*f, p.xx*f, p.xy*f, p.with*f
	}
}
