package cell

// This file defines how the table and the list reach every box: a few readers of
// the domain watch the platform, and what they adopt passes from box to box. The
// invariant: the revision in force on a box never goes back, whatever the
// platform or a peer serves.

import (
	"slices"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
)

// readers is how many boxes of a domain watch the platform.
const readers = 2

// Table returns the table in force, or nil.
func (n *Node) Table() *table.Table { return n.table }

// Roster returns the platform's list in force.
func (n *Node) Roster() Roster { return n.roster }

// SetTable offers the node a table that was read or pulled. It reports whether
// the table was adopted.
func (n *Node) SetTable(t *table.Table) bool {
	if n.table != nil && t.Revision <= n.table.Revision && !n.cfg.Unfenced.OldTables {
		return false
	}
	n.table = t
	n.record(timeline.Event{Kind: timeline.TableAdopted, Revision: t.Revision})
	n.resizeLimits()
	for set := range n.pools {
		n.configurePool(set)
	}
	n.reown()
	n.recheckLocals()
	for _, to := range n.spreadTo() {
		n.send(to, &TableOffer{Revision: t.Revision, Digest: t.Digest()})
	}
	n.flush()
	return true
}

// SetRoster offers the node a list that was read or pulled.
func (n *Node) SetRoster(r Roster) bool {
	if r.Revision <= n.roster.Revision {
		return false
	}
	n.roster = r
	n.inDomain = nil
	n.record(timeline.Event{Kind: timeline.ListAdopted, Revision: r.Revision})
	var own []BoxEntry
	for _, b := range r.Boxes {
		if b.Domain == n.cfg.Domain {
			own = append(own, b)
		}
	}
	n.members.list(own)
	n.observe()
	n.resizeLimits()
	for set := range n.pools {
		n.configurePool(set)
	}
	n.reown()
	if n.running {
		n.members.announce()
		n.sendHeartbeat(n.spreadTo())
	}
	n.flush()
	return true
}

// spreadTo picks the boxes that are told at once of a new revision. Heartbeats
// tell the rest.
func (n *Node) spreadTo() []string {
	return n.members.some(n.timing.Fanout + 1)
}

func (n *Node) onTableOffer(from string, o *TableOffer) {
	n.comparePublished(from, o.Revision, 0)
}

// comparePublished pulls from a box that has something newer.
func (n *Node) comparePublished(from string, tableRevision, rosterRevision uint64) {
	newer := rosterRevision > n.roster.Revision ||
		tableRevision > 0 && (n.table == nil || tableRevision > n.table.Revision)
	if newer && n.now >= n.pulling {
		n.pulling = n.now + n.timing.Pull
		n.act(Action{Kind: PullFrom, To: from})
	}
}

// PullDone tells the node that a pull has ended, with success or not.
func (n *Node) PullDone() { n.pulling = n.now }

// ReadDone tells the node how a read of the platform went. Since a read waits
// for something new, a reader reads again at once, and after a failure with a
// pause that keeps boxes apart.
func (n *Node) ReadDone(ok bool) {
	n.reading = false
	n.blind = !ok
	n.nextRead = n.now
	if !ok {
		n.nextRead += n.timing.Pull/2 + jitter(n, n.timing.Pull)
	}
}

// Reading reports whether this box is reading the platform.
func (n *Node) Reading() bool { return n.reading }

// readPublished starts a read of the platform if it is this box's to do.
func (n *Node) readPublished() {
	if n.reading || n.now < n.nextRead || !n.joined || !n.isReader() {
		return
	}
	n.reading = true
	n.act(Action{Kind: ReadPlatform})
}

// isReader reports whether this box watches the platform: it is one of the first
// in the domain that can see it, or it has no table and nobody to ask.
func (n *Node) isReader() bool {
	if n.cfg.Standalone {
		return true
	}
	able := n.members.candidates(n.draining)
	seeing := slices.DeleteFunc(slices.Clone(able), func(box string) bool {
		// A suspected reader is doubled at once: an extra watch costs little, and a
		// change must not wait until the suspicion is settled.
		p := n.members.peers[box]
		return p != nil && (p.blind || p.state != memberAlive)
	})
	if len(seeing) > 0 {
		able = seeing
	}
	if decide.Rank("platform", n.cfg.Box, able) < readers {
		return true
	}
	return n.table == nil && n.now-n.started > 2*n.timing.Join
}
