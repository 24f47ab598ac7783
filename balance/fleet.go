package balance

// This file defines Fleet: the upstreams that a box knows and the state it keeps for each of
// them. list.go defines how the list of upstreams changes. Invariant: the work of this box that
// is counted on an upstream equals the work of the tickets that were opened on it and are not
// closed yet.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Upstream describes an engine or a plain service, as its registry entry states it.
type Upstream struct {
	ID        string // a restart changes the ID or increases StartedAt
	StartedAt int64  // start time, Unix ms; 0 if unknown
	Service   string
	Address   string // IP:port
	Domain    string // failure domain
	Slots     int    // number of requests it runs concurrently
	Software  string // version of its software; empty if its entry states none
	Leaving   bool   // takes no new requests
	// ColdFor is the remaining time for which the upstream is cold, according to its entry.
	ColdFor  time.Duration
	Revision uint64 // of the entry; orders entries with the same address and no start time
	// CommandCount is the number of control commands that the upstream has received since it
	// started. HasCommandCount reports whether its entry states that number.
	CommandCount    uint64
	HasCommandCount bool
}

// member is an upstream together with the state that this box keeps for it.
type member struct {
	Upstream
	work                work    // of this box
	remoteWork          work    // of all other boxes
	successor           *member // the same incarnation, listed again; it now holds the work
	health              health
	unreachable         bool          // cannot be reached; used only if no other upstream is left
	unreachableByDomain bool          // unreachable only because its failure domain counts as cut off
	listedAt            time.Duration // when it was first listed
	key                 uint32        // of its incarnation
	history             *history
	service             *service
	cachedParts         map[uint32]struct{} // prompt parts that it is recorded as holding; see partIndex
	laneWeight          uint64              // determines its position when the upstreams are divided into lanes
	lastWeight          keyWeight
	active              bool          // is in its service's list of active upstreams
	tight               bool          // is in the lane for tight streams
	laneChangedAt       time.Duration // when it moved into its present lane from the other

	prefillShare      float64         // share of the time, 0 to 1, in which it has prompt tokens to read
	evacuated         bool            // its failure domain is evacuated
	needsLeavingCheck bool            // its previous incarnation reported leaving, which may have meant this one
	coldUntil         time.Duration   // end of its cold period
	coldQuota         int             // number of requests that this box may send it within coldWindow while it is cold
	coldRequests      []time.Duration // when this box sent the requests of the last coldWindow

	lastBreakAt    time.Duration // when the connection of a run last broke
	recentBreaks   int           // number of connections that broke around lastBreakAt
	reachableSince time.Duration // when it last became reachable again
	assumedCold    bool          // counts as cold until an entry newer than reachableSince describes it
	replaced       bool          // another upstream has taken over its address
	reports        reachReports  // of other boxes, about its connections
	tunnel         tunnelState   // of connections to it through other boxes
	brittle        *brittleState // nil: it does not state that it is brittle
	suspect        bool          // there was a sign that it may have restarted
	distrustUntil  time.Duration // until then, cache news from other boxes may predate the suspected restart
}

// Config configures a Fleet.
type Config struct {
	Domain string // failure domain of this box
	// Regions maps failure domains to regions, as far as they belong to one.
	Regions     map[string]string
	Tuning      Tuning
	LimitBounds LimitBounds // bounds for the limits that upstreams state in their answers
	Off         Off         // mechanisms that are switched off
	// FirstStart says that no box of this deployment ran before. A prompt part that no box is
	// known to have sent to an upstream has then been sent to none.
	FirstStart bool
}

