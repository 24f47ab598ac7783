package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A request is handed on once it is complete, whatever the steps in which it comes.
func TestRequestBufferComplete(t *testing.T) {
	long := strings.Repeat("x", maxCollectedBody+1)
	for _, c := range []struct {
		name string
		sent string
		at   int // bytes with which it is handed on; 0: it is not
		more bool
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27, false},
		{"lines without returns", "GET / HTTP/1.1\nHost: h\n\n", 24, false},
		{"a body", "POST / HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc", 41, false},
		{"a body that has not come whole", "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabc", 0, false},
		{"a long body", "POST / HTTP/1.1\r\nContent-Length: 32769\r\n\r\n" + long, 42, true},
		{"a body in chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3", 47, true},
		{"a body that waits to be asked for", "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n", 60, true},
		{"no length", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 38, true},
		{"no end of the head", "GET / HTTP/1.1\r\nHost: h\r\n", 0, false},
		{"a head that is too long", "GET /" + strings.Repeat("x", maxHeaderBytes), maxHeaderBytes, false},
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
			is.Equal(whole.complete(), c.at > 0) // all at once
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
