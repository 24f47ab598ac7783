package relay

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// What a box between sent is not at its end before the frame that states it, wherever the connection to that
// box is closed, as by the system for a box that was killed.
func TestEndThroughOtherBoxIsWhereItIsStated(t *testing.T) {
	frame := func(length uint16, data string) string {
		return string(binary.BigEndian.AppendUint16(nil, length)) + data
	}
	whole := frame(4, "head") + frame(0, "") + frame(frameStopping, "") + frame(4, "body") + frame(frameEnd, "")
	l := listen(t)
	defer func() { _ = l.Close() }()
	for offset := range len(whole) + 1 {
		is := is.New(t)
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		between, err := l.Accept()
		is.NoErr(err)
		_, err = io.WriteString(between, whole[:offset])
		is.NoErr(err)
		is.NoErr(between.Close())
		lost := 0
		conn := newTunnelConn(c, "", func() {}, func() { lost++ })
		body, err := io.ReadAll(conn)
		if offset == len(whole) {
			is.NoErr(err)
			is.Equal(string(body), "headbody")
			is.Equal(lost, 0)
		} else {
			is.True(errors.Is(err, errTunnelLost))
			is.Equal(lost, 1)
		}
		is.NoErr(conn.Close())
	}
}

// An upstream gives up a response that is not read, and closes the connection in order. The box between
// that was stopped meanwhile stated this as the end of the response. It also stated as such a reset of which the
// kernel had told a write of the request.
func TestEndInStallIsNotStated(t *testing.T) {
	part := []byte{0, 4, 'p', 'a', 'r', 't'}
	for _, c := range []struct {
		name    string
		stalled time.Duration
		isReset bool
		want    []byte // frames
	}{
		{"running", 0, false, append(part, frameEnd>>8, frameEnd&0xff)},
		{"stopped", 2 * maxTunnelStall, false, part},
		{"reset", 0, true, append(part, frameReset>>8, frameReset&0xff)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestBox(t, newStub(t, "u", respondOK("u")))
			s := newTunnelServer(b.relay)
			s.lastTick.Store(int64(b.relay.now() - c.stalled))
			box, asker := net.Pipe()
			upstream, sender := connectTCP(t)
			_, err := io.WriteString(sender, "part")
			is.NoErr(err)
			if c.isReset {
				is.NoErr(sender.SetLinger(0))
			}
			is.NoErr(sender.Close())
			for c.isReset && err == nil {
				_, err = io.WriteString(upstream, "request")
			}
			served := &servedTunnel{server: s, box: box, upstream: upstream}
			go func() {
				_ = served.copyToBox()
				_ = box.Close()
			}()
			got, err := io.ReadAll(asker)
			is.NoErr(err)
			is.Equal(got, c.want)
			is.NoErr(upstream.Close())
		})
	}
}

// connectTCP returns both ends of a connection.
func connectTCP(t *testing.T) (one, other *net.TCPConn) {
	l := listen(t)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn), accepted.(*net.TCPConn)
}
