package group

// This file defines who reads the publisher, and how often one tries that cannot. The
// invariant: a box that hears of no recent reading reads for itself once its knowledge is
// stale, however many boxes go before it.
//
// One box reads for all: the strongest lead that can. The other leads hear the changes and
// their age from it, and pass them on in their domains. A domain that is cut off hears no
// other lead, so that its own reads.

import (
	"time"

	"github.com/doormast/doormast/wire"
)

// maxStagger bounds the places that delay a box's own reading.
const maxStagger = 5

const (
	// firstReadPause is the pause after one reading that failed; each further failure
	// doubles it, up to one of the two below.
	firstReadPause = 250 * time.Millisecond
	// leadReadPause is the longest pause of a lead, whose domain waits for the publisher's
	// return, and of a box that knows nothing yet.
	leadReadPause = 500 * time.Millisecond
	// memberReadPause is the longest pause of the others, which only read because the lead
	// cannot, and would add nothing but load to a publisher that is down.
	memberReadPause = 2 * time.Second
)

// ShouldRead reports whether this box should read what is published itself.
func (n *Node) ShouldRead(now time.Duration) bool {
	t := n.cfg.Timing
	if !n.cfg.FirstStart && n.cfg.Mirror.Revision() == 0 {
		return n.readsAfterRestart(now)
	}
	if n.awaitsFirstPull(now) {
		return false
	}
	if n.readsForAll(now) {
		return now-n.started >= t.Settle || n.alone()
	}
	if n.leadIsBlind() && now-n.readOK < t.Readback {
		return true
	}
	// After a start, the reader is given its own time to settle and as much to read.
	known := max(n.confirmed, n.started-t.Stale+2*t.Settle)
	stale := now - known - t.Stale
	return stale > 0 && stale > time.Duration(min(n.place(), maxStagger))*t.Stagger
}

// firstPull is how long a box of a fleet's first start waits for what others know: no caller waits yet, and the pulls of
// hundreds of boxes take some seconds, while all of them that read by themselves would ask for each page.
const firstPull = 4 * time.Second

// awaitsFirstPull reports whether a box of a fleet's first start leaves the publisher to others: one was heard that knows
// what is published, and pulls from there have not failed.
func (n *Node) awaitsFirstPull(now time.Duration) bool {
	isFirst := n.cfg.FirstStart && n.cfg.Mirror.Revision() == 0
	return isFirst && n.pullsFrom >= 0 && !n.pullFails && now < n.pullsFrom+firstPull+n.share(firstPull)
}

// readsForAll reports whether this box is the strongest of the leads that can read.
func (n *Node) readsForAll(now time.Duration) bool {
	canRead := func(p *peer) bool { return p.reads }
	return n.IsLeader() && n.bestLead(now, canRead) == n.cfg.Self
}

// bestLead is the strongest of this domain's lead and those leads of other domains that are
// heard and fit.
func (n *Node) bestLead(now time.Duration, fits func(*peer) bool) *wire.GroupBox {
	best := n.lead()
	for _, p := range n.peers {
		if !n.sameDomain(p) && n.leadIsHeard(now, p) && fits(p) && better(p.box, best) {
			best = p.box
		}
	}
	return best
}

// leadIsHeard reports whether a peer leads a domain and was heard lately.
func (n *Node) leadIsHeard(now time.Duration, p *peer) bool {
	return p.leads && !p.leaving && now-p.heard < n.cfg.Timing.Silence
}

// WatchTimeout is how long this box's reading may wait for a change. Where other leads hear from
// it, that is a beat less, so that the members of their domains, who hear of it a beat later,
// know as much as they would from a reader of their own.
func (n *Node) WatchTimeout(now time.Duration) time.Duration {
	t := n.cfg.Timing
	for _, p := range n.peers {
		if !n.sameDomain(p) && n.leadIsHeard(now, p) {
			return t.Watch - t.Beat
		}
	}
	return t.Watch
}

// ReadBackoff is how long this box waits after its reading has failed so many times in
// a row.
func (n *Node) ReadBackoff(failures int) time.Duration {
	longest := memberReadPause
	if n.IsLeader() || n.cfg.Mirror.Revision() == 0 {
		longest = leadReadPause
	}
	pause := firstReadPause
	for ; failures > 1 && pause < longest; failures-- {
		pause *= 2
	}
	return min(pause, longest)
}

// alone reports whether there is nobody to wait for.
func (n *Node) alone() bool { return len(n.cfg.Seeds) == 0 }

// leadIsBlind reports whether the lead said last that it cannot read.
func (n *Node) leadIsBlind() bool {
	p := n.peers[n.LeaderName()]
	return p != nil && p.leads && !p.reads
}
