package verdict

import (
	"cmp"
	"slices"
	"time"
)

// window holds the most recent samples of one measurement.
type window struct {
	samples []time.Duration // ring buffer once it holds size samples
	next    int             // index of the oldest sample once the buffer is full
	size    int             // maximum number of samples
}

func newWindow(size int) *window {
	return &window{samples: make([]time.Duration, 0, size), size: size}
}

func (w *window) add(d time.Duration) {
	if len(w.samples) < w.size {
		w.samples = append(w.samples, d)
		return
	}
	w.samples[w.next] = d
	w.next = (w.next + 1) % w.size
}

// quantile returns the q quantile (0 to 1) of the samples, or 0 if there are none.
func (w *window) quantile(q float64) time.Duration {
	return quantile(slices.Clone(w.samples), q)
}

// quantile sorts d in place and returns its q quantile (0 to 1), or 0 if d is empty.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1)+0.5)]
}

// weightedRun is a run time and its weight in quantiles.
type weightedRun struct {
	duration time.Duration
	weight   time.Duration
}

type weightedRuns []weightedRun

// quantile sorts r in place and returns its q quantile (0 to 1) by weight, or 0 if
// r is empty.
func (r weightedRuns) quantile(q float64) time.Duration {
	slices.SortFunc(r, func(a, b weightedRun) int { return cmp.Compare(a.duration, b.duration) })
	sum := r.totalWeight()
	var cumulative time.Duration
	for _, x := range r {
		cumulative += x.weight
		if float64(cumulative) >= q*float64(sum) {
			return x.duration
		}
	}
	return 0
}

// totalWeight returns the sum of the weights.
func (r weightedRuns) totalWeight() time.Duration {
	var sum time.Duration
	for _, x := range r {
		sum += x.weight
	}
	return sum
}

// overlap returns the length of the intersection of the intervals from..to and
// from2..to2.
func overlap(from, to, from2, to2 time.Time) time.Duration {
	if from2.After(from) {
		from = from2
	}
	if to2.Before(to) {
		to = to2
	}
	return max(0, to.Sub(from))
}
