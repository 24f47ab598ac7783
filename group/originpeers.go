package group

// This file defines the messages about where streams began, and which boxes may get them. These
// messages pass by the Node: the box that carries a stream sends its record before the caller gets
// the first event, and does not wait for the loop that runs the Node.

import (
	"time"

	"github.com/doormast/doormast/origin"
	"github.com/doormast/doormast/wire"
)

// CarriesOrigins reports whether a message is about where streams began.
func CarriesOrigins(m *wire.GroupMessage) bool {
	return len(m.Origins) > 0 || m.OriginQuery != nil || m.OriginReply != nil
}

// OriginMessage returns a message of a box about where streams began, without its content.
func OriginMessage(self *wire.GroupBox) *wire.GroupMessage {
	return &wire.GroupMessage{Sender: &wire.GroupBox{Name: self.Name, Boot: self.Boot}, Partial: true}
}

// OriginPeers returns the other boxes of the domain and the leaders of the others. Where the own
// region has other domains, those of other regions are left out: bytes between regions are dear.
func (n *Node) OriginPeers(now time.Duration) []origin.Peer {
	var list, elsewhere []origin.Peer
	nearDomains := false
	for _, p := range n.peers {
		if p.leaving || p.timedOut || !n.sameDomain(p) && !p.isLeader || now-max(p.lastHeard, p.lastListed) >= recentPeerWindow {
			continue
		}
		x := origin.Peer{Address: p.box.Address, Domain: p.box.Domain, Leads: p.isLeader}
		switch {
		case p.box.Region != n.cfg.Self.Region:
			elsewhere = append(elsewhere, x)
			continue
		case !n.sameDomain(p):
			nearDomains = true
		}
		list = append(list, x)
	}
	if nearDomains {
		return list
	}
	return append(list, elsewhere...)
}
