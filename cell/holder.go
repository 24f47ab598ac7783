package cell

// This file defines the holder's side: what becomes of a request on the box that
// its caller is connected to. The invariants: a request is in one state of the
// chart; it is sent only with a slot lease that has not run out; it ends once;
// and it is refused as not run only if no byte of it has left.

import (
	"time"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/chart"
	"github.com/doormast/doormast/timeline"
)

// local is a request that this box carries.
type local struct {
	req     Request
	rule    decide.Rule
	set     string
	work    float64
	state   chart.State
	order   uint64 // of arrival
	arrived time.Duration

	slot        uint64        // id of its lease: its own, or that of the request it was granted for
	slotAttempt uint32        // attempt that its lease was granted for
	attempt     uint32        // counts its bids
	keep        time.Duration // how long its slot may be kept after the answer
	slotEnd     time.Duration // when its slot must go back to be placed anew
	owner       string        // box that it bids to
	firstBid    time.Duration // before the bid was first sent to that owner
	upstream    string        // that it holds a slot of
	startBy     time.Duration
	resume      string // upstream that holds its paused answer
	tokens      int    // delivered to the caller
	attempts    int
	visiting    bool // it bids or runs in another failure domain
	hopped      bool // it has been to another one, once is all
	fallback    bool // its slot is from this box's own share
	ran         bool // a byte has left for an upstream at some time
	ranBefore   bool // the same, before the present run
	stopping    bool // its run is being cancelled
	left        bool // its caller went away

	taken       []*limit
	parkedUntil time.Duration
	parkedFor   *limit

	key        decide.Key
	home       string
	claimFirst time.Duration
	claimSent  time.Duration
	hasClaim   bool
}

// step moves the request along the chart. An event that the chart does not
// allow is a fault of this package.
func (l *local) step(event int) {
	next, ok := requestChart.Step(l.state, event)
	if !ok {
		panic("cell: request " + timeline.RequestText(l.req.ID) + " in state " + requestChart.StateName(l.state) + " cannot take the step")
	}
	l.state = next
}

func (l *local) event(kind timeline.Kind) timeline.Event {
	return timeline.Event{Kind: kind, Request: l.req.ID, Class: l.rule.Class, Tier: l.rule.Tier,
		Customer: l.req.Customer, Upstream: l.upstream, Set: l.set}
}

