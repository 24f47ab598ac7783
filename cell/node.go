package cell

// This file defines the node itself: its configuration and state, the passing of
// time, and the ways in. The invariant: a pause of the box is noticed before
// anything is done after it.

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/chart"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
)

// Config configures a Node.
type Config struct {
	Box    string
	Domain string
	Boot   uint64 // larger for each incarnation of the box
	Seed   uint64
	Timing Timing
	Peers  []BoxEntry // known from the settings, until the platform's list comes
	// Pool configures the pools that this box owns; Learn and Seed are filled in.
	Pool decide.PoolConfig
	// Standalone makes the box its own owner of everything, as if it were the only
	// one: the baseline of independent boxes.
	Standalone bool
	// StaticSplit gives the box 1/n of each upstream's slots: the baseline of a static
	// split. It goes with Alone.
	StaticSplit bool
	// Unfenced leaves out the care that keeps a promise; tests switch it on to
	// see the promise broken.
	Unfenced Unfenced
}

// Unfenced names the mechanisms that tests can switch off.
type Unfenced struct {
	OldTables bool // adopt any table, also an older one
	Claims    bool // dispatch without a claim
	Gaps      bool // do not notice pauses
	Learning  bool // a new owner grants at once
	StartBy   bool // use a grant however old
	Boots     bool // accept messages of old incarnations
}

// Node is one box's part in its failure domain. It is not safe for several
// goroutines: one duty owns it.
type Node struct {
	cfg      Config
	timing   Timing
	random   *rand.Rand
	now      time.Duration // the box's own clock, as of the last way in
	wall     time.Duration // since 1970, as of the last tick
	started  time.Duration // of the time of listening before it may own something
	running  bool          // the first tick has come
	lastTick time.Duration
	members  *membership
	claims   *decide.Claims
	arrivals uint64 // requests so far; orders them
	actions  []Action
	draining bool                     // a planned stop has begun
	quiet    map[string]time.Duration // by upstream: until when it gets nothing from this box's own share
	joined   bool                     // the time of listening is over

	table    *table.Table
	roster   Roster
	pulling  time.Duration // a pull is under way until then
	reading  bool          // of the platform, under way
	nextRead time.Duration
	blind    bool // the last read of the platform failed

	owners     map[string]string              // owner of each set, as this box sees it
	candidates []string                       // that the owners were worked out from
	ownedBy    *table.Table                   // the table that they were worked out from
	inDomain   []string                       // the listed boxes of the domain, sorted, this one included
	pools      map[string]*decide.Pool        // of the sets that this box owns
	orders     map[string]*decide.Orders      // to the engines of those sets
	dirty      map[string]bool                // sets whose pools have something to decide
	spares     map[string]map[string]*spare   // by set and domain
	locals     map[uint64]*local              // requests that this box carries
	parked     []*local                       // of those, the ones that wait for a borrowed share
	kept       map[string][]keptSlot          // by set, the newest last
	recalled   map[string]time.Duration       // when a set was last recalled
	limits     map[string]*limit              // by key, see limitKey
	lengths    map[string]*decide.Lengths     // by class
	budgets    map[string]*decide.RetryBudget // by class
	routed     []decide.Verdict               // a buffer, reused

	ends       balance.Suspects   // requests that upstreams ended under
	endsDigest uint64             // of those that are withheld
	seenEnds   map[string]seenEnd // by upstream

	nextHeartbeat time.Duration
	nextHolding   time.Duration
	nextRenew     time.Duration
	nextSpare     time.Duration
	empties       map[holdingKey]int       // how often an empty sum is still sent
	told          map[string]time.Duration // when each box was last told something
}

// NewNode returns the node of one incarnation of a box.
func NewNode(cfg Config) *Node {
	n := &Node{
		cfg:      cfg,
		timing:   cfg.Timing,
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.Boot)),
		claims:   decide.NewClaims(cfg.Domain, cfg.Box, cfg.Boot, cfg.Timing.Dead),
		owners:   make(map[string]string),
		pools:    make(map[string]*decide.Pool),
		orders:   make(map[string]*decide.Orders),
		dirty:    make(map[string]bool),
		spares:   make(map[string]map[string]*spare),
		locals:   make(map[uint64]*local),
		limits:   make(map[string]*limit),
		lengths:  make(map[string]*decide.Lengths),
		budgets:  make(map[string]*decide.RetryBudget),
		empties:  make(map[holdingKey]int),
		told:     make(map[string]time.Duration),
		kept:     make(map[string][]keptSlot),
		recalled: make(map[string]time.Duration),
		quiet:    make(map[string]time.Duration),
		seenEnds: make(map[string]seenEnd),
	}
	n.members = newMembership(cfg.Box, cfg.Boot, cfg.Timing, n.random)
	return n
}

var requestChart = chart.MustLoad(requestChartFile)

// Events of the request chart.
var (
	eventClaim  = requestChart.Event("claim")
	eventBid    = requestChart.Event("bid")
	eventGrant  = requestChart.Event("grant")
	eventSend   = requestChart.Event("send")
	eventToken  = requestChart.Event("token")
	eventAnswer = requestChart.Event("answer")
	eventRefuse = requestChart.Event("refuse")
	eventLose   = requestChart.Event("lose")
	eventLeave  = requestChart.Event("leave")
)

// States of the request chart that the code asks about.
var (
	stateClaiming = requestChart.State("claiming")
	stateWaiting  = requestChart.State("waiting")
	stateLeased   = requestChart.State("leased")
	stateSending  = requestChart.State("sending")
	stateRunning  = requestChart.State("running")
)

