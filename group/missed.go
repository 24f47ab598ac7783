package group

// This file defines which answers of the publisher this box has missed: those that others got while it
// neither read nor heard of them. What was published and withdrawn meanwhile is not in its copy. The
// invariant: a time without an answer for anybody is not missed.

import "time"

// copyGap is the last time during which this box's copy was not confirmed.
type copyGap struct{ from, until time.Duration }

// confirm records that the mirror was current at a time.
func (n *Node) confirm(at time.Duration) {
	if at-n.confirmedAt > n.fleetAnswers.limits.minOutage && n.confirmedAt != never {
		n.copyGap = copyGap{n.confirmedAt, at}
	}
	n.confirmedAt = max(n.confirmedAt, at)
	n.noteMissed()
}

// noteMissed records whether others had answers in the last gap of the copy. That may become known only
// after the gap.
func (n *Node) noteMissed() {
	answered := max(n.copyGap.from, n.fleetAnswers.covered.since)
	if n.copyGap.until-answered > n.fleetAnswers.limits.minOutage {
		n.missedUntil = n.copyGap.until
	}
}

// MissedUntil returns the end of the last time in which others had answers and this box did not know of
// them; before the start of the box if there was none.
func (n *Node) MissedUntil() time.Duration { return n.missedUntil }
