package balance

// This file defines tickets: how a request is counted on an upstream. The invariant:
// what a ticket adds to the work of an upstream it takes away again, once.

import "time"

// Ticket is a request on an upstream, from the moment it was placed to its end.
type Ticket struct {
	fleet   *Fleet
	member  *member
	request Request
	unread  int  // tokens of its prompt that are counted as not yet read
	tight   int  // tight streams that it counts as, 0 or 1
	held    int  // tokens of its upstream's memory that it is counted with
	read    bool // its first event came
	opened  time.Duration
	begun   time.Duration // when its first event came
	calm    bool          // its upstream read little when it was opened
	moved   bool          // it ran elsewhere before
	pause   *pause        // that it returned after, until it is answered
	alone   bool          // nothing was before it
	free    bool          // a slot was free
	closed  bool
}

// Open counts a request on an upstream.
func (f *Fleet) Open(now time.Duration, id string, r Request) *Ticket {
	m := f.byID[id]
	if m == nil {
		return &Ticket{closed: true}
	}
	t := &Ticket{
		fleet:   f,
		member:  m,
		request: r,
		unread:  f.unread(now, m, r),
		opened:  now,
		calm:    m.calmStep() == 0,
		alone:   m.open() == 0,
		free:    m.open() < m.Slots,
	}
	f.serviceOf(r.Service).classes.observe(r, t.unread)
	t.begin(now)
	return t
}

// begin adds the request to the work of its upstream.
func (t *Ticket) begin(now time.Duration) {
	if t.fleet.tight(t.request) {
		t.tight = 1
	}
	t.held = t.request.needs()
	t.count(Load{Unread: t.unread, Open: 1, Tight: t.tight, Held: t.held})
	t.fleet.sent(now, t.member, t.request)
	t.member.noteCold(now)
	t.goBack(now)
	t.member.history.note(now)
}

// Opened is when the request was counted.
func (t *Ticket) Opened() time.Duration { return t.opened }

// First notes that the first event came: the prompt has been read.
func (t *Ticket) First(now time.Duration) {
	if t.closed || t.read {
		return
	}
	if t.alone {
		t.fleet.learnRate(t.unread, now-t.opened)
	}
	t.read, t.begun = true, now
	t.cameBack(true)
	t.fleet.serviceOf(t.request.Service).holding.begin(now)
	t.fleet.reached(now, t.member)
	t.clear()
}

// clear takes the unread tokens of the prompt away.
func (t *Ticket) clear() {
	t.count(Load{Unread: -t.unread})
	t.unread = 0
}

// count adds a change to the work of the upstream, where that is counted by now.
func (t *Ticket) count(change Load) {
	m := t.member.counted()
	m.work.add(t.request.level(), change)
	t.fleet.activate(m)
	t.fleet.forgetGone(m)
}

// Events notes how many events came since the first, how many the answer had until now, with
// those of its runs before, and whether it has ended whole.
func (t *Ticket) Events(now time.Duration, events, all int, whole bool) {
	if t.closed || !t.read {
		return
	}
	a := &t.fleet.serviceOf(t.request.Service).answers
	switch {
	case t.moved:
		notePace(&a.moved, events, now-t.begun)
	case t.calm:
		notePace(&a.calm, events, now-t.begun)
	default:
		notePace(&a.busy, events, now-t.begun)
	}
	if whole {
		a.noteLength(t.request.Expected, all)
	}
}

// Close ends the count, and tells what became of the request.
func (t *Ticket) Close(now time.Duration, outcome Outcome) {
	if t.closed {
		return
	}
	t.clear()
	t.closed = true
	t.cameBack(outcome == Answered)
	t.count(Load{Open: -1, Tight: -t.tight, Held: -t.held})
	t.member.health.note(now, outcome)
	if t.read {
		t.fleet.serviceOf(t.request.Service).holding.end(now)
	}
	if !t.read && (outcome == Full || outcome == Unreachable || outcome == ConnectionRefused || outcome == Replaced) {
		t.fleet.unsent(t.member, t.request) // it keeps nothing of the prompt
	}
	if t.free && outcome == Answered && len(t.request.Parts) == 0 {
		t.fleet.learnWork(t.member, now-t.opened)
	}
	switch outcome {
	case Unreachable:
		t.fleet.unreached(now, t.member)
	case ConnectionRefused:
		t.fleet.unreached(now, t.member)
		t.fleet.doubt(now, t.member)
	case ConnectionLost:
		t.fleet.broke(now, t.member)
	case Replaced:
		t.fleet.ended(t.member)
	case Answered, Full:
		t.fleet.reached(now, t.member)
	}
}
