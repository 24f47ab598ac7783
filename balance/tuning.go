package balance

// This file defines the tuning parameters of placement and admission.

import "time"

// Tuning holds the parameters of placement and admission.
type Tuning struct {
	// RereadWeight is the cost, in prompt tokens queued ahead of a request, of each token that
	// would be prefilled or copied again although another upstream has it cached.
	RereadWeight float64
	// NewUpstreamPeriod is how long after it was listed, or moved to its lane, an upstream
	// fetches prompts from their previous home.
	NewUpstreamPeriod time.Duration
	// LaneMinShare is the least share of a service's upstreams that remains for tight streams,
	// and for the other requests, from 0 to 1. In a burst of long prompts the reserved upstreams
	// have little to prefill.
	LaneMinShare float64
	// LaneQueuePrompts is how many prompts an upstream must be able to prefill within the time
	// that a prompt may wait, for an upstream that prefills all the time to count as much as one
	// with all slots occupied, when the needs of tight streams and other requests are compared.
	LaneQueuePrompts float64
	// LaneDecay is the time constant with which the measured load of a lane decays once it has
	// fallen.
	LaneDecay time.Duration
	// LaneExitPrompts is how much backlog an upstream outside of its lane must save a tight
	// stream for it to be placed there, in prompts of the class with the longest ones.
	LaneExitPrompts float64
	// RemoteLoad is the least number of open requests per slot that is added for upstreams of
	// other failure domains, for requests without a prompt.
	RemoteLoad float64
	// DomainKB and RegionKB are the cost of sending a kilobyte to another failure domain, and to
	// another region, in prompt tokens queued ahead of a request.
	DomainKB, RegionKB float64
	// FailWeight is the number of open requests that a failure rate of 1 counts as when the least
	// busy upstream is selected for a request without a prompt.
	FailWeight float64
	// AdmitShare is the share of its latency target that a request may wait for the prompts
	// queued ahead of it; beyond that it is refused and told when to retry. AdmitRetryShare is
	// the same for a retry: up to 1 it is normally still in time; beyond that it is late and
	// delays the requests behind it.
	AdmitShare, AdmitRetryShare float64
	// AdmitLoadedShare is the share that may be spent on prefill of the prompts ahead and of its
	// own when all upstreams have a large backlog; AdmitMinShare is the share that it may wait in
	// any case.
	AdmitLoadedShare, AdmitMinShare float64
	// LoadedShare is the mean backlog of the upstreams, as a share of the latency target, from
	// which on AdmitLoadedShare applies in full.
	LoadedShare float64
	// PrefillRate is the assumed prefill rate of upstreams, in prompt tokens per ms, until it has
	// been measured.
	PrefillRate float64
}

// DefaultTuning is used if a configuration sets none.
var DefaultTuning = Tuning{
	RereadWeight:      3,
	NewUpstreamPeriod: 15 * time.Second,
	LaneMinShare:      0.15,
	LaneQueuePrompts:  5,
	LaneDecay:         500 * time.Millisecond,
	LaneExitPrompts:   1,
	RemoteLoad:        0.3,
	DomainKB:          150,
	RegionKB:          150,
	FailWeight:        6,
	AdmitShare:        0.5,
	AdmitRetryShare:   1,
	AdmitLoadedShare:  0.4,
	AdmitMinShare:     0.1,
	LoadedShare:       0.2,
	PrefillRate:       36,
}
