package group

// This file defines what kinds of messages there are and how far one goes, for those who
// count what boxes tell each other. The invariant: each message has one kind, and an address
// has the reach of the box that was last known to be there.

import "github.com/doormast/doormast/wire"

// Kind is what a message mostly tells.
type Kind string

// The kinds of messages.
const (
	KindHeartbeat      Kind = "beat"           // that the sender lives, and how old its knowledge is
	KindBoxes          Kind = "boxes"          // a beat that names other boxes
	KindHello          Kind = "hail"           // who is there?
	KindChangesRequest Kind = "ask"            // what is behind a revision?
	KindPublished      Kind = "published"      // what was published
	KindLoads          Kind = "loads"          // all loads
	KindChanges        Kind = "changed loads"  // some loads
	KindParts          Kind = "parts"          // who was sent which parts of prompts
	KindSuspects       Kind = "ended under"    // requests that upstreams end under
	KindLimits         Kind = "limits"         // limits that upstreams name
	KindPullResponse   Kind = "all, to a pull" // everything published; on the calls' side
)

// Reach is how far a message goes.
type Reach string

// How far messages go.
const (
	ReachDomain  Reach = "domain"       // to a box of the sender's failure domain
	ReachRegion  Reach = "region"       // to one of another domain of its region
	ReachFar     Reach = "other region" // to one of another region
	ReachUnknown Reach = "unknown"      // to an address at which no box is known yet
)

// KindOf is the kind of a message.
func KindOf(m *wire.GroupMessage) Kind {
	switch {
	case len(m.Kept) > 0:
		return KindParts
	case tellsSuspects(m):
		return KindSuspects
	case tellsLimits(m):
		return KindLimits
	case m.Partial:
		return KindChanges
	case m.HasLoads:
		return KindLoads
	case m.Pull || len(m.Items) > 0:
		return KindPublished
	case m.Ask:
		return KindChangesRequest
	case m.Hello:
		return KindHello
	case len(m.Boxes) > 0:
		return KindBoxes
	}
	return KindHeartbeat
}

// ReachOf is how far a message goes from one box to another.
func ReachOf(from, to *wire.GroupBox) Reach {
	switch {
	case from.Domain == to.Domain:
		return ReachDomain
	case from.Region == to.Region:
		return ReachRegion
	}
	return ReachFar
}

// reachOf is how far a message to an address goes.
func (n *Node) reachOf(address string) Reach {
	if reach, ok := n.reaches[address]; ok {
		return reach
	}
	return ReachUnknown
}
