package group

// This file defines how boxes tell each other which requests upstreams crash under; replicator.go
// defines how that reaches all boxes. Otherwise each box would have to find out by itself, at the
// cost of the upstreams that crash under its own requests.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// suspectReplication defines how these requests are replicated.
var suspectReplication = replicationRules[balance.Suspect]{
	key:       func(x balance.Suspect) uint64 { return x.Content },
	same:      func(a, b balance.Suspect) bool { return a.Round == b.Round && slices.Equal(a.Ended, b.Ended) },
	sendCount: suspectSendCount,
	aged:      balance.Suspect.Aged,
	pack:      packSuspects,
}

// suspectSendCount returns the number of messages that carry an entry. The crash of a first
// upstream is sent once: a crash affects all requests in progress there, which is about 50 boxes
// in a domain of 100, and a lost message costs one more crash.
func suspectSendCount(x balance.Suspect) int {
	if len(x.Ended) == 1 {
		return 1
	}
	return entrySendCount
}

func packSuspects(m *wire.GroupMessage, list []balance.Suspect, digest uint64, all bool) {
	m.AllWithheld, m.WithheldDigest = all, digest
	for _, x := range list {
		m.Suspects = append(m.Suspects, &wire.GroupSuspect{Content: x.Content, Ended: x.Ended, Round: x.Round, Age: micros(x.Age)})
	}
}

// SetWithheld sets the requests that this box withholds from upstreams.
func (n *Node) SetWithheld(now time.Duration, list []balance.Suspect) {
	n.suspects.setAll(now, list, balance.SuspectsDigest(list))
}

// AnnounceSuspects queues new entries to be announced.
func (n *Node) AnnounceSuspects(now time.Duration, list []balance.Suspect) {
	n.suspects.announce(now, list)
}

// DrainSuspects returns the entries announced by other boxes since the last call.
func (n *Node) DrainSuspects() []balance.Suspect { return n.suspects.drain() }

// FlushSuspects sends queued entries, at most once per minFlushInterval.
func (n *Node) FlushSuspects(now time.Duration) { n.suspects.flush(n, now) }

// carriesSuspects reports whether a message carries suspects and nothing else.
func carriesSuspects(m *wire.GroupMessage) bool { return m.AllWithheld || len(m.Suspects) > 0 }

// handleSuspects processes a message with suspects.
func (n *Node) handleSuspects(now time.Duration, m *wire.GroupMessage) {
	list := make([]balance.Suspect, len(m.Suspects))
	for i, x := range m.Suspects {
		ended := slices.Compact(slices.Sorted(slices.Values(x.Ended)))
		list[i] = balance.Suspect{Content: x.Content, Ended: ended, Round: x.Round, Age: fromMicros(x.Age)}
	}
	n.suspects.handle(n, now, m.Sender, list, m.WithheldDigest, m.AllWithheld)
}
