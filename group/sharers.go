package group

// This file defines which boxes of a failure domain share the capacity of an upstream that is
// cold or announces a limit. The invariant: a box that has just started, or that hears no other
// box, has no share, so every box with a share knows all boxes that have had one for longer.

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

const (
	// shareWindow is how long a box keeps its share after it was last heard or listed by another
	// box. A leader lists the boxes it hears every 4 s.
	shareWindow = time.Minute
	// maxSharers bounds the sharing boxes. A message that names that many has 1.6 KB.
	maxSharers = 400
)

// QuotaPeers returns the boxes of the domain that share capacity, including this one, each
// identified by a hash of its name. The list is empty while too little is known.
func (n *Node) QuotaPeers(now time.Duration) balance.QuotaPeers {
	self := balance.Key(n.cfg.Self.Name)
	s := balance.QuotaPeers{Box: sharerName(self)}
	if now-n.started < n.cfg.Timing.MemberTimeout || len(n.peers) == 0 && !n.hasNoSeeds() {
		return s
	}
	keys := n.recentSharers(now, shareWindow)
	for key, listedAt := range n.sharers {
		if now-listedAt < shareWindow {
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

// sharerName returns the identifier of a sharing box.
func sharerName(key uint32) string { return strconv.FormatUint(uint64(key), 16) }

// recentSharers returns the boxes of the domain, including this one, that were heard or listed
// within the given time.
func (n *Node) recentSharers(now, within time.Duration) map[uint32]bool {
	keys := map[uint32]bool{balance.Key(n.cfg.Self.Name): true}
	for _, p := range n.peers {
		if n.sameDomain(p) && now-max(p.lastHeard, p.lastNamed) < within {
			keys[balance.Key(p.box.Name)] = true
		}
	}
	return keys
}

// packSharers returns the boxes that a leader names to its domain in addition to its box list, or
// nil if that is complete. Hashes received from other leaders are not repeated, so that a box
// that is gone is forgotten.
func (n *Node) packSharers(now time.Duration) []uint32 {
	keys := n.recentSharers(now, listedTimeouts*n.cfg.Timing.MemberTimeout)
	if len(keys) <= maxListed {
		return nil
	}
	list := slices.Sorted(maps.Keys(keys))
	return list[:min(len(list), maxSharers)]
}

// receiveSharers records the boxes named by a leader of the domain.
func (n *Node) receiveSharers(now time.Duration, p *peer, m *wire.GroupMessage) {
	if !n.sameDomain(p) || len(m.Sharers) == 0 {
		return
	}
	maps.DeleteFunc(n.sharers, func(_ uint32, listedAt time.Duration) bool { return now-listedAt >= shareWindow })
	for _, key := range m.Sharers[:min(len(m.Sharers), maxSharers)] {
		n.sharers[key] = now
	}
}

// strongestFirst compares boxes for sorting.
func strongestFirst(a, b *wire.GroupBox) int {
	switch {
	case stronger(a, b):
		return -1
	case stronger(b, a):
		return 1
	}
	return 0
}
