// Package relay implements a box: it forwards requests to upstreams without parsing
// their bodies. Requests are routed by host and path, prompts are described by
// headers, and responses are returned byte for byte. Package balance decides which
// upstream gets a request.
//
// A run is one execution of a request on one upstream; a request may have several.
// The files by area:
//
//   - start, stop and clocks: relay.go, stop.go, stoparrival.go, suspension.go
//   - callers: accept.go, server.go, callerstate.go, caller.go, collect.go, request.go, disconnect.go, callerwrite.go, refusal.go
//   - a request from its admission (arrival.go, documentwait.go) to its end (exchange.go), with its retries
//     (runs.go, retry.go, pausequeue.go), each run (attempt.go, outgoing.go) and the outcome of a run (outcome.go)
//   - responses: response.go, bounded.go, body.go, events.go, stream.go, streamend.go, closedend.go, pace.go, and moving a stream between
//     upstreams: move.go
//   - upstreams: conns.go, dial.go, probe.go, silence.go, incarnation.go, unacked.go, limit.go,
//     notices.go, withhold.go, content.go, cutoff.go, verify.go
//   - connections to upstreams through other boxes: tunnel.go, tunnelattempt.go, tunnelframe.go, and for other boxes tunnelserver.go
//   - where a stream began (origin.go), how its caller takes it up (takeup.go), the records of other boxes (origins.go,
//     originlookup.go), and what a connection leads to (proof.go)
//   - what the box knows of documents and upstreams: published.go, update.go, reader.go
//   - the exchange of state between boxes: members.go, peers.go, pull.go, sync.go, traffic.go
//   - memory limits: memory.go, buffers.go
//   - logs, metrics and status: log.go, stats.go, state.go
//   - the headers and calls of a deployment: protocol.go
package relay
