package group

// This file defines which boxes a box may connect through to upstreams that it does not reach. The
// invariant: it names only boxes that were heard, or listed by another box, within a minute, and
// that are not about to stop.

import (
	"slices"
	"strings"
	"time"

	"github.com/doormast/doormast/balance"
)

// TunnelPeers returns the other boxes of the domain and the leaders of the others, sorted by
// address.
func (n *Node) TunnelPeers(now time.Duration) []balance.TunnelPeer {
	var list []balance.TunnelPeer
	for _, p := range n.peers {
		if p.leaving || p.timedOut || !n.sameDomain(p) && !p.isLeader || now-max(p.lastHeard, p.lastListed) >= recentPeerWindow {
			continue
		}
		list = append(list, balance.TunnelPeer{Address: p.box.Address, Domain: p.box.Domain})
	}
	slices.SortFunc(list, func(a, b balance.TunnelPeer) int { return strings.Compare(a.Address, b.Address) })
	return list
}
