package balance

// This file defines what the boxes know of the parts of prompts that upstreams keep: a
// part was sent to an upstream, by this box or by one that told it. The invariant: an
// upstream that is forgotten keeps nothing, and what is known takes a bounded amount of
// memory.

import (
	"slices"
	"time"
)

const (
	// keptFrom is from how many tokens on a part is worth knowing of: fewer are read
	// in the time that telling takes.
	keptFrom = 1000
	// keptParts bounds the parts that are known; at 40 bytes each, some 2 MB.
	keptParts = 1 << 14
	// keepersEach bounds the upstreams that are known to keep a part.
	keepersEach = 8
	// keptFor is how long a part is thought to be kept after it was last heard of;
	// engines give way what was unused the longest.
	keptFor = 120 * time.Second
	// retellAfter is how long after it was told that a part is told again, so that
	// boxes which have started since hear of it.
	retellAfter = 60 * time.Second
	// maxNews bounds what waits to be told.
	maxNews = 1 << 11
)

// Kept says that an upstream was sent a part of a prompt.
type Kept struct {
	Part     uint32 // PartKey of its id
	Upstream uint32 // Key of its id
}

// PartKey identifies a part where boxes tell each other of it.
func PartKey(id uint64) uint32 {
	const half = 32
	return uint32(id>>half) ^ uint32(id)
}

// keeper is an upstream that was sent a part.
type keeper struct {
	member *member
	heard  time.Duration // when it was last sent the part, as far as is known
	told   time.Duration // when that was last told, by whomever
}

// kept is what is known of parts.
type kept struct {
	keepers map[uint32][]keeper // by PartKey
	news    []Kept              // not told yet
}

// find returns where the upstream stands among the part's keepers, or -1.
func (k *kept) find(part uint32, m *member) int {
	return slices.IndexFunc(k.keepers[part], func(x keeper) bool { return x.member == m })
}

// holds reports whether an upstream was sent a part not too long ago.
func (k *kept) holds(now time.Duration, part uint32, m *member) bool {
	i := k.find(part, m)
	return i >= 0 && now-k.keepers[part][i].heard < keptFor
}

// note takes in that an upstream was sent a part. It returns the entry, which is valid
// until the next call; nil where too many parts are known.
func (k *kept) note(now time.Duration, part uint32, m *member) *keeper {
	list := k.keepers[part]
	if i := k.find(part, m); i >= 0 {
		list[i].heard = now
		return &list[i]
	}
	if list == nil && len(k.keepers) >= keptParts {
		k.forgetOld(now)
		if len(k.keepers) >= keptParts {
			return nil
		}
	}
	if len(list) == keepersEach {
		oldest := 0
		for i := range list {
			if list[i].heard < list[oldest].heard {
				oldest = i
			}
		}
		list = slices.Delete(list, oldest, oldest+1)
	}
	list = append(list, keeper{m, now, longAgo})
	k.keepers[part] = list
	return &list[len(list)-1]
}

// forgetOld drops the parts that nobody was sent for a while.
func (k *kept) forgetOld(now time.Duration) {
	for part, list := range k.keepers {
		list = slices.DeleteFunc(list, func(x keeper) bool { return now-x.heard >= keptFor })
		k.set(part, list)
	}
}

// forget drops an upstream that is gone.
func (k *kept) forget(m *member) {
	for part, list := range k.keepers {
		k.set(part, slices.DeleteFunc(list, func(x keeper) bool { return x.member == m }))
	}
}

// drop notes that an upstream does not keep a part after all.
func (k *kept) drop(part uint32, m *member) {
	if i := k.find(part, m); i >= 0 {
		k.set(part, slices.Delete(k.keepers[part], i, i+1))
	}
}

func (k *kept) set(part uint32, list []keeper) {
	if len(list) == 0 {
		delete(k.keepers, part)
		return
	}
	k.keepers[part] = list
}

// sent notes that this box sends an upstream a request, and what others should hear of.
func (f *Fleet) sent(now time.Duration, m *member, r Request) {
	for _, p := range r.shared() {
		if p.Tokens < keptFrom {
			continue
		}
		part := PartKey(p.ID)
		x := f.kept.note(now, part, m)
		if x == nil || now-x.told < retellAfter || len(f.kept.news) >= maxNews {
			continue
		}
		x.told = now
		f.kept.news = append(f.kept.news, Kept{part, m.key})
	}
}

// unsent notes that an upstream did not read a request it was sent.
func (f *Fleet) unsent(m *member, r Request) {
	for _, p := range r.shared() {
		f.kept.drop(PartKey(p.ID), m)
	}
}

// KeptNews returns, once, what other boxes should hear of.
func (f *Fleet) KeptNews() []Kept {
	news := f.kept.news
	f.kept.news = nil
	return news
}

// NoteKept takes in what other boxes told.
func (f *Fleet) NoteKept(now time.Duration, list []Kept) {
	for _, told := range list {
		m := f.byKey[told.Upstream]
		if m == nil {
			continue // not listed yet, or not any more
		}
		if x := f.kept.note(now, told.Part, m); x != nil {
			x.told = now
		}
	}
}

// tracked reports whether the last shared part is one that boxes tell each other of.
func (f *Fleet) tracked(r Request) bool {
	shared := r.shared()
	return len(shared) > 0 && shared[len(shared)-1].Tokens >= keptFrom
}

// sure reports whether this box has heard of all that upstreams were sent: it was there
// from the beginning, or for so long that all was told again.
func (f *Fleet) sure(now time.Duration) bool {
	return f.cfg.FirstStart || len(f.byID) > 0 && now-f.listed > retellAfter
}
