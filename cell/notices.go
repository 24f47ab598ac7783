package cell

// This file defines how a box acts on what upstreams report of themselves in
// their answers. Invariants: a slot of an upstream that reported something
// is not kept; and while the owner of a set is silent, this box does not use
// its own share of that upstream's slots.

import (
	"time"

	"github.com/doormast/doormast/decide"
)

// leavingHoldoff is how long this box does not use its own share of an
// upstream that is leaving. If the owner is silent for longer, another box
// has become owner and learns of the leaving from the upstream's report.
const leavingHoldoff = 10 * time.Second

// noteUpstreamNotice records what the upstream of a request reported of
// itself.
func (n *Node) noteUpstreamNotice(l *localRequest, s decide.AnswerNotice) {
	if !s.HasContent() {
		return
	}
	blockedUntil := n.now + s.Pause
	if s.Leaving {
		blockedUntil = max(blockedUntil, n.now+leavingHoldoff-s.Age)
	}
	n.ownShareBlocked[l.upstream] = max(n.ownShareBlocked[l.upstream], blockedUntil)
	n.returnKeptSlots(l.set, func(k keptSlot) bool { return k.upstream == l.upstream })
}

// isOwnShareBlocked reports whether this box must not use its own share of
// an upstream's slots.
func (n *Node) isOwnShareBlocked(upstream string) bool {
	blockedUntil, known := n.ownShareBlocked[upstream]
	if known && n.now >= blockedUntil {
		delete(n.ownShareBlocked, upstream)
		return false
	}
	return known
}
