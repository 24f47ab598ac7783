package relay

// This file defines how published changes are applied. The invariant: an upstream whose entry
// was removed is not dropped while the entry may come back.

import (
	"cmp"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/route"
)

// Update is a decoded published item. At most one of its fields is set; none where the item is
// not relevant to the relay.
type Update struct {
	Document *route.Document
	Upstream *balance.Upstream
	Removed  string // ID of an upstream whose entry was removed
	Invalid  string // ID of an upstream whose entry is invalid
	// Evacuated is a failure domain to whose upstreams no more requests are to be sent;
	// Restored is one whose evacuation was undone.
	Evacuated, Restored string
}

// applyUpdate applies a published change. An upstream whose entry is removed before
// uncertainUntil is only recorded in missing, since the entry may come back.
func (r *Relay) applyUpdate(u Update, uncertainUntil time.Duration, missing map[string]struct{}) {
	switch {
	case u.Document != nil:
		r.applyDocument(u.Document)
	case u.Upstream != nil:
		delete(missing, u.Upstream.ID)
		r.applyUpstream(*u.Upstream)
	case u.Invalid != "":
		delete(missing, u.Invalid)
		r.dropUpstream(u.Invalid, "entry unusable")
	case u.Evacuated != "":
		r.evacuateDomain(u.Evacuated)
	case u.Restored != "":
		r.restoreDomain(u.Restored)
	case u.Removed == "":
	case r.now() < uncertainUntil:
		missing[u.Removed] = struct{}{}
	default:
		r.dropUpstream(u.Removed, "gone from the list")
	}
	r.tellOpenStreams()
}

// applyDocument puts a document in force if it is newer than the current one.
func (r *Relay) applyDocument(d *route.Document) {
	if r.published.apply(d) {
		r.setServices(d)
		r.cfg.Log.Event("document", "in force", Fields{"version": d.Version, "routes": len(d.Routes), "customers": len(d.Customers)})
	}
}

// entryChange is the effect of an upstream's entry on the fleet.
type entryChange struct {
	before       balance.Upstream     // zero if it was not listed
	left         *balance.Incarnation // the latest one known before, if it was leaving; its entry may have been removed
	current      balance.Upstream
	isListed     bool
	serviceKnown bool   // the document names its service
	mustAsk      bool   // it has to be asked whether it is leaving
	displaced    string // ID of the upstream whose address it has taken over
	// The incarnation of displaced, if its end was unannounced: it was not leaving.
	displacedEnded *balance.Incarnation
}

// putUpstream adds an upstream to the fleet, or updates it.
func (r *Relay) putUpstream(u balance.Upstream) entryChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	var c entryChange
	c.before, _ = r.listedUpstream(u.ID)
	if inc, isLeaving := r.fleet.LeavingIncarnation(u.ID); isLeaving {
		c.left = &inc
	}
	c.displaced = r.fleet.Put(r.now(), u)
	if other, known := r.fleet.Entry(c.displaced); known && !other.Leaving {
		inc := other.Incarnation()
		c.displacedEnded = &inc
	}
	c.current, c.isListed = r.listedUpstream(u.ID)
	r.wakeReady(u.Service)
	c.serviceKnown = r.fleet.Serves(u.ID)
	c.mustAsk = c.isListed && r.fleet.NeedsLeavingCheck(c.current.Incarnation())
	return c
}

// applyUpstream adds an upstream or updates it, and ends the use of its earlier incarnation.
func (r *Relay) applyUpstream(u balance.Upstream) {
	c := r.putUpstream(u)
	if !c.isListed || u.StartedAt != 0 && u.StartedAt < c.current.StartedAt {
		r.cfg.Log.Event("upstream", "entry passed over", Fields{"upstream": u.ID, "born": u.StartedAt, "address": u.Address, "revision": u.Revision,
			"listed": c.isListed, "present": c.current.StartedAt})
		return // another upstream has its address, or the entry is of an earlier incarnation
	}
	u = c.current
	if c.serviceKnown && c.before.ID != "" && u.Incarnation().After(c.before.Incarnation()) {
		r.handleRestart(c.before, u)
	}
	if c.mustAsk {
		go r.askLeaving(u)
	}
	if c.displaced != "" {
		r.cfg.Log.Event("upstream", "replaced", Fields{"upstream": c.displaced, "by": u.ID, "address": u.Address})
		r.conns.closeIdle(c.displaced)
	}
	if c.displacedEnded != nil {
		r.recordEnd(*c.displacedEnded)
	}
	if c.before.Incarnation() == u.Incarnation() && c.before.Leaving == u.Leaving && c.before.Software == u.Software {
		return
	}
	if c.serviceKnown {
		r.endEarlierRuns(c.left, u)
	}
	if c.before.ID != "" && c.before.Software != u.Software {
		r.conns.closeIdle(u.ID) // they may lead to its earlier process
	}
	r.cfg.Log.Event("upstream", "listed", Fields{"upstream": u.ID, "born": u.StartedAt, "service": u.Service, "named": c.serviceKnown, "address": u.Address,
		"leaving": u.Leaving, "software": u.Software, "cold_ms": u.ColdFor.Milliseconds()})
}

