package relay

// This file defines how the body of a response is read. The invariant: io.EOF is returned only after
// the whole body, if its framing marks the end, and otherwise only if the upstream closed the connection in order.

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
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
	case n == lengthChunked:
		return &chunkedReader{c: c, r: httputil.NewChunkedReader(c.reader)}
	default:
		return &closedReader{resp: resp, readAt: time.Now()}
	}
}

var (
	_ io.Reader = (*fixedLengthReader)(nil)
	_ io.Reader = (*chunkedReader)(nil)
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

// Read implements io.Reader.
func (r *closedReader) Read(p []byte) (int, error) {
	if time.Since(r.readAt) > maxHeldUp && unreadBytesOf(r.resp.conn.Conn) >= fullReceiveBuffer {
		r.isHeldUp = true
	}
	n, err := r.resp.conn.reader.Read(p)
	r.readAt = time.Now()
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

// fullReceiveBuffer is how many unread bytes, at the least, fill the receive buffer so far that an upstream has to
// wait: the kernel counts more for a segment than the bytes in it.
const fullReceiveBuffer = upstreamReceiveBuffer / 4

// unreadBytesOf returns how many bytes have been received on a connection and not read.
func unreadBytesOf(c net.Conn) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return n
}

// errReset reports that the connection of a response was reset, which its reader was not told.
var errReset = &Error{Op: "read response", Kind: KindTruncated, Err: syscall.ECONNRESET}

// isClosedInOrder reports whether the upstream closed the connection whose end was read. The kernel tells of a reset
// once: if a write of the request was told, a read finds the end of the connection.
func (r *response) isClosedInOrder() bool {
	if r.sent.succeeded() || r.conn.tunnel() != nil || isHalfClosed(r.conn.Conn) {
		return true
	}
	err := r.sent.wait() // the connection is down, so that the write has ended
	return err == nil || errors.Is(err, syscall.EPIPE)
}

// isHalfClosed reports whether the peer has closed a connection on which it can still be written to.
func isHalfClosed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	isHalf := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isHalf = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return isHalf
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

// chunkedReader reads a chunked body and the trailer after it.
type chunkedReader struct {
	c    *conn
	r    io.Reader
	done bool
}

// Read implements io.Reader.
func (k *chunkedReader) Read(p []byte) (int, error) {
	if k.done {
		return 0, io.EOF
	}
	n, err := k.r.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := k.skipTrailer(); err != nil {
		return n, err
	}
	k.done = true
	return n, io.EOF
}

// skipTrailer reads up to the empty line after the last chunk.
func (k *chunkedReader) skipTrailer() error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := k.c.reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		size += len(line)
	}
	return errLongBody
}
