package group

// This file defines how boxes tell each other which requests upstreams end under; how that reaches all
// of them stands in spread.go. Each box would else find out for itself, at the cost of the upstreams that end under its
// own runs.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// spreadOfSuspects says how such requests are told.
var spreadOfSuspects = spreadOf[balance.Suspect]{
	key:   func(x balance.Suspect) uint64 { return x.Content },
	same:  func(a, b balance.Suspect) bool { return a.Round == b.Round && slices.Equal(a.Ended, b.Ended) },
	tells: tellsOf,
	pack:  packSuspects,
}

// tellsOf is how many messages tell a thing. That a first upstream has ended is told once: where one ends it
// is so of all that ran there, 50 boxes' worth in a domain of 100, and a loss costs one more end.
func tellsOf(x balance.Suspect) int {
	if len(x.Ended) == 1 {
		return 1
	}
	return spreadTells
}

func packSuspects(m *wire.GroupMessage, list []balance.Suspect, digest uint64, all bool) {
	m.AllWithheld, m.WithheldDigest = all, digest
	for _, x := range list {
		m.Suspects = append(m.Suspects, &wire.GroupSuspect{Content: x.Content, Ended: x.Ended, Round: x.Round, Age: micros(x.Age)})
	}
}

// SetWithheld says what this box withholds.
func (n *Node) SetWithheld(list []balance.Suspect) {
	n.suspects.all, n.suspects.digest = list, balance.DigestOf(list)
}

// AnnounceSuspects notes what is new, to be told.
func (n *Node) AnnounceSuspects(list []balance.Suspect) { n.suspects.tell(list) }

// DrainSuspects returns, once, what other boxes told.
func (n *Node) DrainSuspects() []balance.Suspect { return n.suspects.drain() }

// FlushSuspects tells what is new, unless that was done a moment ago.
func (n *Node) FlushSuspects(now time.Duration) { n.suspects.flush(n, now) }

// tellsSuspects reports whether a message tells of requests that upstreams end under, and nothing else.
func tellsSuspects(m *wire.GroupMessage) bool { return m.AllWithheld || len(m.Suspects) > 0 }

// handleSuspects takes in a message that tells of them.
func (n *Node) handleSuspects(now time.Duration, m *wire.GroupMessage) {
	list := make([]balance.Suspect, len(m.Suspects))
	for i, x := range m.Suspects {
		ended := slices.Compact(slices.Sorted(slices.Values(x.Ended)))
		list[i] = balance.Suspect{Content: x.Content, Ended: ended, Round: x.Round, Age: fromMicros(x.Age)}
	}
	n.suspects.handle(n, now, m.Sender, list, m.WithheldDigest, m.AllWithheld)
}
