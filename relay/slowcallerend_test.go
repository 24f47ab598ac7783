package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stream without a length looked whole where its upstream gave it up because its caller took nothing: the upstream
// closes the connection in order and runs on.
func TestStreamThatUpstreamGivesUpIsNotWhole(t *testing.T) {
	is := is.New(t)
	const events = 1500000
	const patience = 300 * time.Millisecond
	var sent atomic.Int64
	gaveUp := make(chan struct{})
	u := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
		switch r.URL.Path {
		case "/tell":
			writeWire(c, reportOf(1000))
			return true
		case "/once/first":
			return respondOK("first")(c, r)
		}
		writeWire(c, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\nContent-Type: text/event-stream\n\n")
		for i := 1; i <= events; i++ {
			e := event(i)
			n, err := writePatiently(c, e, patience)
			if err != nil {
				close(gaveUp)
				if n > 0 { // an upstream that ends its events whole
					_ = c.SetWriteDeadline(time.Now().Add(10 * time.Second))
					_, _ = io.WriteString(c, e[n:])
					sent.Add(1)
				}
				break
			}
			sent.Add(1)
		}
		return false
	})
	u.started = 1000
	b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.Protocol = reportingProtocol() }, u)
	c, err := net.Dial("tcp", b.url[len("http://"):])
	is.NoErr(err)
	_, err = fmt.Fprintf(c, "POST /fixed/x HTTP/1.1\r\nHost: h.example\r\nX-Id: a\r\nX-Key: secret\r\nX-Left: 30000\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	<-gaveUp
	time.Sleep(1200 * time.Millisecond) // the box is held up for longer than its upstream was patient
	got, _ := io.ReadAll(&timedReader{c})
	_ = c.Close()
	is.True(sent.Load() < events)
	is.True(!bytes.HasSuffix(got, []byte("\r\n0\r\n\r\n"))) // the last chunk
}

// writePatiently writes within a time in which the writer runs: a deadline that has passed before the write begins shows
// that it did not run, not that the reader is slow.
func writePatiently(c net.Conn, text string, patience time.Duration) (n int, err error) {
	for {
		_ = c.SetWriteDeadline(time.Now().Add(patience))
		began := time.Now()
		n, err = io.WriteString(c, text)
		if err == nil || n > 0 || time.Since(began) >= patience/2 {
			return n, err
		}
	}
}

// timedReader reads until nothing has come for 5 s.
type timedReader struct{ net.Conn }

func (r *timedReader) Read(p []byte) (int, error) {
	_ = r.SetReadDeadline(time.Now().Add(5 * time.Second))
	return r.Conn.Read(p)
}
