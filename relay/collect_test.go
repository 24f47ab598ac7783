package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A request is passed to the server once it is complete, in whatever pieces it arrives.
func TestRequestBufferComplete(t *testing.T) {
	long := strings.Repeat("x", maxCollectedBody+1)
	for _, c := range []struct {
		name string
		sent string
		at   int // number of bytes after which the request is complete; 0: never
		more bool
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27, false},
		{"lines ending in LF", "GET / HTTP/1.1\nHost: h\n\n", 24, false},
		{"body", "POST / HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc", 41, false},
		{"incomplete body", "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabc", 0, false},
		{"large body", "POST / HTTP/1.1\r\nContent-Length: 32769\r\n\r\n" + long, 42, true},
		{"chunked body", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3", 47, true},
		{"body after 100 Continue", "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n", 60, true},
		{"invalid length", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 38, true},
		{"incomplete header", "GET / HTTP/1.1\r\nHost: h\r\n", 0, false},
		{"header too long", "GET /" + strings.Repeat("x", maxHeaderBytes), maxHeaderBytes, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var b requestBuffer
			at := 0
			for i := 0; i < len(c.sent) && at == 0; i++ {
				b.buf = append(b.buf, c.sent[i])
				if b.complete() {
					at = len(b.buf)
				}
			}
			is.Equal(at, c.at)
			is.Equal(b.bodyFollows, c.more)
			whole := requestBuffer{buf: []byte(c.sent)}
			is.Equal(whole.complete(), c.at > 0) // all bytes at once
		})
	}
}

func TestLessUrgentRequestsGetSmallerMemoryShare(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		urgency, of int
		want        float64
	}{{0, 10, maxRequestShare}, {9, 10, minRequestShare}, {12, 10, minRequestShare}, {0, 0, maxRequestShare}} {
		is.Equal(shareForUrgency(c.urgency, c.of), c.want)
	}
	for u := range 9 {
		is.True(shareForUrgency(u, 10) > shareForUrgency(u+1, 10))
	}
}
