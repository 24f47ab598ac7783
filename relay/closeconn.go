package relay

// This file defines how the box closes connections to upstreams. The invariant: what the peer has not
// acknowledged by then does not reach it later.

import "net"

// closeUnacknowledged closes a connection, and resets it if the peer has not acknowledged all that was
// sent. A request that a partition holds up would otherwise be delivered once the path is back, when
// nobody waits for it any more and its upstream may be leaving.
func closeUnacknowledged(c net.Conn) error {
	if t, ok := c.(*net.TCPConn); ok && unacked(t) > 0 {
		_ = t.SetLinger(0)
	}
	return c.Close()
}

// Close closes the connection. A run on it is given up.
func (c *conn) Close() error { return closeUnacknowledged(c.Conn) }
