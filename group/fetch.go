package group

// This file defines where a box pulls everything from, and whom a box answers. The invariants:
// a box answers no more pulls at a time than its link carries in answerBacklog; and one that
// is turned away asks a box that was answered before, so that after all boxes were killed each
// that knows hands on what it knows.

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doormast/doormast/wire"
)

const (
	// answerBacklog is how long a box's link may be busy with answers to pulls before it
	// turns others away: half of what one that pulls waits before it reads for itself.
	answerBacklog = 200 * time.Millisecond
	// leastLink is what a box's link is taken to carry where the settings do not say,
	// in bytes a second: the 10 Mbit/s of the narrowest.
	leastLink = 10e6 / 8
	// maxAnswered bounds the boxes that are remembered as answered, and maxElsewhere those
	// that one is told of.
	maxAnswered, maxElsewhere = 64, 4
	// maxTurnedAway is how often in a row a box may be turned away before it reads for itself.
	maxTurnedAway = 16
	// leastWait is about the least time between two pulls of a box that is turned away.
	leastWait = 100 * time.Millisecond
)

// answered is a box that was told everything, and when it should have it.
type answered struct {
	pulls  string
	domain string
	at     time.Duration
}

// answers is what a box has answered of late.
type answers struct {
	until time.Duration // when its link is done with the last one
	boxes []answered    // the last ones, the newest last
}

// AnswerPull is the answer to another box's pull: everything, or where else to ask. It must not
// be changed.
func (n *Node) AnswerPull(now time.Duration, req *wire.MirrorRequest) *wire.MirrorResponse {
	if left := n.answers.until - now; left > answerBacklog {
		return &wire.MirrorResponse{BusyLeft: micros(left - answerBacklog/2), Elsewhere: n.elsewhere(now, req)}
	}
	r := n.changesOrAll(now, req)
	size := len(r.Packed)
	for _, it := range r.Items {
		size += len(it.Key) + len(it.Value) + itemHead
	}
	takes := time.Duration(float64(size) / n.link() * float64(time.Second))
	n.answers.until = max(n.answers.until, now) + takes
	if req.Pulls != "" && r.Revision > 0 {
		n.answers.note(answered{req.Pulls, req.Domain, n.answers.until + answerBacklog/2})
	}
	return r
}

// changesOrAll is what a box that pulls lacks, or everything where that is not known. A document that no datagram
// holds is pulled by all at once with each of its versions; everything is many times as much.
func (n *Node) changesOrAll(now time.Duration, req *wire.MirrorRequest) *wire.MirrorResponse {
	revision := n.cfg.Mirror.Revision()
	changes, known := n.cfg.Mirror.Since(req.After)
	if !req.Packed || req.After == 0 || !known {
		return n.Everything(now, req.Packed)
	}
	if p := &n.lately; p.bytes == nil || p.revision != revision || p.after != req.After {
		*p = packedChanges{packedItems{revision, packAll(changes)}, req.After}
	}
	return &wire.MirrorResponse{Revision: revision, From: req.After, Packed: n.lately.bytes, ConfirmedAge: micros(now - n.confirmed), DoubtLeft: micros(n.doubt - now)}
}

// link is what the box's link carries, in bytes a second.
func (n *Node) link() float64 {
	if n.cfg.LinkRate > 0 {
		return n.cfg.LinkRate
	}
	return leastLink
}

// note remembers a box that was answered.
func (a *answers) note(box answered) {
	a.boxes = slices.DeleteFunc(a.boxes, func(b answered) bool { return b.pulls == box.pulls })
	a.boxes = append(a.boxes, box)
	if len(a.boxes) > maxAnswered {
		a.boxes = a.boxes[1:]
	}
}

// elsewhere lists boxes of the asking box's domain that should have everything by now. Each box
// that asks is told of others than the one before.
func (n *Node) elsewhere(now time.Duration, req *wire.MirrorRequest) []string {
	var near []string
	for _, b := range n.answers.boxes {
		if b.at <= now && b.pulls != req.Pulls && b.domain == req.Domain {
			near = append(near, b.pulls)
		}
	}
	if len(near) <= maxElsewhere {
		return near
	}
	first := int(xxhash.Sum64String(req.Pulls) % uint64(len(near)-maxElsewhere+1))
	return near[first : first+maxElsewhere]
}

// wanted is the pull that this box waits to make.
type wanted struct {
	from string // empty: none
	at   time.Duration
	away int // times in a row that it was turned away
}

// turnedAway notes that a box which was asked has too much to answer: one that it named is
// asked, the first time at once, or itself after a while.
func (n *Node) turnedAway(now time.Duration, r *wire.MirrorResponse) {
	n.wanted.away++
	if n.wanted.away > maxTurnedAway {
		n.pullFails = true
		return
	}
	n.pullsFrom = now
	n.wanted.from, n.wanted.at = n.pulledFrom, now+n.spread(max(fromMicros(r.BusyLeft), leastWait))
	if len(r.Elsewhere) == 0 {
		return
	}
	pick := (n.draw() + uint64(n.wanted.away)) % uint64(len(r.Elsewhere))
	n.wanted.from = r.Elsewhere[pick]
	if n.wanted.away == 1 {
		n.wanted.at = now
		n.fetchWanted(now)
	}
}

// fetchWanted makes the pull that waits, once it is due.
func (n *Node) fetchWanted(now time.Duration) {
	if n.wanted.from == "" || now < n.wanted.at {
		return
	}
	n.pull, n.pulledFrom, n.wanted.from = n.wanted.from, n.wanted.from, ""
}

// draw is a number of this life of this box's own.
func (n *Node) draw() uint64 {
	const mix = 0x9e3779b97f4a7c15 // spreads the time of the start over all bits
	return xxhash.Sum64String(n.cfg.Self.Name) ^ n.cfg.Self.Boot*mix
}

// spread is a time between half of d and one and a half of it, of this box's own.
func (n *Node) spread(d time.Duration) time.Duration { return d/2 + n.share(d) }

// share is a part of d of this box's own, so that boxes which start together do not act
// together.
func (n *Node) share(d time.Duration) time.Duration {
	const parts = 1 << 10
	return d * time.Duration(n.draw()>>20%parts) / parts
}
