package group

// This file defines what a lead tells of loads and when, to each of four audiences: its members,
// the other leads of its region, and, as its region's lead, the leads of other regions and
// those of its own. The invariants: to no audience a lead sends more than its budget; what has
// changed most goes first; and what is told is the load itself and not its difference, so that a
// message that is lost leaves an error in what it told only, until the next whole list.
//
// If each change were told to each box at once, a lead's bytes would grow with the square of its domain,
// as each message would name nearly each upstream; a queue that has changed by a few hundred tokens decides nothing.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// telling is how an audience is told.
type telling struct {
	each  float64       // bytes a second of changes for each box, at most
	total float64       // and for all boxes together
	pause time.Duration // the least between two messages of changes, to any number of boxes
	sends float64       // messages of changes a second, to all boxes together; 0: any number
	rows  int           // the most loads that a message names which follows another one after the least pause
	// The least differences that are worth telling before the next whole list, in tokens and
	// requests, and the share of what was told that one has to be besides, but for what is held.
	unread, open, held int
	share              float64
}

// wholeShare is the bytes that whole lists may take, for each one of changes.
const wholeShare = 0.25

// wholeMost is the longest pause between two whole lists.
const wholeMost = 10 * time.Second

// sendsToMembers is how many messages of changes a second a lead sends, 33 to each of 39 members. Each is a wake-up of the
// box that gets it: in a larger domain each hears as much of what has changed, in fewer messages.
const sendsToMembers = 1300

var (
	// toMembers leaves the lead of 39 boxes to tell each change at once, and holds that of a
	// larger domain to what the narrowest link of 10 Mbit/s carries.
	toMembers = telling{each: 32e3, total: 1.25e6, pause: flushPause, sends: sendsToMembers, rows: 48, unread: 1, open: 1, held: 1, share: 0}
	// toNear is between domains of a region: choices there look at other domains' upstreams too.
	toNear = telling{each: 4e3, total: 40e3, pause: flushPause, rows: 48, unread: 512, open: 1, held: 4096, share: 0.1}
	// toFar is between regions, tens of ms apart. Most bytes between them are prompts, which are placed worse
	// the less is told.
	toFar = telling{each: 8e3, total: 40e3, pause: flushPause, rows: 48, unread: 512, open: 1, held: 4096, share: 0.1}
)

// audience is boxes that are told the same.
type audience struct {
	telling
	scope   uint32
	value   func(balance.LoadKey) balance.Load
	list    func() Loads
	peers   []*peer
	told    Loads                        // what they were told last
	changed map[balance.LoadKey]struct{} // what may differ from that
	owed    map[balance.LoadKey]struct{} // what some were told otherwise
	due     time.Duration                // when changes may be told again
	whole   time.Duration                // when all is told again
	wholeAt time.Duration                // when it was told last
	heard   map[string]uint64            // boxes that were told all, by name, with their starts
	empty   int                          // whole lists in a row that were empty
}

// audiences are those of a lead.
type audiences struct{ members, near, far, inland *audience }

// newAudience makes an audience that was told nothing yet.
func newAudience(t telling, scope uint32) *audience {
	return &audience{telling: t, scope: scope, told: make(Loads), changed: make(map[balance.LoadKey]struct{}), owed: make(map[balance.LoadKey]struct{}),
		due: never, whole: never, wholeAt: never, heard: make(map[string]uint64)}
}

// listen brings up to date who is told what, and lists the audiences that have boxes.
func (n *Node) listen(now time.Duration) []*audience {
	a := &n.audiences
	if a.members == nil {
		a.members, a.near = newAudience(toMembers, scopeDomain), newAudience(toNear, scopeDomain)
		a.far, a.inland = newAudience(toFar, scopeRegion), newAudience(toFar, scopeBeyond)
	}
	s := &n.sums
	a.members.value = s.at
	a.members.list = s.all
	a.members.peers = slices.DeleteFunc(n.members(now), func(p *peer) bool { return !n.hasTold(p) })
	a.near.value = func(key balance.LoadKey) balance.Load { return s.domain[key] }
	a.near.list, a.near.peers = func() Loads { return s.domain }, n.nearLeads(now)
	list := []*audience{a.members, a.near}
	if n.regionLead(now) == n.cfg.Self {
		a.far.value = func(key balance.LoadKey) balance.Load { return s.domain[key].Plus(s.region[key]) }
		a.far.list, a.far.peers = func() Loads { return sumOf([]Loads{s.domain, s.region}) }, n.regionLeads(now)
		a.inland.value = func(key balance.LoadKey) balance.Load { return s.beyond[key] }
		a.inland.list, a.inland.peers = func() Loads { return s.beyond }, a.near.peers
		list = append(list, a.far, a.inland)
	}
	return slices.DeleteFunc(list, func(a *audience) bool { return len(a.peers) == 0 || !n.tellable(now, a) })
}

// tellWhole tells all there is to those that were not told yet, and, where it is due, to all.
func (a *audience) tellWhole(n *Node, now time.Duration) {
	l := rounded(a.list())
	a.noteDifferences(l, a.changed)
	if now < a.whole {
		if fresh := a.fresh(); len(fresh) > 0 {
			a.send(n, fresh, a.wholeMessage(n, now, l))
			a.noteDifferences(l, a.owed) // one that returns to what the rest were told is a change for these
		}
		return
	}
	if a.idles(l) && len(a.fresh()) == 0 {
		return
	}
	m := a.wholeMessage(n, now, l)
	a.send(n, a.peers, m)
	a.told, a.wholeAt = l, now
	clear(a.changed)
	clear(a.owed)
	a.whole = now + min(max(n.cfg.Timing.Beat, a.pauseFor(m)*time.Duration(1/wholeShare)), wholeMost)
}

