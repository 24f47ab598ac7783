package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// An answer whose head was written in other letters was no stream: it was held until its end, and a break ended it. Names and
// media types have no case, and space around values means nothing.
func TestHeadInOtherLettersHidesStream(t *testing.T) {
	for _, head := range []string{
		"Content-Type: text/event-stream\nTransfer-Encoding: chunked\nX-Id: %s\nX-Sign: s\n",
		"Content-Type: Text/Event-Stream\nTransfer-Encoding: Chunked\nX-Id: %s\nX-Sign: s\n",
		"Content-Type: text/event-stream ; charset=utf-8\nTransfer-Encoding: chunked\nX-Id: %s\nX-Sign: s\n",
		"content-type: text/event-stream\ntransfer-encoding: chunked\nx-id: %s\nx-sign: s\n",
		"CONTENT-TYPE: text/event-stream\nTRANSFER-ENCODING: chunked\nX-ID: %s\nX-SIGN: s\n",
		"Content-Type:text/event-stream\nTransfer-Encoding:chunked\nX-Id:%s\nX-Sign:s\n",
		"Content-Type: text/event-stream\nContent-Length: 5\nTransfer-Encoding: chunked\nX-Id: %s\nX-Sign: s\n",
		"Content-Type: text/event-stream\nTransfer-Encoding: chunked\nconnection: Close\nX-Id: %s\nX-Sign: s\n",
	} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			script := func(c net.Conn, r stubRequest) bool {
				writeWire(c, "HTTP/1.1 200 OK\n"+fmt.Sprintf(head, r.Header.Get("X-Id"))+"\n")
				if r.Header.Get("X-Last") == "" {
					writeChunk(c, event(1))
					_, _ = io.WriteString(c, "20\r\nid")
					return false
				}
				writeChunk(c, numbered(2, 3))
				writeChunk(c, "")
				return true
			}
			b := newTestBox(t, newStub(t, "u1", script), newStub(t, "u2", script))
			got := b.do(b.request(http.MethodPost, "/flow/x", "body"))
			is.NoErr(got.err)
			is.Equal(got.body, numbered(1, 3))
			got = b.do(b.request(http.MethodPost, "/fixed/x", "other body"))
			is.Equal(got.status, http.StatusOK)
			is.True(got.err != nil)
			is.Equal(got.body, event(1))
		})
	}
}
