package balance

// This file defines the state that a fleet keeps for a service, beside its upstreams. Invariant:
// the state starts empty, and is learned from requests or reported by other boxes.

import "time"

// service is the state kept for a service and its requests.
type service struct {
	lanes
	name              string
	software          softwareHistory
	resumableAt       time.Duration // when a stream that may go on elsewhere was last placed, else longAgo
	active            []*member     // upstreams that may have work; see active.go
	upstreamCount     int           // number of its listed upstreams
	unreachableCount  int           // of them: unreachable, or reachable again without a newer entry
	lostPaths         int           // of them: unreachable for this box
	reportedLostCount int           // of them: reported unreachable by other boxes
	slotCount         int           // sum over its upstreams
	classes           classes       // statistics of its request classes
	refusals          refusals      // recent refusals of its requests
	holding           holding       // how long its requests hold slots
	plainRunTime      mean          // in ms, of requests without a prompt that found a free slot
	answers           answerStats   // statistics of its answers
	cold              ColdLimit     // limits for its upstreams while they are cold
	memory            int           // tokens that the memory of each of its upstreams holds; 0 if unknown
	urgentUntil       urgentHolds   // until when capacity is reserved for requests of each urgency
	waiters           waiterCounts  // requests that wait for the end of a pause
	unavailableSince  time.Duration // when a request first found all listed upstreams leaving, else longAgo
	meanUnread        float64       // prompt tokens that its upstreams have to read, averaged over them
	pathFailures      pathFailures  // connections to its upstreams that failed with no answer of any of them in between
	sampledAt         time.Duration // when paths to its upstreams were last verified at once, else longAgo
}

// serviceOf returns the state of a service and creates it if needed.
func (f *Fleet) serviceOf(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{name: name, classes: classes{byKey: make(map[uint32]*class)}, lanes: lanes{stale: true}, unavailableSince: longAgo, resumableAt: longAgo, sampledAt: longAgo}
		f.services[name] = s
	}
	return s
}

// forgetServices drops the state of services that the document does not name, once they have no upstream and
// no version that may have open streams. Names of services stand in entries, which other writers may change
// without end.
func (f *Fleet) forgetServices(now time.Duration) {
	inUse := make(map[*service]bool)
	for _, m := range f.unlisted {
		inUse[m.service] = true
	}
	for name, s := range f.services {
		if f.serves(name) || inUse[s] || len(f.byService[name]) > 0 || len(s.software.recent(now, f.streamSpan)) > 0 {
			continue
		}
		delete(f.services, name)
		delete(f.byService, name)
	}
}
