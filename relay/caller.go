package relay

// This file defines how a caller's connection is read. The invariants: a request is passed to the
// server once its header and, if it is small, its body have arrived, so that a slow sender occupies
// little more memory than it has sent; and the memory for a caller's requests and responses is charged
// to the account, and released when the next request is read or the connection ends.

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/internal/account"
	"github.com/doormast/doormast/internal/framing"
	"github.com/doormast/doormast/route"
)

const (
	// memoryWait is how long a request's header waits for memory; callers give up on what has not been
	// read after a second.
	memoryWait = 300 * time.Millisecond
	// drainTimeout and maxDrainBytes limit how much a box still reads of what it does not serve: closing
	// a connection with unread bytes resets it, which would also discard the response.
	drainTimeout  = 500 * time.Millisecond
	maxDrainBytes = 1 << 20
	// initialBufferBytes is the initial size of the buffer for a request, in bytes.
	initialBufferBytes = 1 << 10
	// maxCollectedBody is the largest body, in bytes, that is buffered together with its header.
	maxCollectedBody = 32 << 10
)

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	relay *Relay
}

var _ net.Listener = callerListener{}

// Accept implements net.Listener. A connection for which there is no memory is closed before anything
// is read from it.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newCallerConn(l.relay, conn)
		if c.lease.Grow(callerBytes, fullShare) {
			l.relay.callerServer.conns.add(c)
			return c, nil
		}
		l.relay.logTurnedAway("", "connection")
		_ = c.Close()
	}
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	relay *Relay
	raw   syscall.RawConn // nil if the connection does not provide one
	lease *account.Lease

	pending        []byte      // part of a request that was read but not yet returned by Read
	readErr        error       // returned by Read after pending
	memoryShare    float64     // share of the memory bound up to which the request may allocate
	requestID      string      // ID of the current request; empty if not known yet
	writeDeadline  time.Time   // when the response must have been written; zero: not set
	stallDeadline  time.Time   // until then the caller may read nothing of the response; zero: for writeStallTimeout
	reused         bool        // a request was awaited on this connection before
	requestCharged bool        // a request is active, or was since the lease was last shrunk
	aborted        atomic.Bool // the caller was disconnected because it does not read
	behind         []byte      // requests that were read together with the current one

	trailers framing.TrailerCheck

	progress callerProgress
}

var (
	_ net.Conn     = (*callerConn)(nil)
	_ syscall.Conn = (*callerConn)(nil)
)

func newCallerConn(r *Relay, conn net.Conn) *callerConn {
	c := &callerConn{Conn: conn, relay: r, lease: r.account.Lease()}
	if sc, ok := conn.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // raw is nil on an error
	}
	return c
}

// callerOf returns the connection of a request's caller; nil if it did not come from callerListener.
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

// Read implements net.Conn. fasthttp reads the first byte of a request with a buffer of length 1,
// unless that byte was already read together with the previous request.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	_, _ = c.trailers.Write(p[:n])
	return n, err
}

func (c *callerConn) read(p []byte) (int, error) {
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

// readRequest waits for a request, buffers it and returns its first byte.
func (c *callerConn) readRequest(first []byte) (int, error) {
	c.releaseRequest()
	limits := c.limits()
	n, err := c.awaitRequest(first, limits.IdleWait)
	if err != nil {
		return n, err
	}
	c.step(callerReceive)
	headerWait := limits.HeaderWait
	if headerWait == 0 {
		headerWait = readTimeout
	}
	_ = c.SetReadDeadline(time.Now().Add(headerWait))
	c.collect(first[0])
	return n, nil
}

// awaitRequest waits for the first byte of a request; idleWait is the limit of the document, or 0. If
// the box closes connections at rest, it takes only what has arrived.
func (c *callerConn) awaitRequest(first []byte, idleWait time.Duration) (int, error) {
	wait := readTimeout
	if c.reused {
		wait = cmp.Or(idleWait, idleTimeout)
	}
	c.reused = true
	conns := c.relay.callerServer.conns
	if !conns.await(c, time.Now().Add(wait)) {
		return c.readArrived(first)
	}
	n, err := c.readInTime(first)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && conns.isClosing() {
		return 0, io.EOF
	}
	return n, err
}

// readInTime is Read of the connection, but for bytes that arrived while the process stood still: its deadline has
// passed as well when it goes on.
func (c *callerConn) readInTime(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if arrived, _ := c.readArrived(p); arrived > 0 {
		return arrived, nil
	}
	return 0, err
}

// readArrived reads what has arrived without waiting; io.EOF if there is nothing.
func (c *callerConn) readArrived(p []byte) (n int, err error) {
	if c.raw == nil {
		return 0, io.EOF
	}
	controlled := c.raw.Control(func(fd uintptr) { n, _, err = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT) })
	if controlled != nil || err != nil || n <= 0 {
		return 0, io.EOF
	}
	return n, nil
}

// step applies an event to the connection's state.
func (c *callerConn) step(event int) { c.relay.callerServer.conns.step(c, event) }

