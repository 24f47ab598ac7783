package route

// This file defines routes. The invariant: a route of a document that New returned
// names a service, and allows an attempt at least.

import (
	"fmt"
	"strings"
	"time"
)

// Repeat says whether a request may run more than once.
type Repeat uint8

// What a route says about running a request again.
const (
	Once       Repeat = iota // at most one run
	Repeatable               // any number of runs
	Stream                   // a stream of events: one run, unless the route resumes
)

// Route is one class of request.
type Route struct {
	Name          string
	Host          string // lower case, without a port
	Prefix        string // of the path; begins and ends with a slash
	Repeat        Repeat
	Resumable     bool          // a stream may go on at another upstream
	Timeout       time.Duration // the longest a request is held
	Target        time.Duration // the latency target
	EventGap      time.Duration // the longest pause between events that is still in time; 0: none given
	Rank          int           // 0 is the most urgent
	MaxAttempts   int           // upstreams one request may be sent to
	Public        bool          // needs no key
	PromptCaching bool          // requests describe their prompts, and upstreams keep prompts in memory
	Targets       []Target      // the services that share the route's requests
	Homes         []string      // the regions whose upstreams may run its requests; none: all
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// CanRepeat reports whether a request of the route may run a second time.
func (r *Route) CanRepeat() bool { return r.Repeat == Repeatable || r.Repeat == Stream && r.Resumable }

func (r *Route) check() error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case len(r.Targets) == 0:
		return fmt.Errorf("route %q names no service", r.Name)
	case r.MaxAttempts < 1:
		return fmt.Errorf("route %q allows %d attempts, want at least 1", r.Name, r.MaxAttempts)
	}
	return nil
}

// Pick returns the service for a request: ticket, any number that differs from
// request to request, falls on each service as often as its weight says.
func (r *Route) Pick(ticket uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	at := int(ticket % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
