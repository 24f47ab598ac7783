package relay

// This file defines how socket buffer sizes are set. The invariant: a size that cannot be set
// is left unchanged, since it only bounds memory.

import (
	"net"
	"syscall"
)

// setBuffers sets the sizes of a socket's receive and send buffers.
func setBuffers(raw syscall.RawConn, receive, send int) {
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, send)
	})
}

// setCallerBuffers sets the buffer sizes of a listener, which the connections that it accepts
// inherit.
func setCallerBuffers(l net.Listener) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		setBuffers(raw, callerBufferSize, callerBufferSize)
	}
}
