package caller

// This file defines the detection of a caller that disconnects while its stream is idle.

import (
	"errors"
	"net"
	"syscall"
)

// closedByPeer reports whether the peer has closed or reset a connection. It does
// not block and consumes no data.
func closedByPeer(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil:
			closed = n == 0
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		default:
			closed = true
		}
	})
	return closed || err != nil
}
