package balance

// This file defines the reports between boxes about the limits that upstreams advertise. The
// invariants: boxes that exchange reports converge to the same limits, whatever the order of the
// reports; and a report ends no limit unless the reporting box sent its request later, as far as
// ages show.

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// reportTolerance is how far the times of two answers reported by boxes must differ for one of
// them to count as the later one, since messages take time.
const reportTolerance = time.Second

// LimitReport is what a box knows about the limit of an upstream, as sent to other boxes. Times
// are ages.
type LimitReport struct {
	Life      uint32 // incarnation key
	PerSecond float64
	Since     time.Duration // since it was first advertised, or last dropped significantly
	Read      time.Duration // since an answer that advertises it was last read
	HasEnded  bool
	Ended     time.Duration // if HasEnded: since the latest request was sent whose answer advertises none
	Own       bool          // this box read the answer itself; not transmitted
}

// Aged returns the report as it is some time later.
func (t LimitReport) Aged(by time.Duration) LimitReport {
	t.Since += by
	t.Read += by
	t.Ended += by
	return t
}

// report returns the report of a limit.
func (x *limitState) report(now time.Duration, incarnation uint32) LimitReport {
	return LimitReport{Life: incarnation, PerSecond: x.perSecond, Since: now - x.droppedAt, Read: now - x.lastRead, HasEnded: x.endedAt > longAgo, Ended: now - x.endedAt}
}

// takeReports returns the queued reports sorted by incarnation key, and clears the queue.
func (l *limitTable) takeReports(now time.Duration) []LimitReport {
	var list []LimitReport
	for _, incarnation := range slices.Sorted(maps.Keys(l.pending)) {
		if x := l.byIncarnation[incarnation]; x != nil {
			report := x.report(now, incarnation)
			report.Own = l.pending[incarnation]
			list = append(list, report)
		}
	}
	clear(l.pending)
	return list
}

// all returns the reports of all limits sorted by incarnation key, and separately of those in
// force.
func (l *limitTable) all(now time.Duration) (known, inForce []LimitReport) {
	for _, incarnation := range slices.Sorted(maps.Keys(l.byIncarnation)) {
		x := l.byIncarnation[incarnation]
		report := x.report(now, incarnation)
		known = append(known, report)
		if x.inForce() {
			inForce = append(inForce, report)
		}
	}
	return known, inForce
}

// LimitsDigest returns a digest that is equal for equal limits, and 0 for none.
func LimitsDigest(inForce []LimitReport) uint64 {
	var sum uint64
	for _, x := range inForce {
		b := binary.LittleEndian.AppendUint32(nil, x.Life)
		b = binary.LittleEndian.AppendUint64(b, math.Float64bits(x.PerSecond))
		sum += xxhash.Sum64(b) // independent of the order
	}
	return sum
}

// mergeReports merges the reports of another box.
func (l *limitTable) mergeReports(now time.Duration, list []LimitReport) []LimitChange {
	var changes []LimitChange
	for _, t := range list {
		if !(t.PerSecond >= 0) || t.Read < 0 || t.Since < 0 || t.Ended < 0 {
			continue // not a valid limit
		}
		t.PerSecond = min(t.PerSecond, NoLimit)
		age := t.Read
		if t.HasEnded {
			age = min(age, t.Ended)
		}
		if c, changed := l.update(t.Life, age, true, func(x *limitState) { x.merge(now, t) }); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// merge merges a report about the same incarnation.
func (x *limitState) merge(now time.Duration, t LimitReport) {
	if t.HasEnded {
		x.endedAt = max(x.endedAt, now-t.Ended)
	}
	read, since := now-t.Read, now-t.Since
	switch {
	case read <= x.endedAt:
		return // the reported limit has ended since
	case !x.inForce():
		*x = limitState{perSecond: t.PerSecond, baseline: t.PerSecond, droppedTo: t.PerSecond, droppedAt: since, lastRead: read, endedAt: x.endedAt}
	case read > x.lastRead+reportTolerance, read > x.lastRead-reportTolerance && t.PerSecond < x.perSecond:
		x.set(t.PerSecond, since)
	}
	if t.PerSecond == x.perSecond {
		x.droppedAt = min(x.droppedAt, since)
	}
	x.lastRead = max(x.lastRead, read)
}
