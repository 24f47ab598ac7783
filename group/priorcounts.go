package group

// This file defines how boxes add up the requests that they sent to an upstream before they knew
// its limit. A member reports its own count to its leader, a leader the sum of its domain to the
// other leaders, and the total to its members. The invariant: a sum is passed on only if every
// live box of the domain, or of all domains, is part of it, so a lost message or a box that
// reports none delays a total and never makes it too small.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// priorCount is this box's count for a limit, and on a leader the state of its sums.
type priorCount struct {
	balance.PriorCount
	sentAt   time.Duration // on a member: when it was last sent, to sentTo
	sentTo   string        // on a member: the leader that it was sent to
	reports  int           // peers that have reported at some time
	changed  bool          // a peer has reported since the sums were last checked
	checked  time.Duration // when the sums were last checked
	sentSum  int           // the sum last sent to the other leaders; negative: none
	sumAt    time.Duration // when that was
	hasTotal bool
	total    int // over all boxes
}

// priorCounts holds the counts for limits in their first span.
type priorCounts struct {
	own       []*priorCount // sorted by incarnation key
	newTotals []balance.PriorCount
	lastFlush time.Duration
}

// find returns this box's count for the same limit, or nil.
func (c *priorCounts) find(x balance.PriorCount) *priorCount {
	i, found := slices.BinarySearchFunc(c.own, x.Life, func(own *priorCount, life uint32) int {
		switch {
		case own.Life < life:
			return -1
		case own.Life > life:
			return 1
		}
		return 0
	})
	if found && c.own[i].Start.Matches(x.Start) {
		return c.own[i]
	}
	return nil
}

// withSent returns the count for the same limit with another number of requests.
func (c *priorCount) withSent(sent int) balance.PriorCount {
	return balance.PriorCount{Life: c.Life, Start: c.Start, Sent: sent}
}

// setTotal records the total for a limit, and reports whether it has changed. A smaller one than
// before lacks boxes that have ended since, whose requests were sent all the same.
func (c *priorCounts) setTotal(own *priorCount, total int) bool {
	if own.hasTotal && own.total >= total {
		return false
	}
	own.hasTotal, own.total = true, total
	c.newTotals = append(c.newTotals, own.withSent(total))
	return true
}

// SetPriorCounts sets this box's counts for the limits in their first span, sorted by incarnation
// key.
func (n *Node) SetPriorCounts(list []balance.PriorCount) {
	if len(list) == 0 && len(n.priorCounts.own) > 0 {
		for _, p := range n.peers {
			p.priorCounts = nil
		}
	}
	own := make([]*priorCount, 0, len(list))
	for _, x := range list {
		c := n.priorCounts.find(x)
		if c == nil || c.PriorCount != x { // also if the limit has ended and begun again
			c = n.newPriorCount(x)
		}
		own = append(own, c)
	}
	n.priorCounts.own = own
}

// newPriorCount returns the state of a count that was not sent yet.
func (n *Node) newPriorCount(x balance.PriorCount) *priorCount {
	c := &priorCount{PriorCount: x, sentAt: never, checked: never, sumAt: never, sentSum: -1, changed: true}
	for _, p := range n.peers {
		if p.hasPriorCount(c) {
			c.reports++
		}
	}
	return c
}

// DrainPriorTotals returns the totals that became known or changed since the last call.
func (n *Node) DrainPriorTotals() []balance.PriorCount {
	list := n.priorCounts.newTotals
	n.priorCounts.newTotals = nil
	return list
}

// FlushPriorCounts sends the counts, sums and totals that are due, at most once per
// minFlushInterval.
func (n *Node) FlushPriorCounts(now time.Duration) {
	if len(n.priorCounts.own) == 0 || now-n.priorCounts.lastFlush < minFlushInterval {
		return
	}
	if n.IsLeader() {
		n.flushPriorSums(now)
		return
	}
	leader := n.peers[n.leader().Name]
	if leader == nil {
		return
	}
	var due []balance.PriorCount
	for _, c := range n.priorCounts.own {
		isDue := c.sentTo != leader.box.Name || now-c.sentAt >= n.cfg.Timing.HeartbeatInterval
		if c.hasTotal || !isDue || len(due) == maxEntriesPerMessage {
			continue
		}
		c.sentTo, c.sentAt = leader.box.Name, now
		due = append(due, c.PriorCount)
	}
	n.sendPriorCounts(now, []*peer{leader}, due, false)
}

