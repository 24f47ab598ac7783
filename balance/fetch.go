package balance

// This file defines from where an upstream may fetch what it lacks of a prompt.
// Fetching costs a fourth of reading again. The invariant: an upstream that was listed
// too recently, or cannot be reached, is never fetched from.

import (
	"slices"
	"time"
)

// fetchFrom is the address of the upstream that is more likely to keep the prompt
// than the chosen one: one that comes before it, or that did so until the chosen one
// was new to the list or to its lane.
// Where boxes told of one that keeps it, that one is taken instead.
func (f *Fleet) fetchFrom(now time.Duration, r Request, chosen *member) string {
	if !r.Moves {
		return ""
	}
	if m, known := f.knownKeeper(now, r, chosen); known {
		if m == nil {
			return ""
		}
		return m.Address
	}
	key := sharedKey(r)
	mine := weight(chosen.ID, key)
	fresh := f.young(now, chosen) || f.changed(now, chosen)
	guess := !f.sure(now) && f.tracked(r) // others may have sent it to the next choice
	var best *member
	var bestWeight uint64
	for _, m := range f.byService[r.Service] {
		if m == chosen || m.out || m.health.rests(now) || !f.keeps(now, m, r.Tight) {
			continue
		}
		w := weight(m.ID, key)
		likelier := w > mine || fresh || guess
		if likelier && (best == nil || w > bestWeight) {
			best, bestWeight = m, w
		}
	}
	if best == nil {
		return ""
	}
	return best.Address
}

// knownKeeper is the upstream to fetch from, nil where nothing is to be fetched; it is
// not known where no upstream is known to keep the last shared part.
func (f *Fleet) knownKeeper(now time.Duration, r Request, chosen *member) (m *member, known bool) {
	if !f.tracked(r) {
		return nil, false
	}
	shared := r.shared()
	last := shared[len(shared)-1]
	if f.kept.holds(now, PartKey(last.ID), chosen) {
		return nil, true
	}
	for _, part := range slices.Backward(shared) { // as much of the prompt as can be had
		if f.kept.holds(now, PartKey(part.ID), chosen) {
			break
		}
		if m := f.keeperOf(now, part, chosen); m != nil {
			return m, true
		}
	}
	return nil, f.sure(now)
}

// keeps reports whether an upstream may keep what prompts of a lane share: it has been
// in the lane for a while, or was until lately.
func (f *Fleet) keeps(now time.Duration, m *member, tight bool) bool {
	return !f.young(now, m) && f.inLane(now, m, tight) != f.changed(now, m)
}

// young reports whether an upstream was listed too recently to keep much.
func (f *Fleet) young(now time.Duration, m *member) bool { return now-m.since < f.cfg.Tuning.NewFor }

// changed reports whether an upstream came into its lane too recently to keep much of
// what is read there.
func (f *Fleet) changed(now time.Duration, m *member) bool { return now-m.moved < f.cfg.Tuning.NewFor }
