package balance

// This file accounts for the memory that requests take at upstreams and limits placement by it.
// It handles bursts of the longest prompts: an engine whose requests outgrow its memory preempts
// some of them, or crashes and loses all of them.
//
// The account contains what an engine cannot evict: for each request its whole prompt, even if
// running requests share a part of it, and the expected answer. Cached parts beyond that can be
// evicted. Invariant: a box places a request only if its own requests and those reported by
// others, together, leave the reserve of the memory free. All boxes together thus exceed the
// memory by no more than what the others place there before reporting it, less the reserve. A box
// without reports from the others keeps to its share of the memory.

import (
	"math"
	"slices"
	"time"
)

const (
	// memoryReserve is the share of an upstream's memory that is kept free, for small requests
	// that boxes place at the same moment and for answers longer than expected.
	memoryReserve = 0.1
	// answerFactor multiplies the answer length that the caller expects: estimates are right in
	// the median, and half as much again is the usual error.
	answerFactor = 2
	// defaultAnswerTokens is counted for an answer without an expected length.
	defaultAnswerTokens = 512
	// minMemoryWait and maxMemoryWait bound the retry delay given to a caller for whose request
	// no upstream has memory.
	minMemoryWait, maxMemoryWait = 300 * time.Millisecond, 3 * time.Second
)

// SetMemory sets the number of tokens that the memory of each upstream of a service holds; 0 if
// unknown.
func (f *Fleet) SetMemory(service string, tokens int) { f.serviceOf(service).memory = tokens }

// SetBoxes sets the number of boxes, and whether this box knows the loads of the others.
func (f *Fleet) SetBoxes(boxes int, informed bool) {
	f.memoryShare = 1
	if !informed {
		f.memoryShare = 1 / float64(max(boxes, 1))
	}
}

// memoryOf returns the memory of an upstream in tokens; 0 if it is unknown or not enforced.
func (f *Fleet) memoryOf(service string) int {
	if f.cfg.Off[Memory] {
		return 0
	}
	return f.serviceOf(service).memory
}

// needs returns the number of memory tokens to count for a request. A prompt part that several
// requests use counts for each of them.
func (r Request) needs() int {
	switch {
	case r.Tokens == 0:
		return 0
	case r.ExpectedTokens == 0:
		return r.Tokens + defaultAnswerTokens
	}
	return r.Tokens + answerFactor*r.ExpectedTokens
}

// held returns the number of memory tokens counted at an upstream, over all boxes.
func (m *member) held() int {
	if !m.active {
		return 0
	}
	sum := 0
	for i := range m.work {
		sum += m.work[i].MemoryTokens + m.remoteWork[i].MemoryTokens
	}
	return sum
}

// ownHeldTokens returns the number of memory tokens counted for this box's requests.
func (m *member) ownHeldTokens() int {
	if !m.active {
		return 0
	}
	sum := 0
	for i := range m.work {
		sum += m.work[i].MemoryTokens
	}
	return sum
}

// memoryBound decides whether an upstream of a service has memory for a request.
type memoryBound struct {
	bound    bool    // false if the memory or the request's size is unknown, so that nothing is limited
	tooLarge bool    // no upstream can hold the request
	needs    int     // tokens counted for the request
	limit    int     // tokens that may be held once the request is placed
	share    float64 // share of limit that this box may fill
}

// memoryBoundOf computes the bound for a request once; computing it for each of hundreds of
// upstreams would cost more than the rest of the placement.
func (f *Fleet) memoryBoundOf(r Request) memoryBound {
	memory := f.memoryOf(r.Service)
	if memory == 0 || r.Tokens == 0 {
		return memoryBound{}
	}
	return memoryBound{bound: true, tooLarge: f.TooLarge(r), needs: r.needs(), limit: memoryLimit(memory, r), share: f.memoryShare}
}

