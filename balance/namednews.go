package balance

// This file defines what boxes tell each other of limits that upstreams name. The invariants: boxes that
// hear each other come to hold the same limits, whatever order they are told in; and no limit is ended by what
// another box told unless that box sent its request later, as far as ages tell.

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// toldAbout is how far the times of two answers must lie apart, as boxes tell each other of them, for one to
// be the later: messages take a while.
const toldAbout = time.Second

// LimitReport is what a box knows of the limit of an upstream, as boxes tell each other of it. Times are ages.
type LimitReport struct {
	Life      uint32 // Key of it
	PerSecond float64
	Since     time.Duration // it was first named, or had fallen much
	Read      time.Duration // an answer that names it was last read
	HasEnded  bool
	Ended     time.Duration // where HasEnded: a request was last sent whose answer names none
	Own       bool          // this box has read the answer; not told
}

// told is what others are told of a limit.
func (x *named) told(now time.Duration, life uint32) LimitReport {
	return LimitReport{Life: life, PerSecond: x.perSecond, Since: now - x.since, Read: now - x.read, HasEnded: x.ended > longAgo, Ended: now - x.ended}
}

// newsOf returns, once, what others are to be told, in order.
func (l *limits) newsOf(now time.Duration) []LimitReport {
	var list []LimitReport
	for _, life := range slices.Sorted(maps.Keys(l.news)) {
		if x := l.byLife[life]; x != nil {
			told := x.told(now, life)
			told.Own = l.news[life]
			list = append(list, told)
		}
	}
	clear(l.news)
	return list
}

// all lists what is known, in order, and the limits that hold alone.
func (l *limits) all(now time.Duration) (known, inForce []LimitReport) {
	for _, life := range slices.Sorted(maps.Keys(l.byLife)) {
		x := l.byLife[life]
		told := x.told(now, life)
		known = append(known, told)
		if x.holds() {
			inForce = append(inForce, told)
		}
	}
	return known, inForce
}

// DigestOfNamed is the same for the same limits, and 0 for none.
func DigestOfNamed(inForce []LimitReport) uint64 {
	var sum uint64
	for _, x := range inForce {
		b := binary.LittleEndian.AppendUint32(nil, x.Life)
		b = binary.LittleEndian.AppendUint64(b, math.Float64bits(x.PerSecond))
		sum += xxhash.Sum64(b) // in no order
	}
	return sum
}

// take takes in what another box tells.
func (l *limits) take(now time.Duration, list []LimitReport) []LimitChange {
	var changes []LimitChange
	for _, t := range list {
		if !(t.PerSecond >= 0) || t.Read < 0 || t.Since < 0 || t.Ended < 0 {
			continue // no limit, or not a number
		}
		t.PerSecond = min(t.PerSecond, NoLimit)
		age := t.Read
		if t.HasEnded {
			age = min(age, t.Ended)
		}
		if c, changed := l.change(t.Life, age, true, func(x *named) { x.merge(now, t) }); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// merge takes in what another box knows of the same life.
func (x *named) merge(now time.Duration, t LimitReport) {
	if t.HasEnded {
		x.ended = max(x.ended, now-t.Ended)
	}
	read, since := now-t.Read, now-t.Since
	switch {
	case read <= x.ended:
		return // what it names has ended since
	case !x.holds():
		*x = named{perSecond: t.PerSecond, from: t.PerSecond, since: since, read: read, ended: x.ended}
	case read > x.read+toldAbout, read > x.read-toldAbout && t.PerSecond < x.perSecond:
		x.set(t.PerSecond, since)
	}
	if t.PerSecond == x.perSecond {
		x.since = min(x.since, since)
	}
	x.read = max(x.read, read)
}
