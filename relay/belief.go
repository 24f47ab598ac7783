package relay

// This file defines what the box believes: the routing document, the upstreams, and
// the age of both. The invariant: within one life of the box the document's version
// never falls.

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/doormast/doormast/route"
)

// belief is the document in force and when it was last known to be the newest.
type belief struct {
	mu        sync.Mutex // orders the writers
	current   atomic.Pointer[route.Document]
	known     chan struct{} // closed when there is a document
	confirmed atomic.Int64  // time.Duration since the start
	lost      bool          // the publisher could not be read; of the members' duty
}

func newBelief() belief { return belief{known: make(chan struct{})} }

func (b *belief) document() *route.Document { return b.current.Load() }

// take puts a document in force if it is newer.
func (b *belief) take(d *route.Document) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.current.Load()
	if old != nil && old.Version >= d.Version {
		return false
	}
	b.current.Store(d)
	if old == nil {
		close(b.known)
	}
	return true
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
