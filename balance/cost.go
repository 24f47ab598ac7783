package balance

// This file defines the cost of placing a prompt at an upstream, in prompt tokens: the tokens
// that the upstream reads before it, and the tokens of the prompt that the upstream does not
// hold. Invariant: of two upstreams with the same work ahead, the one that holds more of the
// prompt costs less.

import "time"

// promptCost computes the cost of a request at each upstream.
type promptCost struct {
	fleet   *Fleet
	now     time.Duration
	request Request
	shared  []Part
	cached  []bool // by shared part: a reachable upstream holds it
	homes   homes  // assumed to hold the parts that no upstream is known to hold
}

// promptCostOf looks up which shared parts of a request are held by an upstream.
func (f *Fleet) promptCostOf(now time.Duration, r Request, h homes) promptCost {
	p := promptCost{fleet: f, now: now, request: r, shared: r.shared(), homes: h}
	p.cached = make([]bool, len(p.shared))
	for i, part := range p.shared {
		p.cached[i] = p.assumed(part) || f.holderOf(now, r, part, nil) != nil
	}
	return p
}

// assumed reports whether the homes are assumed to hold a part: either it is too small to be
// reported between boxes, or no upstream is known to hold it and this box may not have received
// all reports yet.
func (p *promptCost) assumed(part Part) bool {
	if p.homes.first == nil {
		return false
	}
	return !part.isReported() || !p.fleet.heldWithin(p.request, part) && !p.fleet.knowsAllParts(p.now)
}

// holds reports whether an upstream is known or assumed to hold a shared part.
func (p *promptCost) holds(m *member, part Part) bool {
	if p.assumed(part) {
		return p.homes.has(m)
	}
	return p.fleet.parts.holds(p.now, PartKey(part.ID), m)
}

// total returns the cost at an upstream in tokens: the backlog, the network cost and the last
// shared part. The part counts once if no upstream holds it, since it has to be read somewhere,
// and RereadWeight times if it would be read or copied again. Counting the earlier shared parts
// too drew the prompts that share them to a few upstreams and made them late.
func (p *promptCost) total(m *member) int {
	cost := p.fleet.backlog(p.now, m, p.request.urgencyLevel())
	last := p.request.lastShared()
	cached := p.cached[len(p.cached)-1]
	if cached || m != p.homes.near {
		cost += p.fleet.networkCost(m.Domain, p.request)
	}
	switch {
	case p.holds(m, last):
		return cost
	case cached:
		return cost + int(p.fleet.cfg.Tuning.RereadWeight*float64(last.Tokens))
	}
	return cost + last.Tokens // it has to be read somewhere, and most requests can use it at the near home
}

// unread returns the number of prompt tokens that an upstream has to read: the request's own
// part, and the shared parts that it neither holds nor can fetch.
func (p *promptCost) unread(m *member) int {
	if len(p.request.Parts) < 2 {
		return p.request.Tokens
	}
	tokens := p.request.Parts[len(p.request.Parts)-1].Tokens
	missing := false // a part is usable only together with all parts before it
	for i, part := range p.shared {
		missing = missing || !p.holds(m, part)
		if missing && !p.isFetchable(m, i) {
			tokens += part.Tokens
		}
	}
	return tokens
}

// isFetchable reports whether an upstream can fetch a shared part, by its index.
func (p *promptCost) isFetchable(m *member, i int) bool {
	if !p.request.CanTransfer || !p.cached[i] || p.fleet.cfg.Off[Fetching] {
		return false
	}
	one := len(m.service.software.listed) == 1
	return one || p.assumed(p.shared[i]) || p.fleet.holderOf(p.now, p.request, p.shared[i], m) != nil
}

// unread returns the number of tokens that an upstream has to read for a request placed there.
func (f *Fleet) unread(now time.Duration, m *member, r Request) int {
	cost := f.promptCostOf(now, r, f.home(now, r))
	return cost.unread(m)
}
