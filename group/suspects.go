package group

// This file defines how boxes tell each other which requests, and which parts of prompts, upstreams
// crash under; replicator.go
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

// partReplication defines how parts of prompts that upstreams crash under are replicated. Boxes
// that know only whole requests ignore these messages.
var partReplication = replicationRules[balance.Suspect]{
	key:       func(x balance.Suspect) uint64 { return x.Content ^ uint64(x.Service)<<32 },
	same:      samePart,
	sendCount: partSendCount,
	weight:    func(x balance.Suspect) int { return 1 + len(x.Ended)/crashesPerWeight },
	aged:      balance.Suspect.Aged,
	pack:      packParts,
}

// crashesPerWeight is how many crashes of a part take as much of a message as the rest of it.
const crashesPerWeight = 3

// samePart reports whether two entries tell the same crashes and succession, and both or neither of them answers.
func samePart(a, b balance.Suspect) bool {
	return a.Round == b.Round && slices.Equal(a.Ended, b.Ended) && a.InSuccession == b.InSuccession && (a.SoundAge > 0) == (b.SoundAge > 0)
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

// partSendCount is suspectSendCount for parts. Each crash and each answer after it concerns popular
// parts at many boxes; a part becomes important with its second crash.
func partSendCount(x balance.Suspect) int {
	if len(x.Ended) < 2 {
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

func packParts(m *wire.GroupMessage, list []balance.Suspect, digest uint64, all bool) {
	m.Partial, m.AllPartsEnded, m.PartsEndedDigest = true, all, digest
	for _, x := range list {
		m.PartsEnded = append(m.PartsEnded, packPart(x))
	}
}

func packPart(x balance.Suspect) *wire.GroupSuspect {
	out := &wire.GroupSuspect{Content: x.Content, Service: x.Service, Ended: x.Ended, Round: x.Round, Age: micros(x.Age), SoundAge: micros(x.SoundAge), InSuccession: uint32(x.InSuccession)}
	for _, s := range x.Spans {
		out.BeganMs = append(out.BeganMs, uint32(max(s.BeganAge, 0).Milliseconds()))
		out.CutMs = append(out.CutMs, uint32(max(s.EndedAge, 0).Milliseconds()))
	}
	return out
}

// unpackPart returns a received entry; ok is false if it is malformed.
func unpackPart(w *wire.GroupSuspect) (x balance.Suspect, ok bool) {
	x = balance.Suspect{Content: w.Content, Service: w.Service, Ended: w.Ended, Round: w.Round, Age: fromMicros(w.Age), SoundAge: fromMicros(w.SoundAge), InSuccession: int(w.InSuccession)}
	if w.Service == 0 || len(w.BeganMs) != len(w.Ended) || len(w.CutMs) != len(w.Ended) {
		return x, false
	}
	for i := range w.Ended {
		if i > 0 && w.Ended[i] <= w.Ended[i-1] {
			return x, false
		}
		x.Spans = append(x.Spans, balance.Span{BeganAge: time.Duration(w.BeganMs[i]) * time.Millisecond, EndedAge: time.Duration(w.CutMs[i]) * time.Millisecond})
	}
	return x, true
}

// splitParts splits entries into whole requests and parts of prompts.
func splitParts(list []balance.Suspect) (contents, parts []balance.Suspect) {
	for _, x := range list {
		if x.Subject().IsPart() {
			parts = append(parts, x)
		} else {
			contents = append(contents, x)
		}
	}
	return contents, parts
}

// SetEstablished sets the entries that boxes must agree on.
func (n *Node) SetEstablished(now time.Duration, list []balance.Suspect) {
	contents, parts := splitParts(list)
	n.suspects.setAll(now, contents, balance.SuspectsDigest(contents))
	n.suspectParts.setAll(now, parts, balance.SuspectsDigest(parts))
}

// AnnounceSuspects queues new entries to be announced.
func (n *Node) AnnounceSuspects(now time.Duration, list []balance.Suspect) {
	contents, parts := splitParts(list)
	n.suspects.announce(now, contents)
	n.suspectParts.announce(now, parts)
}

// DrainSuspects returns the entries announced by other boxes since the last call.
func (n *Node) DrainSuspects() []balance.Suspect {
	return append(n.suspects.drain(), n.suspectParts.drain()...)
}

// FlushSuspects sends queued entries, at most once per minFlushInterval.
func (n *Node) FlushSuspects(now time.Duration) {
	n.suspects.flush(n, now)
	n.suspectParts.flush(n, now)
}

// carriesSuspects reports whether a message carries suspects and nothing else.
func carriesSuspects(m *wire.GroupMessage) bool { return m.AllWithheld || len(m.Suspects) > 0 }

// carriesSuspectParts reports whether a message carries suspected parts and nothing else.
func carriesSuspectParts(m *wire.GroupMessage) bool {
	return m.AllPartsEnded || len(m.PartsEnded) > 0
}

// handleSuspectParts processes a message with suspected parts.
func (n *Node) handleSuspectParts(now time.Duration, m *wire.GroupMessage) {
	var list []balance.Suspect
	for _, w := range m.PartsEnded {
		if x, ok := unpackPart(w); ok {
			list = append(list, x)
		}
	}
	n.suspectParts.handle(n, now, m.Sender, list, m.PartsEndedDigest, m.AllPartsEnded)
}

// handleSuspects processes a message with suspects.
func (n *Node) handleSuspects(now time.Duration, m *wire.GroupMessage) {
	list := make([]balance.Suspect, len(m.Suspects))
	for i, x := range m.Suspects {
		ended := slices.Compact(slices.Sorted(slices.Values(x.Ended)))
		list[i] = balance.Suspect{Content: x.Content, Ended: ended, Round: x.Round, Age: fromMicros(x.Age)}
	}
	n.suspects.handle(n, now, m.Sender, list, m.WithheldDigest, m.AllWithheld)
}
