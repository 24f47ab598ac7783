package group

// This file defines who reads the publisher, and how often one tries that cannot. The
// invariant: a box that hears neither a lead nor another reader reads for itself once
// its knowledge is stale, however many boxes go before it.

import "time"

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

// Reads reports whether this box should read what is published itself.
func (n *Node) Reads(now time.Duration) bool {
	t := n.cfg.Timing
	if !n.cfg.FirstStart && n.cfg.Mirror.Revision() == 0 {
		return true
	}
	if n.Leads() {
		return now-n.started >= t.Settle || n.alone()
	}
	if n.leadIsBlind() && now-n.readOK < t.Readback {
		return true
	}
	// After a start, the lead is given its own time to settle and as much to read.
	known := max(n.confirmed, n.started-t.Stale+2*t.Settle)
	return now-known > t.Stale+time.Duration(min(n.place(), maxStagger))*t.Stagger
}

// ReadPause is how long this box waits after its reading has failed so many times in
// a row.
func (n *Node) ReadPause(failures int) time.Duration {
	longest := memberReadPause
	if n.Leads() || n.cfg.Mirror.Revision() == 0 {
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
	p := n.peers[n.Lead()]
	return p != nil && p.leads && !p.reads
}
