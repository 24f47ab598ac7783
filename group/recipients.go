package group

// This file defines which loads a leader sends and when, to each of four recipient groups: its
// members, the other leaders of its region and, on the region leader, the leaders of other
// regions and again those of its own region. The invariants: no group is sent more bytes than its
// budget. The largest changes are sent first. Absolute loads are sent instead of differences, so
// that a lost message affects only the loads in it, until the next complete list.
//
// If each change were sent to each box at once, a leader's traffic would grow with the square of
// its domain, because nearly every message would name nearly every upstream. A change of a few
// hundred tokens in a queue affects no decision.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// sendPolicy defines how a recipient group is sent loads.
type sendPolicy struct {
	boxRate         float64       // bytes per second of changes for each box, at most
	totalRate       float64       // bytes per second of changes for all boxes together, at most
	minInterval     time.Duration // minimum time between two messages of changes, for any number of boxes
	maxMessageRate  float64       // messages of changes per second to all boxes together; 0: unlimited
	rowsPerInterval int           // maximum number of loads in a message sent minInterval after the one before
	// Minimum differences that are sent before the next complete list, in tokens and requests.
	// Except for held tokens, a difference must also exceed minRelativeDiff as a fraction of the
	// last value sent.
	minUnreadDiff, minOpenDiff, minHeldDiff int
	minRelativeDiff                         float64
}

// fullListShare is the bytes that complete lists may take, as a fraction of those for changes.
const fullListShare = 0.25

// maxFullListInterval is the longest time between two complete lists.
const maxFullListInterval = 10 * time.Second

// memberMessageRate is the number of messages with changes that a leader sends per second: 33 to
// each of 39 members. Each message wakes up the receiver. Members of a larger domain receive the
// same amount of changes in fewer messages.
const memberMessageRate = 1300

var (
	// memberPolicy lets the leader of 39 boxes send each change at once, and limits that of a
	// larger domain to the slowest supported link of 10 Mbit/s.
	memberPolicy = sendPolicy{boxRate: 32e3, totalRate: 1.25e6, minInterval: minFlushInterval, maxMessageRate: memberMessageRate, rowsPerInterval: 48, minUnreadDiff: 1, minOpenDiff: 1, minHeldDiff: 1, minRelativeDiff: 0}
	// regionPolicy applies between domains of a region, where placement also considers upstreams
	// of other domains.
	regionPolicy = sendPolicy{boxRate: 4e3, totalRate: 40e3, minInterval: minFlushInterval, rowsPerInterval: 48, minUnreadDiff: 512, minOpenDiff: 1, minHeldDiff: 4096, minRelativeDiff: 0.1}
	// otherRegionPolicy applies between regions, which are tens of milliseconds apart. Most bytes
	// between regions are prompts, and placement gets worse the fewer loads are exchanged.
	otherRegionPolicy = sendPolicy{boxRate: 8e3, totalRate: 40e3, minInterval: minFlushInterval, rowsPerInterval: 48, minUnreadDiff: 512, minOpenDiff: 1, minHeldDiff: 4096, minRelativeDiff: 0.1}
)

// recipientGroup is a set of boxes that receive the same loads.
type recipientGroup struct {
	sendPolicy
	scope          uint32
	loadAt         func(balance.LoadKey) balance.Load
	loads          func() Loads
	peers          []*peer
	lastSent       Loads                        // the loads last sent
	changed        map[balance.LoadKey]struct{} // keys that may differ from lastSent
	mustResend     map[balance.LoadKey]struct{} // keys whose last value was sent to some of the boxes only
	nextChangesAt  time.Duration                // when changes may be sent again
	nextFullListAt time.Duration                // when the next complete list is due
	lastFullListAt time.Duration                // when the last complete list was sent
	fullListSentTo map[string]uint64            // boxes that were sent a complete list: start time by name
	emptyLists     int                          // consecutive empty lists
}

// recipientGroups are the groups of a leader. regionRelay receives the sum of other regions from
// the region leader.
type recipientGroups struct{ members, nearLeaders, otherRegionLeaders, regionRelay *recipientGroup }

// newRecipientGroup returns a group that was sent nothing yet.
func newRecipientGroup(policy sendPolicy, scope uint32) *recipientGroup {
	return &recipientGroup{sendPolicy: policy, scope: scope, lastSent: make(Loads), changed: make(map[balance.LoadKey]struct{}), mustResend: make(map[balance.LoadKey]struct{}),
		nextChangesAt: never, nextFullListAt: never, lastFullListAt: never, fullListSentTo: make(map[string]uint64)}
}

