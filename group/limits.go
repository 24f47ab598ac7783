package group

// This file defines how boxes tell each other which rate limits upstreams announce; replicator.go
// defines how that reaches all boxes. An upstream announces its limit only to the boxes it
// answers, but counts the requests of all.

import (
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// limitReplication defines how limits are replicated.
var limitReplication = replicationRules[balance.LimitReport]{
	key:       func(x balance.LimitReport) uint64 { return uint64(x.Life) },
	same:      func(a, b balance.LimitReport) bool { return a.PerSecond == b.PerSecond && a.HasEnded == b.HasEnded },
	sendCount: func(balance.LimitReport) int { return entrySendCount },
	aged:      balance.LimitReport.Aged,
	pack:      packLimits,
}

func packLimits(m *wire.GroupMessage, list []balance.LimitReport, digest uint64, all bool) {
	m.AllLimits, m.LimitsDigest = all, digest
	for _, x := range list {
		m.Limits = append(m.Limits, &wire.GroupLimit{Life: x.Life, PerSecond: x.PerSecond, SinceAge: micros(x.Since),
			ReadAge: micros(x.Read), HasEnded: x.HasEnded, EndedAge: micros(x.Ended)})
	}
}

// SetLimits sets all limits this box knows, and those of them in force.
func (n *Node) SetLimits(now time.Duration, known, inForce []balance.LimitReport) {
	n.limits.setAll(now, known, balance.LimitsDigest(inForce))
}

// AnnounceLimits queues new limits to be announced. A member announces only limits it read from
// an answer itself: it learned all others from its leader, which announced them to the other
// boxes too.
func (n *Node) AnnounceLimits(now time.Duration, list []balance.LimitReport) {
	if n.IsLeader() {
		n.limits.announce(now, list)
		return
	}
	for _, x := range list {
		if x.Own {
			n.limits.announce(now, []balance.LimitReport{x})
		}
	}
}

// DrainLimits returns the limits announced by other boxes since the last call.
func (n *Node) DrainLimits() []balance.LimitReport { return n.limits.drain() }

// FlushLimits sends queued limits, at most once per minFlushInterval.
func (n *Node) FlushLimits(now time.Duration) { n.limits.flush(n, now) }

// carriesLimits reports whether a message carries limits and nothing else.
func carriesLimits(m *wire.GroupMessage) bool { return m.AllLimits || len(m.Limits) > 0 }

// handleLimits processes a message with limits.
func (n *Node) handleLimits(now time.Duration, m *wire.GroupMessage) {
	list := make([]balance.LimitReport, len(m.Limits))
	for i, x := range m.Limits {
		list[i] = balance.LimitReport{Life: x.Life, PerSecond: x.PerSecond, Since: fromMicros(x.SinceAge), Read: fromMicros(x.ReadAge),
			HasEnded: x.HasEnded, Ended: fromMicros(x.EndedAge)}
	}
	n.limits.handle(n, now, m.Sender, list, m.LimitsDigest, m.AllLimits)
}
