package balance

// This file defines where a prompt is at home, by rendezvous: each upstream has a
// weight for what the prompt shares with others, and the greatest one is its home. The
// invariant: two boxes with the same list choose the same home, and an upstream that
// goes moves only the prompts that were at home there.

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// homePair is where what a prompt shares is taken to be kept as long as nothing else is known: the
// first choice by rendezvous, and the first of those that are near to this box where the way to
// the former costs more than reading the part does: all boxes that are as near send it there, so
// that it is read once more and then lies nearby.
type homePair struct{ first, near *member }

// has reports whether an upstream is one of them.
func (h homePair) has(m *member) bool { return m != nil && (m == h.first || m == h.near) }

// home is where a prompt's shared part is kept as long as nothing else is known, among the
// upstreams of its lane that take new requests and lie within its homes.
func (f *Fleet) home(now time.Duration, r Request) homePair {
	tight, key := f.tight(r), sharedKey(r)
	var c ranking
	for _, m := range f.byService[r.Service] {
		if !m.closed() && f.mayRunIn(m.Domain, r) && f.inLane(now, m, tight) {
			f.addTo(&c, m, key)
		}
	}
	return f.homesOf(r, c)
}

// homesOf are the homes in a ranking.
func (f *Fleet) homesOf(r Request, c ranking) homePair {
	h := homePair{first: c.all.first, near: c.all.first}
	for _, nearer := range []*member{c.region.first, c.domain.first} {
		if nearer != nil && f.distance(h.near.Domain, r) > f.distance(nearer.Domain, r)+r.lastShared().Tokens {
			h.near = nearer
		}
	}
	return h
}

// ranking is the first two choices by rendezvous, over all and among those that are near.
type ranking struct{ all, region, domain firstTwo }

// rank finds the first two choices of a list for a key.
func (f *Fleet) rank(list []*member, key uint64) ranking {
	var c ranking
	for _, m := range list {
		f.addTo(&c, m, key)
	}
	return c
}

// addTo takes an upstream into a ranking. How far it lies is looked up only where it may come
// in among the near: of many upstreams, few do.
func (f *Fleet) addTo(c *ranking, m *member, key uint64) {
	w := m.weightFor(key)
	c.all.add(m, w)
	if f.cfg.Off[Distance] || w < min(c.domain.secondWeight, c.region.secondWeight) {
		return
	}
	switch f.apart(f.cfg.Domain, m.Domain) {
	case sameDomain:
		c.domain.add(m, w)
		c.region.add(m, w)
	case otherDomain:
		c.region.add(m, w)
	}
}

// list names the upstreams of a ranking, the first over all first.
func (c *ranking) list() []*member {
	var out []*member
	for _, two := range []firstTwo{c.all, c.region, c.domain} {
		for _, m := range []*member{two.first, two.second} {
			if m != nil {
				out = append(out, m)
			}
		}
	}
	return out
}

// firstTwo is the first two choices by rendezvous; nil where there are fewer.
type firstTwo struct {
	first, second             *member
	firstWeight, secondWeight uint64
}

// add takes an upstream in, by its weight.
func (t *firstTwo) add(m *member, w uint64) {
	switch {
	case t.first == nil || w > t.firstWeight:
		t.second, t.secondWeight = t.first, t.firstWeight
		t.first, t.firstWeight = m, w
	case t.second == nil || w > t.secondWeight:
		t.second, t.secondWeight = m, w
	}
}

// sharedKey identifies what a request shares with others, its last shared part; 0
// where it shares nothing.
func sharedKey(r Request) uint64 { return r.lastShared().ID }

// weightFor is the upstream's weight for a key. One decision ranks the same upstreams several times, and hashing thousands
// of ids is most of what it costs.
func (m *member) weightFor(key uint64) uint64 {
	if m.weighed.key != key {
		m.weighed = weighed{key, weight(m.ID, key)}
	}
	return m.weighed.weight
}

// weighed is the weight that was worked out last, and for which key; the zero value is right for no key but 0, which
// stands for prompts that share nothing.
type weighed struct{ key, weight uint64 }

// weight is the rendezvous weight of an upstream for a key.
func weight(id string, key uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(id)
	return d.Sum64()
}
