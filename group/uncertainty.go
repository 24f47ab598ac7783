package group

// This file defines until when entries that were removed after an outage of the publisher may
// reappear. An outage of all boxes makes all entries uncertain. One of a failure domain, which could
// neither read nor hear of others that could, makes the entries of its upstreams uncertain to its own
// boxes. The invariants: a box takes back what it concluded when it hears of an answer in that time; and
// a box that was suspended does not prolong the time for others.

import (
	"time"

	"github.com/doormast/doormast/wire"
)

const (
	// reappearPeriod is how long after the publisher returns a removed entry may reappear: 2 s plus a
	// margin.
	reappearPeriod = 2200 * time.Millisecond
	// maxCoveredAge is the age from which a coverage is not told more exactly. It exceeds
	// reappearPeriod, after which no outage matters any more.
	maxCoveredAge = 10 * time.Second
)

// Uncertainty is what a box knows of removed entries that may reappear.
type Uncertainty struct {
	Until  time.Duration // until then removed entries may reappear
	Outage time.Duration // how long nobody had an answer before
	Source string        // the box whose read, or whose message, has changed Until
	// FailedAt is this box's last failed read before the change; what it concludes itself is based on
	// that.
	FailedAt time.Duration
}

// Uncertainties are those of all entries, and of the entries of this box's failure domain alone.
type Uncertainties struct{ Fleet, Domain Uncertainty }

// Uncertainties returns until when removed entries may reappear, and why.
func (n *Node) Uncertainties() Uncertainties { return n.uncertainties }

// RemovalUncertainUntil returns the time until which the removed entry of an upstream in a failure domain
// may reappear.
func (n *Node) RemovalUncertainUntil(domain string) time.Duration {
	until := n.fleetAnswers.covered.uncertainUntil
	if domain == n.cfg.Self.Domain {
		until = max(until, n.domainAnswers.covered.uncertainUntil)
	}
	return until
}

// takeoverMargin is how much later than its turn a box may have its first answer: a tick, and the call.
const takeoverMargin = 200 * time.Millisecond

// newOutageTrackers returns the trackers of the fleet and of this box's failure domain. A time without an
// answer is an outage of the fleet only if each box that can read would have had its turn to. It is one
// of the domain only if others would count its boxes as gone.
func newOutageTrackers(t Timing) (fleet, domain outageTracker) {
	lastTurn := t.StaleAfter + maxStaggerRank*t.Stagger
	limits := coverageLimits{maxGap: t.StaleAfter, minOutage: lastTurn + takeoverMargin, maxSpread: maxLeaderReadBackoff}
	fleet = newOutageTracker(limits)
	limits.minOutage = t.MemberTimeout
	return fleet, newOutageTracker(limits)
}

// recordAnswer records that this box has read the publisher.
func (n *Node) recordAnswer(now time.Duration) {
	if n.agesAreValid(now) {
		n.fleetAnswers.answer(now, n.ranSince())
		n.domainAnswers.answer(now, n.ranSince())
		n.noteUncertainties(n.cfg.Self.Name)
	}
	n.fleetAnswers.failedAt, n.domainAnswers.failedAt = never, never
}

// ranSince returns the time since which this box has run without a suspension.
func (n *Node) ranSince() time.Duration { return max(n.started, n.resumedAt) }

// receiveCoverage records what another box says about the publisher's answers.
func (n *Node) receiveCoverage(now time.Duration, m *wire.GroupMessage) {
	age := fromMicros(m.ConfirmedAge)
	confirmed := now - age
	n.fleetAnswers.add(coverageOf(now, now, confirmed, m.Coverage))
	switch {
	case m.Sender.Domain != n.cfg.Self.Domain && age <= n.cfg.Timing.StaleAfter:
		n.domainAnswers.answer(now, n.ranSince()) // this domain hears of answers
	case m.Sender.Domain == n.cfg.Self.Domain && m.DomainCoverage != nil:
		n.domainAnswers.add(coverageOf(now, now, confirmed, m.DomainCoverage))
	}
	n.noteUncertainties(m.Sender.Name)
}

// receivePulledCoverage records what the response to a pull that was requested at a time says.
func (n *Node) receivePulledCoverage(now, asked time.Duration, r *wire.MirrorResponse) {
	n.fleetAnswers.add(coverageOf(now, asked, asked-fromMicros(r.ConfirmedAge), r.Coverage))
	n.noteUncertainties(n.lastPullAddress)
}

// noteUncertainties records which box has changed until when removed entries may reappear.
func (n *Node) noteUncertainties(source string) {
	update := func(u *Uncertainty, c coverage) {
		if u.Until != c.uncertainUntil {
			*u = Uncertainty{Until: c.uncertainUntil, Outage: c.outage, Source: source, FailedAt: n.readFailedAt}
		}
	}
	update(&n.uncertainties.Fleet, n.fleetAnswers.covered)
	update(&n.uncertainties.Domain, n.domainAnswers.covered)
	n.noteMissed()
}

// coverageOf returns the coverage that a message describes, whose sender's copy was current at the time
// confirmed. Its ages count from now, and the time left from sent, which may be earlier.
func coverageOf(now, sent, confirmed time.Duration, m *wire.GroupCoverage) coverage {
	if m == nil {
		return coverageFrom(confirmed, confirmed)
	}
	age := maxCoveredAge
	if m.Age > 0 {
		age = fromMicros(m.Age)
	}
	c := coverageFrom(now-age, max(now-age, confirmed))
	if m.Outage > 0 && m.DoubtLeft > 0 {
		c.outage, c.uncertainUntil = fromMicros(m.Outage), sent+fromMicros(m.DoubtLeft)
	}
	return c
}

// packCoverage returns a coverage for a message; nil if nothing is known.
func packCoverage(now time.Duration, c coverage) *wire.GroupCoverage {
	if c.since == never {
		return nil
	}
	m := new(wire.GroupCoverage)
	if age := now - c.since; age < maxCoveredAge {
		m.Age = max(1, micros(age))
	}
	if c.uncertainUntil > now {
		m.Outage, m.DoubtLeft = micros(c.outage), micros(c.uncertainUntil-now)
	}
	return m
}
