package relay

// This file defines the sizes of the kernel's buffers. The invariant: a size that
// cannot be set is left as it is, since it bounds memory and nothing else.

import (
	"net"
	"syscall"
)

// setBuffers sets how much the kernel keeps of what has come and of what goes out.
func setBuffers(raw syscall.RawConn, receive, send int) {
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, send)
	})
}

// boundCallers sets the buffers of the connections that a listener accepts: they are
// its own.
func boundCallers(l net.Listener) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		setBuffers(raw, callerBuffer, callerBuffer)
	}
}
