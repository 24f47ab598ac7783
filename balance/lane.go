package balance

// This file defines lanes: some upstreams of a service are kept for tight streams,
// those whose events must follow each other closely, since an engine that reads a long
// prompt holds up the tokens of everything that runs beside it. How many are kept
// follows what is under way. The invariant: the upstreams are kept in an order that
// all boxes know, so that boxes which differ in the number differ in the last ones only.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// minLanes is from how many upstreams on a service has lanes: with fewer, the loss of
// one would leave a lane empty too often.
const minLanes = 4

// laneKey is the key by which rendezvous orders the upstreams.
const laneKey = 1

// percent is the whole that a share in 100 is taken of.
const percent = 100

// lanes is how the upstreams of one service are divided.
type lanes struct {
	stale   bool          // the list has changed since they were
	divided bool          // they were once
	share   float64       // of the upstreams that tight streams should have
	places  int           // upstreams that are kept for them
	tight   float64       // mean of the tight streams under way
	rest    float64       // mean of the other requests
	counted time.Duration // when the means were last brought up to date
}

// lanesOf returns the division of a service.
func (f *Fleet) lanesOf(service string) *lanes {
	l := f.lanes[service]
	if l == nil {
		l = &lanes{stale: true, share: float64(f.cfg.Tuning.TightShare) / percent}
		f.lanes[service] = l
	}
	return l
}

// lane returns the upstreams of the list that are in the request's lane, or all where
// none is.
func (f *Fleet) lane(now time.Duration, r Request, list []*member) []*member {
	var out []*member
	for _, m := range list {
		if f.inLane(now, m, r.Tight) {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}

// inLane reports whether an upstream is in the lane for tight streams, or in the one
// for the others.
func (f *Fleet) inLane(now time.Duration, m *member, tight bool) bool {
	if len(f.byService[m.Service]) < minLanes {
		return true
	}
	if l := f.lanesOf(m.Service); l.stale {
		f.divide(now, m.Service, l)
	}
	return m.tight == tight
}

// divide puts a service's upstreams into their lanes, once after each change of its
// list or of the number kept: doing so for each request would cost the square of the list.
func (f *Fleet) divide(now time.Duration, service string, l *lanes) {
	all := slices.Clone(f.byService[service])
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(weight(b.ID, laneKey), weight(a.ID, laneKey)) })
	l.places = int(math.Round(l.share * float64(len(all))))
	for i, m := range all {
		if tight := i < l.places; tight != m.tight {
			m.tight = tight
			if l.divided && !f.young(now, m) {
				m.moved = now
			}
		}
	}
	l.stale, l.divided = false, true
}

// LaneSizes is how many upstreams are kept for tight streams, by the Key of the
// service's name.
type LaneSizes map[uint32]int

// Lanes is how this box's fleet is divided.
func (f *Fleet) Lanes() LaneSizes {
	sizes := make(LaneSizes)
	for service, l := range f.lanes {
		if len(f.byService[service]) >= minLanes && l.divided {
			sizes[Key(service)] = l.places
		}
	}
	return sizes
}

// LaneChange is a lane that got another size, with what decided it.
type LaneChange struct {
	Service   string
	Places    int // upstreams that are kept for tight streams
	Upstreams int // of the service
	Tight     int // tight streams under way, a mean
	Rest      int // other requests under way, a mean
	Told      bool
}

// SizeLanes brings the lanes' sizes up to date: to what was told, where that names a
// service, or to what all boxes have under way. The tight streams get upstreams by
// their share of all requests, so that both lanes run about as many on each.
func (f *Fleet) SizeLanes(now time.Duration, told LaneSizes) []LaneChange {
	var changes []LaneChange
	for service, l := range f.lanes {
		all := f.byService[service]
		if len(all) < minLanes {
			continue
		}
		if l.stale {
			f.divide(now, service, l)
		}
		f.count(now, l, all)
		places, isTold := told[Key(service)]
		if !isTold {
			places = f.wanted(l, len(all))
		}
		places = min(places, len(all))
		if places == l.places {
			continue
		}
		l.share = float64(places) / float64(len(all))
		f.divide(now, service, l)
		changes = append(changes, LaneChange{service, l.places, len(all), int(l.tight), int(l.rest), isTold})
	}
	return changes
}

// count brings the means of what is under way up to date.
func (f *Fleet) count(now time.Duration, l *lanes, all []*member) {
	var sum Load
	for _, m := range all {
		sum = sum.Plus(m.underWay())
	}
	past := math.Exp(-float64(now-l.counted) / float64(f.cfg.Tuning.LaneMemory))
	l.counted = now
	l.tight = l.tight*past + float64(sum.Tight)*(1-past)
	l.rest = l.rest*past + float64(sum.Open-sum.Tight)*(1-past)
}

// wanted is how many upstreams tight streams should have; what is within the slack of
// the present number stays.
func (f *Fleet) wanted(l *lanes, upstreams int) int {
	if l.tight+l.rest < float64(upstreams)*laneFrom {
		return l.places // too little to tell
	}
	t := &f.cfg.Tuning
	share := min(max(l.tight/(l.tight+t.RestWeight*l.rest), t.TightLeast), t.TightMost)
	want := share * float64(upstreams)
	if math.Abs(want-float64(l.places)) < laneSlack+laneSlackShare*float64(l.places) {
		return l.places
	}
	return int(math.Round(want))
}

const (
	// laneFrom is how many requests an upstream must have on the mean for the lanes'
	// sizes to follow them.
	laneFrom = 0.5
	// laneSlack and laneSlackShare, in upstreams and as a share of the lane, are how
	// far its size may be off: each upstream that changes its lane leaves behind what it keeps.
	laneSlack, laneSlackShare = 0.75, 0.15
)
