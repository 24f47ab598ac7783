package group

// This file defines until when a box that has started anew lacks the entries of the running boxes:
// contents and parts of prompts that are withheld, and limits of upstreams. The invariant: a box
// lacks entries from its start until its own match those of a box that it heard, and never for
// longer than maxEntriesWait.

import "time"

// maxEntriesWait bounds how long after its start a box lacks entries. Hello, answer, question and
// entries take four messages.
const maxEntriesWait = 200 * time.Millisecond

// LacksEntries reports whether this box may still lack entries of the running boxes, and should
// place no request yet.
func (n *Node) LacksEntries(now time.Duration) bool {
	if n.cfg.FirstStart || n.hasEntries || !n.hasOtherSeeds() {
		return false
	}
	n.hasEntries = now-n.started >= maxEntriesWait ||
		n.suspects.matchesHeard() && n.suspectParts.matchesHeard() && n.limits.matchesHeard()
	return !n.hasEntries
}

// matchesHeard reports whether another box was heard, and this box's entries are those that it had.
func (r *replicator[T]) matchesHeard() bool { return r.hasHeard && r.heardDigest == r.digest }
