package group

// This file defines which boxes read the publisher after a restart, when a box holds no data yet
// and has callers waiting. The invariants: a box that hears of no reader and of no box with data
// starts to read within a bounded time. A box that hears of one leaves the publisher to it.
//
// After a restart of all boxes at once none of them holds any data. If each read the publisher,
// calls would exceed their time limit and no read would finish. So the seeds, which all boxes
// contact, read first, and each box that has the data passes it on.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/wire"
)

const (
	// The values of GroupMessage.reading.
	senderReads, senderHearsReader = 1, 2
	// readTurnSpread is the period over which boxes that hear of no reader start to read. The
	// first readers need about that long to become known through their leaders.
	readTurnSpread = time.Second
	// pullTurnDelay delays the read of a box whose pull takes long, by this much per known peer,
	// averaged over two boxes; maxPullTurnDelay bounds the delay.
	pullTurnDelay, maxPullTurnDelay = 20 * time.Millisecond, time.Second
	// helloRetryInterval is the time between hellos of a box that has heard no other box yet,
	// since seeds may start somewhat later.
	helloRetryInterval = 200 * time.Millisecond
)

// readsAfterRestart reports whether a box without data should read the publisher. It first gives
// the others time to answer, and waits while it hears of a reader.
func (n *Node) readsAfterRestart(now time.Duration) bool {
	if n.hasNoSeeds() || n.readStarted || n.pullFailed {
		n.readStarted = true
		return true
	}
	n.readStarted = now >= n.readTurn()
	return n.readStarted
}

// readTurn returns the time from which a box without data reads the publisher.
func (n *Node) readTurn() time.Duration {
	t := n.cfg.Timing
	turn := n.started + t.RestartWait
	if n.pullWaitFrom >= 0 { // some box has the data
		delay := min(time.Duration(len(n.peers)-1)*pullTurnDelay, maxPullTurnDelay)
		return max(turn, n.pullWaitFrom+t.PullWait+n.jitter(max(delay, 0)))
	}
	if n.isSeed() {
		return turn
	}
	turn += n.jitter(readTurnSpread)
	if n.readerHeardAt >= 0 {
		turn = max(turn, n.readerHeardAt+t.LeaderTimeout+n.jitter(readTurnSpread))
	}
	return turn
}

// isSeed reports whether this box is one of the seeds.
func (n *Node) isSeed() bool { return slices.Contains(n.cfg.Seeds, n.cfg.Self.Address) }

// restartedEmpty reports whether this box has restarted and holds no published data yet.
func (n *Node) restartedEmpty() bool { return !n.cfg.FirstStart && n.cfg.Mirror.Revision() == 0 }

// readingStatus returns the value of GroupMessage.reading. A seed announces that it reads from
// its start, before its turn.
func (n *Node) readingStatus(now time.Duration) uint32 {
	switch {
	case !n.restartedEmpty():
		return 0
	case !n.readFailed && (n.readStarted || n.isSeed()):
		return senderReads
	case now-n.readerHeardDirectlyAt < n.cfg.Timing.LeaderTimeout:
		return senderHearsReader
	}
	return 0
}

// recordReadingStatus records what a message says about readers. Second-hand information is not
// passed on, so that two boxes do not keep telling each other about a third that has stopped.
func (n *Node) recordReadingStatus(now time.Duration, m *wire.GroupMessage) {
	if m.Reading == 0 {
		return
	}
	n.readerHeardAt = now
	if m.Reading == senderReads {
		n.readerHeardDirectlyAt = now
	}
}

// retryHello sends another hello to the seeds while no box has answered.
func (n *Node) retryHello(now time.Duration) {
	if !n.restartedEmpty() || len(n.peers) > 0 || now-n.lastHelloAt < helloRetryInterval {
		return
	}
	n.lastHelloAt = now
	n.sendHello(now)
}
