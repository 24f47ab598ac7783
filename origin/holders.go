package origin

// This file draws the boxes that hold the record of a stream. The invariant: boxes that know the same
// boxes ask every holder that the box which carried the stream told, whichever of the boxes has
// ended or joined since.

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownHolders and otherHolders are how many boxes of the own failure domain, and how many other
	// domains, are told of a stream.
	ownHolders, otherHolders = 2, 2
	// A box that asks is not the one that told, so that what that one skipped, itself or its domain,
	// may come before a holder.
	ownAsked, otherAsked = ownHolders + 1, otherHolders + 1
)

// Peer is another box that this one knows.
type Peer struct {
	Address string // IP:port of its datagrams
	Domain  string // failure domain
	Leads   bool   // it leads its domain; of other domains only leaders are known
}

// Peers are the boxes that a box knows. The zero value knows none.
type Peers struct {
	own     []Peer
	leader  string            // address of the leader of the own domain, unless it is this box
	leaders map[string][]Peer // by other domain
}

// NewPeers returns the boxes known to a box of a failure domain.
func NewPeers(domain string, list []Peer) Peers {
	p := Peers{leaders: make(map[string][]Peer)}
	for _, x := range list {
		if x.Domain != domain {
			p.leaders[x.Domain] = append(p.leaders[x.Domain], x)
			continue
		}
		p.own = append(p.own, x)
		if x.Leads {
			p.leader = x.Address
		}
	}
	return p
}

// Len returns the number of known boxes.
func (p *Peers) Len() int {
	n := len(p.own)
	for _, list := range p.leaders {
		n += len(list)
	}
	return n
}

// Holders returns the addresses of the boxes to tell of a stream; mayHold says in which domains its
// record may be kept.
func (p *Peers) Holders(key Key, mayHold func(domain string) bool) []string {
	return p.draw(key, mayHold, ownHolders, otherHolders)
}

// Asked returns the addresses of the boxes to ask for a stream.
func (p *Peers) Asked(key Key, mayHold func(domain string) bool) []string {
	list := p.draw(key, mayHold, ownAsked, otherAsked)
	if p.leader != "" && !slices.Contains(list, p.leader) {
		list = append(list, p.leader) // another domain may have told it
	}
	return list
}

// draw returns the first boxes of the own domain and the leaders of the first other domains, in the
// order that the key draws.
func (p *Peers) draw(key Key, mayHold func(domain string) bool, own, other int) []string {
	var list []string
	for _, x := range firstBy(p.own, own, func(x Peer) uint64 { return weight(key, x.Address) }) {
		list = append(list, x.Address)
	}
	var domains []string
	for domain := range p.leaders {
		if mayHold(domain) {
			domains = append(domains, domain)
		}
	}
	for _, domain := range firstBy(domains, other, func(d string) uint64 { return weight(key, d) }) {
		for _, x := range p.leaders[domain] {
			list = append(list, x.Address)
		}
	}
	return list
}

// firstBy returns the n items with the highest weights, the highest first.
func firstBy[T any](items []T, n int, weight func(T) uint64) []T {
	type weighted struct {
		item   T
		weight uint64
	}
	list := make([]weighted, len(items))
	for i, x := range items {
		list[i] = weighted{x, weight(x)}
	}
	slices.SortFunc(list, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	first := make([]T, 0, n)
	for _, x := range list[:min(n, len(list))] {
		first = append(first, x.item)
	}
	return first
}

// weight is the rendezvous weight of a name for a key.
func weight(key Key, name string) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(name), uint64(key)))
}
