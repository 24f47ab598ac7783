package relay

// This file defines what the box believes: the routing document, the upstreams, and
// the age of both. The invariant: within one life of the box the document's version
// never falls.

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

// News is what an item says that was published; one of its fields is set, or none
// where the item is of no concern.
type News struct {
	Document *route.Document
	Upstream *balance.Upstream
	Gone     string // id of an upstream whose entry is gone
}

// belief is the document in force and when it was last known to be the newest.
type belief struct {
	mu        sync.Mutex // orders the writers
	current   atomic.Pointer[route.Document]
	confirmed atomic.Int64 // time.Duration since the start
	lost      bool         // the publisher could not be read; of the members' duty
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

// takeNews takes what was published. An upstream whose entry goes before the end of
// doubt is only noted in missing, since the entry may come back.
func (r *Relay) takeNews(n News, doubt time.Duration, missing map[string]time.Duration) {
	switch {
	case n.Document != nil:
		r.takeDocument(n.Document)
	case n.Upstream != nil:
		delete(missing, n.Upstream.ID)
		r.takeUpstream(*n.Upstream)
	case n.Gone == "":
	case r.now() < doubt:
		missing[n.Gone] = doubt
	default:
		r.dropUpstream(n.Gone)
	}
}

func (r *Relay) takeDocument(d *route.Document) {
	if r.belief.take(d) {
		r.cfg.Log.Event("document", "in force", Fields{"version": d.Version, "routes": len(d.Routes), "customers": len(d.Customers)})
	}
}

func (r *Relay) takeUpstream(u balance.Upstream) {
	r.mu.Lock()
	old := r.fleet.Get(u.ID)
	changed := old == nil || old.Leaving != u.Leaving
	r.fleet.Put(r.now(), u)
	r.mu.Unlock()
	if changed {
		r.cfg.Log.Event("upstream", "listed", Fields{"upstream": u.ID, "service": u.Service, "address": u.Address, "leaving": u.Leaving})
	}
}

func (r *Relay) dropUpstream(id string) {
	r.mu.Lock()
	known := r.fleet.Get(id) != nil
	r.fleet.Remove(id)
	r.mu.Unlock()
	if known {
		r.cfg.Log.Event("upstream", "gone from the list", Fields{"upstream": id})
		r.conns.forget(id)
	}
}

// lose notes that the publisher cannot be read.
func (b *belief) lose(r *Relay, err error) {
	if !b.lost {
		b.lost = true
		r.cfg.Log.Event("publisher", "lost", Fields{"error": err.Error(), "age_ms": r.age().Milliseconds()})
	}
}

// regain notes that the publisher was read.
func (b *belief) regain(r *Relay) {
	if b.lost {
		b.lost = false
		r.cfg.Log.Event("publisher", "regained", Fields{"age_ms": r.age().Milliseconds()})
	}
}

// age is how long ago the belief was known to be the newest.
func (r *Relay) age() time.Duration { return r.now() - time.Duration(r.belief.confirmed.Load()) }

// version is that of the document in force; 0 without one.
func (r *Relay) version() uint64 {
	if d := r.belief.document(); d != nil {
		return d.Version
	}
	return 0
}
