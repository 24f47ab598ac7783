package relay

// This file defines how an answer is written to a caller that may not read it. The
// invariant: a caller that takes nothing for a while, or little for very long, is cut
// off; one that takes something in time gets all of its answer.

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// unreadWait is how long a caller may take no byte of an answer that waits for it.
	// Callers give a stream up after a gap of 2 s at the least, and upstreams cut off
	// what is left unread for some seconds.
	unreadWait = 2 * time.Second
	// unreadLook is how often it is looked whether the caller has taken something.
	unreadLook = 250 * time.Millisecond
	// lateWait is how long after a request's end its caller may still be taking the
	// answer, however slowly.
	lateWait = 10 * time.Second
)

// errUnread says that a caller takes nothing of its answer.
var errUnread = &Error{Op: "answer", Kind: KindUnread}

// Write implements net.Conn.
func (c *caller) Write(p []byte) (int, error) {
	sent, err := c.writeNow(p)
	if err != nil || sent == len(p) {
		return sent, err
	}
	n, err := c.writeSlowly(p[sent:])
	return sent + n, err
}

// writeNow writes what the kernel takes at once. It asks the kernel itself: the poller
// tells of room only when a third of the buffer is free.
func (c *caller) writeNow(p []byte) (n int, err error) {
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

// writeSlowly writes to a caller that does not take all at once, for as long as it
// takes something.
func (c *caller) writeSlowly(p []byte) (int, error) {
	held := c.lease.Held()
	if !c.lease.Grow(unreadBytes, fullShare) {
		return 0, c.cutOff(len(p), memoryShortReason)
	}
	defer c.lease.Shrink(held)
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	sent, taken := 0, time.Now()
	for {
		n, err := c.writeOnce(p[sent:])
		sent += n
		now := time.Now()
		if n > 0 {
			taken = now
		}
		switch {
		case sent == len(p) || err != nil:
			return sent, err
		case now.Sub(taken) >= unreadWait:
			return sent, c.cutOff(len(p)-sent, "takes nothing")
		case !c.until.IsZero() && now.After(c.until):
			return sent, c.cutOff(len(p)-sent, "too slow")
		}
	}
}

// writeOnce writes for a short while; running out of it is no error.
func (c *caller) writeOnce(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(unreadLook)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	// The kernel may have room that the poller has not told of.
	if err := c.SetWriteDeadline(time.Time{}); err != nil {
		return n, err
	}
	more, err := c.writeNow(p[n:])
	return n + more, err
}

// cutOff ends the connection of a caller that does not read. The close resets it: what
// waits in the kernel would stay there otherwise.
func (c *caller) cutOff(left int, reason string) error {
	c.cut.Store(true)
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(0)
	}
	r := c.relay
	r.stats.count(callersCutOff)
	r.cfg.Log.Event("caller", "cut off", Fields{"id": c.request, "reason": reason, "unsent_bytes": left,
		"memory_used": r.account.Used(), "memory_bound": r.account.Bound()})
	return errUnread
}
