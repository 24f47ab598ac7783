// Package ring implements a bounded queue between goroutines whose writers never
// block.
//
// A write to a full ring fails and is counted. The writer decides whether to
// refuse the work or to drop the item.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
)

// Ring is a bounded FIFO queue with several writers and one reader.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	count   int
	closed  bool
	ready   chan struct{}
	dropped atomic.Uint64
}

// New returns a ring for up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make([]T, max(size, 1)), ready: make(chan struct{}, 1)}
}

// TryPush appends an item. If the ring is full or closed it counts the item as dropped and
// returns false.
func (r *Ring[T]) TryPush(item T) bool {
	r.mu.Lock()
	if r.closed || r.count == len(r.items) {
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

// Ready returns a channel that receives a value when there may be items.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Close makes all further writes fail.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// Drain removes all items, appends them to buf and returns it.
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

// Wait blocks until there are items and drains them to the end of buf. It returns
// false if ctx ends first.
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

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Dropped returns the number of items that were not queued because the ring was
// full.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
