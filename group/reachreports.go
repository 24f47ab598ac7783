package group

// This file defines how boxes tell each other which upstreams they can no longer connect to, and
// which they have reached again; replicator.go defines how that reaches all boxes. The invariant:
// a leader sends these reports with at most listShare of its link; what does not fit is sent
// together with later ones. Lost reports are not repeated by a comparison of digests, since they
// are out of date within seconds.

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// reachSendCount is the number of messages that carry a report. A lost report costs a box a
// request.
const reachSendCount = 2

// maxBoxName bounds the box names accepted in reports, in bytes.
const maxBoxName = 100

// reachReplication defines how these reports are replicated.
var reachReplication = replicationRules[balance.ReachReport]{
	key:       reachReportKey,
	same:      func(a, b balance.ReachReport) bool { return a.Box == b.Box },
	sendCount: func(balance.ReachReport) int { return reachSendCount },
	aged:      balance.ReachReport.Aged,
	pack:      packReachReports,
}

// reachReportKey identifies an upstream and the kind of the report.
func reachReportKey(x balance.ReachReport) uint64 {
	const reached, verified, brittle, full, bits = 1, 2, 4, 8, 4
	key := uint64(x.Life) << bits
	if x.Reached {
		key |= reached
	}
	if x.Verified {
		key |= verified
	}
	if x.Brittle {
		key |= brittle
	}
	if x.Full {
		key |= full
	}
	return key
}

func packReachReports(m *wire.GroupMessage, list []balance.ReachReport, _ uint64, _ bool) {
	m.Partial = true // a box that does not know the reports reads the message as one without changed loads
	for _, x := range list {
		m.Reach = append(m.Reach, &wire.GroupReach{Life: x.Life, Reached: x.Reached, Verified: x.Verified, Brittle: x.Brittle, Rejects: uint32(x.Rejects), Full: x.Full, Age: micros(x.Age), Box: x.Box})
	}
}

// AnnounceReachReports queues reports to be sent. A member announces only what it observed itself:
// it learned all else from its leader, which told the other boxes too.
func (n *Node) AnnounceReachReports(now time.Duration, list []balance.ReachReport) {
	for _, x := range list {
		if x.Box != "" && !n.IsLeader() {
			continue
		}
		x.Box = cmp.Or(x.Box, n.cfg.Self.Name)
		n.reach.announce(now, []balance.ReachReport{x})
	}
}

// DrainReachReports returns the reports of other boxes since the last call.
func (n *Node) DrainReachReports() []balance.ReachReport { return n.reach.drain() }

// FlushReachReports sends queued reports, at most once per minFlushInterval and as far as the link
// allows.
func (n *Node) FlushReachReports(now time.Duration) {
	if len(n.reach.pending) == 0 || now-n.reach.lastFlush < minFlushInterval {
		return
	}
	if n.IsLeader() && !n.reachBudget.take(now, n.cfg.LinkRate, n.reachFlushSize(now)) {
		return
	}
	n.reach.flush(n, now)
}

// reachFlushSize returns the bytes that a leader sends with the next flush.
func (n *Node) reachFlushSize(now time.Duration) int {
	m := new(wire.GroupMessage)
	for _, x := range n.reach.pending[:min(len(n.reach.pending), maxEntriesPerMessage)] {
		packReachReports(m, []balance.ReachReport{x.entry}, 0, false)
	}
	return (len(n.members(now)) + len(n.otherLeaders(now))) * proto.Size(m)
}

// carriesReachReports reports whether a message carries these reports and nothing else.
func carriesReachReports(m *wire.GroupMessage) bool { return len(m.Reach) > 0 }

// handleReachReports processes a message with reports.
func (n *Node) handleReachReports(now time.Duration, m *wire.GroupMessage) {
	var list []balance.ReachReport
	for _, x := range m.Reach[:min(len(m.Reach), maxEntriesPerMessage)] {
		if len(x.Box) > maxBoxName || x.Box == n.cfg.Self.Name {
			continue // a leader sends a report back to its origin as well
		}
		list = append(list, balance.ReachReport{Life: x.Life, Reached: x.Reached, Verified: x.Reached && x.Verified, Brittle: x.Brittle, Rejects: int(x.Rejects), Full: x.Full, Age: fromMicros(x.Age), Box: cmp.Or(x.Box, m.Sender.Name)})
	}
	n.reach.handle(n, now, m.Sender, list, 0, false)
}
