package cell

// This file defines how a box enforces the limits of classes and customers:
// with its own share and with what other boxes lend it. Package decide
// explains why the shares never add up to more than the limit.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/table"
)

// limit is this box's share of a limit.
type limit struct {
	share    *decide.Share
	kind     decide.LimitKind
	total    float64
	scope    table.Scope
	reason   decide.Reason
	askedAt  map[string]time.Duration // by peer: when it was last asked for a loan
	nextPeer int                      // index of the next peer to ask
}

// limitKey returns the name of a limit in messages between boxes: the kind
// of its subject (customer or class), the subject's name, and the kind of limit.
func limitKey(subject, name, kind string) string { return subject + "/" + name + "/" + kind }

// limitsOf returns the limits that a request must pass. A concurrency limit
// comes before a rate limit, since it can be given back.
func (n *Node) limitsOf(l *localRequest) []*limit {
	var out []*limit
	add := func(subject, name, kind string, limitKind decide.LimitKind, total float64, scope table.Scope, reason decide.Reason) {
		if total > 0 {
			out = append(out, n.limitFor(limitKey(subject, name, kind), limitKind, total, scope, reason))
		}
	}
	if c := n.customer(l.req.Customer); c != nil {
		add("customer", c.Name, "concurrency", decide.ConcurrencyLimit, float64(c.Concurrency), c.Scope, decide.OverCustomerLimit)
		add("customer", c.Name, "rate", decide.RateLimit, c.Rate, c.Scope, decide.OverCustomerLimit)
	}
	if c := n.table.Class(l.req.Class); c != nil {
		add("class", c.Name, "rate", decide.RateLimit, c.Rate, c.Scope, decide.OverClassLimit)
	}
	return out
}

func (n *Node) customer(name string) *table.Customer {
	for i := range n.table.Customers {
		if n.table.Customers[i].Name == name {
			return &n.table.Customers[i]
		}
	}
	return nil
}

func (n *Node) limitFor(key string, kind decide.LimitKind, total float64, scope table.Scope, reason decide.Reason) *limit {
	m := n.limits[key]
	if m == nil {
		boxes, rank := n.division(key, scope)
		m = &limit{share: decide.NewShare(n.now, kind, total, boxes, rank), kind: kind, total: total,
			scope: scope, reason: reason, askedAt: make(map[string]time.Duration)}
		n.limits[key] = m
	}
	if m.total != total || m.scope != scope {
		m.total, m.scope = total, scope
		boxes, rank := n.division(key, scope)
		m.share.Resize(n.now, total, boxes, rank)
	}
	return m
}

// division returns the number of boxes that share a limit, and this box's
// rank among them.
func (n *Node) division(key string, scope table.Scope) (boxes, rank int) {
	names := slices.Clone(n.listedBoxes())
	if scope == table.ScopeAll {
		for _, b := range n.roster.Boxes {
			if !slices.Contains(names, b.Name) {
				names = append(names, b.Name)
			}
		}
	}
	return len(names), decide.Rank(key, n.cfg.Box, names)
}

// resizeLimits divides all limits again, after a change of the table or the
// list.
func (n *Node) resizeLimits() {
	for key, m := range n.limits {
		boxes, rank := n.division(key, m.scope)
		m.share.Resize(n.now, m.total, boxes, rank)
	}
}

// takeLimits takes from every limit of a request. If one is exhausted, it
// takes from none and returns that one.
func (n *Node) takeLimits(l *localRequest) *limit {
	for _, m := range n.limitsOf(l) {
		if !m.share.Acquire(n.now) {
			for _, t := range l.limitsTaken {
				t.share.Undo()
			}
			l.limitsTaken = l.limitsTaken[:0]
			return m
		}
		l.limitsTaken = append(l.limitsTaken, m)
	}
	return nil
}

func (n *Node) releaseLimits(l *localRequest) {
	for _, m := range l.limitsTaken {
		m.share.Release()
	}
	l.limitsTaken = nil
}

// park makes a request wait briefly for a borrowed share, if there is a box
// to borrow from.
func (n *Node) park(l *localRequest, m *limit) {
	live := n.members.live()
	if len(live) == 0 || n.cfg.Standalone {
		n.end(l, Final{Reason: m.reason, RetryAfter: m.share.RetryAfter(n.now)})
		return
	}
	l.parkedUntil = n.now + n.timing.LoanWait
	l.parkedFor = m
	n.parked = append(n.parked, l)
	n.requestLoan(m, live)
}

// requestLoan asks a few peers in turn to lend part of a limit. A peer is
// asked again only after half of LoanWait.
func (n *Node) requestLoan(m *limit, live []string) {
	key := n.keyOf(m)
	for range min(len(live), n.timing.Fanout) {
		peer := live[m.nextPeer%len(live)]
		m.nextPeer++
		if askedAt, ok := m.askedAt[peer]; ok && n.now-askedAt < n.timing.LoanWait/2 {
			continue
		}
		m.askedAt[peer] = n.now
		want := max(1, m.total/float64(len(live)+1)/2)
		n.send(peer, &Ask{Limit: key, Want: want})
	}
}

func (n *Node) keyOf(m *limit) string {
	for key, other := range n.limits {
		if other == m {
			return key
		}
	}
	return ""
}

func (n *Node) onAsk(from string, m *Ask) {
	lim := n.limits[m.Limit]
	if lim == nil {
		lim = n.limitByKey(m.Limit)
	}
	if lim == nil {
		return
	}
	if amount := lim.share.Lend(n.now, m.Want); amount > 0 {
		n.send(from, &Lend{Limit: m.Limit, Amount: amount, Life: decide.LoanLife})
	}
}

// limitByKey returns a limit that this box has not used itself so far, or
// nil if the table has no such limit.
func (n *Node) limitByKey(key string) *limit {
	if n.table == nil {
		return nil
	}
	for _, c := range n.table.Customers {
		switch key {
		case limitKey("customer", c.Name, "rate"):
			return n.limitFor(key, decide.RateLimit, c.Rate, c.Scope, decide.OverCustomerLimit)
		case limitKey("customer", c.Name, "concurrency"):
			return n.limitFor(key, decide.ConcurrencyLimit, float64(c.Concurrency), c.Scope, decide.OverCustomerLimit)
		}
	}
	for _, c := range n.table.Classes {
		if key == limitKey("class", c.Name, "rate") {
			return n.limitFor(key, decide.RateLimit, c.Rate, c.Scope, decide.OverClassLimit)
		}
	}
	return nil
}

func (n *Node) onLend(from string, m *Lend) {
	lim := n.limits[m.Limit]
	if lim == nil {
		return
	}
	if askedAt, ok := lim.askedAt[from]; ok {
		delete(lim.askedAt, from)
		lim.share.Borrow(n.now, askedAt, m.Amount, m.Life)
		n.tickParked()
	}
}

// tickParked tries the parked requests again, and refuses those whose
// waiting time has passed.
func (n *Node) tickParked() {
	waiting := n.parked
	n.parked = nil
	for _, l := range waiting {
		if n.requests[l.req.ID] != l {
			continue
		}
		m := n.takeLimits(l)
		switch {
		case m == nil:
			n.claimOrBid(l)
		case n.now >= l.parkedUntil:
			n.end(l, Final{Reason: m.reason, RetryAfter: m.share.RetryAfter(n.now)})
		default:
			n.parked = append(n.parked, l)
		}
	}
}
