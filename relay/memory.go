package relay

// This file defines the memory that a box may use on behalf of callers and upstreams, and its
// division by urgency. The invariant: what does not fit is refused before it is read, or waits
// with nothing read; and the most urgent requests are refused last.

import (
	"context"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/internal/account"
)

// Charges, in bytes, in addition to the data received.
const (
	// callerBytes is charged for a caller's connection.
	callerBytes = 12 << 10
	// requestBytes is charged for a request in progress: its goroutines, its header, its
	// upstream connection with its buffer, and a response of up to freeResponseBytes.
	requestBytes = 32 << 10
	// freeResponseBytes is how much of a response requestBytes covers.
	freeResponseBytes = 8 << 10
	// unreadBytes is charged for a response that its caller does not read: the contents of both
	// kernel buffers, by the kernel's own accounting (a buffer takes twice the requested size).
	unreadBytes = 2*callerBufferSize + 2*upstreamReceiveBuffer
	// bodyMemoryFactor is the memory charged per byte of a body that is being read: a growing
	// buffer briefly exists twice.
	bodyMemoryFactor = 2
)

// Sizes of socket buffers, in bytes. With the kernel's default sizes, they took some 8 MB for
// each stream that its caller did not read (20 callers on loopback). A buffer of these sizes
// still carries 1 MB/s at a round-trip time of 60 ms.
const (
	callerBufferSize      = 64 << 10
	upstreamReceiveBuffer = 64 << 10
	upstreamSendBuffer    = 256 << 10
)

const (
	// minRequestShare is the share of the bound that the least urgent requests may fill, and
	// maxRequestShare that for the most urgent ones; the rest is reserved for responses, whose
	// processing has already been paid for.
	minRequestShare = 0.5
	maxRequestShare = 0.9
	// fullShare is for small or more valuable data: headers and responses.
	fullShare = 1
	// openEndedShare is the share of the bound that responses may fill together which do not say how
	// long they are, beyond freeResponseBytes each.
	openEndedShare = 0.3
)

// errMemoryShort reports that the box has no memory for a response.
var errMemoryShort = &Error{Op: "store response", Kind: KindExhausted, Err: errors.New("memory limit reached")}

// memoryShortReason is the reason given to callers and in logs.
const memoryShortReason = "memory short"

// shareForUrgency is the share of the bound that requests of an urgency (0 first) may fill; of
// is the number of urgencies.
func shareForUrgency(urgency, of int) float64 {
	if of < 2 {
		return maxRequestShare
	}
	return maxRequestShare - (maxRequestShare-minRequestShare)*float64(min(urgency, of-1))/float64(of-1)
}

// requestShare is the share of the bound that a request may fill, by its header.
func (r *Relay) requestShare(h *fasthttp.RequestHeader) float64 {
	doc := r.published.document()
	if doc == nil {
		return minRequestShare
	}
	req := request{uri: string(h.RequestURI())}
	rt := doc.Match(string(h.Host()), req.path())
	if rt == nil {
		return minRequestShare
	}
	customer := doc.Customer(headerValue(h, r.cfg.Protocol.Key))
	levels := r.cfg.Protocol.Priorities
	return shareForUrgency(doc.Urgency(rt, customer, levels), doc.Urgencies(levels))
}

// chargeResponse charges n bytes of a response to the request's caller. It waits, with nothing
// read meanwhile, until they fit or the request is given up.
func (x *exchange) chargeResponse(n int64) error {
	if x.caller == nil {
		return nil
	}
	return x.charge(x.ctx, x.caller.lease, n)
}

// chargeOpenEnded is chargeResponse for bytes of a response that does not say how many will follow.
// Such responses that wait for each other may never end, so each waits for up to memoryWait only.
func (x *exchange) chargeOpenEnded(n int64) error {
	if x.openEnded == nil {
		x.openEnded = x.relay.openEnded.Lease()
	}
	ctx, cancel := context.WithTimeout(x.ctx, memoryWait)
	defer cancel()
	if err := x.charge(ctx, x.openEnded, n); err != nil {
		return err
	}
	return x.chargeResponse(n)
}

// charge grows a lease, and waits for that until ctx ends. While nothing is read, the upstream does
// not count as silent: its data is held up here.
func (x *exchange) charge(ctx context.Context, lease *account.Lease, n int64) error {
	if lease.Grow(n, fullShare) {
		return nil
	}
	wasWaiting := x.wait.Load() != nil
	x.endReadWait()
	if !lease.Await(ctx, n, fullShare) {
		return errMemoryShort
	}
	if wasWaiting {
		x.startReadWait(nil)
	}
	return nil
}

// chargedReader charges the part of a body that exceeds freeResponseBytes.
type chargedReader struct {
	exchange    *exchange
	src         io.Reader
	isOpenEnded bool // nothing says how long the body is
	read        int64
	charged     int64 // of the bytes read
}

// Read implements io.Reader.
func (k *chargedReader) Read(p []byte) (int, error) {
	if k.read > freeResponseBytes && k.read > k.charged {
		charge := k.exchange.chargeResponse
		if k.isOpenEnded {
			charge = k.exchange.chargeOpenEnded
		}
		if err := charge(bodyMemoryFactor * (k.read - k.charged)); err != nil {
			return 0, err
		}
		k.charged = k.read
	}
	n, err := k.src.Read(p)
	k.read += int64(n)
	return n, err
}
