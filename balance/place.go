package balance

// This file defines placement. Invariant: a request is never placed at an upstream that is
// leaving or evacuated, that it was already sent to, that lies outside the regions it may run in,
// that accepts no more while it is cold or under its stated limit, or that has no memory for it.
// An upstream in failure backoff is chosen only if more than the allowed share of upstreams is,
// and an unreachable one only if no other is left, or if it is reached through another box while
// this box reaches too few itself.

import (
	"cmp"
	"slices"
	"time"
)

// Choice is the result of placing a request.
type Choice struct {
	Upstream  *Upstream
	FetchFrom string // address of an upstream that holds more of the prompt, or ""
	Backlog   int    // prompt tokens that the upstream reads before this request
	Unread    int    // tokens of this prompt that the upstream has to read
	Skipped   int    // number of upstreams skipped because they accept no more requests from this box
	LeftRoom  bool   // none was chosen, as what is free is kept for streams that go on
	HoldsPart bool   // the upstream is known or assumed to hold the prompt's last shared part
}

// Place chooses an upstream for a request, or returns false if none is left to try. tried lists
// the upstreams to which the request was sent before.
func (f *Fleet) Place(now time.Duration, r Request, tried []string) (Choice, bool) {
	list, passed := f.preferOwnDomain(f.usable(now, r, tried), tried), f.countLimited(now, r, tried)
	if len(list) == 0 && passed > 0 {
		f.reserveForUrgent(now, r)
	}
	usable := len(list)
	list = f.leaveRoomToContinue(now, r, list)
	f.noteAvailability(now, r.Service, len(list) > 0)
	if len(list) == 0 && usable > 0 {
		return Choice{Skipped: passed, LeftRoom: true}, false
	}
	memory := f.memoryBoundOf(r)
	if len(tried) > 0 || r.Origin.Began {
		memory = memory.forRetry()
	}
	if sharedKey(r) == 0 {
		list = memory.fitting(list)
		if len(list) == 0 {
			return Choice{Skipped: passed}, false
		}
		return Choice{Upstream: &f.leastBusy(list).Upstream, Skipped: passed}, true
	}
	within, beyond := f.withMemory(now, r, list, memory)
	if len(within) == 0 {
		return Choice{Skipped: passed}, false
	}
	choice := f.placePrompt(now, r, within, beyond)
	choice.Skipped = passed
	return choice, true
}

// noteAvailability records whether a request found an upstream of its service that accepts
// requests.
func (f *Fleet) noteAvailability(now time.Duration, name string, found bool) {
	s := f.serviceOf(name)
	isLeaving := func(m *member) bool { return m.Leaving }
	accepts := func(m *member) bool { return !m.closed() }
	switch {
	case found || !slices.ContainsFunc(f.byService[name], isLeaving) || slices.ContainsFunc(f.byService[name], accepts):
		s.unavailableSince = longAgo
	case s.unavailableSince == longAgo:
		s.unavailableSince = now
	}
}

// UnavailableFor returns how long no upstream of a service has accepted requests because the last of
// them are leaving, or 0. As long as no new one has started, the expected time until one does is
// about as long again.
func (f *Fleet) UnavailableFor(now time.Duration, service string) time.Duration {
	if s := f.serviceOf(service); s.unavailableSince != longAgo {
		return now - s.unavailableSince
	}
	return 0
}

// withMemory splits the upstreams into those in the request's lane and those outside it, and
// removes those without memory for it. A tight stream may leave a lane without memory. A long
// prompt may not: when a burst fills the memory of its own lane, such prompts would go to the
// upstreams reserved for tight streams.
func (f *Fleet) withMemory(now time.Duration, r Request, list []*member, memory memoryBound) (within, beyond []*member) {
	within, beyond = f.splitByLane(now, r, list)
	if len(within) == 0 && f.anyPaused(r.Service) {
		return memory.fitting(beyond), nil // all upstreams of its lane may be paused
	}
	within, beyond = memory.fitting(within), memory.fitting(beyond)
	if len(within) == 0 && (f.tight(r) || r.Origin.Began) {
		return beyond, nil
	}
	return within, beyond
}

// usable returns the upstreams a request may go to, regardless of their free memory. If too many
// are in failure backoff, those that fail least are included.
func (f *Fleet) usable(now time.Duration, r Request, tried []string) []*member {
	available := make([]*member, 0, len(f.byService[r.Service]))
	var backingOff, unreachable, tunnelled []*member
	limited, avoidReported := false, f.avoidsReported(tried)
	for _, m := range f.byService[r.Service] {
		switch {
		case !f.isEligible(now, m, r, tried):
		case !f.allowedByLimits(now, m, r):
			limited = limited || !f.isLost(m)
		case m.unreachable || m.reports.verifying || avoidReported && m.reports.lost:
			unreachable = append(unreachable, m)
			if m.unreachable && f.behindTunnel(m) && !m.health.backingOff(now) {
				tunnelled = append(tunnelled, m)
			}
		case m.health.backingOff(now) && !f.cfg.Off[FailureBackoff]:
			backingOff = append(backingOff, m)
		default:
			available = append(available, m)
		}
	}
	available = append(available, excessBackingOff(backingOff, len(available))...)
	if f.serviceOf(r.Service).needsTunnels() {
		available = append(available, tunnelled...)
	}
	if len(available) > 0 {
		return available
	}
	if limited {
		return backingOff // refuse at once instead of waiting for a connection that is likely to fail
	}
	return append(backingOff, unreachable...)
}

