package balance

// This file defines placement. The invariant: an upstream that is leaving or evacuated, that
// the request was already sent to, that lies outside of its homes, that bears no more while it
// is cold or by the limit that it names, or that has no memory for it, is never chosen; one that rests is chosen only where
// more than the allowed share rests, and one out of reach only where no other is left.

import (
	"cmp"
	"slices"
	"time"
)

// Choice is where a request goes.
type Choice struct {
	Upstream *Upstream
	Fetch    string // address of an upstream that keeps more of the prompt, or empty
	Backlog  int    // prompt tokens that are to be read there before
	Unread   int    // prompt tokens that are to be read there of its own
	Passed   int    // upstreams that were passed over, as they take no more from this box
	Kept     bool   // it is known, or guessed, to keep the prompt's last shared part
}

// Place chooses an upstream; false means that there is none left to try. Those
// the request was sent to before are named in tried.
func (f *Fleet) Place(now time.Duration, r Request, tried []string) (Choice, bool) {
	list, passed := f.afterUnreached(f.usable(now, r, tried), tried), f.passedOver(now, r, tried)
	if len(list) == 0 && passed > 0 {
		f.keepForUrgent(now, r)
	}
	f.noteLack(now, r.Service, len(list) > 0)
	memory := f.memoryBoundOf(r)
	if len(tried) > 0 {
		memory = memory.again()
	}
	if sharedKey(r) == 0 {
		list = memory.fitting(list)
		if len(list) == 0 {
			return Choice{Passed: passed}, false
		}
		return Choice{Upstream: &f.leastBusy(list).Upstream, Passed: passed}, true
	}
	within, beyond := f.withMemory(now, r, list, memory)
	if len(within) == 0 {
		return Choice{Passed: passed}, false
	}
	choice := f.placePrompt(now, r, within, beyond)
	choice.Passed = passed
	return choice, true
}

// noteLack notes whether a request found an upstream of its service that takes any.
func (f *Fleet) noteLack(now time.Duration, name string, found bool) {
	s := f.serviceOf(name)
	leaves := func(m *member) bool { return m.Leaving }
	stays := func(m *member) bool { return !m.closed() }
	switch {
	case found || !slices.ContainsFunc(f.byService[name], leaves) || slices.ContainsFunc(f.byService[name], stays):
		s.lacking = longAgo
	case s.lacking == longAgo:
		s.lacking = now
	}
}

// LackedFor is for how long no upstream of a service has taken requests, since the last of them are leaving. As long as none has come, the
// next one is to be expected after about as long again.
func (f *Fleet) LackedFor(now time.Duration, service string) time.Duration {
	if s := f.serviceOf(service); s.lacking != longAgo {
		return now - s.lacking
	}
	return 0
}

// withMemory divides the upstreams into those of the request's lane and those beyond it, and
// leaves out those without memory for it. A tight stream may leave a lane that has none; a long
// prompt does not: in a burst that fills all memory of their own upstreams, such prompts
// would go to those that are kept for tight streams.
func (f *Fleet) withMemory(now time.Duration, r Request, list []*member, memory memoryBound) (within, beyond []*member) {
	within, beyond = f.lane(now, r, list)
	if len(within) == 0 && f.anyPaused(r.Service) {
		return memory.fitting(beyond), nil // its lane may be paused as a whole
	}
	within, beyond = memory.fitting(within), memory.fitting(beyond)
	if len(within) == 0 && f.tight(r) {
		return beyond, nil
	}
	return within, beyond
}

// usable lists the upstreams a request may go to, whatever memory they have left. Where too many rest, those that fail
// least are taken all the same.
func (f *Fleet) usable(now time.Duration, r Request, tried []string) []*member {
	awake := make([]*member, 0, len(f.byService[r.Service]))
	var resting, out []*member
	limited := false
	for _, m := range f.byService[r.Service] {
		switch {
		case !f.isOpen(now, m, r, tried):
		case !f.allows(now, m, r):
			limited = limited || !m.out
		case m.out:
			out = append(out, m)
		case m.health.rests(now) && !f.cfg.Off[Rests]:
			resting = append(resting, m)
		default:
			awake = append(awake, m)
		}
	}
	awake = append(awake, beyondRest(resting, len(awake))...)
	if len(awake) > 0 {
		return awake
	}
	if limited {
		return resting // who finds no place hears it at once, and not when a connection has not come up
	}
	return append(resting, out...)
}

