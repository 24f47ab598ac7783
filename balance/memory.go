package balance

// This file defines how much of an upstream's memory requests take, and where they fit. The
// load that it answers: a burst of the longest prompts. An engine whose requests outgrow its
// memory puts some of them back, or falls over with all of them.
//
// Counted is what cannot give way: of each request its whole prompt, though others that run
// may share a part of it, and the answer that it may get; what engines keep beside that gives
// way. The invariant: a box never places a request where what it knows of, its own requests and
// those that others told, would leave less than the spare room of the memory; so that all boxes
// together exceed the memory by no more than what the others place there before they have told
// it, less that spare room. A box that does not know of the others keeps to its part.

import (
	"math"
	"slices"
	"time"
)

const (
	// memorySpare is the part of an upstream's memory that is left free, for small requests that
	// boxes place at the same moment and for answers that are longer than thought.
	memorySpare = 0.1
	// answerSpread is how many times the tokens that its caller expects an answer is counted
	// with: guesses are right in the median, and half of that again is the usual error.
	answerSpread = 2
	// answerUnknown is the tokens of an answer of which nothing is expected.
	answerUnknown = 512
	// memoryWaitLeast and memoryWaitMost bound when a caller shall come back that found no memory.
	memoryWaitLeast, memoryWaitMost = 300 * time.Millisecond, 3 * time.Second
)

// SetMemory notes how many tokens the memory of each upstream of a service holds; 0: not known.
func (f *Fleet) SetMemory(service string, tokens int) { f.serviceOf(service).memory = tokens }

// SetBoxes notes how many boxes there are, and whether this one knows what the others have
// under way.
func (f *Fleet) SetBoxes(boxes int, informed bool) {
	f.part, f.boxes = 1, boxes
	if !informed {
		f.part = 1 / float64(max(boxes, 1))
	}
}

// memoryOf is how many tokens of memory an upstream has; 0 where that is not known, or
// does not matter.
func (f *Fleet) memoryOf(service string) int {
	if f.cfg.Off[Memory] {
		return 0
	}
	return f.serviceOf(service).memory
}

// needs is how many tokens of an upstream's memory a request may take: a part of a prompt that others
// use counts for each of them.
func (r Request) needs() int {
	switch {
	case r.Tokens == 0:
		return 0
	case r.Expected == 0:
		return r.Tokens + answerUnknown
	}
	return r.Tokens + answerSpread*r.Expected
}

// held is how many tokens an upstream's memory holds for all boxes' requests.
func (m *member) held() int {
	if !m.active {
		return 0
	}
	sum := 0
	for i := range m.work {
		sum += m.work[i].Held + m.others[i].Held
	}
	return sum
}

// ownHeld is the same for this box's requests.
func (m *member) ownHeld() int {
	if !m.active {
		return 0
	}
	sum := 0
	for i := range m.work {
		sum += m.work[i].Held
	}
	return sum
}

// memoryBound is what decides whether an upstream of a service has memory for a request.
type memoryBound struct {
	bound bool    // else nothing is known of the memory, or of the request
	never bool    // no upstream can hold it
	needs int     // tokens
	room  int     // that may be held once it is placed
	part  float64 // of the room that this box may fill
}

// memoryBoundOf works out once for a request what it needs: to do so for each of hundreds of
// upstreams would cost more than the rest of placing it.
func (f *Fleet) memoryBoundOf(r Request) memoryBound {
	memory := f.memoryOf(r.Service)
	if memory == 0 || r.Tokens == 0 {
		return memoryBound{}
	}
	return memoryBound{bound: true, never: f.TooLarge(r), needs: r.needs(), room: roomFor(memory, r), part: f.part}
}

// fits reports whether an upstream has memory for the request. Whatever it needs, it fits where
// nothing else is held, as long as it is not too large for any.
func (b memoryBound) fits(m *member) bool {
	if !b.bound {
		return true
	}
	held := m.held()
	switch {
	case b.never:
		return false
	case held == 0:
		return true
	case held+b.needs > b.room:
		return false
	}
	own := m.ownHeld()
	return own == 0 || float64(own+b.needs) <= b.part*float64(b.room)
}

// again is the bound of a request that is sent again: it has begun elsewhere, and to keep room for
// one more as large would break off what can go on.
func (b memoryBound) again() memoryBound {
	b.room += b.needs
	return b
}

// fitting returns those of the list that have memory for the request.
func (b memoryBound) fitting(list []*member) []*member {
	if !b.bound {
		return list
	}
	return slices.DeleteFunc(list, func(m *member) bool { return !b.fits(m) })
}

// roomFor is how much of a memory may be held after a request is placed: with spare room for
// one more that is as large, which another box may be placing at this moment.
func roomFor(memory int, r Request) int {
	return memory - r.needs() - int(memorySpare*float64(memory))
}

// TooLarge reports whether a request's prompt is larger than the whole memory of an upstream. How
// long its answer will be is a guess, which refuses nothing for good.
func (f *Fleet) TooLarge(r Request) bool {
	memory := f.memoryOf(r.Service)
	return memory > 0 && r.Tokens > memory
}

// MemoryLeft is how long it takes, as far as can be told, until an upstream that takes requests
// has memory for the request; 0 where one has, or where nothing is known of how long requests
// run.
func (f *Fleet) MemoryLeft(now time.Duration, r Request) time.Duration {
	bound := f.memoryBoundOf(r)
	if !bound.bound || bound.never {
		return 0
	}
	mayLeave := f.tight(r)
	least := time.Duration(math.MaxInt64)
	runs := f.serviceOf(r.Service).holding.mean(now)
	for _, m := range f.byService[r.Service] {
		switch {
		case m.closed() || m.out || !mayLeave && !f.inLane(now, m, false):
			continue
		case bound.fits(m):
			return 0
		}
		least = min(least, bound.freeIn(m, runs))
	}
	if least == math.MaxInt64 {
		return 0
	}
	return min(max(least, memoryWaitLeast), memoryWaitMost)
}

// freeIn is how long it takes until an upstream has memory for the request, where those that it
// runs take so long: they end one after the other.
func (b memoryBound) freeIn(m *member, runs time.Duration) time.Duration {
	held := m.held()
	over := min(max(held+b.needs-b.room, 0), held)
	return part(runs, float64(over)/float64(max(held, 1)))
}

// Made notes how many events an answer has by now. One that has become longer than was thought
// takes more memory: half as much again as what it has, so that it is counted anew
// seldom.
func (t *Ticket) Made(events int) {
	perToken := t.fleet.eventsPerToken(t.request.Service)
	if t.closed || t.held == 0 || perToken == 0 {
		return
	}
	made := int(float64(events) / perToken)
	if t.request.Tokens+made <= t.held {
		return
	}
	held := t.request.Tokens + made + made/2
	t.count(Load{Held: held - t.held})
	t.held = held
}

// eventsPerToken is how many events an answer has for each token that its caller expects, 0
// where nothing is known. Callers' guesses are right in the median, so that its inverse is about the
// tokens of an event.
func (f *Fleet) eventsPerToken(service string) float64 {
	events := f.serviceOf(service).answers.events
	if events.weight == 0 {
		return 0
	}
	return events.value()
}

// SetAside counts a slot and the memory that the copy of a run takes at an upstream, until it is
// used or given up.
func (f *Fleet) SetAside(id string, r Request) *Ticket {
	m := f.byID[id]
	if m == nil {
		return &Ticket{closed: true}
	}
	t := &Ticket{fleet: f, member: m, request: r, held: r.needs()}
	t.count(Load{Open: 1, Held: t.held})
	return t
}
