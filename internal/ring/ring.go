// Package ring provides the bounded queues that join the daemon's duties.
package ring

import "sync/atomic"

// Ring is a bounded first-in first-out queue between goroutines. A full ring
// refuses: the producer decides what a refusal means.
type Ring[T any] struct {
	ch      chan T
	refused atomic.Uint64
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{ch: make(chan T, size)}
}

// TryPush adds v and reports whether there was room.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Push adds v, waiting for room until done is closed. It reports whether v
// was added.
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

// C returns the channel to receive from.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Cap returns the bound.
func (r *Ring[T]) Cap() int { return cap(r.ch) }

// Refused returns how many items TryPush has refused.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
