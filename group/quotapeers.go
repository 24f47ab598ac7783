package group

// This file defines the quota peers of a failure domain: the boxes that divide among themselves
// what an upstream may be sent while it is cold or announces a limit. The invariant: a box that
// has just started, or that hears no other box, has no share, so every box with a share knows all
// boxes that have had one for longer.

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

const (
	// recentPeerWindow is how long after it was last heard or listed by another box a box remains
	// a quota peer, and a new leader waits for its loads. A leader lists the boxes it hears every
	// 4 s.
	recentPeerWindow = time.Minute
	// maxQuotaPeers bounds the quota peers. A message that names that many has 1.6 KB.
	maxQuotaPeers = 400
)

// QuotaPeers returns the quota peers of the domain, including this box, each identified by a hash
// of its name. The list is empty while too little is known.
func (n *Node) QuotaPeers(now time.Duration) balance.QuotaPeers {
	self := balance.Key(n.cfg.Self.Name)
	s := balance.QuotaPeers{Box: quotaPeerName(self)}
	if now-n.started < n.cfg.Timing.MemberTimeout || len(n.peers) == 0 && !n.hasNoSeeds() {
		return s
	}
	keys := n.recentQuotaPeers(now, recentPeerWindow)
	for key, listedAt := range n.quotaPeers {
		if now-listedAt < recentPeerWindow {
			keys[key] = true
		}
	}
	list := slices.Sorted(maps.Keys(keys))
	list = list[:min(len(list), maxQuotaPeers)]
	if !slices.Contains(list, self) {
		return s
	}
	for _, key := range list {
		s.Boxes = append(s.Boxes, quotaPeerName(key))
	}
	return s
}

// quotaPeerName returns the identifier of a quota peer.
func quotaPeerName(key uint32) string { return strconv.FormatUint(uint64(key), 16) }

// recentQuotaPeers returns the boxes of the domain, including this one, that were heard or listed
// within the given time.
func (n *Node) recentQuotaPeers(now, within time.Duration) map[uint32]bool {
	keys := map[uint32]bool{balance.Key(n.cfg.Self.Name): true}
	for _, p := range n.peers {
		if n.sameDomain(p) && now-max(p.lastHeard, p.lastListed) < within {
			keys[balance.Key(p.box.Name)] = true
		}
	}
	return keys
}

// packQuotaPeers returns the boxes that a leader names to its domain in addition to its box list,
// or nil if that list is complete. Hashes received from other leaders are not repeated, so that a
// box that is gone is forgotten.
func (n *Node) packQuotaPeers(now time.Duration) []uint32 {
	keys := n.recentQuotaPeers(now, listedTimeouts*n.cfg.Timing.MemberTimeout)
	if len(keys) <= maxListed {
		return nil
	}
	list := slices.Sorted(maps.Keys(keys))
	return list[:min(len(list), maxQuotaPeers)]
}

// receiveQuotaPeers records the boxes named by a leader of the domain.
func (n *Node) receiveQuotaPeers(now time.Duration, p *peer, m *wire.GroupMessage) {
	if !n.sameDomain(p) || len(m.Sharers) == 0 {
		return
	}
	maps.DeleteFunc(n.quotaPeers, func(_ uint32, listedAt time.Duration) bool { return now-listedAt >= recentPeerWindow })
	for _, key := range m.Sharers[:min(len(m.Sharers), maxQuotaPeers)] {
		n.quotaPeers[key] = now
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
