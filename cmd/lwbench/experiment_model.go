package main

import (
	"container/heap"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/emulator"
)

// modelTask is a task in the reference queue or a baseline, which run without
// engines.
type modelTask struct {
	arrival, index int // index of the job in trace.arrivals, index of the task in the job
}

// modelJob is the progress of a job in the reference queue or a baseline.
type modelJob struct {
	arrival   int // index in trace.arrivals
	nextTask  int // index of the next task to start; -1 when all are started
	remaining int // unfinished tasks
	arrivedAt time.Duration
	failed    bool
}

// referenceQueue is one queue for a whole failure domain that knows every free slot.
// It starts tasks of the job with the fewest unfinished tasks first. The only message
// delay is one round trip per task.
type referenceQueue struct {
	*emulator.Emulator
	trace     *trace
	out       *outcome
	jobs      remainingHeap
	freeSlots int
}

// runReference runs a trace on the reference queue, without faults.
func runReference(seed uint64, t *trace) *outcome {
	r := &referenceQueue{Emulator: emulator.New(seed, experimentStart), trace: t, out: newOutcome(t), freeSlots: traceSlots}
	for i := range t.arrivals {
		r.After(t.arrivals[i].at, func() {
			heap.Push(&r.jobs, &modelJob{arrival: i, remaining: len(t.arrivals[i].tasks), arrivedAt: t.arrivals[i].at})
			r.dispatch()
		})
	}
	r.RunUntil(experimentStart.Add(t.length + experimentDeadline))
	r.out.messages = 2 * t.taskCount
	return r.out
}

func (r *referenceQueue) dispatch() {
	for r.freeSlots > 0 && len(r.jobs) > 0 {
		j := r.jobs[0]
		run := r.trace.arrivals[j.arrival].tasks[j.nextTask]
		j.nextTask++
		r.freeSlots--
		if j.nextTask == len(r.trace.arrivals[j.arrival].tasks) {
			heap.Pop(&r.jobs)
			j.nextTask = -1
		}
		r.After(run+experimentRoundTrip, func() { r.finishTask(j) })
	}
}

func (r *referenceQueue) finishTask(j *modelJob) {
	r.freeSlots++
	j.remaining--
	if j.remaining == 0 {
		r.out.recordCompletion(j.arrival, r.Now().Sub(experimentStart))
	}
	heap.Init(&r.jobs) // if j is still in the heap, its position may have changed
	r.dispatch()
}

type remainingHeap []*modelJob

func (h remainingHeap) Len() int { return len(h) }
func (h remainingHeap) Less(i, k int) bool {
	return h[i].remaining < h[k].remaining || h[i].remaining == h[k].remaining && h[i].arrivedAt < h[k].arrivedAt
}
func (h remainingHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *remainingHeap) Push(x any)   { *h = append(*h, x.(*modelJob)) }
func (h *remainingHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}

// placement is how the hosts of a baseline choose a minion.
type placement uint8

// Placements.
const (
	placeRandom placement = iota
	placeRoundRobin
	placeLeastLoaded
)

// retryPause is how long a host sends no starts to a minion that refused one.
const retryPause = 5 * time.Millisecond

// baselineRun runs a trace on a failure domain whose hosts start tasks in the order
// of arrival. A minion refuses a start when all its slots are in use.
type baselineRun struct {
	*emulator.Emulator
	trace     *trace
	scenario  scenario
	placement placement
	out       *outcome
	jobs      []modelJob
	inUse     [traceMinions]int // slots in use, known to the minions only
	hosts     [traceHosts]baselineHost
}

type baselineHost struct {
	queue       []modelTask
	retries     []modelTask       // refused or without a free minion; dispatched before queue
	inFlight    [traceMinions]int // starts without an answer
	pausedUntil [traceMinions]time.Time
	nextMinion  int // first candidate with placeRoundRobin
	killed      bool
}

func runBaseline(seed uint64, t *trace, s scenario, p placement) *outcome {
	b := &baselineRun{Emulator: emulator.New(seed, experimentStart), trace: t, scenario: s, placement: p, out: newOutcome(t)}
	b.jobs = make([]modelJob, len(t.arrivals))
	for i := range t.arrivals {
		b.jobs[i] = modelJob{arrival: i, remaining: len(t.arrivals[i].tasks)}
		b.After(t.arrivals[i].at, func() { b.submit(i) })
	}
	if s.killHost {
		b.After(t.length/2, func() { b.hosts[0].killed = true })
	}
	b.RunUntil(experimentStart.Add(t.length + experimentDeadline))
	return b.out
}