// Fleet holds all upstreams that a box knows. It is not safe for concurrent use.
type Fleet struct {
	cfg              Config
	byID             map[string]*member
	byService        map[string][]*member
	byKey            map[uint32]*member
	byAddress        map[string]*member
	addressWaiters   map[string]*Upstream       // by ID: entries whose address another upstream holds
	incarnations     map[string]lastIncarnation // by ID: the latest known incarnation
	unlisted         map[string]*member         // by ID: removed while this box had requests open on it
	documentServices map[string]bool            // named by the configuration document; nil before the first one
	lastPutAt        time.Duration              // when an entry was last put
	services         map[string]*service        // by name
	parts            partIndex
	newlyUnreachable []UnreachableUpstream          // not yet returned by TakeNewlyUnreachable
	reachReports     map[reachKey]queuedReachReport // not yet returned by TakeReachReports
	remoteLoadsStale bool                           // an upstream was listed since the last SetRemoteLoads
	domains          map[string]*domainReach        // by name
	reportedCutOff   []string                       // failure domains that another box reports as cut off
	pathFailures     pathFailures                   // connections that failed with no answer of any upstream in between
	tunnels          tunnelTrend                    // whether other boxes reach what this one does not
	rtts             map[string]*rttEstimate        // by failure domain
	prefillRate      float64                        // prompt tokens that an upstream reads per ms
	firstListedAt    time.Duration                  // when the first upstream was listed
	knownSince       time.Duration                  // when any upstream was first listed; longAgo: none was
	historyLostAt    time.Duration                  // when versions were last listed that this box did not know of; longAgo: never
	streamSpan       time.Duration                  // the longest time that a stream may last
	secondSoftware   []string                       // services not yet returned by TakeSecondSoftware

	histories        map[uint32]*history // by incarnation key
	historiesSweptAt time.Duration       // when the histories of unlisted incarnations were last swept
	evacuated        map[string]bool     // failure domains
	memoryShare      float64             // share of an upstream's memory that this box may fill; 1 if it knows the other boxes' loads
	quotaPeers       QuotaPeers          // boxes that share the quotas
	limits           limitTable          // rate limits that upstreams state in their answers
	priorsStale      bool                // the counts of TakePriorCounts have changed
	priorsUntil      time.Duration       // when the first of them is no longer needed
	pauses           map[uint32]*pause   // that upstreams requested, by incarnation key
	endedPauses      []uint32            // incarnation keys of pauses that ended, not yet returned by PausesOver
	coldMembers      []*member           // upstreams that are cold, and some that were
	quotasStale      bool                // an input of the quotas has changed
}

// initialListSpan is the time in which a box that has just started receives the entries of all
// existing upstreams. Upstreams listed after that count as newly started.
const initialListSpan = 2 * time.Second

// longAgo is earlier than any time that a decision still depends on.
const longAgo = -time.Hour

// NewFleet returns an empty fleet.
func NewFleet(cfg Config) *Fleet {
	return &Fleet{
		cfg:            cfg,
		byID:           make(map[string]*member),
		byService:      make(map[string][]*member),
		byKey:          make(map[uint32]*member),
		byAddress:      make(map[string]*member),
		addressWaiters: make(map[string]*Upstream),
		incarnations:   make(map[string]lastIncarnation),
		unlisted:       make(map[string]*member),
		histories:      make(map[uint32]*history),
		pauses:         make(map[uint32]*pause),
		evacuated:      make(map[string]bool),
		services:       make(map[string]*service),
		parts:          partIndex{holders: make(map[uint32][]partHolder)},
		domains:        make(map[string]*domainReach),
		reachReports:   make(map[reachKey]queuedReachReport),
		rtts:           make(map[string]*rttEstimate),
		prefillRate:    cfg.Tuning.PrefillRate,
		memoryShare:    1,
		priorsUntil:    math.MaxInt64,
		knownSince:     longAgo,
		historyLostAt:  longAgo,
		streamSpan:     defaultStreamSpan,
	}
}

// Get returns the listed upstream with the given ID, or nil.
func (f *Fleet) Get(id string) *Upstream {
	if m := f.byID[id]; m != nil {
		return &m.Upstream
	}
	return nil
}

// ByKey returns the listed upstream whose incarnation has the given key, or false.
func (f *Fleet) ByKey(key uint32) (Upstream, bool) {
	if m := f.byKey[key]; m != nil {
		return m.Upstream, true
	}
	return Upstream{}, false
}

// IDs returns the IDs of the listed upstreams in no particular order.
func (f *Fleet) IDs() []string { return slices.Collect(maps.Keys(f.byID)) }

// View is a snapshot of an upstream as the fleet sees it.
type View struct {
	Upstream
	Unreachable bool // cannot be reached
	Tight       bool // in the lane for tight streams
	// Evacuated reports whether its failure domain is evacuated.
	Evacuated bool
	ColdLeft  time.Duration // remaining cold time; 0 if it is not cold
	RTT       time.Duration // round-trip time to its failure domain
	Load      Load          // of all boxes
	Memory    int           // tokens that its memory holds; 0 if unknown
}

// View returns all listed upstreams, sorted by service and ID.
func (f *Fleet) View(now time.Duration) []View {
	list := make([]View, 0, len(f.byID))
	for _, m := range f.byID {
		load := Load{Unread: m.unreadAhead(UrgencyLevels - 1), Requests: m.open(), MemoryTokens: m.held()}
		list = append(list, View{Upstream: m.Upstream, Unreachable: m.unreachable, Tight: m.tight, Evacuated: m.evacuated,
			ColdLeft: max(0, m.coldUntil-now), RTT: f.RTT(m.Domain), Load: load, Memory: f.serviceOf(m.Service).memory})
	}
	slices.SortFunc(list, func(a, b View) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.ID, b.ID))
	})
	return list
}

// Leave marks an upstream as taking no new requests.
func (f *Fleet) Leave(id string) {
	if m := f.byID[id]; m != nil {
		m.Leaving = true
		f.remember(m.Upstream)
	}
}
