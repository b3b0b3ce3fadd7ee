package verdict

import (
	"cmp"
	"slices"
	"time"
)

// window holds the most recent samples of one quantity.
type window struct {
	samples []time.Duration // newest at next-1
	next    int
	size    int
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

// quantile returns the q quantile, 0 to 1, of the samples; 0 when there is none.
func (w *window) quantile(q float64) time.Duration {
	return quantile(slices.Clone(w.samples), q)
}

// quantile sorts d.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1)+0.5)]
}

// weightedRun is a run and the weight it has in quantiles.
type weightedRun struct {
	took   time.Duration
	weight time.Duration
}

type weightedRuns []weightedRun

// quantile sorts r and returns the q quantile by weight.
func (r weightedRuns) quantile(q float64) time.Duration {
	slices.SortFunc(r, func(a, b weightedRun) int { return cmp.Compare(a.took, b.took) })
	sum := r.weight()
	var below time.Duration
	for _, x := range r {
		below += x.weight
		if float64(below) >= q*float64(sum) {
			return x.took
		}
	}
	return 0
}

// weight returns the sum of the weights.
func (r weightedRuns) weight() time.Duration {
	var sum time.Duration
	for _, x := range r {
		sum += x.weight
	}
	return sum
}

// overlap returns the length of the intersection of two intervals.
func overlap(from, to, from2, to2 time.Time) time.Duration {
	if from2.After(from) {
		from = from2
	}
	if to2.Before(to) {
		to = to2
	}
	return max(0, to.Sub(from))
}
