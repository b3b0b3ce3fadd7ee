package dispatch

import (
	"container/heap"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
)

// agePerTask is the waiting time that compensates for one more remaining task:
// a job with n remaining tasks starts before a job with one task that arrived
// more than (n-1)*agePerTask later. This bounds how long smaller jobs can
// overtake a large one.
const agePerTask = 200 * time.Millisecond

// notListed is the heapIndex of an entry that is not in its list's heap.
const notListed = -1

// entry is a job that has been added to the queue. It is in its list's heap
// while the job has tasks to start; head removes it when there are none.
type entry struct {
	job        *job.Job
	list       *list
	rank       int64 // nanoseconds; the lowest starts first
	searchFrom int   // no task with a lower index is queued
	heapIndex  int   // index in the list's heap, or notListed
}

// nextTask returns the index of the job's next queued task, or -1.
func (e *entry) nextTask() int {
	if e.job.Queued() == 0 || e.job.Ended() {
		return -1
	}
	e.searchFrom = e.job.NextQueued(e.searchFrom)
	return e.searchFrom
}

// before orders entries by rank, then by key.
func (e *entry) before(other *entry) bool {
	if e.rank != other.rank {
		return e.rank < other.rank
	}
	return e.job.ID.Key < other.job.ID.Key
}

// rankOf returns the job's rank: its acceptance time plus agePerTask for each
// unfinished task. The rank does not depend on the current time, and only
// falls as tasks finish, so waiting jobs need no update as time passes.
func rankOf(j *job.Job) int64 {
	return j.Accepted.UnixNano() + int64(j.Queued()+j.Running())*int64(agePerTask)
}

// list holds a team's queued jobs of one service, ordered by rank.
type list struct {
	service    string
	heap       entryHeap
	triedRound uint64 // Queue.round in which no start was found for the list
}

// head returns the first job that has a queued task, or nil. It removes jobs
// without queued tasks from the front of the heap.
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

// push computes the job's rank and adds the job to the heap.
func (l *list) push(e *entry) {
	e.rank = rankOf(e.job)
	heap.Push(&l.heap, e)
}

func (l *list) remove(e *entry) {
	if e.heapIndex != notListed {
		heap.Remove(&l.heap, e.heapIndex)
	}
}

// update recomputes the job's rank after one of its starts has ended, and adds a
// job that head removed back to the heap if it has a queued task again.
func (l *list) update(e *entry) {
	if e.heapIndex != notListed {
		e.rank = rankOf(e.job)
		heap.Fix(&l.heap, e.heapIndex)
		return
	}
	if e.job.Queued() > 0 && !e.job.Ended() {
		l.push(e)
	}
}

// entryHeap is a min-heap in the order of entry.before. It implements
// heap.Interface.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, k int) bool { return h[i].before(h[k]) }
func (h entryHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapIndex, h[k].heapIndex = i, k
}
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}
func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.heapIndex = notListed
	return e
}