// Arrive takes in a request from a caller.
func (n *Node) Arrive(now time.Duration, req Request) {
	n.at(now)
	n.arrivals++
	l := &local{req: req, arrived: now, order: n.arrivals}
	l.rule.Class = req.Class
	n.locals[req.ID] = l
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
	case n.withheld(l) > 0:
		n.endWithheld(l)
	default:
		n.budget(req.Class).Attempt(len(n.listed()))
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

// Lengths returns what is known of a class's answer lengths.
func (n *Node) Lengths(class string) *decide.Lengths {
	l := n.lengths[class]
	if l == nil {
		l = new(decide.Lengths)
		n.lengths[class] = l
	}
	return l
}

// bid asks the owner of the request's set for a slot. Without an owner in sight
// the request waits for one.
func (n *Node) bid(l *local) {
	if n.withheld(l) > 0 {
		n.endWithheld(l)
		return
	}
	if n.useKept(l) {
		return
	}
	n.bidAt(l, n.owners[l.set])
}

func (n *Node) bidAt(l *local, owner string) {
	l.step(eventBid)
	l.owner, l.firstBid = owner, n.now
	l.attempt++
	l.upstream, l.fallback, l.stopping = "", false, false
	l.work = n.expected(l)
	if owner == "" {
		return
	}
	e := l.event(timeline.Waiting)
	e.Upstream, e.Value = owner, int64(l.work)
	n.record(e)
	n.sendBid(l)
}

func (n *Node) sendBid(l *local) {
	b := &Bid{Set: l.set, Bid: decide.Bid{
		ID:              l.req.ID,
		Box:             n.cfg.Box,
		Class:           l.req.Class,
		Customer:        l.req.Customer,
		Waited:          n.now - l.arrived,
		Work:            l.work,
		Prefix:          l.req.Prefix,
		FromOtherDomain: l.visiting,
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

// expected is the number of tokens still to come, as far as the class's past
// tells.
func (n *Node) expected(l *local) float64 {
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
	l := n.locals[m.ID]
	if l != nil && l.owner == from && l.state != stateWaiting && l.upstream == m.Upstream && l.attempt == m.Attempt && !l.left {
		return // it came twice
	}
	if l == nil || l.owner != from || l.state != stateWaiting || l.attempt != m.Attempt {
		n.deliver(from, &Release{Set: m.Set, ID: m.ID, Upstream: m.Upstream, Outcome: decide.Unused, Attempt: m.Attempt})
		return
	}
	if n.now > l.firstBid+m.StartBy && !n.cfg.Unfenced.StartBy {
		n.deliver(from, &Release{Set: m.Set, ID: m.ID, Upstream: m.Upstream, Outcome: decide.Unused, Attempt: m.Attempt})
		n.bid(l)
		return
	}
	l.slot, l.slotAttempt, l.keep, l.slotEnd = l.req.ID, m.Attempt, m.Keep, n.now+decide.RetainedSlotLifetime
	n.lease(l, m.Upstream, l.firstBid+m.StartBy)
}

// lease uses a slot.
func (n *Node) lease(l *local, upstream string, startBy time.Duration) {
	l.step(eventGrant)
	l.upstream, l.startBy = upstream, startBy
	l.attempts++
	kind := timeline.Leased
	if l.fallback {
		kind = timeline.Fallback
	}
	n.record(l.event(kind))
	n.act(Action{Kind: Dispatch, Request: l.req.ID, Upstream: upstream, Tokens: l.tokens, Redispatch: l.attempts > 1,
		Resume: l.resume == upstream && upstream != "", StartBy: startBy})
}

func (n *Node) onRefusal(from string, m *Refusal) {
	l := n.locals[m.ID]
	if l == nil || l.owner != from || l.state != stateWaiting {
		return
	}
	if m.Redirect != "" && !l.hopped {
		n.redirect(l, m.Redirect)
		return
	}
	if l.visiting {
		n.comeHome(l)
		return
	}
	n.endWith(l, Final{Reason: m.Reason, RetryAfter: m.RetryAfter}, m.LowerWaiting, m.LowerRunning)
}

func (n *Node) onPreempt(from string, m *Preempt) {
	l := n.bySlot(m.ID)
	if l == nil || l.owner != from || l.stopping || l.state != stateRunning && l.state != stateSending {
		return
	}
	l.stopping = true
	n.act(Action{Kind: PauseRun, Request: l.req.ID})
}

// Sending tells the node that a byte of the request is about to leave.
func (n *Node) Sending(now time.Duration, id uint64) {
	n.at(now)
	l := n.locals[id]
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
	n.at(now)
	l := n.locals[id]
	if l == nil || l.state != stateSending {
		return
	}
	l.step(eventToken)
	n.record(l.event(timeline.Running))
}

// recheckLocals puts a changed table in force for requests that wait here: a
// class that is gone is refused, one that moved to another set bids there.
func (n *Node) recheckLocals() {
	for _, l := range n.sorted(func(l *local) bool { return true }) {
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

// rebidAll turns to a set's new owner with all that waits for or holds a slot.
func (n *Node) rebidAll(set string) {
	owner := n.owners[set]
	for _, l := range n.sorted(func(l *local) bool { return l.set == set && !l.visiting }) {
		switch l.state {
		case stateWaiting:
			n.bidAt(l, owner)
		case stateLeased, stateSending, stateRunning:
			l.owner = owner
		}
	}
	if owner != n.cfg.Box {
		n.sendFull(set, owner)
	}
}
