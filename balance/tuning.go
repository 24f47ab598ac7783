package balance

// This file defines the figures that the decisions go by.

import "time"

// Tuning holds the figures of placement.
type Tuning struct {
	// AgainWeight is how many prompt tokens before a request each token weighs that would
	// be read or moved once more, since another upstream keeps it.
	AgainWeight float64
	// NewFor is how long after its listing, or after it came into its lane, an upstream
	// fetches prompts from the one that was their home before.
	NewFor time.Duration
	// LaneLeast is the least share of a service's upstreams that is left to tight streams, and
	// to the others, as a part of 1. In a burst of long prompts what is kept reads little.
	LaneLeast float64
	// LaneQueue is how many prompts an upstream must be able to read in the time that another
	// one may wait, for one that reads all the time to count as much as one whose slots are all
	// held, where the needs of tight streams and of the others are compared.
	LaneQueue float64
	// LaneMemory is the time in which what is under way and to be read counts for less once it
	// has fallen.
	LaneMemory time.Duration
	// Leave is how many prompts of the class that reads the most a place beyond its lane
	// must save a tight stream of reading before its own, for it to leave its lane.
	Leave float64
	// Away is how many open requests for each slot an upstream of another failure
	// domain counts as having more at the least, for requests without a prompt.
	Away float64
	// DomainKB and RegionKB are how many prompt tokens before a request a kilobyte of it counts
	// for that goes to another failure domain, and to another region.
	DomainKB, RegionKB float64
	// FailWeight is how many open requests a certain failure counts for when the
	// less busy upstream of a service without prompts is looked for.
	FailWeight float64
	// Admit is the share of its latency target that a request may wait for prompts
	// that are read before its own; beyond it is refused and told when to come back.
	// AdmitAgain is the same for one that has come back: at 1 it is still in time as a rule, beyond it is
	// late, and makes those behind it late.
	Admit, AdmitAgain float64
	// AdmitLoaded is the share that may go into the reading of those and of its own, where
	// all upstreams have much to read, and AdmitLeast what it may wait in any case.
	AdmitLoaded, AdmitLeast float64
	// Loaded is the share of its target that upstreams have to read on the mean, from
	// which on AdmitLoaded holds.
	Loaded float64
	// ReadRate is how many prompt tokens an upstream reads in a ms, until that has
	// been seen.
	ReadRate float64
}

// DefaultTuning is used where a configuration names none.
var DefaultTuning = Tuning{
	AgainWeight: 3,
	NewFor:      15 * time.Second,
	LaneLeast:   0.15,
	LaneQueue:   5,
	LaneMemory:  500 * time.Millisecond,
	Leave:       1,
	Away:        0.3,
	DomainKB:    150,
	RegionKB:    150,
	FailWeight:  6,
	Admit:       0.5,
	AdmitAgain:  1,
	AdmitLoaded: 0.4,
	AdmitLeast:  0.1,
	Loaded:      0.2,
	ReadRate:    36,
}
