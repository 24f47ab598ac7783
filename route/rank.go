package route

// This file defines how urgent a request is. The invariants: a class of requests never
// goes before a more urgent class, whoever sends it; within a class the customer's rank
// decides; and two requests have the same order on every box that has the same document.
//
// With the customer's rank first, a ranked customer's burst put back streams of the most
// urgent class while its own requests of less urgent classes ran on: ten and more at an
// upstream, on 3 of 14 days with two customers at eight times their usual; 0 of 14 so.

import "slices"

// ranks are the ranks that a document gives, each list in order.
type ranks struct {
	customers []int
	routes    []int
}

// plainRank is the rank of a customer that states none, and of a caller that is no
// customer's.
const plainRank = 1

func newRanks(d *Document) ranks {
	r := ranks{customers: []int{plainRank}}
	for i := range d.Customers {
		r.customers = append(r.customers, d.Customers[i].rank())
	}
	for i := range d.Routes {
		r.routes = append(r.routes, d.Routes[i].Rank)
	}
	r.customers, r.routes = distinct(r.customers), distinct(r.routes)
	return r
}

func distinct(list []int) []int {
	slices.Sort(list)
	return slices.Compact(list)
}

func (c *Customer) rank() int {
	if c == nil || c.Rank == nil {
		return plainRank
	}
	return *c.Rank
}

// Urgency places a request of the customer, who may be nil, on the route among all
// that the document allows: 0 is the most urgent, levels-1 the least. Where the
// document tells more apart than there are levels, neighbours share one.
func (d *Document) Urgency(r *Route, c *Customer, levels int) int {
	at, _ := slices.BinarySearch(d.ranks.customers, c.rank())
	in, _ := slices.BinarySearch(d.ranks.routes, r.Rank)
	all := len(d.ranks.customers) * len(d.ranks.routes)
	place := in*len(d.ranks.customers) + at
	if all <= levels {
		return place
	}
	return place * levels / all
}

// Urgencies is how many urgencies the document tells apart, given so many levels.
func (d *Document) Urgencies(levels int) int {
	return min(len(d.ranks.customers)*len(d.ranks.routes), levels)
}
