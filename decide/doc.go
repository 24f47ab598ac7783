// Package decide holds the decisions of the router: which request runs where
// and when, which waits, and which is refused.
//
// Everything here is pure: there are no goroutines and no I/O, and the time is
// always an argument, counted from any fixed moment of the calling box's own
// clock. The daemons, the property tests and the experiments all drive this one
// code. It knows nothing of messages, sockets or documents; the types below are
// its own.
package decide

import "time"

// Time is a moment on the calling box's own clock. Moments of two boxes are
// never compared: what one box tells another is a span.
type Time = time.Duration

// Rule is what the decisions need to know of a row of the table.
type Rule struct {
	Class       string
	Tier        int     // 1 is sacrificed last
	Weight      float64 // share within the tier
	Floor       float64 // least share of the pool's work
	FirstToken  time.Duration
	Queue       int  // waiting at once; 0 is the pool's
	Concurrency int  // running at once; 0 is no limit
	Refuse      bool // refuse what cannot meet its target, rather than let it wait
	Repeatable  bool
}

// Bid is a request's wish for a slot in a pool.
type Bid struct {
	ID              uint64
	Box             string // the box that holds the request
	Class           string
	Customer        string
	Waited          time.Duration // since the request arrived
	Remaining       time.Duration // until the caller's own deadline; 0 is none
	Work            float64       // expected tokens
	Prefix          uint64        // hash of the prompt's prefix; 0 is none
	FromOtherDomain bool          // comes from another failure domain
	Attempt         uint32        // counts the bids of the request; a newer one voids what the older got
	Resume          string        // the upstream that holds its paused answer, if any
}

// Reason says why a request was refused. The order is part of the wire format.
type Reason uint8

// Reasons of a refusal.
const (
	NoReason       Reason = iota
	OverClassLimit        // the class is over its own limit
	OverCustomer          // the customer is over its own limit
	Late                  // its deadline or target has passed or cannot be met
	QueueFull             // nothing of a lower tier was left to give way
	Evicted               // gave way to a higher tier in a full queue
	NoUpstream            // no upstream serves the class here
	CallerLeft            // the caller went away
	Stopping              // the box is ending
	DuplicateKey          // the idempotency key may have run already
	KeyNotVouched         // nobody here can vouch for the idempotency key
	KeyElsewhere          // the key names another failure domain or box
	UpstreamFailed        // the upstream failed and a retry is not allowed
	RetriesSpent          // the class's retry budget is used up
	BadRequest            // the request itself is wrong
	NotAllowed            // no key, or a key of somebody else
	NoTable               // this box has no table yet
	Overloaded            // this box itself can take no more
	Withheld              // upstreams have ended under it
)

var reasonNames = [...]string{"none", "over_class_limit", "over_customer_limit", "late", "queue_full",
	"evicted", "no_upstream", "caller_left", "stopping", "duplicate_key", "key_not_vouched",
	"key_elsewhere", "upstream_failed", "retries_spent", "bad_request", "not_allowed", "no_table", "overloaded", "withheld"}

func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown_reason"
}

// Outcome says how a lease ended.
type Outcome uint8

// Outcomes of a lease.
const (
	Answered  Outcome = iota // the whole answer came
	Abandoned                // cancelled because the caller left
	Paused                   // stopped for a higher tier; the upstream keeps the state
	Failed                   // the upstream broke
	Unused                   // nothing was sent
	Draining                 // the upstream refused it because it is leaving
)

// VerdictKind tells what a Verdict is.
type VerdictKind uint8

// Kinds of verdict.
const (
	GrantSlot VerdictKind = iota
	RefuseBid
	PauseLease
)

// Verdict is a decision of a pool about one request.
type Verdict struct {
	Kind     VerdictKind
	ID       uint64
	Box      string
	Class    string
	Tier     int
	Upstream string
	Reason   Reason
	// RetryAfter is when the caller should come back, for a refusal.
	RetryAfter time.Duration
	Attempt    uint32
	// RetainFor is how long the holder may keep the slot after the answer.
	RetainFor time.Duration
	// Queued is how long the bid had been with the pool when the slot was granted.
	Queued time.Duration
	// LowerWaiting and LowerRunning count what of a lower tier could have given
	// way when a request was refused: the evidence that the refusal was legal.
	LowerWaiting int
	LowerRunning int
}
