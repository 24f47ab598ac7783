package cell

// This file defines kept slots: a slot whose answer is whole is used for the next
// request of the same set without asking the owner again, where the owner allows
// it. The invariants: a kept slot is counted in the sum that renews the leases,
// so the owner never grants it to another; it goes back when its time is over,
// when the owner recalls it, or when the owner changes.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/decide"
)

// keptSlot is a slot without a running answer.
type keptSlot struct {
	id       uint64 // of the lease
	attempt  uint32 // that it was granted for
	upstream string
	class    string // that it was granted for
	customer string
	prefix   uint64 // of the last prompt
	keep     time.Duration
	until    time.Duration
	end      time.Duration
}

// recallQuiet is how long after a recall nothing is kept.
const recallQuiet = time.Second

// keepSlot keeps the slot of an answered request, if the owner allowed it.
func (n *Node) keepSlot(l *local) bool {
	if l.keep == 0 || n.now >= l.slotEnd || l.visiting || l.fallback || n.draining || l.owner != n.owners[l.set] ||
		n.now-n.recalled[l.set] < recallQuiet && n.recalled[l.set] > 0 {
		return false
	}
	n.kept[l.set] = append(n.kept[l.set], keptSlot{l.slot, l.slotAttempt, l.upstream, l.req.Class, l.req.Customer, l.req.Prefix, l.keep, n.now + l.keep, l.slotEnd})
	return true
}

// useKept runs a request in a kept slot: one whose upstream has just served the
// same prefix, or else the newest.
func (n *Node) useKept(l *local) bool {
	list := n.kept[l.set]
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
	n.kept[l.set] = slices.Delete(list, best, best+1)
	l.step(eventBid)
	l.owner, l.firstBid = n.owners[l.set], n.now
	l.attempt++ // what it may have bid before is void
	l.slot, l.slotAttempt, l.keep, l.slotEnd = s.id, s.attempt, s.keep, s.end
	l.stopping, l.fallback = false, false
	l.work = n.expected(l)
	n.lease(l, s.upstream, n.now+n.timing.StartBy)
	return true
}

// bySlot finds the request that runs in a slot.
func (n *Node) bySlot(id uint64) *local {
	if l := n.locals[id]; l != nil && l.slot == id {
		return l
	}
	for _, l := range n.locals {
		if l.slot == id && l.upstream != "" {
			return l
		}
	}
	return nil
}

func (n *Node) onRecall(from string, m *Recall) {
	if from == n.owners[m.Set] {
		n.recalled[m.Set] = n.now
		n.returnKept(m.Set, func(keptSlot) bool { return true })
	}
}

// returnKept gives kept slots back to the owner.
func (n *Node) returnKept(set string, which func(keptSlot) bool) {
	list := n.kept[set]
	rest := list[:0]
	var back []keptSlot
	for _, s := range list {
		if which(s) {
			back = append(back, s)
		} else {
			rest = append(rest, s)
		}
	}
	n.kept[set] = rest
	for _, s := range back {
		n.deliver(n.owners[set], &Release{Set: set, ID: s.id, Upstream: s.upstream, Outcome: decide.Unused, Attempt: s.attempt})
		n.dirtyIfOwn(set)
	}
}

func (n *Node) dirtyIfOwn(set string) {
	if n.pools[set] != nil {
		n.dirty[set] = true
	}
}

// tickKept gives back the slots whose time is over.
func (n *Node) tickKept() {
	for _, set := range n.sets() {
		if len(n.kept[set]) > 0 {
			n.returnKept(set, func(s keptSlot) bool {
				return n.now >= s.until || n.draining || slices.Contains(n.roster.Leaving, s.upstream)
			})
		}
	}
}

// addKept counts the kept slots in the sums that renew the leases.
func (n *Node) addKept(sums map[holdingKey]*Holding) {
	for set, list := range n.kept {
		if len(list) == 0 || n.owners[set] == "" {
			continue
		}
		key := holdingKey{n.owners[set], set}
		if sums[key] == nil {
			sums[key] = &Holding{Set: set}
		}
		for _, s := range list {
			sums[key].Count++
			sums[key].Digest ^= s.id
		}
	}
}

// keptIn lists the kept slots of a set for a full list.
func (n *Node) keptIn(set string) []decide.HeldLease {
	var out []decide.HeldLease
	for _, s := range n.kept[set] {
		out = append(out, decide.HeldLease{ID: s.id, Upstream: s.upstream, Class: s.class, Customer: s.customer, Work: 1, Attempt: s.attempt})
	}
	return out
}
