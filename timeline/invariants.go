package timeline

// This file defines Check, which checks a time line against the invariants of request handling.
// The simulation tests, the tests with real processes and the experiments apply it to the merged
// events of all boxes of a failure domain.

import "fmt"

// Violation is a violated invariant and the event that violated it.
type Violation struct {
	Invariant string
	Event     Event
	Detail    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s (box %s, request %016x, class %s)", v.Invariant, v.Detail, v.Event.Box, v.Event.Request, v.Event.Class)
}

// Names of the invariants that Check checks.
const (
	InvariantTierOrder     = "no higher tier gives way to a lower one"
	InvariantSingleEnd     = "each request ends exactly once"
	InvariantRefusedNotRun = "what was refused did not run"
	InvariantAtMostOnce    = "not repeatable runs at most once"
	InvariantRevisionOrder = "a table never reverts"
)

// Check returns every violation in events, which must be sorted as by Merge. repeatable reports
// whether requests of a class may run more than once.
func Check(events []Event, repeatable func(class string) bool) []Violation {
	c := checker{repeatable: repeatable, requests: make(map[requestKey]*history), revisions: make(map[string]uint64)}
	for _, e := range events {
		c.apply(e)
	}
	return c.violations
}

type requestKey struct {
	box string
	id  uint64
}

// history is the state of a request derived from its events so far.
type history struct {
	sent  int
	ended Kind
	tier  int
}

type checker struct {
	repeatable func(string) bool
	requests   map[requestKey]*history
	revisions  map[string]uint64 // last adopted revision, by box and boot
	violations []Violation
}

func (c *checker) report(invariant string, e Event, format string, args ...any) {
	c.violations = append(c.violations, Violation{invariant, e, fmt.Sprintf(format, args...)})
}

func (c *checker) apply(e Event) {
	switch e.Kind {
	case TableAdopted:
		c.checkTable(e)
	case Received:
		c.requests[requestKey{e.Box, e.Request}] = &history{tier: e.Tier}
	case Sending:
		c.checkSending(e)
	case Disclaimed:
		if h := c.requests[requestKey{e.Box, e.Request}]; h != nil && h.sent > 0 {
			h.sent--
		}
	case Refused:
		c.checkRefused(e)
		c.checkEnd(e)
	case Answered, Unknown, Disconnected:
		c.checkEnd(e)
	}
}

func (c *checker) checkTable(e Event) {
	key := fmt.Sprintf("%s/%x", e.Box, e.Boot)
	if e.Revision < c.revisions[key] {
		c.report(InvariantRevisionOrder, e, "revision %d after %d", e.Revision, c.revisions[key])
	}
	c.revisions[key] = e.Revision
}

func (c *checker) checkSending(e Event) {
	h := c.requests[requestKey{e.Box, e.Request}]
	if h == nil {
		return
	}
	h.sent++
	// A resumed answer continues the same run; Value is the number of tokens it already had.
	if h.sent > 1 && e.Value == 0 && !c.repeatable(e.Class) {
		c.report(InvariantAtMostOnce, e, "sent %d times", h.sent)
	}
	if h.ended != "" {
		c.report(InvariantSingleEnd, e, "sent after it was %s", h.ended)
	}
}

// checkRefused checks that the request was not sent before, and that no request of a lower tier was
// left to evict or pause in its place, for the reasons where that would have avoided the refusal.
func (c *checker) checkRefused(e Event) {
	h := c.requests[requestKey{e.Box, e.Request}]
	if h != nil && h.sent > 0 {
		c.report(InvariantRefusedNotRun, e, "refused as not run after it was sent to an upstream")
	}
	switch e.Reason {
	case "queue_full", "evicted":
		if e.LowerWaiting > 0 {
			c.report(InvariantTierOrder, e, "%s while %d requests of a lower tier waited", e.Reason, e.LowerWaiting)
		}
	case "late":
		if e.LowerRunning > 0 {
			c.report(InvariantTierOrder, e, "late while %d requests of a lower tier ran unprotected", e.LowerRunning)
		}
	}
}

func (c *checker) checkEnd(e Event) {
	h := c.requests[requestKey{e.Box, e.Request}]
	if h == nil {
		return
	}
	if h.ended != "" {
		c.report(InvariantSingleEnd, e, "%s after it was %s", e.Kind, h.ended)
	}
	h.ended = e.Kind
}

// Open returns the ids of the requests that were received and have not ended, in order of receipt.
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
