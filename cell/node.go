package cell

// This file defines the Node: its configuration, its state, the advance of
// its clock, and the receipt of messages. Invariant: every entry point
// detects a pause of the box before it does anything else.

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
	Peers  []BoxEntry // from the settings; used until the platform's list of boxes arrives
	// Pool configures the pools that this box owns. The node sets Learn and
	// Seed itself.
	Pool decide.PoolConfig
	// Standalone makes the box own every set as if it were the only box.
	// Experiments use it as the baseline of independent boxes.
	Standalone bool
	// StaticSplit gives the box 1/n of each upstream's slots, as the
	// baseline of a static split. It requires Standalone.
	StaticSplit bool
	// Disabled turns off safeguards, so that tests can show that each one is
	// necessary.
	Disabled DisabledSafeguards
}

// DisabledSafeguards names the safeguards that tests can turn off.
type DisabledSafeguards struct {
	RevisionCheck  bool // adopt any table, including one with an older revision
	Claims         bool // dispatch without claiming the idempotency key
	PauseDetection bool // ignore pauses of the box
	OwnerLearning  bool // a new owner grants before it knows what other boxes hold
	StartByCheck   bool // use a grant after its StartBy time
	BootCheck      bool // accept messages from earlier incarnations
}

// Node is the state machine of one box in its failure domain. It is not safe
// for concurrent use: a single goroutine must call it.
type Node struct {
	cfg             Config
	timing          Timing
	random          *rand.Rand
	now             time.Duration // the box's own clock, as of the last entry point
	wall            time.Duration // since 1970, as of the last tick
	joinStarted     time.Duration // start of the listening period before the box may own sets
	running         bool          // the first tick has happened
	lastTick        time.Duration
	members         *membership
	claims          *decide.Claims
	arrivals        uint64 // requests received so far; orders them
	actions         []Action
	draining        bool                     // a planned stop has begun
	ownShareBlocked map[string]time.Duration // by upstream: the time until which this box sends it nothing from its own share of the slots
	joined          bool                     // the listening period is over

	table               *table.Table
	roster              Roster
	pullDeadline        time.Duration // a pull is in progress until this time
	readInProgress      bool          // a read of the platform is in progress
	nextRead            time.Duration
	platformUnreachable bool // the last read of the platform failed

	owners      map[string]string              // by set: its owner in this box's view
	candidates  []string                       // input of the last computation of the owners
	ownersTable *table.Table                   // table of the last computation of the owners
	domainBoxes []string                       // listed boxes of the domain, sorted, including this one; nil when out of date
	pools       map[string]*decide.Pool        // by set, for the sets that this box owns
	orders      map[string]*decide.Orders      // by set: load orders for its engines
	dirty       map[string]bool                // owned sets whose pools must decide again
	spares      map[string]map[string]*spare   // by set and domain
	requests    map[uint64]*localRequest       // requests that this box carries, by ID
	parked      []*localRequest                // requests that wait for a borrowed share of a limit
	keptSlots   map[string][]keptSlot          // by set, newest last
	recalledAt  map[string]time.Duration       // by set: the time of its last recall
	limits      map[string]*limit              // by key, see limitKey
	lengths     map[string]*decide.Lengths     // by class
	budgets     map[string]*decide.RetryBudget // by class
	verdicts    []decide.Verdict               // reused buffer

	suspects        balance.Suspects         // requests suspected of crashing upstreams
	withheldDigest  uint64                   // of the withheld requests
	upstreamCrashes map[string]upstreamCrash // by upstream: the crashes that this box saw

	nextHeartbeat      time.Duration
	nextHolding        time.Duration
	nextRenew          time.Duration
	nextSpare          time.Duration
	emptySummariesLeft map[holdingKey]int       // how many more times an empty summary is sent
	lastSent           map[string]time.Duration // by box: the time of the last message to it
}

// NewNode returns a node for one incarnation of a box.
func NewNode(cfg Config) *Node {
	n := &Node{
		cfg:                cfg,
		timing:             cfg.Timing,
		random:             rand.New(rand.NewPCG(cfg.Seed, cfg.Boot)),
		claims:             decide.NewClaims(cfg.Domain, cfg.Box, cfg.Boot, cfg.Timing.DeadTimeout),
		owners:             make(map[string]string),
		pools:              make(map[string]*decide.Pool),
		orders:             make(map[string]*decide.Orders),
		dirty:              make(map[string]bool),
		spares:             make(map[string]map[string]*spare),
		requests:           make(map[uint64]*localRequest),
		limits:             make(map[string]*limit),
		lengths:            make(map[string]*decide.Lengths),
		budgets:            make(map[string]*decide.RetryBudget),
		emptySummariesLeft: make(map[holdingKey]int),
		lastSent:           make(map[string]time.Duration),
		keptSlots:          make(map[string][]keptSlot),
		recalledAt:         make(map[string]time.Duration),
		ownShareBlocked:    make(map[string]time.Duration),
		upstreamCrashes:    make(map[string]upstreamCrash),
	}
	n.members = newMembership(cfg.Box, cfg.Boot, cfg.Timing, n.random)
	return n
}

var requestChart = chart.MustLoad(requestChartFile)

// Events of the request state chart.
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

// States of the request state chart that the code refers to.
var (
	stateClaiming = requestChart.State("claiming")
	stateWaiting  = requestChart.State("waiting")
	stateLeased   = requestChart.State("leased")
	stateSending  = requestChart.State("sending")
	stateRunning  = requestChart.State("running")
)

