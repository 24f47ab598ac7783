// Package cell implements the coordination of the boxes of one failure domain:
// their messages, membership, distribution of the routing table, ownership of
// upstream sets with slot leases, borrowing of limits, claims of idempotency
// keys, withholding of requests that crash upstreams, and reports of spare slots
// between domains.
//
// A Node is the state machine of one box. Its caller passes it events and the
// time, and performs the actions that it returns. It starts no goroutine and does
// no I/O, so the daemons, the tests with a simulated network and the experiments
// all run the same code. The decisions themselves are in package decide.
//
// The files of the package:
//
//	types.go         messages, requests, actions and results
//	node.go          the Node: configuration, state, clock, receipt of messages
//	timing.go        intervals and timeouts
//	handle.go        dispatch of messages to their handlers
//	chart.go         the embedded state chart of a request
//	member.go        membership: the view of the other boxes
//	heartbeat.go     probes, heartbeats and changes of liveness
//	published.go     distribution of the table and of the platform's list
//	owner.go         the owner's side of slot leases
//	holder.go        the holder's side: the progress of a request
//	finish.go        how a request ends
//	renew.go         renewal of leases and bids
//	kept_slots.go    reuse of slots without asking the owner
//	fallback.go      use of a box's own share while the owner is silent
//	notices.go       reports of upstreams in their answers
//	claim.go         claims of idempotency keys
//	limit.go         limits of classes and customers
//	withheld.go      requests that crash upstreams
//	overflow.go      redirection of requests to other failure domains
//	drain.go         the planned stop of a box
package cell
