// Package ring provides the bounded queues that connect the goroutines of a
// daemon.
package ring

import "sync/atomic"

// Ring is a bounded first-in first-out queue that is safe for concurrent use.
// TryPush refuses an item when the ring is full; the producer decides how to
// handle the refusal.
type Ring[T any] struct {
	ch      chan T
	refused atomic.Uint64
}

// New returns an empty ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{ch: make(chan T, size)}
}

// TryPush adds v without blocking. It returns false when the ring is full.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Push adds v and blocks while the ring is full, until done is closed. A nil
// done never ends the wait. Push reports whether v was added; it prefers adding
// v when the ring has room, even if done is closed.
func (r *Ring[T]) Push(v T, done <-chan struct{}) bool {
	select {
	case r.ch <- v:
		return true
	default:
	}
	select {
	case r.ch <- v:
		return true
	case <-done:
		return false
	}
}

// C returns the channel from which consumers receive the items.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Cap returns the maximum number of queued items.
func (r *Ring[T]) Cap() int { return cap(r.ch) }

// Refused returns the number of items that TryPush has refused since New.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
