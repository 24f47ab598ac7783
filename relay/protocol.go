package relay

// This file defines the header names and upstream calls of a deployment. The invariant: the
// relay itself only knows their purposes.

import "github.com/doormast/doormast/balance"

// Protocol defines the headers that the relay reads and sets, the calls to upstreams, and how
// the description of a prompt is read. A header that a deployment does not have is an empty
// string.
type Protocol struct {
	RequestID       string // identifies one attempt of a caller; returned in its response
	TimeLeft        string // milliseconds that the caller will wait; milliseconds left for the upstream
	Key             string // the caller's secret; not forwarded
	Customer        string // set for the upstream: the customer who holds the key
	Instance        string // set for the upstream: the instance that the request is meant for
	CurrentInstance string // in an upstream's refusal: the instance that now has its address
	Limit           string // in an upstream's response: requests per second that it accepts from all boxes together
	Brittle         string // in an upstream's response: how many requests it may reject in a second before it fails
	Leaving         string // in an upstream's response: 1 if it is leaving
	RetryAfter      string // in an upstream's refusal: for how long it wants no requests from this box
	NotExecuted     string // in an upstream's refusal: it has not run the request
	Signature       string // in an upstream's response: who gave it; the relay only forwards it
	Priority        string // set for the upstream, 0 for the most urgent
	LastEvent       string // the last event of a stream that the caller has received
	Resumes         string // with LastEvent: the ID of the attempt that brought the stream's first event; the relay only reads it
	KVHandle        string // set for the upstream: the KV cache copy that a run continues from
	FetchFrom       string // set for the upstream: IP:port of another upstream that has the prompt cached
	Priorities      int    // how many values Priority has, starting at 0

	// Reserved are further headers that only a box may set. Upstreams act on them, so one that
	// a caller made up would take memory or a slot there for nothing, or get its request
	// rejected.
	Reserved []ReservedHeader
	// PromptHeaders are the headers that describe what to run. They are forwarded even where a
	// caller lists them in its Connection header: without them another request would run.
	PromptHeaders []string

	// MoveCall makes an upstream copy the KV cache of a request's run to the upstream at to
	// (IP:port) and stop the run; ParseMove parses its response, which came from IP:port.
	// DropCall frees a copy. All are nil if runs cannot move.
	MoveCall  func(request, to string) UpstreamCall
	ParseMove func(from string, status int, body []byte) RunCopy
	DropCall  func(name string) UpstreamCall

	// ReportCall asks an upstream for its runs; ParseReport returns what the response says of a
	// request, false if the response is no report. Both are nil if upstreams do not report their
	// runs.
	ReportCall  func() UpstreamCall
	ParseReport func(status int, body []byte, request string) (Report, bool)

	// Prompt reads the description of a prompt; get returns a header's value.
	Prompt func(get func(name string) string) Prompt
}

// UpstreamCall is a call to an upstream on the box's own behalf, not for a caller.
type UpstreamCall struct {
	Method, Path string
	Body         []byte // JSON
}

// ReservedHeader is a header that only a box may set.
type ReservedHeader struct {
	Name    string
	Purpose string // what an upstream does with it
}

// neverForwarded lists the headers that are not forwarded as the caller sent them.
func (p *Protocol) neverForwarded() []string {
	list := []string{p.TimeLeft, p.Key, p.Customer, p.Instance, p.Priority, p.LastEvent, p.FetchFrom, p.KVHandle}
	for _, h := range p.Reserved {
		list = append(list, h.Name)
	}
	return list
}

// alwaysForwarded lists the headers that are forwarded even if the caller's Connection header
// lists them.
func (p *Protocol) alwaysForwarded() []string {
	return append([]string{p.RequestID}, p.PromptHeaders...)
}

// Prompt describes what a request asks of a model.
type Prompt struct {
	Parts    []balance.Part
	Tokens   int // of the prompt
	Expected int // of the response, as estimated by the caller; 0: not stated
}
