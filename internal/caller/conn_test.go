package caller

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The end of an answer was lost when another request had arrived behind its own.
func TestShutdownDeliversAnswerBeforeUnreadRequest(t *testing.T) {
	is := is.New(t)
	answer := bytes.Repeat([]byte("answer "), 1<<20)
	running, finish := make(chan struct{}), make(chan struct{})
	s, _ := start(t, func(a Arrival) {
		close(running)
		<-finish
		_ = a.Exchange.Whole(http.StatusOK, "text/x", answer)
	})
	c, err := net.Dial("tcp", s.Address())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	request := "POST /services/c/do HTTP/1.1\r\nHost: b\r\nAuthorization: Bearer k\r\nContent-Length: 1\r\n\r\nx"
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	<-running
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	closed := make(chan error, 1)
	go func() { closed <- s.Close(time.Minute) }()
	for { // until no connection is accepted
		probe, err := net.Dial("tcp", s.Address())
		if err != nil {
			break
		}
		_ = probe.Close()
	}
	close(finish)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.True(resp.Close)
	got := make([]byte, 0, len(answer))
	for part := make([]byte, 64<<10); ; time.Sleep(time.Millisecond) { // a slow reader
		n, err := resp.Body.Read(part)
		got = append(got, part[:n]...)
		if err != nil {
			is.Equal(err, io.EOF)
			break
		}
	}
	is.True(bytes.Equal(got, answer))
	is.NoErr(<-closed)
}
