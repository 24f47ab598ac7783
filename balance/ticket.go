package balance

// This file defines tickets, which count requests on upstreams. Invariant: a ticket removes from
// the work of its upstream exactly what it added, once.

import "time"

// Ticket counts a request on an upstream, from its placement to its end.
type Ticket struct {
	fleet        *Fleet
	member       *member
	request      Request
	unread       int           // prompt tokens counted as not yet read
	tight        int           // 1 if it counts as a tight stream, else 0
	held         int           // tokens of the upstream's memory counted for it
	prefilled    bool          // the first event has arrived, so the prompt has been read
	opened       time.Duration // when the request was counted
	firstEventAt time.Duration // when the first event arrived
	calm         bool          // the upstream read little when the ticket was opened
	moved        bool          // the request ran on another upstream before
	pause        *pause        // the request was sent after this pause; nil once it has been answered
	wasIdle      bool          // no other request was open on the upstream
	hadFreeSlot  bool          // a slot was free
	tunnelled    bool          // the request runs on a connection through another box
	closed       bool          // Close was called
}

// Open counts a request on an upstream. If the upstream is not listed, it returns a closed
// ticket.
func (f *Fleet) Open(now time.Duration, id string, r Request) *Ticket {
	m := f.byID[id]
	if m == nil {
		return &Ticket{closed: true}
	}
	t := &Ticket{
		fleet:       f,
		member:      m,
		request:     r,
		unread:      f.unread(now, m, r),
		opened:      now,
		calm:        m.prefillLevel() == 0,
		wasIdle:     m.open() == 0,
		hadFreeSlot: m.open() < m.Slots,
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
	t.count(Load{Unread: t.unread, Requests: 1, Tight: t.tight, MemoryTokens: t.held})
	t.fleet.noteSent(now, t.member, t.request)
	t.member.recordColdRequest(now)
	t.member.recordBrittleRequest(now)
	t.countResumed(now)
	t.member.history.note(now)
}

// Opened returns when the request was counted.
func (t *Ticket) Opened() time.Duration { return t.opened }

// NoteFirstEvent records the first event of the answer: the prompt has been read.
func (t *Ticket) NoteFirstEvent(now time.Duration) {
	if t.closed || t.prefilled {
		return
	}
	if t.wasIdle {
		t.fleet.learnRate(t.unread, now-t.opened)
	}
	t.prefilled, t.firstEventAt = true, now
	t.finishResumed(true)
	t.fleet.serviceOf(t.request.Service).holding.begin(now)
	t.recordReached(now)
	t.clearUnread()
}

// UseTunnel records that the request runs on a connection through another box, so that its outcome
// says nothing about this box's own path.
func (t *Ticket) UseTunnel() { t.tunnelled = true }

// recordReached records that the upstream was reached, on the path that the request took.
func (t *Ticket) recordReached(now time.Duration) {
	if t.tunnelled {
		t.fleet.NoteTunnel(now, t.member.Incarnation(), true)
		return
	}
	t.fleet.recordReachable(now, t.member)
}

// clearUnread removes the prompt's unread tokens from the work of the upstream.
func (t *Ticket) clearUnread() {
	t.count(Load{Unread: -t.unread})
	t.unread = 0
}

// count applies a change to the work of the upstream, on the member that holds it now.
func (t *Ticket) count(change Load) {
	m := t.member.current()
	m.work.add(t.request.urgencyLevel(), change)
	t.fleet.activate(m)
	t.fleet.dropIdleUnlisted(m)
}

// NoteAnswer records how far the answer has come: events is the number of events since the first one
// of this run, all the number over all runs of the request, and whole reports whether the answer
// is complete.
func (t *Ticket) NoteAnswer(now time.Duration, events, all int, whole bool) {
	if t.closed || !t.prefilled {
		return
	}
	a := &t.fleet.serviceOf(t.request.Service).answers
	switch {
	case t.moved:
		recordInterval(&a.moved, events, now-t.firstEventAt)
	case t.calm:
		recordInterval(&a.calm, events, now-t.firstEventAt)
	default:
		recordInterval(&a.busy, events, now-t.firstEventAt)
	}
	if whole {
		a.recordLength(t.request.ExpectedTokens, all)
	}
}

// Close ends the count and records the outcome of the request. Further calls have no effect.
func (t *Ticket) Close(now time.Duration, outcome Outcome) {
	if t.closed {
		return
	}
	t.clearUnread()
	t.closed = true
	t.finishResumed(outcome == Answered)
	t.count(Load{Requests: -1, Tight: -t.tight, MemoryTokens: -t.held})
	t.member.health.record(now, outcome)
	if t.prefilled {
		t.fleet.serviceOf(t.request.Service).holding.end(now)
	}
	if !t.prefilled && (outcome == Full || outcome == Unreachable || outcome == ConnectionRefused || outcome == Replaced) {
		t.fleet.noteUnsent(t.member, t.request) // the upstream holds nothing of the prompt
	}
	if t.hadFreeSlot && outcome == Answered && len(t.request.Parts) == 0 {
		t.fleet.learnServiceTime(t.member, now-t.opened)
	}
	t.recordConnection(now, outcome)
}

// recordConnection records what the outcome says about the path to the upstream, and about the
// upstream's process.
func (t *Ticket) recordConnection(now time.Duration, outcome Outcome) {
	switch outcome {
	case Unreachable:
		if !t.tunnelled {
			t.fleet.reportLost(now, t.member, t.opened)
			t.fleet.recordUnreachable(now, t.member)
		}
	case ConnectionRefused:
		if !t.tunnelled {
			t.fleet.recordRefused(now, t.member)
		}
		t.fleet.suspectRestart(now, t.member)
	case ConnectionLost:
		t.fleet.noteBreak(now, t.member)
	case Replaced:
		t.fleet.noteReplaced(t.member)
	case Full:
		t.fleet.noteRejected(now, t.member, now, "")
		t.recordReached(now)
	case Answered:
		t.recordReached(now)
	}
}
