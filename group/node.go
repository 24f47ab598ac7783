package group

// This file defines Node, a box's view of the group: its configuration, the peers it knows, and
// the messages it has to send. leader.go selects the leader and reader.go the box that reads the
// publisher. count.go counts boxes. send.go, receive.go and hello.go handle membership messages,
// and linkbudget.go bounds what lists of boxes take of a link.
// published.go, changes.go, pull.go, snapshot.go and restart.go distribute published data, and
// coverage.go, outage.go
// and uncertainty.go define until when removed entries may reappear, missed.go what this box missed.
// load.go, loadchanges.go and recipients.go exchange loads. unreachable.go tracks unreachable
// domains, and region.go selects the region leader. lane.go exchanges the division of services
// into lanes, sentparts.go the prompt parts sent to upstreams, suspects.go the requests that
// upstreams crash under, limits.go the rate limits that upstreams announce, priorcounts.go the
// requests sent before limits were known, and reachreports.go which upstreams can be reached.
// originpeers.go names the boxes that may hold records of streams. The invariant: messages leave a Node only through Drain.

import (
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// Timing holds the intervals and timeouts of a group. With DefaultTiming every box learns of a
// change within the 2 s that deployments allow, even if any one box fails or is cut off just
// before the change.
type Timing struct {
	HeartbeatInterval   time.Duration // between heartbeats
	LeaderTimeout       time.Duration // without a message, after which a leader counts as failed
	MemberTimeout       time.Duration // without a message, after which a box counts as gone
	StartupSettle       time.Duration // after a start, during which a leader may announce itself
	StaleAfter          time.Duration // age of the local copy from which a box reads the publisher itself
	Stagger             time.Duration // added to StaleAfter for each stronger box of the domain, five at most
	WatchTimeout        time.Duration // longest wait of a call to the publisher for a change
	DelegatedReadPeriod time.Duration // how long a box keeps reading on behalf of a leader that cannot read
	BatchDelay          time.Duration // delay after a read that returned changes, to collect further ones
	RestartWait         time.Duration // after a restart, wait for answers of other boxes before reading the publisher
	PullWait            time.Duration // the same for the first pull, counted from its request
}

// DefaultTiming is used if a configuration sets no timing.
var DefaultTiming = Timing{
	HeartbeatInterval:   400 * time.Millisecond,
	LeaderTimeout:       900 * time.Millisecond,
	MemberTimeout:       3 * time.Second,
	StartupSettle:       500 * time.Millisecond,
	StaleAfter:          1700 * time.Millisecond,
	Stagger:             60 * time.Millisecond,
	WatchTimeout:        time.Second,
	DelegatedReadPeriod: 3 * time.Second,
	BatchDelay:          100 * time.Millisecond,
	RestartWait:         150 * time.Millisecond,
	PullWait:            400 * time.Millisecond,
}

// defaultPropagationBound is the time within which DefaultTiming propagates a change to all
// boxes.
const defaultPropagationBound = 2 * time.Second

// minTimingScale is the smallest factor applied to DefaultTiming. Heartbeats less than 100 ms
// apart would cost more than they gain.
const minTimingScale = 0.25

// TimingFor returns timing that propagates a change to all boxes within bound. A bound above that
// of DefaultTiming leaves DefaultTiming unchanged.
func TimingFor(bound time.Duration) Timing {
	part := max(min(float64(bound)/float64(defaultPropagationBound), 1), minTimingScale)
	t := DefaultTiming
	for _, d := range []*time.Duration{&t.HeartbeatInterval, &t.LeaderTimeout, &t.StaleAfter, &t.Stagger, &t.WatchTimeout, &t.BatchDelay} {
		*d = time.Duration(part * float64(*d))
	}
	return t
}

// Config configures a Node.
type Config struct {
	Self   *wire.GroupBox
	Seeds  []string // IP:port of boxes that may be running
	Timing Timing
	Mirror *mirror.Mirror
	// FirstStart says that no box of the fleet ran before this start. No callers are waiting yet,
	// so the box has time to find the others before it reads anything. A box that starts later
	// already has callers waiting.
	FirstStart bool
	// DomainCount is the number of failure domains listed in the settings; 0 means unknown.
	DomainCount int
	// LinkRate is the capacity of the box's network link in bytes per second; 0 means unknown.
	LinkRate float64
	// OnChange is called with the items that changed in Mirror.
	OnChange func([]mirror.Item)
}

// Outgoing is a message and its destination.
type Outgoing struct {
	To      string // IP:port
	Reach   Reach
	Message *wire.GroupMessage
}

// peer is the state kept about another box.
type peer struct {
	box          *wire.GroupBox
	lastHeard    time.Duration // last message received from it; negative: none
	lastListed   time.Duration // when another box last listed it; negative: never
	isLeader     bool
	canRead      bool
	hasPublished bool // it holds a copy of the published data
	leaving      bool
	timedOut     bool     // it was expected to lead and sent nothing within the timeout
	domainBoxes  int      // live boxes of its domain, as it reported when it led
	unreachable  []string // unreachable domains, as reported by it as leader of this domain

	heartbeats     int    // sent to it
	sentListDigest uint64 // digest of the box list last sent to it

	loads              Loads         // its own, or the sum of its domain if it leads another one
	regionLoads        Loads         // the sum of its region, if it leads another one
	otherRegionLoads   Loads         // the sum of all other regions, if it leads the region of this box
	loadsAt            time.Duration // when its complete list was received
	regionLoadsAt      time.Duration
	otherRegionLoadsAt time.Duration
	loadsSent          bool                          // as this box's leader, it was sent all loads of this box
	sentLoads          Loads                         // the loads it holds for this box
	allLoadsSentAt     time.Duration                 // when it was last sent the complete list
	lastLoadsSentAt    time.Duration                 // when it was last sent any loads
	classes            []balance.ClassStats          // what it last reported about classes
	classesAt          time.Duration                 // when that was received
	lastParts          map[uint32]receivedParts      // the last message about prompt parts, by scope
	priorCounts        map[uint32]balance.PriorCount // requests before limits: its own, or the sum of its domain if it leads another one
}

// sameDomain reports whether a peer belongs to this box's failure domain.
func (n *Node) sameDomain(p *peer) bool { return p.box.Domain == n.cfg.Self.Domain }

// Node is one box's part of the group protocol. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	started  time.Duration
	peers    map[string]*peer // by name; boxes of this domain, and leaders of others
	maxBoxes int              // the largest number of boxes seen
	leaving  bool

	maxDomainBoxes int  // the largest number of boxes of this domain seen
	heardPeer      bool // a message of another box was received since the start

	chosenLeader   *wire.GroupBox // the leader; nil if it has to be chosen again
	expectedLeader string         // the leader whose heartbeats are expected
	expectedSince  time.Duration  // since when they are

	confirmedAt   time.Duration // when the mirror was last known to be current
	fleetAnswers  outageTracker // what all boxes got from the publisher
	domainAnswers outageTracker // what this box's domain got from it, or heard of
	copyGap       copyGap       // when this box's copy was last not confirmed
	missedUntil   time.Duration // until when others had answers that this box did not know of
	uncertainties Uncertainties // whether entries removed after an outage of the publisher may reappear
	lastReadAt    time.Duration // last successful read of the publisher by this box
	readFailed    bool          // this box's last read failed
	readFailedAt  time.Duration // its last failed read
	pullAddress   string        // address to pull from; empty: none
	pullFailed    bool          // the last pull failed
	pullWaitFrom  time.Duration // start of the wait for a pull: its first request or last refusal; negative: not requested yet

	lastPullAddress       string        // address of the last pull
	pendingPull           pendingPull   // the pull that waits to be started
	answeredPulls         answeredPulls // answers to pulls of other boxes
	readStarted           bool          // after a restart, this box has begun to read the publisher
	readerHeardAt         time.Duration // when a box that reads everything, or that has heard of one, was last heard
	readerHeardDirectlyAt time.Duration // when a box that reads everything was last heard itself
	lastHelloAt           time.Duration // last hello while no box has answered

	snapshot    packedSnapshot // the last snapshot encoded for pulls
	delta       packedDelta    // the last delta encoded for pulls
	reordered   reorderBuffer  // changes received before the changes that precede them
	unreachable []string       // domains that this box cannot reach

	lastTick           time.Duration
	resumedAt          time.Duration // when the box last noticed that it had been suspended
	lastHeartbeat      time.Duration
	heartbeats         int // rounds of heartbeats sent as leader
	lastChangesRequest time.Duration
	boxLists           map[string]boxList // box lists of the current heartbeat round, by domain
	reachByAddress     map[string]Reach   // by address
	out                []Outgoing

	loads               Loads                        // of this box
	otherLoads          Loads                        // of all other boxes
	loadSums            loadSums                     // on a leader: sums of the loads that boxes reported
	changedLoads        map[balance.LoadKey]struct{} // on a leader: loads changed since they were last sent
	recipients          recipientGroups              // on a leader
	actsAsLeader        bool                         // this box has started to act as leader
	hasFollowed         bool                         // it was a member under another leader before
	announcesLeadership bool                         // on a leader: its first heartbeat is due, to all leaders it knows
	regionLeaderName    string                       // on a leader: the leader of its region
	regionLeaderSince   time.Duration                // since when it is that
	inherited           *inheritedLoads              // on a leader: loads known from its time as a member, used until all boxes have reported; nil: all have
	loadsFlushedAt      time.Duration                // when load changes were last sent
	pendingCheckedAt    time.Duration                // when unsent load changes were last checked
	loadChanges         Loads                        // changes in otherLoads that were not drained yet

	ownLanes balance.LanePlan // the division that this box would choose
	lanes    balance.LanePlan // the division announced by the leader it follows
	lanesAt  time.Duration    // when that was last received

	ownClasses []balance.ClassStats // as measured by this box

	quotaPeers map[uint32]time.Duration // by hash of the box name: when a leader last named it

	suspects     replicator[balance.Suspect]     // requests that upstreams crash under
	suspectParts replicator[balance.Suspect]     // parts of prompts that upstreams crash under
	limits       replicator[balance.LimitReport] // rate limits that upstreams announce
	reach        replicator[balance.ReachReport] // connections to upstreams that time out, or work again

	helloBudget linkBudget  // answers to hellos
	listBudget  linkBudget  // box lists in heartbeats
	reachBudget linkBudget  // on a leader: reports about connections
	priorCounts priorCounts // requests sent before limits were known
	hasEntries  bool        // this box no longer lacks entries after its start

	pendingParts  []pendingPart        // to be sent
	receivedParts []balance.PartReport // received from other boxes and not drained yet
}

