package cell

// This file defines how the table and the list of boxes reach every box: a
// few readers of the domain watch the platform, and what they adopt passes
// from box to box. Invariant: the revision in force on a box never
// decreases, whatever the platform or a peer serves.

import (
	"slices"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
)

// readersPerDomain is the number of boxes of a domain that watch the
// platform.
const readersPerDomain = 2

// Table returns the table in force, or nil.
func (n *Node) Table() *table.Table { return n.table }

// Roster returns the platform's list in force.
func (n *Node) Roster() Roster { return n.roster }

// SetTable offers the node a table that was read or pulled. It reports
// whether the table was adopted.
func (n *Node) SetTable(t *table.Table) bool {
	if n.table != nil && t.Revision <= n.table.Revision && !n.cfg.Disabled.RevisionCheck {
		return false
	}
	n.table = t
	n.record(timeline.Event{Kind: timeline.TableAdopted, Revision: t.Revision})
	n.resizeLimits()
	for set := range n.pools {
		n.configurePool(set)
	}
	n.updateOwners()
	n.recheckRequests()
	for _, to := range n.newRevisionTargets() {
		n.send(to, &TableOffer{Revision: t.Revision, Digest: t.Digest()})
	}
	n.flush()
	return true
}

// SetRoster offers the node a list that was read or pulled. It reports
// whether the list was adopted.
func (n *Node) SetRoster(r Roster) bool {
	if r.Revision <= n.roster.Revision {
		return false
	}
	n.roster = r
	n.domainBoxes = nil
	n.record(timeline.Event{Kind: timeline.ListAdopted, Revision: r.Revision})
	var domainBoxes []BoxEntry
	for _, b := range r.Boxes {
		if b.Domain == n.cfg.Domain {
			domainBoxes = append(domainBoxes, b)
		}
	}
	n.members.setListed(domainBoxes)
	n.observe()
	n.resizeLimits()
	for set := range n.pools {
		n.configurePool(set)
	}
	n.updateOwners()
	if n.running {
		n.members.announce()
		n.sendHeartbeat(n.newRevisionTargets())
	}
	n.flush()
	return true
}

// newRevisionTargets chooses the boxes that are told of a new revision at
// once. The others learn of it from heartbeats.
func (n *Node) newRevisionTargets() []string {
	return n.members.randomLive(n.timing.Fanout + 1)
}

func (n *Node) onTableOffer(from string, o *TableOffer) {
	n.comparePublished(from, o.Revision, 0)
}

// comparePublished pulls from a box that has a newer revision.
func (n *Node) comparePublished(from string, tableRevision, rosterRevision uint64) {
	newer := rosterRevision > n.roster.Revision ||
		tableRevision > 0 && (n.table == nil || tableRevision > n.table.Revision)
	if newer && n.now >= n.pullDeadline {
		n.pullDeadline = n.now + n.timing.PullTimeout
		n.addAction(Action{Kind: PullFrom, To: from})
	}
}

// PullDone tells the node that a pull has ended, successfully or not.
func (n *Node) PullDone() { n.pullDeadline = n.now }

// ReadDone tells the node whether a read of the platform succeeded. A read
// blocks until there is something new, so a reader reads again at once;
// after a failure it waits for a random time, so that boxes do not retry
// together.
func (n *Node) ReadDone(ok bool) {
	n.readInProgress = false
	n.platformUnreachable = !ok
	n.nextRead = n.now
	if !ok {
		n.nextRead += n.timing.PullTimeout/2 + jitter(n, n.timing.PullTimeout)
	}
}

// Reading reports whether a read of the platform is in progress.
func (n *Node) Reading() bool { return n.readInProgress }

// readPublished starts a read of the platform if this box is a reader.
func (n *Node) readPublished() {
	if n.readInProgress || n.now < n.nextRead || !n.joined || !n.isReader() {
		return
	}
	n.readInProgress = true
	n.addAction(Action{Kind: ReadPlatform})
}

// isReader reports whether this box watches the platform: it is among the
// first boxes of the domain that can reach it, or it still has no table
// after twice the listening period.
func (n *Node) isReader() bool {
	if n.cfg.Standalone {
		return true
	}
	candidates := n.members.candidates(n.draining)
	connected := slices.DeleteFunc(slices.Clone(candidates), func(box string) bool {
		// A suspected reader is replaced at once: an additional watch costs
		// little, and a change must not wait until the suspicion is settled.
		p := n.members.peers[box]
		return p != nil && (p.blind || p.state != memberAlive)
	})
	if len(connected) > 0 {
		candidates = connected
	}
	if decide.Rank("platform", n.cfg.Box, candidates) < readersPerDomain {
		return true
	}
	return n.table == nil && n.now-n.joinStarted > 2*n.timing.JoinWait
}
