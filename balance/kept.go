package balance

// This file defines what a box knows of the parts of prompts that upstreams keep: a part
// was sent to an upstream, by this box or by one that told it. How it is told stands in
// tell.go. The invariant: an upstream that is forgotten keeps nothing, and what is known
// takes a bounded amount of memory.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// keptParts bounds the parts that are known: with eight upstreams of 24 bytes each, and
	// the map's own room, some 4 MB.
	keptParts = 1 << 14
	// keepersEach bounds the upstreams that are known to keep a part.
	keepersEach = 8
	// sweepEvery is the least time between two looks for parts that are old.
	sweepEvery = 5 * time.Second
	// keptFor is how long a part is thought to be kept after it was last heard of;
	// engines give way what was unused the longest.
	keptFor = 120 * time.Second
)

// keeper is an upstream that was sent a part.
type keeper struct {
	member *member
	heard  time.Duration // when it was last sent the part, as far as is known
	told   time.Duration // when that was last told, by whomever
}

// recent reports whether the upstream was sent the part so lately that it still keeps it.
func (x keeper) recent(now time.Duration) bool { return now-x.heard < keptFor }

// kept is what is known of parts.
type kept struct {
	keepers map[uint32][]keeper // by PartKey; no list is empty
	news    []PartReport        // not told yet
	swept   time.Duration       // when old ones last made room
}

// find returns where the upstream stands among the part's keepers, or -1.
func (k *kept) find(part uint32, m *member) int {
	return slices.IndexFunc(k.keepers[part], func(x keeper) bool { return x.member == m })
}

// holds reports whether an upstream was sent a part not too long ago.
func (k *kept) holds(now time.Duration, part uint32, m *member) bool {
	i := k.find(part, m)
	return i >= 0 && k.keepers[part][i].recent(now)
}

// note takes in that an upstream was sent a part. It returns the entry, which is valid
// until the next call; nil where too many parts are known.
func (k *kept) note(now time.Duration, part uint32, m *member) *keeper {
	list := k.keepers[part]
	if i := k.find(part, m); i >= 0 {
		list[i].heard = now
		return &list[i]
	}
	if list == nil && !k.hasRoom(now) {
		return nil
	}
	if len(list) == keepersEach {
		list = withoutOldest(part, list)
	}
	list = append(list, keeper{m, now, longAgo})
	k.keepers[part] = list
	m.keep(part)
	return &list[len(list)-1]
}

// hasRoom reports whether one more part may be known; old ones make room for it, once in
// a while: to look through all of them for each new part would cost a box more than all else.
func (k *kept) hasRoom(now time.Duration) bool {
	if len(k.keepers) >= keptParts && now-k.swept >= sweepEvery {
		k.swept = now
		k.forgetOld(now)
	}
	return len(k.keepers) < keptParts
}

// withoutOldest takes the keeper off the list that was sent the part the longest ago.
func withoutOldest(part uint32, list []keeper) []keeper {
	oldest := 0
	for i := range list {
		if list[i].heard < list[oldest].heard {
			oldest = i
		}
	}
	delete(list[oldest].member.parts, part)
	return slices.Delete(list, oldest, oldest+1)
}

// keep notes that an upstream stands among the keepers of a part.
func (m *member) keep(part uint32) {
	if m.parts == nil {
		m.parts = make(map[uint32]struct{})
	}
	m.parts[part] = struct{}{}
}

// forgetOld drops the parts that nobody was sent for a while.
func (k *kept) forgetOld(now time.Duration) {
	for part, list := range k.keepers {
		k.set(part, slices.DeleteFunc(list, func(x keeper) bool {
			if x.recent(now) {
				return false
			}
			delete(x.member.parts, part)
			return true
		}))
	}
}

// forget drops an upstream that is gone. It costs as much as it keeps: where a domain goes, a thousand go at once.
func (k *kept) forget(m *member) {
	for part := range m.parts {
		k.drop(part, m)
	}
}

// drop notes that an upstream does not keep a part after all.
func (k *kept) drop(part uint32, m *member) {
	if i := k.find(part, m); i >= 0 {
		delete(m.parts, part)
		k.set(part, slices.Delete(k.keepers[part], i, i+1))
	}
}

// set puts a part's keepers in place of those before; a part that nobody keeps is not
// known any more.
func (k *kept) set(part uint32, list []keeper) {
	if len(list) == 0 {
		delete(k.keepers, part)
		return
	}
	k.keepers[part] = list
}

// keeperOf is the upstream in reach and within the request's homes that keeps a part, whichever
// lane it is in: of those the nearest to the one that asks for it (nil: to this box), and of
// equally near ones the least busy; nil where none is known.
func (f *Fleet) keeperOf(now time.Duration, r Request, part Part, to *member) *member {
	domain := f.cfg.Domain
	if to != nil {
		domain = to.Domain
	}
	var best *member
	for _, x := range f.kept.keepers[PartKey(part.ID)] {
		m := x.member
		if m == to || m.out || m.health.rests(now) || !x.recent(now) || !f.mayRunIn(m.Domain, r) {
			continue
		}
		if best == nil || f.fetchOrder(domain, m, best) < 0 {
			best = m
		}
	}
	return best
}

// fetchOrder compares two upstreams that one in the domain may fetch from.
func (f *Fleet) fetchOrder(domain string, a, b *member) int {
	byDistance := 0
	if !f.cfg.Off[Distance] {
		byDistance = cmp.Compare(f.apart(domain, a.Domain), f.apart(domain, b.Domain))
	}
	return cmp.Or(byDistance, cmp.Compare(a.open(), b.open()))
}

// keptWithin reports whether an upstream within the request's homes was sent a part.
func (f *Fleet) keptWithin(r Request, part Part) bool {
	return slices.ContainsFunc(f.kept.keepers[PartKey(part.ID)], func(x keeper) bool { return f.mayRunIn(x.member.Domain, r) })
}
