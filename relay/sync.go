package relay

// This file defines the exchange of data between the box's group membership and its fleet, ten
// times a second. The invariant: both are updated in one critical section of the relay's mu, so
// that no request is placed between the two updates.

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// syncFleet passes this box's loads and observations to the node, and those of the other boxes
// to the fleet.
func (m *members) syncFleet() {
	m.relay.mu.Lock()
	defer m.relay.mu.Unlock()
	m.relay.fleet.SetQuotaPeers(m.node.QuotaPeers(m.relay.now()))
	m.relay.fleet.NotePublished(m.relay.now(), time.Duration(m.relay.published.confirmedAt.Load()))
	m.relay.fleet.SetBoxes(m.node.BoxCount(), m.node.KnowsOtherLoads(m.relay.now()))
	m.node.SetLoads(m.relay.fleet.Loads())
	if m.relay.fleet.NeedsRemoteLoads() { // otherwise changes have kept the fleet up to date
		m.relay.fleet.SetRemoteLoads(m.node.OtherLoads())
	}
	m.node.SetClasses(m.relay.fleet.Classes())
	m.relay.fleet.NoteClasses(m.node.Classes(m.relay.now()))
	m.sizeLanes()
	m.node.AnnounceSentParts(m.relay.fleet.TakePartReports())
	m.relay.fleet.NotePartReports(m.relay.now(), m.node.DrainSentParts())
	m.relay.crashSuspects.Box, m.relay.crashSuspects.Boxes = xxhash.Sum64String(m.relay.cfg.Box), m.node.BoxCount()
	m.relay.crashSuspects.Forget(m.relay.now())
	m.relay.budgets.Forget(m.relay.now())
	m.node.SetEstablished(m.relay.now(), m.relay.crashSuspects.Established(m.relay.now()))
	m.relay.fleet.ExpireLimits(m.relay.now())
	m.relay.fleet.ForgetPauses(m.relay.now())
	m.setLimits(m.relay.now())
}

// syncMissed tells the fleet what this box has missed, before its data counts as current again.
func (m *members) syncMissed() {
	missed := m.node.MissedUntil()
	if missed == m.missedUntil {
		return
	}
	m.missedUntil = missed
	m.relay.mu.Lock()
	defer m.relay.mu.Unlock()
	m.relay.fleet.LoseHistory(missed)
	m.relay.cfg.Log.Event("publisher", "answers missed", Fields{"until_age_ms": (m.relay.now() - missed).Milliseconds(), "age_ms": m.relay.publishedAge().Milliseconds()})
}

// updateLoads passes this box's loads to the node as soon as they have changed.
func (m *members) updateLoads() {
	m.relay.mu.Lock()
	defer m.relay.mu.Unlock()
	m.node.SetLoads(m.relay.fleet.Loads())
}

// flushLoads lets the node send load changes, and applies those that it received to the fleet.
func (m *members) flushLoads() {
	m.node.FlushLoads(m.relay.now())
	changes := m.node.DrainLoadChanges()
	if len(changes) == 0 {
		return
	}
	m.relay.mu.Lock()
	defer m.relay.mu.Unlock()
	m.relay.fleet.UpdateRemoteLoads(changes)
}

// sizeLanes divides the upstreams of services into lanes by the requests in progress, or adopts
// the division of the group's strongest leader. The caller holds the relay's mu.
func (m *members) sizeLanes() {
	now := m.relay.now()
	changes := m.relay.fleet.SizeLanes(now, m.node.Lanes(now))
	m.node.SetLanes(m.relay.fleet.Lanes())
	for _, c := range changes {
		m.relay.cfg.Log.Event("lanes", "sized", Fields{"service": c.Service, "tight_upstreams": c.Reserved, "upstreams": c.Upstreams,
			"tight_open": c.Tight, "other_open": c.Rest, "tight_need": c.Need.Tight, "other_need": c.Need.Rest, "told": c.Reported, "loads_age_ms": m.loadsAge().Milliseconds()})
	}
}

// loadsAge is how long ago loads last arrived from other boxes.
func (m *members) loadsAge() time.Duration {
	return m.relay.now() - time.Duration(m.loadsReceivedAt.Load())
}
