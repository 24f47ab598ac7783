package group

// This file defines how boxes tell each other which limits upstreams name; how that reaches all of
// them stands in spread.go. An upstream tells only the boxes that it answers, and counts the requests of all.

import (
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// spreadOfLimits says how limits are told.
var spreadOfLimits = spreadOf[balance.LimitReport]{
	key:   func(x balance.LimitReport) uint64 { return uint64(x.Life) },
	same:  func(a, b balance.LimitReport) bool { return a.PerSecond == b.PerSecond && a.HasEnded == b.HasEnded },
	tells: func(balance.LimitReport) int { return spreadTells },
	pack:  packLimits,
}

func packLimits(m *wire.GroupMessage, list []balance.LimitReport, digest uint64, all bool) {
	m.AllLimits, m.LimitsDigest = all, digest
	for _, x := range list {
		m.Limits = append(m.Limits, &wire.GroupLimit{Life: x.Life, PerSecond: x.PerSecond, SinceAge: micros(x.Since),
			ReadAge: micros(x.Read), HasEnded: x.HasEnded, EndedAge: micros(x.Ended)})
	}
}

// SetLimits says what this box knows of limits, and which of them hold.
func (n *Node) SetLimits(known, inForce []balance.LimitReport) {
	n.limits.all, n.limits.digest = known, balance.DigestOfNamed(inForce)
}

// AnnounceLimits notes what is new, to be told. A member tells what it has read itself: all else comes from
// its lead, which told the others as well.
func (n *Node) AnnounceLimits(list []balance.LimitReport) {
	if n.IsLeader() {
		n.limits.tell(list)
		return
	}
	for _, x := range list {
		if x.Own {
			n.limits.tell([]balance.LimitReport{x})
		}
	}
}

// DrainLimits returns, once, what other boxes told.
func (n *Node) DrainLimits() []balance.LimitReport { return n.limits.drain() }

// FlushLimits tells what is new, unless that was done a moment ago.
func (n *Node) FlushLimits(now time.Duration) { n.limits.flush(n, now) }

// tellsLimits reports whether a message tells of limits, and nothing else.
func tellsLimits(m *wire.GroupMessage) bool { return m.AllLimits || len(m.Limits) > 0 }

// handleLimits takes in a message that tells of them.
func (n *Node) handleLimits(now time.Duration, m *wire.GroupMessage) {
	list := make([]balance.LimitReport, len(m.Limits))
	for i, x := range m.Limits {
		list[i] = balance.LimitReport{Life: x.Life, PerSecond: x.PerSecond, Since: fromMicros(x.SinceAge), Read: fromMicros(x.ReadAge),
			HasEnded: x.HasEnded, Ended: fromMicros(x.EndedAge)}
	}
	n.limits.handle(n, now, m.Sender, list, m.LimitsDigest, m.AllLimits)
}
