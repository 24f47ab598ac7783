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
	// longestComeBack bounds when a caller shall come back after a pause.
	longestComeBack = time.Minute
	// comeBackSpread is the part by which the times differ that callers are told who are refused for the same cause.
	comeBackSpread = 0.25
)

// requestsWaited counts the requests that waited for the end of a pause.
const requestsWaited = "requests_waited_for_pauses"

// spread lengthens the time after which a caller shall come back, differently for each.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*comeBackSpread*float64(d))
}

// waiter is a request that waits.
type waiter struct {
	exchange *exchange
	placed   balance.Request
	woken    chan struct{} // closed when it is to be placed, or given up
}

// waiting is the requests of a service that wait. The relay's mu guards it.
type waiting struct {
	list  []*waiter // in the order in which they get places
	timer *time.Timer
	due   time.Duration // when the timer wakes the first
}

// order sorts waiters.
func order(a, b *waiter) int {
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
	return left > 0 && left+shortest <= x.left() && !x.relay.stopping.Load()
}

// await waits until the request may be placed after a pause. False: it need not, or cannot in its time. One that was sent before is
// not sent again to an upstream that turned it away: its caller is told when to come back.
func (x *exchange) await() bool {
	r := x.relay
	if x.sent > 0 || !x.canWait(x.paused) {
		return false
	}
	began := time.Now()
	w := &waiter{exchange: x, placed: x.placement(), woken: make(chan struct{})}
	r.mu.Lock()
	r.queue(w, r.now()+x.paused)
	r.mu.Unlock()
	r.stats.count(requestsWaited)
	select {
	case <-w.woken:
	case <-x.ctx.Done():
		r.mu.Lock()
		r.unqueue(w)
		r.mu.Unlock()
	}
	x.waited += time.Since(began)
	return true
}

// queue adds a waiter, who is woken at a moment at the latest. The caller holds the relay's mu.
func (r *Relay) queue(w *waiter, due time.Duration) {
	service := w.placed.Service
	q := r.waiting[service]
	if q == nil {
		q = &waiting{}
		r.waiting[service] = q
	}
	at, _ := slices.BinarySearchFunc(q.list, w, order)
	q.list = slices.Insert(q.list, at, w)
	r.fleet.Wait(w.placed)
	r.wakeAt(service, q, due)
}

// unqueue takes a waiter out, if it is still there. The caller holds the relay's mu.
func (r *Relay) unqueue(w *waiter) {
	service := w.placed.Service
	q := r.waiting[service]
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
		delete(r.waiting, service)
	}
}

// wakeAt has waiters of a service woken at a moment, unless they are before. The caller holds the relay's mu.
func (r *Relay) wakeAt(service string, q *waiting, due time.Duration) {
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
		r.wakeWaiting(service)
	})
}

// wakeWaiting wakes as many of the requests that wait as there may be places for, and those that cannot be served in their time any
// more. The caller holds the relay's mu.
func (r *Relay) wakeWaiting(service string) {
	q := r.waiting[service]
	if q == nil {
		return
	}
	now := r.now()
	for range min(r.fleet.Room(now, service), len(q.list)) {
		r.wake(q.list[0])
	}
	if r.waiting[service] == nil {
		return
	}
	left := q.list[0].exchange.pauseLeft(nil)
	for _, w := range slices.Clone(q.list) {
		if !w.exchange.canWait(left) {
			r.wake(w)
		}
	}
	if r.waiting[service] != nil {
		r.wakeAt(service, q, now+left)
	}
}

// wakeAll wakes all waiters of all services.
func (r *Relay) wakeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.waiting {
		for _, w := range slices.Clone(q.list) {
			r.wake(w)
		}
	}
}

// wake wakes a waiter. The caller holds the relay's mu.
func (r *Relay) wake(w *waiter) {
	r.unqueue(w)
	close(w.woken)
}
