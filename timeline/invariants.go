package timeline

// This file defines what must always hold, as functions over a time line. They
// are checked over all boxes of a failure domain together, by the deterministic
// tests, the tests with real processes and the experiments alike.

import "fmt"

// Violation is a broken promise and the event that broke it.
type Violation struct {
	Promise string
	Event   Event
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s (box %s, request %016x, class %s)", v.Promise, v.Detail, v.Event.Box, v.Event.Request, v.Event.Class)
}

// Names of the promises checked here.
const (
	PromiseTiers        = "no higher tier gives way to a lower one"
	InvariantSingleEnd  = "each request ends exactly once"
	PromiseTruth        = "what was refused did not run"
	InvariantAtMostOnce = "not repeatable runs at most once"
	PromiseRevision     = "a table never reverts"
)

// Check returns every violation found in events, which must be in one order.
// Repeatable tells whether a class may run a request twice.
func Check(events []Event, repeatable func(class string) bool) []Violation {
	c := checker{repeatable: repeatable, requests: make(map[requestKey]*history), tables: make(map[string]uint64)}
	for _, e := range events {
		c.step(e)
	}
	return c.found
}

type requestKey struct {
	box string
	id  uint64
}

// history is what a request has been through.
type history struct {
	sent  int
	ended Kind
	tier  int
}

type checker struct {
	repeatable func(string) bool
	requests   map[requestKey]*history
	tables     map[string]uint64 // by box and boot
	found      []Violation
}

func (c *checker) fail(promise string, e Event, format string, args ...any) {
	c.found = append(c.found, Violation{promise, e, fmt.Sprintf(format, args...)})
}

func (c *checker) step(e Event) {
	switch e.Kind {
	case TableAdopted:
		c.table(e)
	case Received:
		c.requests[requestKey{e.Box, e.Request}] = &history{tier: e.Tier}
	case Sending:
		c.sending(e)
	case Disclaimed:
		if h := c.requests[requestKey{e.Box, e.Request}]; h != nil && h.sent > 0 {
			h.sent--
		}
	case Refused:
		c.refused(e)
		c.end(e)
	case Answered, Unknown, Disconnected:
		c.end(e)
	}
}

func (c *checker) table(e Event) {
	key := fmt.Sprintf("%s/%x", e.Box, e.Boot)
	if e.Revision < c.tables[key] {
		c.fail(PromiseRevision, e, "revision %d after %d", e.Revision, c.tables[key])
	}
	c.tables[key] = e.Revision
}

func (c *checker) sending(e Event) {
	h := c.requests[requestKey{e.Box, e.Request}]
	if h == nil {
		return
	}
	h.sent++
	// A resumed answer goes on with the same run; Value counts what it had.
	if h.sent > 1 && e.Value == 0 && !c.repeatable(e.Class) {
		c.fail(InvariantAtMostOnce, e, "sent %d times", h.sent)
	}
	if h.ended != "" {
		c.fail(InvariantSingleEnd, e, "sent after it was %s", h.ended)
	}
}

// refused checks that nothing of a lower tier was left to give way, for the
// reasons that a lower tier could have helped.
func (c *checker) refused(e Event) {
	h := c.requests[requestKey{e.Box, e.Request}]
	if h != nil && h.sent > 0 {
		c.fail(PromiseTruth, e, "refused as not run after it was sent")
	}
	switch e.Reason {
	case "queue_full", "evicted":
		if e.LowerWaiting > 0 {
			c.fail(PromiseTiers, e, "%s while %d of a lower tier waited", e.Reason, e.LowerWaiting)
		}
	case "late":
		if e.LowerRunning > 0 {
			c.fail(PromiseTiers, e, "late while %d of a lower tier ran unprotected", e.LowerRunning)
		}
	}
}

func (c *checker) end(e Event) {
	h := c.requests[requestKey{e.Box, e.Request}]
	if h == nil {
		return
	}
	if h.ended != "" {
		c.fail(InvariantSingleEnd, e, "%s after it was %s", e.Kind, h.ended)
	}
	h.ended = e.Kind
}

// Open returns the requests that were received and have not ended.
func Open(events []Event) []uint64 {
	open := make(map[uint64]bool)
	var order []uint64
	for _, e := range events {
		switch e.Kind {
		case Received:
			open[e.Request] = true
			order = append(order, e.Request)
		case Answered, Refused, Unknown, Disconnected:
			delete(open, e.Request)
		}
	}
	var out []uint64
	for _, id := range order {
		if open[id] {
			out = append(out, id)
		}
	}
	return out
}