// TakeActions returns the actions that were added since the last call. The
// slice is valid until the next call of any method.
func (n *Node) TakeActions() []Action {
	out := n.actions
	n.actions = n.actions[:0]
	return out
}

func (n *Node) addAction(a Action) { n.actions = append(n.actions, a) }

func (n *Node) send(to string, m Message) {
	n.lastSent[to] = n.now
	n.addAction(Action{Kind: SendMessage, To: to, Message: m})
}

func (n *Node) record(e timeline.Event) {
	e.Box, e.Boot = n.cfg.Box, n.cfg.Boot
	n.addAction(Action{Kind: Record, Event: e})
}

// Tick advances the node: now is on the box's own clock, wall is the time
// since 1970. It is called every few tens of milliseconds. A long gap
// between ticks means that the box was paused; its view is then out of date
// and is dropped before anything else is done.
func (n *Node) Tick(now, wall time.Duration) {
	n.wall = wall
	if !n.running {
		n.now = now
		n.start()
	}
	n.advanceTo(now)
	n.lastTick = now
	n.probe(n.members.probesToRepeat(now))
	n.members.sweep(now, n.memberChanged)
	n.gossipSuspicions()
	n.updateJoined()
	n.observe()
	n.probeInTurn()
	n.readPublished()
	n.updateOwners()
	n.tickClaims()
	n.tickParked()
	n.tickDeadlines()
	n.tickFallback()
	n.tickRedirected()
	n.tickKept()
	n.tickHolding()
	n.tickSpares()
	n.expireSuspects()
	n.expireLeases()
	for set := range n.pools {
		n.dirty[set] = true
	}
	n.flush()
}

// advanceTo sets the node's clock. Every entry point calls it first, so that
// a pause is detected before anything else is done, whichever call comes
// first after the pause.
func (n *Node) advanceTo(now time.Duration) {
	n.now = now
	if gap := now - n.lastTick; n.running && gap > n.timing.PauseGap && !n.cfg.Disabled.PauseDetection {
		n.lastTick = now
		n.resetAfterPause(gap)
	}
}

func (n *Node) start() {
	n.running = true
	n.joinStarted, n.lastTick = n.now, n.now
	n.nextHeartbeat, n.nextHolding, n.nextRenew, n.nextSpare = n.now, n.now, n.now, n.now
	var domainBoxes []BoxEntry
	for _, b := range n.cfg.Peers {
		if b.Domain == n.cfg.Domain {
			domainBoxes = append(domainBoxes, b)
		}
	}
	n.members.setListed(domainBoxes)
	if n.roster.Revision == 0 && len(n.roster.Boxes) == 0 {
		n.roster.Boxes = n.cfg.Peers
		n.domainBoxes = nil
	}
}

// resetAfterPause drops the state that a pause makes unreliable: ownership,
// unused leases, and which boxes are alive. It runs before any message that
// arrived during the pause is handled.
func (n *Node) resetAfterPause(gap time.Duration) {
	n.record(timeline.Event{Kind: timeline.ClockGap, Value: int64(gap / time.Microsecond)})
	n.members.forgetStates(n.now)
	n.claims.Forget()
	n.joined = false
	n.joinStarted = n.now
	for _, set := range n.Owned() {
		n.dropOwnership(set)
	}
	clear(n.keptSlots) // their leases have expired
	clear(n.owners)
	n.candidates = nil
	for _, l := range n.sortedRequests(func(l *localRequest) bool { return l.state == stateWaiting }) {
		l.owner, l.inOtherDomain = "", false
	}
	for _, l := range n.sortedRequests(func(l *localRequest) bool { return l.state == stateLeased && !l.cancelling }) {
		l.cancelling = true
		n.addAction(Action{Kind: CancelRun, Request: l.req.ID})
	}
}

// observe updates the list of boxes that the claims work with.
func (n *Node) observe() {
	n.claims.Observe(n.wall, n.listedBoxes(), n.membershipAgreed())
}

func (n *Node) membershipAgreed() bool {
	return n.joined && n.members.agreed(n.roster.Revision)
}

// listedBoxes returns the names of the listed boxes of the domain, sorted.
// The result is cached until the list changes.
func (n *Node) listedBoxes() []string {
	if n.domainBoxes == nil {
		n.domainBoxes = n.computeListedBoxes()
	}
	return n.domainBoxes
}

func (n *Node) computeListedBoxes() []string {
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

// Receive handles a message from another box. The caller has checked age and
// authenticity: boot and sequence number never decrease.
func (n *Node) Receive(now time.Duration, from string, boot uint64, m Message) {
	if !n.running {
		return
	}
	n.advanceTo(now)
	if p := n.members.peers[from]; p != nil && boot == p.boot {
		p.lastHeard = now
	}
	if p := n.members.peers[from]; p != nil && boot < p.boot && !n.cfg.Disabled.BootCheck {
		return
	}
	if h, ok := m.(*Heartbeat); ok {
		n.onHeartbeat(from, boot, h)
	} else {
		n.handle(from, m)
	}
	n.flush()
}

// InProgress returns the number of requests that this box carries.
func (n *Node) InProgress() int { return len(n.requests) }

// sortedRequests returns the requests for which keep returns true, in the
// order of arrival, so that runs are reproducible.
func (n *Node) sortedRequests(keep func(*localRequest) bool) []*localRequest {
	var out []*localRequest
	for _, l := range n.requests {
		if keep(l) {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *localRequest) int {
		if a.arrivalOrder < b.arrivalOrder {
			return -1
		}
		return 1
	})
	return out
}

// jitter returns a random part of span, so that boxes do not act at the same
// moment.
func jitter(n *Node, span time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(span) + 1))
}
