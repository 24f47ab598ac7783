package balance

// This file defines what a fleet knows of a service, beside its upstreams. The invariant:
// it begins empty, and all of it is learned from requests or told by other boxes.

import "time"

// service is what is known of a service and its requests.
type service struct {
	lanes
	name     string
	active   []*member     // of its upstreams; see active.go
	listed   int           // its upstreams
	lost     int           // of them, those out of reach, and those that came back and nothing is told of
	slots    int           // of all its upstreams
	classes  classes       // of its requests
	refusals refusals      // of its requests
	holding  holding       // of its slots
	work     mean          // ms that a request without a prompt runs for, where slots are free
	answers  answers       // of its upstreams
	cold     ColdLimit     // what its upstreams bear while they are
	memory   int           // tokens that the memory of each of its upstreams holds; 0: not known
	wanted   wanted        // places that upstreams which name limits have
	waits    waits         // for the end of a pause
	lacking  time.Duration // since when a request found all that are listed to leave; below 0: they do not
	unread   float64       // prompt tokens that its upstreams have to read, a mean over them
}

// serviceOf returns what is known of a service.
func (f *Fleet) serviceOf(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{name: name, classes: classes{byKey: make(map[uint32]*class)}, lanes: lanes{stale: true}, lacking: longAgo}
		f.services[name] = s
	}
	return s
}
