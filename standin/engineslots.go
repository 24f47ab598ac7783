package standin

// This file defines the slots of a stand-in engine's batch. The invariant: whoever waits for
// one the longest among the most urgent gets the next that comes free.

import (
	"container/heap"
	"net/http"
)

// slotWaiter waits for a batching slot.
type slotWaiter struct {
	priority int
	order    uint64
	ready    chan struct{}
}

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

// acquire waits for a slot of the batch, by priority.
func (e *Engine) acquire(r *http.Request, run *engineRun, priority int) bool {
	e.mu.Lock()
	if e.running < e.cfg.Slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	e.sequence++ // also serves as the order of arrival
	me := &slotWaiter{priority, e.sequence, make(chan struct{})}
	heap.Push(&e.queue, me)
	e.mu.Unlock()
	select {
	case <-me.ready:
		return true
	case <-r.Context().Done():
	case <-run.stop:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.queue {
		if other == me {
			heap.Remove(&e.queue, i)
			return false
		}
	}
	e.handOn() // the slot came just now
	return false
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handOn()
}

func (e *Engine) handOn() {
	if len(e.queue) > 0 {
		close(heap.Pop(&e.queue).(*slotWaiter).ready)
		return
	}
	e.running--
}
