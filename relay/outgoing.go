package relay

// This file defines the request sent to an upstream. The invariant: headers that the box sets never
// have values from the caller, whatever the caller sent under these names.

import (
	"bytes"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

// runParams are the parameters that differ between the runs of a request.
type runParams struct {
	upstream    balance.Upstream
	timeLeft    time.Duration
	urgency     int
	customer    *route.Customer
	fetchFrom   string // IP:port of an upstream that has the prompt cached, or empty
	runCopy     string // copy of a run's memory from which to continue, or empty
	lastEventID string // ID of the last event that the caller has received, or empty
}

// buildRequest builds the request of a run.
func (r *Relay) buildRequest(q *request, params runParams) outgoingRequest {
	p := &r.cfg.Protocol
	var b bytes.Buffer
	b.WriteString(q.method + " " + q.uri + " HTTP/1.1\r\n")
	writeHeader(&b, "Host", q.host)
	b.Write(q.forwardedHeaders)
	writeHeader(&b, p.TimeLeft, strconv.FormatInt(max(1, params.timeLeft.Milliseconds()), 10))
	writeHeader(&b, p.Instance, params.upstream.ID)
	if params.customer != nil {
		writeHeader(&b, p.Customer, params.customer.Name)
	}
	if len(q.prompt.Parts) > 0 {
		writeHeader(&b, p.Priority, strconv.Itoa(params.urgency))
		writeHeader(&b, p.FetchFrom, params.fetchFrom)
		writeHeader(&b, p.KVHandle, params.runCopy)
	}
	writeHeader(&b, p.LastEvent, params.lastEventID)
	if len(q.body) > 0 || q.method != fasthttp.MethodGet && q.method != fasthttp.MethodHead {
		writeHeader(&b, "Content-Length", strconv.Itoa(len(q.body)))
	}
	b.WriteString("\r\n")
	return outgoingRequest{head: b.Bytes(), body: q.body, id: q.id}
}

// writeHeader writes a header line, unless the name or the value is empty.
func writeHeader(b *bytes.Buffer, name, value string) {
	if name == "" || value == "" {
		return
	}
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// outgoingRequest is a serialized request.
type outgoingRequest struct {
	head []byte
	body []byte
	id   string // request ID, which the response repeats
}

// asyncBodyBytes is the size above which a request is written while the response is awaited, since an
// upstream may answer before it has read the whole request.
const asyncBodyBytes = 8 << 10

// requestWrite is the write of a request to an upstream.
type requestWrite struct {
	began   time.Time
	done    chan error
	written atomic.Pointer[time.Time] // when all bytes were written; nil: not yet, or the write failed
}

// send writes the request; one larger than asyncBodyBytes is written in the background.
func (c *conn) send(o outgoingRequest) *requestWrite {
	s := &requestWrite{began: time.Now(), done: make(chan error, 1)}
	if len(o.head)+len(o.body) <= asyncBodyBytes {
		_, err := c.Write(slices.Concat(o.head, o.body))
		s.finish(err)
		return s
	}
	go func() {
		parts := net.Buffers{o.head, o.body} // avoids copying a large body
		_, err := parts.WriteTo(c.Conn)
		s.finish(err)
	}()
	return s
}

// finish records the result of the write.
func (s *requestWrite) finish(err error) {
	if err == nil {
		now := time.Now()
		s.written.Store(&now)
	}
	s.done <- err
}

// wait waits for the end of the write and returns its error.
func (s *requestWrite) wait() error {
	err := <-s.done
	s.done <- err
	return err
}

// succeeded reports whether the whole request has been written without an error.
func (s *requestWrite) succeeded() bool {
	select {
	case err := <-s.done:
		s.done <- err
		return err == nil
	default:
		return false
	}
}
