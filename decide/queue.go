package decide

// This file defines the queue of one class: fair queueing over its customers by
// tokens of work. The invariants: among customers with waiting requests, the granted
// tokens differ by at most one request's work; the requests of one customer are
// served in order of arrival.

import "container/heap"

// waiter is a request waiting in a pool. arrived is earlier than offered by the time
// that the request had waited before its bid.
type waiter struct {
	bid     Bid
	class   *classQueue
	arrived Time
	offered Time
	target  Time // when the first token is due
	expires Time // next time that Pool.expire must handle the waiter: deadline or target
	index   int  // position in the expiry heap, or -1
	late    bool // missed its target and moved to the late queue of its class
	removed bool // withdrawn, refused or granted; queues skip it
}

// fifo is a first-in, first-out queue of waiters that reuses its memory. It may still
// contain waiters that were removed or moved to another queue.
type fifo struct {
	items []*waiter
	head  int
}

func (f *fifo) push(w *waiter) {
	if f.head > 32 && f.head*2 > len(f.items) {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.items, f.head = f.items[:n], 0
	}
	f.items = append(f.items, w)
}

// first returns the oldest waiter that was not removed and has the given late flag,
// or nil.
func (f *fifo) first(late bool) *waiter {
	for f.head < len(f.items) {
		w := f.items[f.head]
		if !w.removed && w.late == late {
			return w
		}
		f.items[f.head] = nil
		f.head++
	}
	f.items, f.head = f.items[:0], 0
	return nil
}

// last returns the newest waiter that was not removed and has the given late flag, or
// nil.
func (f *fifo) last(late bool) *waiter {
	for len(f.items) > f.head {
		w := f.items[len(f.items)-1]
		if !w.removed && w.late == late {
			return w
		}
		f.items = f.items[:len(f.items)-1]
	}
	return nil
}

// customerQueue holds the waiting requests of one customer in a class.
type customerQueue struct {
	name        string
	virtualTime float64 // granted tokens; raised to the minimum of the active customers on return
	queue       fifo
	index       int // position in the heap of the class, or -1 if no request waits
}

// customerHeap orders customers with waiting requests by virtual time.
type customerHeap []*customerQueue

func (h customerHeap) Len() int           { return len(h) }
func (h customerHeap) Less(i, j int) bool { return h[i].virtualTime < h[j].virtualTime }
func (h customerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *customerHeap) Push(x any) {
	q := x.(*customerQueue)
	q.index = len(*h)
	*h = append(*h, q)
}
func (h *customerHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	q.index = -1
	return q
}

// onTimePerLate is how many requests that can still meet their targets are served
// for each one that has missed its target. If late requests were served first, a
// queue that falls behind once would miss its targets forever; if they were never
// served, they would starve.
const onTimePerLate = 3

// classQueue holds the waiting requests and the leases of one class in a pool.
type classQueue struct {
	rule                    Rule
	virtualTime             float64 // granted tokens divided by weight
	credit                  float64 // tokens that the floor owes to the class
	customers               map[string]*customerQueue
	active                  customerHeap // customers with waiting requests
	targets                 targetHeap   // waiting requests that have not missed their targets
	late                    fifo
	onTimeGrants            int // grants of requests on time since the last late one
	waiting                 int
	lateCount               int
	work                    float64 // tokens of the waiting requests
	running                 int
	pausing                 int // running requests with a pause order
	waitingFromOtherDomains int // waiting requests from other failure domains
	leases                  []*lease
}

func newClassQueue(rule Rule) *classQueue {
	return &classQueue{rule: rule, customers: make(map[string]*customerQueue)}
}

func (c *classQueue) push(w *waiter) {
	q := c.customers[w.bid.Customer]
	if q == nil {
		q = &customerQueue{name: w.bid.Customer, index: -1}
		c.customers[w.bid.Customer] = q
	}
	if q.index < 0 {
		if len(c.active) > 0 {
			q.virtualTime = max(q.virtualTime, c.active[0].virtualTime)
		}
		heap.Push(&c.active, q)
	}
	q.queue.push(w)
	for len(c.targets) > 0 && (c.targets[0].removed || c.targets[0].late) {
		heap.Pop(&c.targets)
	}
	heap.Push(&c.targets, w)
	c.waiting++
	c.work += w.bid.Work
}

