package cell

// This file defines the holder's side of slot leases: the progress of a
// request on the box that its caller is connected to. Invariants: a request
// is in one state of the chart; it is sent only with a slot lease that has
// not expired; it ends once; and it is refused as not run only if no byte of
// it was sent.

import (
	"time"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/chart"
	"github.com/doormast/doormast/timeline"
)

// localRequest is a request that this box carries.
type localRequest struct {
	req          Request
	rule         decide.Rule
	set          string
	work         float64
	state        chart.State
	arrivalOrder uint64 // position in the order of arrival
	arrived      time.Duration

	slot          uint64        // ID of its lease: its own, or that of the request that the slot was granted for
	slotAttempt   uint32        // attempt that its lease was granted for
	attempt       uint32        // number of its bids
	keepFor       time.Duration // how long its slot may be kept after the answer
	slotExpires   time.Duration // when its slot must return to the owner, to be assigned again
	owner         string        // box that it bids to
	firstBid      time.Duration // time before the bid was first sent to that owner
	upstream      string        // whose slot it holds
	startBy       time.Duration
	resume        string // upstream that holds its paused answer
	tokens        int    // delivered to the caller
	attempts      int
	inOtherDomain bool // it bids or runs in another failure domain
	redirected    bool // it has bid in another domain, which is allowed once
	fallback      bool // its slot is from this box's own share
	ran           bool // a byte has been sent to an upstream in this or an earlier run
	ranBefore     bool // value of ran before the present run
	cancelling    bool // its run is being cancelled
	callerLeft    bool // its caller has disconnected

	limitsTaken []*limit
	parkedUntil time.Duration
	parkedFor   *limit

	key          decide.Key
	keyHome      string
	claimStarted time.Duration
	claimSent    time.Duration
	hasClaim     bool
}

// step applies an event of the chart to the request's state. An event that
// the chart does not allow is a bug in this package.
func (l *localRequest) step(event int) {
	next, ok := requestChart.Step(l.state, event)
	if !ok {
		panic("cell: request " + timeline.RequestText(l.req.ID) + " in state " + requestChart.StateName(l.state) + " got an event that the state chart does not allow")
	}
	l.state = next
}

func (l *localRequest) event(kind timeline.Kind) timeline.Event {
	return timeline.Event{Kind: kind, Request: l.req.ID, Class: l.rule.Class, Tier: l.rule.Tier,
		Customer: l.req.Customer, Upstream: l.upstream, Set: l.set}
}

// Arrive accepts a request from a caller.
func (n *Node) Arrive(now time.Duration, req Request) {
	n.advanceTo(now)
	n.arrivals++
	l := &localRequest{req: req, arrived: now, arrivalOrder: n.arrivals}
	l.rule.Class = req.Class
	n.requests[req.ID] = l
	if n.table != nil {
		if c := n.table.Class(req.Class); c != nil {
			l.rule, l.set = n.rule(c), c.Set
		}
	}
	n.record(l.event(timeline.Received))
	switch {
	case n.table == nil:
		n.end(l, Final{Reason: decide.NoTable, RetryAfter: time.Second})
	case l.set == "":
		n.end(l, Final{Reason: decide.NoUpstream, RetryAfter: time.Minute})
	case n.withheldFor(l) > 0:
		n.endWithheld(l)
	default:
		n.budget(req.Class).RecordAttempt(len(n.listedBoxes()))
		if m := n.takeLimits(l); m != nil {
			n.park(l, m)
		} else {
			n.claimOrBid(l)
		}
	}
	n.flush()
}

func (n *Node) budget(class string) *decide.RetryBudget {
	b := n.budgets[class]
	if b == nil {
		b = new(decide.RetryBudget)
		n.budgets[class] = b
	}
	return b
}

// Lengths returns the statistics of a class's answer lengths.
func (n *Node) Lengths(class string) *decide.Lengths {
	l := n.lengths[class]
	if l == nil {
		l = new(decide.Lengths)
		n.lengths[class] = l
	}
	return l
}

// bid asks the owner of the request's set for a slot. Without a known owner
// the request waits until there is one.
func (n *Node) bid(l *localRequest) {
	if n.withheldFor(l) > 0 {
		n.endWithheld(l)
		return
	}
	if n.useKeptSlot(l) {
		return
	}
	n.bidTo(l, n.owners[l.set])
}

func (n *Node) bidTo(l *localRequest, owner string) {
	l.step(eventBid)
	l.owner, l.firstBid = owner, n.now
	l.attempt++
	l.upstream, l.fallback, l.cancelling = "", false, false
	l.work = n.expectedTokens(l)
	if owner == "" {
		return
	}
	e := l.event(timeline.Waiting)
	e.Upstream, e.Value = owner, int64(l.work)
	n.record(e)
	n.sendBid(l)
}

func (n *Node) sendBid(l *localRequest) {
	b := &Bid{Set: l.set, Bid: decide.Bid{
		ID:              l.req.ID,
		Box:             n.cfg.Box,
		Class:           l.req.Class,
		Customer:        l.req.Customer,
		Waited:          n.now - l.arrived,
		Work:            l.work,
		Prefix:          l.req.Prefix,
		FromOtherDomain: l.inOtherDomain,
		Resume:          l.resume,
		Attempt:         l.attempt,
	}}
	if l.req.Deadline > 0 {
		b.Bid.Remaining = max(l.arrived+l.req.Deadline-n.now, time.Microsecond)
	}
	n.deliver(l.owner, b)
	if l.owner == n.cfg.Box {
		n.dirty[l.set] = true
	}
}