// fits reports whether an upstream has memory for the request. If nothing else is held there,
// every request fits that is not too large for all upstreams.
func (b memoryBound) fits(m *member) bool {
	if !b.bound {
		return true
	}
	held := m.held()
	switch {
	case b.tooLarge:
		return false
	case held == 0:
		return true
	case held+b.needs > b.limit:
		return false
	}
	own := m.ownHeldTokens()
	return own == 0 || float64(own+b.needs) <= b.share*float64(b.limit)
}

// forRetry returns the bound for a request that is sent again. It keeps no room for another
// request of the same size, since refusing the retry would abort an answer that can continue.
func (b memoryBound) forRetry() memoryBound {
	b.limit += b.needs
	return b
}

// fitting returns the upstreams of a list that have memory for the request.
func (b memoryBound) fitting(list []*member) []*member {
	if !b.bound {
		return list
	}
	return slices.DeleteFunc(list, func(m *member) bool { return !b.fits(m) })
}

// memoryLimit returns how much of a memory may be held once a request is placed. It leaves the
// reserve and room for another request of the same size, which another box may be placing at the
// same moment.
func memoryLimit(memory int, r Request) int {
	return memory - r.needs() - int(memoryReserve*float64(memory))
}

// TooLarge reports whether a request's prompt exceeds the whole memory of an upstream. The length
// of the answer is an estimate and therefore never makes a request too large.
func (f *Fleet) TooLarge(r Request) bool {
	memory := f.memoryOf(r.Service)
	return memory > 0 && r.Tokens > memory
}

// MemoryLeft returns the estimated time until an upstream that accepts requests has memory for
// the request. It returns 0 if one has memory now, if none accepts requests, or if memory does
// not limit the request.
func (f *Fleet) MemoryLeft(now time.Duration, r Request) time.Duration {
	bound := f.memoryBoundOf(r)
	if !bound.bound || bound.tooLarge {
		return 0
	}
	mayLeaveLane := f.tight(r)
	least := time.Duration(math.MaxInt64)
	runTime := f.serviceOf(r.Service).holding.mean(now)
	for _, m := range f.byService[r.Service] {
		switch {
		case m.closed() || f.isLost(m) || !mayLeaveLane && !f.inLane(now, m, false):
			continue
		case bound.fits(m):
			return 0
		}
		least = min(least, bound.waitFor(m, runTime))
	}
	if least == math.MaxInt64 {
		return 0
	}
	return min(max(least, minMemoryWait), maxMemoryWait)
}

// waitFor returns the estimated time until an upstream has memory for the request, given how long
// requests run there. They end one after the other.
func (b memoryBound) waitFor(m *member, runTime time.Duration) time.Duration {
	held := m.held()
	excess := min(max(held+b.needs-b.limit, 0), held)
	return fraction(runTime, float64(excess)/float64(max(held, 1)))
}

// NoteEventCount records the number of events of the answer so far. An answer that outgrows the memory
// counted for it is counted with half as much again as its present length, so that updates are
// rare.
func (t *Ticket) NoteEventCount(events int) {
	perToken := t.fleet.eventsPerToken(t.request.Service)
	if t.closed || t.held == 0 || perToken == 0 {
		return
	}
	answerTokens := int(float64(events) / perToken)
	if t.request.Tokens+answerTokens <= t.held {
		return
	}
	held := t.request.Tokens + answerTokens + answerTokens/2
	t.count(Load{MemoryTokens: held - t.held})
	t.held = held
}

// eventsPerToken returns the number of answer events per expected token, or 0 if unknown.
// Callers' estimates are right in the median, so its inverse is about the number of tokens per
// event.
func (f *Fleet) eventsPerToken(service string) float64 {
	events := f.serviceOf(service).answers.events
	if events.weight == 0 {
		return 0
	}
	return events.value()
}

// Reserve counts the slot and the memory that a copy of a running request takes at an upstream,
// until the copy is used or given up.
func (f *Fleet) Reserve(id string, r Request) *Ticket {
	m := f.byID[id]
	if m == nil {
		return &Ticket{closed: true}
	}
	t := &Ticket{fleet: f, member: m, request: r, held: r.needs()}
	t.count(Load{Requests: 1, MemoryTokens: t.held})
	return t
}
