package balance

// This file defines what it costs to place a prompt at an upstream, in prompt tokens:
// those to be read there before, and those that the upstream lacks of it. The invariant: of
// two upstreams with the same work before them, the one that keeps more of the prompt
// costs less.

import "time"

// promptCost is a request with what is known of its shared parts.
type promptCost struct {
	fleet   *Fleet
	now     time.Duration
	request Request
	shared  []Part
	kept    []bool   // by shared part: an upstream in reach keeps it
	homes   homePair // they are taken to keep what none is known to
}

// promptCostOf gathers what is known.
func (f *Fleet) promptCostOf(now time.Duration, r Request, h homePair) promptCost {
	p := promptCost{fleet: f, now: now, request: r, shared: r.shared(), homes: h}
	p.kept = make([]bool, len(p.shared))
	for i, part := range p.shared {
		p.kept[i] = p.guessed(part) || f.keeperOf(now, r, part, nil) != nil
	}
	return p
}

// guessed reports whether a part is taken to be kept at home: one that is too small to be
// told of, or one that no upstream is known to keep while this box has not heard of all.
func (p *promptCost) guessed(part Part) bool {
	if p.homes.first == nil {
		return false
	}
	return !part.told() || !p.fleet.keptWithin(p.request, part) && !p.fleet.sure(p.now)
}

// holds reports whether an upstream keeps a shared part, as far as is known or guessed.
func (p *promptCost) holds(m *member, part Part) bool {
	if p.guessed(part) {
		return p.homes.has(m)
	}
	return p.fleet.kept.holds(p.now, PartKey(part.ID), m)
}

// at is the cost at an upstream, in tokens: what goes before it, the way there, and the last of
// the shared parts: once where no upstream keeps it, since it has to be read somewhere, and
// AgainWeight times where it would be read or moved once more. Counting those before it as well
// drew the prompts that share them to few upstreams and made them late.
func (p *promptCost) at(m *member) int {
	cost := p.fleet.backlog(p.now, m, p.request.level())
	last := p.request.lastShared()
	kept := p.kept[len(p.kept)-1]
	if kept || m != p.homes.near {
		cost += p.fleet.distance(m.Domain, p.request)
	}
	switch {
	case p.holds(m, last):
		return cost
	case kept:
		return cost + int(p.fleet.cfg.Tuning.AgainWeight*float64(last.Tokens))
	}
	return cost + last.Tokens // it has to be read somewhere, and at the near home it is of use to most
}

// unread is how many tokens an upstream has to read of the prompt: the request's own
// part, and what it lacks and cannot fetch.
func (p *promptCost) unread(m *member) int {
	if len(p.request.Parts) < 2 {
		return p.request.Tokens
	}
	tokens := p.request.Parts[len(p.request.Parts)-1].Tokens
	lacks := false // a part is of use only with all those before it
	for i, part := range p.shared {
		lacks = lacks || !p.holds(m, part)
		fetched := p.request.Moves && p.kept[i] && !p.fleet.cfg.Off[Fetching]
		if lacks && !fetched {
			tokens += part.Tokens
		}
	}
	return tokens
}

// unread is how many tokens an upstream has to read for a request that is placed there.
func (f *Fleet) unread(now time.Duration, m *member, r Request) int {
	cost := f.promptCostOf(now, r, f.home(now, r))
	return cost.unread(m)
}
