package balance

// This file defines the reports between boxes about the prompt parts that they sent to upstreams,
// both sent and received. The invariant: a part that continues to be sent is reported again after
// rereportInterval, by some box, so that a box which has run for that long has a report of it.

import "time"

const (
	// minPartTokens is the least length of a part that is reported: shorter ones are prefilled in
	// one step of an engine. For shorter parts a box can only guess which upstream has them.
	minPartTokens = 60
	// rereportInterval is how long after a report a part is reported again, for boxes that have
	// started since.
	rereportInterval = 60 * time.Second
	// maxReports bounds the reports that are queued.
	maxReports = 1 << 11
)

// PartReport says that a part of a prompt was sent to an upstream.
type PartReport struct {
	Part     uint32 // PartKey of the part's id, or endedMark
	Upstream uint32 // incarnation key
}

// endedMark in place of a part says that this incarnation of the upstream has ended and has
// nothing cached any more. Without this report, each box finds out by a request of its own, which
// is lost if its route allows a single run only.
const endedMark = 0

// PartKey returns the key that identifies a part in reports; it is never endedMark.
func PartKey(id uint64) uint32 {
	const half = 32
	return max(uint32(id>>half)^uint32(id), endedMark+1)
}

// isReported reports whether the part is long enough to be reported between boxes.
func (p Part) isReported() bool { return p.Tokens >= minPartTokens }

// noteSent records the parts of a request that this box sends to an upstream, and queues reports.
func (f *Fleet) noteSent(now time.Duration, m *member, r Request) {
	if f.cfg.Off[Parts] {
		return
	}
	for _, p := range r.shared() {
		if !p.isReported() {
			continue
		}
		part := PartKey(p.ID)
		x := f.parts.note(now, part, m)
		if x == nil || now-x.reportedAt < rereportInterval || len(f.parts.pending) >= maxReports {
			continue
		}
		x.reportedAt = now
		f.parts.pending = append(f.parts.pending, PartReport{part, m.key})
	}
}

// noteUnsent records that an upstream did not read a request that it was sent.
func (f *Fleet) noteUnsent(m *member, r Request) {
	for _, p := range r.shared() {
		f.parts.drop(PartKey(p.ID), m)
	}
}

// noteReplaced records that another incarnation has the address of an upstream, and reports that
// to the other boxes.
func (f *Fleet) noteReplaced(m *member) {
	if m.replaced || !f.isListed(m) {
		return
	}
	f.markEnded(m)
	f.reportFirst(PartReport{endedMark, m.key})
}

// reportFirst queues a report ahead of all others, dropping the last one if the queue is full.
// Otherwise other boxes would go on sending requests to an upstream that one box knows to have
// ended.
func (f *Fleet) reportFirst(report PartReport) {
	rest := f.parts.pending[:min(len(f.parts.pending), maxReports-1)]
	f.parts.pending = append([]PartReport{report}, rest...)
}

// markEnded stops sending requests to an upstream that has ended. It stays listed until its entry
// is removed or another upstream gets its address, so that a late entry does not bring it back.
func (f *Fleet) markEnded(m *member) {
	m.Leaving, m.replaced = true, true
	f.remember(m.Upstream)
	f.rememberReplaced(m)
	f.parts.forget(m)
}

// reassignAddress gives the address of an upstream that has ended to the latest upstream that
// waits for it and is not leaving. Only the box that found out knows which of them really has it.
func (f *Fleet) reassignAddress(now time.Duration, m *member) {
	next := f.nextWaiter(m.Address)
	if f.byAddress[m.Address] != m || next == nil || f.isLeaving(*next) {
		return
	}
	u := *next
	f.awaitAddress(m.Upstream)
	f.Put(now, u)
}

// TakePartReports returns the reports queued since the last call.
func (f *Fleet) TakePartReports() []PartReport {
	reports := f.parts.pending
	f.parts.pending = nil
	return reports
}

// NotePartReports applies reports from other boxes.
func (f *Fleet) NotePartReports(now time.Duration, list []PartReport) {
	for _, report := range list {
		m := f.byKey[report.Upstream]
		if m == nil {
			continue // not listed yet, or no longer
		}
		if report.Part == endedMark {
			f.markEnded(m)
			f.reassignAddress(now, m)
			continue
		}
		if f.cfg.Off[Parts] || !f.trustsCacheNews(now, m) {
			continue
		}
		if x := f.parts.note(now, report.Part, m); x != nil {
			x.reportedAt = now
		}
	}
}

// knowsAllParts reports whether this box knows all parts that upstreams were sent: it has run
// from the beginning, or long enough for everything to be reported again.
func (f *Fleet) knowsAllParts(now time.Duration) bool {
	return !f.cfg.Off[Parts] && f.knowsAllSent(now)
}

// knowsAllSent reports whether nothing can have been sent that this box does not know of.
func (f *Fleet) knowsAllSent(now time.Duration) bool {
	return f.cfg.FirstStart || len(f.byID) > 0 && now-f.firstListedAt > rereportInterval
}
