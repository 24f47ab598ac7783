package balance

// This file defines lanes: some upstreams of a service are kept for streams whose
// events must follow each other closely, since an engine that reads a long prompt
// holds up the tokens of everything that runs beside it. The invariant: two boxes
// with the same list choose the same upstreams.

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
	all := f.byService[m.Service]
	if len(all) < minLanes {
		return true
	}
	places := (len(all)*f.cfg.Tuning.TightShare + percent/2) / percent // rounded
	own := weight(m.ID, laneKey)
	before := 0
	for _, o := range all {
		if weight(o.ID, laneKey) > own {
			before++
		}
	}
	return (before < places) == tight
}
