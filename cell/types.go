// Package cell holds what the boxes of one failure domain say to each other and
// how they act as one: membership, the relay of the table, ownership of upstream
// sets with slot leases, lending of limits, claims of idempotency keys, and the
// summary of spare slots between domains.
//
// A Node is one box's part in this. It is a plain state machine: it is told what
// happens and the time, and returns actions. It starts no goroutine and does no
// I/O, so that the daemons, the tests with a fake network and the experiments
// drive the same code. The decisions themselves lie in package decide.
package cell

import (
	"time"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/timeline"
)

// Message is what one box says to another.
type Message interface{ message() }

// Heartbeat says that the sender is alive and passes on what it knows.
type Heartbeat struct {
	Counter   uint64
	Table     uint64 // revision in force
	Digest    uint64 // of that table
	Roster    uint64 // revision of the platform's list
	Leaving   bool
	Blind     bool   // the platform does not answer the sender
	Probe     bool   // an answer is wanted
	Joining   bool   // the answer should hold all that is known
	Announce  bool   // the receiver should pass on what it hears of the sender
	Withheld  uint64 // digest of the requests that the sender withholds
	Full      bool   // the sightings are all that the sender knows
	Sightings []Sighting
}

// Sighting is the newest sign of life of a third box.
type Sighting struct {
	Box     string
	Boot    uint64
	Counter uint64
	Roster  uint64
	Leaving bool
	State   uint8 // a memberState
}

// Bid asks the owner of a set for a slot.
type Bid struct {
	Set string
	Bid decide.Bid // Box is filled in from the sender
}

// Withdraw takes a bid back.
type Withdraw struct {
	Set string
	ID  uint64
}

// Grant gives a slot. The holder may send until StartBy has passed since the
// moment before it first sent the bid.
type Grant struct {
	Set      string
	ID       uint64
	Upstream string
	StartBy  time.Duration
	Keep     time.Duration // how long the slot may be kept after the answer
	Attempt  uint32        // of the bid that it answers
}

// Recall wants back the slots of a set that are kept without an answer running.
type Recall struct{ Set string }

// Refusal refuses a bid, or sends it on to the owner in another failure domain.
type Refusal struct {
	Set          string
	ID           uint64
	Reason       decide.Reason
	RetryAfter   time.Duration
	LowerWaiting int
	LowerRunning int
	Redirect     string
}

// Preempt asks the holder to pause an answer.
type Preempt struct {
	Set string
	ID  uint64
}

// Release gives a slot back.
type Release struct {
	Set      string
	ID       uint64
	Upstream string
	Tokens   int
	Outcome  decide.Outcome
	Pace     time.Duration       // for one token; 0 if unknown
	First    time.Duration       // from sending to the first token; 0 if unknown
	Attempt  uint32              // of the bid that the slot was granted for
	Said     decide.AnswerNotice // by the upstream, in its answer
}

// Holding sums up all that the sender holds and waits for in a set; with Full,
// it lists it.
type Holding struct {
	Set           string
	Count         int
	Digest        uint64
	WaitingCount  int
	WaitingDigest uint64
	Full          bool
	Held          []decide.HeldLease
	Waiting       []uint64
}

// HoldingAsk asks for a full Holding.
type HoldingAsk struct{ Set string }

// Claim asks for the one right to run a key; with GiveBack it returns it.
type Claim struct {
	Key      string
	ID       uint64
	GiveBack bool
}

// ClaimReply answers a claim.
type ClaimReply struct {
	Key     string
	ID      uint64
	Verdict decide.ClaimVerdict
}

// Ask wants to borrow of a limit.
type Ask struct {
	Limit string
	Want  float64
}

// Lend hands over a part of the sender's share of a limit.
type Lend struct {
	Limit  string
	Amount float64
	Life   time.Duration
}

// Spare says how many slots of a set are spare in a domain for each tier, the
// highest first, and where to bid.
type Spare struct {
	Set      string
	Domain   string
	Slots    []int
	Owner    string
	PassedOn bool
}

// TableOffer says that the sender has adopted a revision of the table.
type TableOffer struct {
	Revision uint64
	Digest   uint64
}

func (*Heartbeat) message()  {}
func (*Bid) message()        {}
func (*Withdraw) message()   {}
func (*Grant) message()      {}
func (*Recall) message()     {}
func (*Refusal) message()    {}
func (*Preempt) message()    {}
func (*Release) message()    {}
func (*Holding) message()    {}
func (*HoldingAsk) message() {}
func (*Claim) message()      {}
func (*ClaimReply) message() {}
func (*Ask) message()        {}
func (*Lend) message()       {}
func (*Spare) message()      {}
func (*TableOffer) message() {}

// Request is a caller's request as the decisions see it.
type Request struct {
	ID         uint64
	Class      string
	Customer   string
	Deadline   time.Duration // from arrival; 0 is none
	Prefix     uint64
	MaxTokens  int
	Key        string // idempotency key; "" is none
	Repeatable bool
	Resumable  bool // an upstream can go on from what was delivered
	// Content is a hash of what it is apart from its id, the same on all boxes; 0: not known.
	Content uint64
}

// ActionKind tells what an Action is.
type ActionKind uint8

// Kinds of action.
const (
	SendMessage  ActionKind = iota // Message to box To
	Dispatch                       // send Request to Upstream, going on after Tokens
	CancelRun                      // stop the run of Request
	PauseRun                       // pause the run of Request
	End                            // the request ends with Final
	PullFrom                       // fetch the table and list from box To
	ReadPlatform                   // read the table and list from the platform
	GiveOrder                      // give Upstream the Order
	Record                         // enter Event in the time line
)

// Final is how a request ended without a whole answer.
type Final struct {
	Reason     decide.Reason
	Ran        bool // it may have run
	RetryAfter time.Duration
}

// Action is what a Node wants done.
type Action struct {
	Kind       ActionKind
	To         string
	Message    Message
	Request    uint64
	Upstream   string
	Tokens     int
	Resume     bool          // Upstream holds the paused answer
	Redispatch bool          // it was sent to an upstream before
	StartBy    time.Duration // for Dispatch: send no byte after this moment
	Final      Final
	Event      timeline.Event
	Order      decide.EngineOrder
}

// Result is how a run on an upstream ended.
type Result struct {
	Outcome decide.Outcome
	Ran     bool                // a byte may have left for the upstream
	Tokens  int                 // generated in all, earlier runs included
	Pace    time.Duration       // for one token; 0 if unknown
	First   time.Duration       // from sending to the first token; 0 if unknown
	Refused bool                // the upstream itself said that it did not run it
	Said    decide.AnswerNotice // by the upstream, in its answer or in one before for which nothing was sent
	Ended   bool                // the upstream cut it off, and nobody listens at its address any more
}

// BoxEntry is a box on the platform's list.
type BoxEntry struct {
	Name    string
	Domain  string
	Leaving bool
}

// Roster is the platform's lagging list.
type Roster struct {
	Revision uint64
	Boxes    []BoxEntry
	Leaving  []string // upstreams that are leaving
}
