package route

// This file defines routes. The invariant: a route of a document that New returned
// has at least one service and allows at least one attempt.

import (
	"fmt"
	"strings"
	"time"
)

// Repeat is the policy for executing a request more than once.
type Repeat uint8

// Repeat policies of a route.
const (
	Once       Repeat = iota // executed at most once
	Repeatable               // may be executed any number of times
	Stream                   // a stream of events: executed once, unless the route is resumable
)

// Route defines a class of requests by host and path prefix.
type Route struct {
	Name          string
	Host          string // lower case, without a port
	Prefix        string // of the path; starts and ends with a slash
	Repeat        Repeat
	Resumable     bool          // an interrupted stream may continue on another upstream
	Timeout       time.Duration // the longest time that a request is held
	Target        time.Duration // the latency target
	EventGap      time.Duration // target for the longest pause between events; 0: none
	Rank          int           // 0 is the most urgent
	MaxAttempts   int           // the most upstreams that one request may be sent to
	Public        bool          // requests need no API key
	PromptCaching bool          // requests describe their prompts, and upstreams cache prompts
	Targets       []Target      // services that share the requests, by weight
	Homes         []string      // regions whose upstreams may run its requests; empty: all regions
}

// Target is a service with its weight in a route's split.
type Target struct {
	Service string
	Weight  int
}

// CanRepeat reports whether a request of the route may be executed more than once.
func (r *Route) CanRepeat() bool { return r.Repeat == Repeatable || r.Repeat == Stream && r.Resumable }

func (r *Route) check() error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not start and end with a slash", r.Prefix)
	case len(r.Targets) == 0:
		return fmt.Errorf("route %q names no service", r.Name)
	case r.MaxAttempts < 1:
		return fmt.Errorf("route %q allows %d attempts, want at least 1", r.Name, r.MaxAttempts)
	}
	return nil
}

// Pick returns the service for a request. If ticket is evenly distributed over requests, such as a
// counter, each service gets a share of the requests in proportion to its weight.
func (r *Route) Pick(ticket uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	offset := int(ticket % uint64(total))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
