package relay

// This file defines the words a deployment uses on the wire. The invariant: the relay
// itself only knows what each is for.

import "github.com/doormast/doormast/balance"

// Protocol names the headers that the relay reads and sets, and reads those that
// describe a prompt. A header that a deployment lacks is an empty text.
type Protocol struct {
	RequestID       string // identifies one attempt of a caller; comes back in its answer
	TimeLeft        string // milliseconds the caller will wait; milliseconds left for the upstream
	Key             string // the caller's secret; not passed on
	Customer        string // set for the upstream: who holds the key
	Instance        string // set for the upstream: the start of it that is meant
	CurrentInstance string // in an upstream's refusal: the start of it that is there
	Limit           string // in an upstream's answer: requests a second that it takes from all boxes together
	Leaving         string // in an upstream's answer: 1 where it is leaving
	RetryAfter      string // in an upstream's refusal: for how long it wants no requests from this box
	NotExecuted     string // in an upstream's refusal: it has not run the request
	Signature       string // in an upstream's answer: who gave it; the relay only passes it on
	Priority        string // set for the upstream, 0 first
	LastEvent       string // the last event of a stream that was seen
	KVHandle        string // set for the upstream: the copy that a run goes on from
	FetchFrom       string // set for the upstream: IP:port of another that keeps the prompt
	Priorities      int    // how many values Priority has, from 0

	// Reserved are further headers that only a box may set. An upstream acts on them, so
	// one that a caller made up takes memory or a place there that serves nobody, or has
	// its request rejected.
	Reserved []ReservedHeader
	// PromptHeaders are the headers that say what is to be run. They go on even where a caller
	// names them among those of its connection: without them another request would run.
	PromptHeaders []string

	// MoveCall has an upstream copy the memory of a request's run to another one's address, IP:port,
	// and stop the run; Moved reads its answer, which came from IP:port. DropCall frees a copy. Nil where runs cannot move.
	MoveCall  func(request, to string) UpstreamCall
	ParseMove func(from string, status int, body []byte) RunCopy
	DropCall  func(name string) UpstreamCall

	// ReportCall asks an upstream what runs there; Reported reads of the answer what it tells of a
	// request, false where it tells nothing. Nil where upstreams tell nothing of their runs.
	ReportCall  func() UpstreamCall
	ParseReport func(status int, body []byte, request string) (Report, bool)

	// Prompt reads the description of a prompt; get returns a header's value.
	Prompt func(get func(name string) string) Prompt
}

// UpstreamCall is a call to an upstream that is no request of a caller.
type UpstreamCall struct {
	Method, Path string
	Body         []byte // JSON
}

// ReservedHeader is a header that only a box may set.
type ReservedHeader struct {
	Name    string
	Purpose string // what an upstream does with it
}

// own lists the headers that never go on as the caller sent them.
func (p *Protocol) own() []string {
	list := []string{p.TimeLeft, p.Key, p.Customer, p.Instance, p.Priority, p.LastEvent, p.FetchFrom, p.KVHandle}
	for _, h := range p.Reserved {
		list = append(list, h.Name)
	}
	return list
}

// vital lists the headers that go on whatever the caller says of its connection.
func (p *Protocol) vital() []string { return append([]string{p.RequestID}, p.PromptHeaders...) }

// Prompt describes what a request asks of a model.
type Prompt struct {
	Parts    []balance.Part
	Tokens   int // of the prompt
	Expected int // of the answer, as the caller guesses; 0: not said
}
