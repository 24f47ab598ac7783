package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/doormast/doormast/internal/framing/framingtest"
)

// oddRequest is a request with an unusual line, malformed or not.
type oddRequest struct{ name, text string }

// oddRequests returns requests for a plain service that have one of the lines: as a field, or as the request line.
func oddRequests(fields, requestLines []framingtest.Line) (all []oddRequest) {
	const rest = "Host: b\r\nAuthorization: Bearer k\r\nContent-Length: 4\r\n"
	for _, l := range fields {
		all = append(all, oddRequest{l.Name, "POST /services/c/do HTTP/1.1\r\n" + l.Text + "\r\n" + rest + "\r\nbody"},
			oddRequest{l.Name + ", trailer", "POST /services/c/do HTTP/1.1\r\nHost: b\r\nAuthorization: Bearer k\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + l.Text + "\r\n\r\n"})
	}
	for _, l := range requestLines {
		all = append(all, oddRequest{l.Name, strings.ReplaceAll(l.Text, "%s", "services/c/do") + "\r\n" + rest + "\r\nbody"})
	}
	return all
}

// send sends a request on a connection of its own and returns the status of the answer.
func (r oddRequest) send(t *testing.T, s *Server) (status int, isClosed bool) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, r.text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%s: %v", r.name, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}

// Requests with a malformed line were submitted.
func TestMalformedRequestIsRefused(t *testing.T) {
	s, core := start(t, func(a Arrival) { _ = a.Exchange.Whole(http.StatusOK, "text/x", []byte("ok")) })
	for _, odd := range oddRequests(framingtest.MalformedFields(), framingtest.MalformedRequestLines()) {
		if status, isClosed := odd.send(t, s); status != http.StatusBadRequest || !isClosed {
			t.Errorf("%s: %d, closed: %v", odd.name, status, isClosed)
		}
	}
	if len(core.requests) > 0 {
		t.Errorf("%d requests were submitted", len(core.requests))
	}
}

// Unusual lines that are in the grammar, or that recipients may accept, are no reason to refuse a request.
func TestUnusualRequestIsServed(t *testing.T) {
	s, _ := start(t, func(a Arrival) { _ = a.Exchange.Whole(http.StatusOK, "text/x", []byte("ok")) })
	for _, odd := range oddRequests(framingtest.SoundFields(), framingtest.SoundRequestLines()) {
		if status, isClosed := odd.send(t, s); status != http.StatusOK || isClosed {
			t.Errorf("%s: %d, closed: %v", odd.name, status, isClosed)
		}
	}
}
