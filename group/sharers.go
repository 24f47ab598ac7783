package group

// This file defines which boxes share what the upstreams of a failure domain bear that are cold or name a
// limit. The invariant: a box that has just started, or that hears of nobody, shares in nothing, so that
// boxes which share know of all that have shared for longer.

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

const (
	// sharesFor is how long after a box was last heard, or named by another one, it counts among
	// those that share: a lead names those that it hears every 4 s.
	sharesFor = time.Minute
	// maxSharers bounds the boxes that share; a message that names them all has 1.6 KB.
	maxSharers = 400
)

// Sharers are the boxes of the domain that share, this one among them, each by a hash of its name; they are
// none while too little is known.
func (n *Node) Sharers(now time.Duration) balance.QuotaPeers {
	self := balance.Key(n.cfg.Self.Name)
	s := balance.QuotaPeers{Box: sharerName(self)}
	if now-n.started < n.cfg.Timing.Member || len(n.peers) == 0 && !n.alone() {
		return s
	}
	keys := n.heardSharers(now, sharesFor)
	for key, told := range n.sharers {
		if now-told < sharesFor {
			keys[key] = true
		}
	}
	list := slices.Sorted(maps.Keys(keys))
	list = list[:min(len(list), maxSharers)]
	if !slices.Contains(list, self) {
		return s
	}
	for _, key := range list {
		s.Boxes = append(s.Boxes, sharerName(key))
	}
	return s
}

// sharerName is how a box is called among those that share.
func sharerName(key uint32) string { return strconv.FormatUint(uint64(key), 16) }

// heardSharers are the boxes of the domain that this one has heard, or heard named, within a while, itself among
// them.
func (n *Node) heardSharers(now, within time.Duration) map[uint32]bool {
	keys := map[uint32]bool{balance.Key(n.cfg.Self.Name): true}
	for _, p := range n.peers {
		if n.sameDomain(p) && now-max(p.heard, p.named) < within {
			keys[balance.Key(p.box.Name)] = true
		}
	}
	return keys
}

// packSharers is what a lead tells its domain beside the boxes that it names: nothing where it names all. It tells
// nothing on that it was told, so that a box that is gone is forgotten.
func (n *Node) packSharers(now time.Duration) []uint32 {
	keys := n.heardSharers(now, listedFor*n.cfg.Timing.Member)
	if len(keys) <= maxListed {
		return nil
	}
	list := slices.Sorted(maps.Keys(keys))
	return list[:min(len(list), maxSharers)]
}

// takeSharers takes in what a lead of the domain tells.
func (n *Node) takeSharers(now time.Duration, p *peer, m *wire.GroupMessage) {
	if !n.sameDomain(p) || len(m.Sharers) == 0 {
		return
	}
	maps.DeleteFunc(n.sharers, func(_ uint32, told time.Duration) bool { return now-told >= sharesFor })
	for _, key := range m.Sharers[:min(len(m.Sharers), maxSharers)] {
		n.sharers[key] = now
	}
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
