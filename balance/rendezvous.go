package balance

// This file assigns prompts to home upstreams by rendezvous hashing: each upstream has a weight
// for the last shared part of a prompt, and the upstream with the greatest weight is its home.
// Invariant: two boxes with the same list choose the same home, and removing an upstream moves
// only the prompts that had their home there.

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// homes are the upstreams assumed to hold a prompt's shared parts if nothing else is known. first
// is the first choice by rendezvous hashing over all upstreams. near is the first choice near
// this box if sending the request to the other one costs more than reading the part again; else
// it equals first. All boxes at the same location use the same near home, so that the part is
// read only once more.
type homes struct{ first, near *member }

// has reports whether an upstream is one of the homes.
func (h homes) has(m *member) bool { return m != nil && (m == h.first || m == h.near) }

// home returns the homes of a request, chosen from the upstreams of its lane that accept new
// requests and lie in a region it may run in.
func (f *Fleet) home(now time.Duration, r Request) homes {
	tight, key := f.tight(r), sharedKey(r)
	var c ranking
	for _, m := range f.byService[r.Service] {
		if !m.closed() && f.mayRunIn(m.Domain, r) && f.inLane(now, m, tight) {
			f.addToRanking(&c, m, key)
		}
	}
	return f.homesOf(r, c)
}

// homesOf returns the homes of a request for a given ranking.
func (f *Fleet) homesOf(r Request, c ranking) homes {
	h := homes{first: c.all.first, near: c.all.first}
	for _, nearer := range []*member{c.region.first, c.domain.first} {
		if nearer != nil && f.networkCost(h.near.Domain, r) > f.networkCost(nearer.Domain, r)+r.lastShared().Tokens {
			h.near = nearer
		}
	}
	return h
}

// ranking holds the first two choices by rendezvous hashing over all upstreams, over those of
// this box's region and over those of its domain.
type ranking struct{ all, region, domain topTwo }

// rank returns the ranking of a list for a key.
func (f *Fleet) rank(list []*member, key uint64) ranking {
	var c ranking
	for _, m := range list {
		f.addToRanking(&c, m, key)
	}
	return c
}

// addToRanking adds an upstream to a ranking. It computes the proximity only if the weight is
// large enough for the regional choices, which is the case for few upstreams.
func (f *Fleet) addToRanking(c *ranking, m *member, key uint64) {
	w := m.weightFor(key)
	c.all.add(m, w)
	if f.cfg.Off[Distance] || w < min(c.domain.secondWeight, c.region.secondWeight) {
		return
	}
	switch f.proximityOf(f.cfg.Domain, m.Domain) {
	case sameDomain:
		c.domain.add(m, w)
		c.region.add(m, w)
	case otherDomain:
		c.region.add(m, w)
	}
}

// list returns the upstreams of a ranking, starting with the overall first choice. It may contain
// duplicates.
func (c *ranking) list() []*member {
	var out []*member
	for _, two := range []topTwo{c.all, c.region, c.domain} {
		for _, m := range []*member{two.first, two.second} {
			if m != nil {
				out = append(out, m)
			}
		}
	}
	return out
}

// topTwo holds the first two choices by rendezvous hashing; a missing choice is nil.
type topTwo struct {
	first, second             *member
	firstWeight, secondWeight uint64
}

// add inserts an upstream according to its weight.
func (t *topTwo) add(m *member, w uint64) {
	switch {
	case t.first == nil || w > t.firstWeight:
		t.second, t.secondWeight = t.first, t.firstWeight
		t.first, t.firstWeight = m, w
	case t.second == nil || w > t.secondWeight:
		t.second, t.secondWeight = m, w
	}
}

// sharedKey returns the ID of the request's last shared part, which identifies what it shares
// with other requests. It returns 0 if the request shares nothing.
func sharedKey(r Request) uint64 { return r.lastShared().ID }

// weightFor returns the upstream's weight for a key. It caches the last result: one decision
// ranks the same upstreams several times, and hashing thousands of IDs is most of its cost.
func (m *member) weightFor(key uint64) uint64 {
	if m.lastWeight.key != key {
		m.lastWeight = keyWeight{key, weight(m.ID, key)}
	}
	return m.lastWeight.weight
}

// keyWeight is a computed weight and its key. The zero value is valid only for key 0, which
// stands for prompts that share nothing.
type keyWeight struct{ key, weight uint64 }

// weight returns the rendezvous weight of an upstream for a key.
func weight(id string, key uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(id)
	return d.Sum64()
}
