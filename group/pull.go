package group

// This file defines how a box chooses where to pull from, and which pulls it answers. The
// invariants: a box answers only as many pulls at a time as its link can send within
// maxAnswerBacklog. A box whose pull is refused is referred to boxes that were answered before,
// so that after a restart of the whole fleet every box that has the data passes it on.

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doormast/doormast/wire"
)

const (
	// maxAnswerBacklog is how long a box's link may be busy sending answers before further pulls
	// are refused: half the time a box waits for its pull before it reads the publisher.
	maxAnswerBacklog = 200 * time.Millisecond
	// defaultLinkRate is the assumed link capacity in bytes per second if the settings name none:
	// 10 Mbit/s, the slowest supported link.
	defaultLinkRate = 10e6 / 8
	// maxAnswered bounds the answered boxes that are remembered, and maxAlternatives those named
	// in one refusal.
	maxAnswered, maxAlternatives = 64, 4
	// maxPullRefusals is how often in a row a box's pulls may be refused before it reads the
	// publisher itself.
	maxPullRefusals = 16
	// minPullRetryDelay is the approximate minimum time between two pulls of a box that was
	// refused.
	minPullRetryDelay = 100 * time.Millisecond
)

// answeredBox is a box that was sent all data, and the time at which it should have received it.
type answeredBox struct {
	pulls   string
	domain  string
	readyAt time.Duration
}

// answeredPulls is the record of recently answered pulls.
type answeredPulls struct {
	linkBusyUntil time.Duration // when the link has sent the last answer
	boxes         []answeredBox // the most recent last
}

// AnswerPull returns the answer to another box's pull: the published data, or the addresses of
// other boxes to ask. The caller must not modify the result.
func (n *Node) AnswerPull(now time.Duration, req *wire.MirrorRequest) *wire.MirrorResponse {
	if left := n.answeredPulls.linkBusyUntil - now; left > maxAnswerBacklog {
		return &wire.MirrorResponse{BusyLeft: micros(left - maxAnswerBacklog/2), Elsewhere: n.alternatives(now, req)}
	}
	r := n.deltaOrSnapshot(now, req)
	size := len(r.Packed)
	for _, it := range r.Items {
		size += len(it.Key) + len(it.Value) + itemOverhead
	}
	sendTime := time.Duration(float64(size) / n.linkRate() * float64(time.Second))
	n.answeredPulls.linkBusyUntil = max(n.answeredPulls.linkBusyUntil, now) + sendTime
	if req.Pulls != "" && r.Revision > 0 {
		n.answeredPulls.record(answeredBox{req.Pulls, req.Domain, n.answeredPulls.linkBusyUntil + maxAnswerBacklog/2})
	}
	return r
}

// deltaOrSnapshot returns the changes that the pulling box lacks, or all data if those are not
// known. A document too large for a datagram is pulled by all boxes whenever it changes, and
// sending all data would take many times as many bytes.
func (n *Node) deltaOrSnapshot(now time.Duration, req *wire.MirrorRequest) *wire.MirrorResponse {
	revision := n.cfg.Mirror.Revision()
	changes, known := n.cfg.Mirror.Since(req.After)
	if !req.Packed || req.After == 0 || !known {
		return n.Snapshot(now, req.Packed)
	}
	if p := &n.delta; p.bytes == nil || p.revision != revision || p.after != req.After {
		*p = packedDelta{packedSnapshot{revision, compressItems(changes)}, req.After}
	}
	r := n.newMirrorResponse(now)
	r.From, r.Packed = req.After, n.delta.bytes
	return r
}

// linkRate returns the capacity of the box's link in bytes per second.
func (n *Node) linkRate() float64 {
	if n.cfg.LinkRate > 0 {
		return n.cfg.LinkRate
	}
	return defaultLinkRate
}

// record remembers a box whose pull was answered.
func (a *answeredPulls) record(box answeredBox) {
	a.boxes = slices.DeleteFunc(a.boxes, func(b answeredBox) bool { return b.pulls == box.pulls })
	a.boxes = append(a.boxes, box)
	if len(a.boxes) > maxAnswered {
		a.boxes = a.boxes[1:]
	}
}

// alternatives lists boxes of the requester's domain that should have received all data by now.
// Different requesters get different boxes.
func (n *Node) alternatives(now time.Duration, req *wire.MirrorRequest) []string {
	var candidates []string
	for _, b := range n.answeredPulls.boxes {
		if b.readyAt <= now && b.pulls != req.Pulls && b.domain == req.Domain {
			candidates = append(candidates, b.pulls)
		}
	}
	if len(candidates) <= maxAlternatives {
		return candidates
	}
	first := int(xxhash.Sum64String(req.Pulls) % uint64(len(candidates)-maxAlternatives+1))
	return candidates[first : first+maxAlternatives]
}

// pendingPull is a pull that waits to be started.
type pendingPull struct {
	address  string // empty: none
	at       time.Duration
	refusals int // consecutive refusals
}

// handlePullRefusal processes a refused pull. The next pull goes to one of the boxes named in the
// refusal, the first time at once, or to the same box after a delay.
func (n *Node) handlePullRefusal(now time.Duration, r *wire.MirrorResponse) {
	n.pendingPull.refusals++
	if n.pendingPull.refusals > maxPullRefusals {
		n.pullFailed = true
		return
	}
	n.pullWaitFrom = now
	n.pendingPull.address, n.pendingPull.at = n.lastPullAddress, now+n.jitterAround(max(fromMicros(r.BusyLeft), minPullRetryDelay))
	if len(r.Elsewhere) == 0 {
		return
	}
	pick := (n.instanceHash() + uint64(n.pendingPull.refusals)) % uint64(len(r.Elsewhere))
	n.pendingPull.address = r.Elsewhere[pick]
	if n.pendingPull.refusals == 1 {
		n.pendingPull.at = now
		n.startPendingPull(now)
	}
}

// startPendingPull starts the pending pull once it is due.
func (n *Node) startPendingPull(now time.Duration) {
	if n.pendingPull.address == "" || now < n.pendingPull.at {
		return
	}
	n.pullAddress, n.lastPullAddress, n.pendingPull.address = n.pendingPull.address, n.pendingPull.address, ""
}

// instanceHash returns a pseudo-random number that is fixed for one run of this box.
func (n *Node) instanceHash() uint64 {
	const mix = 0x9e3779b97f4a7c15 // spreads the start time over all bits
	return xxhash.Sum64String(n.cfg.Self.Name) ^ n.cfg.Self.Boot*mix
}

// jitterAround returns a duration between d/2 and 3d/2 that is fixed for one run of this box.
func (n *Node) jitterAround(d time.Duration) time.Duration { return d/2 + n.jitter(d) }

// jitter returns a fraction of d that is fixed for one run of this box, so that boxes that start
// together do not act simultaneously.
func (n *Node) jitter(d time.Duration) time.Duration {
	const parts = 1 << 10
	return d * time.Duration(n.instanceHash()>>20%parts) / parts
}