func (b *baselineRun) delay() time.Duration {
	return experimentNetwork.MinDelay + time.Duration(b.Rand().Int64N(int64(experimentNetwork.MaxDelay-experimentNetwork.MinDelay)))
}

func (b *baselineRun) submit(i int) {
	a := &b.trace.arrivals[i]
	for b.hosts[a.host].killed {
		a.host = (a.host + 1) % traceHosts
	}
	for k := range a.tasks {
		b.hosts[a.host].queue = append(b.hosts[a.host].queue, modelTask{i, k})
	}
	b.dispatch(a.host)
}

// dispatch starts queued tasks until the host has none or knows of no free minion.
func (b *baselineRun) dispatch(host int) {
	h := &b.hosts[host]
	for !h.killed {
		t, ok := h.takeTask()
		if !ok {
			return
		}
		if b.failedOrExpired(t.arrival) {
			continue
		}
		m := b.pickMinion(h)
		if m < 0 {
			h.retries = append(h.retries, t)
			return
		}
		b.startTask(host, t, m)
	}
}

// takeTask removes and returns the next task to start.
func (h *baselineHost) takeTask() (modelTask, bool) {
	if n := len(h.retries); n > 0 {
		t := h.retries[n-1]
		h.retries = h.retries[:n-1]
		return t, true
	}
	if len(h.queue) == 0 {
		return modelTask{}, false
	}
	t := h.queue[0]
	h.queue = h.queue[1:]
	return t, true
}

// failedOrExpired reports whether a task of the job failed or its deadline passed.
func (b *baselineRun) failedOrExpired(job int) bool {
	return b.jobs[job].failed || b.Now().Sub(experimentStart) > b.trace.arrivals[job].at+experimentDeadline
}

// pickMinion returns the minion for the next start, or -1 if none is known to be
// free.
func (b *baselineRun) pickMinion(h *baselineHost) int {
	usable := func(m int) bool { return h.inFlight[m] < slotsPerMinion && !h.pausedUntil[m].After(b.Now()) }
	best := -1
	from := b.Rand().IntN(traceMinions)
	if b.placement == placeRoundRobin {
		from = h.nextMinion
		h.nextMinion = (h.nextMinion + 1) % traceMinions
	}
	for k := range traceMinions {
		m := (from + k) % traceMinions
		if !usable(m) {
			continue
		}
		if b.placement != placeLeastLoaded {
			return m
		}
		if best < 0 || h.inFlight[m] < h.inFlight[best] {
			best = m
		}
	}
	return best
}

func (b *baselineRun) startTask(host int, t modelTask, m int) {
	h := &b.hosts[host]
	h.inFlight[m]++
	b.out.messages += 2
	b.After(b.delay(), func() {
		if b.inUse[m] >= slotsPerMinion {
			b.After(b.delay(), func() { b.handleRefusal(host, t, m) })
			return
		}
		b.inUse[m]++
		b.After(b.runTime(t, m), func() {
			b.inUse[m]--
			b.After(b.delay(), func() { b.finishTask(host, t, m) })
		})
	})
}

func (b *baselineRun) runTime(t modelTask, m int) time.Duration {
	run := b.trace.arrivals[t.arrival].tasks[t.index]
	switch {
	case b.scenario.failing && m == 0:
		return 0
	case b.scenario.isSlow(m):
		return run * stragglerFactor
	}
	return run
}

func (b *baselineRun) handleRefusal(host int, t modelTask, m int) {
	h := &b.hosts[host]
	h.inFlight[m]--
	b.out.refusals++
	h.pausedUntil[m] = b.Now().Add(retryPause)
	h.retries = append(h.retries, t)
	b.After(retryPause, func() { b.dispatch(host) })
	b.dispatch(host)
}

func (b *baselineRun) finishTask(host int, t modelTask, m int) {
	h := &b.hosts[host]
	if h.killed {
		return
	}
	h.inFlight[m]--
	j := &b.jobs[t.arrival]
	j.remaining--
	j.failed = j.failed || b.scenario.failing && m == 0
	if j.remaining == 0 && !b.failedOrExpired(t.arrival) {
		b.out.recordCompletion(t.arrival, b.Now().Sub(experimentStart))
	}
	b.dispatch(host)
}
