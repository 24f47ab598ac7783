package standin

// This file defines the batch slots of a stand-in engine and their priority queue. Invariant: a
// released slot goes to the waiter with the lowest priority number, and among equals to the one
// that has waited longest.

import (
	"container/heap"
	"net/http"
)

// slotWaiter is a request that waits for a batch slot; ready is closed when it gets one.
type slotWaiter struct {
	priority int
	order    uint64
	ready    chan struct{}
}

// slotQueue implements heap.Interface, ordered by priority and then by arrival.
type slotQueue []*slotWaiter

func (q slotQueue) Len() int { return len(q) }
func (q slotQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].order < q[j].order
}
func (q slotQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *slotQueue) Push(x any)   { *q = append(*q, x.(*slotWaiter)) }
func (q *slotQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}

// acquire waits for a batch slot. It returns false, without a slot, if the run was stopped or
// the client disconnected.
func (e *Engine) acquire(r *http.Request, run *engineRun, priority int) bool {
	e.mu.Lock()
	if e.running < e.cfg.Slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	e.sequence++ // orders waiters by arrival
	waiter := &slotWaiter{priority, e.sequence, make(chan struct{})}
	heap.Push(&e.queue, waiter)
	e.mu.Unlock()
	select {
	case <-waiter.ready:
		return true
	case <-r.Context().Done():
	case <-run.stop:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.queue {
		if other == waiter {
			heap.Remove(&e.queue, i)
			return false
		}
	}
	e.releaseLocked() // the slot was granted at the same time
	return false
}

// release gives up a slot.
func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseLocked()
}

// releaseLocked passes a slot to the first waiter, or frees it. The caller holds e.mu.
func (e *Engine) releaseLocked() {
	if len(e.queue) > 0 {
		close(heap.Pop(&e.queue).(*slotWaiter).ready)
		return
	}
	e.running--
}
