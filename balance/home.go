package balance

// This file defines where a prompt is at home, by rendezvous: each upstream has a
// weight for what the prompt shares with others, and the greatest one is its home. The
// invariant: two boxes with the same list choose the same home, and an upstream that
// goes moves only the prompts that were at home there.

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// home is where a prompt's shared part is kept as long as nothing else is known: the
// first choice by rendezvous among the upstreams of its lane that take new requests.
func (f *Fleet) home(now time.Duration, r Request) *member {
	key := sharedKey(r)
	var best *member
	var bestWeight uint64
	tight := f.tight(r)
	for _, m := range f.byService[r.Service] {
		if m.closed() || !f.inLane(now, m, tight) {
			continue
		}
		if w := weight(m.ID, key); best == nil || w > bestWeight {
			best, bestWeight = m, w
		}
	}
	return best
}

// sharedKey identifies what a request shares with others, its last shared part; 0
// where it shares nothing.
func sharedKey(r Request) uint64 { return r.lastShared().ID }

// weight is the rendezvous weight of an upstream for a key.
func weight(id string, key uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(id)
	return d.Sum64()
}
