// Package balance decides which upstream gets a request, and whether a request
// may be sent a second time.
//
// It is pure: the time is an argument, nothing waits and nothing is sent, so that
// tests and measurements run the decisions that ship. A box holds one Fleet and one
// Budget; it is the box's job to hand in what happened.
//
// Where what is decided:
//
//   - what a box knows: fleet.go, list.go (how the list changes), life.go, service.go, active.go (what is
//     looked at as time passes), load.go, ticket.go (how a request is counted), history.go
//   - where a request goes: place.go; of its parts cost.go, home.go, kept.go, fetch.go, way.go, slots.go,
//     memory.go, request.go
//   - who is refused: admit.go; what is sent again: budget.go; what moves: move.go, answers.go
//   - which upstreams are left: health.go, reach.go, back.go, evacuate.go
//   - how much an upstream is sent: cold.go, limitpart.go, allowed.go, named.go, pause.go
//   - which upstreams are kept for tight streams: apart.go, lane.go, laneneed.go, lanesize.go, rate.go
//   - which requests are withheld: suspects.go
//   - what boxes tell each other of all that: tell.go, classnews.go, namednews.go, suspectnews.go
//   - what may be set, and switched off: tuning.go, mechanism.go
package balance
