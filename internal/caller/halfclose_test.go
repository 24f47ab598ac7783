package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A caller that closes its sending direction counts as disconnected, and got an empty success, or a
// stream with its last chunk but without its end.
func TestCallerThatHalfClosesGetsNoCompleteAnswer(t *testing.T) {
	stream := `{"stream":true,` + chat[1:]
	for _, c := range []struct {
		name, body string
		events     int // before the caller closes
	}{
		{"whole, before its first event", chat, 0},
		{"whole, within it", chat, 1},
		{"stream, before its first event", stream, 0},
		{"stream, within it", stream, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			begun := make(chan struct{})
			s, core := start(t, func(a Arrival) {
				for range c.events {
					_ = a.Exchange.Event([]byte(`{"model":"m","choices":[{"delta":{"content":"hello "}}]}`))
				}
				close(begun)
			})
			k, err := net.Dial("tcp", s.Address())
			is.NoErr(err)
			defer func() { _ = k.Close() }()
			_, err = fmt.Fprintf(k, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\nContent-Length: %d\r\n\r\n%s", pathChat, len(c.body), c.body)
			is.NoErr(err)
			<-begun
			r := bufio.NewReader(k)
			if c.name == "stream, within it" {
				expectLine(t, r, "data: ")
			}
			is.NoErr(k.(*net.TCPConn).CloseWrite())
			for len(core.left) == 0 {
				s.Sweep()
			}
			rest, err := io.ReadAll(r)
			is.NoErr(err)
			is.True(!strings.Contains(string(rest), "HTTP/1.1 200")) // no success begins
			is.True(!strings.Contains(string(rest), "0\r\n\r\n"))    // no stream ends
		})
	}
}

// expectLine reads up to a line with a prefix.
func expectLine(t *testing.T, r *bufio.Reader, prefix string) {
	t.Helper()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(line, prefix) {
			return
		}
	}
}
