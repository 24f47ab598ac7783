package relay

// This file defines how what is published becomes what the box believes. The
// invariant: an upstream whose entry went is not dropped while entries may come back.

import (
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/route"
)

// News is what an item says that was published; one of its fields is set, or none
// where the item is of no concern.
type News struct {
	Document *route.Document
	Upstream *balance.Upstream
	Gone     string // id of an upstream whose entry is gone
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

// takeDocument puts a document in force where it is newer than the present one.
func (r *Relay) takeDocument(d *route.Document) {
	if r.belief.take(d) {
		r.cfg.Log.Event("document", "in force", Fields{"version": d.Version, "routes": len(d.Routes), "customers": len(d.Customers)})
	}
}

// takeUpstream lists an upstream, or renews what is known of it.
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

// dropUpstream forgets an upstream and the connections to it that rest.
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

// changed is told by the node, and hands in what is new in the mirror.
func (m *members) changed(items []mirror.Item) {
	for _, item := range items {
		news, err := m.relay.cfg.Decode(item)
		if err != nil {
			m.relay.cfg.Log.Event("published", "not taken", Fields{"key": item.Key, "revision": item.Revision, "error": err.Error()})
			continue
		}
		m.relay.takeNews(news, m.node.Doubt(), m.missing)
	}
}

// dropMissing drops the upstreams whose entries did not come back in time.
func (m *members) dropMissing() {
	now := m.relay.now()
	for id, due := range m.missing {
		if now >= due && now >= m.node.Doubt() {
			delete(m.missing, id)
			m.relay.dropUpstream(id)
		}
	}
}
