package balance

// This file defines the properties of a request that decisions use. Invariant: the parts of a
// prompt are in prompt order, and the last one belongs to the request alone.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/route"
)

// Request describes a request for placement.
type Request struct {
	Service        string
	Parts          []Part        // of the prompt, in order; the last one belongs to this request alone
	Tokens         int           // of the prompt
	Bytes          int           // of the whole request plus, as far as it can be estimated, its answer
	CanTransfer    bool          // its upstreams can fetch prompts from each other
	Class          string        // class of similar requests; may be empty
	MaxGap         time.Duration // maximum time between events of the answer; 0 if none is set
	ExpectedTokens int           // answer length in tokens as the caller expects it; 0 if not stated
	Urgency        int           // 0 is the most urgent
	Homes          route.Homes   // regions it may run in
	Waited         bool          // it has waited for the end of a pause
	Origin         Origin        // where its stream began
	Resumable      bool          // its stream may go on at another upstream
}

// Part is a section of a prompt that other prompts may share as a prefix.
type Part struct {
	ID     uint64
	Tokens int
}

// urgencyLevel returns the urgency, limited to the levels that work is counted by.
func (r Request) urgencyLevel() int { return min(max(r.Urgency, 0), UrgencyLevels-1) }

// shared returns the parts that other prompts may share: all but the last.
func (r Request) shared() []Part {
	if len(r.Parts) < 2 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// lastShared returns the last shared part, usually the longest, or the zero Part if there is
// none.
func (r Request) lastShared() Part {
	shared := r.shared()
	if len(shared) == 0 {
		return Part{}
	}
	return shared[len(shared)-1]
}

// mayRunIn reports whether a request may run in a failure domain.
func (f *Fleet) mayRunIn(domain string, r Request) bool {
	return !r.Homes.Restricted || slices.Contains(r.Homes.Regions, f.cfg.Regions[domain])
}
