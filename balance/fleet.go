package balance

// This file defines the fleet: the upstreams a box knows, and what this box has
// under way on each. The invariant: the work counted on an upstream is that of the
// tickets that were opened on it and not yet closed.

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Upstream is a runner as its own entry describes it.
type Upstream struct {
	ID      string // of this start of it; a new start has a new one
	Service string
	Address string // IP:port
	Domain  string // failure domain
	Slots   int
	Leaving bool
}

// Request is what placement looks at.
type Request struct {
	Service string
	Parts   []Part // of the prompt, in order; the last belongs to this request alone
	Tokens  int    // of the prompt
	Output  int    // tokens to be made, at most
	Tight   bool   // its events must follow each other closely
	Urgency int    // 0 is the most urgent
}

// Part is a part of a prompt that other prompts may begin with too.
type Part struct {
	ID     uint64
	Tokens int
}

// Choice is where a request goes.
type Choice struct {
	Upstream *Upstream
	Fetch    string // address of an upstream that keeps more of the prompt, or empty
	Backlog  int    // prompt tokens that are to be read there before
}

// Ticket is a request on an upstream, from the moment it was placed to its end.
type Ticket struct {
	fleet   *Fleet
	member  *member
	urgency int
	unread  int // tokens of its prompt that are counted as not yet read
	opened  time.Duration
	alone   bool // nothing was before it
	closed  bool
}

// member is an upstream with what this box knows of it besides.
type member struct {
	Upstream
	work     work // of this box
	others   work // of all other boxes
	health   health
	out      bool // it cannot be reached
	outSince time.Duration
	since    time.Duration // when it was first listed
}

// Config configures a Fleet.
type Config struct {
	Domain string // of this box
	Tuning Tuning
}

// Fleet is all upstreams that a box knows. It is not safe for several goroutines.
type Fleet struct {
	cfg       Config
	byID      map[string]*member
	byService map[string][]*member
	rate      float64       // prompt tokens that an upstream reads in a ms
	listed    time.Duration // when the first upstream was
}

// firstList is the span in which a box that has started hears of all upstreams there
// are; those that come later are new.
const firstList = 2 * time.Second

// NewFleet returns an empty fleet.
func NewFleet(cfg Config) *Fleet {
	return &Fleet{cfg: cfg, byID: make(map[string]*member), byService: make(map[string][]*member), rate: cfg.Tuning.ReadRate}
}

// Put adds an upstream, or renews what is known of it. One that is leaving stays
// so: an entry that says otherwise is an old one.
func (f *Fleet) Put(now time.Duration, u Upstream) {
	if m := f.byID[u.ID]; m != nil {
		u.Leaving = u.Leaving || m.Leaving
		m.Upstream = u
		return
	}
	if len(f.byID) == 0 {
		f.listed = now
	}
	m := &member{Upstream: u, since: now}
	if now-f.listed < firstList {
		m.since = now - f.cfg.Tuning.NewFor // it was there before this box
	}
	f.byID[u.ID] = m
	f.byService[u.Service] = append(f.byService[u.Service], m)
}

// Remove forgets an upstream. Tickets that are open on it may still be closed.
func (f *Fleet) Remove(id string) {
	m := f.byID[id]
	if m == nil {
		return
	}
	delete(f.byID, id)
	list := f.byService[m.Service]
	kept := make([]*member, 0, len(list))
	for _, other := range list {
		if other != m {
			kept = append(kept, other)
		}
	}
	f.byService[m.Service] = kept
}

// Get returns what is known of an upstream, or nil.
func (f *Fleet) Get(id string) *Upstream {
	if m := f.byID[id]; m != nil {
		return &m.Upstream
	}
	return nil
}

// IDs returns the upstreams that are known, in no order.
func (f *Fleet) IDs() []string {
	ids := make([]string, 0, len(f.byID))
	for id := range f.byID {
		ids = append(ids, id)
	}
	return ids
}

// View is an upstream as the fleet sees it.
type View struct {
	Upstream
	Out  bool // it cannot be reached
	Load Load // of all boxes
}

// View lists all upstreams, by service and id.
func (f *Fleet) View() []View {
	list := make([]View, 0, len(f.byID))
	for _, m := range f.byID {
		load := Load{Unread: m.ahead(Levels - 1), Open: m.open()}
		list = append(list, View{Upstream: m.Upstream, Out: m.out, Load: load})
	}
	slices.SortFunc(list, func(a, b View) int { return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.ID, b.ID)) })
	return list
}

// Leave notes that an upstream takes no new requests.
func (f *Fleet) Leave(id string) {
	if m := f.byID[id]; m != nil {
		m.Leaving = true
	}
}

// Open counts a request on an upstream.
func (f *Fleet) Open(now time.Duration, id string, r Request) *Ticket {
	m := f.byID[id]
	if m == nil {
		return &Ticket{closed: true}
	}
	t := &Ticket{fleet: f, member: m, urgency: r.level(), unread: f.missing(m, r), opened: now, alone: m.open() == 0}
	m.work.add(t.urgency, Load{Unread: t.unread, Open: 1})
	return t
}

// missing is how many tokens an upstream has to read for a request that is placed
// there: all that no other request shares, and the rest where it is not at home.
func (f *Fleet) missing(m *member, r Request) int {
	if len(r.Parts) < 2 {
		return r.Tokens
	}
	if home := f.home(r); home != nil && home.ID == m.ID {
		return r.Parts[len(r.Parts)-1].Tokens
	}
	return r.Tokens
}

// First notes that the first event came: the prompt has been read.
func (t *Ticket) First(now time.Duration) {
	if t.closed {
		return
	}
	if t.alone {
		t.fleet.learnRate(t.unread, now-t.opened)
	}
	t.clear()
}

func (t *Ticket) clear() {
	t.member.work.add(t.urgency, Load{Unread: -t.unread})
	t.unread = 0
}

// Close ends the count, and tells what became of the request.
func (t *Ticket) Close(now time.Duration, outcome Outcome) {
	if t.closed {
		return
	}
	t.clear()
	t.closed = true
	t.member.work.add(t.urgency, Load{Open: -1})
	t.member.health.note(now, outcome)
	switch outcome {
	case Unreachable:
		t.fleet.unreached(now, t.member)
	case Answered, Full:
		t.member.out = false
	}
}

// sharedKey identifies what a request shares with others, its last shared part; 0
// where it shares nothing.
func sharedKey(r Request) uint64 {
	if len(r.Parts) < 2 {
		return 0
	}
	return r.Parts[len(r.Parts)-2].ID
}

// weight is the rendezvous weight of an upstream for a key.
func weight(id string, key uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(id)
	return d.Sum64()
}
