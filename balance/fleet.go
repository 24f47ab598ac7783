package balance

// This file defines the fleet: the upstreams a box knows, and what it knows of each. How
// the list of them changes stands in list.go. The invariant: the work of this box that is
// counted on an upstream is that of the tickets that were opened on it and not yet closed.

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Upstream is an engine or a plain service as its own entry describes it.
type Upstream struct {
	ID        string // a new start has a new one, or the same and a later Born
	StartedAt int64  // when it started, Unix ms; 0: not known
	Service   string
	Address   string // IP:port
	Domain    string // failure domain
	Slots     int    // requests it runs at once
	Leaving   bool   // it takes no new requests
	// ColdFor is how much longer it is cold, as its entry says.
	ColdFor  time.Duration
	Revision uint64 // of its entry; of two that name the same address and no start, the greater one holds
	// CommandCount is how many orders it has taken since its start; Counts says that its entry tells.
	CommandCount    uint64
	HasCommandCount bool
}

// member is an upstream with what this box knows of it besides.
type member struct {
	Upstream
	work     work    // of this box
	others   work    // of all other boxes
	heir     *member // the same life, listed again: it has the work since
	health   health
	out      bool          // it cannot be reached
	byDomain bool          // it was only left along with its domain, when it last came to be out
	since    time.Duration // when it was first listed
	key      uint32        // of its life
	history  *history
	service  *service
	parts    map[uint32]struct{} // those that it stands among the keepers of
	inLanes  uint64              // its weight in the order by which lanes are divided
	weighed  weighed
	active   bool          // it is among its service's active ones
	tight    bool          // it is in the lane for tight streams
	moved    time.Duration // when it came into its lane from the other

	reading   float64         // the share of the time that it has prompts to read
	evacuated bool            // its failure domain is
	unproven  bool            // it may have said that it is leaving before it was known
	coldTill  time.Duration   // until when it is cold
	ration    int             // requests that this box may send it within coldWindow while it is
	coldSent  []time.Duration // when it sent those of the last coldWindow

	brokeAt   time.Duration // when the connection of a run was last broken
	breaks    int           // how many were at about that moment
	back      time.Duration // when it could last be reached again
	unsure    bool          // it is taken for cold, since nothing published tells of the time since
	ended     bool          // another one has its address
	doubted   bool          // there was a sign that it may have ended
	doubtTill time.Duration // until then what others tell that it keeps may be of before that
}

// Config configures a Fleet.
type Config struct {
	Domain string // failure domain of this box
	// Regions holds the region of each failure domain, as far as they are divided into such.
	Regions map[string]string
	Tuning  Tuning
	Named   LimitBounds // of limits that upstreams name
	Off     Off         // the mechanisms that are switched off
	// FirstStart says that no box ran before: what nobody is known to have sent to an
	// upstream has been sent to none.
	FirstStart bool
}

// Fleet is all upstreams that a box knows. It is not safe for several goroutines.
type Fleet struct {
	cfg        Config
	byID       map[string]*member
	byService  map[string][]*member
	byKey      map[uint32]*member
	byAddress  map[string]*member
	waiting    map[string]*Upstream // by id: entries whose address another upstream has
	lives      map[string]lastLife  // by id: the last that is known
	gone       map[string]*member   // by id: listed no more, and this box has requests open on them
	named      map[string]bool      // services of the document in force; nil: none is known yet
	latest     time.Duration        // when the list was last told of an entry
	services   map[string]*service  // by name
	kept       kept
	lost       []Lost                  // out of reach, and not returned by NewlyLost yet
	othersAnew bool                    // an upstream was listed of which others may have told before
	domains    map[string]*domainReach // by name
	toldCutOff []string                // failure domains that another box finds cut off
	ways       map[string]*way         // by failure domain
	rate       float64                 // prompt tokens that an upstream reads in a ms
	listed     time.Duration           // when the first upstream was

	histories  map[uint32]*history // by key of the life
	forgot     time.Duration       // when those of lives that are not listed were last looked through
	evacuated  map[string]bool     // failure domains
	part       float64             // of an upstream's memory that this box may fill: 1 where it knows of the others
	boxes      int                 // in all, as far as is known
	sharers    QuotaPeers
	limits     limits            // that upstreams name
	pauses     map[uint32]*pause // that upstreams asked for, by Key of the life
	pausesOver []uint32          // those that ended and were not returned by PausesOver yet
	cold       []*member         // those that are, and some that were
	sharedAnew bool              // what the rations depend on has changed
}

// firstList is the span in which a box that has started hears of all upstreams there
// are; those that come later are new.
const firstList = 2 * time.Second

// longAgo lies before every moment at which something is still of concern.
const longAgo = -time.Hour

// NewFleet returns an empty fleet.
func NewFleet(cfg Config) *Fleet {
	return &Fleet{
		cfg:       cfg,
		byID:      make(map[string]*member),
		byService: make(map[string][]*member),
		byKey:     make(map[uint32]*member),
		byAddress: make(map[string]*member),
		waiting:   make(map[string]*Upstream),
		lives:     make(map[string]lastLife),
		gone:      make(map[string]*member),
		histories: make(map[uint32]*history),
		pauses:    make(map[uint32]*pause),
		evacuated: make(map[string]bool),
		services:  make(map[string]*service),
		kept:      kept{keepers: make(map[uint32][]keeper)},
		domains:   make(map[string]*domainReach),
		ways:      make(map[string]*way),
		rate:      cfg.Tuning.ReadRate,
		part:      1,
	}
}

// Get returns what is known of an upstream, or nil.
func (f *Fleet) Get(id string) *Upstream {
	if m := f.byID[id]; m != nil {
		return &m.Upstream
	}
	return nil
}

// ByKey returns what is known of the upstream of a life; false where it is not listed.
func (f *Fleet) ByKey(life uint32) (Upstream, bool) {
	if m := f.byKey[life]; m != nil {
		return m.Upstream, true
	}
	return Upstream{}, false
}

// IDs returns the upstreams that are known, in no order.
func (f *Fleet) IDs() []string { return slices.Collect(maps.Keys(f.byID)) }

// View is an upstream as the fleet sees it.
type View struct {
	Upstream
	Out   bool // it cannot be reached
	Tight bool // it is in the lane for tight streams
	// Evacuated says that its failure domain is.
	Evacuated bool
	ColdLeft  time.Duration // for so long it is cold; 0: it is not
	RTT       time.Duration // there and back
	Load      Load          // of all boxes
	Memory    int           // tokens that its memory holds; 0: not known
}

// View lists all upstreams, by service and id.
func (f *Fleet) View(now time.Duration) []View {
	list := make([]View, 0, len(f.byID))
	for _, m := range f.byID {
		load := Load{Unread: m.ahead(Levels - 1), Open: m.open(), Held: m.held()}
		list = append(list, View{Upstream: m.Upstream, Out: m.out, Tight: m.tight, Evacuated: m.evacuated,
			ColdLeft: max(0, m.coldTill-now), RTT: f.RTT(m.Domain), Load: load, Memory: f.serviceOf(m.Service).memory})
	}
	slices.SortFunc(list, func(a, b View) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.ID, b.ID))
	})
	return list
}

// Leave notes that an upstream takes no new requests.
func (f *Fleet) Leave(id string) {
	if m := f.byID[id]; m != nil {
		m.Leaving = true
		f.remember(m.Upstream)
	}
}
