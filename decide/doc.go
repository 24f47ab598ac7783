// Package decide holds the scheduling decisions of the router: on which upstream
// and when a request runs, which requests wait, and which are refused.
//
// The package is deterministic and has no side effects: it starts no goroutines
// and does no I/O. The current time is always an argument, measured from an
// arbitrary origin of the local clock. The daemons, the property tests and the
// experiments call the same code. The package does not depend on the wire
// format, on sockets or on the settings; its types are its own.
package decide

import "time"

// Time is a reading of the local clock. Readings of two boxes are never compared;
// boxes exchange durations only.
type Time = time.Duration

// Rule is the part of a row of the service table that decisions depend on.
type Rule struct {
	Class  string
	Tier   int     // 1 is the highest; higher numbers give way first
	Weight float64 // share of the class within its tier
	Floor  float64 // minimum share of the pool's work, 0 to 1
	// FirstToken is the target for the time from arrival to the first token.
	FirstToken  time.Duration
	Queue       int  // maximum number of waiting requests; 0 applies only the limit of the pool
	Concurrency int  // maximum number of running requests; 0 is unlimited
	RefuseLate  bool // refuse a request that cannot meet its target instead of queueing it
	// Repeatable allows a request to run more than once, so that it may be paused
	// and retried.
	Repeatable bool
}

// Bid asks a pool for a slot on behalf of a request.
type Bid struct {
	ID              uint64
	Box             string // the box that holds the request
	Class           string
	Customer        string
	Waited          time.Duration // since the request arrived
	Remaining       time.Duration // until the caller's deadline; 0 is no deadline
	Work            float64       // expected tokens
	Prefix          uint64        // hash of the prompt's prefix; 0 is none
	FromOtherDomain bool          // the request arrived in another failure domain
	Attempt         uint32        // number of this bid among the bids of the request; a newer bid voids grants for older ones
	Resume          string        // the upstream that holds the paused answer; empty if none does
}

// Reason says why a request was refused. The wire format depends on the order.
type Reason uint8

// Reasons for a refusal.
const (
	NoReason          Reason = iota
	OverClassLimit           // the class is over its limit
	OverCustomerLimit        // the customer is over its limit
	Late                     // the deadline or target has passed or cannot be met
	QueueFull                // the queue is full and holds no request of a lower tier to evict
	Evicted                  // evicted from a full queue by a request of a higher tier
	NoUpstream               // no upstream of this pool serves the class
	CallerLeft               // the caller disconnected
	Stopping                 // the box is shutting down
	DuplicateKey             // a request with the same idempotency key may have run already
	KeyNotVouched            // no box can rule out that the idempotency key was used before
	KeyElsewhere             // another failure domain or box decides on the idempotency key
	UpstreamFailed           // the upstream failed and a retry is not allowed
	RetriesSpent             // the retry budget of the class is exhausted
	BadRequest               // the request is malformed
	NotAllowed               // the API key is missing or unknown, or does not permit the class
	NoTable                  // this box has not received a service table yet
	Overloaded               // this box is out of resources
	Withheld                 // upstreams ended while running this request, so it is not run again
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

// Outcome says how the use of a lease ended.
type Outcome uint8

// Outcomes of a lease.
const (
	Answered  Outcome = iota // the answer completed
	Abandoned                // canceled because the caller disconnected
	Paused                   // paused for a higher tier; the upstream keeps the state of the answer
	Failed                   // the upstream failed
	Unused                   // no request was sent to the upstream
	Draining                 // the upstream refused the request because it is shutting down
)

// VerdictKind is the kind of a Verdict.
type VerdictKind uint8

// Kinds of verdict.
const (
	GrantSlot VerdictKind = iota
	RefuseBid
	PauseLease
)

// Verdict is a pool's decision on one request.
type Verdict struct {
	Kind     VerdictKind
	ID       uint64
	Box      string
	Class    string
	Tier     int
	Upstream string
	Reason   Reason
	// RetryAfter is how long a refused caller should wait before the next attempt.
	RetryAfter time.Duration
	Attempt    uint32
	// RetainFor is how long the holder may retain the slot after the answer.
	RetainFor time.Duration
	// Queued is how long the bid waited in this pool before the grant.
	Queued time.Duration
	// LowerWaiting and LowerRunning count the waiting and running requests of
	// lower tiers that could have given way to a refused request. Both are 0 for
	// a justified refusal.
	LowerWaiting int
	LowerRunning int
}
