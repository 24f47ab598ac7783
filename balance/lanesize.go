package balance

// This file computes how many upstreams of a service are reserved for tight streams, from the
// load of all boxes or from the lane size that another box reported; laneneed.go computes what
// each side needs. The invariant: as long as the service's list is unchanged, a lane keeps its
// size until another size is reported, or until the size needed differs by more than the slack.

import (
	"math"
	"time"
)

const (
	// minOpenPerUpstream is the mean number of open requests per upstream from which on lanes are
	// resized.
	minOpenPerUpstream = 0.5
	// laneSlack, in upstreams, and laneSlackShare, as a share of the smaller side, are how far
	// the size of a lane may deviate: an upstream that changes lanes leaves its cached prompts
	// behind.
	laneSlack, laneSlackShare = 0.75, 0.15
)

// Lane is the lane for tight streams of one service.
type Lane struct {
	Reserved int      // number of upstreams reserved for tight streams
	Tight    []uint32 // sorted Keys of the classes of tight streams; empty: not known
}

// LanePlan holds the lanes of services by the Key of the service name.
type LanePlan map[uint32]Lane

// Lanes returns the lanes of this box. Services without separated classes are left out: a lead
// that has just started, and has not seen all classes yet, would otherwise dissolve the lanes of
// all boxes.
func (f *Fleet) Lanes() LanePlan {
	plan := make(LanePlan)
	for _, s := range f.services {
		if s.upstreamCount >= minLaneUpstreams && s.reserved > 0 {
			plan[Key(s.name)] = Lane{s.reserved, s.classes.tightKeys()}
		}
	}
	return plan
}

// LaneChange is a change of a lane's size, with the figures that led to it.
type LaneChange struct {
	Service   string
	Reserved  int  // number of upstreams reserved for tight streams
	Upstreams int  // number of upstreams of the service
	Tight     int  // recent tight streams in progress
	Rest      int  // recent other requests in progress
	Need      Need // share of the upstreams that each side needs
	Reported  bool // the size was reported by another box, not computed by this one
}

// SizeLanes updates the lane sizes, to the reported size for the services in reported, and from
// the load of all boxes for the others. It returns the changes.
func (f *Fleet) SizeLanes(now time.Duration, reported LanePlan) []LaneChange {
	var changes []LaneChange
	for _, s := range f.services {
		f.pruneActive(s)
		if s.upstreamCount < minLaneUpstreams {
			continue
		}
		if change, changed := f.sizeLane(now, s, reported); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// sizeLane updates the lane size of one service.
func (f *Fleet) sizeLane(now time.Duration, s *service, reported LanePlan) (change LaneChange, changed bool) {
	if s.stale {
		f.assignLanes(now, s)
	}
	all := f.byService[s.name]
	f.updateLaneLoad(now, s, all)
	s.classes.chooseDivision()
	lane, isReported := reported[Key(s.name)]
	s.classes.assign(lane.Tight)
	reserved := lane.Reserved
	if !isReported || f.cfg.Off[Lanes] {
		reserved = f.wantedLaneSize(s, len(all))
	}
	reserved = min(reserved, len(all))
	if reserved == s.reserved {
		return LaneChange{}, false
	}
	s.share = float64(reserved) / float64(len(all))
	f.assignLanes(now, s)
	return LaneChange{s.name, s.reserved, len(all), int(s.open.Tight), int(s.open.Rest), f.laneNeed(s), isReported}, true
}

// updateLaneLoad updates the open requests and the prefill load of a service.
func (f *Fleet) updateLaneLoad(now time.Duration, s *service, all []*member) {
	var sum Load
	var prefill Need
	for _, m := range s.active {
		l := m.totalLoad()
		sum = sum.Plus(l)
		m.updatePrefillActivity(now-s.updated, l.Unread)
		prefill.add(m.tight, f.prefillShare(l.Unread))
	}
	limited := f.limitedUpstreams(s)
	unread := sum.Unread
	s.spare = s.slotCount
	for _, m := range limited {
		unread -= m.totalLoad().Unread
		s.spare -= m.Slots
	}
	s.meanUnread = float64(unread) / float64(len(all)-len(limited))
	s.classes.decay(now - s.updated)
	left := math.Exp(-float64(now-s.updated) / float64(f.cfg.Tuning.LaneDecay))
	s.updated = now
	s.open = s.open.follow(Need{float64(sum.Tight), float64(sum.Requests - sum.Tight)}, left)
	s.prefill = s.prefill.follow(prefill.scaled(1/float64(len(all))), left)
}

// wantedLaneSize returns how many upstreams tight streams should have: none if no class is
// separated, else according to the needs of the two sides. A size within the slack of the present
// one leaves it unchanged.
func (f *Fleet) wantedLaneSize(s *service, upstreams int) int {
	switch {
	case f.cfg.Off[Lanes]:
		return 0
	case s.classes.division.limit == 0 && len(s.classes.significant()) < 2:
		return s.reserved // too few observations to decide
	case s.classes.division.limit == 0:
		return 0
	}
	want := f.laneNeed(s).tightShare(f.cfg.Tuning.LaneMinShare) * float64(upstreams)
	if s.reserved == 0 {
		return max(1, int(math.Round(want)))
	}
	slack := laneSlack + laneSlackShare*float64(min(s.reserved, upstreams-s.reserved))
	lowLoad := s.open.sum() < float64(upstreams)*minOpenPerUpstream // too little load to decide
	if lowLoad || math.Abs(want-float64(s.reserved)) < slack {
		return s.reserved
	}
	return int(math.Round(want))
}
