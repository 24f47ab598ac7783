package group

// This file defines until when entries that were removed after an outage of the publisher may
// reappear. The invariants: a box concludes an outage only from a failure of its own in a time in
// which no box is known to have read, and takes it back when it hears of one that has; and a box that
// was suspended does not prolong the time for others.

import (
	"time"

	"github.com/doormast/doormast/wire"
)

const (
	// reappearPeriod is how long after the publisher returns a removed entry may reappear: 2 s plus a
	// margin.
	reappearPeriod = 2200 * time.Millisecond
	// maxCoveredAge bounds the age of a coverage in messages.
	maxCoveredAge = 10 * time.Second
)

// readFailure is this box's last failed read of the publisher.
type readFailure struct {
	at           time.Duration
	coveredUntil time.Duration // until when other boxes were known to have read
}

// Uncertainty is what a box knows of removed entries that may reappear.
type Uncertainty struct {
	Until      time.Duration // until then removed entries may reappear
	Source     string        // the box whose read, or whose message, has changed Until
	Outage     time.Duration // how long no box could read before
	FailureAge time.Duration // since this box's last failed read, at the change
}

// Uncertainty returns until when removed entries may reappear, and why.
func (n *Node) Uncertainty() Uncertainty { return n.uncertainty }

// cover adds to the time in which the publisher is known to have answered. source is the box that says
// so.
func (n *Node) cover(now time.Duration, source string, c coverage) {
	before := n.covered
	n.covered = n.coverageLimits().merge(before, c)
	if n.covered.since > before.until {
		n.gapFrom = before.until
	}
	if n.covered.uncertainUntil == n.uncertainty.Until {
		return
	}
	n.uncertainty = Uncertainty{Until: n.covered.uncertainUntil, Source: source, Outage: n.covered.outage, FailureAge: now - n.failure.at}
}

func (n *Node) coverageLimits() coverageLimits {
	return coverageLimits{maxGap: n.cfg.Timing.StaleAfter, maxSpread: maxLeaderReadBackoff}
}

// coverRead adds a successful read of this box.
func (n *Node) coverRead(now time.Duration) {
	c := coverage{since: now, until: now, uncertainUntil: never}
	if outage := n.endedOutage(now); outage > n.cfg.Timing.StaleAfter && n.agesAreValid(now) {
		c.outage, c.uncertainUntil = outage, now+reappearPeriod
	}
	n.cover(now, n.cfg.Self.Name, c)
}

// endedOutage returns for how long no box could read before a read of this box whose last read failed,
// or 0 if others could.
func (n *Node) endedOutage(now time.Duration) time.Duration {
	f := n.failure
	if !n.readFailed {
		return 0
	}
	if n.covered.until <= f.at {
		return now - n.covered.until // no box is known to have read since the failure
	}
	othersReturned := now-n.covered.since <= n.coverageLimits().maxSpread
	if othersReturned && f.at > n.gapFrom && f.coveredUntil < n.covered.since {
		return now - n.gapFrom // others could not read at the failure either, and have begun to only just now
	}
	return 0
}

// receiveCoverage adds what another box says about the publisher. The sender's copy was current at the
// time confirmed.
func (n *Node) receiveCoverage(now time.Duration, m *wire.GroupMessage) {
	n.cover(now, m.Sender.Name, coverageOf(now, now, fromMicros(m.ConfirmedAge), m.CoveredAge, m.Outage, m.DoubtLeft))
}

// coverageOf returns the coverage that a message describes. Its ages count from sent at the earliest,
// and from now at the latest.
func coverageOf(now, sent, confirmedAge time.Duration, coveredAge, outage, doubtLeft uint64) coverage {
	confirmed := sent - confirmedAge
	c := coverage{since: confirmed, until: confirmed, uncertainUntil: never}
	if coveredAge > 0 {
		c.since = now - fromMicros(coveredAge)
		c.until = max(c.since, confirmed)
	}
	if outage > 0 && doubtLeft > 0 {
		c.outage, c.uncertainUntil = fromMicros(outage), sent+fromMicros(doubtLeft)
	}
	return c
}

// coveredAge returns the age of the coverage in messages, in microseconds; 0 if there is none.
func (n *Node) coveredAge(now time.Duration) uint64 {
	if n.covered.since == never {
		return 0
	}
	return max(1, micros(min(now-n.covered.since, maxCoveredAge)))
}

// toldOutage returns the outage in messages, in microseconds; 0 if removed entries do not reappear any
// more.
func (n *Node) toldOutage(now time.Duration) uint64 {
	if n.covered.uncertainUntil <= now {
		return 0
	}
	return micros(min(n.covered.outage, maxAge))
}
