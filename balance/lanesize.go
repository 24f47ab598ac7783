package balance

// This file defines how many upstreams of a service are kept for tight streams, by what
// all boxes have under way or by what another box told; what each side needs stands in
// laneneed.go. The invariant: as long as the service's list stays the same, a lane keeps its
// size until another one is told, or until the one wanted is off by more than the slack.

import (
	"math"
	"time"
)

const (
	// laneFrom is how many requests an upstream must have on the mean for the lanes'
	// sizes to follow them.
	laneFrom = 0.5
	// laneSlack and laneSlackShare, in upstreams and as a share of the smaller side, are how
	// far its size may be off: each upstream that changes its lane leaves behind what it keeps.
	laneSlack, laneSlackShare = 0.75, 0.15
)

// Lane is how a service is divided.
type Lane struct {
	Places int      // upstreams that are kept for tight streams
	Tight  []uint32 // Keys of the classes that those are of, in order; none: not known
}

// LanePlan is how services are divided, by the Key of a service's name.
type LanePlan map[uint32]Lane

// Lanes is how this box's fleet is divided, as far as it is. A service in which this box
// keeps nothing apart is left out: a lead that has just started, and has not seen all classes
// yet, would dissolve the lanes of all.
func (f *Fleet) Lanes() LanePlan {
	plan := make(LanePlan)
	for _, s := range f.services {
		if s.listed >= minLanes && s.places > 0 {
			plan[Key(s.name)] = Lane{s.places, s.classes.tightKeys()}
		}
	}
	return plan
}

// LaneChange is a lane that got another size, with what decided it.
type LaneChange struct {
	Service   string
	Places    int  // upstreams that are kept for tight streams
	Upstreams int  // of the service
	Tight     int  // tight streams under way, lately
	Rest      int  // other requests under way, lately
	Need      Need // upstreams that each side needs, as a share of all
	Told      bool // the size is what was told, not what this box would choose
}

// SizeLanes brings the lanes' sizes up to date: to what was told, where that names a
// service, or to what all boxes have under way. It returns the lanes that changed.
func (f *Fleet) SizeLanes(now time.Duration, told LanePlan) []LaneChange {
	var changes []LaneChange
	for _, s := range f.services {
		f.pruneActive(s)
		if s.listed < minLanes {
			continue
		}
		if change, changed := f.sizeLane(now, s, told); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// sizeLane brings the size of one service's lane up to date.
func (f *Fleet) sizeLane(now time.Duration, s *service, told LanePlan) (change LaneChange, changed bool) {
	if s.stale {
		f.divide(now, s)
	}
	all := f.byService[s.name]
	f.count(now, s, all)
	s.classes.decideApart()
	lane, isTold := told[Key(s.name)]
	s.classes.follow(lane.Tight)
	places := lane.Places
	if !isTold || f.cfg.Off[Lanes] {
		places = f.wanted(s, len(all))
	}
	places = min(places, len(all))
	if places == s.places {
		return LaneChange{}, false
	}
	s.share = float64(places) / float64(len(all))
	f.divide(now, s)
	return LaneChange{s.name, s.places, len(all), int(s.open.Tight), int(s.open.Rest), f.needOf(s), isTold}, true
}

// count brings what is under way and to be read up to date.
func (f *Fleet) count(now time.Duration, s *service, all []*member) {
	var sum Load
	var reading Need
	for _, m := range s.active {
		l := m.totalLoad()
		sum = sum.Plus(l)
		m.noteReading(now-s.counted, l.Unread)
		reading.add(m.tight, f.readingShare(l.Unread))
	}
	limited := f.limitedOf(s)
	unread := sum.Unread
	s.spare = s.slots
	for _, m := range limited {
		unread -= m.totalLoad().Unread
		s.spare -= m.Slots
	}
	s.meanUnread = float64(unread) / float64(len(all)-len(limited))
	s.classes.age(now - s.counted)
	left := math.Exp(-float64(now-s.counted) / float64(f.cfg.Tuning.LaneMemory))
	s.counted = now
	s.open = s.open.follow(Need{float64(sum.Tight), float64(sum.Open - sum.Tight)}, left)
	s.reading = s.reading.follow(reading.times(1/float64(len(all))), left)
}

// wanted is how many upstreams tight streams should have: none where no class is kept
// apart, else by what both sides need. A number within the slack of the present one
// leaves that as it is.
func (f *Fleet) wanted(s *service, upstreams int) int {
	switch {
	case f.cfg.Off[Lanes]:
		return 0
	case s.classes.apart.limit == 0 && len(s.classes.counted()) < 2:
		return s.places // too little has been seen to tell
	case s.classes.apart.limit == 0:
		return 0
	}
	want := f.needOf(s).share(f.cfg.Tuning.LaneLeast) * float64(upstreams)
	if s.places == 0 {
		return max(1, int(math.Round(want)))
	}
	slack := laneSlack + laneSlackShare*float64(min(s.places, upstreams-s.places))
	tooFew := s.open.sum() < float64(upstreams)*laneFrom // to tell
	if tooFew || math.Abs(want-float64(s.places)) < slack {
		return s.places
	}
	return int(math.Round(want))
}
