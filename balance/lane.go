package balance

// This file defines lanes: some upstreams of a service are kept for tight streams,
// those whose events must follow each other closely, since an engine that reads a long
// prompt holds up the tokens of everything that runs beside it. How many are kept stands
// in lanesize.go. The invariant: the upstreams are kept in an order that
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

// lanes is how the upstreams of one service are divided.
type lanes struct {
	stale   bool          // the list has changed since they were
	divided bool          // they were once
	share   float64       // of the upstreams that tight streams should have
	places  int           // upstreams that are kept for them
	open    Need          // requests under way on each side, lately
	spare   int           // slots of its upstreams, but for those that name limits
	reading Need          // upstreams of each lane that read, as a share of all, lately
	counted time.Duration // when these were last brought up to date
}

// lane divides a list into the upstreams of the request's lane and those beyond it; all
// are in the lane where none would be.
func (f *Fleet) lane(now time.Duration, r Request, list []*member) (within, beyond []*member) {
	tight := f.tight(r)
	within = make([]*member, 0, len(list))
	for _, m := range list {
		if f.inLane(now, m, tight) {
			within = append(within, m)
		} else {
			beyond = append(beyond, m)
		}
	}
	if len(within) == 0 {
		return list, nil
	}
	return within, beyond
}

// tight reports whether a request belongs to the lane for tight streams.
func (f *Fleet) tight(r Request) bool { return f.serviceOf(r.Service).classes.tight(r.Class) }

// inLane reports whether an upstream is in the lane for tight streams, or in the one
// for the others.
func (f *Fleet) inLane(now time.Duration, m *member, tight bool) bool {
	s := m.service
	if s.listed < minLanes {
		return true
	}
	if s.stale {
		f.divide(now, s)
	}
	return s.places == 0 || m.tight == tight
}

// divide puts a service's upstreams into their lanes, once after each change of its
// list or of the number kept: doing so for each request would cost the square of the list.
func (f *Fleet) divide(now time.Duration, s *service) {
	all := slices.Clone(f.byService[s.name])
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(b.laneWeight, a.laneWeight) })
	s.places = int(math.Round(s.share * float64(len(all))))
	for i, m := range all {
		if tight := i < s.places; tight != m.tight {
			m.tight = tight
			if s.divided && !f.isNew(now, m) {
				m.laneChangedAt = now
			}
		}
	}
	s.stale, s.divided = false, true
}
