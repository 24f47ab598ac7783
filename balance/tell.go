package balance

// This file defines what boxes tell each other of the parts that they sent to upstreams:
// what this one has to tell, and what it takes in. The invariant: a part that goes on
// being sent is told again after a while, by one box or another, so that a box which has
// run for so long has heard of it.

import "time"

const (
	// keptFrom is from how many tokens on a part is worth knowing of: fewer are read in a step
	// of an engine. Of smaller parts a box can but guess where they were read.
	keptFrom = 60
	// retellAfter is how long after it was told that a part is told again, so that
	// boxes which have started since hear of it.
	retellAfter = 60 * time.Second
	// maxNews bounds what waits to be told.
	maxNews = 1 << 11
)

// PartReport says that an upstream was sent a part of a prompt.
type PartReport struct {
	Part     uint32 // PartKey of its id, or endedMark
	Upstream uint32 // key of its life
}

// endedMark stands in place of a part, and says that this start of the upstream has ended: it
// keeps nothing any more. Without that being told, each box finds out by a request of its own,
// which for a route that allows one run only is then lost.
const endedMark = 0

// PartKey identifies a part where boxes tell each other of it.
func PartKey(id uint64) uint32 {
	const half = 32
	return max(uint32(id>>half)^uint32(id), endedMark+1)
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
		x := f.parts.note(now, part, m)
		if x == nil || now-x.toldAt < retellAfter || len(f.parts.news) >= maxNews {
			continue
		}
		x.toldAt = now
		f.parts.news = append(f.parts.news, PartReport{part, m.key})
	}
}

// unsent notes that an upstream did not read a request it was sent.
func (f *Fleet) unsent(m *member, r Request) {
	for _, p := range r.shared() {
		f.parts.drop(PartKey(p.ID), m)
	}
}

// ended notes that another start of an upstream has its address, and tells the other boxes.
func (f *Fleet) ended(m *member) {
	if m.replaced || !f.isListed(m) {
		return
	}
	f.leaveEnded(m)
	f.tellFirst(PartReport{endedMark, m.key})
}

// tellFirst puts news before all that waits to be told, of which the last makes room: without
// that, all boxes would go on sending to what one knows to have ended.
func (f *Fleet) tellFirst(news PartReport) {
	rest := f.parts.news[:min(len(f.parts.news), maxNews-1)]
	f.parts.news = append([]PartReport{news}, rest...)
}

// leaveEnded sends nothing more to an upstream that has ended. It stays in the list until its
// entry goes or another one gets its address, so that a late entry does not bring it back.
func (f *Fleet) leaveEnded(m *member) {
	m.Leaving, m.replaced = true, true
	f.remember(m.Upstream)
	f.rememberReplaced(m)
	f.parts.forget(m)
}

// giveBack gives the address of an upstream that has ended to the latest of those that wait for
// it and have not left. Which of them has it only the box knows that found out.
func (f *Fleet) giveBack(now time.Duration, m *member) {
	next := f.nextWaiter(m.Address)
	if f.byAddress[m.Address] != m || next == nil || f.isLeaving(*next) {
		return
	}
	u := *next
	f.awaitAddress(m.Upstream)
	f.Put(now, u)
}

// KeptNews returns, once, what other boxes should hear of.
func (f *Fleet) KeptNews() []PartReport {
	news := f.parts.news
	f.parts.news = nil
	return news
}

// NoteKept takes in what other boxes told.
func (f *Fleet) NoteKept(now time.Duration, list []PartReport) {
	for _, told := range list {
		m := f.byKey[told.Upstream]
		if m == nil {
			continue // not listed yet, or not any more
		}
		if told.Part == endedMark {
			f.leaveEnded(m)
			f.giveBack(now, m)
			continue
		}
		if f.cfg.Off[Parts] || !f.trustsCacheNews(now, m) {
			continue
		}
		if x := f.parts.note(now, told.Part, m); x != nil {
			x.toldAt = now
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
	return f.cfg.FirstStart || len(f.byID) > 0 && now-f.firstListedAt > retellAfter
}