// removeWaiter removes a waiter from the counts and marks it removed, so that the
// queues skip it.
func (c *classQueue) removeWaiter(w *waiter) {
	w.removed = true
	c.waiting--
	c.work -= w.bid.Work
	if w.late {
		c.lateCount--
	}
	if c.waiting == 0 {
		c.work = 0
	}
}

// markLate moves a waiter that has missed its target to the late queue.
func (c *classQueue) markLate(w *waiter) {
	w.late = true
	c.lateCount++
	c.late.push(w)
}

// head returns the next request of the class, or nil.
func (c *classQueue) head() *waiter {
	if c.lateCount > 0 && (c.onTimeGrants >= onTimePerLate || c.lateCount == c.waiting) {
		if w := c.late.first(true); w != nil {
			return w
		}
	}
	for len(c.active) > 0 {
		if w := c.active[0].queue.first(false); w != nil {
			return w
		}
		heap.Pop(&c.active)
	}
	return c.late.first(true)
}

// urgent returns the number, at most most, of requests in the subtree at index i of
// the target heap that can still meet their targets but have at most half of the
// target time left. The children in the heap are no more urgent than their parent, so
// the search visits only urgent requests and their children.
func (c *classQueue) urgent(now Time, i, most int) int {
	if i >= len(c.targets) || most <= 0 || c.targets[i].target-now > c.rule.FirstToken/2 {
		return 0
	}
	n := 0
	if w := c.targets[i]; !w.removed && !w.late && now < w.target {
		n = 1
	}
	n += c.urgent(now, 2*i+1, most-n)
	return n + c.urgent(now, 2*i+2, most-n)
}

// tail returns the request to evict first, or nil: the newest late one, or else the
// newest one of a customer with high virtual time.
func (c *classQueue) tail() *waiter {
	if w := c.late.last(true); w != nil {
		return w
	}
	for i := len(c.active) - 1; i >= 0; i-- {
		if w := c.active[i].queue.last(false); w != nil {
			return w
		}
	}
	return nil
}

// chargeGrant removes a waiter that was granted a slot and charges its work to the
// class and the customer.
func (c *classQueue) chargeGrant(w *waiter) {
	if w.late {
		c.onTimeGrants = 0
	} else {
		c.onTimeGrants++
	}
	c.removeWaiter(w)
	c.virtualTime += w.bid.Work / c.rule.Weight
	q := c.customers[w.bid.Customer]
	q.virtualTime += w.bid.Work
	if q.index >= 0 {
		heap.Fix(&c.active, q.index)
	}
	c.running++
}

// adjustCharge corrects the charge by the difference between the actual and the
// expected number of tokens.
func (c *classQueue) adjustCharge(customer string, difference float64) {
	c.virtualTime += difference / c.rule.Weight
	if q := c.customers[customer]; q != nil {
		q.virtualTime += difference
		if q.index >= 0 {
			heap.Fix(&c.active, q.index)
		}
	}
}

// backlogged reports whether the class has a waiting request and is below its
// concurrency limit.
func (c *classQueue) backlogged() bool {
	return c.waiting > 0 && (c.rule.Concurrency == 0 || c.running < c.rule.Concurrency)
}

// targetHeap orders waiters by target.
type targetHeap []*waiter

func (h targetHeap) Len() int           { return len(h) }
func (h targetHeap) Less(i, j int) bool { return h[i].target < h[j].target }
func (h targetHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *targetHeap) Push(x any)        { *h = append(*h, x.(*waiter)) }
func (h *targetHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// expiryHeap orders waiters by their expires field.
type expiryHeap []*waiter

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *expiryHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}
func (h *expiryHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
