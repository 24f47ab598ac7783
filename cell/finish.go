package cell

// This file defines how a request ends, or goes on after a run has. The invariant:
// each request ends once, and as not run only if no byte of it has left.

import (
	"time"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/timeline"
)

// CallerLeft tells the node that a caller went away or was given up on.
func (n *Node) CallerLeft(now time.Duration, id uint64) {
	n.at(now)
	l := n.locals[id]
	if l == nil || l.left {
		return
	}
	l.left = true
	n.record(l.event(timeline.Left))
	switch l.state {
	case stateLeased, stateSending, stateRunning:
		l.stopping = true
		n.act(Action{Kind: CancelRun, Request: id})
	default:
		n.withdraw(l)
		l.step(eventLeave)
		if !l.ran {
			n.giveBackClaim(l)
		}
		n.forget(l)
	}
	n.flush()
}

func (n *Node) withdraw(l *local) {
	if l.state == stateWaiting && l.owner != "" {
		n.deliver(l.owner, &Withdraw{Set: l.set, ID: l.req.ID})
	}
}

// Finished tells the node how a run ended.
func (n *Node) Finished(now time.Duration, id uint64, r Result) {
	n.at(now)
	l := n.locals[id]
	if l == nil || l.state == stateWaiting {
		return
	}
	if r.Ran && l.state == stateLeased {
		l.step(eventSend)
	}
	n.release(l, r)
	l.tokens = max(l.tokens, r.Tokens)
	if r.Ended {
		n.noteEnd(l)
	}
	if r.Refused {
		// The upstream itself says that it did not run this one.
		l.ran = l.ranBefore
		n.record(l.event(timeline.Disclaimed))
	} else {
		l.ran = l.ran || r.Ran
	}
	switch {
	case l.left:
		n.finishLeft(l)
	case r.Outcome == decide.Answered:
		n.finishAnswered(l, r)
	case r.Outcome == decide.Paused:
		l.resume = l.upstream
		e := l.event(timeline.Paused)
		e.Value = int64(l.tokens)
		n.record(e)
		n.bid(l)
	case r.Outcome == decide.Unused:
		n.bid(l)
	default:
		n.finishFailed(l, r)
	}
	n.flush()
}

// release gives the slot back to its owner.
func (n *Node) release(l *local, r Result) {
	if r.Outcome == decide.Answered && !r.Said.Any() && n.keepSlot(l) {
		return
	}
	outcome := r.Outcome
	if r.Said.Leaving && r.Refused {
		outcome = decide.Draining
	}
	n.noteSaid(l, r.Said)
	m := &Release{Said: r.Said, Set: l.set, ID: l.slot, Upstream: l.upstream, Tokens: r.Tokens, Outcome: outcome, Pace: r.Pace, First: r.First, Attempt: l.slotAttempt}
	if l.owner != "" {
		n.deliver(l.owner, m)
	}
	if l.owner == n.cfg.Box {
		n.dirty[l.set] = true
	}
}

func (n *Node) finishLeft(l *local) {
	l.step(eventLeave)
	if !l.ran {
		n.giveBackClaim(l)
	}
	n.forget(l)
}

func (n *Node) finishAnswered(l *local, r Result) {
	n.Lengths(l.req.Class).Add(max(1, r.Tokens))
	n.noteAnswer(l)
	l.step(eventAnswer)
	e := l.event(timeline.Answered)
	e.Value = int64(r.Tokens)
	n.record(e)
	n.forget(l)
}

func (n *Node) finishFailed(l *local, r Result) {
	l.resume = ""
	if n.withheld(l) > 0 {
		n.endWithheld(l)
		return
	}
	reason := decide.MayRetry(decide.Failure{
		Ran:        l.ran,
		Repeatable: l.rule.Repeatable && l.req.Repeatable,
		Resumable:  l.req.Resumable,
		Delivered:  l.tokens,
		Attempts:   l.attempts,
		TimeLeft:   l.req.Deadline == 0 || n.now < l.arrived+l.req.Deadline,
	}, n.budget(l.req.Class))
	if reason != decide.NoReason {
		n.end(l, Final{Reason: reason, Ran: l.ran, RetryAfter: max(time.Second, r.Said.Pause)})
		return
	}
	e := l.event(timeline.Retried)
	e.Reason = "upstream_failed"
	n.record(e)
	n.bid(l)
}

// end gives a request its final answer.
func (n *Node) end(l *local, f Final) { n.endWith(l, f, 0, 0) }

func (n *Node) endWith(l *local, f Final, lowerWaiting, lowerRunning int) {
	f.Ran = f.Ran || l.ran
	kind := timeline.Refused
	if f.Ran {
		l.step(eventLose)
		kind = timeline.Unknown
	} else {
		l.step(eventRefuse)
		n.giveBackClaim(l)
	}
	e := l.event(kind)
	e.Reason, e.LowerWaiting, e.LowerRunning = f.Reason.String(), lowerWaiting, lowerRunning
	n.record(e)
	n.act(Action{Kind: End, Request: l.req.ID, Final: f})
	n.forget(l)
}

func (n *Node) forget(l *local) {
	n.giveLimits(l)
	delete(n.locals, l.req.ID)
}

// tickDeadlines ends what has passed its caller's deadline while it runs; what
// waits is ended by the owner.
func (n *Node) tickDeadlines() {
	for _, l := range n.sorted(func(l *local) bool {
		return l.req.Deadline > 0 && !l.left && n.now >= l.arrived+l.req.Deadline
	}) {
		switch l.state {
		case stateLeased:
			// Whether a byte has left is about to be told; the run's end decides.
			if !l.stopping {
				l.stopping = true
				n.act(Action{Kind: CancelRun, Request: l.req.ID})
			}
		case stateSending, stateRunning:
			n.record(timeline.Event{Kind: timeline.Unknown, Request: l.req.ID, Class: l.rule.Class, Reason: decide.Late.String()})
			n.act(Action{Kind: End, Request: l.req.ID, Final: Final{Reason: decide.Late, Ran: true}})
			l.left, l.stopping = true, true
			n.act(Action{Kind: CancelRun, Request: l.req.ID})
		case stateWaiting:
			if l.owner == "" {
				n.end(l, Final{Reason: decide.Late})
			}
		}
	}
}
