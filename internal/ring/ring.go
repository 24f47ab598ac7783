// Package ring joins duties: a bounded queue that never makes its writers wait.
//
// A full ring is a refusal or a dropped and counted hint; the decision which of
// the two lies with the writer.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
)

// Ring is a bounded queue from several goroutines to one.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	count   int
	ready   chan struct{}
	dropped atomic.Uint64
}

// New returns a ring for up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make([]T, max(size, 1)), ready: make(chan struct{}, 1)}
}

// TryPush enters an item, or returns false and counts if the ring is full.
func (r *Ring[T]) TryPush(item T) bool {
	r.mu.Lock()
	if r.count == len(r.items) {
		r.mu.Unlock()
		r.dropped.Add(1)
		return false
	}
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	r.mu.Unlock()
	select {
	case r.ready <- struct{}{}:
	default:
	}
	return true
}

// Ready is readable when there may be items.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Drain moves all items to the end of buf and returns it.
func (r *Ring[T]) Drain(buf []T) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zero T
	for ; r.count > 0; r.count-- {
		buf = append(buf, r.items[r.head])
		r.items[r.head] = zero
		r.head = (r.head + 1) % len(r.items)
	}
	return buf
}

// Wait blocks until there are items and moves them to buf; false means that ctx
// has ended.
func (r *Ring[T]) Wait(ctx context.Context, buf []T) ([]T, bool) {
	for {
		if buf = r.Drain(buf); len(buf) > 0 {
			return buf, true
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
			return buf, false
		}
	}
}

// Len is how many items wait.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Dropped is how many items found the ring full.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
