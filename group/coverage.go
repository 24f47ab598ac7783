package group

// This file defines coverage, which boxes tell each other to find out whether the publisher was away
// for all of them. The invariant: an outage is known only for a time in which no box is known to have
// read.

import "time"

// coverage is a period in which the publisher answered boxes again and again, with no two answers further
// apart than a copy may age before other boxes read.
type coverage struct {
	since, until time.Duration
	before       time.Duration // the last answer that is known from before since
	outage       time.Duration // how long the publisher was away for all of these boxes before since; 0: not known to have been
	// Until then, entries that were removed in or after the outage may reappear.
	uncertainUntil time.Duration
}

// noCoverage is the coverage before anything is known.
var noCoverage = coverage{since: never, until: never, before: never, uncertainUntil: never}

// coverageLimits are the limits by which coverages are merged.
type coverageLimits struct {
	maxGap    time.Duration // between two answers of a period
	minOutage time.Duration // a shorter outage is none
	// maxSpread is how much later than another box one may read for the first time after an outage. One
	// that fails for longer is cut off from the publisher, or from the others, and knows of no outage.
	maxSpread time.Duration
}

// coverageFrom returns a coverage before which nothing is known.
func coverageFrom(since, until time.Duration) coverage {
	return coverage{since: since, until: until, before: never, uncertainUntil: never}
}

// merge returns what two coverages show together. Of two that a longer gap separates, the later one
// holds. Of two outages the one that ended first holds, as times grow later in messages.
func (l coverageLimits) merge(a, b coverage) coverage {
	if b.since < a.since {
		a, b = b, a
	}
	if b.since-a.until > l.maxGap {
		b.before = max(b.before, a.until)
		return l.limitOutage(b)
	}
	if spread := b.since - a.since; a.outage == 0 && spread <= l.maxSpread {
		a.outage, a.uncertainUntil = max(0, b.outage-spread), b.uncertainUntil
	}
	a.until = max(a.until, b.until)
	if b.before < a.since {
		a.before = max(a.before, b.before)
	}
	return l.limitOutage(a)
}

// limitOutage limits the outage before a coverage to the time since the answer before it, and drops it
// if it is too short.
func (l coverageLimits) limitOutage(c coverage) coverage {
	c.outage = min(c.outage, c.since-c.before)
	if c.outage <= l.minOutage {
		c.outage, c.uncertainUntil = 0, never
	}
	return c
}
