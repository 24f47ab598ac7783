package relay

// This file defines the box's view of published data: the routing document in force, and how
// long ago the document and the list of upstreams were known to be current. The invariant:
// while the box runs, the document's version never decreases.

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/doormast/doormast/route"
)

// published is the document in force and when it was last known to be the newest.
type published struct {
	mu          sync.Mutex // serializes writers
	current     atomic.Pointer[route.Document]
	ready       chan struct{} // closed when there is a document
	confirmedAt atomic.Int64  // time.Duration since the start
	lost        bool          // the last read of the publisher failed; used by the members' loop only
}

func newPublished() published { return published{ready: make(chan struct{})} }

func (p *published) document() *route.Document { return p.current.Load() }

// apply puts a document in force if it is newer than the current one, and reports whether it
// is.
func (p *published) apply(d *route.Document) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.current.Load()
	if old != nil && old.Version >= d.Version {
		return false
	}
	p.current.Store(d)
	if old == nil {
		close(p.ready)
	}
	return true
}

// noteLost records that the publisher cannot be read.
func (p *published) noteLost(r *Relay, err error) {
	if !p.lost {
		p.lost = true
		r.cfg.Log.Event("publisher", "lost", Fields{"error": err.Error(), "age_ms": r.publishedAge().Milliseconds()})
	}
}

// noteRegained records that the publisher was read.
func (p *published) noteRegained(r *Relay) {
	if p.lost {
		p.lost = false
		r.cfg.Log.Event("publisher", "regained", Fields{"age_ms": r.publishedAge().Milliseconds()})
	}
}

// publishedAge is how long ago the published data was known to be the newest.
func (r *Relay) publishedAge() time.Duration {
	return r.now() - time.Duration(r.published.confirmedAt.Load())
}

// documentVersion is the version of the document in force; 0 if there is none.
func (r *Relay) documentVersion() uint64 {
	if d := r.published.document(); d != nil {
		return d.Version
	}
	return 0
}
