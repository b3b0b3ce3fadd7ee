package main

import (
	"container/heap"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/emulator"
)

// modelTask is a task of a model without the product's decisions.
type modelTask struct {
	job, index int
}

// modelJob is the progress of one job of a model.
type modelJob struct {
	index  int
	next   int
	left   int
	at     time.Duration
	failed bool
}

// referenceQueue is the omniscient queue of a whole domain: fewest tasks left
// first, no message delay but one round trip a task.
type referenceQueue struct {
	*emulator.Emulator
	trace *trace
	out   *outcome
	jobs  referenceHeap
	free  int
}

// runReference runs the reference over a trace without faults.
func runReference(seed uint64, t *trace) *outcome {
	r := &referenceQueue{Emulator: emulator.New(seed, experimentStart), trace: t, out: newOutcome(t), free: traceSlots}
	for i := range t.arrivals {
		r.After(t.arrivals[i].at, func() {
			heap.Push(&r.jobs, &modelJob{index: i, left: len(t.arrivals[i].tasks), at: t.arrivals[i].at})
			r.dispatch()
		})
	}
	r.RunUntil(experimentStart.Add(t.length + experimentDeadline))
	r.out.messages = 2 * t.tasks
	return r.out
}

func (r *referenceQueue) dispatch() {
	for r.free > 0 && len(r.jobs) > 0 {
		j := r.jobs[0]
		run := r.trace.arrivals[j.index].tasks[j.next]
		j.next++
		r.free--
		if j.next == len(r.trace.arrivals[j.index].tasks) {
			heap.Pop(&r.jobs)
			j.next = -1
		}
		r.After(run+experimentRoundTrip, func() { r.finish(j) })
	}
}

func (r *referenceQueue) finish(j *modelJob) {
	r.free++
	j.left--
	if j.left == 0 {
		r.out.finished(j.index, r.Now().Sub(experimentStart))
	}
	heap.Init(&r.jobs) // the order of one waiting job changed
	r.dispatch()
}

type referenceHeap []*modelJob

func (h referenceHeap) Len() int { return len(h) }
func (h referenceHeap) Less(i, k int) bool {
	return h[i].left < h[k].left || h[i].left == h[k].left && h[i].at < h[k].at
}
func (h referenceHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *referenceHeap) Push(x any)   { *h = append(*h, x.(*modelJob)) }
func (h *referenceHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}

// placement is a baseline's choice of minion.
type placement uint8

// Baselines.
const (
	placeRandom placement = iota
	placeRoundRobin
	placeLeastLoaded
)

// retryPause is the rest after a refusal.
const retryPause = 5 * time.Millisecond

// baseline is a domain whose hosts start tasks in the order of arrival; a
// minion refuses when it is full.
type baseline struct {
	*emulator.Emulator
	trace    *trace
	scenario scenario
	place    placement
	out      *outcome
	jobs     []modelJob
	inUse    [traceMinions]int // truth at the minions
	hosts    [traceHosts]baselineHost
}

type baselineHost struct {
	queue  []modelTask
	again  []modelTask // refused; they go first
	sent   [traceMinions]int
	paused [traceMinions]time.Time
	turn   int
	dead   bool
}

func runBaseline(seed uint64, t *trace, s scenario, p placement) *outcome {
	b := &baseline{Emulator: emulator.New(seed, experimentStart), trace: t, scenario: s, place: p, out: newOutcome(t)}
	b.jobs = make([]modelJob, len(t.arrivals))
	for i := range t.arrivals {
		b.jobs[i] = modelJob{index: i, left: len(t.arrivals[i].tasks)}
		b.After(t.arrivals[i].at, func() { b.submit(i) })
	}
	if s.killHost {
		b.After(t.length/2, func() { b.hosts[0].dead = true })
	}
	b.RunUntil(experimentStart.Add(t.length + experimentDeadline))
	return b.out
}

func (b *baseline) delay() time.Duration {
	return experimentNet.MinDelay + time.Duration(b.Rand().Int64N(int64(experimentNet.MaxDelay-experimentNet.MinDelay)))
}

func (b *baseline) submit(i int) {
	a := &b.trace.arrivals[i]
	for b.hosts[a.host].dead {
		a.host = (a.host + 1) % traceHosts
	}
	for k := range a.tasks {
		b.hosts[a.host].queue = append(b.hosts[a.host].queue, modelTask{i, k})
	}
	b.dispatch(a.host)
}

// dispatch starts queued tasks until the host knows of no free minion.
func (b *baseline) dispatch(host int) {
	h := &b.hosts[host]
	for !h.dead {
		t, ok := h.next()
		if !ok {
			return
		}
		if b.expired(t.job) {
			continue
		}
		m := b.pick(h)
		if m < 0 {
			h.again = append(h.again, t)
			return
		}
		b.start(host, t, m)
	}
}

// next takes the first waiting task.
func (h *baselineHost) next() (modelTask, bool) {
	if n := len(h.again); n > 0 {
		t := h.again[n-1]
		h.again = h.again[:n-1]
		return t, true
	}
	if len(h.queue) == 0 {
		return modelTask{}, false
	}
	t := h.queue[0]
	h.queue = h.queue[1:]
	return t, true
}

// expired reports whether the job failed or passed its deadline.
func (b *baseline) expired(job int) bool {
	return b.jobs[job].failed || b.Now().Sub(experimentStart) > b.trace.arrivals[job].at+experimentDeadline
}

func (b *baseline) pick(h *baselineHost) int {
	usable := func(m int) bool { return h.sent[m] < slotsPerMinion && !h.paused[m].After(b.Now()) }
	best := -1
	from := b.Rand().IntN(traceMinions)
	if b.place == placeRoundRobin {
		from = h.turn
		h.turn = (h.turn + 1) % traceMinions
	}
	for k := range traceMinions {
		m := (from + k) % traceMinions
		if !usable(m) {
			continue
		}
		if b.place != placeLeastLoaded {
			return m
		}
		if best < 0 || h.sent[m] < h.sent[best] {
			best = m
		}
	}
	return best
}

func (b *baseline) start(host int, t modelTask, m int) {
	h := &b.hosts[host]
	h.sent[m]++
	b.out.messages += 2
	b.After(b.delay(), func() {
		if b.inUse[m] >= slotsPerMinion {
			b.After(b.delay(), func() { b.refused(host, t, m) })
			return
		}
		b.inUse[m]++
		b.After(b.runTime(t, m), func() {
			b.inUse[m]--
			b.After(b.delay(), func() { b.finish(host, t, m) })
		})
	})
}

func (b *baseline) runTime(t modelTask, m int) time.Duration {
	run := b.trace.arrivals[t.job].tasks[t.index]
	switch {
	case b.scenario.failing && m == 0:
		return 0
	case b.scenario.slow(m):
		return run * stragglerFactor
	}
	return run
}

func (b *baseline) refused(host int, t modelTask, m int) {
	h := &b.hosts[host]
	h.sent[m]--
	b.out.refusals++
	h.paused[m] = b.Now().Add(retryPause)
	h.again = append(h.again, t)
	b.After(retryPause, func() { b.dispatch(host) })
	b.dispatch(host)
}

func (b *baseline) finish(host int, t modelTask, m int) {
	h := &b.hosts[host]
	if h.dead {
		return
	}
	h.sent[m]--
	j := &b.jobs[t.job]
	j.left--
	j.failed = j.failed || b.scenario.failing && m == 0
	if j.left == 0 && !b.expired(t.job) {
		b.out.finished(t.job, b.Now().Sub(experimentStart))
	}
	b.dispatch(host)
}
