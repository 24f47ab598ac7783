package group

// This file defines coverage, which boxes tell each other to find out whether the publisher was away
// for all of them. The invariant: an outage is known only for a time in which no box is known to have
// read.

import "time"

// coverage is a period in which the publisher answered boxes of the fleet, with no two answers further
// apart than a copy may age before other boxes read.
type coverage struct {
	since, until time.Duration
	outage       time.Duration // how long the publisher was away for all boxes before since; 0: not known to have been
	// Until then, entries that were removed in or after the outage may reappear.
	uncertainUntil time.Duration
}

// noCoverage is the coverage before anything is known.
var noCoverage = coverage{since: never, until: never, uncertainUntil: never}

// coverageLimits are the limits by which coverages are merged.
type coverageLimits struct {
	maxGap time.Duration // between two answers of a period
	// maxSpread is how much later than another box one may read for the first time after an outage. One
	// that fails for longer is cut off from the publisher, or from the others, and knows of no outage.
	maxSpread time.Duration
}

// merge returns what two coverages show together. Of two that a longer gap separates, the later one
// holds. Of two outages the one that ended first holds, as times grow later in messages.
func (l coverageLimits) merge(a, b coverage) coverage {
	if b.since < a.since {
		a, b = b, a
	}
	if b.since-a.until > l.maxGap {
		return b
	}
	a.until = max(a.until, b.until)
	spread := b.since - a.since
	if outage := b.outage - spread; a.outage == 0 && spread <= l.maxSpread && outage > l.maxGap {
		a.outage, a.uncertainUntil = outage, b.uncertainUntil
	}
	return a
}
