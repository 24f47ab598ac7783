package relay

// This file defines what the box believes: the routing document and the age of
// what it has read. The invariant: within one life of the box the document's
// version never falls.

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

// belief is the document in force and when it was last known to be the newest.
type belief struct {
	mu        sync.Mutex // orders the writers
	current   atomic.Pointer[route.Document]
	confirmed atomic.Int64 // time.Duration since the start
	lost      atomic.Bool  // the source cannot be read
}

func (b *belief) document() *route.Document { return b.current.Load() }

// take puts a document in force if it is newer.
func (b *belief) take(d *route.Document) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.current.Load(); old != nil && old.Version >= d.Version {
		return false
	}
	b.current.Store(d)
	return true
}

// TakeDocument implements Sink.
func (r *Relay) TakeDocument(d *route.Document) {
	if r.belief.take(d) {
		r.cfg.Log.Event("document", "in force", Fields{"version": d.Version, "routes": len(d.Routes), "customers": len(d.Customers)})
	}
}

// TakeUpstreams implements Sink.
func (r *Relay) TakeUpstreams(list []balance.Upstream) {
	present := make(map[string]bool, len(list))
	for _, u := range list {
		present[u.ID] = true
		r.TakeUpstream(u)
	}
	for _, id := range r.Upstreams() {
		if !present[id] {
			r.DropUpstream(id)
		}
	}
}

// Upstreams implements Sink.
func (r *Relay) Upstreams() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.IDs()
}

// TakeUpstream implements Sink.
func (r *Relay) TakeUpstream(u balance.Upstream) {
	r.mu.Lock()
	old := r.fleet.Get(u.ID)
	changed := old == nil || old.Leaving != u.Leaving
	r.fleet.Put(u)
	r.mu.Unlock()
	if changed {
		r.cfg.Log.Event("upstream", "listed", Fields{"upstream": u.ID, "service": u.Service, "address": u.Address, "leaving": u.Leaving})
	}
}

// DropUpstream implements Sink.
func (r *Relay) DropUpstream(id string) {
	r.mu.Lock()
	known := r.fleet.Get(id) != nil
	r.fleet.Remove(id)
	r.mu.Unlock()
	if known {
		r.cfg.Log.Event("upstream", "gone from the list", Fields{"upstream": id})
		r.conns.forget(id)
	}
}

// Confirm implements Sink.
func (r *Relay) Confirm() {
	r.belief.confirmed.Store(int64(r.now()))
	if r.belief.lost.CompareAndSwap(true, false) {
		r.cfg.Log.Event("source", "regained", nil)
	}
}

// Lost implements Sink.
func (r *Relay) Lost(err error) {
	if r.belief.lost.CompareAndSwap(false, true) {
		r.cfg.Log.Event("source", "lost", Fields{"error": err.Error()})
	}
}

// age is how long ago the belief was known to be the newest.
func (r *Relay) age() time.Duration { return r.now() - time.Duration(r.belief.confirmed.Load()) }
