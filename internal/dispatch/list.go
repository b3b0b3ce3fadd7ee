package dispatch

import (
	"container/heap"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
)

// agePerTask is the wait that makes up for one task more: a job with n tasks
// left goes before a job with one that arrived (n-1)*agePerTask later. It
// bounds how long large jobs can be passed over.
const agePerTask = 200 * time.Millisecond

const notListed = -1

// entry is a queued job.
type entry struct {
	job  *job.Job
	list *list
	rank int64 // nanoseconds; lower goes first
	next int   // no task below this index may start
	pos  int   // in the list's heap, or notListed
}

// nextTask returns the index of a task to start, or -1.
func (e *entry) nextTask() int {
	if e.job.Queued() == 0 || e.job.Ended() {
		return -1
	}
	e.next = e.job.NextQueued(e.next)
	return e.next
}

func (e *entry) before(other *entry) bool {
	if e.rank != other.rank {
		return e.rank < other.rank
	}
	return e.job.ID.Key < other.job.ID.Key
}

// rankOf orders jobs. Both terms only shrink a job's rank relative to later
// arrivals, so that ranks of waiting jobs need no update as time passes.
func rankOf(j *job.Job) int64 {
	return j.Accepted.UnixNano() + int64(j.Queued()+j.Running())*int64(agePerTask)
}

// list is a team's queued jobs of one service.
type list struct {
	service string
	heap    entryHeap
	tried   uint64
}

// head returns the first job that has a task to start, or nil.
func (l *list) head() *entry {
	for len(l.heap) > 0 {
		e := l.heap[0]
		if e.job.Queued() > 0 && !e.job.Ended() {
			return e
		}
		heap.Pop(&l.heap)
	}
	return nil
}

func (l *list) push(e *entry) {
	e.rank = rankOf(e.job)
	heap.Push(&l.heap, e)
}

func (l *list) remove(e *entry) {
	if e.pos != notListed {
		heap.Remove(&l.heap, e.pos)
	}
}

// update restores the order after one of the job's starts has ended.
func (l *list) update(e *entry) {
	if e.pos != notListed {
		e.rank = rankOf(e.job)
		heap.Fix(&l.heap, e.pos)
		return
	}
	if e.job.Queued() > 0 && !e.job.Ended() {
		l.push(e)
	}
}

type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, k int) bool { return h[i].before(h[k]) }
func (h entryHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].pos, h[k].pos = i, k
}
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.pos = len(*h)
	*h = append(*h, e)
}
func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.pos = notListed
	return e
}
