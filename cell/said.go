package cell

// This file defines what a box makes of what upstreams say of themselves in their answers. The invariants: a slot of an upstream that
// said something is not kept; and while the owner of a set is silent, this box's own share of its slots is not used.

import (
	"time"

	"github.com/doormast/doormast/decide"
)

// quietWhenLeaving is how long this box uses nothing of its own share of an upstream that is leaving: an owner that is silent for longer
// has been followed by another, who hears what boxes were told by reports.
const quietWhenLeaving = 10 * time.Second

// noteSaid notes what the upstream of a request said.
func (n *Node) noteSaid(l *local, s decide.AnswerNotice) {
	if !s.Any() {
		return
	}
	till := n.now + s.Pause
	if s.Leaving {
		till = max(till, n.now+quietWhenLeaving-s.Age)
	}
	n.quiet[l.upstream] = max(n.quiet[l.upstream], till)
	n.returnKept(l.set, func(k keptSlot) bool { return k.upstream == l.upstream })
}

// isQuiet reports whether an upstream gets nothing from this box's own share of its slots.
func (n *Node) isQuiet(upstream string) bool {
	till, known := n.quiet[upstream]
	if known && n.now >= till {
		delete(n.quiet, upstream)
		return false
	}
	return known
}
