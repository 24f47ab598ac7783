// Package timeline records the events of each box and merges the events of many boxes into one
// ordered sequence, the time line.
//
// Each process keeps a bounded ring buffer of events, stamped by a hybrid logical clock, so that
// an event caused by a message from another box is ordered after the sending of the message even
// if their wall clocks differ. Operators read the time line, and tests check it against the
// invariants of invariants.go.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Kind is the type of an event.
type Kind string

// Kinds of event.
const (
	Received      Kind = "received"      // a request came from a caller
	Waiting       Kind = "waiting"       // its box asked an owner for a slot
	Granted       Kind = "granted"       // an owner granted it a slot
	Leased        Kind = "leased"        // its box holds the slot
	Sending       Kind = "sending"       // from here on bytes may be sent to the upstream
	Running       Kind = "running"       // the first token arrived from the upstream
	Paused        Kind = "paused"        // its run was stopped in favour of a higher tier
	Disclaimed    Kind = "disclaimed"    // the upstream reported that it did not run the request
	Retried       Kind = "retried"       // the request is retried after a failure
	Answered      Kind = "answered"      // the whole answer reached the caller
	Refused       Kind = "refused"       // the request was refused and did not run
	Unknown       Kind = "unknown"       // the request ended and may have run
	Disconnected  Kind = "left"          // the caller disconnected
	Redirected    Kind = "redirected"    // its box asks for a slot in another failure domain
	PauseOrdered  Kind = "pause_ordered" // an owner asked for the run to be paused
	Owning        Kind = "owning"        // the box became owner of a set
	OwnershipLost Kind = "disowning"     // the box is no longer owner of a set
	TableAdopted  Kind = "table_adopted"
	TableBad      Kind = "table_bad"
	ListAdopted   Kind = "list_adopted"
	BoxAlive      Kind = "box_alive"
	BoxDead       Kind = "box_dead"
	Draining      Kind = "draining"
	Stopped       Kind = "stopped"
	ClockGap      Kind = "woke"     // the box noticed a gap in its own time of Value microseconds
	Fallback      Kind = "fallback" // the box took a slot from its own share, without the owner
	Ordered       Kind = "ordered"  // the owner ordered an engine to load the model in Reason
)

// Stamp is a timestamp of the hybrid logical clock.
type Stamp struct {
	Wall    int64 `json:"wall"`    // nanoseconds since 1970
	Logical int   `json:"logical"` // orders stamps with the same Wall
}

// Compare returns -1, 0 or +1 as s is before, equal to or after t.
func (s Stamp) Compare(t Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, t.Wall), cmp.Compare(s.Logical, t.Logical))
}

// Event is an entry of the time line. Fields that do not apply to its kind are zero.
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
	Value        int64  `json:"value,omitempty"` // tokens, microseconds or a count, depending on Kind
	LowerWaiting int    `json:"lower_waiting,omitempty"`
	LowerRunning int    `json:"lower_running,omitempty"`
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp after all stamps that the clock has returned or observed. wall is the current
// time.
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

// Observe advances the clock to a stamp received with a message, so that later stamps of Now are
// after it. A stamp more than one minute ahead of wall, the current time, is ignored.
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

// Ring is a ring buffer of the newest events. It is safe for concurrent use.
type Ring struct {
	mu     sync.Mutex
	events []Event
	next   int
	total  uint64
}

// NewRing returns a ring that holds up to size events, at least one.
func NewRing(size int) *Ring {
	return &Ring{events: make([]Event, 0, max(size, 1))}
}

// Add adds an event; if the ring is full it replaces the oldest one.
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

// Events returns the stored events, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.events))
	out = append(out, r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}

// Total returns the number of events added so far, including replaced ones.
func (r *Ring) Total() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Merge returns the events of several boxes sorted by stamp, then by box.
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

// Filter returns the events that match the request, class and box; a zero value matches all.
func Filter(events []Event, request uint64, class, box string) []Event {
	var out []Event
	for _, e := range events {
		if (request == 0 || e.Request == request) && (class == "" || e.Class == class) && (box == "" || e.Box == box) {
			out = append(out, e)
		}
	}
	return out
}
