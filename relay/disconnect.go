package relay

// This file defines how the box detects that a caller disconnects while its request is active: the
// connection becomes readable, and a peek finds its end.

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// disconnectWatch waits for a caller to disconnect.
type disconnectWatch struct {
	conn         net.Conn
	disconnected atomic.Bool
	done         chan struct{}
}

// watchDisconnect calls onDisconnect, once and from another goroutine, if the caller closes its
// connection before stop is called.
func watchDisconnect(conn net.Conn, onDisconnect func()) *disconnectWatch {
	w := &disconnectWatch{conn: conn, done: make(chan struct{})}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		close(w.done)
		return w
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		close(w.done)
		return w
	}
	go func() {
		defer close(w.done)
		// The poller ends the wait when data or the end of the stream arrives. A caller that sends its
		// next request early is still connected.
		closed := false
		err := raw.Read(func(fd uintptr) bool {
			var ok bool
			closed, ok = peekClosed(int(fd))
			return ok
		})
		if err == nil && closed {
			w.disconnected.Store(true)
			onDisconnect()
		}
	}()
	return w
}

// peekClosed looks at a socket without consuming data. closed reports whether the peer has closed it;
// known is false if the socket has neither data nor an end.
func peekClosed(fd int) (closed, known bool) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return false, false
	case err != nil:
		return true, true
	}
	return n == 0, true
}

// expiredDeadline ends a pending read at once.
var expiredDeadline = time.Unix(1, 0)

// stop ends the watch and waits for its goroutine. The connection can be read again afterwards.
func (w *disconnectWatch) stop() {
	_ = w.conn.SetReadDeadline(expiredDeadline)
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{})
}
