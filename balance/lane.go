package balance

// This file defines lanes: some upstreams of a service are kept for streams whose
// events must follow each other closely, since an engine that reads a long prompt
// holds up the tokens of everything that runs beside it. The invariant: two boxes
// with the same list choose the same upstreams.

import (
	"cmp"
	"slices"
)

// minLanes is from how many upstreams on a service has lanes: with fewer, the loss of
// one would leave a lane empty too often.
const minLanes = 4

// laneKey is the key by which rendezvous chooses the lane's upstreams.
const laneKey = 1

// percent is the whole that a share in 100 is taken of.
const percent = 100

// lane returns the upstreams of the list that are in the request's lane, or all where
// none is.
func (f *Fleet) lane(r Request, list []*member) []*member {
	var out []*member
	for _, m := range list {
		if f.inLane(m, r.Tight) {
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
func (f *Fleet) inLane(m *member, tight bool) bool {
	if len(f.byService[m.Service]) < minLanes {
		return true
	}
	if f.stale[m.Service] {
		f.divide(m.Service)
	}
	return m.tight == tight
}

// divide puts a service's upstreams into their lanes, once after each change of its
// list: a decision for each request would cost the square of the list.
func (f *Fleet) divide(service string) {
	all := slices.Clone(f.byService[service])
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(weight(b.ID, laneKey), weight(a.ID, laneKey)) })
	places := (len(all)*f.cfg.Tuning.TightShare + percent/2) / percent // rounded
	for i, m := range all {
		m.tight = i < places
	}
	delete(f.stale, service)
}