// expectedTokens estimates the number of tokens still to be generated from
// the earlier answers of the class.
func (n *Node) expectedTokens(l *localRequest) float64 {
	lengths := n.Lengths(l.req.Class)
	expected := lengths.Mean()
	if l.tokens > 0 {
		expected = lengths.Remaining(l.tokens)
	}
	if l.req.MaxTokens > 0 {
		expected = min(expected, float64(max(1, l.req.MaxTokens-l.tokens)))
	}
	return expected
}

func (n *Node) onGrant(from string, m *Grant) {
	l := n.requests[m.ID]
	if l != nil && l.owner == from && l.state != stateWaiting && l.upstream == m.Upstream && l.attempt == m.Attempt && !l.callerLeft {
		return // a duplicate
	}
	if l == nil || l.owner != from || l.state != stateWaiting || l.attempt != m.Attempt {
		n.deliver(from, &Release{Set: m.Set, ID: m.ID, Upstream: m.Upstream, Outcome: decide.Unused, Attempt: m.Attempt})
		return
	}
	if n.now > l.firstBid+m.StartBy && !n.cfg.Disabled.StartByCheck {
		n.deliver(from, &Release{Set: m.Set, ID: m.ID, Upstream: m.Upstream, Outcome: decide.Unused, Attempt: m.Attempt})
		n.bid(l)
		return
	}
	l.slot, l.slotAttempt, l.keepFor, l.slotExpires = l.req.ID, m.Attempt, m.KeepFor, n.now+decide.RetainedSlotLifetime
	n.lease(l, m.Upstream, l.firstBid+m.StartBy)
}

// lease starts a run in a slot.
func (n *Node) lease(l *localRequest, upstream string, startBy time.Duration) {
	l.step(eventGrant)
	l.upstream, l.startBy = upstream, startBy
	l.attempts++
	kind := timeline.Leased
	if l.fallback {
		kind = timeline.Fallback
	}
	n.record(l.event(kind))
	n.addAction(Action{Kind: Dispatch, Request: l.req.ID, Upstream: upstream, Tokens: l.tokens, Redispatch: l.attempts > 1,
		Resume: l.resume == upstream && upstream != "", StartBy: startBy})
}

func (n *Node) onRefusal(from string, m *Refusal) {
	l := n.requests[m.ID]
	if l == nil || l.owner != from || l.state != stateWaiting {
		return
	}
	if m.Redirect != "" && !l.redirected {
		n.redirect(l, m.Redirect)
		return
	}
	if l.inOtherDomain {
		n.bidInOwnDomain(l)
		return
	}
	n.endWithCounts(l, Final{Reason: m.Reason, RetryAfter: m.RetryAfter}, m.LowerWaiting, m.LowerRunning)
}

func (n *Node) onPreempt(from string, m *Preempt) {
	l := n.requestInSlot(m.ID)
	if l == nil || l.owner != from || l.cancelling || l.state != stateRunning && l.state != stateSending {
		return
	}
	l.cancelling = true
	n.addAction(Action{Kind: PauseRun, Request: l.req.ID})
}

// Sending tells the node that the first byte of the request is about to be
// sent.
func (n *Node) Sending(now time.Duration, id uint64) {
	n.advanceTo(now)
	l := n.requests[id]
	if l == nil || l.state != stateLeased {
		return
	}
	l.step(eventSend)
	l.ranBefore, l.ran = l.ran, true
	e := l.event(timeline.Sending)
	e.Value = int64(l.tokens)
	n.record(e)
}

// FirstToken tells the node that the answer has begun.
func (n *Node) FirstToken(now time.Duration, id uint64) {
	n.advanceTo(now)
	l := n.requests[id]
	if l == nil || l.state != stateSending {
		return
	}
	l.step(eventToken)
	n.record(l.event(timeline.Running))
}

// recheckRequests applies a changed table to the requests of this box: those
// that wait are refused if their class is gone, and bid again if it has
// moved to another set.
func (n *Node) recheckRequests() {
	for _, l := range n.sortedRequests(func(l *localRequest) bool { return true }) {
		c := n.table.Class(l.req.Class)
		switch {
		case c != nil && c.Set == l.set:
			l.rule = n.rule(c)
		case l.state != stateWaiting:
		case c == nil:
			n.withdraw(l)
			n.end(l, Final{Reason: decide.NoUpstream, RetryAfter: time.Minute})
		default:
			n.withdraw(l)
			l.rule, l.set = n.rule(c), c.Set
			n.bid(l)
		}
	}
}

// rebidSet directs the requests that wait for or hold a slot of a set to its
// new owner.
func (n *Node) rebidSet(set string) {
	owner := n.owners[set]
	for _, l := range n.sortedRequests(func(l *localRequest) bool { return l.set == set && !l.inOtherDomain }) {
		switch l.state {
		case stateWaiting:
			n.bidTo(l, owner)
		case stateLeased, stateSending, stateRunning:
			l.owner = owner
		}
	}
	if owner != n.cfg.Box {
		n.sendFullHolding(set, owner)
	}
}
