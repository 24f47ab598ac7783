// Package route defines the routing document that operators publish: the routes of
// requests, the services that run them, the customers with their keys, and the limits on
// what callers send.
//
// A document is immutable, adopted as a whole, and shared by all goroutines of a box.
package route

// This file defines the document and its lookups. The invariant: a document that New
// returned is never modified.

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Service is a group of interchangeable upstreams.
type Service struct {
	Name           string
	MaxConnections int           // the most connections that one upstream accepts, over all boxes
	ColdFor        time.Duration // how long an upstream is cold after its start
	ColdPerSecond  float64       // requests per second that a cold upstream can take; 0: no limit
	KVCapacity     int           // capacity of an upstream's KV cache in tokens; 0: unknown
	TransfersKV    bool          // its upstreams can transfer KV cache contents to each other
	HealthPath     string        // path at which an upstream tells its state and names itself; empty: none
}

// Customer is a sender of requests, identified by API keys.
type Customer struct {
	Name string
	Keys []string
	Rank *int // orders requests within a class, 0 first; nil: the default rank, 1
	// Homes are the regions whose upstreams may run its requests; empty: all regions.
	Homes []string
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes int           // size of a request's headers
	BodyBytes   int           // size of a request's body; 0: no limit from the document
	HeaderWait  time.Duration // the longest time for a request's headers to arrive
	IdleWait    time.Duration // the longest time that a connection may be idle
}

// Document is one version of the routing document.
type Document struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits

	byHost    map[string][]*Route // longest prefix first
	byKey     map[string]*Customer
	byService map[string]*Service
	ranks     ranks
}

// New validates and indexes a document; the caller must not modify d afterwards. The error is
// an Error of KindInvalid.
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

// Match returns the route with the longest matching prefix, or nil. The case of host and a
// port in it are ignored.
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

// Customer returns the customer with the API key, or nil.
func (d *Document) Customer(key string) *Customer { return d.byKey[key] }

// Service returns the service with the name, or nil.
func (d *Document) Service(name string) *Service { return d.byService[name] }
