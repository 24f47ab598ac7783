package balance

// This file defines the index of prompt parts that upstreams hold in their prefix caches. An
// upstream is taken to hold a part if this box, or a box that reported it, sent the part there.
// partreport.go defines the reports. Invariant: an upstream that is removed holds nothing, and the size
// of the index is bounded.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxParts bounds the number of indexed parts. With eight upstreams of 24 bytes each and the
	// overhead of the map this takes about 4 MB.
	maxParts = 1 << 14
	// maxHoldersPerPart bounds the number of upstreams recorded for a part.
	maxHoldersPerPart = 8
	// sweepInterval is the minimum time between two scans for expired parts.
	sweepInterval = 5 * time.Second
	// cacheLifetime is how long a part is assumed to stay cached after it was last sent; engines
	// evict the least recently used parts.
	cacheLifetime = 120 * time.Second
)

// partHolder is an upstream that was sent a part.
type partHolder struct {
	member     *member
	sentAt     time.Duration // when it was last sent the part, as far as known
	reportedAt time.Duration // when that was last reported, by any box
}

// recent reports whether the part was sent so recently that the upstream still holds it.
func (x partHolder) recent(now time.Duration) bool { return now-x.sentAt < cacheLifetime }

// partIndex maps prompt parts to the upstreams that hold them.
type partIndex struct {
	holders map[uint32][]partHolder // by PartKey; no list is empty
	pending []PartReport            // not yet reported to other boxes
	sweptAt time.Duration           // time of the last scan for expired parts
}

// find returns the position of an upstream among the holders of a part, or -1.
func (k *partIndex) find(part uint32, m *member) int {
	return slices.IndexFunc(k.holders[part], func(x partHolder) bool { return x.member == m })
}

// holds reports whether an upstream was sent a part less than cacheLifetime ago.
func (k *partIndex) holds(now time.Duration, part uint32, m *member) bool {
	i := k.find(part, m)
	return i >= 0 && k.holders[part][i].recent(now)
}

// note records that an upstream was sent a part. It returns the entry, which is valid until the
// next call, or nil if the index is full.
func (k *partIndex) note(now time.Duration, part uint32, m *member) *partHolder {
	list := k.holders[part]
	if i := k.find(part, m); i >= 0 {
		list[i].sentAt = now
		return &list[i]
	}
	if list == nil && !k.hasRoom(now) {
		return nil
	}
	if len(list) == maxHoldersPerPart {
		list = withoutOldest(part, list)
	}
	list = append(list, partHolder{m, now, longAgo})
	k.holders[part] = list
	m.addPart(part)
	return &list[len(list)-1]
}

// hasRoom reports whether the index has room for another part. It removes expired parts to make
// room, but at most once per sweepInterval: scanning the whole index for each new part would cost
// a box more than all its other work.
func (k *partIndex) hasRoom(now time.Duration) bool {
	if len(k.holders) >= maxParts && now-k.sweptAt >= sweepInterval {
		k.sweptAt = now
		k.forgetOld(now)
	}
	return len(k.holders) < maxParts
}

// withoutOldest removes the holder that was sent the part the longest ago.
func withoutOldest(part uint32, list []partHolder) []partHolder {
	oldest := 0
	for i := range list {
		if list[i].sentAt < list[oldest].sentAt {
			oldest = i
		}
	}
	delete(list[oldest].member.cachedParts, part)
	return slices.Delete(list, oldest, oldest+1)
}

// addPart records that an upstream is among the holders of a part.
func (m *member) addPart(part uint32) {
	if m.cachedParts == nil {
		m.cachedParts = make(map[uint32]struct{})
	}
	m.cachedParts[part] = struct{}{}
}

// forgetOld removes expired holders, and the parts without any holder left.
func (k *partIndex) forgetOld(now time.Duration) {
	for part, list := range k.holders {
		k.set(part, slices.DeleteFunc(list, func(x partHolder) bool {
			if x.recent(now) {
				return false
			}
			delete(x.member.cachedParts, part)
			return true
		}))
	}
}

// forget removes an upstream from all parts that it holds. The cost depends only on the number of
// those parts, because a thousand upstreams may be removed at once with their domain.
func (k *partIndex) forget(m *member) {
	for part := range m.cachedParts {
		k.drop(part, m)
	}
}

// drop removes an upstream from the holders of a part.
func (k *partIndex) drop(part uint32, m *member) {
	if i := k.find(part, m); i >= 0 {
		delete(m.cachedParts, part)
		k.set(part, slices.Delete(k.holders[part], i, i+1))
	}
}

// set replaces the holders of a part, and removes the part if there are none.
func (k *partIndex) set(part uint32, list []partHolder) {
	if len(list) == 0 {
		delete(k.holders, part)
		return
	}
	k.holders[part] = list
}

// holderOf returns an upstream that holds a part, in either lane, is reachable and not in failure
// backoff, and lies in a region the request may run in. It prefers the one nearest to the
// upstream that fetches the part (nil: nearest to this box), then the least busy. It returns nil
// if none is known.
func (f *Fleet) holderOf(now time.Duration, r Request, part Part, to *member) *member {
	domain := f.cfg.Domain
	if to != nil {
		domain = to.Domain
	}
	var best *member
	for _, x := range f.parts.holders[PartKey(part.ID)] {
		m := x.member
		if m == to || !mayFetch(to, m) || f.isLost(m) || m.health.backingOff(now) || !x.recent(now) || !f.mayRunIn(m.Domain, r) {
			continue
		}
		if best == nil || f.fetchOrder(domain, m, best) < 0 {
			best = m
		}
	}
	return best
}

// fetchOrder compares two upstreams as sources of a fetch into a domain.
func (f *Fleet) fetchOrder(domain string, a, b *member) int {
	byDistance := 0
	if !f.cfg.Off[Distance] {
		byDistance = cmp.Compare(f.proximityOf(domain, a.Domain), f.proximityOf(domain, b.Domain))
	}
	return cmp.Or(byDistance, cmp.Compare(a.open(), b.open()))
}

// heldWithin reports whether an upstream in a region the request may run in was sent a part.
func (f *Fleet) heldWithin(r Request, part Part) bool {
	return slices.ContainsFunc(f.parts.holders[PartKey(part.ID)], func(x partHolder) bool { return f.mayRunIn(x.member.Domain, r) })
}
