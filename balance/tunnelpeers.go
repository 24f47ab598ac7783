package balance

// This file decides through which boxes a box connects to upstreams that it does not reach itself.
// The invariants: a box that failed to help is not asked again for a while; boxes near the way to
// the upstream come first, but behind all others those that lack paths themselves; at most half of
// those that are asked are of one domain, which may be cut as a whole; and different boxes prefer
// different ones, so that no single box carries the connections of all.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// peerBackoff is how long a box that did not help is not asked again. It doubles, up to
	// maxPeerBackoff, each time that the box gives no answer.
	peerBackoff    = time.Second
	maxPeerBackoff = 4 * time.Second
	// doubtfulPeerTime is how long a box that lacks paths itself comes after the others, and
	// maxPeerMisses how many upstreams in a row it may fail to reach before that is assumed.
	doubtfulPeerTime = 4 * time.Second
	maxPeerMisses    = 2
	// tunnelsPerStep is how many tunnels through a box weigh as much as one step of distance: bytes
	// between domains cost more than within one.
	tunnelsPerStep = 8
	// learnedPeerTime is how long a box that another one named is remembered.
	learnedPeerTime = 30 * time.Second
	// maxLearnedPeers bounds the boxes that are remembered because others named them.
	maxLearnedPeers = 64
	// maxPeerFailures bounds the upstreams that boxes are remembered not to reach.
	maxPeerFailures = 1 << 12
)

// TunnelPeer is a box through which others may connect to upstreams.
type TunnelPeer struct {
	Address string // IP:port
	Domain  string // failure domain
}

// peerState is what this box knows of another one as a way to upstreams.
type peerState struct {
	TunnelPeer
	learnedAt    time.Duration // when another box named it; longAgo: it is known as a member of the group
	avoidTill    time.Duration // not asked before
	backoff      time.Duration // of the last time that it gave no answer; 0: it has answered since
	misses       int           // upstreams in a row that it did not reach
	doubtfulTill time.Duration // asked after others before
	open         int           // tunnels of this box through it
}

// peerFailure identifies an upstream that a box does not reach.
type peerFailure struct {
	address string
	life    uint32
}

// TunnelPeers holds the boxes that a box may connect through. It is not safe for concurrent use.
type TunnelPeers struct {
	box      string // name of this box
	domain   string // its failure domain
	distance func(from, to string) int
	peers    map[string]*peerState
	failures map[peerFailure]time.Duration // until when the box is not asked for the upstream
}

// NewTunnelPeers returns the boxes that a box of a fleet may connect through, none at first.
func (f *Fleet) NewTunnelPeers(box string) *TunnelPeers {
	distance := func(from, to string) int { return int(f.proximityOf(from, to)) }
	return &TunnelPeers{box: box, domain: f.cfg.Domain, distance: distance, peers: make(map[string]*peerState), failures: make(map[peerFailure]time.Duration)}
}

// Set replaces the boxes that are known as members of the group. What is known of those that
// remain is kept.
func (t *TunnelPeers) Set(now time.Duration, list []TunnelPeer) {
	listed := make(map[string]bool, len(list))
	for _, p := range list {
		listed[p.Address] = true
		if known := t.peers[p.Address]; known != nil {
			known.TunnelPeer, known.learnedAt = p, longAgo
			continue
		}
		t.peers[p.Address] = &peerState{TunnelPeer: p, learnedAt: longAgo}
	}
	for address, p := range t.peers {
		if !listed[address] && p.open == 0 && now-p.learnedAt >= learnedPeerTime {
			delete(t.peers, address)
		}
	}
	for key, until := range t.failures {
		if now >= until {
			delete(t.failures, key)
		}
	}
}

// Learn adds boxes that another box, itself known, named as boxes of its domain.
func (t *TunnelPeers) Learn(now time.Duration, from string, addresses []string) {
	by := t.peers[from]
	if by == nil {
		return
	}
	for _, address := range addresses {
		if p := t.peers[address]; p != nil {
			if p.learnedAt != longAgo {
				p.learnedAt = now
			}
			continue
		}
		if len(t.peers) < maxLearnedPeers {
			t.peers[address] = &peerState{TunnelPeer: TunnelPeer{address, by.Domain}, learnedAt: now}
		}
	}
}

