package relay

// This file defines how the body of a response is read. The invariant: io.EOF is returned only after
// the whole body, if its framing marks the end, and otherwise only if the upstream closed the connection in order.

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/doormast/doormast/internal/framing"
)

// bodyReader returns a reader for the body: of known length, chunked, or until the connection is
// closed.
func bodyReader(resp *response) io.Reader {
	c, h := resp.conn, &resp.header
	switch n := h.ContentLength(); {
	case h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified:
		return bytes.NewReader(nil)
	case n >= 0:
		return &fixedLengthReader{r: c.reader, left: n}
	case n == framing.LengthChunked:
		return framing.NewChunkedReader(c.reader)
	default:
		return &closedReader{resp: resp, readAt: time.Now()}
	}
}

var (
	_ io.Reader = (*fixedLengthReader)(nil)
	_ io.Reader = (*closedReader)(nil)
)

// closedReader reads a body that ends when the connection is closed; a reset is an error, and so is the end of a body
// that its upstream may have given up since it was not read.
type closedReader struct {
	resp     *response
	readAt   time.Time // when the last read returned
	isHeldUp bool
}

// maxHeldUp is how long a full receive buffer may stay unread before its upstream may give the response up.
const maxHeldUp = 500 * time.Millisecond

// Read implements io.Reader. It reads little at a time: the upstream sends the rest of what it gave up, and the end, once
// there is room for them.
func (r *closedReader) Read(p []byte) (int, error) {
	c := r.resp.conn
	if time.Since(r.readAt) > maxHeldUp && receiveStateOf(c.Conn).isFull(0) {
		r.isHeldUp = true
	}
	n, err := c.reader.Read(p[:min(len(p), readBufferSize)])
	r.readAt = time.Now()
	if c.wasHeldUp(n) {
		r.isHeldUp = true
	}
	switch {
	case !errors.Is(err, io.EOF):
	case r.isHeldUp:
		err = errHeldUp
	case !r.resp.isClosedInOrder():
		err = errReset
	}
	return n, err
}

// errHeldUp reports that the end of a response may be that of its upstream's patience.
var errHeldUp = &Error{Op: "read response", Kind: KindNotReading, Err: errEndUnconfirmed}

// fullReceiveBuffer is how many unread bytes count as a full receive buffer. Small segments fill it with fewer.
const fullReceiveBuffer = upstreamReceiveBuffer / 4

// wasHeldUp reports whether, before a read that returned n bytes, the receive buffer was full for long: the process may
// have stood still, which its own clock does not tell from a wait for the upstream. An end that has arrived was not held up.
func (c *conn) wasHeldUp(n int) bool {
	s := receiveStateOf(c.Conn)
	return s.isFull(n+c.reader.Buffered()) && s.age > maxHeldUp && !s.hasEnd
}

// receiveState is what the kernel tells of the receiving direction of a connection.
type receiveState struct {
	unread int           // bytes that were received and not read
	memory float64       // share of the receive buffer that they take, with the overhead of their segments
	age    time.Duration // of the last data
	hasEnd bool          // the peer's end was received
}

// isFull reports whether the peer may have to wait, or had to before so many bytes were read.
func (s receiveState) isFull(read int) bool {
	return read+s.unread >= fullReceiveBuffer || s.memory >= 0.5
}

// receiveStateOf returns the state of a connection; zero if the kernel does not tell.
func receiveStateOf(c net.Conn) (s receiveState) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return s
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return s
	}
	_ = raw.Control(func(fd uintptr) {
		s.unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		s.memory = receiveMemory(int(fd))
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			s.age = time.Duration(info.Last_data_recv) * time.Millisecond
			s.hasEnd = info.State == unix.BPF_TCP_CLOSE_WAIT
		}
	})
	return s
}

// receiveMemory returns the share of a socket's receive buffer that is in use; 0 if the kernel does not tell.
func receiveMemory(fd int) float64 {
	const used, size = 0, 1 // SK_MEMINFO_RMEM_ALLOC, SK_MEMINFO_RCVBUF
	// The only getter for an option that is an array of numbers.
	info, err := unix.GetsockoptICMPv6Filter(fd, unix.SOL_SOCKET, unix.SO_MEMINFO)
	if err != nil || info.Data[size] == 0 {
		return 0
	}
	return float64(info.Data[used]) / float64(info.Data[size])
}

// errReset reports that the connection of a response was reset, which its reader was not told.
var errReset = &Error{Op: "read response", Kind: KindTruncated, Err: syscall.ECONNRESET}

// isClosedInOrder reports whether the upstream closed the connection whose end was read. The kernel tells of a reset
// once: if a write of the request was told, a read finds the end of the connection.
func (r *response) isClosedInOrder() bool {
	if r.sent.succeeded() || r.conn.tunnel() != nil || receiveStateOf(r.conn.Conn).hasEnd {
		return true
	}
	err := r.sent.wait() // the connection is down, so that the write has ended
	return err == nil || errors.Is(err, syscall.EPIPE)
}

// fixedLengthReader reads a body of known length; an earlier end is an error.
type fixedLengthReader struct {
	r    io.Reader
	left int
}

// Read implements io.Reader.
func (s *fixedLengthReader) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.r.Read(p[:min(len(p), s.left)])
	s.left -= n
	if errors.Is(err, io.EOF) && s.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
