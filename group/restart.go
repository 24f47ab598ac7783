package group

// This file defines who reads the publisher after a restart, when a box knows nothing yet and
// has callers waiting. The invariants: a box that hears of nobody who reads or knows begins
// itself within a bounded time; and one that hears of somebody leaves the publisher to them.
//
// After all boxes were killed at once nobody knows anything. If each read for itself, calls would wait longer
// than one may take, and none would come to the end of its reading. So the seeds read,
// whom all ask; and each that knows hands on what it knows.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/wire"
)

const (
	// The values of GroupMessage.reading.
	readsItself, hearsReader = 1, 2
	// turnSpread is within how long boxes that hear of nobody who reads begin to: it takes
	// the first ones that long to make themselves known to the others through their leads.
	turnSpread = time.Second
	// pullSpread is by how much the turn of a box whose pull takes long is put off for each
	// box that it knows of, on the mean of two; pullSpreadMost is the most of it.
	pullSpread, pullSpreadMost = 20 * time.Millisecond, time.Second
	// hailPause is between two hails of a box that has heard nobody yet: the seeds may start
	// somewhat later than others.
	hailPause = 200 * time.Millisecond
)

// readsAfterRestart reports whether a box that knows nothing yet reads: not before the others
// had time to answer, and not while it hears of one that does so.
func (n *Node) readsAfterRestart(now time.Duration) bool {
	if n.alone() || n.readsAll || n.pullFails {
		n.readsAll = true
		return true
	}
	n.readsAll = now >= n.turn()
	return n.readsAll
}

// turn is from when on a box that knows nothing reads.
func (n *Node) turn() time.Duration {
	t := n.cfg.Timing
	turn := n.started + t.Others
	if n.pullsFrom >= 0 { // somebody knows
		most := min(time.Duration(len(n.peers)-1)*pullSpread, pullSpreadMost)
		return max(turn, n.pullsFrom+t.Pull+n.share(max(most, 0)))
	}
	if n.isSeed() {
		return turn
	}
	turn += n.share(turnSpread)
	if n.hearsReading >= 0 {
		turn = max(turn, n.hearsReading+t.Silence+n.share(turnSpread))
	}
	return turn
}

// isSeed reports whether other boxes ask this one first.
func (n *Node) isSeed() bool { return slices.Contains(n.cfg.Seeds, n.cfg.Self.Address) }

// unknowing reports whether this box has restarted and knows nothing yet.
func (n *Node) unknowing() bool { return !n.cfg.FirstStart && n.cfg.Mirror.Revision() == 0 }

// tellsReading is what a message says of who reads. A seed says so from its start on, before
// its turn comes.
func (n *Node) tellsReading(now time.Duration) uint32 {
	switch {
	case !n.unknowing():
		return 0
	case !n.readFails && (n.readsAll || n.isSeed()):
		return readsItself
	case now-n.directly < n.cfg.Timing.Silence:
		return hearsReader
	}
	return 0
}

// hearReading takes in what a message says of who reads. What was heard at second hand is not
// passed on, so that no two boxes go on telling each other of a third that has ended.
func (n *Node) hearReading(now time.Duration, m *wire.GroupMessage) {
	if m.Reading == 0 {
		return
	}
	n.hearsReading = now
	if m.Reading == readsItself {
		n.directly = now
	}
}

// hailAgain asks the seeds once more, while nobody has answered.
func (n *Node) hailAgain(now time.Duration) {
	if !n.unknowing() || len(n.peers) > 0 || now-n.lastHail < hailPause {
		return
	}
	n.lastHail = now
	n.hail(now)
}
