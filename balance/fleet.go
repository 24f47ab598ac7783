package balance

// This file defines the fleet: the upstreams a box knows, and what this box has
// under way on each. The invariant: the work counted on an upstream is that of the
// tickets that were opened on it and not yet closed.

import (
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
}

// Ticket is a request on an upstream, from the moment it was placed to its end.
type Ticket struct {
	member *member
	unread int // tokens of its prompt that are counted as not yet read
	closed bool
}

// member is an upstream with what this box knows of it besides.
type member struct {
	Upstream
	open   int // requests of this box
	unread int // prompt tokens of this box's requests without an answer yet
	health health
	others othersLoad
}

// othersLoad is what the other boxes have under way on an upstream.
type othersLoad struct {
	open   int
	unread int
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
}

// NewFleet returns an empty fleet.
func NewFleet(cfg Config) *Fleet {
	return &Fleet{cfg: cfg, byID: make(map[string]*member), byService: make(map[string][]*member)}
}

// Put adds an upstream, or renews what is known of it. One that is leaving stays
// so: an entry that says otherwise is an old one.
func (f *Fleet) Put(u Upstream) {
	if m := f.byID[u.ID]; m != nil {
		u.Leaving = u.Leaving || m.Leaving
		m.Upstream = u
		return
	}
	m := &member{Upstream: u}
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

// Leave notes that an upstream takes no new requests.
func (f *Fleet) Leave(id string) {
	if m := f.byID[id]; m != nil {
		m.Leaving = true
	}
}

// Open counts a request on an upstream.
func (f *Fleet) Open(id string, r Request) *Ticket {
	m := f.byID[id]
	if m == nil {
		return &Ticket{closed: true}
	}
	t := &Ticket{member: m, unread: f.missing(m, r)}
	m.open++
	m.unread += t.unread
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
func (t *Ticket) First() {
	if t.closed {
		return
	}
	t.member.unread -= t.unread
	t.unread = 0
}

// Close ends the count, and tells what became of the request.
func (t *Ticket) Close(now time.Duration, outcome Outcome) {
	if t.closed {
		return
	}
	t.First()
	t.closed = true
	t.member.open--
	t.member.health.note(now, outcome)
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