// preferOwnDomain restricts a list to this box's own domain if an upstream in another domain,
// tried before for this request, was unreachable. A network partition cuts off whole domains.
// Without this rule each box would find that out with its own requests, waiting for a failing
// connection once per domain and request.
func (f *Fleet) preferOwnDomain(list []*member, tried []string) []*member {
	if f.cfg.Off[DomainCutOff] || !slices.ContainsFunc(tried, f.isUnreachableElsewhere) {
		return list
	}
	own := slices.DeleteFunc(slices.Clone(list), func(m *member) bool { return m.Domain != f.cfg.Domain || m.unreachable })
	if len(own) == 0 {
		return list
	}
	return own
}

// isUnreachableElsewhere reports whether an upstream lies in another domain and is unreachable.
func (f *Fleet) isUnreachableElsewhere(id string) bool {
	m := f.byID[id]
	return m != nil && m.unreachable && m.Domain != f.cfg.Domain
}

// isEligible reports whether a request may go to an upstream, apart from the limit that the
// upstream states.
func (f *Fleet) isEligible(now time.Duration, m *member, r Request, tried []string) bool {
	return !m.closed() && !slices.Contains(tried, m.ID) && f.mayContinueAt(m, r) && f.mayRunIn(m.Domain, r) && f.coldQuotaLeft(now, m) && f.allowedByBrittleness(now, m)
}

// excessBackingOff returns the upstreams in failure backoff that are used anyway because more
// than the allowed share are: the ones that fail least.
func excessBackingOff(backingOff []*member, available int) []*member {
	allowed := (available + len(backingOff)) * maxBackoffPercent / percent
	if len(backingOff) <= allowed {
		return nil
	}
	slices.SortStableFunc(backingOff, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.health.failureRate, a.health.failureRate), cmp.Compare(a.ID, b.ID))
	})
	return backingOff[allowed:]
}

// leastBusy returns the upstream with the fewest open requests per slot. Distant upstreams count
// as busier, and so do failing ones: an upstream that fails everything also counts as far away as
// the most distant one, so that it is not preferred for being near.
func (f *Fleet) leastBusy(list []*member) *member {
	runTime := f.serviceTime(list[0].Service)
	var furthest float64
	for _, m := range list {
		furthest = max(furthest, f.distancePenalty(m.Domain, runTime))
	}
	var best *member
	var bestScore float64
	for _, m := range list {
		score := (float64(m.open()) + f.cfg.Tuning.FailWeight*m.health.failureRate) / float64(max(m.Slots, 1))
		score += f.distancePenalty(m.Domain, runTime) + furthest*m.health.failureRate
		if best == nil || score < bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// placePrompt chooses the candidate with the lowest cost for a prompt, the first of equal ones. A
// tight stream may leave its lane, at an added cost. Other prompts never do, since reading them
// would delay everything that runs in the other lane.
func (f *Fleet) placePrompt(now time.Duration, r Request, within, beyond []*member) Choice {
	ranked := f.rank(within, sharedKey(r))
	candidates := f.candidates(now, r, within, ranked)
	cost := f.promptCostOf(now, r, f.homesOf(r, ranked))
	chosen, least := candidates[0], cost.total(candidates[0])
	for _, m := range candidates[1:] {
		if c := cost.total(m); c < least {
			chosen, least = m, c
		}
	}
	if len(beyond) > 0 && f.tight(r) && !f.cfg.Off[LaneExit] {
		exitCost := f.laneExitCost(r.Service)
		for _, m := range f.candidates(now, r, beyond, f.rank(beyond, sharedKey(r))) {
			if c := cost.total(m) + exitCost; c < least {
				chosen, least = m, c
			}
		}
	}
	return Choice{
		Upstream:  &chosen.Upstream,
		FetchFrom: f.fetchFrom(now, r, chosen),
		Backlog:   f.backlog(now, chosen, r.urgencyLevel()),
		Unread:    cost.unread(chosen),
		HoldsPart: cost.holds(chosen, r.lastShared()),
	}
}

// candidates returns the upstreams considered for a prompt: the first two by rendezvous hashing
// overall, in this box's region and in its domain; an upstream that is cold or states a limit and
// accepts one more request; and those in the list known to hold the last shared part. There is at
// least one; duplicates are possible.
func (f *Fleet) candidates(now time.Duration, r Request, list []*member, ranked ranking) []*member {
	out := ranked.list()
	if m := f.leastSentLimited(now, list); m != nil {
		out = append(out, m)
	}
	for _, x := range f.parts.holders[PartKey(r.lastShared().ID)] {
		if slices.Contains(list, x.member) {
			out = append(out, x.member)
		}
	}
	return out
}
