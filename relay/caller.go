package relay

// This file defines a caller's connection, as far as it is read. The invariants: a request is handed on when
// its head, and a small body, have come whole, so that a caller that sends slowly holds
// what it has sent and little more; and what the caller's requests and answers take is
// charged, and given back when the next request is due or the connection ends.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/internal/account"
	"github.com/doormast/doormast/route"
)

const (
	// shortWait is how long a head waits for memory; callers give up what has not been
	// read after a second.
	shortWait = 300 * time.Millisecond
	// refusedLinger is how long, and refusedBytes how much, a box goes on reading of a
	// body that it has turned away, since closing at once would take the answer along.
	refusedLinger = 500 * time.Millisecond
	refusedBytes  = 1 << 20
	// collectStep is the first size of the buffer for a request, in bytes.
	collectStep = 1 << 10
	// collectBytes is the largest body that is collected with its head.
	collectBytes = 32 << 10
)

// callers accepts callers' connections.
type callers struct {
	net.Listener
	relay *Relay
}

var _ net.Listener = callers{}

// Accept implements net.Listener. A connection that there is no memory for is closed
// before anything is read of it.
func (l callers) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newCaller(l.relay, conn)
		if c.lease.Grow(callerBytes, fullShare) {
			return c, nil
		}
		l.relay.turnedAway("", "connection")
		_ = c.Close()
	}
}

// caller is a caller's connection.
type caller struct {
	net.Conn
	relay *Relay
	raw   syscall.RawConn // nil where the connection has none
	lease *account.Lease

	pending []byte    // read of a request, and not handed on yet
	broken  error     // comes behind pending: why no more is read
	share   float64   // of the bound, that the request may fill
	request string    // id of the request under way, as far as it is known
	until   time.Time // when its answer has to be gone; zero: not said
	rested  bool      // it has waited for a request before
	served  bool      // a request of it is under way, or was since the lease was last shrunk
	cut     atomic.Bool
}

var (
	_ net.Conn     = (*caller)(nil)
	_ syscall.Conn = (*caller)(nil)
)

func newCaller(r *Relay, conn net.Conn) *caller {
	c := &caller{Conn: conn, relay: r, lease: r.account.Lease()}
	if sc, ok := conn.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // nil with an error
	}
	return c
}

// callerOf is the caller of a request; nil where its connection is another's.
func callerOf(ctx *fasthttp.RequestCtx) *caller {
	c, _ := ctx.Conn().(*caller)
	return c
}

// SyscallConn implements syscall.Conn.
func (c *caller) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, errors.ErrUnsupported
	}
	return c.raw, nil
}

// Read implements net.Conn. fasthttp reads the first byte of a request alone where
// nothing of it has been read with the one before.
func (c *caller) Read(p []byte) (int, error) {
	switch {
	case len(c.pending) > 0:
		n := copy(p, c.pending)
		c.pending = c.pending[n:]
		if len(c.pending) == 0 {
			c.pending = nil
		}
		return n, nil
	case c.broken != nil:
		return 0, c.broken
	case len(p) == 1:
		return c.readRequest(p)
	}
	return c.readBody(p)
}

// readRequest waits for a request, collects it, and returns its first byte.
func (c *caller) readRequest(first []byte) (int, error) {
	c.next()
	limits := c.limits()
	if c.rested && limits.IdleWait > 0 {
		_ = c.SetReadDeadline(time.Now().Add(limits.IdleWait))
	}
	c.rested = true
	n, err := c.Conn.Read(first)
	if err != nil {
		return n, err
	}
	headWait := limits.HeaderWait
	if headWait == 0 {
		headWait = readWait
	}
	_ = c.SetReadDeadline(time.Now().Add(headWait))
	c.collect(first[0])
	return n, nil
}

// limits are those of the document in force.
func (c *caller) limits() route.Limits {
	if doc := c.relay.published.document(); doc != nil {
		return doc.Limits
	}
	return route.Limits{}
}

// next gives back what the last request has taken.
func (c *caller) next() {
	c.lease.Shrink(callerBytes)
	c.share, c.request, c.until, c.served = minRequestShare, "", time.Time{}, false
}

// collect reads a request until it can be handed on.
func (c *caller) collect(first byte) {
	b := collected{buf: []byte{first}}
	headOnly := true // so far
	// While the box stops, the server closes connections that it thinks are at rest.
	for !b.whole() && !c.relay.stopping.Load() {
		if headOnly && b.head > 0 {
			headOnly = false
			_ = c.SetReadDeadline(time.Now().Add(readWait))
		}
		if !c.makeRoom(&b) {
			c.broken = errMemoryShort
			break
		}
		n, err := c.Conn.Read(b.buf[len(b.buf):cap(b.buf)])
		b.buf = b.buf[:len(b.buf)+n]
		if err != nil {
			c.broken = err
			break
		}
	}
	c.pending = b.buf[1:]
	if b.head > 0 && b.more {
		c.announce(b.buf[:b.head], b.length)
	}
}

// makeRoom lets a request grow. It waits a little where memory is short: before the
// head is read, nobody knows how urgent it is.
func (c *caller) makeRoom(b *collected) bool {
	if len(b.buf) < cap(b.buf) {
		return true
	}
	size := max(collectStep, 2*cap(b.buf))
	if !c.lease.Grow(int64(size), fullShare) {
		ctx, cancel := context.WithTimeout(context.Background(), shortWait)
		defer cancel()
		if !c.lease.Await(ctx, int64(size), fullShare) {
			return false
		}
	}
	b.buf = append(make([]byte, 0, size), b.buf...)
	return true
}

// announce looks at the head of a request whose body is still to come. What does not
// fit is not read.
func (c *caller) announce(head []byte, length int) {
	var h fasthttp.RequestHeader
	h.DisableNormalizing()
	if h.Read(bufio.NewReaderSize(bytes.NewReader(head), len(head))) != nil {
		return // the server says so
	}
	c.share = c.relay.requestShare(&h)
	c.request = headerValue(&h, c.relay.cfg.Protocol.RequestID)
	body := int64(min(max(length, 0), bodyBytes)) // a longer one is refused by the server
	if !c.lease.Grow(headerBytes, c.share) || !c.lease.Fits(bodyMemoryFactor*body, c.share) {
		c.broken = errMemoryShort
	}
}

// readBody reads more of a body that was not collected.
func (c *caller) readBody(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.lease.Grow(bodyMemoryFactor*int64(n), c.share) {
		c.broken = errMemoryShort
		return 0, errMemoryShort
	}
	return n, err
}

// Close implements net.Conn. All that was charged is given back.
func (c *caller) Close() error {
	c.lease.Close()
	if errors.Is(c.broken, errMemoryShort) {
		c.drain()
	}
	return c.Conn.Close()
}

// drain reads on for a moment, so that the caller gets to read why it was refused.
func (c *caller) drain() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(refusedLinger))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, refusedBytes))
}

// turnedAway notes that something was not taken since memory is short.
func (r *Relay) turnedAway(id, what string) {
	r.stats.count(callersTurnedAway)
	r.cfg.Log.Event("caller", "turned away", Fields{"id": id, "what": what, "memory_used": r.account.Used(),
		"memory_bound": r.account.Bound()})
}
