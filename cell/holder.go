package cell

// This file defines the holder's side: what becomes of a request on the box that
// its caller is connected to. The invariants: a request is in one state of the
// chart; it is sent only with a slot lease that has not run out; it ends once;
// and it is refused as not run only if no byte of it has left.

import (
	"maps"
	"slices"
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
	default:
		n.budget(req.Class).Attempt()
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
		ID:       l.req.ID,
		Box:      n.cfg.Box,
		Class:    l.req.Class,
		Customer: l.req.Customer,
		Waited:   n.now - l.arrived,
		Work:     l.work,
		Prefix:   l.req.Prefix,
		Visitor:  l.visiting,
		Resume:   l.resume,
		Attempt:  l.attempt,
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
// tells. An answer that has run past the mean is expected to run on for a while.
func (n *Node) expected(l *local) float64 {
	mean := n.Lengths(l.req.Class).Mean()
	if l.req.MaxTokens > 0 {
		mean = min(mean, float64(l.req.MaxTokens))
	}
	if l.tokens > 0 {
		return max(mean-float64(l.tokens), mean/4)
	}
	return mean
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
	l.slot, l.slotAttempt, l.keep, l.slotEnd = l.req.ID, m.Attempt, m.Keep, n.now+decide.KeptLife
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
	n.act(Action{Kind: Dispatch, Request: l.req.ID, Upstream: upstream, Tokens: l.tokens,
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
		n.finishFailed(l)
	}
	n.flush()
}

// release gives the slot back to its owner.
func (n *Node) release(l *local, r Result) {
	if r.Outcome == decide.Answered && n.keepSlot(l) {
		return
	}
	outcome := r.Outcome
	if r.Leaving {
		outcome = decide.Draining
	}
	m := &Release{Set: l.set, ID: l.slot, Upstream: l.upstream, Tokens: r.Tokens, Outcome: outcome, Pace: r.Pace, First: r.First, Attempt: l.slotAttempt}
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
	l.step(eventAnswer)
	e := l.event(timeline.Answered)
	e.Value = int64(r.Tokens)
	n.record(e)
	n.forget(l)
}

func (n *Node) finishFailed(l *local) {
	l.resume = ""
	reason := decide.MayRetry(decide.Failure{
		Ran:        l.ran,
		Repeatable: l.rule.Repeatable && l.req.Repeatable,
		Resumable:  l.req.Resumable,
		Delivered:  l.tokens,
		Attempts:   l.attempts,
		TimeLeft:   l.req.Deadline == 0 || n.now < l.arrived+l.req.Deadline,
	}, n.budget(l.req.Class))
	if reason != decide.NoReason {
		n.end(l, Final{Reason: reason, Ran: l.ran, RetryAfter: time.Second})
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

// holdingKey names the leases of one set at one owner.
type holdingKey struct{ owner, set string }

// emptySums is how often it is still said that nothing is held.
const emptySums = 3

// tickHolding renews the leases at each owner by their sum.
func (n *Node) tickHolding() {
	if n.now < n.nextHolding {
		return
	}
	n.nextHolding = n.now + n.timing.Holding
	all := n.now >= n.nextRenew
	if all {
		n.nextRenew = n.now + n.timing.Renew
	}
	sums := make(map[holdingKey]*Holding)
	for _, l := range n.locals {
		n.addToSum(sums, l)
	}
	n.addKept(sums)
	if !all {
		// In between only owners that have a bid of this box are told: a bid that
		// was lost is found soon, and leases live long enough.
		maps.DeleteFunc(sums, func(_ holdingKey, h *Holding) bool { return h.WaitingCount == 0 })
	}
	for key := range n.empties {
		if all && sums[key] == nil {
			sums[key] = &Holding{Set: key.set}
			if n.empties[key]--; n.empties[key] <= 0 {
				delete(n.empties, key)
			}
		}
	}
	keys := make([]holdingKey, 0, len(sums))
	for key := range sums {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b holdingKey) int {
		if a.owner+a.set < b.owner+b.set {
			return -1
		}
		return 1
	})
	for _, key := range keys {
		n.sendSum(key, sums[key])
	}
}

func (n *Node) sendSum(key holdingKey, h *Holding) {
	if h.Count > 0 || h.WaitingCount > 0 {
		n.empties[key] = emptySums
	}
	if key.owner == n.cfg.Box {
		if p := n.pools[key.set]; p != nil {
			p.Compare(n.now, key.owner, decide.Sum{Count: h.Count, Digest: h.Digest, WaitingCount: h.WaitingCount, WaitingDigest: h.WaitingDigest})
		}
		return
	}
	n.send(key.owner, h)
}

func (n *Node) addToSum(sums map[holdingKey]*Holding, l *local) {
	if l.owner == "" {
		return
	}
	key := holdingKey{l.owner, l.set}
	h := sums[key]
	if h == nil {
		h = &Holding{Set: l.set}
		sums[key] = h
	}
	switch {
	case l.state == stateWaiting:
		h.WaitingCount++
		h.WaitingDigest ^= l.req.ID
	case l.upstream != "":
		h.Count++
		h.Digest ^= l.slot
	}
}

// heldIn lists the slots that this box holds in a set at an owner.
func (n *Node) heldIn(set, owner string) []decide.Held {
	var out []decide.Held
	for _, l := range n.sorted(func(l *local) bool { return l.set == set && l.upstream != "" && !l.visiting }) {
		if l.owner == owner || owner == n.cfg.Box {
			out = append(out, l.held())
		}
	}
	return append(out, n.keptIn(set)...)
}

// held describes the request's lease to an owner.
func (l *local) held() decide.Held {
	return decide.Held{ID: l.slot, Upstream: l.upstream, Class: l.req.Class, Customer: l.req.Customer, Work: l.work, Attempt: l.slotAttempt}
}

func (n *Node) onHoldingAsk(from string, m *HoldingAsk) {
	n.sendFull(m.Set, from)
	for _, l := range n.sorted(func(l *local) bool {
		return l.set == m.Set && l.owner == from && l.state == stateWaiting
	}) {
		n.sendBid(l)
	}
}

// sendFull lists to an owner all that this box holds and waits for in a set.
func (n *Node) sendFull(set, owner string) {
	h := &Holding{Set: set, Full: true}
	for _, l := range n.sorted(func(l *local) bool { return l.set == set && l.owner == owner }) {
		n.addToSum(map[holdingKey]*Holding{{owner, set}: h}, l)
		switch {
		case l.state == stateWaiting:
			h.Waiting = append(h.Waiting, l.req.ID)
		case l.upstream != "":
			h.Held = append(h.Held, l.held())
		}
	}
	if owner == n.owners[set] {
		h.Held = append(h.Held, n.keptIn(set)...)
	}
	n.send(owner, h)
}

// tickFallback lets requests run in this box's own share of the slots while the
// owner is silent but not yet given up. The shares of all boxes add up to the
// slots, so the overshoot is bounded by what the others already hold.
func (n *Node) tickFallback() {
	for _, set := range n.sets() {
		owner := n.owners[set]
		p := n.members.peers[owner]
		if p == nil || n.now-p.direct < n.timing.OwnerSilent {
			continue
		}
		n.fallbackIn(set)
	}
}

func (n *Node) fallbackIn(set string) {
	// In a large domain news of the owner takes a while; only what has waited as
	// long as the owner was silent counts as unanswered.
	waiting := n.sorted(func(l *local) bool {
		return l.set == set && l.state == stateWaiting && !l.visiting && n.now-l.firstBid >= n.timing.OwnerSilent
	})
	if len(waiting) == 0 {
		return
	}
	held := make(map[string]int)
	for _, h := range n.heldIn(set, n.owners[set]) {
		held[h.Upstream]++
	}
	slices.SortStableFunc(waiting, func(a, b *local) int { return a.rule.Tier - b.rule.Tier })
	for _, b := range n.backends(set) {
		part := n.splitPart(b.Name, b.Slots)
		for !b.Leaving && held[b.Name] < part && len(waiting) > 0 {
			l := waiting[0]
			waiting = waiting[1:]
			held[b.Name]++
			l.fallback, l.slot, l.slotAttempt = true, l.req.ID, l.attempt
			n.lease(l, b.Name, n.now+n.timing.StartBy)
		}
	}
}