// limits returns the limits of the current document.
func (c *callerConn) limits() route.Limits {
	if doc := c.relay.published.document(); doc != nil {
		return doc.Limits
	}
	return route.Limits{}
}

// releaseRequest releases the memory charged for the previous request.
func (c *callerConn) releaseRequest() {
	c.lease.Shrink(callerBytes)
	c.memoryShare, c.requestID, c.requestCharged = minRequestShare, "", false
	c.writeDeadline, c.stallDeadline = time.Time{}, time.Time{}
}

// collect reads a request until it can be passed to the server.
func (c *callerConn) collect(first byte) {
	b := requestBuffer{buf: []byte{first}}
	headOnly := true // only header bytes were read so far
	for !b.complete() {
		if headOnly && b.headLen > 0 {
			headOnly = false
			_ = c.SetReadDeadline(time.Now().Add(readTimeout))
		}
		if !c.growBuffer(&b) {
			c.readErr = errMemoryShort
			break
		}
		n, err := c.readInTime(b.buf[len(b.buf):cap(b.buf)])
		b.buf = b.buf[:len(b.buf)+n]
		if err != nil {
			c.readErr = err
			break
		}
	}
	c.pending = b.buf[1:]
	c.behind = b.behind()
	if b.headLen > 0 && b.bodyFollows {
		c.checkAnnouncedBody(b.buf[:b.headLen], b.bodyLen)
	}
}

// growBuffer enlarges the buffer of a request. If memory is short, it waits for up to memoryWait: the
// urgency of a request is unknown until its header has been read.
func (c *callerConn) growBuffer(b *requestBuffer) bool {
	if len(b.buf) < cap(b.buf) {
		return true
	}
	size := max(initialBufferBytes, 2*cap(b.buf))
	if !c.lease.Grow(int64(size), fullShare) {
		ctx, cancel := context.WithTimeout(context.Background(), memoryWait)
		defer cancel()
		if !c.lease.Await(ctx, int64(size), fullShare) {
			return false
		}
	}
	b.buf = append(make([]byte, 0, size), b.buf...)
	return true
}

// checkAnnouncedBody checks the header of a request whose body was not buffered. If the body does not
// fit into memory, it is not read.
func (c *callerConn) checkAnnouncedBody(head []byte, length int) {
	var h fasthttp.RequestHeader
	h.DisableNormalizing()
	if h.Read(bufio.NewReaderSize(bytes.NewReader(head), len(head))) != nil {
		return // the server reports the error
	}
	c.memoryShare = c.relay.requestShare(&h)
	c.requestID = headerValue(&h, c.relay.cfg.Protocol.RequestID)
	body := int64(min(max(length, 0), maxBodyBytes)) // the server refuses a longer one
	if !c.lease.Grow(maxHeaderBytes, c.memoryShare) || !c.lease.Fits(bodyMemoryFactor*body, c.memoryShare) {
		c.readErr = errMemoryShort
	}
}

// noteRead records that the request with an ID has been read.
func (c *callerConn) noteRead(id string) {
	if c.relay.callerServer.conns.read(c, id) {
		return
	}
	// It was read together with the previous one.
	b := requestBuffer{buf: c.behind}
	b.complete()
	c.behind = b.behind()
}

// hasNext reports whether bytes of another request have arrived, as far as they were not read with a
// long body.
func (c *callerConn) hasNext() bool { return len(c.behind) > 0 || c.hasUnread() }

// hasUnread reports whether bytes have arrived that were not read.
func (c *callerConn) hasUnread() bool {
	isClosed, isKnown := true, false
	if c.raw != nil {
		_ = c.raw.Control(func(fd uintptr) { isClosed, isKnown = peekClosed(int(fd)) })
	}
	return isKnown && !isClosed
}

// readBody reads part of a body that was not buffered with the header.
func (c *callerConn) readBody(p []byte) (int, error) {
	n, err := c.readInTime(p)
	if n > 0 && !c.lease.Grow(bodyMemoryFactor*int64(n), c.memoryShare) {
		c.readErr = errMemoryShort
		return 0, errMemoryShort
	}
	return n, err
}

// Close implements net.Conn. It releases all memory charged for the connection.
func (c *callerConn) Close() error {
	defer c.step(callerClose)
	c.lease.Close()
	if errors.Is(c.readErr, errMemoryShort) || c.isTaking() && !c.aborted.Load() && c.hasUnread() {
		c.drain()
	}
	return c.Conn.Close()
}

// drain keeps reading for up to drainTimeout, so that the caller can read its response.
func (c *callerConn) drain() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxDrainBytes))
}

// logTurnedAway logs and counts a connection or request that was refused for lack of memory.
func (r *Relay) logTurnedAway(id, what string) {
	r.stats.count(callersTurnedAway)
	r.cfg.Log.Event("caller", "turned away", Fields{"id": id, "what": what, "memory_used": r.account.Used(),
		"memory_bound": r.account.Bound()})
}