// updateRecipients updates the members and contents of the groups, and returns the groups that
// have members and may be sent loads.
func (n *Node) updateRecipients(now time.Duration) []*recipientGroup {
	g := &n.recipients
	if g.members == nil {
		g.members, g.nearLeaders = newRecipientGroup(memberPolicy, scopeDomain), newRecipientGroup(regionPolicy, scopeDomain)
		g.otherRegionLeaders, g.regionRelay = newRecipientGroup(otherRegionPolicy, scopeRegion), newRecipientGroup(otherRegionPolicy, scopeOtherRegions)
	}
	s := &n.loadSums
	g.members.loadAt = s.loadAt
	g.members.loads = s.total
	g.members.peers = slices.DeleteFunc(n.members(now), func(p *peer) bool { return !n.hasReported(p) })
	g.nearLeaders.loadAt = func(key balance.LoadKey) balance.Load { return s.domain[key] }
	g.nearLeaders.loads, g.nearLeaders.peers = func() Loads { return s.domain }, n.nearLeaders(now)
	list := []*recipientGroup{g.members, g.nearLeaders}
	if n.regionLeader(now) == n.cfg.Self {
		g.otherRegionLeaders.loadAt = func(key balance.LoadKey) balance.Load { return s.domain[key].Plus(s.region[key]) }
		g.otherRegionLeaders.loads, g.otherRegionLeaders.peers = func() Loads { return sumOf([]Loads{s.domain, s.region}) }, n.otherRegionLeaders(now)
		g.regionRelay.loadAt = func(key balance.LoadKey) balance.Load { return s.otherRegions[key] }
		g.regionRelay.loads, g.regionRelay.peers = func() Loads { return s.otherRegions }, g.nearLeaders.peers
		list = append(list, g.otherRegionLeaders, g.regionRelay)
	}
	return slices.DeleteFunc(list, func(g *recipientGroup) bool { return len(g.peers) == 0 || !n.canSendTo(now, g) })
}

// sendFullList sends the complete list to new recipients and, when it is due, to all.
func (g *recipientGroup) sendFullList(n *Node, now time.Duration) {
	l := roundLoads(g.loads())
	g.recordDifferences(l, g.changed)
	if now < g.nextFullListAt {
		if fresh := g.newRecipients(); len(fresh) > 0 {
			g.send(n, fresh, g.fullListMessage(n, now, l))
			g.recordDifferences(l, g.mustResend) // for the new recipients, a load that returns to the value last sent to the others is a change
		}
		return
	}
	if g.isIdle(l) && len(g.newRecipients()) == 0 {
		return
	}
	m := g.fullListMessage(n, now, l)
	g.send(n, g.peers, m)
	g.lastSent, g.lastFullListAt = l, now
	clear(g.changed)
	clear(g.mustResend)
	g.nextFullListAt = now + min(max(n.cfg.Timing.HeartbeatInterval, g.budgetTime(n.cfg.LinkRate, m)*time.Duration(1/fullListShare)), maxFullListInterval)
}

// isIdle reports whether no work is in progress and the recipients have been told so several
// times.
func (g *recipientGroup) isIdle(l Loads) bool {
	const enough = 3
	if len(l) > 0 {
		g.emptyLists = 0
		return false
	}
	g.emptyLists = min(g.emptyLists+1, enough)
	return g.emptyLists == enough
}

// recordDifferences records the keys at which a list differs from the one last sent.
func (g *recipientGroup) recordDifferences(l Loads, differ map[balance.LoadKey]struct{}) {
	for key, load := range l {
		if g.lastSent[key] != load {
			differ[key] = struct{}{}
		}
	}
	for key := range g.lastSent {
		if _, still := l[key]; !still {
			differ[key] = struct{}{}
		}
	}
}

// newRecipients returns the boxes that were not sent a complete list since their start. It also
// forgets boxes that have left the group.
func (g *recipientGroup) newRecipients() []*peer {
	var list []*peer
	for _, p := range g.peers {
		if g.fullListSentTo[p.box.Name] != p.box.Boot {
			list = append(list, p)
		}
	}
	if len(g.fullListSentTo) > len(g.peers) {
		maps.DeleteFunc(g.fullListSentTo, func(name string, _ uint64) bool {
			return !slices.ContainsFunc(g.peers, func(p *peer) bool { return p.box.Name == name })
		})
	}
	return list
}

func (g *recipientGroup) fullListMessage(n *Node, now time.Duration, l Loads) *wire.GroupMessage {
	m := n.loadsMessage(now, l)
	m.Scope, m.Whole = g.scope, g == n.recipients.members
	return m
}

// send sends one message to some boxes of the group.
func (g *recipientGroup) send(n *Node, to []*peer, m *wire.GroupMessage) {
	for _, p := range to {
		if !m.Partial {
			g.fullListSentTo[p.box.Name] = p.box.Boot
		}
		n.send(p.box.Address, m)
	}
}

