package balance

// This file defines what the decisions look at of a request. The invariant: the parts
// of a prompt stand in its order, and the last belongs to the request alone.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/route"
)

// Request is what placement looks at.
type Request struct {
	Service  string
	Parts    []Part        // of the prompt, in order; the last belongs to this request alone
	Tokens   int           // of the prompt
	Bytes    int           // of the whole request and, as far as it can be expected, its answer
	Moves    bool          // its upstreams can fetch prompts from each other
	Class    string        // those of a class are alike; empty: none
	Gap      time.Duration // the longest pause between its events that is in time; 0: none is stated
	Expected int           // tokens of its answer, as its caller expects; 0: not said
	Urgency  int           // 0 is the most urgent
	Homes    route.Homes   // where it may run
	Waited   bool          // it has waited for the end of a pause
}

// Part is a part of a prompt that other prompts may begin with too.
type Part struct {
	ID     uint64
	Tokens int
}

// level is the urgency as the work on upstreams is counted by.
func (r Request) level() int { return min(max(r.Urgency, 0), Levels-1) }

// shared is the parts that other prompts may begin with too.
func (r Request) shared() []Part {
	if len(r.Parts) < 2 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// lastShared is the last of them, the longest as a rule; the zero Part where there is none.
func (r Request) lastShared() Part {
	shared := r.shared()
	if len(shared) == 0 {
		return Part{}
	}
	return shared[len(shared)-1]
}

// mayRunIn reports whether a request may run in a failure domain.
func (f *Fleet) mayRunIn(domain string, r Request) bool {
	return !r.Homes.Bound || slices.Contains(r.Homes.Regions, f.cfg.Regions[domain])
}
