// Package balance decides which upstream receives a request, and whether a request
// may be sent a second time.
//
// The package is pure: callers pass the time as an argument, and nothing blocks or performs I/O, so
// that tests and measurements run the same decisions as production. A box holds one Fleet and
// the retry Budgets of its services, and reports events to them.
//
// Terms used throughout the package:
//
//   - box: a router process; failure domain (domain): machines that fail together
//   - entry: what the registry says of an upstream; document: the configuration in force
//   - incarnation: one run of an upstream, from its start to its end
//   - part: a section of a prompt; all parts but the last may be shared with other prompts
//   - tight stream: a stream whose events must follow each other closely
//   - lane: the upstreams of a service reserved for tight streams, or those for all other requests
//   - cold: recently started or reachable again, and able to take only few requests per second
//
// Files by topic:
//
//   - what a box knows: fleet.go, list.go (changes of the list), incarnation.go, service.go, active.go
//     (upstreams inspected periodically), load.go, ticket.go (counting requests), history.go
//   - where a request goes: place.go, with cost.go, rendezvous.go, partindex.go, fetch.go, rtt.go, slots.go,
//     memory.go, request.go
//   - who is refused: admit.go; what is sent again: budget.go, budgets.go; what moves: move.go, answers.go
//   - which upstreams are avoided: health.go, reach.go, doubt.go, recovery.go, evacuate.go; which are connected to
//     through another box, and which box: tunnel.go, tunnelpeers.go
//   - how much an upstream is sent: cold.go, brittle.go, limitstate.go, limitprior.go, limitquota.go,
//     limitgate.go, pause.go
//   - which upstreams are reserved for tight streams: separation.go, lane.go, laneneed.go, lanesize.go, rate.go
//   - where a stream may go on: software.go; what is left free for it: continuing.go
//   - which requests are withheld: subject.go, suspects.go (evidence of crashes), soundparts.go, verdict.go
//   - what boxes report to each other: partreport.go, classreport.go, limitreport.go, suspectreport.go,
//     reachreport.go
//   - configuration and switches: tuning.go, mechanism.go
package balance