// loadShare is the share of a link that the loads for each group of recipients may take: heartbeats
// and callers use the same link.
const loadShare = 0.25

// budgetTime returns the time for which a message uses up the group's byte budget, on a link of
// linkRate bytes per second; 0 is unknown.
func (g *recipientGroup) budgetTime(linkRate float64, m *wire.GroupMessage) time.Duration {
	total := g.totalRate
	if linkRate > 0 {
		total = min(total, loadShare*linkRate)
	}
	each := min(g.boxRate, total/float64(max(len(g.peers), 1)))
	return time.Duration(float64(proto.Size(m)) / each * float64(time.Second))
}

// loadChange is a load that differs from the one last sent.
type loadChange struct {
	key    balance.LoadKey
	load   balance.Load
	weight int
}

// sendChanges sends the largest changes that the budget allows.
func (g *recipientGroup) sendChanges(n *Node, now time.Duration) {
	if now < g.nextChangesAt || len(g.changed) == 0 {
		return
	}
	list := g.pendingChanges()
	if len(list) == 0 {
		return
	}
	changes := make(Loads, len(list))
	for _, c := range list {
		changes[c.key] = c.load
		setLoad(g.lastSent, c.key, c.load)
		delete(g.changed, c.key)
		delete(g.mustResend, c.key)
	}
	m := n.loadChangesMessage(changes)
	m.Scope = g.scope
	g.send(n, g.peers, m)
	g.nextChangesAt = now + max(g.changesInterval(), g.budgetTime(n.cfg.LinkRate, m))
}

// changesInterval returns the minimum time between two messages of changes for the current number
// of boxes.
func (g *recipientGroup) changesInterval() time.Duration {
	if g.maxMessageRate == 0 {
		return g.minInterval
	}
	return max(g.minInterval, time.Duration(float64(len(g.peers))/g.maxMessageRate*float64(time.Second)))
}

// maxRows bounds the loads in a message of changes, which stays within 6 KB.
const maxRows = 400

// rowLimit returns the maximum number of loads in a message of changes. It grows with the
// interval, during which more loads change.
func (g *recipientGroup) rowLimit() int {
	return min(int(g.changesInterval()*time.Duration(g.rowsPerInterval)/g.minInterval), maxRows)
}

// pendingChanges lists the changes worth sending, the largest first if there are too many for one
// message.
func (g *recipientGroup) pendingChanges() []loadChange {
	var list []loadChange
	for key := range g.changed {
		load, known := roundLoad(g.loadAt(key)), g.lastSent[key]
		_, resend := g.mustResend[key]
		switch {
		case resend:
			list = append(list, loadChange{key, load, changeWeight(known, load)})
		case load == known:
			delete(g.changed, key)
		case g.isSignificant(known, load):
			list = append(list, loadChange{key, load, changeWeight(known, load)})
		}
	}
	if rows := g.rowLimit(); len(list) > rows {
		slices.SortFunc(list, func(x, y loadChange) int {
			return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.key.Upstream, y.key.Upstream), cmp.Compare(x.key.Urgency, y.key.Urgency))
		})
		list = list[:rows]
	}
	return list
}

// isSignificant reports whether a load is worth sending to boxes that know another value.
func (g *recipientGroup) isSignificant(known, load balance.Load) bool {
	if known == (balance.Load{}) || load == (balance.Load{}) {
		return true
	}
	exceeds := func(x, y, minimum int) bool { return absDiff(x, y) >= max(minimum, int(g.minRelativeDiff*float64(x))) }
	return exceeds(known.Unread, load.Unread, g.minUnreadDiff) || exceeds(known.Requests, load.Requests, g.minOpenDiff) ||
		exceeds(known.Tight, load.Tight, g.minOpenDiff) ||
		absDiff(known.MemoryTokens, load.MemoryTokens) >= g.minHeldDiff // a relative bound would exceed the memory reserve that placement keeps
}

// requestWeight is the number of tokens that one request counts as when differences are compared.
// heldTokensPerUnit is the number of tokens held in memory that count as one token to read.
const requestWeight, heldTokensPerUnit = 256, 16

// changeWeight returns the significance of the difference between two loads.
func changeWeight(known, load balance.Load) int {
	return absDiff(known.Unread, load.Unread) + requestWeight*(absDiff(known.Requests, load.Requests)+absDiff(known.Tight, load.Tight)) +
		absDiff(known.MemoryTokens, load.MemoryTokens)/heldTokensPerUnit
}

func absDiff(a, b int) int { return max(a-b, b-a) }
