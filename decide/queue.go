package decide

// This file defines the waiting requests of one class: a fair queue over its
// customers by tokens of work. The invariant: among customers that keep
// requests waiting, the tokens granted differ by at most one request's work,
// and within a customer the order is that of arrival.

import "container/heap"

// waiter is a request waiting in a pool. arrived lies before the moment of the
// bid by what the request had waited already.
type waiter struct {
	bid     Bid
	class   *classQueue
	arrived Time
	offered Time
	target  Time // when the first token is due
	expires Time // the earlier of what ends the wait; see expiry.go
	index   int  // place in the expiry heap
	late    bool // moved to the late line of its class
	gone    bool // withdrawn, refused or granted; skipped when met
}

// line is a first-in first-out list that reuses its memory.
type line struct {
	items []*waiter
	head  int
}

func (l *line) push(w *waiter) {
	if l.head > 32 && l.head*2 > len(l.items) {
		n := copy(l.items, l.items[l.head:])
		clear(l.items[n:])
		l.items, l.head = l.items[:n], 0
	}
	l.items = append(l.items, w)
}

// first returns the first waiter still there, or nil.
func (l *line) first(late bool) *waiter {
	for l.head < len(l.items) {
		w := l.items[l.head]
		if !w.gone && w.late == late {
			return w
		}
		l.items[l.head] = nil
		l.head++
	}
	l.items, l.head = l.items[:0], 0
	return nil
}

// last returns the newest waiter still there, or nil.
func (l *line) last(late bool) *waiter {
	for len(l.items) > l.head {
		w := l.items[len(l.items)-1]
		if !w.gone && w.late == late {
			return w
		}
		l.items = l.items[:len(l.items)-1]
	}
	return nil
}

// customerQueue is one customer's line within a class.
type customerQueue struct {
	name  string
	vtime float64 // tokens granted, moved up to the least of the class on return
	line  line
	index int // place in the class's heap, -1 when not waiting
}

// customerHeap orders the customers that wait by the tokens they have had.
type customerHeap []*customerQueue

func (h customerHeap) Len() int           { return len(h) }
func (h customerHeap) Less(i, j int) bool { return h[i].vtime < h[j].vtime }
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

// lateShare is how many requests that can still meet their target go before
// one that has missed it. Serving the missed ones first would make a queue that
// is once behind miss for ever; never serving them would starve them.
const lateShare = 3

// classQueue holds what of one class waits and runs in a pool.
type classQueue struct {
	rule      Rule
	vtime     float64 // tokens granted over weight
	credit    float64 // tokens owed to the class by its floor
	customers map[string]*customerQueue
	active    customerHeap
	targets   targetHeap // all that wait on time
	late      line
	onTime    int // granted on time since the last late one
	waiting   int
	lateCount int
	work      float64 // tokens of what waits
	running   int
	pausing   int // of the running, those whose pause is ordered
	visitors  int // of the waiting, those from other failure domains
	leases    []*lease
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
			q.vtime = max(q.vtime, c.active[0].vtime)
		}
		heap.Push(&c.active, q)
	}
	q.line.push(w)
	for len(c.targets) > 0 && (c.targets[0].gone || c.targets[0].late) {
		heap.Pop(&c.targets)
	}
	heap.Push(&c.targets, w)
	c.waiting++
	c.work += w.bid.Work
}

// forget drops a waiter from the counts; the lines skip it when they meet it.
func (c *classQueue) forget(w *waiter) {
	w.gone = true
	c.waiting--
	c.work -= w.bid.Work
	if w.late {
		c.lateCount--
	}
	if c.waiting == 0 {
		c.work = 0
	}
}

// delay moves a waiter that has missed its target to the late line.
func (c *classQueue) delay(w *waiter) {
	w.late = true
	c.lateCount++
	c.late.push(w)
}

// head returns the request that is next in this class, or nil.
func (c *classQueue) head() *waiter {
	if c.lateCount > 0 && (c.onTime >= lateShare || c.lateCount == c.waiting) {
		if w := c.late.first(true); w != nil {
			return w
		}
	}
	for len(c.active) > 0 {
		if w := c.active[0].line.first(false); w != nil {
			return w
		}
		heap.Pop(&c.active)
	}
	return c.late.first(true)
}

// urgent counts, up to most, the requests from place i of the heap on that can
// still meet their targets but have little more than half of their time left. A
// request's heirs in the heap are no more urgent than itself, so only urgent
// ones are looked at.
func (c *classQueue) urgent(now Time, i, most int) int {
	if i >= len(c.targets) || most <= 0 || c.targets[i].target-now > c.rule.FirstToken/2 {
		return 0
	}
	n := 0
	if w := c.targets[i]; !w.gone && !w.late && now < w.target {
		n = 1
	}
	n += c.urgent(now, 2*i+1, most-n)
	return n + c.urgent(now, 2*i+2, most-n)
}

// tail returns the request that gives way first, or nil: of the customer
// furthest ahead of its share, the newest.
func (c *classQueue) tail() *waiter {
	if w := c.late.last(true); w != nil {
		return w
	}
	for i := len(c.active) - 1; i >= 0; i-- {
		if w := c.active[i].line.last(false); w != nil {
			return w
		}
	}
	return nil
}

// granted charges the class and the customer for a request that leaves the
// queue to run.
func (c *classQueue) granted(w *waiter) {
	if w.late {
		c.onTime = 0
	} else {
		c.onTime++
	}
	c.forget(w)
	c.vtime += w.bid.Work / c.rule.Weight
	q := c.customers[w.bid.Customer]
	q.vtime += w.bid.Work
	if q.index >= 0 {
		heap.Fix(&c.active, q.index)
	}
	c.running++
}

// settle corrects the charge once the true length of an answer is known.
func (c *classQueue) settle(customer string, difference float64) {
	c.vtime += difference / c.rule.Weight
	if q := c.customers[customer]; q != nil {
		q.vtime += difference
		if q.index >= 0 {
			heap.Fix(&c.active, q.index)
		}
	}
}

// backlogged reports whether a request of the class waits and may run.
func (c *classQueue) backlogged() bool {
	return c.waiting > 0 && (c.rule.Concurrency == 0 || c.running < c.rule.Concurrency)
}

// targetHeap orders waiters by their targets.
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

// expiryHeap orders waiters by when something has to be done about them.
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
