package relay

// This file defines how the box logs that removed entries may reappear. The invariant: each change
// of that time is logged once, with what it is based on.

import (
	"time"

	"github.com/doormast/doormast/group"
)

// minUncertaintyChange is the smallest change that is logged. Smaller ones arise from the time that
// messages take.
const minUncertaintyChange = 200 * time.Millisecond

// Values of the field scope.
const (
	fleetScope  = "all boxes"
	domainScope = "this domain"
)

// logUncertainties logs until when removed entries may reappear, if that has changed.
func (m *members) logUncertainties() {
	u := m.node.Uncertainties()
	m.logUncertainty(fleetScope, u.Fleet, &m.loggedUncertain.Fleet)
	m.logUncertainty(domainScope, u.Domain, &m.loggedUncertain.Domain)
}

// logUncertainty logs the change since the uncertainty that was last logged.
func (m *members) logUncertainty(scope string, u group.Uncertainty, logged *group.Uncertainty) {
	if (u.Until - logged.Until).Abs() < minUncertaintyChange {
		return
	}
	now := m.relay.now()
	wasUncertain := logged.Until > now
	*logged = u
	fields := Fields{"scope": scope, "source": u.Source, "age_ms": m.relay.publishedAge().Milliseconds()}
	switch {
	case u.Until > now:
		fields["left_ms"], fields["outage_ms"] = (u.Until - now).Milliseconds(), u.Outage.Milliseconds()
		fields["failure_age_ms"] = (now - u.FailedAt).Milliseconds()
		m.relay.stats.count("removals_uncertain")
		m.relay.cfg.Log.Event("publisher", "removals uncertain", fields)
	case wasUncertain:
		m.relay.cfg.Log.Event("publisher", "removals certain", fields)
	}
}
