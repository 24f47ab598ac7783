package cell

// This file defines kept slots: when an answer is complete, its slot is used
// for the next request of the same set without asking the owner again, if
// the owner allows it. Invariants: a kept slot is counted in the summary that
// renews the leases, so the owner does not grant it to another request; it
// is returned when its time has passed, when the owner recalls it, or when
// the owner changes.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/decide"
)

// keptSlot is a slot without a running answer.
type keptSlot struct {
	id        uint64 // of the lease
	attempt   uint32 // that it was granted for
	upstream  string
	class     string // that it was granted for
	customer  string
	prefix    uint64 // of the last prompt
	keepFor   time.Duration
	keptUntil time.Duration
	expires   time.Duration
}

// recallHoldoff is the time after a recall during which no slots are kept.
const recallHoldoff = time.Second

// keepSlot keeps the slot of an answered request, if the owner allows it.
func (n *Node) keepSlot(l *localRequest) bool {
	if l.keepFor == 0 || n.now >= l.slotExpires || l.inOtherDomain || l.fallback || n.draining || l.owner != n.owners[l.set] ||
		n.now-n.recalledAt[l.set] < recallHoldoff && n.recalledAt[l.set] > 0 {
		return false
	}
	n.keptSlots[l.set] = append(n.keptSlots[l.set], keptSlot{l.slot, l.slotAttempt, l.upstream, l.req.Class, l.req.Customer, l.req.Prefix, l.keepFor, n.now + l.keepFor, l.slotExpires})
	return true
}

// useKeptSlot runs a request in a kept slot: one whose upstream has last
// served the same prefix, or else the newest.
func (n *Node) useKeptSlot(l *localRequest) bool {
	list := n.keptSlots[l.set]
	if len(list) == 0 || l.resume != "" || l.rule.Concurrency != 0 {
		return false
	}
	best := len(list) - 1
	for i, s := range list {
		if l.req.Prefix != 0 && s.prefix == l.req.Prefix {
			best = i
		}
	}
	s := list[best]
	n.keptSlots[l.set] = slices.Delete(list, best, best+1)
	l.step(eventBid)
	l.owner, l.firstBid = n.owners[l.set], n.now
	l.attempt++ // invalidates its earlier bids
	l.slot, l.slotAttempt, l.keepFor, l.slotExpires = s.id, s.attempt, s.keepFor, s.expires
	l.cancelling, l.fallback = false, false
	l.work = n.expectedTokens(l)
	n.lease(l, s.upstream, n.now+n.timing.StartBy)
	return true
}

// requestInSlot returns the request that runs in a slot, or nil.
func (n *Node) requestInSlot(id uint64) *localRequest {
	if l := n.requests[id]; l != nil && l.slot == id {
		return l
	}
	for _, l := range n.requests {
		if l.slot == id && l.upstream != "" {
			return l
		}
	}
	return nil
}

func (n *Node) onRecall(from string, m *Recall) {
	if from == n.owners[m.Set] {
		n.recalledAt[m.Set] = n.now
		n.returnKeptSlots(m.Set, func(keptSlot) bool { return true })
	}
}

// returnKeptSlots returns to the owner the kept slots for which match
// returns true.
func (n *Node) returnKeptSlots(set string, match func(keptSlot) bool) {
	list := n.keptSlots[set]
	remaining := list[:0]
	var returned []keptSlot
	for _, s := range list {
		if match(s) {
			returned = append(returned, s)
		} else {
			remaining = append(remaining, s)
		}
	}
	n.keptSlots[set] = remaining
	for _, s := range returned {
		n.deliver(n.owners[set], &Release{Set: set, ID: s.id, Upstream: s.upstream, Outcome: decide.Unused, Attempt: s.attempt})
		n.markDirtyIfOwned(set)
	}
}

func (n *Node) markDirtyIfOwned(set string) {
	if n.pools[set] != nil {
		n.dirty[set] = true
	}
}

// tickKept returns the kept slots whose time has passed, and those of
// upstreams that are leaving. A draining box returns all.
func (n *Node) tickKept() {
	for _, set := range n.sets() {
		if len(n.keptSlots[set]) > 0 {
			n.returnKeptSlots(set, func(s keptSlot) bool {
				return n.now >= s.keptUntil || n.draining || slices.Contains(n.roster.Leaving, s.upstream)
			})
		}
	}
}

// addKeptToSummaries counts the kept slots in the summaries that renew the leases.
func (n *Node) addKeptToSummaries(summaries map[holdingKey]*Holding) {
	for set, list := range n.keptSlots {
		if len(list) == 0 || n.owners[set] == "" {
			continue
		}
		key := holdingKey{n.owners[set], set}
		if summaries[key] == nil {
			summaries[key] = &Holding{Set: set}
		}
		for _, s := range list {
			summaries[key].Count++
			summaries[key].Digest ^= s.id
		}
	}
}

// heldKeptSlots lists the kept slots of a set for a full Holding.
func (n *Node) heldKeptSlots(set string) []decide.HeldLease {
	var out []decide.HeldLease
	for _, s := range n.keptSlots[set] {
		out = append(out, decide.HeldLease{ID: s.id, Upstream: s.upstream, Class: s.class, Customer: s.customer, Work: 1, Attempt: s.attempt})
	}
	return out
}
