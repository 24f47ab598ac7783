package group

// This file defines which box reads the publisher, and how often a box that fails to read
// retries. The invariant: a box that hears of no recent read reads the publisher itself once its
// copy is stale, however many stronger boxes there are.
//
// One box reads for the whole fleet: the strongest leader that can. The other leaders receive the
// changes and their age from it and forward them within their domains. A domain that is cut off
// hears no other leader, so its own leader reads.

import (
	"time"

	"github.com/doormast/doormast/wire"
)

// maxStaggerRank bounds the rank used to delay a box's own read.
const maxStaggerRank = 5

const (
	// firstReadBackoff is the delay after the first failed read. Each further failure doubles it,
	// up to one of the two limits below.
	firstReadBackoff = 250 * time.Millisecond
	// maxLeaderReadBackoff is the longest delay of a leader, whose whole domain waits for the
	// publisher to return, and of a box that holds no published data yet.
	maxLeaderReadBackoff = 500 * time.Millisecond
	// maxMemberReadBackoff is the longest delay of other boxes. They read only because the leader
	// cannot, and would add load to a publisher that is down.
	maxMemberReadBackoff = 2 * time.Second
)

// ShouldRead reports whether this box should read the publisher now.
func (n *Node) ShouldRead(now time.Duration) bool {
	t := n.cfg.Timing
	if !n.cfg.FirstStart && n.cfg.Mirror.Revision() == 0 {
		return n.readsAfterRestart(now)
	}
	if n.awaitsFirstPull(now) {
		return false
	}
	if n.isFleetReader(now) {
		return now-n.started >= t.StartupSettle || n.hasNoSeeds()
	}
	if n.leaderCannotRead() && now-n.lastReadAt < t.DelegatedReadPeriod {
		return true
	}
	// After a start, the reader gets its own settle time and as much again for the read.
	known := max(n.confirmedAt, n.started-t.StaleAfter+2*t.StartupSettle)
	stale := now - known - t.StaleAfter
	return stale > 0 && stale > time.Duration(min(n.rank(), maxStaggerRank))*t.Stagger
}

// firstPullWait is how long a box waits for a pull at the first start of a fleet. No callers are
// waiting yet. The pulls of hundreds of boxes take some seconds, and if all of them read the
// publisher instead, each would request every page.
const firstPullWait = 4 * time.Second

// awaitsFirstPull reports whether this box, at the first start of a fleet, leaves reading to
// others: a box that holds the published data was heard, and no pull has failed.
func (n *Node) awaitsFirstPull(now time.Duration) bool {
	fleetStart := n.cfg.FirstStart && n.cfg.Mirror.Revision() == 0
	return fleetStart && n.pullWaitFrom >= 0 && !n.pullFailed && now < n.pullWaitFrom+firstPullWait+n.jitter(firstPullWait)
}

// isFleetReader reports whether this box is the strongest leader that can read the publisher.
func (n *Node) isFleetReader(now time.Duration) bool {
	canRead := func(p *peer) bool { return p.canRead }
	return n.IsLeader() && n.strongestLeaderWhere(now, canRead) == n.cfg.Self
}

// strongestLeaderWhere returns the strongest box among this domain's leader and the active
// leaders of other domains for which fits returns true.
func (n *Node) strongestLeaderWhere(now time.Duration, fits func(*peer) bool) *wire.GroupBox {
	best := n.leader()
	for _, p := range n.peers {
		if !n.sameDomain(p) && n.isActiveLeader(now, p) && fits(p) && stronger(p.box, best) {
			best = p.box
		}
	}
	return best
}

// isActiveLeader reports whether a peer leads a domain and was heard within the leader timeout.
func (n *Node) isActiveLeader(now time.Duration, p *peer) bool {
	return p.isLeader && !p.leaving && now-p.lastHeard < n.cfg.Timing.LeaderTimeout
}

// WatchTimeout returns how long this box's call to the publisher may wait for a change: until the copy
// is as old as it may get while a box reads. A box that takes over reading has an older copy and does not
// wait, as nobody knows whether the publisher answers. If other leaders depend on its reads, the wait is
// one heartbeat shorter: members of their domains learn the result one heartbeat later and so see the
// same age as with a reader of their own.
func (n *Node) WatchTimeout(now time.Duration) time.Duration {
	t := n.cfg.Timing
	longest := t.WatchTimeout
	for _, p := range n.peers {
		if !n.sameDomain(p) && n.isActiveLeader(now, p) {
			longest = t.WatchTimeout - t.HeartbeatInterval
			break
		}
	}
	return max(0, longest-(now-n.confirmedAt))
}

// ReadBackoff returns the delay before the next read after the given number of consecutive
// failures.
func (n *Node) ReadBackoff(failures int) time.Duration {
	longest := maxMemberReadBackoff
	if n.IsLeader() || n.cfg.Mirror.Revision() == 0 {
		longest = maxLeaderReadBackoff
	}
	pause := firstReadBackoff
	for ; failures > 1 && pause < longest; failures-- {
		pause *= 2
	}
	return min(pause, longest)
}

// hasNoSeeds reports whether there are no other boxes to wait for.
func (n *Node) hasNoSeeds() bool { return len(n.cfg.Seeds) == 0 }

// cannotRead reports whether this box failed to read the publisher lately. A box that is to read tries
// again sooner than that; one that no longer is does not know.
func (n *Node) cannotRead(now time.Duration) bool {
	return n.readFailed && now-n.readFailedAt < n.cfg.Timing.DelegatedReadPeriod
}

// leaderCannotRead reports whether the leader's last message said that it cannot read the
// publisher.
func (n *Node) leaderCannotRead() bool {
	p := n.peers[n.LeaderName()]
	return p != nil && p.isLeader && !p.canRead
}
