package upstream

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/decide"
)

// A plain answer without a length was whole wherever its upstream was killed within it: the system
// closes the connections of a killed process in order.
func TestPlainAnswerOfKilledUpstreamIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, answer string
		ends         bool // the process, with the connection
		want         decide.Outcome
	}{
		{"killed", head + "\r\nhalf of", true, decide.Failed},
		{"killed, connection to close", head + "Connection: close\r\n\r\nhalf of", true, decide.Failed},
		{"killed, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nhalf of", true, decide.Failed},
		{"killed within a failure", "HTTP/1.1 500 Failed\r\n\r\nhalf of", true, decide.Failed},
		{"goes on", head + "\r\nwhole", false, decide.Answered},
		{"has said that it leaves", head + HeaderLeaving + ": 1\r\n\r\nwhole", true, decide.Answered},
		{"killed behind a length", head + "Content-Length: 5\r\n\r\nwhole", true, decide.Answered},
		{"killed without a body due", "HTTP/1.1 204 No Content\r\n\r\n", true, decide.Answered},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			done := make(chan struct{})
			go func() {
				defer close(done)
				k, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = k.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(k, c.answer)
				if c.ends {
					_ = l.Close()
				}
				_ = k.Close()
			}()
			h := runner()
			var sink collector
			r := h.Run(context.Background(), callTo(l.Addr().String(), true), &sink)
			is.Equal(r.Outcome, c.want)
			is.Equal(r.UpstreamCrashed, c.want == decide.Failed)
			is.True(c.want == decide.Answered || sink.whole == "")
			<-done
			is.NoErr(h.Close())
			_ = l.Close()
		})
	}
}