// never is earlier than any time of a Node.
const never = -time.Hour

// NewNode returns the Node of a box that starts now.
func NewNode(cfg Config, now time.Duration) *Node {
	n := &Node{
		cfg:                cfg,
		started:            now,
		peers:              make(map[string]*peer),
		reachByAddress:     make(map[string]Reach),
		expectedSince:      now,
		confirmedAt:        never,
		uncertainties:      Uncertainties{Fleet: Uncertainty{Until: never}, Domain: Uncertainty{Until: never}},
		lastReadAt:         never,
		copyGap:            copyGap{never, never},
		missedUntil:        never,
		readFailedAt:       never,
		lastTick:           now,
		resumedAt:          never,
		lastHeartbeat:      never,
		lastChangesRequest: never,
		lanesAt:            never,
		pullWaitFrom:       never,

		readerHeardAt:         never,
		readerHeardDirectlyAt: never,
		lastHelloAt:           now,
		loadsFlushedAt:        never,
		reordered:             reorderBuffer{lastAt: never},
		suspects:              newReplicator(suspectReplication),
		suspectParts:          newReplicator(partReplication),
		limits:                newReplicator(limitReplication),
		reach:                 newReplicator(reachReplication),
		priorCounts:           priorCounts{lastFlush: never},
		pendingCheckedAt:      never,
		changedLoads:          make(map[balance.LoadKey]struct{}),
		otherLoads:            make(Loads),
		loadChanges:           make(Loads),
		quotaPeers:            make(map[uint32]time.Duration),
	}
	n.fleetAnswers, n.domainAnswers = newOutageTrackers(cfg.Timing)
	if !cfg.FirstStart {
		n.sendHello(now) // callers are waiting, so running boxes should answer at once
	}
	return n
}

// Drain returns the messages to send, and the address to pull published data from, or an empty
// string.
func (n *Node) Drain() ([]Outgoing, string) {
	out, pull := n.out, n.pullAddress
	n.out, n.pullAddress = nil, ""
	return out, pull
}

// ConfirmedAt returns the time at which the mirror was last known to be current.
func (n *Node) ConfirmedAt() time.Duration { return n.confirmedAt }

// Leave announces to the boxes of the domain that this box is about to stop, so that another box
// takes over. A leader also announces it to the leaders of other domains.
func (n *Node) Leave(now time.Duration) {
	led := n.IsLeader()
	n.leaving, n.chosenLeader = true, nil
	m := n.newMessage(now)
	for _, p := range n.peers {
		if n.sameDomain(p) || led && n.isLiveForeignLeader(now, p) {
			n.send(p.box.Address, m)
		}
	}
}
