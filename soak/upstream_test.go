package soak

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Stale responses did not advertise the limit of their upstream, so boxes took it for ended.
func TestStaleResponsesAdvertiseLimit(t *testing.T) {
	for _, limit := range []float64{-1, 0, 0.5} {
		is := is.New(t)
		l := &advertisedLimit{limit: limit}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			l.setHeader(w.Header())
			sendStaleResponse(w, "u", "id")
		}))
		defer server.Close()
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		is.NoErr(err)
		want := make(http.Header)
		l.setHeader(want)
		r := bufio.NewReader(c)
		for range 2 {
			response, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			is.Equal(response.Header.Get(protocol.Limit), want.Get(protocol.Limit))
			is.NoErr(response.Body.Close())
		}
	}
}
