package relay

// This file defines how what is published becomes what the box believes. The
// invariant: an upstream whose entry went is not dropped while entries may come back.

import (
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/route"
)

// Update is what an item says that was published; one of its fields is set, or none
// where the item is of no concern.
type Update struct {
	Document *route.Document
	Upstream *balance.Upstream
	Removed  string // id of an upstream whose entry is gone
	Invalid  string // id of an upstream whose entry names none that can be used
	// Evacuated is a failure domain to whose upstreams nothing more is to be sent, and
	// Restored one that was evacuated and is so no longer.
	Evacuated, Restored string
}

// takeNews takes what was published. An upstream whose entry goes before the end of
// doubt is only noted in missing, since the entry may come back.
func (r *Relay) takeNews(n Update, doubt time.Duration, missing map[string]time.Duration) {
	switch {
	case n.Document != nil:
		r.takeDocument(n.Document)
	case n.Upstream != nil:
		delete(missing, n.Upstream.ID)
		r.takeUpstream(*n.Upstream)
	case n.Invalid != "":
		delete(missing, n.Invalid)
		r.dropUpstream(n.Invalid, "entry unusable")
	case n.Evacuated != "":
		r.evacuate(n.Evacuated)
	case n.Restored != "":
		r.takeBack(n.Restored)
	case n.Removed == "":
	case r.now() < doubt:
		missing[n.Removed] = doubt
	default:
		r.dropUpstream(n.Removed, "gone from the list")
	}
}

// takeDocument puts a document in force where it is newer than the present one.
func (r *Relay) takeDocument(d *route.Document) {
	if r.belief.take(d) {
		r.setServices(d)
		r.cfg.Log.Event("document", "in force", Fields{"version": d.Version, "routes": len(d.Routes), "customers": len(d.Customers)})
	}
}

// entryChange is what an entry has changed.
type entryChange struct {
	before  balance.Upstream // zero where it was not listed
	present balance.Upstream
	listed  bool
	serves  bool   // the document names its service
	asks    bool   // it is to be asked whether it is leaving
	other   string // the one whose address it has taken over
	// It was not leaving: nobody told of its end.
	otherEnded *balance.Incarnation
}

// putUpstream lists an upstream, or renews what is known of it.
func (r *Relay) putUpstream(u balance.Upstream) entryChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	var c entryChange
	c.before, _ = r.listed(u.ID)
	c.other = r.fleet.Put(r.now(), u)
	if o, known := r.fleet.Entry(c.other); known && !o.Leaving {
		life := o.Incarnation()
		c.otherEnded = &life
	}
	c.present, c.listed = r.listed(u.ID)
	r.wakeReady(u.Service)
	c.serves = r.fleet.Serves(u.ID)
	c.asks = c.listed && r.fleet.NeedsLeavingCheck(c.present.Incarnation())
	return c
}

// takeUpstream lists an upstream, or renews what is known of it, and ends what is left of a
// life before.
func (r *Relay) takeUpstream(u balance.Upstream) {
	c := r.putUpstream(u)
	if !c.listed || u.StartedAt != 0 && u.StartedAt < c.present.StartedAt {
		r.cfg.Log.Event("upstream", "entry passed over", Fields{"upstream": u.ID, "born": u.StartedAt, "address": u.Address, "revision": u.Revision,
			"listed": c.listed, "present": c.present.StartedAt})
		return // its address has another one, or it is of an earlier life
	}
	u = c.present
	if c.serves && c.before.ID != "" && u.Incarnation().After(c.before.Incarnation()) {
		r.startedAgain(c.before, u)
	}
	if c.asks {
		go r.prove(u)
	}
	if c.other != "" {
		r.cfg.Log.Event("upstream", "replaced", Fields{"upstream": c.other, "by": u.ID, "address": u.Address})
		r.conns.forget(c.other)
	}
	if c.otherEnded != nil {
		r.holdAgainst(*c.otherEnded)
	}
	if c.before.Incarnation() == u.Incarnation() && c.before.Leaving == u.Leaving {
		return
	}
	if c.serves {
		r.endEarlierRuns(u)
	}
	r.cfg.Log.Event("upstream", "listed", Fields{"upstream": u.ID, "born": u.StartedAt, "service": u.Service, "named": c.serves, "address": u.Address,
		"leaving": u.Leaving, "cold_ms": u.ColdFor.Milliseconds()})
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
	isNew := r.fleet.EndEvacuation(r.now(), domain)
	r.mu.Unlock()
	if isNew {
		r.cfg.Log.Event("domain", "taken back", Fields{"domain": domain, "age_ms": r.age().Milliseconds()})
		r.tryLater()
	}
}

// setServices notes which services the document names, since entries of others name nobody to
// use, what their upstreams bear while they are cold, and what their memory holds.
func (r *Relay) setServices(d *route.Document) {
	names := make([]string, 0, len(d.Services))
	for _, s := range d.Services {
		names = append(names, s.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.SetServices(r.now(), names)
	for _, s := range d.Services {
		r.fleet.SetCold(s.Name, balance.ColdLimit{Duration: s.ColdFor, MaxPerSecond: r.cfg.Cold.maxRequests(s.ColdPerSecond)})
		r.fleet.SetMemory(s.Name, s.Memory)
	}
}

// dropUpstream forgets an upstream and the connections to it that rest. The event says why.
func (r *Relay) dropUpstream(id, event string) {
	r.mu.Lock()
	known := r.fleet.Get(id) != nil
	r.fleet.Remove(id)
	r.mu.Unlock()
	if known {
		r.cfg.Log.Event("upstream", event, Fields{"upstream": id, "age_ms": r.age().Milliseconds()})
		r.conns.forget(id)
	}
}

// mostHandedIn bounds the items that are handed in between two looks at what else waits.
const mostHandedIn = 200

// changed is told by the node, and notes what is new in the mirror.
func (m *members) changed(items []mirror.Item) { m.backlog = append(m.backlog, items...) }

// handIn hands in a part of what is new. A box that starts learns of thousands of upstreams at once; while it takes them in
// it answers those that wait for the same list, which after a loss of all boxes have it from each other.
func (m *members) handIn() {
	next := m.backlog[:min(len(m.backlog), mostHandedIn)]
	m.backlog = m.backlog[len(next):]
	if len(m.backlog) > 0 {
		wake(m.more)
	} else {
		m.backlog = nil // it may have been long
	}
	m.takeItems(next)
}

// takeItems takes in what is new in the mirror.
func (m *members) takeItems(items []mirror.Item) {
	for _, item := range items {
		news, err := m.relay.cfg.Decode(item)
		if err != nil {
			m.logRefused(item, err)
			news = Update{Invalid: news.Invalid}
		}
		m.relay.takeNews(news, m.node.DeletionsUncertainUntil(), m.missing)
	}
}

// dropMissing drops the upstreams whose entries did not come back in time.
func (m *members) dropMissing() {
	now := m.relay.now()
	for id, due := range m.missing {
		if now >= due && now >= m.node.DeletionsUncertainUntil() {
			delete(m.missing, id)
			m.relay.dropUpstream(id, "gone from the list")
		}
	}
}
