package relay

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// A response to HEAD was taken for cut off, as the body that its header describes does not come.
func TestResponseToHeadHasNoBody(t *testing.T) {
	for _, c := range []struct {
		name, framing string
		keeps         bool // its connection
	}{
		{"length", "Content-Length: 5\n", true},
		{"chunks", "Transfer-Encoding: chunked\n", true},
		{"connection", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var conns sync.Map
			b := newTestBox(t, newStub(t, "u", func(k net.Conn, r stubRequest) bool {
				conns.Store(k, true)
				writeWire(k, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\n"+c.framing+"\n")
				return c.keeps
			}))
			for range 2 {
				got := b.do(b.request(http.MethodHead, "/once/x", ""))
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.header.Get("X-Sign"), "s")
			}
			count := 0
			conns.Range(func(any, any) bool { count++; return true })
			is.Equal(count == 1, c.keeps)
		})
	}
}