// afterUnreached narrows a list to this box's own domain where an upstream of another one, that the request was to go to
// before, could not be reached. A cut takes whole domains away: of many boxes each would find that out by its own
// requests, a wait for a connection for each domain and request.
func (f *Fleet) afterUnreached(list []*member, tried []string) []*member {
	if f.cfg.Off[Domains] || !slices.ContainsFunc(tried, f.isOutElsewhere) {
		return list
	}
	own := slices.DeleteFunc(slices.Clone(list), func(m *member) bool { return m.Domain != f.cfg.Domain || m.out })
	if len(own) == 0 {
		return list
	}
	return own
}

// isOutElsewhere reports whether an upstream of another domain is out of reach.
func (f *Fleet) isOutElsewhere(id string) bool {
	m := f.byID[id]
	return m != nil && m.out && m.Domain != f.cfg.Domain
}

// isOpen reports whether a request may go to an upstream, whatever limit that names.
func (f *Fleet) isOpen(now time.Duration, m *member, r Request, tried []string) bool {
	return !m.closed() && !slices.Contains(tried, m.ID) && f.mayRunIn(m.Domain, r) && f.bears(now, m)
}

// beyondRest returns those of the resting upstreams that are taken all the same, since
// more rest than may beside so many that are awake: the ones that fail least.
func beyondRest(resting []*member, awake int) []*member {
	allowed := (awake + len(resting)) * mostResting / percent
	if len(resting) <= allowed {
		return nil
	}
	slices.SortStableFunc(resting, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.health.failing, a.health.failing), cmp.Compare(a.ID, b.ID))
	})
	return resting[allowed:]
}

// leastBusy returns the upstream with the fewest requests for its slots; those that lie further
// away count as busier, and so do those that fail: as much as the furthest lies away besides, so
// that none is preferred for being near which fails all that it gets.
func (f *Fleet) leastBusy(list []*member) *member {
	held := f.workTime(list[0].Service)
	var furthest float64
	for _, m := range list {
		furthest = max(furthest, f.awayOf(m.Domain, held))
	}
	var best *member
	var bestScore float64
	for _, m := range list {
		score := (float64(m.open()) + f.cfg.Tuning.FailWeight*m.health.failing) / float64(max(m.Slots, 1))
		score += f.awayOf(m.Domain, held) + furthest*m.health.failing
		if best == nil || score < bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// placePrompt chooses the candidate at which the prompt costs least; of equal ones the
// first. A tight stream may leave its lane, at a cost; other prompts never do, since their
// reading would hold up all that runs there.
func (f *Fleet) placePrompt(now time.Duration, r Request, within, beyond []*member) Choice {
	ranked := f.rank(within, sharedKey(r))
	candidates := f.candidates(now, r, within, ranked)
	cost := f.promptCostOf(now, r, f.homesOf(r, ranked))
	chosen, least := candidates[0], cost.at(candidates[0])
	for _, m := range candidates[1:] {
		if c := cost.at(m); c < least {
			chosen, least = m, c
		}
	}
	if len(beyond) > 0 && f.tight(r) && !f.cfg.Off[Leaving] {
		leaving := f.leaveCost(r.Service)
		for _, m := range f.candidates(now, r, beyond, f.rank(beyond, sharedKey(r))) {
			if c := cost.at(m) + leaving; c < least {
				chosen, least = m, c
			}
		}
	}
	return Choice{
		Upstream: &chosen.Upstream,
		Fetch:    f.fetchFrom(now, r, chosen),
		Backlog:  f.backlog(now, chosen, r.level()),
		Unread:   cost.unread(chosen),
		Kept:     cost.holds(chosen, r.lastShared()),
	}
}

// candidates are a prompt's first two choices by rendezvous, those of this box's region and of
// its domain, a cold upstream that bears one more, and those of the list that are known to keep
// its last shared part. There is at least one; one may stand there more than once.
func (f *Fleet) candidates(now time.Duration, r Request, list []*member, ranked ranking) []*member {
	out := ranked.list()
	if m := f.rationed(now, list); m != nil {
		out = append(out, m)
	}
	for _, x := range f.kept.keepers[PartKey(r.lastShared().ID)] {
		if slices.Contains(list, x.member) {
			out = append(out, x.member)
		}
	}
	return out
}