// evacuateDomain stops sending requests to the upstreams of a failure domain. Runs there may
// finish.
func (r *Relay) evacuateDomain(domain string) {
	r.mu.Lock()
	isNew := r.fleet.Evacuate(domain)
	r.mu.Unlock()
	if isNew {
		r.cfg.Log.Event("domain", "evacuated", Fields{"domain": domain, "age_ms": r.publishedAge().Milliseconds()})
	}
}

// restoreDomain resumes sending requests to the upstreams of a failure domain, and probes those
// that were unreachable before.
func (r *Relay) restoreDomain(domain string) {
	r.mu.Lock()
	isNew := r.fleet.EndEvacuation(r.now(), domain)
	r.mu.Unlock()
	if isNew {
		r.cfg.Log.Event("domain", "taken back", Fields{"domain": domain, "age_ms": r.publishedAge().Milliseconds()})
		r.wakeProbeLoop()
	}
}

// setServices sets, for each service of the document, the limit for its cold upstreams and the
// size of their memory. Entries of services that the document does not name are not used.
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
		r.fleet.SetMemory(s.Name, s.KVCapacity)
	}
	r.fleet.SetStreamSpan(streamSpan(d))
}

// attemptsPerSpan is how many attempts of a caller, one after the other, a stream is assumed to last
// at the most.
const attemptsPerSpan = 2

// streamSpan is the longest time that a stream of the document may last; 0 if no route names any.
func streamSpan(d *route.Document) time.Duration {
	var span time.Duration
	for i := range d.Routes {
		if rt := &d.Routes[i]; rt.Repeat == route.Stream && rt.Resumable {
			span = max(span, attemptsPerSpan*cmp.Or(rt.Timeout, defaultTimeout))
		}
	}
	return span
}

// dropUpstream removes an upstream and closes the idle connections to it. event is the logged
// reason.
func (r *Relay) dropUpstream(id, event string) {
	r.mu.Lock()
	isListed := r.fleet.Get(id) != nil
	r.fleet.Remove(id)
	r.mu.Unlock()
	if isListed {
		r.cfg.Log.Event("upstream", event, Fields{"upstream": id, "age_ms": r.publishedAge().Milliseconds()})
		r.conns.closeIdle(id)
	}
}

// maxItemsPerBatch bounds the items that are applied before the loop handles other events.
const maxItemsPerBatch = 200

// mirrorChanged is called by the node with the items that have changed in the mirror.
func (m *members) mirrorChanged(items []mirror.Item) { m.backlog = append(m.backlog, items...) }

// applyBacklog applies the next batch of changed items. A starting box learns of thousands of
// upstreams at once; between batches it answers pulls from boxes that wait for the same list,
// which they get from each other after all boxes were lost.
func (m *members) applyBacklog() {
	next := m.backlog[:min(len(m.backlog), maxItemsPerBatch)]
	m.backlog = m.backlog[len(next):]
	if len(m.backlog) > 0 {
		wake(m.backlogReady)
	} else {
		m.backlog = nil // frees the array, which may be large
	}
	m.applyItems(next)
}

// applyItems decodes and applies changed items.
func (m *members) applyItems(items []mirror.Item) {
	for _, item := range items {
		update, err := m.relay.cfg.Decode(item)
		if err != nil {
			m.logRejected(item, err)
			update = Update{Invalid: update.Invalid}
		}
		m.relay.applyUpdate(update, m.uncertainUntil(update.Removed), m.missing)
	}
}

// uncertainUntil returns the time until which the removed entry of an upstream may reappear.
func (m *members) uncertainUntil(id string) time.Duration {
	m.relay.mu.Lock()
	defer m.relay.mu.Unlock()
	domain := ""
	if u := m.relay.fleet.Get(id); u != nil {
		domain = u.Domain
	}
	return m.node.RemovalUncertainUntil(domain)
}

// dropMissing drops the upstreams whose entries did not come back while they might have.
func (m *members) dropMissing() {
	for id := range m.missing {
		if m.relay.now() >= m.uncertainUntil(id) {
			delete(m.missing, id)
			m.relay.dropUpstream(id, "gone from the list")
		}
	}
}
