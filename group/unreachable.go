package group

// This file defines how the boxes of a domain learn that another domain is unreachable. With many
// boxes that each handle few requests, every box would otherwise detect it by itself at the cost
// of one connection timeout, and many would not have done so before the partition ends. The
// invariant: a leader reports only domains to which connections have failed, and members use the
// report only while they hear the leader.

import (
	"slices"
	"time"
)

// SilentDomains lists, on a leader, the domains whose leaders were heard once and no longer are.
// They may be cut off or have no running box.
func (n *Node) SilentDomains(now time.Duration) []string {
	if !n.IsLeader() {
		return nil
	}
	heard := make(map[string]bool)
	for _, p := range n.peers {
		if p.isLeader && p.lastHeard >= 0 && !n.sameDomain(p) {
			heard[p.box.Domain] = heard[p.box.Domain] || n.isActiveLeader(now, p)
		}
	}
	var list []string
	for domain, active := range heard {
		if !active {
			list = append(list, domain)
		}
	}
	slices.Sort(list)
	return list
}

// SetUnreachableDomains sets the domains that this box cannot reach, in sorted order. A
// leader announces them to its members at once.
func (n *Node) SetUnreachableDomains(domains []string) {
	if slices.Equal(domains, n.unreachable) {
		return
	}
	n.unreachable = domains
	if n.IsLeader() {
		n.lastHeartbeat = never
	}
}

// UnreachableDomains returns the domains that the leader of this box cannot reach, or
// none if the leader is not heard.
func (n *Node) UnreachableDomains(now time.Duration) []string {
	p := n.peers[n.leader().Name]
	if p == nil || !p.isLeader || now-p.lastHeard > n.cfg.Timing.LeaderTimeout {
		return nil
	}
	return p.unreachable
}
