package relay

// This file defines the encoding on connections between boxes that lead to an upstream. The
// invariant: the end of what the upstream sent is stated in a frame of its own, so that a response
// that ends because the box between fails is never taken for complete.

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"google.golang.org/protobuf/proto"
)

const (
	// frameHeader is the size of a frame's length, and of a message's.
	frameHeader = 2
	// maxFrameData bounds the data of a frame, in bytes.
	maxFrameData = 8 << 10
	// maxTunnelMessage bounds a request or response for a tunnel, in bytes.
	maxTunnelMessage = 2 << 10
)

// Lengths of frames without data.
const (
	frameEnd      = 0xfff0 // the upstream has closed the connection
	frameReset    = 0xfff1 // the connection to the upstream was reset or timed out
	frameStopping = 0xfff2 // the box between is about to stop: no further request is to be sent
)

// writeMessage writes a message behind its length.
func writeMessage(w io.Writer, m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(b))), b...))
	return err
}

// readMessage reads a message behind its length, and no byte more.
func readMessage(r io.Reader, m proto.Message) error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint16(header[:])
	if length > maxTunnelMessage {
		return &Error{Op: "read tunnel message", Kind: KindMalformed}
	}
	b := make([]byte, length)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	return proto.Unmarshal(b, m)
}

// errTunnelLost reports that the connection to the box between ended, or timed out, before the
// upstream's end of the connection was stated. What was sent may still reach the upstream.
var errTunnelLost = &Error{Op: "read through other box", Kind: KindTunnel}

// tunnelConn is a connection to an upstream through another box. Its addresses and options are
// those of the connection to that box.
type tunnelConn struct {
	net.Conn
	reader   *bufio.Reader
	left     int         // bytes left of the current frame
	end      error       // what Read returns from now on; nil: not ended
	stopping atomic.Bool // the box between is about to stop
	via      string      // IP:port of the box between
	onClose  func()
	onLost   func()
	isClosed atomic.Bool
	isLost   atomic.Bool
}

var (
	_ net.Conn     = (*tunnelConn)(nil)
	_ syscall.Conn = (*tunnelConn)(nil)
)

func newTunnelConn(c net.Conn, via string, onClose, onLost func()) *tunnelConn {
	return &tunnelConn{Conn: c, reader: bufio.NewReaderSize(c, readBufferSize), via: via, onClose: onClose, onLost: onLost}
}

// SyscallConn implements syscall.Conn.
func (t *tunnelConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := t.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Read implements net.Conn.
func (t *tunnelConn) Read(p []byte) (int, error) {
	for t.left == 0 && t.end == nil {
		t.end = t.nextFrame()
	}
	if t.left == 0 {
		return 0, t.end
	}
	n, err := t.reader.Read(p[:min(len(p), t.left)])
	t.left -= n
	if err != nil {
		t.end = t.lostUnlessClosed(err)
		return n, t.end
	}
	return n, nil
}

// nextFrame reads the header of the next frame; the error ends the connection.
func (t *tunnelConn) nextFrame() error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(t.reader, header[:]); err != nil {
		return t.lostUnlessClosed(err)
	}
	switch length := int(binary.BigEndian.Uint16(header[:])); {
	case length == frameEnd:
		return io.EOF
	case length == frameReset:
		return syscall.ECONNRESET
	case length == frameStopping:
		t.stopping.Store(true)
	case length > maxFrameData:
		return &Error{Op: "read through other box", Kind: KindMalformed}
	default:
		t.left = length
	}
	return nil
}

// lostUnlessClosed returns what the end of the connection to the box between means. That this box
// closed it itself stays visible.
func (t *tunnelConn) lostUnlessClosed(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if !t.isLost.Swap(true) {
		t.onLost()
	}
	return errTunnelLost
}

// Write implements net.Conn.
func (t *tunnelConn) Write(p []byte) (int, error) {
	n, err := t.Conn.Write(p)
	if err != nil {
		err = t.lostUnlessClosed(err)
	}
	return n, err
}

// Close implements net.Conn.
func (t *tunnelConn) Close() error {
	if !t.isClosed.Swap(true) {
		defer t.onClose()
	}
	return closeUnacknowledged(t.Conn)
}

// isIdle reports whether the connection can carry another request: nothing was received since the
// last response, and the box between goes on.
func (t *tunnelConn) isIdle() bool {
	return t.left == 0 && t.end == nil && t.reader.Buffered() == 0 && !t.stopping.Load()
}
