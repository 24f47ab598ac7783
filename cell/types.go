package cell

// This file defines the messages between boxes, and the requests, actions and
// results that pass between a Node and its caller.

import (
	"time"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/timeline"
)

// Message is a message between two boxes.
type Message interface{ message() }

// Heartbeat reports that the sender is alive and passes on its view of the
// other boxes.
type Heartbeat struct {
	Counter             uint64
	Table               uint64 // revision in force
	Digest              uint64 // of that table
	Roster              uint64 // revision of the platform's list of boxes
	Leaving             bool
	PlatformUnreachable bool   // the sender's last read of the platform failed
	Probe               bool   // the receiver must answer
	Joining             bool   // the answer must list every known box
	Announce            bool   // the receiver should pass on the sender's state
	Withheld            uint64 // digest of the requests that the sender withholds
	Full                bool   // Sightings lists every box that the sender knows
	Sightings           []Sighting
}

// Sighting is the newest known state of a third box.
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
	Bid decide.Bid // the receiver sets Box to the sender
}

// Withdraw cancels a bid.
type Withdraw struct {
	Set string
	ID  uint64
}

// Grant assigns a slot to a bid. The holder may send the request until
// StartBy has passed since the moment before it first sent the bid.
type Grant struct {
	Set      string
	ID       uint64
	Upstream string
	StartBy  time.Duration
	KeepFor  time.Duration // how long the slot may be kept after the answer
	Attempt  uint32        // attempt of the bid that it answers
}

// Recall asks for the return of the kept slots of a set: those without a
// running answer.
type Recall struct{ Set string }

// Refusal refuses a bid, or redirects it to the owner in another failure
// domain.
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

// Release returns a slot to the owner.
type Release struct {
	Set              string
	ID               uint64
	Upstream         string
	Tokens           int
	Outcome          decide.Outcome
	TimePerToken     time.Duration       // per token; 0 if unknown
	TimeToFirstToken time.Duration       // from sending to the first token; 0 if unknown
	Attempt          uint32              // attempt of the bid that the slot was granted for
	Notice           decide.AnswerNotice // what the upstream reported of itself in its answer
}

// Holding summarizes the slots that the sender holds in a set and the bids
// that it has waiting there. With Full it lists them.
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

// Claim asks for the exclusive right to run a key. With GiveBack it returns
// that right.
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

// Ask asks to borrow part of a limit.
type Ask struct {
	Limit string
	Want  float64
}

// Lend lends part of the sender's share of a limit.
type Lend struct {
	Limit  string
	Amount float64
	Life   time.Duration
}

// Spare reports how many slots of a set a domain has spare for each tier,
// highest tier first, and which box to bid to.
type Spare struct {
	Set      string
	Domain   string
	Slots    []int
	Owner    string
	PassedOn bool
}

// TableOffer reports that the sender has adopted a revision of the table.
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

// Request describes a caller's request: the properties that decisions depend
// on.
type Request struct {
	ID         uint64
	Class      string
	Customer   string
	Deadline   time.Duration // from arrival; 0 means none
	Prefix     uint64
	MaxTokens  int
	Key        string // idempotency key; "" means none
	Repeatable bool
	Resumable  bool // an upstream can continue from the tokens already delivered
	// Content is a hash of the request without its ID, equal on all boxes; 0
	// if unknown.
	Content uint64
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of action.
const (
	SendMessage    ActionKind = iota // send Message to box To
	Dispatch                         // send Request to Upstream, continuing after Tokens
	CancelRun                        // cancel the run of Request
	PauseRun                         // pause the run of Request
	End                              // end the request with Final
	PullFrom                         // fetch the table and the list from box To
	ReadPlatform                     // read the table and the list from the platform
	IssueLoadOrder                   // send Order to Upstream
	Record                           // append Event to the timeline
)

// Final describes how a request ended without a complete answer.
type Final struct {
	Reason     decide.Reason
	Ran        bool // it may have run
	RetryAfter time.Duration
}

// Action is something that the node asks its caller to do.
type Action struct {
	Kind       ActionKind
	To         string
	Message    Message
	Request    uint64
	Upstream   string
	Tokens     int
	Resume     bool          // Upstream holds the paused answer
	Redispatch bool          // the request was sent to an upstream before
	StartBy    time.Duration // for Dispatch: no byte is sent after this time
	Final      Final
	Event      timeline.Event
	Order      decide.EngineOrder
}

// Result describes how a run on an upstream ended.
type Result struct {
	Outcome          decide.Outcome
	Ran              bool                // a byte may have been sent to the upstream
	Tokens           int                 // generated in total, including earlier runs
	TimePerToken     time.Duration       // per token; 0 if unknown
	TimeToFirstToken time.Duration       // from sending to the first token; 0 if unknown
	Refused          bool                // the upstream itself reported that it did not run the request
	Notice           decide.AnswerNotice // what the upstream reported of itself, in its answer or in an earlier one for which nothing was sent
	UpstreamCrashed  bool                // the upstream cut the run off, and its address no longer accepts connections
}

// BoxEntry is a box on the platform's list.
type BoxEntry struct {
	Name    string
	Domain  string
	Leaving bool
}

// Roster is the platform's list of boxes. It may lag behind the actual
// state.
type Roster struct {
	Revision uint64
	Boxes    []BoxEntry
	Leaving  []string // upstreams that are leaving
}
