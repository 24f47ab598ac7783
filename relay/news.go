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
	// Evacuated is a failure domain to whose upstreams nothing more is to be sent, and
	// TakenBack one that was evacuated and is so no longer.
	Evacuated, TakenBack string
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
	case n.Evacuated != "":
		r.evacuate(n.Evacuated)
	case n.TakenBack != "":
		r.takeBack(n.TakenBack)
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
		r.setServices(d)
		r.cfg.Log.Event("document", "in force", Fields{"version": d.Version, "routes": len(d.Routes), "customers": len(d.Customers)})
	}
}

// takeUpstream lists an upstream, or renews what is known of it.
func (r *Relay) takeUpstream(u balance.Upstream) {
	r.mu.Lock()
	old := r.fleet.Get(u.ID)
	changed := old == nil || old.Leaving != u.Leaving
	replaced := r.fleet.Put(r.now(), u)
	r.mu.Unlock()
	if replaced != "" {
		r.cfg.Log.Event("upstream", "replaced", Fields{"upstream": replaced, "by": u.ID, "address": u.Address})
		r.conns.forget(replaced)
	}
	if changed {
		r.cfg.Log.Event("upstream", "listed", Fields{"upstream": u.ID, "service": u.Service, "address": u.Address, "leaving": u.Leaving,
			"cold_ms": u.ColdFor.Milliseconds()})
	}
}

// evacuate sends nothing more to the upstreams of a failure domain. What runs there may end.
func (r *Relay) evacuate(domain string) {
	r.mu.Lock()
	isNew := r.fleet.Evacuate(domain)
	r.mu.Unlock()
	if isNew {
		r.cfg.Log.Event("domain", "evacuated", Fields{"domain": domain, "age_ms": r.age().Milliseconds()})
	}
}

// takeBack uses the upstreams of a failure domain again, and tries those that could not be
// reached before.
func (r *Relay) takeBack(domain string) {
	r.mu.Lock()
	isNew := r.fleet.TakeBack(r.now(), domain)
	r.mu.Unlock()
	if isNew {
		r.cfg.Log.Event("domain", "taken back", Fields{"domain": domain, "age_ms": r.age().Milliseconds()})
		r.tryLater()
	}
}

// setServices notes what the upstreams of the document's services bear while they are cold, and what
// their memory holds.
func (r *Relay) setServices(d *route.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range d.Services {
		r.fleet.SetCold(s.Name, balance.Cold{Lasts: s.ColdFor, Most: r.cfg.Cold.most(s.ColdPerSecond)})
		r.fleet.SetMemory(s.Name, s.Memory)
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
