package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Responses of HTTP/1.0 in chunks, which that version does not have, reached callers with the sizes of the chunks in
// their bodies, and cut off ones as whole.
func TestChunksOfOldVersionReachCallerDecoded(t *testing.T) {
	const plain = "first part, second part"
	stream := event(1) + event(2)
	chunks := func(parts ...string) string {
		var b strings.Builder
		for _, p := range parts {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
		}
		return b.String()
	}
	const last = "0\r\n\r\n"
	for _, c := range []struct {
		name, version, framing, body, want string
		isStream, keeps, isBroken          bool
	}{
		{"chunks", "1.0", "Transfer-Encoding: chunked\n", chunks("first part, ", "second part") + last, plain, false, false, false},
		{"chunks, no last one", "1.0", "Transfer-Encoding: chunked\n", chunks("first part, "), "", false, false, true},
		{"chunks, cut off", "1.0", "Transfer-Encoding: chunked\n", chunks("first part, ", "second part")[:20], "", false, false, true},
		{"chunks, trailer", "1.0", "Transfer-Encoding: chunked\n", chunks(plain) + "0\r\nX-Sum: 1\r\n\r\n", plain, false, false, false},
		{"chunks and a length", "1.0", "Content-Length: 3\nTransfer-Encoding: chunked\n", chunks(plain) + last, plain, false, false, false},
		{"chunks, connection to be kept", "1.0", "Connection: keep-alive\ntransfer-encoding: Chunked\n", chunks(plain) + last, plain, false, false, false},
		{"no chunks, but stated", "1.0", "Transfer-Encoding: chunked\n", plain, "", false, false, true},
		{"another coding", "1.0", "Transfer-Encoding: gzip\n", plain, "", false, false, true},
		{"two codings", "1.0", "Transfer-Encoding: gzip, chunked\n", chunks(plain) + last, "", false, false, true},
		{"chunks twice", "1.0", "Transfer-Encoding: chunked\nTransfer-Encoding: chunked\n", chunks(plain) + last, "", false, false, true},
		{"stream", "1.0", "Transfer-Encoding: chunked\n", chunks(event(1), event(2)) + last, stream, true, false, false},
		{"stream, events split", "1.0", "Transfer-Encoding: chunked\n", chunks(stream[:9], stream[9:]) + last, stream, true, false, false},
		{"stream, no last chunk", "1.0", "Transfer-Encoding: chunked\n", chunks(event(1)), event(1), true, false, true},
		{"length", "1.0", fmt.Sprintf("Connection: keep-alive\nContent-Length: %d\n", len(plain)), plain, plain, false, true, false},
		{"neither", "1.0", "", plain, plain, false, false, false},
		{"chunks of the version that has them", "1.1", "Transfer-Encoding: chunked\n", chunks(plain) + last, plain, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var conns sync.Map
			b := newTestBox(t, newStub(t, "u", func(k net.Conn, r stubRequest) bool {
				conns.Store(k, true)
				head := "HTTP/" + c.version + " 200 OK\nX-Id: " + r.Header.Get("X-Id") + "\nX-Sign: s\n" + c.framing
				if c.isStream {
					head += "Content-Type: text/event-stream\n"
				}
				writeWire(k, head+"\n")
				_, _ = io.WriteString(k, c.body)
				return c.keeps || strings.Contains(c.framing, "keep-alive")
			}))
			path := "/once/x"
			if c.isStream {
				path = "/fixed/x"
			}
			for n := range 2 {
				got := b.do(b.request("POST", fmt.Sprint(path, n), "body"))
				if c.isBroken && !c.isStream {
					is.Equal(got.status, http.StatusBadGateway)
					continue
				}
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.err != nil, c.isBroken)
				is.Equal(got.body, c.want)
			}
			count := 0
			conns.Range(func(any, any) bool { count++; return true })
			is.Equal(count == 1, c.keeps)
		})
	}
}