// idles reports whether nothing is under way and those who listen know it, as far as a few
// messages can tell.
func (a *audience) idles(l Loads) bool {
	const enough = 3
	if len(l) > 0 {
		a.empty = 0
		return false
	}
	a.empty = min(a.empty+1, enough)
	return a.empty == enough
}

// noteDifferences notes where a list differs from what was told.
func (a *audience) noteDifferences(l Loads, differ map[balance.LoadKey]struct{}) {
	for key, load := range l {
		if a.told[key] != load {
			differ[key] = struct{}{}
		}
	}
	for key := range a.told {
		if _, still := l[key]; !still {
			differ[key] = struct{}{}
		}
	}
}

// fresh are the boxes that were not told all since they started, and forgets those that went.
func (a *audience) fresh() []*peer {
	var list []*peer
	for _, p := range a.peers {
		if a.heard[p.box.Name] != p.box.Boot {
			list = append(list, p)
		}
	}
	if len(a.heard) > len(a.peers) {
		maps.DeleteFunc(a.heard, func(name string, _ uint64) bool {
			return !slices.ContainsFunc(a.peers, func(p *peer) bool { return p.box.Name == name })
		})
	}
	return list
}

func (a *audience) wholeMessage(n *Node, now time.Duration, l Loads) *wire.GroupMessage {
	m := n.loadsMessage(now, l)
	m.Scope, m.Whole = a.scope, a == n.audiences.members
	return m
}

// send sends one message to some of the audience.
func (a *audience) send(n *Node, to []*peer, m *wire.GroupMessage) {
	for _, p := range to {
		if !m.Partial {
			a.heard[p.box.Name] = p.box.Boot
		}
		n.send(p.box.Address, m)
	}
}

// pauseFor is how long a message to the audience takes of its budget.
func (a *audience) pauseFor(m *wire.GroupMessage) time.Duration {
	each := min(a.each, a.total/float64(max(len(a.peers), 1)))
	return time.Duration(float64(proto.Size(m)) / each * float64(time.Second))
}

// change is a load that differs from what was told.
type change struct {
	key    balance.LoadKey
	load   balance.Load
	weight int
}

// tellChanges tells what has changed most, as far as the budget allows.
func (a *audience) tellChanges(n *Node, now time.Duration) {
	if now < a.due || len(a.changed) == 0 {
		return
	}
	list := a.changes()
	if len(list) == 0 {
		return
	}
	told := make(Loads, len(list))
	for _, c := range list {
		told[c.key] = c.load
		setLoad(a.told, c.key, c.load)
		delete(a.changed, c.key)
		delete(a.owed, c.key)
	}
	m := n.changesMessage(told)
	m.Scope = a.scope
	a.send(n, a.peers, m)
	a.due = now + max(a.leastPause(), a.pauseFor(m))
}

// leastPause is the least time between two messages of changes to boxes as many as listen.
func (a *audience) leastPause() time.Duration {
	if a.sends == 0 {
		return a.pause
	}
	return max(a.pause, time.Duration(float64(len(a.peers))/a.sends*float64(time.Second)))
}

// rowsAtOnce bounds the loads in a message of changes, which stays within 6 KB.
const rowsAtOnce = 400

// mostRows is the most loads that a message of changes names: the longer the pause, the more have changed.
func (a *audience) mostRows() int {
	return min(int(a.leastPause()*time.Duration(a.rows)/a.pause), rowsAtOnce)
}

// changes lists what is worth telling, the greatest differences first.
func (a *audience) changes() []change {
	var list []change
	for key := range a.changed {
		load, told := roundedLoad(a.value(key)), a.told[key]
		_, owed := a.owed[key]
		switch {
		case owed:
			list = append(list, change{key, load, weightOf(told, load)})
		case load == told:
			delete(a.changed, key)
		case a.matters(told, load):
			list = append(list, change{key, load, weightOf(told, load)})
		}
	}
	if rows := a.mostRows(); len(list) > rows {
		slices.SortFunc(list, func(x, y change) int {
			return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.key.Upstream, y.key.Upstream), cmp.Compare(x.key.Urgency, y.key.Urgency))
		})
		list = list[:rows]
	}
	return list
}

// matters reports whether a load is worth telling to those who know another one.
func (a *audience) matters(told, load balance.Load) bool {
	if told == (balance.Load{}) || load == (balance.Load{}) {
		return true
	}
	far := func(x, y, least int) bool { return distance(x, y) >= max(least, int(a.share*float64(x))) }
	return far(told.Unread, load.Unread, a.unread) || far(told.Open, load.Open, a.open) ||
		far(told.Tight, load.Tight, a.open) ||
		distance(told.Held, load.Held) >= a.held // a share would use up the spare room that placement keeps
}

// requestTokens is how many tokens a request counts as where differences are compared, and
// heldTokens how many tokens of memory count as one that is to be read.
const requestTokens, heldTokens = 256, 16

// weightOf is how much it matters that a load differs from what was told.
func weightOf(told, load balance.Load) int {
	return distance(told.Unread, load.Unread) + requestTokens*(distance(told.Open, load.Open)+distance(told.Tight, load.Tight)) +
		distance(told.Held, load.Held)/heldTokens
}

func distance(a, b int) int { return max(a-b, b-a) }
