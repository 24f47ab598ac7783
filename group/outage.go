package group

// This file defines outageTracker, by which a box finds out whether the publisher was away for all boxes
// of a scope: the fleet, or its failure domain. The invariant: a failed read counts only for the time
// without an answer in which it lies, and only while the box ran.

import "time"

// outageTracker is what a box knows of the answers that the boxes of a scope got from the publisher.
type outageTracker struct {
	limits  coverageLimits
	covered coverage

	failedAt      time.Duration // this box's last failed read; never: it has read since
	coveredAtFail time.Duration // until when the scope was known to be covered then
}

func newOutageTracker(limits coverageLimits) outageTracker {
	return outageTracker{limits: limits, covered: noCoverage, failedAt: never, coveredAtFail: never}
}

// add merges what is known of another time into the coverage.
func (o *outageTracker) add(c coverage) { o.covered = o.limits.merge(o.covered, c) }

// fail records a failed read of this box.
func (o *outageTracker) fail(now time.Duration) { o.failedAt, o.coveredAtFail = now, o.covered.until }

// answer records an answer that this box got, or heard of, now. The box has run since the time ranSince.
func (o *outageTracker) answer(now, ranSince time.Duration) {
	c := coverageFrom(now, now)
	c.outage, c.uncertainUntil = o.endedOutage(now, ranSince), now+reappearPeriod
	o.add(o.limits.limitOutage(c))
}

// endedOutage returns for how long no box of the scope had an answer before one now, as far as a failed
// read of this box shows; 0 if others had.
func (o *outageTracker) endedOutage(now, ranSince time.Duration) time.Duration {
	if o.failedAt < ranSince {
		return 0
	}
	if o.covered.until <= o.failedAt {
		return now - max(o.covered.until, ranSince)
	}
	othersReturned := now-o.covered.since <= o.limits.maxSpread
	if othersReturned && o.failedAt > o.covered.before && o.coveredAtFail < o.covered.since {
		return now - max(o.covered.before, ranSince) // others had no answer at the failure either, and have one only just now
	}
	return 0
}
