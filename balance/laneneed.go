package balance

// This file estimates how many upstreams tight streams and other requests need: slots for
// requests in progress, and time to prefill prompts. It addresses two loads: a burst of tight
// streams with short prompts that occupies all slots of its lane while those of the other one are
// free, and a burst of long prompts that prefills all the time and occupies few slots. The
// invariant: upstreams are divided in proportion to the needs of the two sides, where the greater
// of the needs for slots and for prefill counts on each side.

import "time"

// prefillHorizon is the backlog from which on an upstream counts as busy with prefill; a smaller
// backlog counts in proportion. A prompt counts as unread until its first event has arrived,
// which takes longer than the prefill of a short one.
const prefillHorizon = 100 * time.Millisecond

// maxPrefillWeight bounds the weight of an upstream that prefills all the time.
const maxPrefillWeight = 1.5

// Need is what tight streams and the other requests need of a service's upstreams, as shares of
// all upstreams.
type Need struct{ Tight, Rest float64 }

// add adds a share of one upstream to the side that it is assigned to.
func (n *Need) add(tight bool, share float64) {
	if tight {
		n.Tight += share
	} else {
		n.Rest += share
	}
}

func (n Need) sum() float64 { return n.Tight + n.Rest }

// weighted multiplies each side by its own weight.
func (n Need) weighted(o Need) Need { return Need{n.Tight * o.Tight, n.Rest * o.Rest} }

func (n Need) scaled(x float64) Need { return Need{n.Tight * x, n.Rest * x} }

// follow returns the need after an update to now: an increase applies at once, and a decrease
// with exponential decay, where left is the remaining part of the old value. A plain mean would
// keep the lane too large for as long after a burst of tight streams, and too small when one
// begins.
func (n Need) follow(now Need, left float64) Need {
	return Need{max(now.Tight, now.Tight+(n.Tight-now.Tight)*left), max(now.Rest, now.Rest+(n.Rest-now.Rest)*left)}
}

// tightShare returns the share of the upstreams that tight streams should have; at least the
// share least remains for either side.
func (n Need) tightShare(least float64) float64 {
	if n.sum() == 0 {
		return least
	}
	return min(max(n.Tight/n.sum(), least), 1-least)
}

// prefillWeights returns, for each side, how many upstreams with all slots occupied weigh as much
// as one that prefills all the time. The weight is greater the fewer prompts an upstream can
// prefill within the time that a prompt may wait: with three, it has to be idle half of the time
// for a prompt to find it free; with nine, hardly ever. A single weight would suit only one kind
// of prompt.
func (f *Fleet) prefillWeights(s *service) Need {
	var tight, rest mean // prefill time of prompts, relative to the time that they may wait
	for _, c := range s.classes.significant() {
		if c.target == 0 {
			continue
		}
		side := &rest
		if s.classes.isTightKey(c.key) {
			side = &tight
		}
		wait := fraction(c.target, f.cfg.Tuning.AdmitShare)
		side.add(float64(f.prefillTime(int(c.meanPrefill())))/float64(wait), c.meanPrefill()*c.requests())
	}
	return Need{f.prefillWeight(tight), f.prefillWeight(rest)}
}

// prefillWeight returns the weight of one side; 1, as for occupied slots, if no latency target is
// known.
func (f *Fleet) prefillWeight(relativeTime mean) float64 {
	if relativeTime.weight == 0 {
		return 1
	}
	return min(f.cfg.Tuning.LaneQueuePrompts*relativeTime.value(), maxPrefillWeight)
}

// prefillShare returns the share of the coming prefillHorizon during which an upstream prefills.
func (f *Fleet) prefillShare(unread int) float64 {
	return min(float64(f.prefillTime(unread))/float64(prefillHorizon), 1)
}

// laneNeed returns what the two sides of a service need. The greater of the needs for slots and
// for prefill counts: a side may be short of one while it has enough of the other.
func (f *Fleet) laneNeed(s *service) Need {
	prefill := s.prefill.weighted(f.prefillWeights(s))
	if s.spare == 0 {
		return prefill
	}
	occupied := s.open.scaled(1 / float64(s.spare))
	return Need{max(prefill.Tight, occupied.Tight), max(prefill.Rest, occupied.Rest)}
}
