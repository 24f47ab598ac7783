package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// A second answer to a call of the box itself, which has no ID, was forwarded to the caller whose
// request went over the connection next.
func TestSecondAnswerToCallReachesNoCaller(t *testing.T) {
	for _, test := range []struct {
		name  string
		extra string // arrives where the response to the next request is due
	}{
		{"report", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"},
		{"two reports", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"},
		{"refusal", "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			u := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
				_, _ = io.WriteString(c, test.extra)
				return respondOK("own")(c, r)
			})
			b := newTestBox(t, u)
			for i, path := range []string{"/once/x", "/safe/x", "/fixed/x"} {
				got := b.do(b.request("POST", fmt.Sprintf("%s%d", path, i), "body"))
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, "own")
				is.Equal(got.header.Get("X-Sign"), "s")
			}
			is.Equal(len(u.requests()), 3)
		})
	}
}

// A second answer to one call was taken for the answer to the next call.
func TestSecondAnswerToCallIsNotThatOfNextCall(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int32
	u := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
		conns.Add(1)
		for {
			respondCall(c, 200, r.URL.Path)
			again, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return false
			}
			respondCall(c, 200, r.URL.Path) // once more
			r = stubRequest{again, ""}
		}
	})
	b := newTestBox(t, u)
	for _, path := range []string{"/a", "/b", "/c"} {
		resp, err := b.relay.callUpstream(t.Context(), balance.Upstream{ID: "u", Service: "s", Address: u.listener.Addr().String()}, "s", UpstreamCall{Method: http.MethodGet, Path: path})
		is.NoErr(err)
		is.Equal(string(resp.body), path)
	}
	is.Equal(conns.Load(), int32(3))
}
