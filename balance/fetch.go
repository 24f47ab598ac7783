package balance

// This file defines from where an upstream may fetch what it lacks of a prompt.
// Fetching costs a fourth of reading again. The invariant: an upstream that was listed
// too recently, or cannot be reached, is never fetched from.

import "time"

// fetchFrom is the address of the upstream that is more likely to keep the prompt
// than the chosen one: one that comes before it, or that did so until the chosen one
// was new to the list or to its lane.
func (f *Fleet) fetchFrom(now time.Duration, r Request, chosen *member) string {
	if !r.Moves {
		return ""
	}
	key := sharedKey(r)
	mine := weight(chosen.ID, key)
	fresh := f.young(now, chosen) || f.changed(now, chosen)
	var best *member
	var bestWeight uint64
	for _, m := range f.byService[r.Service] {
		if m == chosen || m.out || m.health.rests(now) || !f.keeps(now, m, r.Tight) {
			continue
		}
		w := weight(m.ID, key)
		likelier := w > mine || fresh
		if likelier && (best == nil || w > bestWeight) {
			best, bestWeight = m, w
		}
	}
	if best == nil {
		return ""
	}
	return best.Address
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
