package group

// This file defines how a domain's boxes learn that another domain is cut off. The load that it answers: many boxes with
// few requests each, of which each would else find out by its own, a wait for a connection for each, and would not have done
// so by the end of the cut. The invariant: a lead tells only what it has found out by connections, and its members
// believe it only while they hear it.

import (
	"slices"
	"time"
)

// SilentDomains lists, for a lead, the domains whose leads were heard once and are heard no more: they may be cut off, or without a
// living box.
func (n *Node) SilentDomains(now time.Duration) []string {
	if !n.IsLeader() {
		return nil
	}
	heard := make(map[string]bool)
	for _, p := range n.peers {
		if p.leads && p.heard >= 0 && !n.sameDomain(p) {
			heard[p.box.Domain] = heard[p.box.Domain] || n.leadIsHeard(now, p)
		}
	}
	var list []string
	for domain, isHeard := range heard {
		if !isHeard {
			list = append(list, domain)
		}
	}
	slices.Sort(list)
	return list
}

// SetCutOff notes which domains this box finds cut off, in order. As a lead it tells its members at once.
func (n *Node) SetCutOff(domains []string) {
	if slices.Equal(domains, n.cutOff) {
		return
	}
	n.cutOff = domains
	if n.IsLeader() {
		n.lastBeat = never
	}
}

// CutOff lists the domains that this box's lead finds cut off, as far as it is heard.
func (n *Node) CutOff(now time.Duration) []string {
	p := n.peers[n.lead().Name]
	if p == nil || !p.leads || now-p.heard > n.cfg.Timing.Silence {
		return nil
	}
	return p.cutOff
}
