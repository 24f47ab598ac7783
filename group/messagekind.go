package group

// This file defines the kinds of messages and how far they travel, for traffic statistics. The
// invariant: each message has one kind, and an address has the reach of the box last known there.

import "github.com/doormast/doormast/wire"

// Kind is the main content of a message.
type Kind string

// The kinds of messages.
const (
	KindHeartbeat      Kind = "beat"           // the sender is alive, and how old its copy is
	KindBoxList        Kind = "boxes"          // a heartbeat that lists other boxes
	KindHello          Kind = "hail"           // a request for the running boxes
	KindChangesRequest Kind = "ask"            // a request for the changes after a revision
	KindPublished      Kind = "published"      // published data
	KindLoads          Kind = "loads"          // a complete list of loads
	KindLoadChanges    Kind = "changed loads"  // changed loads only
	KindPromptParts    Kind = "parts"          // prompt parts sent to upstreams
	KindSuspects       Kind = "ended under"    // requests and parts of prompts that upstreams crash under
	KindLimits         Kind = "limits"         // rate limits that upstreams announce
	KindPriorCounts    Kind = "prior counts"   // requests sent before limits were known
	KindReachReports   Kind = "reached"        // upstreams that connections reach or time out at
	KindOrigins        Kind = "origins"        // where streams began
	KindOriginLookup   Kind = "origin lookups" // questions for that, and answers
	KindPullResponse   Kind = "all, to a pull" // all published data, in the response to a pull
)

// Reach is how far a message travels.
type Reach string

// The values of Reach.
const (
	ReachDomain      Reach = "domain"       // within the sender's failure domain
	ReachRegion      Reach = "region"       // to another domain of its region
	ReachOtherRegion Reach = "other region" // to another region
	ReachUnknown     Reach = "unknown"      // to an address of no known box
)

// KindOf returns the kind of a message.
func KindOf(m *wire.GroupMessage) Kind {
	switch {
	case len(m.Kept) > 0:
		return KindPromptParts
	case carriesSuspects(m), carriesSuspectParts(m):
		return KindSuspects
	case carriesLimits(m):
		return KindLimits
	case carriesPriorCounts(m):
		return KindPriorCounts
	case carriesReachReports(m):
		return KindReachReports
	case len(m.Origins) > 0:
		return KindOrigins
	case m.OriginQuery != nil, m.OriginReply != nil:
		return KindOriginLookup
	case m.Partial:
		return KindLoadChanges
	case m.HasLoads:
		return KindLoads
	case m.Pull || len(m.Items) > 0:
		return KindPublished
	case m.Ask:
		return KindChangesRequest
	case m.Hello:
		return KindHello
	case len(m.Boxes) > 0:
		return KindBoxList
	}
	return KindHeartbeat
}

// ReachOf returns how far a message travels between two boxes.
func ReachOf(from, to *wire.GroupBox) Reach {
	switch {
	case from.Domain == to.Domain:
		return ReachDomain
	case from.Region == to.Region:
		return ReachRegion
	}
	return ReachOtherRegion
}

// reachOf returns how far a message to an address travels.
func (n *Node) reachOf(address string) Reach {
	if reach, ok := n.reachByAddress[address]; ok {
		return reach
	}
	return ReachUnknown
}
