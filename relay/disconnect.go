package relay

// This file defines how a caller's leaving is seen while its request is under way:
// its connection becomes readable, and a look shows its end.

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// disconnectWatch waits for a caller to leave.
type disconnectWatch struct {
	conn         net.Conn
	disconnected atomic.Bool
	done         chan struct{}
}

// watchDisconnect calls gone, once and from another goroutine, if the caller closes its
// connection before stop is called.
func watchDisconnect(conn net.Conn, gone func()) *disconnectWatch {
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
		// The poller wakes the wait when there is something to read, or its end;
		// a caller that sends its next request early has not left.
		left := false
		err := raw.Read(func(fd uintptr) bool {
			var ok bool
			left, ok = peekClosed(int(fd))
			return ok
		})
		if err == nil && left {
			w.disconnected.Store(true)
			gone()
		}
	}()
	return w
}

// peekClosed looks at a socket without reading from it: left is whether the other
// side has closed, known whether anything could be told at all.
func peekClosed(fd int) (left, known bool) {
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

// expiredDeadline is a deadline that ends a wait at once.
var expiredDeadline = time.Unix(1, 0)

// stop ends the watch and waits for its goroutine; the connection can be read from
// again afterwards.
func (w *disconnectWatch) stop() {
	_ = w.conn.SetReadDeadline(expiredDeadline)
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{})
}
