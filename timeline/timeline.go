// Package timeline records what happened on each box and puts the records of
// many boxes into one order.
//
// Each process keeps a bounded ring of events, stamped by a hybrid logical
// clock, so that what one box did because of another's message comes after it
// even when their wall clocks differ. The time line is the operators' view and
// the oracle of the tests: invariants.go holds the brief's promises as functions
// over it.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Kind tells what an event is.
type Kind string

// Kinds of event.
const (
	Received      Kind = "received"      // a request came from a caller
	Waiting       Kind = "waiting"       // it was bid for
	Granted       Kind = "granted"       // an owner granted it a slot
	Leased        Kind = "leased"        // the holder has the slot
	Sending       Kind = "sending"       // a byte may leave for the upstream
	Running       Kind = "running"       // the first token came
	Paused        Kind = "paused"        // it was stopped for a higher tier
	Disclaimed    Kind = "disclaimed"    // the upstream said that it did not run it
	Retried       Kind = "retried"       // it is tried again after a failure
	Answered      Kind = "answered"      // the whole answer reached the caller
	Refused       Kind = "refused"       // it was refused and did not run
	Unknown       Kind = "unknown"       // it ended and may have run
	Disconnected  Kind = "left"          // its caller went away
	Redirected    Kind = "redirected"    // it bids in another failure domain
	PauseOrdered  Kind = "pause_ordered" // an owner asked for a pause
	Owning        Kind = "owning"        // the box became owner of a set
	OwnershipLost Kind = "disowning"     // it is no longer
	TableAdopted  Kind = "table_adopted"
	TableBad      Kind = "table_bad"
	ListAdopted   Kind = "list_adopted"
	BoxAlive      Kind = "box_alive"
	BoxDead       Kind = "box_dead"
	Draining      Kind = "draining"
	Stopped       Kind = "stopped"
	ClockGap      Kind = "woke"     // a gap in the box's own time was noticed
	Fallback      Kind = "fallback" // a slot was taken from the box's own share
	Ordered       Kind = "ordered"  // an order went to an engine
)

// Stamp is a moment of the hybrid logical clock.
type Stamp struct {
	Wall    int64 `json:"wall"`    // nanoseconds since 1970
	Logical int   `json:"logical"` // orders what has the same Wall
}

// Compare orders stamps.
func (s Stamp) Compare(t Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, t.Wall), cmp.Compare(s.Logical, t.Logical))
}

// Event is one thing that happened. Fields that do not apply are zero.
type Event struct {
	Stamp
	Box          string `json:"box"`
	Boot         uint64 `json:"boot,omitempty"`
	Kind         Kind   `json:"kind"`
	Request      uint64 `json:"request,omitempty"`
	Class        string `json:"class,omitempty"`
	Tier         int    `json:"tier,omitempty"`
	Customer     string `json:"customer,omitempty"`
	Upstream     string `json:"upstream,omitempty"`
	Set          string `json:"set,omitempty"`
	Reason       string `json:"reason,omitempty"`
	Revision     uint64 `json:"revision,omitempty"`
	Value        int64  `json:"value,omitempty"` // tokens, microseconds or a count, by kind
	LowerWaiting int    `json:"lower_waiting,omitempty"`
	LowerRunning int    `json:"lower_running,omitempty"`
}

// Clock is a hybrid logical clock. It is safe for several goroutines.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp after all that the clock has given or seen.
func (c *Clock) Now(wall time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := wall.UnixNano(); n > c.last.Wall {
		c.last = Stamp{Wall: n}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe takes in a stamp that came with a message, so that what follows is later.
// A stamp too far ahead of the own clock is not believed.
func (c *Clock) Observe(wall time.Time, s Stamp) {
	if s.Wall-wall.UnixNano() > int64(time.Minute) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Compare(s) < 0 {
		c.last = s
	}
}

// Ring keeps the newest events. It is safe for several goroutines.
type Ring struct {
	mu     sync.Mutex
	events []Event
	next   int
	total  uint64
}

// NewRing returns a ring of the given size.
func NewRing(size int) *Ring {
	return &Ring{events: make([]Event, 0, max(size, 1))}
}

// Add enters an event, over the oldest if the ring is full.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Events returns the events, the oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.events))
	out = append(out, r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}

// Total is how many events were ever added.
func (r *Ring) Total() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Merge puts the events of several boxes into one order.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, l := range lists {
		all = append(all, l...)
	}
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(a.Compare(b.Stamp), cmp.Compare(a.Box, b.Box))
	})
	return all
}

// Filter returns the events that concern a request, class or box; zero values
// match all.
func Filter(events []Event, request uint64, class, box string) []Event {
	var out []Event
	for _, e := range events {
		if (request == 0 || e.Request == request) && (class == "" || e.Class == class) && (box == "" || e.Box == box) {
			out = append(out, e)
		}
	}
	return out
}
