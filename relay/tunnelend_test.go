package relay

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"

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
