package upstream

// This file defines the pool of idle connections to upstreams. The invariant: open returns only
// new connections and those that were just checked to be open, and a connection carries one call
// at a time.

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// conn is a buffered connection to an upstream.
type conn struct {
	net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	reused bool          // taken from the pool
	usedAt time.Duration // when it was opened or its last answer ended
}

// maxIdleTime is how long a connection may have been idle to be used again. Servers
// close idle connections after some seconds, and a request that crosses the close is
// lost.
const maxIdleTime = 2500 * time.Millisecond

// get returns the most recently used idle connection, which may be closed by now, or
// a new one.
func (h *HTTP) get(ctx context.Context, address string) (*conn, error) {
	h.mu.Lock()
	if list := h.idle[address]; len(list) > 0 {
		c := list[len(list)-1]
		h.idle[address] = list[:len(list)-1]
		h.mu.Unlock()
		c.reused = true
		return c, nil
	}
	h.mu.Unlock()
	return h.dial(ctx, address)
}

// dial opens a new connection.
func (h *HTTP) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: h.cfg.DialTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, r: bufio.NewReaderSize(c, readBuffer), w: bufio.NewWriterSize(c, writeBuffer), usedAt: h.cfg.Clock.Boot()}, nil
}

// put returns a connection to the pool whose last answer was read to its end.
func (h *HTTP) put(address string, c *conn) {
	c.usedAt = h.cfg.Clock.Boot()
	h.putUnused(address, c)
}

// putUnused returns a connection to the pool on which nothing was sent. It closes the
// connection if the pool is full or closed, or if unread bytes are left.
func (h *HTTP) putUnused(address string, c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || len(h.idle[address]) >= maxIdle || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	h.idle[address] = append(h.idle[address], c)
}

// alive reports whether an idle connection is still usable: the upstream has
// neither closed it nor sent unexpected bytes. A read with a deadline in the past
// would not look.
func (c *conn) alive() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.r.Buffered() > 0 {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && isQuiet
}

// open returns a connection that is either new or was used a short time ago and just
// checked to be open, so that a later failure concerns the request.
func (h *HTTP) open(ctx context.Context, address string) (*conn, error) {
	for {
		c, err := h.get(ctx, address)
		if err != nil || !c.reused || h.cfg.Clock.Boot()-c.usedAt <= maxIdleTime && c.alive() {
			return c, err
		}
		_ = c.Close()
	}
}
