package relay

// This file defines how requests wait for the end of a pause where no other upstream takes them. The invariants: places go to the more
// urgent first, and then to those that came first; and whoever can no longer be served in its time hears it at once.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
)

const (
	// pauseReason is why a request is refused where all upstreams that are left ask for a pause.
	pauseReason = "upstreams ask for a pause"
	// maxPauseRetryAfter bounds when a caller shall come back after a pause.
	maxPauseRetryAfter = time.Minute
	// retryAfterJitter is the part by which the times differ that callers are told who are refused for the same cause.
	retryAfterJitter = 0.25
)

// requestsWaited counts the requests that waited for the end of a pause.
const requestsWaited = "requests_waited_for_pauses"

// addJitter lengthens the time after which a caller shall come back, differently for each.
func addJitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*retryAfterJitter*float64(d))
}

// waiter is a request that waits.
type waiter struct {
	exchange *exchange
	placed   balance.Request
	woken    chan struct{} // closed when it is to be placed, or given up
}

// pauseQueue is the requests of a service that wait. The relay's mu guards it.
type pauseQueue struct {
	list  []*waiter // in the order in which they get places
	timer *time.Timer
	due   time.Duration // when the timer wakes the first
}

// compareWaiters sorts waiters.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.placed.Urgency, b.placed.Urgency), a.exchange.arrived.Compare(b.exchange.arrived))
}

// pauseLeft is how long it takes until the request may have a place after a pause; 0 where none keeps it from one. Upstreams that it was
// sent to before count as well where it is about to come back.
func (x *exchange) pauseLeft(tried []string) time.Duration {
	return x.relay.fleet.PauseLeft(x.relay.now(), x.placement(), tried)
}

// canWait reports whether the request can still be served after a pause that lasts so long. On a box that is stopping none waits: its
// grace may be over first.
func (x *exchange) canWait(left time.Duration) bool {
	return left > 0 && left+minTimeLeft <= x.timeLeft() && !x.relay.stopping.Load()
}

// awaitPauseEnd waits until the request may be placed after a pause. False: it need not, or cannot in its time. One that was sent before is
// not sent again to an upstream that turned it away: its caller is told when to come back.
func (x *exchange) awaitPauseEnd() bool {
	r := x.relay
	if x.runsSent > 0 || !x.canWait(x.pausedFor) {
		return false
	}
	began := time.Now()
	w := &waiter{exchange: x, placed: x.placement(), woken: make(chan struct{})}
	r.mu.Lock()
	r.enqueue(w, r.now()+x.pausedFor)
	r.mu.Unlock()
	r.stats.count(requestsWaited)
	select {
	case <-w.woken:
	case <-x.ctx.Done():
		r.mu.Lock()
		r.dequeue(w)
		r.mu.Unlock()
	}
	x.pauseWaited += time.Since(began)
	return true
}

// enqueue adds a waiter, who is woken at a moment at the latest. The caller holds the relay's mu.
func (r *Relay) enqueue(w *waiter, due time.Duration) {
	service := w.placed.Service
	q := r.pauseQueues[service]
	if q == nil {
		q = &pauseQueue{}
		r.pauseQueues[service] = q
	}
	at, _ := slices.BinarySearchFunc(q.list, w, compareWaiters)
	q.list = slices.Insert(q.list, at, w)
	r.fleet.Wait(w.placed)
	r.scheduleWake(service, q, due)
}

// dequeue takes a waiter out, if it is still there. The caller holds the relay's mu.
func (r *Relay) dequeue(w *waiter) {
	service := w.placed.Service
	q := r.pauseQueues[service]
	if q == nil {
		return
	}
	at := slices.Index(q.list, w)
	if at < 0 {
		return
	}
	q.list = slices.Delete(q.list, at, at+1)
	r.fleet.EndWait(w.placed)
	if len(q.list) == 0 {
		q.timer.Stop()
		delete(r.pauseQueues, service)
	}
}

// scheduleWake has waiters of a service woken at a moment, unless they are before. The caller holds the relay's mu.
func (r *Relay) scheduleWake(service string, q *pauseQueue, due time.Duration) {
	if q.timer != nil && q.due <= due && q.due > r.now() {
		return
	}
	if q.timer != nil {
		q.timer.Stop()
	}
	q.due = due
	q.timer = time.AfterFunc(max(0, due-r.now()), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.wakeReady(service)
	})
}

// wakeReady wakes as many of the requests that wait as there may be places for, and those that cannot be served in their time any
// more. The caller holds the relay's mu.
func (r *Relay) wakeReady(service string) {
	q := r.pauseQueues[service]
	if q == nil {
		return
	}
	now := r.now()
	for range min(r.fleet.Room(now, service), len(q.list)) {
		r.wakeWaiter(q.list[0])
	}
	if r.pauseQueues[service] == nil {
		return
	}
	left := q.list[0].exchange.pauseLeft(nil)
	for _, w := range slices.Clone(q.list) {
		if !w.exchange.canWait(left) {
			r.wakeWaiter(w)
		}
	}
	if r.pauseQueues[service] != nil {
		r.scheduleWake(service, q, now+left)
	}
}

// wakeAll wakes all waiters of all services.
func (r *Relay) wakeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.pauseQueues {
		for _, w := range slices.Clone(q.list) {
			r.wakeWaiter(w)
		}
	}
}

// wakeWaiter wakes a waiter. The caller holds the relay's mu.
func (r *Relay) wakeWaiter(w *waiter) {
	r.dequeue(w)
	close(w.woken)
}
