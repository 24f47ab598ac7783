package relay

// This file defines what a box may keep on behalf of callers and upstreams, and how
// much of it is whose. The invariant: what does not fit is turned away before it is
// read, or waits with nothing read; and the most urgent are turned away last.

import (
	"errors"

	"github.com/valyala/fasthttp"
)

// What is charged, in bytes, besides what others have sent.
const (
	// callerBytes is for a caller's connection.
	callerBytes = 12 << 10
	// requestBytes is for a request under way: its goroutines, its head, its
	// connection to an upstream with its buffer, and an answer of up to freeAnswer.
	requestBytes = 32 << 10
	// freeAnswer is how much of an answer requestBytes covers.
	freeAnswer = 8 << 10
	// unreadBytes is for an answer that its caller does not take: what both kernels'
	// buffers then hold, as they count (a buffer takes twice what was asked for).
	unreadBytes = 2*callerBuffer + 2*upstreamReceive
	// bodyCost is how much a byte of a body that is being read takes: a buffer that
	// grows is held twice for a moment.
	bodyCost = 2
)

// Sizes of the kernel's buffers, in bytes: with its own choice, some 8 MB went into
// them for each stream that its caller did not read (20 callers on loopback). A buffer
// this large still carries 1 MB/s over a way of 60 ms there and back.
const (
	callerBuffer    = 64 << 10
	upstreamReceive = 64 << 10
	upstreamSend    = 256 << 10
)

const (
	// leastShare is the share of the bound that the least urgent may fill, mostShare
	// the most urgent; what is left is for answers, which have been paid for.
	leastShare = 0.5
	mostShare  = 0.9
	// wholeShare is for what is small and tells more: heads, and answers.
	wholeShare = 1
)

// errShort says that the box has no memory for something.
var errShort = &Error{Op: "keep", Kind: KindExhausted, Err: errors.New("memory is short")}

// shortReason is how callers and logs are told of it.
const shortReason = "memory short"

// shareFor is the share of the bound that requests of an urgency may fill; of is how
// many urgencies there are.
func shareFor(urgency, of int) float64 {
	if of < 2 {
		return mostShare
	}
	return mostShare - (mostShare-leastShare)*float64(min(urgency, of-1))/float64(of-1)
}

// shareOf is the share that a request may fill, by its head.
func (r *Relay) shareOf(h *fasthttp.RequestHeader) float64 {
	doc := r.belief.document()
	if doc == nil {
		return leastShare
	}
	q := request{uri: string(h.RequestURI())}
	rt := doc.Match(string(h.Host()), q.path())
	if rt == nil {
		return leastShare
	}
	customer := doc.Customer(headerValue(h, r.cfg.Protocol.Key))
	levels := r.cfg.Protocol.Priorities
	return shareFor(doc.Urgency(rt, customer, levels), doc.Urgencies(levels))
}

// keep charges bytes of an answer to the request's caller. It waits, with nothing read
// meanwhile, until they fit or the request is given up. While nothing is read, the upstream
// is not waited for: what it has made is held up here.
func (x *exchange) keep(n int64) error {
	if x.caller == nil || x.caller.lease.Grow(n, wholeShare) {
		return nil
	}
	waited := x.waits.Load() != nil
	x.heard()
	if !x.caller.lease.Await(x.ctx, n, wholeShare) {
		return errShort
	}
	if waited {
		x.listen(nil)
	}
	return nil
}

// keptReader charges what is read of a body beyond what is free.
type keptReader struct {
	exchange *exchange
	answer   *response
	read     int64
	charged  int64 // of what was read
}

// Read implements io.Reader.
func (k *keptReader) Read(p []byte) (int, error) {
	if k.read > freeAnswer && k.read > k.charged {
		if err := k.exchange.keep(bodyCost * (k.read - k.charged)); err != nil {
			return 0, err
		}
		k.charged = k.read
	}
	n, err := k.answer.body.Read(p)
	k.read += int64(n)
	return n, err
}
