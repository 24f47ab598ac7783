package balance

// This file defines what boxes tell each other of the parts that they sent to upstreams:
// what this one has to tell, and what it takes in. The invariant: a part that goes on
// being sent is told again after a while, by one box or another, so that a box which has
// run for so long has heard of it.

import "time"

const (
	// keptFrom is from how many tokens on a part is worth knowing of: fewer are read
	// in the time that telling takes.
	keptFrom = 1000
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

// told reports whether boxes tell each other who keeps the part.
func (p Part) told() bool { return p.Tokens >= keptFrom }

// sent notes that this box sends an upstream a request, and what others should hear of.
func (f *Fleet) sent(now time.Duration, m *member, r Request) {
	if f.cfg.Off[Parts] {
		return
	}
	for _, p := range r.shared() {
		if !p.told() {
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
	if f.cfg.Off[Parts] {
		return
	}
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

// sure reports whether this box has heard of all that upstreams were sent: it was there
// from the beginning, or for so long that all was told again.
func (f *Fleet) sure(now time.Duration) bool {
	return !f.cfg.Off[Parts] && f.knowsAll(now)
}

// knowsAll reports whether nothing can have been sent that this box has not heard of.
func (f *Fleet) knowsAll(now time.Duration) bool {
	return f.cfg.FirstStart || len(f.byID) > 0 && now-f.listed > retellAfter
}
