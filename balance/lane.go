package balance

// This file defines lanes: some upstreams of a service are reserved for tight streams, those
// whose events must follow each other closely, since an engine that prefills a long prompt delays
// the tokens of everything else that it runs. lanesize.go computes how many are reserved. The
// invariant: upstreams are reserved in an order that is the same on all boxes, so that boxes with
// different lane sizes differ only in the last upstreams of that order.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// minLaneUpstreams is the least number of upstreams for which a service has lanes. With fewer,
// losing one would too often leave a lane empty.
const minLaneUpstreams = 4

// laneKey is the rendezvous key for the order in which upstreams are reserved.
const laneKey = 1

// lanes is how the upstreams of one service are assigned to lanes.
type lanes struct {
	stale    bool          // the list has changed since the last assignment
	divided  bool          // an assignment has been made
	share    float64       // share of the upstreams reserved for tight streams
	reserved int           // number of upstreams reserved for tight streams
	open     Need          // recent requests in progress on each side
	spare    int           // slots of the upstreams that advertise no limit
	prefill  Need          // recent share of upstreams that prefill, by lane
	updated  time.Duration // when open and prefill were last updated
}

// splitByLane splits a list into the upstreams of the request's lane and the others. If no
// upstream would be in the lane, all are returned as within it.
func (f *Fleet) splitByLane(now time.Duration, r Request, list []*member) (inside, outside []*member) {
	tight := f.tight(r)
	inside = make([]*member, 0, len(list))
	for _, m := range list {
		if f.inLane(now, m, tight) {
			inside = append(inside, m)
		} else {
			outside = append(outside, m)
		}
	}
	if len(inside) == 0 {
		return list, nil
	}
	return inside, outside
}

// tight reports whether a request belongs in the lane for tight streams.
func (f *Fleet) tight(r Request) bool { return f.serviceOf(r.Service).classes.tight(r.Class) }

// inLane reports whether an upstream is in the lane for tight streams (tight) or in the other
// one.
func (f *Fleet) inLane(now time.Duration, m *member, tight bool) bool {
	s := m.service
	if s.upstreamCount < minLaneUpstreams {
		return true
	}
	if s.stale {
		f.assignLanes(now, s)
	}
	return s.reserved == 0 || m.tight == tight
}

// assignLanes assigns a service's upstreams to lanes, once after each change of the list or of
// the number reserved. Doing so for each request would cost the square of the list's length.
func (f *Fleet) assignLanes(now time.Duration, s *service) {
	all := slices.Clone(f.byService[s.name])
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(b.laneWeight, a.laneWeight) })
	s.reserved = int(math.Round(s.share * float64(len(all))))
	for i, m := range all {
		if tight := i < s.reserved; tight != m.tight {
			m.tight = tight
			if s.divided && !f.isNew(now, m) {
				m.laneChangedAt = now
			}
		}
	}
	s.stale, s.divided = false, true
}
