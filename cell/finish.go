package cell

// This file defines how a request ends, or continues after a run has ended.
// Invariant: each request ends once, and is reported as not run only if no
// byte of it was sent.

import (
	"time"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/timeline"
)

// CallerLeft tells the node that a caller has disconnected or was given up
// on.
func (n *Node) CallerLeft(now time.Duration, id uint64) {
	n.advanceTo(now)
	l := n.requests[id]
	if l == nil || l.callerLeft {
		return
	}
	l.callerLeft = true
	n.record(l.event(timeline.Disconnected))
	switch l.state {
	case stateLeased, stateSending, stateRunning:
		l.cancelling = true
		n.addAction(Action{Kind: CancelRun, Request: id})
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

func (n *Node) withdraw(l *localRequest) {
	if l.state == stateWaiting && l.owner != "" {
		n.deliver(l.owner, &Withdraw{Set: l.set, ID: l.req.ID})
	}
}

// Finished tells the node how a run ended.
func (n *Node) Finished(now time.Duration, id uint64, r Result) {
	n.advanceTo(now)
	l := n.requests[id]
	if l == nil || l.state == stateWaiting {
		return
	}
	if r.Ran && l.state == stateLeased {
		l.step(eventSend)
	}
	n.release(l, r)
	l.tokens = max(l.tokens, r.Tokens)
	if r.UpstreamCrashed {
		n.noteUpstreamCrash(l)
	}
	if r.Refused {
		// The upstream itself reported that it did not run this request.
		l.ran = l.ranBefore
		n.record(l.event(timeline.Disclaimed))
	} else {
		l.ran = l.ran || r.Ran
	}
	switch {
	case l.callerLeft:
		n.finishCallerLeft(l)
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

// release returns the slot to its owner, unless this box keeps it.
func (n *Node) release(l *localRequest, r Result) {
	if r.Outcome == decide.Answered && !r.Notice.HasContent() && n.keepSlot(l) {
		return
	}
	outcome := r.Outcome
	if r.Notice.Leaving && r.Refused {
		outcome = decide.Draining
	}
	n.noteUpstreamNotice(l, r.Notice)
	m := &Release{Notice: r.Notice, Set: l.set, ID: l.slot, Upstream: l.upstream, Tokens: r.Tokens, Outcome: outcome, TimePerToken: r.TimePerToken, TimeToFirstToken: r.TimeToFirstToken, Attempt: l.slotAttempt}
	if l.owner != "" {
		n.deliver(l.owner, m)
	}
	if l.owner == n.cfg.Box {
		n.dirty[l.set] = true
	}
}

func (n *Node) finishCallerLeft(l *localRequest) {
	l.step(eventLeave)
	if !l.ran {
		n.giveBackClaim(l)
	}
	n.forget(l)
}

func (n *Node) finishAnswered(l *localRequest, r Result) {
	n.Lengths(l.req.Class).Add(max(1, r.Tokens))
	n.noteAnswer(l)
	l.step(eventAnswer)
	e := l.event(timeline.Answered)
	e.Value = int64(r.Tokens)
	n.record(e)
	n.forget(l)
}

func (n *Node) finishFailed(l *localRequest, r Result) {
	l.resume = ""
	if n.withheldFor(l) > 0 {
		n.endWithheld(l)
		return
	}
	reason := decide.MayRetry(decide.Failure{
		MayHaveRun: l.ran,
		Repeatable: l.rule.Repeatable && l.req.Repeatable,
		Resumable:  l.req.Resumable,
		Delivered:  l.tokens,
		Attempts:   l.attempts,
		TimeLeft:   l.req.Deadline == 0 || n.now < l.arrived+l.req.Deadline,
	}, n.budget(l.req.Class))
	if reason != decide.NoReason {
		n.end(l, Final{Reason: reason, Ran: l.ran, RetryAfter: max(time.Second, r.Notice.Pause)})
		return
	}
	e := l.event(timeline.Retried)
	e.Reason = "upstream_failed"
	n.record(e)
	n.bid(l)
}

// end ends a request with a final answer.
func (n *Node) end(l *localRequest, f Final) { n.endWithCounts(l, f, 0, 0) }

func (n *Node) endWithCounts(l *localRequest, f Final, lowerWaiting, lowerRunning int) {
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
	n.addAction(Action{Kind: End, Request: l.req.ID, Final: f})
	n.forget(l)
}

func (n *Node) forget(l *localRequest) {
	n.releaseLimits(l)
	delete(n.requests, l.req.ID)
}

// tickDeadlines ends requests that pass the caller's deadline while they
// run. The owner ends those that wait.
func (n *Node) tickDeadlines() {
	for _, l := range n.sortedRequests(func(l *localRequest) bool {
		return l.req.Deadline > 0 && !l.callerLeft && n.now >= l.arrived+l.req.Deadline
	}) {
		switch l.state {
		case stateLeased:
			// The result of the run will tell whether a byte was sent, and
			// decides how the request ends.
			if !l.cancelling {
				l.cancelling = true
				n.addAction(Action{Kind: CancelRun, Request: l.req.ID})
			}
		case stateSending, stateRunning:
			n.record(timeline.Event{Kind: timeline.Unknown, Request: l.req.ID, Class: l.rule.Class, Reason: decide.Late.String()})
			n.addAction(Action{Kind: End, Request: l.req.ID, Final: Final{Reason: decide.Late, Ran: true}})
			l.callerLeft, l.cancelling = true, true
			n.addAction(Action{Kind: CancelRun, Request: l.req.ID})
		case stateWaiting:
			if l.owner == "" {
				n.end(l, Final{Reason: decide.Late})
			}
		}
	}
}
