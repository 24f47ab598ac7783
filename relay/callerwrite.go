package relay

// This file defines how a response is written to a caller that may not read it. The invariant: a
// caller that reads nothing for writeStallTimeout, or has not finished by its deadline, is
// disconnected; one that keeps reading until then gets the whole response. A response that the box
// holds whole is kept for a caller that reads nothing until its request's deadline, unless memory is
// short; when the box ends, it is handed to the system, as is what has arrived of a stream.

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// writeStallTimeout is how long a caller may read no byte of a response. Callers give up on a stream
	// after a gap of at least 2 s, and upstreams disconnect a reader that has stalled for some seconds.
	writeStallTimeout = 2 * time.Second
	// writeCheckInterval is the interval at which a blocked write checks for progress.
	writeCheckInterval = 250 * time.Millisecond
	// lateWriteTimeout is how long after its deadline a request's response may still be written,
	// however slowly.
	lateWriteTimeout = 10 * time.Second
	// handOverBytes is how much of a response the system is asked to take when the box ends.
	handOverBytes = maxBodyBytes
)

// errNotReading reports that a caller does not read its response.
var errNotReading = &Error{Op: "write response", Kind: KindNotReading}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	sent, err := c.writeNonblocking(p)
	if err != nil || sent == len(p) {
		return sent, err
	}
	n, err := c.writeWhileTaken(p[sent:])
	return sent + n, err
}

// writeNonblocking writes what fits into the socket buffer. It calls write directly, since the poller
// reports a socket as writable only when a third of its buffer is free.
func (c *callerConn) writeNonblocking(p []byte) (n int, err error) {
	if c.raw == nil {
		return 0, nil
	}
	controlled := c.raw.Write(func(fd uintptr) bool {
		n, err = syscall.Write(int(fd), p)
		return true
	})
	switch {
	case controlled != nil:
		return 0, controlled
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return 0, nil
	}
	return max(n, 0), err
}

// writeWhileTaken writes to a caller with a full socket buffer, for as long as the caller keeps
// reading.
func (c *callerConn) writeWhileTaken(p []byte) (int, error) {
	held := c.lease.Held()
	if !c.lease.Grow(unreadBytes, fullShare) {
		return 0, c.cutOff(len(p), memoryShortReason)
	}
	defer c.lease.Shrink(held)
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	sent, taken := 0, time.Now()
	isHandedOver := false
	for {
		if !isHandedOver && c.relay.isGraceOver() {
			isHandedOver = true
			c.enlargeSendBuffer()
		}
		n, err := c.writeOnce(p[sent:])
		sent += n
		now := time.Now()
		if n > 0 {
			taken = now
		}
		switch {
		case sent == len(p) || err != nil:
			return sent, err
		case now.Sub(taken) >= writeStallTimeout && !c.mayStall(now):
			return sent, c.cutOff(len(p)-sent, "takes nothing")
		case !c.writeDeadline.IsZero() && now.After(c.writeDeadline):
			return sent, c.cutOff(len(p)-sent, "too slow")
		}
	}
}

// enlargeSendBuffer makes room for the rest of a response when the box ends: the system delivers what it
// has taken also after the process is gone, within the size that it allows. The rest may be more than
// the part that is being written, and a size below what the buffer holds would make no room.
func (c *callerConn) enlargeSendBuffer() {
	if c.raw != nil {
		_ = c.raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, handOverBytes)
		})
	}
}

// allowStall lets the caller read nothing of its whole response until the request's deadline.
func (x *exchange) allowStall() {
	if x.caller != nil {
		x.caller.stallDeadline = x.deadline
	}
}

// mayStall reports whether the caller may go on reading nothing: its whole response is held, its
// request has time left, and there is memory for the least urgent requests as well.
func (c *callerConn) mayStall(now time.Time) bool {
	return now.Before(c.stallDeadline) && c.lease.Fits(0, minRequestShare)
}

// writeOnce writes for up to writeCheckInterval; reaching this limit is not an error.
func (c *callerConn) writeOnce(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeCheckInterval)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	// The socket buffer may have space that the poller has not reported.
	if err := c.SetWriteDeadline(time.Time{}); err != nil {
		return n, err
	}
	more, err := c.writeNonblocking(p[n:])
	return n + more, err
}

// cutOff disconnects a caller that does not read. Closing with a linger time of 0 resets the
// connection, which discards the data in the socket buffer.
func (c *callerConn) cutOff(left int, reason string) error {
	c.aborted.Store(true)
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(0)
	}
	r := c.relay
	r.stats.count(callersCutOff)
	r.cfg.Log.Event("caller", "cut off", Fields{"id": c.requestID, "reason": reason, "unsent_bytes": left,
		"memory_used": r.account.Used(), "memory_bound": r.account.Bound()})
	return errNotReading
}
