// Package relay is a box that passes requests on to upstreams without knowing what
// is in them: requests are told apart by host and path, prompts are described by
// headers, and answers go back byte for byte. The decisions are in package balance.
//
// A Relay joins the parts, by duty:
//
//   - its start, stop and time: relay.go, stop.go, suspended.go
//   - callers: front.go, caller.go, collect.go, request.go, leave.go, unread.go, refusal.go
//   - a request from its arrival (arrival.go, starting.go) to its end (exchange.go), from one upstream to the
//     next (runs.go), one run (attempt.go, outgoing.go) and what became of it (outcome.go)
//   - answers: answer.go, body.go, events.go, stream.go, pace.go; one that goes on elsewhere: move.go
//   - upstreams: conns.go, dial.go, probe.go, silence.go, incarnation.go, limit.go, withhold.go, content.go
//   - what the box believes: published.go, update.go, reader.go
//   - its part of the group: members.go, peers.go, pull.go, sync.go, traffic.go
//   - memory: memory.go, buffers.go
//   - what it tells: log.go, stats.go, state.go
//   - a deployment's words: protocol.go
package relay
