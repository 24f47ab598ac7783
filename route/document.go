// Package route holds the routing document that operators publish: which requests
// there are, which service runs each, who may send them, and under which limits.
//
// A document is taken whole, never changed, and shared by all goroutines of a box.
package route

// This file defines the document and its look-ups. The invariant: a document that
// New returned is never written again.

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Service is a group of like upstreams.
type Service struct {
	Name           string
	MaxConnections int           // an upstream accepts, from all boxes together
	ColdFor        time.Duration // for how long an upstream is cold after a start
	ColdPerSecond  float64       // requests in a second that a cold upstream bears; 0: there is no bound
	Memory         int           // tokens that the memory of an upstream holds; 0: not known
	Moves          bool          // its upstreams can fetch from each other what they keep of prompts
}

// Customer is who sends requests, known by keys.
type Customer struct {
	Name string
	Keys []string
	Rank *int // goes before the rank of the route where given
	// Homes are the regions whose upstreams may run its requests; none: all.
	Homes []string
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int           // of a request's head
	BodyBytes   int           // of a request's body; 0: the document sets no bound
	HeaderWait  time.Duration // the longest that a head may take to arrive
	IdleWait    time.Duration // the longest that a connection may rest
}

// Document is one version of the routing document.
type Document struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits

	byHost    map[string][]*Route // the longest prefix first
	byKey     map[string]*Customer
	byService map[string]*Service
	ranks     ranks
}

// New indexes a document; the caller does not touch it afterwards.
func New(d Document) (*Document, error) {
	d.byHost = make(map[string][]*Route)
	d.byKey = make(map[string]*Customer)
	d.byService = make(map[string]*Service)
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(); err != nil {
			return nil, &Error{Op: fmt.Sprintf("routes[%d]", i), Kind: KindInvalid, Err: err}
		}
		d.byHost[r.Host] = append(d.byHost[r.Host], r)
	}
	for _, list := range d.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Customers {
		for _, key := range d.Customers[i].Keys {
			d.byKey[key] = &d.Customers[i]
		}
	}
	for i := range d.Services {
		d.byService[d.Services[i].Name] = &d.Services[i]
	}
	d.ranks = newRanks(&d)
	return &d, nil
}

// Match returns the route of a request, or nil. A port behind the host is not
// part of its name.
func (d *Document) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range d.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Customer returns who holds the key, or nil.
func (d *Document) Customer(key string) *Customer { return d.byKey[key] }

// Service returns the service of that name, or nil.
func (d *Document) Service(name string) *Service { return d.byService[name] }
