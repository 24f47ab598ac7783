package group

// This file defines a box's view of the group: its configuration, the other boxes it
// knows, and what it has to send. Who leads stands in lead.go and who reads in reads.go,
// how many boxes there are in count.go, what is said in talk.go and taken in in hear.go,
// what is published in published.go, changes.go, fetch.go and restart.go, the work under way
// in load.go and audience.go, which domains are cut off in cutoff.go, who speaks for a region
// in region.go, how services are divided in lane.go, who was sent which parts in kept.go,
// which requests upstreams end under in suspects.go, and which limits they name in limits.go.
// The invariant: messages leave a Node by Drain alone.

import (
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// Timing holds a group's times. The figures of DefaultTiming keep a change known on
// every box within the 2 s that deployments allow, whichever box dies or is cut off just before it.
type Timing struct {
	Beat     time.Duration // between two signs of life
	Silence  time.Duration // after which a lead counts as dead
	Member   time.Duration // after which the lead counts a box as gone
	Settle   time.Duration // after a start, in which a lead may make itself known
	Stale    time.Duration // age of knowledge from which a box reads for itself
	Stagger  time.Duration // added to Stale for each place behind the lead, five at most
	Watch    time.Duration // how long a call waits for a change
	Readback time.Duration // how long a box that reads for a lead that cannot goes on
	Gather   time.Duration // after a reading that brought changes, in which more may come
	Others   time.Duration // after a restart, in which other boxes may answer before the publisher is read
	Pull     time.Duration // the same for the first pull, from when it was asked for
}

// DefaultTiming is used where a configuration names none.
var DefaultTiming = Timing{
	Beat:     400 * time.Millisecond,
	Silence:  900 * time.Millisecond,
	Member:   3 * time.Second,
	Settle:   500 * time.Millisecond,
	Stale:    1700 * time.Millisecond,
	Stagger:  60 * time.Millisecond,
	Watch:    time.Second,
	Readback: 3 * time.Second,
	Gather:   100 * time.Millisecond,
	Others:   150 * time.Millisecond,
	Pull:     400 * time.Millisecond,
}

// defaultBound is the time within which DefaultTiming brings a change everywhere.
const defaultBound = 2 * time.Second

// least is the part of DefaultTiming's times below which none is scaled: beats closer
// than 100 ms would cost more than they bring.
const least = 0.25

// TimingFor returns the times that bring a change everywhere within the bound. Where
// there is more time than DefaultTiming needs, it stays.
func TimingFor(bound time.Duration) Timing {
	part := max(min(float64(bound)/float64(defaultBound), 1), least)
	t := DefaultTiming
	for _, d := range []*time.Duration{&t.Beat, &t.Silence, &t.Stale, &t.Stagger, &t.Watch, &t.Gather} {
		*d = time.Duration(part * float64(*d))
	}
	return t
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
	// DomainCount is how many failure domains there are, as settings list them; 0: not known.
	DomainCount int
	// LinkRate is what the box's link carries, in bytes a second; 0: not known.
	LinkRate float64
	// OnChange is told what is new in the mirror.
	OnChange func([]mirror.Item)
}

// Outgoing is a message and where it goes.
type Outgoing struct {
	To      string // IP:port
	Reach   Reach
	Message *wire.GroupMessage
}

// peer is another box.
type peer struct {
	box     *wire.GroupBox
	heard   time.Duration // last sign of life; below 0: never
	named   time.Duration // when another box named it last; below 0: never
	leads   bool
	reads   bool
	knows   bool // it knows what is published
	leaving bool
	silent  bool     // it was expected to lead and was not heard
	boxes   int      // alive in its domain, as it said when it led
	cutOff  []string // domains that it finds cut off, as it said when it led this box's

	beats    int    // that it was sent
	toldList uint64 // digest of the boxes it was last told

	loads     Loads         // its own, or its domain's where it leads another one
	region    Loads         // the sum of its region, where it leads another one
	beyond    Loads         // the sum of all other regions, where it leads this box's
	loadsAt   time.Duration // when these were told whole
	regionAt  time.Duration
	beyondAt  time.Duration
	told      bool                 // as this box's lead, it was told all loads of this box
	toldLoads Loads                // and knows these
	toldAt    time.Duration        // when it was told all
	changesAt time.Duration        // when it was told any
	classes   []balance.ClassSeen  // what it told last of classes
	classesAt time.Duration        // when that came
	lastKept  map[uint32]heardKept // the last message of each scope that told parts
}

// sameDomain reports whether a peer is of this box's failure domain.
func (n *Node) sameDomain(p *peer) bool { return p.box.Domain == n.cfg.Self.Domain }

// Node is one box's part of the group. It is not safe for several goroutines.
type Node struct {
	cfg     Config
	started time.Duration
	peers   map[string]*peer // by name; of this domain, and leads of others
	most    int              // the greatest count of boxes seen
	leaving bool

	mostHere    int  // the greatest count of boxes of this domain
	heardOthers bool // another box has been heard in this life

	chosen    *wire.GroupBox // the lead; nil where it has to be looked for anew
	leadName  string         // the lead that is waited for
	waitsFrom time.Duration  // since when it is

	confirmed time.Duration // when the mirror was the newest
	doubt     time.Duration // until when entries that went may come back
	readOK    time.Duration // last success of this box's own reading
	readFails bool          // this box's last reading failed
	pull      string        // address to pull everything from
	pullFails bool          // its last pull failed
	pullsFrom time.Duration // when its first pull was asked for; below 0: it was not

	pulledFrom   string        // the address that was pulled from last
	wanted       wanted        // the pull that waits
	answers      answers       // to other boxes' pulls
	readsAll     bool          // after a restart it has begun to read everything
	hearsReading time.Duration // when a box was heard that reads everything, or that has heard such a one
	directly     time.Duration // when the box itself was
	lastHail     time.Duration // while nobody has answered

	everything packedItems   // what was packed last
	lately     packedChanges // and of changes
	early      early         // changes that have overtaken those before them
	cutOff     []string      // domains that this box finds cut off

	lastTick time.Duration
	wokeAt   time.Duration // when the box last noticed that it had stood still
	lastBeat time.Duration
	beats    int // that it has sent as a lead
	lastAsk  time.Duration
	lists    map[string]boxList // of the beat under way, by domain
	reaches  map[string]Reach   // by address
	out      []Outgoing

	loads       Loads                        // this box's own
	others      Loads                        // all other boxes'
	sums        loadSums                     // of a lead: what boxes have told it
	changed     map[balance.LoadKey]struct{} // of a lead: what has changed since they were told
	audiences   audiences                    // of a lead
	leading     bool                         // it has begun to lead
	hasFollowed bool                         // it has followed another lead
	greets      bool                         // of a lead: its first beat is due, to all leads that it knows
	speaker     string                       // of a lead: who speaks for its region
	speaksFrom  time.Duration                // since when
	inherits    *inheritance                 // of a lead: what it goes by until all have told; nil: they have
	flushed     time.Duration                // when changes were last told
	looked      time.Duration                // when what waits to be told was last looked at
	news        Loads                        // what has changed in others and was not drained yet

	ownLanes balance.LanePlan // as this box would divide services
	lanes    balance.LanePlan // as the lead it follows does
	lanesAt  time.Duration    // when that was heard last

	ownClasses []balance.ClassSeen // that this box sees

	sharers map[uint32]time.Duration // by hash of a box's name: when the lead told of it

	suspects spread[balance.Suspect]     // requests that upstreams end under
	limits   spread[balance.LimitReport] // limits that upstreams name

	keptNews  []keptNews           // to be told
	keptHeard []balance.PartReport // told by others, and not yet taken over
}

// never lies before every moment.
const never = -time.Hour

// NewNode returns the part of a box that starts now.
func NewNode(cfg Config, now time.Duration) *Node {
	n := &Node{
		cfg:       cfg,
		started:   now,
		peers:     make(map[string]*peer),
		reaches:   make(map[string]Reach),
		waitsFrom: now,
		confirmed: never,
		doubt:     never,
		readOK:    never,
		lastTick:  now,
		wokeAt:    never,
		lastBeat:  never,
		lastAsk:   never,
		lanesAt:   never,
		pullsFrom: never,

		hearsReading: never,
		directly:     never,
		lastHail:     now,
		flushed:      never,
		early:        early{at: never},
		suspects:     newSpread(spreadOfSuspects),
		limits:       newSpread(spreadOfLimits),
		looked:       never,
		changed:      make(map[balance.LoadKey]struct{}),
		others:       make(Loads),
		news:         make(Loads),
		sharers:      make(map[uint32]time.Duration),
	}
	if !cfg.FirstStart {
		n.hail(now) // callers wait: those who are there are to answer at once
	}
	return n
}

// Drain returns the messages to send, and an address to pull everything from or an
// empty text.
func (n *Node) Drain() ([]Outgoing, string) {
	out, pull := n.out, n.pull
	n.out, n.pull = nil, ""
	return out, pull
}

// ConfirmedAt is when the mirror was last known to be the newest.
func (n *Node) ConfirmedAt() time.Duration { return n.confirmed }

// DeletionsUncertainUntil is until when entries that went may come back.
func (n *Node) DeletionsUncertainUntil() time.Duration { return n.doubt }

// Leave tells the boxes of the domain that this box is about to end, so that another leads,
// and those that lead others, if it led.
func (n *Node) Leave(now time.Duration) {
	led := n.IsLeader()
	n.leaving, n.chosen = true, nil
	m := n.message(now)
	for _, p := range n.peers {
		if n.sameDomain(p) || led && n.leadsNow(now, p) {
			n.send(p.box.Address, m)
		}
	}
}