// TakeActions returns the actions since the last call. They are valid until the next
// call of any method.
func (n *Node) TakeActions() []Action {
	out := n.actions
	n.actions = n.actions[:0]
	return out
}

func (n *Node) act(a Action) { n.actions = append(n.actions, a) }

func (n *Node) send(to string, m Message) {
	n.told[to] = n.now
	n.act(Action{Kind: SendMessage, To: to, Message: m})
}

func (n *Node) record(e timeline.Event) {
	e.Box, e.Boot = n.cfg.Box, n.cfg.Boot
	n.act(Action{Kind: Record, Event: e})
}

// Tick lets time pass: now on the box's own clock, wall since 1970. It is called
// every few tens of milliseconds. A long gap between ticks means that the box
// was paused: what it believes is old, and is dropped before anything is done.
func (n *Node) Tick(now, wall time.Duration) {
	n.wall = wall
	if !n.running {
		n.now = now
		n.start()
	}
	n.at(now)
	n.lastTick = now
	n.probe(n.members.unanswered(now))
	n.members.sweep(now, n.memberChanged)
	n.passOn()
	n.join()
	n.observe()
	n.beat()
	n.readPublished()
	n.reown()
	n.tickClaims()
	n.tickParked()
	n.tickDeadlines()
	n.tickFallback()
	n.tickVisitors()
	n.tickKept()
	n.tickHolding()
	n.tickSpares()
	n.tickEnds()
	n.expireLeases()
	for set := range n.pools {
		n.dirty[set] = true
	}
	n.flush()
}

// at moves the node's time on. Every way into the node passes here first, so that
// a pause is noticed before anything is done, whatever comes first after it.
func (n *Node) at(now time.Duration) {
	n.now = now
	if gap := now - n.lastTick; n.running && gap > n.timing.Gap && !n.cfg.Unfenced.Gaps {
		n.lastTick = now
		n.woke(gap)
	}
}

func (n *Node) start() {
	n.running = true
	n.started, n.lastTick = n.now, n.now
	n.nextHeartbeat, n.nextHolding, n.nextRenew, n.nextSpare = n.now, n.now, n.now, n.now
	var own []BoxEntry
	for _, b := range n.cfg.Peers {
		if b.Domain == n.cfg.Domain {
			own = append(own, b)
		}
	}
	n.members.list(own)
	if n.roster.Revision == 0 && len(n.roster.Boxes) == 0 {
		n.roster.Boxes = n.cfg.Peers
		n.inDomain = nil
	}
}

// woke drops what was believed before a pause: ownership, leases that were not
// used yet, and who is alive. It runs before any message that came meanwhile.
func (n *Node) woke(gap time.Duration) {
	n.record(timeline.Event{Kind: timeline.Woke, Value: int64(gap / time.Microsecond)})
	n.members.stale(n.now)
	n.claims.Forget()
	n.joined = false
	n.started = n.now
	for _, set := range n.Owned() {
		n.disown(set)
	}
	clear(n.kept) // the leases have run out
	clear(n.owners)
	n.candidates = nil
	for _, l := range n.sorted(func(l *local) bool { return l.state == stateWaiting }) {
		l.owner, l.visiting = "", false
	}
	for _, l := range n.sorted(func(l *local) bool { return l.state == stateLeased && !l.stopping }) {
		l.stopping = true
		n.act(Action{Kind: CancelRun, Request: l.req.ID})
	}
}

// observe keeps the claims' picture of the list up to date.
func (n *Node) observe() {
	n.claims.Observe(n.wall, n.listed(), n.agreed())
}

func (n *Node) agreed() bool {
	return n.joined && n.members.agreed(n.roster.Revision)
}

// listed names the boxes of the domain on the list, sorted. The result is kept
// until the list changes.
func (n *Node) listed() []string {
	if n.inDomain == nil {
		n.inDomain = n.workOutListed()
	}
	return n.inDomain
}

func (n *Node) workOutListed() []string {
	var out []string
	for _, b := range n.roster.Boxes {
		if b.Domain == n.cfg.Domain {
			out = append(out, b.Name)
		}
	}
	if !slices.Contains(out, n.cfg.Box) {
		out = append(out, n.cfg.Box)
	}
	slices.Sort(out)
	return out
}

// Receive takes in a message from another box. Age and authenticity have been
// checked by the edge: boot and sequence never go back.
func (n *Node) Receive(now time.Duration, from string, boot uint64, m Message) {
	if !n.running {
		return
	}
	n.at(now)
	if p := n.members.peers[from]; p != nil && boot == p.boot {
		p.direct = now
	}
	if p := n.members.peers[from]; p != nil && boot < p.boot && !n.cfg.Unfenced.Boots {
		return
	}
	if h, ok := m.(*Heartbeat); ok {
		n.onHeartbeat(from, boot, h)
	} else {
		n.handle(from, m)
	}
	n.flush()
}

// InProgress is how many requests this box carries.
func (n *Node) InProgress() int { return len(n.locals) }

// sorted lists the requests for which keep holds, in the order of their arrival
// and then of their ids, so that runs can be repeated.
func (n *Node) sorted(keep func(*local) bool) []*local {
	var out []*local
	for _, l := range n.locals {
		if keep(l) {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *local) int {
		if a.order < b.order {
			return -1
		}
		return 1
	})
	return out
}

// jitter is a random part of a span, so that boxes do not act together.
func jitter(n *Node, span time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(span) + 1))
}