// Sample returns up to count boxes of this box's domain that are not avoided, chosen for the box
// with the given name.
func (t *TunnelPeers) Sample(now time.Duration, box string, count int) []string {
	list := t.matching(func(p *peerState) bool { return p.Domain == t.domain && now >= p.avoidTill })
	slices.SortFunc(list, func(a, b *peerState) int {
		return cmp.Or(cmp.Compare(peerWeight(box, b), peerWeight(box, a)), cmp.Compare(a.Address, b.Address))
	})
	return addresses(list, count)
}

// Candidates returns up to count boxes to ask in turn for a connection to an upstream.
func (t *TunnelPeers) Candidates(now time.Duration, u Upstream, count int) []string {
	life := u.Incarnation().Key()
	list := t.matching(func(p *peerState) bool {
		return now >= p.avoidTill && now >= t.failures[peerFailure{p.Address, life}]
	})
	slices.SortFunc(list, func(a, b *peerState) int {
		return cmp.Or(compareDoubt(now, a, b), cmp.Compare(t.cost(a, u), t.cost(b, u)), cmp.Compare(peerWeight(t.box, b), peerWeight(t.box, a)), cmp.Compare(a.Address, b.Address))
	})
	return addresses(limitPerDomain(list, (count+1)/2), count)
}

// compareDoubt orders boxes that lack paths themselves after the others.
func compareDoubt(now time.Duration, a, b *peerState) int {
	isDoubtful := func(p *peerState) int {
		if now < p.doubtfulTill {
			return 1
		}
		return 0
	}
	return isDoubtful(a) - isDoubtful(b)
}

// limitPerDomain moves the boxes of each domain beyond the first limit behind all others.
func limitPerDomain(list []*peerState, limit int) []*peerState {
	first, rest := make([]*peerState, 0, len(list)), []*peerState(nil)
	count := make(map[string]int)
	for _, p := range list {
		if count[p.Domain]++; count[p.Domain] > limit {
			rest = append(rest, p)
			continue
		}
		first = append(first, p)
	}
	return append(first, rest...)
}

// cost orders boxes by the distance that bytes travel from this box through them to the upstream,
// and by the tunnels that already lead there.
func (t *TunnelPeers) cost(p *peerState, u Upstream) int {
	return t.distance(t.domain, p.Domain) + t.distance(p.Domain, u.Domain) + p.open/tunnelsPerStep
}

func (t *TunnelPeers) matching(fits func(*peerState) bool) []*peerState {
	var list []*peerState
	for _, p := range t.peers {
		if fits(p) {
			list = append(list, p)
		}
	}
	return list
}

// peerWeight orders the boxes differently for each box that asks.
func peerWeight(box string, p *peerState) uint64 { return weight(p.Address, weight(box, 0)) }

func addresses(list []*peerState, count int) []string {
	out := make([]string, 0, min(count, len(list)))
	for _, p := range list[:min(count, len(list))] {
		out = append(out, p.Address)
	}
	return out
}

// NoteUnreached records that a box does not reach an upstream.
func (t *TunnelPeers) NoteUnreached(now time.Duration, address string, l Incarnation) {
	if len(t.failures) < maxPeerFailures {
		t.failures[peerFailure{address, l.Key()}] = now + peerBackoff
	}
	p := t.peers[address]
	if p == nil {
		return
	}
	p.backoff = 0
	if p.misses++; p.misses >= maxPeerMisses {
		p.doubtfulTill = now + doubtfulPeerTime
	}
}

// NoteDoubtful records that a box states that it lacks paths itself.
func (t *TunnelPeers) NoteDoubtful(now time.Duration, address string) {
	if p := t.peers[address]; p != nil {
		p.doubtfulTill = now + doubtfulPeerTime
	}
}

// Avoid records that a box is of no help for any upstream at present.
func (t *TunnelPeers) Avoid(now time.Duration, address string) {
	if p := t.peers[address]; p != nil && now >= p.avoidTill {
		p.backoff = min(max(peerBackoff, 2*p.backoff), maxPeerBackoff)
		p.avoidTill = now + p.backoff
	}
}

// Opened and Closed count the tunnels of this box through another one.
func (t *TunnelPeers) Opened(address string) {
	t.addOpen(address, 1)
	if p := t.peers[address]; p != nil {
		p.backoff, p.misses, p.doubtfulTill = 0, 0, 0
	}
}

// Closed undoes Opened.
func (t *TunnelPeers) Closed(address string) { t.addOpen(address, -1) }

func (t *TunnelPeers) addOpen(address string, n int) {
	if p := t.peers[address]; p != nil {
		p.open = max(0, p.open+n)
	}
}

// Len returns how many boxes are known.
func (t *TunnelPeers) Len() int { return len(t.peers) }
