package relay

// This file defines how the box logs that removed entries may reappear. The invariant: each change
// of that time is logged once, with what it is based on.

import "time"

// minUncertaintyChange is the smallest change that is logged. Smaller ones arise from the time that
// messages take.
const minUncertaintyChange = 200 * time.Millisecond

// logUncertainty logs until when removed entries may reappear, if that has changed.
func (m *members) logUncertainty() {
	u := m.node.Uncertainty()
	if (u.Until - m.loggedUncertainty).Abs() < minUncertaintyChange {
		return
	}
	wasUncertain := m.loggedUncertainty > m.relay.now()
	m.loggedUncertainty = u.Until
	if u.Until <= m.relay.now() {
		if !wasUncertain {
			return
		}
		m.relay.cfg.Log.Event("publisher", "removals certain", Fields{"source": u.Source, "age_ms": m.relay.publishedAge().Milliseconds()})
		return
	}
	fields := Fields{"source": u.Source, "left_ms": (u.Until - m.relay.now()).Milliseconds(), "outage_ms": u.Outage.Milliseconds(), "age_ms": m.relay.publishedAge().Milliseconds()}
	if u.Source == m.relay.cfg.Box {
		fields["failure_age_ms"] = u.FailureAge.Milliseconds()
	}
	m.relay.stats.count("removals_uncertain")
	m.relay.cfg.Log.Event("publisher", "removals uncertain", fields)
}
