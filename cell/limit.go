package cell

// This file defines how a box keeps the limits of classes and customers: by its
// own share, and by what others lend it. See package decide for why the shares
// never add up to more than the limit.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/table"
)

// limit is one limit as this box holds it.
type limit struct {
	share  *decide.Share
	kind   decide.LimitKind
	total  float64
	scope  table.Scope
	reason decide.Reason
	asked  map[string]time.Duration // when each peer was last asked
	next   int                      // peer to ask next
}

// limitKey names a limit between boxes.
func limitKey(what, name, kind string) string { return what + "/" + name + "/" + kind }

// limitsOf lists the limits that a request must pass. A concurrency comes before
// a rate, since it can be given back.
func (n *Node) limitsOf(l *local) []*limit {
	var out []*limit
	add := func(what, name, kind string, lk decide.LimitKind, total float64, scope table.Scope, reason decide.Reason) {
		if total > 0 {
			out = append(out, n.limit(limitKey(what, name, kind), lk, total, scope, reason))
		}
	}
	if c := n.customer(l.req.Customer); c != nil {
		add("customer", c.Name, "concurrency", decide.ConcurrencyLimit, float64(c.Concurrency), c.Scope, decide.OverCustomer)
		add("customer", c.Name, "rate", decide.RateLimit, c.Rate, c.Scope, decide.OverCustomer)
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

func (n *Node) limit(key string, kind decide.LimitKind, total float64, scope table.Scope, reason decide.Reason) *limit {
	m := n.limits[key]
	if m == nil {
		boxes, rank := n.division(key, scope)
		m = &limit{share: decide.NewShare(n.now, kind, total, boxes, rank), kind: kind, total: total,
			scope: scope, reason: reason, asked: make(map[string]time.Duration)}
		n.limits[key] = m
	}
	if m.total != total || m.scope != scope {
		m.total, m.scope = total, scope
		boxes, rank := n.division(key, scope)
		m.share.Resize(n.now, total, boxes, rank)
	}
	return m
}

// division says among how many boxes a limit is divided, and this box's place.
func (n *Node) division(key string, scope table.Scope) (boxes, rank int) {
	names := slices.Clone(n.listed())
	if scope == table.ScopeAll {
		for _, b := range n.roster.Boxes {
			if !slices.Contains(names, b.Name) {
				names = append(names, b.Name)
			}
		}
	}
	return len(names), decide.Rank(key, n.cfg.Box, names)
}

// resizeLimits divides all limits anew, after a change of the table or list.
func (n *Node) resizeLimits() {
	for key, m := range n.limits {
		boxes, rank := n.division(key, m.scope)
		m.share.Resize(n.now, m.total, boxes, rank)
	}
}

// takeLimits uses every limit of a request, or none and returns the one that is
// exhausted.
func (n *Node) takeLimits(l *local) *limit {
	for _, m := range n.limitsOf(l) {
		if !m.share.Acquire(n.now) {
			for _, t := range l.taken {
				t.share.Undo()
			}
			l.taken = l.taken[:0]
			return m
		}
		l.taken = append(l.taken, m)
	}
	return nil
}

func (n *Node) giveLimits(l *local) {
	for _, m := range l.taken {
		m.share.Release()
	}
	l.taken = nil
}

// park lets a request wait a moment for a borrowed share, if there is anybody to
// borrow from.
func (n *Node) park(l *local, m *limit) {
	live := n.members.live()
	if len(live) == 0 || n.cfg.Standalone {
		n.end(l, Final{Reason: m.reason, RetryAfter: m.share.RetryAfter(n.now)})
		return
	}
	l.parkedUntil = n.now + n.timing.LimitWait
	l.parkedFor = m
	n.parked = append(n.parked, l)
	n.ask(m, live)
}

// ask asks a few peers in turn to lend of a limit, each at most once in a loan's
// beginning.
func (n *Node) ask(m *limit, live []string) {
	key := n.keyOf(m)
	for range min(len(live), n.timing.Fanout) {
		peer := live[m.next%len(live)]
		m.next++
		if at, ok := m.asked[peer]; ok && n.now-at < n.timing.LimitWait/2 {
			continue
		}
		m.asked[peer] = n.now
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
	held := n.limits[m.Limit]
	if held == nil {
		held = n.limitByKey(m.Limit)
	}
	if held == nil {
		return
	}
	if amount := held.share.Lend(n.now, m.Want); amount > 0 {
		n.send(from, &Lend{Limit: m.Limit, Amount: amount, Life: decide.LoanLife})
	}
}

// limitByKey makes a limit that this box has not needed itself so far.
func (n *Node) limitByKey(key string) *limit {
	if n.table == nil {
		return nil
	}
	for _, c := range n.table.Customers {
		switch key {
		case limitKey("customer", c.Name, "rate"):
			return n.limit(key, decide.RateLimit, c.Rate, c.Scope, decide.OverCustomer)
		case limitKey("customer", c.Name, "concurrency"):
			return n.limit(key, decide.ConcurrencyLimit, float64(c.Concurrency), c.Scope, decide.OverCustomer)
		}
	}
	for _, c := range n.table.Classes {
		if key == limitKey("class", c.Name, "rate") {
			return n.limit(key, decide.RateLimit, c.Rate, c.Scope, decide.OverClassLimit)
		}
	}
	return nil
}

func (n *Node) onLend(from string, m *Lend) {
	held := n.limits[m.Limit]
	if held == nil {
		return
	}
	if asked, ok := held.asked[from]; ok {
		delete(held.asked, from)
		held.share.Borrow(n.now, asked, m.Amount, m.Life)
		n.tickParked()
	}
}

// tickParked tries the parked requests again and refuses those that have waited
// long enough.
func (n *Node) tickParked() {
	waiting := n.parked
	n.parked = nil
	for _, l := range waiting {
		if n.locals[l.req.ID] != l {
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
