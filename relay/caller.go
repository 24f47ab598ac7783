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
	// memoryWait is how long a head waits for memory; callers give up what has not been
	// read after a second.
	memoryWait = 300 * time.Millisecond
	// drainTimeout is how long, and refusedBytes how much, a box goes on reading of a
	// body that it has turned away, since closing at once would take the answer along.
	drainTimeout  = 500 * time.Millisecond
	maxDrainBytes = 1 << 20
	// initialBufferBytes is the first size of the buffer for a request, in bytes.
	initialBufferBytes = 1 << 10
	// maxCollectedBody is the largest body that is collected with its head.
	maxCollectedBody = 32 << 10
)

// callerListener accepts callerListener' connections.
type callerListener struct {
	net.Listener
	relay *Relay
}

var _ net.Listener = callerListener{}

// Accept implements net.Listener. A connection that there is no memory for is closed
// before anything is read of it.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newCaller(l.relay, conn)
		if c.lease.Grow(callerBytes, wholeShare) {
			return c, nil
		}
		l.relay.logTurnedAway("", "connection")
		_ = c.Close()
	}
}

// callerConn is a callerConn's connection.
type callerConn struct {
	net.Conn
	relay *Relay
	raw   syscall.RawConn // nil where the connection has none
	lease *account.Lease

	pending        []byte    // read of a request, and not handed on yet
	readErr        error     // comes behind pending: why no more is read
	memoryShare    float64   // of the bound, that the request may fill
	requestID      string    // id of the request under way, as far as it is known
	answerDeadline time.Time // when its answer has to be gone; zero: not said
	reused         bool      // it has waited for a request before
	requestCharged bool      // a request of it is under way, or was since the lease was last shrunk
	aborted        atomic.Bool
}

var (
	_ net.Conn     = (*callerConn)(nil)
	_ syscall.Conn = (*callerConn)(nil)
)

func newCaller(r *Relay, conn net.Conn) *callerConn {
	c := &callerConn{Conn: conn, relay: r, lease: r.account.Lease()}
	if sc, ok := conn.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // nil with an error
	}
	return c
}

// callerOf is the caller of a request; nil where its connection is another's.
func callerOf(ctx *fasthttp.RequestCtx) *callerConn {
	c, _ := ctx.Conn().(*callerConn)
	return c
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, errors.ErrUnsupported
	}
	return c.raw, nil
}

// Read implements net.Conn. fasthttp reads the first byte of a request alone where
// nothing of it has been read with the one before.
func (c *callerConn) Read(p []byte) (int, error) {
	switch {
	case len(c.pending) > 0:
		n := copy(p, c.pending)
		c.pending = c.pending[n:]
		if len(c.pending) == 0 {
			c.pending = nil
		}
		return n, nil
	case c.readErr != nil:
		return 0, c.readErr
	case len(p) == 1:
		return c.readRequest(p)
	}
	return c.readBody(p)
}

// readRequest waits for a request, collects it, and returns its first byte.
func (c *callerConn) readRequest(first []byte) (int, error) {
	c.releaseRequest()
	limits := c.limits()
	if c.reused && limits.IdleWait > 0 {
		_ = c.SetReadDeadline(time.Now().Add(limits.IdleWait))
	}
	c.reused = true
	n, err := c.Conn.Read(first)
	if err != nil {
		return n, err
	}
	headWait := limits.HeaderWait
	if headWait == 0 {
		headWait = readTimeout
	}
	_ = c.SetReadDeadline(time.Now().Add(headWait))
	c.collect(first[0])
	return n, nil
}

// limits are those of the document in force.
func (c *callerConn) limits() route.Limits {
	if doc := c.relay.belief.document(); doc != nil {
		return doc.Limits
	}
	return route.Limits{}
}

// releaseRequest gives back what the last request has taken.
func (c *callerConn) releaseRequest() {
	c.lease.Shrink(callerBytes)
	c.memoryShare, c.requestID, c.answerDeadline, c.requestCharged = leastShare, "", time.Time{}, false
}

// collect reads a request until it can be handed on.
func (c *callerConn) collect(first byte) {
	b := requestBuffer{buf: []byte{first}}
	headOnly := true // so far
	// While the box stops, the server closes connections that it thinks are at rest.
	for !b.complete() && !c.relay.stopping.Load() {
		if headOnly && b.headLen > 0 {
			headOnly = false
			_ = c.SetReadDeadline(time.Now().Add(readTimeout))
		}
		if !c.growBuffer(&b) {
			c.readErr = errShort
			break
		}
		n, err := c.Conn.Read(b.buf[len(b.buf):cap(b.buf)])
		b.buf = b.buf[:len(b.buf)+n]
		if err != nil {
			c.readErr = err
			break
		}
	}
	c.pending = b.buf[1:]
	if b.headLen > 0 && b.bodyFollows {
		c.checkAnnouncedBody(b.buf[:b.headLen], b.bodyLen)
	}
}

// growBuffer lets a request grow. It waits a little where memory is short: before the
// head is read, nobody knows how urgent it is.
func (c *callerConn) growBuffer(b *requestBuffer) bool {
	if len(b.buf) < cap(b.buf) {
		return true
	}
	size := max(initialBufferBytes, 2*cap(b.buf))
	if !c.lease.Grow(int64(size), wholeShare) {
		ctx, cancel := context.WithTimeout(context.Background(), memoryWait)
		defer cancel()
		if !c.lease.Await(ctx, int64(size), wholeShare) {
			return false
		}
	}
	b.buf = append(make([]byte, 0, size), b.buf...)
	return true
}

// checkAnnouncedBody looks at the head of a request whose body is still to come. What does not
// fit is not read.
func (c *callerConn) checkAnnouncedBody(head []byte, length int) {
	var h fasthttp.RequestHeader
	h.DisableNormalizing()
	if h.Read(bufio.NewReaderSize(bytes.NewReader(head), len(head))) != nil {
		return // the server says so
	}
	c.memoryShare = c.relay.shareOf(&h)
	c.requestID = headerValue(&h, c.relay.cfg.Protocol.RequestID)
	body := int64(min(max(length, 0), maxBodyBytes)) // a longer one is refused by the server
	if !c.lease.Grow(maxHeaderBytes, c.memoryShare) || !c.lease.Fits(bodyCost*body, c.memoryShare) {
		c.readErr = errShort
	}
}

// readBody reads more of a body that was not collected.
func (c *callerConn) readBody(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.lease.Grow(bodyCost*int64(n), c.memoryShare) {
		c.readErr = errShort
		return 0, errShort
	}
	return n, err
}

// Close implements net.Conn. All that was charged is given back.
func (c *callerConn) Close() error {
	c.lease.Close()
	if errors.Is(c.readErr, errShort) {
		c.drain()
	}
	return c.Conn.Close()
}

// drain reads on for a moment, so that the caller gets to read why it was refused.
func (c *callerConn) drain() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxDrainBytes))
}

// logTurnedAway notes that something was not taken since memory is short.
func (r *Relay) logTurnedAway(id, what string) {
	r.stats.count(callersTurnedAway)
	r.cfg.Log.Event("caller", "turned away", Fields{"id": id, "what": what, "memory_used": r.account.Used(),
		"memory_bound": r.account.Bound()})
}
