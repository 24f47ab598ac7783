// Package upstream sends requests to upstreams, which are model engines and plain
// services. No other package knows their protocols.
//
// A run sends one request, passes the answer to a sink as it arrives, and ends with
// a result. The invariants: the result says that the upstream did not run the
// request only if that is certain; and a connection that may hold the rest of an
// answer is closed and never reused.
package upstream

import (
	"context"
	"time"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
)

// Call is a request to an upstream.
type Call struct {
	ID       string // assigned by the sender; identifies the run in control calls
	Address  string // IP:port
	Plain    bool   // whether it goes to a plain service, which streams no tokens
	Method   string
	Path     string
	Body     []byte
	Type     string // content type
	Key      string // idempotency key, forwarded to the upstream; "" is none
	Priority int    // tier of the class
	From     int    // number of tokens delivered by earlier runs
	Resume   bool   // whether the upstream has the state of the paused run
	// Fresh asks for a new connection. An idle one may be dead, as in a network partition that
	// refuses connections. A retry on it would fail as the first run did, and its upstream would
	// be taken for ended, too.
	Fresh bool
	// StartBy is the time, by the boot clock, after which the request must not be sent.
	StartBy time.Duration
}

// Sink receives the answer. Its methods may block, which applies the back pressure of
// a slow caller to the upstream. An error of Event or Whole ends the run.
type Sink interface {
	// Sending is called just before the first byte is sent. If it returns false,
	// nothing is sent.
	Sending() bool
	// Event receives the data of one event of a stream. The bytes are only valid
	// until it returns.
	Event(data []byte) error
	// Whole receives the complete answer of a plain service.
	Whole(status int, contentType string, body []byte) error
}

// Runner runs calls on upstreams.
type Runner interface {
	// Run sends a request and passes the answer to s until the run ends. If ctx
	// ends, it also cancels the run on the upstream.
	Run(ctx context.Context, c Call, s Sink) cell.Result
	// Pause stops a run; the engine keeps its state, so that it can be resumed.
	Pause(ctx context.Context, address, id string) error
	// Cancel stops a run for good; it cannot be resumed.
	Cancel(ctx context.Context, address, id string) error
	// Report returns the load and the new cache events of an engine.
	Report(ctx context.Context, address string) (decide.Report, error)
	// Order sends an order with a fencing token to an engine.
	Order(ctx context.Context, address string, o Order) (OrderResult, error)
	Close() error
}

// Order is an order to an engine. The engine rejects one with an outdated fencing
// token.
type Order struct {
	Fence uint64 `json:"fence"`          // fencing token
	Load  string `json:"load,omitempty"` // model, adapter or version to load
	Role  string `json:"role,omitempty"`
}

// OrderResult is an engine's response to an order.
type OrderResult struct {
	Accepted bool   `json:"accepted"`
	Fence    uint64 `json:"fence"` // highest fencing token that the engine has received
}
