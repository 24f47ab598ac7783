package relay

// This file defines what the box's part of the group and its fleet tell each other, ten
// times a second. The invariant: both are brought up to date under one hold of the relay's
// mu, so that no request is placed between the two.

import (
	"time"
)

// syncFleet hands the node what this box has under way and has sent to upstreams, and the
// fleet what the other boxes have and have sent.
func (m *members) syncFleet() {
	m.relay.mu.Lock()
	defer m.relay.mu.Unlock()
	m.relay.fleet.SetQuotaPeers(m.node.QuotaPeers(m.relay.now()))
	m.relay.fleet.NotePublished(m.relay.now(), time.Duration(m.relay.belief.confirmed.Load()))
	m.relay.fleet.SetBoxes(m.node.BoxCount(), m.node.KnowsOtherLoads(m.relay.now()))
	m.node.SetLoads(m.relay.fleet.Loads())
	if m.relay.fleet.NeedsRemoteLoads() { // else changes have brought the fleet up to date
		m.relay.fleet.SetRemoteLoads(m.node.OtherLoads())
	}
	m.node.SetClasses(m.relay.fleet.Classes())
	m.relay.fleet.NoteClasses(m.node.Classes(m.relay.now()))
	m.sizeLanes()
	m.node.AnnounceSentParts(m.relay.fleet.TakePartReports())
	m.relay.fleet.NotePartReports(m.relay.now(), m.node.DrainSentParts())
	m.relay.crashSuspects.Forget(m.relay.now())
	m.relay.budgets.Forget(m.relay.now())
	m.node.SetWithheld(m.relay.crashSuspects.Withheld(m.relay.now()))
	m.relay.fleet.ExpireLimits(m.relay.now())
	m.relay.fleet.ForgetPauses(m.relay.now())
	m.node.SetLimits(m.relay.fleet.KnownLimits(m.relay.now()))
}

// takeLoads hands the node what this box has under way, as soon as that has changed.
func (m *members) takeLoads() {
	m.relay.mu.Lock()
	defer m.relay.mu.Unlock()
	m.node.SetLoads(m.relay.fleet.Loads())
}

// tellLoads lets the node tell changes, and hands the fleet those that the node was told.
func (m *members) tellLoads() {
	m.node.FlushLoads(m.relay.now())
	news := m.node.DrainLoadChanges()
	if len(news) == 0 {
		return
	}
	m.relay.mu.Lock()
	defer m.relay.mu.Unlock()
	m.relay.fleet.UpdateRemoteLoads(news)
}

// sizeLanes divides services by what is under way, or as the group's strongest lead
// does. The caller holds the relay's mu.
func (m *members) sizeLanes() {
	now := m.relay.now()
	changes := m.relay.fleet.SizeLanes(now, m.node.Lanes(now))
	m.node.SetLanes(m.relay.fleet.Lanes())
	for _, c := range changes {
		m.relay.cfg.Log.Event("lanes", "sized", Fields{"service": c.Service, "tight_upstreams": c.Places, "upstreams": c.Upstreams,
			"tight_open": c.Tight, "other_open": c.Rest, "tight_need": c.Need.Tight, "other_need": c.Need.Rest, "told": c.Told, "loads_age_ms": m.loadsAge().Milliseconds()})
	}
}

// loadsAge is how old the others' loads are.
func (m *members) loadsAge() time.Duration { return m.relay.now() - time.Duration(m.loadsAt.Load()) }
