package balance

// This file defines how many upstreams of a service are kept for tight streams, by what
// all boxes have under way or by what another box told. The invariant: as long as the
// service's list stays the same, a lane keeps its size until another one is told, or until
// the one wanted is off by more than the slack.

import (
	"math"
	"time"
)

const (
	// laneFrom is how many requests an upstream must have on the mean for the lanes'
	// sizes to follow them.
	laneFrom = 0.5
	// laneSlack and laneSlackShare, in upstreams and as a share of the lane, are how
	// far its size may be off: each upstream that changes its lane leaves behind what it keeps.
	laneSlack, laneSlackShare = 0.75, 0.15
)

// LaneSizes is how many upstreams are kept for tight streams, by the Key of the
// service's name.
type LaneSizes map[uint32]int

// Lanes is how this box's fleet is divided, as far as it is. A service in which this box
// keeps nothing apart is left out: a lead that has just started, and has not seen all classes
// yet, would dissolve the lanes of all (for 7 s on a day on which all boxes were restarted).
func (f *Fleet) Lanes() LaneSizes {
	sizes := make(LaneSizes)
	for service, l := range f.lanes {
		if len(f.byService[service]) >= minLanes && l.places > 0 {
			sizes[Key(service)] = l.places
		}
	}
	return sizes
}

// LaneChange is a lane that got another size, with what decided it.
type LaneChange struct {
	Service   string
	Places    int  // upstreams that are kept for tight streams
	Upstreams int  // of the service
	Tight     int  // tight streams under way, a mean
	Rest      int  // other requests under way, a mean
	Told      bool // the size is what was told, not what this box would choose
}

// SizeLanes brings the lanes' sizes up to date: to what was told, where that names a
// service, or to what all boxes have under way. It returns the lanes that changed.
func (f *Fleet) SizeLanes(now time.Duration, told LaneSizes) []LaneChange {
	var changes []LaneChange
	for service, l := range f.lanes {
		if len(f.byService[service]) < minLanes {
			continue
		}
		if change, changed := f.sizeLane(now, service, l, told); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// sizeLane brings the size of one service's lane up to date.
func (f *Fleet) sizeLane(now time.Duration, service string, l *lanes, told LaneSizes) (change LaneChange, changed bool) {
	if l.stale {
		f.divide(now, service, l)
	}
	all := f.byService[service]
	f.count(now, l, all)
	l.classes.decideApart()
	places, isTold := told[Key(service)]
	if !isTold || f.cfg.Off[Lanes] {
		places = f.wanted(l, len(all))
	}
	places = min(places, len(all))
	if places == l.places {
		return LaneChange{}, false
	}
	l.share = float64(places) / float64(len(all))
	f.divide(now, service, l)
	return LaneChange{service, l.places, len(all), int(l.tight), int(l.rest), isTold}, true
}

// count brings the means of what is under way up to date.
func (f *Fleet) count(now time.Duration, l *lanes, all []*member) {
	var sum Load
	for _, m := range all {
		sum = sum.Plus(m.underWay())
	}
	l.classes.age(now - l.counted)
	past := math.Exp(-float64(now-l.counted) / float64(f.cfg.Tuning.LaneMemory))
	l.counted = now
	l.tight = l.tight*past + float64(sum.Tight)*(1-past)
	l.rest = l.rest*past + float64(sum.Open-sum.Tight)*(1-past)
}

// wanted is how many upstreams tight streams should have: none where no class is kept
// apart, else by their share of all requests. A number within the slack of the present one
// leaves that as it is.
func (f *Fleet) wanted(l *lanes, upstreams int) int {
	switch {
	case f.cfg.Off[Lanes]:
		return 0
	case l.classes.apart.limit == 0 && len(l.classes.counted()) < 2:
		return l.places // too little has been seen to tell
	case l.classes.apart.limit == 0:
		return 0
	}
	want := f.tightShare(l) * float64(upstreams)
	if l.places == 0 {
		return max(1, int(math.Round(want)))
	}
	tooFew := l.tight+l.rest < float64(upstreams)*laneFrom // to tell
	if tooFew || math.Abs(want-float64(l.places)) < laneSlack+laneSlackShare*float64(l.places) {
		return l.places
	}
	return int(math.Round(want))
}

// tightShare is the share of upstreams that tight streams should have, as a part of 1: by
// their share of all requests under way, each counted by what is read for its side.
func (f *Fleet) tightShare(l *lanes) float64 {
	t := &f.cfg.Tuning
	readTight, readRest := l.classes.meanReads()
	tight, rest := readTight*l.tight, readRest*l.rest
	if tight+rest == 0 {
		return t.TightLeast
	}
	return min(max(tight/(tight+rest), t.TightLeast), t.TightMost)
}