// flushPriorSums sends the complete sums of this domain to the other leaders, and new totals to
// the members.
func (n *Node) flushPriorSums(now time.Duration) {
	members, leaders := n.members(now), n.otherLeaders(now)
	needed := 0
	for _, p := range members {
		if !p.leaving {
			needed++
		}
	}
	var sums, totals []balance.PriorCount
	for _, c := range n.priorCounts.own {
		isDue := c.changed || now-c.checked >= n.cfg.Timing.HeartbeatInterval
		if c.reports < needed || !isDue || len(sums) == maxEntriesPerMessage || len(totals) == maxEntriesPerMessage {
			continue
		}
		c.changed, c.checked = false, now
		sum, isComplete := sumOfMembers(c, members)
		if !isComplete {
			continue
		}
		if c.sentSum != sum || now-c.sumAt >= n.cfg.Timing.HeartbeatInterval {
			c.sentSum, c.sumAt = sum, now
			sums = append(sums, c.withSent(sum))
		}
		others, isComplete := sumOfDomains(c, leaders)
		if isComplete && n.priorCounts.setTotal(c, sum+others) {
			totals = append(totals, c.withSent(sum+others))
		}
	}
	n.sendPriorCounts(now, leaders, sums, false)
	n.sendPriorCounts(now, members, totals, true)
}

// hasPriorCount reports whether a peer has reported for the same limit.
func (p *peer) hasPriorCount(c *priorCount) bool {
	reported, ok := p.priorCounts[c.Life]
	return ok && reported.Start.Matches(c.Start)
}

// sumOfMembers adds up the counts of this box and its members. It is complete if each member has
// reported, except those that are about to stop.
func sumOfMembers(c *priorCount, members []*peer) (sum int, isComplete bool) {
	sum = c.Sent
	for _, p := range members {
		if p.hasPriorCount(c) {
			sum += p.priorCounts[c.Life].Sent
		} else if !p.leaving {
			return 0, false
		}
	}
	return sum, true
}

// sumOfDomains adds up the sums of the other domains. It is complete if a leader of each has
// reported. Shortly after a change of leader both may have; the larger sum counts.
func sumOfDomains(c *priorCount, leaders []*peer) (sum int, isComplete bool) {
	domains := make(map[string]int)
	for _, p := range leaders {
		domain := p.box.Domain
		if p.hasPriorCount(c) {
			domains[domain] = max(domains[domain], p.priorCounts[c.Life].Sent)
		} else if _, known := domains[domain]; !known {
			domains[domain] = missing
		}
	}
	for _, sent := range domains {
		if sent == missing {
			return 0, false
		}
		sum += sent
	}
	return sum, true
}

// missing marks a domain that has not reported.
const missing = -1

// sendPriorCounts sends one message to some boxes.
func (n *Node) sendPriorCounts(now time.Duration, to []*peer, list []balance.PriorCount, totals bool) {
	if len(list) == 0 {
		return
	}
	n.priorCounts.lastFlush = now
	// A box that does not know the counts reads the message as one without changed loads.
	m := &wire.GroupMessage{Sender: &wire.GroupBox{Name: n.cfg.Self.Name, Boot: n.cfg.Self.Boot}, Partial: true, PriorTotals: totals}
	for _, x := range list {
		m.PriorCounts = append(m.PriorCounts, &wire.GroupPriorCount{Life: x.Life, PerSecond: x.Start.PerSecond, SinceAge: micros(now - x.Start.At), Sent: uint32(x.Sent)})
	}
	for _, p := range to {
		n.send(p.box.Address, m)
	}
}

// carriesPriorCounts reports whether a message carries these counts and nothing else.
func carriesPriorCounts(m *wire.GroupMessage) bool { return len(m.PriorCounts) > 0 }

// handlePriorCounts processes a message with counts.
func (n *Node) handlePriorCounts(now time.Duration, m *wire.GroupMessage) {
	p := n.peers[m.Sender.Name]
	if p == nil || p.box.Boot != m.Sender.Boot {
		return
	}
	var known []balance.PriorCount
	for _, x := range m.PriorCounts[:min(len(m.PriorCounts), maxEntriesPerMessage)] {
		received := balance.PriorCount{Life: x.Life, Sent: int(x.Sent), Start: balance.LimitStart{PerSecond: x.PerSecond, At: now - fromMicros(x.SinceAge)}}
		own := n.priorCounts.find(received)
		if m.PriorTotals {
			if own != nil && p.box.Name == n.leader().Name {
				n.priorCounts.setTotal(own, received.Sent)
			}
			continue
		}
		p.recordPriorCount(received, own)
		if own != nil && own.hasTotal && n.sameDomain(p) && n.IsLeader() {
			known = append(known, own.withSent(own.total))
		}
	}
	n.sendPriorCounts(now, []*peer{p}, known, true) // its total was lost, or it learned of the limit late
}

// maxPriorCounts bounds the counts stored for a peer.
const maxPriorCounts = 1 << 13

// recordPriorCount records a count that a peer reported, and that this box's own count for the
// limit, if there is one, has a new report.
func (p *peer) recordPriorCount(x balance.PriorCount, own *priorCount) {
	if p.priorCounts == nil {
		p.priorCounts = make(map[uint32]balance.PriorCount)
	}
	before, known := p.priorCounts[x.Life]
	if !known && len(p.priorCounts) >= maxPriorCounts {
		return
	}
	p.priorCounts[x.Life] = x
	if own == nil {
		return
	}
	if !known || !before.Start.Matches(own.Start) {
		own.reports++
	}
	own.changed = own.changed || !known || before.Sent != x.Sent || !before.Start.Matches(own.Start)
}
