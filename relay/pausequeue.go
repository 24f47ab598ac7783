package relay

// This file defines how requests wait for the end of an upstream's pause if no other upstream accepts
// them. The invariants: free places go to the more urgent requests first, and among equally urgent
// ones to those that arrived first; and a request that can no longer be served before its deadline is
// refused at once.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
)

const (
	// pauseReason is the reason of a refusal if all remaining upstreams ask for a pause.
	pauseReason = "upstreams ask for a pause"
	// maxPauseRetryAfter is the maximum time after which a caller is told to retry because of a pause.
	maxPauseRetryAfter = time.Minute
	// retryAfterJitter is the maximum share by which the retry times of callers refused for the same
	// cause are increased at random.
	retryAfterJitter = 0.25
)

// requestsWaited is the metric that counts requests that waited for the end of a pause.
const requestsWaited = "requests_waited_for_pauses"

// addJitter increases a retry time at random, so that callers do not return all at once.
func addJitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*retryAfterJitter*float64(d))
}

// waiter is a request in a pauseQueue.
type waiter struct {
	exchange *exchange
	placed   balance.Request
	woken    chan struct{} // closed when the request is to be placed again or given up
}

// pauseQueue holds the waiting requests of a service. It is guarded by Relay.mu.
type pauseQueue struct {
	list  []*waiter // in the order in which they are placed
	timer *time.Timer
	due   time.Duration // when the timer fires
}

// compareWaiters orders waiters by urgency, then by arrival.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.placed.Urgency, b.placed.Urgency), a.exchange.arrived.Compare(b.exchange.arrived))
}

// pauseLeft returns the time until a pause that keeps the request from being placed ends; 0 if none
// does. Upstreams in tried are excluded. tried is nil when the time for a caller's retry is worked
// out, since the retry may go to any of them.
func (x *exchange) pauseLeft(tried []string) time.Duration {
	return x.relay.fleet.PauseLeft(x.relay.now(), x.placement(), tried)
}

// canWait reports whether the request can still be served after a pause of the given length. While the
// box is stopping no request waits, since the grace period may end first.
func (x *exchange) canWait(left time.Duration) bool {
	return left > 0 && left+minTimeLeft <= x.timeLeft() && !x.relay.stopping.Load()
}

// awaitPauseEnd waits until the request may be placed after a pause. It returns false if there is no
// pause or the pause is too long. A request that was already sent does not wait, since it is not sent
// again to an upstream that refused it; its caller is told when to retry.
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

// enqueue adds a waiter, which is woken at due at the latest. The caller holds r.mu.
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

// dequeue removes a waiter if it is still queued. The caller holds r.mu.
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

// scheduleWake sets the timer of a service's queue to due, unless it is set to an earlier time in the
// future. The caller holds r.mu.
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

// wakeReady wakes as many waiting requests as there may be places for, and those that can no longer be
// served before their deadlines. The caller holds r.mu.
func (r *Relay) wakeReady(service string) {
	q := r.pauseQueues[service]
	if q == nil {
		return
	}
	now := r.now()
	for range min(r.fleet.ReturnCapacity(now, service), len(q.list)) {
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

// wakeAll wakes all waiting requests of all services.
func (r *Relay) wakeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.pauseQueues {
		for _, w := range slices.Clone(q.list) {
			r.wakeWaiter(w)
		}
	}
}

// wakeWaiter removes a waiter from its queue and wakes it. The caller holds r.mu.
func (r *Relay) wakeWaiter(w *waiter) {
	r.dequeue(w)
	close(w.woken)
}
