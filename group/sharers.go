package group

// This file defines which boxes share what the cold upstreams of a failure domain bear. The
// invariant: a box that has just started, or that hears of nobody, shares in nothing, so that
// boxes which share know of all that have shared for longer.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/wire"
)

// sharesFor is how long after a box was last heard, or named by another one, it counts among
// those that share: a lead names those that it hears every 4 s.
const sharesFor = time.Minute

// Sharers lists the boxes of the domain that share, this one among them; it is empty while
// too little is known. Where they are more than a message names, it is the strongest, whom
// all know.
func (n *Node) Sharers(now time.Duration) []string {
	if now-n.started < n.cfg.Timing.Member || len(n.peers) == 0 && !n.alone() {
		return nil
	}
	boxes := []*wire.GroupBox{n.cfg.Self}
	for _, p := range n.peers {
		if n.sameDomain(p) && now-max(p.heard, p.named) < sharesFor {
			boxes = append(boxes, p.box)
		}
	}
	slices.SortFunc(boxes, strongestFirst)
	boxes = boxes[:min(len(boxes), maxListed)]
	if !slices.Contains(boxes, n.cfg.Self) {
		return nil
	}
	names := make([]string, len(boxes))
	for i, b := range boxes {
		names[i] = b.Name
	}
	return names
}

// strongestFirst orders boxes for sorting.
func strongestFirst(a, b *wire.GroupBox) int {
	switch {
	case better(a, b):
		return -1
	case better(b, a):
		return 1
	}
	return 0
}
