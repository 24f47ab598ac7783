package group

// This file defines a box's view of the group. The invariants: the box count never
// falls within one life of a box, so that shares of a common limit only shrink; and
// confirmed never lies behind the moment at which the copy was the newest.

import (
	"time"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// Timing holds a group's times. The figures of DefaultTiming keep a change known on
// every box within 1.6 s of the death of the lead, of the 2 s that deployments allow.
type Timing struct {
	Beat     time.Duration // between two signs of life
	Silence  time.Duration // after which a lead counts as dead
	Member   time.Duration // after which the lead counts a box as gone
	Settle   time.Duration // after a start, in which a lead may make itself known
	Stale    time.Duration // age of knowledge from which a box reads for itself
	Stagger  time.Duration // added to Stale for each place behind the lead, five at most
	Readback time.Duration // how long a box that reads for a lead that cannot goes on
}

// DefaultTiming is used where a configuration names none.
var DefaultTiming = Timing{
	Beat:     400 * time.Millisecond,
	Silence:  900 * time.Millisecond,
	Member:   3 * time.Second,
	Settle:   500 * time.Millisecond,
	Stale:    1700 * time.Millisecond,
	Stagger:  60 * time.Millisecond,
	Readback: 3 * time.Second,
}

// Config configures a Node.
type Config struct {
	Self   *wire.GroupBox
	Seeds  []string // IP:port of boxes that may be there
	Timing Timing
	Mirror *mirror.Mirror
	// FirstStart says that no box ran before: there is time to find the others
	// before anything is read. A box that starts later has callers waiting.
	FirstStart bool
	// Changed is told what is new in the mirror.
	Changed func([]mirror.Item)
}

// Outgoing is a message and where it goes.
type Outgoing struct {
	To      string // IP:port
	Message *wire.GroupMessage
}

// peer is another box.
type peer struct {
	box     *wire.GroupBox
	heard   time.Duration // last sign of life; below 0: never
	leads   bool
	reads   bool
	leaving bool
	silent  bool // it was expected to lead and was not heard
	boxes   int  // alive in its domain, as it said when it led

	beats    int    // that it was sent
	toldList uint64 // digest of the boxes it was last told

	loads     Loads             // its own, or its domain's where it leads another one
	told      bool              // it was told loads
	toldLoads []*wire.GroupLoad // the last ones
	toldAt    time.Duration
}

// Node is one box's part of the group. It is not safe for several goroutines.
type Node struct {
	cfg       Config
	started   time.Duration
	peers     map[string]*peer // by name; of this domain, and leads of others
	confirmed time.Duration    // when the mirror was the newest
	doubt     time.Duration    // until when entries that went may come back
	readOK    time.Duration    // last success of this box's own reading
	readFails bool             // this box's last reading failed
	lastBeat  time.Duration
	lastAsk   time.Duration
	waitsFrom time.Duration // since when the present lead is waited for
	leadName  string        // the lead that is waited for
	most      int           // the greatest count of boxes seen
	leaving   bool
	loads     Loads              // this box's own
	others    Loads              // all other boxes'
	lists     map[string]boxList // of the beat under way, by domain
	out       []Outgoing
	pull      string // address to pull everything from
}

// never lies before every moment.
const never = -time.Hour

// maxStagger bounds the places that delay a box's own reading.
const maxStagger = 5

// NewNode returns the part of a box that starts now.
func NewNode(cfg Config, now time.Duration) *Node {
	return &Node{cfg: cfg, started: now, peers: make(map[string]*peer), confirmed: never, doubt: never, readOK: never,
		lastBeat: never, lastAsk: never, waitsFrom: now}
}

// Drain returns the messages to send, and an address to pull everything from or an
// empty text.
func (n *Node) Drain() ([]Outgoing, string) {
	out, pull := n.out, n.pull
	n.out, n.pull = nil, ""
	return out, pull
}

// Confirmed is when the mirror was last known to be the newest.
func (n *Node) Confirmed() time.Duration { return n.confirmed }

// Doubt is until when entries that went may come back.
func (n *Node) Doubt() time.Duration { return n.doubt }

// Lead is the name of the box that leads the domain.
func (n *Node) Lead() string { return n.lead().Name }

// Leads reports whether this box leads its domain.
func (n *Node) Leads() bool { return n.lead() == n.cfg.Self }

// lead is the best box of the domain that is not known to be silent.
func (n *Node) lead() *wire.GroupBox {
	best := n.cfg.Self
	for _, p := range n.peers {
		if p.box.Domain == best.Domain && !p.silent && !p.leaving && (n.leaving && best == n.cfg.Self || better(p.box, best)) {
			best = p.box
		}
	}
	return best
}

// better orders the boxes of a domain: the stronger first.
func better(a, b *wire.GroupBox) bool {
	if a.Strength != b.Strength {
		return a.Strength > b.Strength
	}
	return a.Name < b.Name
}

// place is how many boxes of the domain go before this one.
func (n *Node) place() int {
	place := 0
	for _, p := range n.peers {
		if p.box.Domain == n.cfg.Self.Domain && better(p.box, n.cfg.Self) {
			place++
		}
	}
	return place
}

// Boxes is how many boxes there are, at the most that was ever known.
func (n *Node) Boxes() int { return max(n.most, 1) }

// Known reports whether the box has heard of the group's size.
func (n *Node) Known() bool { return n.most > 0 }

// domainBoxes counts the boxes of this domain that live, this one included.
func (n *Node) domainBoxes(now time.Duration) int {
	count := 1
	for _, p := range n.peers {
		if p.box.Domain == n.cfg.Self.Domain && now-p.heard < n.cfg.Timing.Member {
			count++
		}
	}
	return count
}

// allBoxes adds what the leads of the other domains said last. Where two boxes took
// themselves for a domain's lead, the greater count is the better one.
func (n *Node) allBoxes(now time.Duration) int {
	domains := make(map[string]int)
	for _, p := range n.peers {
		if p.box.Domain != n.cfg.Self.Domain {
			domains[p.box.Domain] = max(domains[p.box.Domain], p.boxes)
		}
	}
	count := n.domainBoxes(now)
	for _, boxes := range domains {
		count += boxes
	}
	return count
}

// Reads reports whether this box should read what is published itself.
func (n *Node) Reads(now time.Duration) bool {
	t := n.cfg.Timing
	if !n.cfg.FirstStart && n.cfg.Mirror.Revision() == 0 {
		return true
	}
	if n.Leads() {
		return now-n.started >= t.Settle || n.alone()
	}
	if n.leadIsBlind() && now-n.readOK < t.Readback {
		return true
	}
	// After a start, the lead is given its own time to settle and as much to read.
	known := max(n.confirmed, n.started-t.Stale+2*t.Settle)
	return now-known > t.Stale+time.Duration(min(n.place(), maxStagger))*t.Stagger
}

// alone reports whether there is nobody to wait for.
func (n *Node) alone() bool { return len(n.cfg.Seeds) == 0 }

// leadIsBlind reports whether the lead says that it cannot read.
func (n *Node) leadIsBlind() bool {
	p := n.peers[n.Lead()]
	return p != nil && p.leads && !p.reads
}

// Leave tells all that this box is about to end, so that another leads.
func (n *Node) Leave(now time.Duration) {
	n.leaving = true
	for _, p := range n.peers {
		n.send(p.box.Address, n.message(now))
	}
}
