package relay

// This file defines a request as it goes to an upstream. The invariant: the headers
// that the box sets are its own, whatever the caller sent under these names.

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

// runParams is what differs from one runParams of a request to the next.
type runParams struct {
	upstream balance.Upstream
	timeLeft time.Duration
	urgency  int
	customer *route.Customer
	fetch    string // IP:port of an upstream that keeps the prompt, or empty
	memory   string // the copy that the run goes on from, or empty
	lastSeen string // id of the last event that the caller has, or empty
}

// outgoing writes the request for a run.
func (r *Relay) outgoing(q *request, n runParams) outgoing {
	p := &r.cfg.Protocol
	var b bytes.Buffer
	b.WriteString(q.method + " " + q.uri + " HTTP/1.1\r\n")
	writeHeader(&b, "Host", q.host)
	b.Write(q.forwardedHeaders)
	writeHeader(&b, p.TimeLeft, strconv.FormatInt(max(1, n.timeLeft.Milliseconds()), 10))
	writeHeader(&b, p.Instance, n.upstream.ID)
	if n.customer != nil {
		writeHeader(&b, p.Customer, n.customer.Name)
	}
	if len(q.prompt.Parts) > 0 {
		writeHeader(&b, p.Priority, strconv.Itoa(n.urgency))
		writeHeader(&b, p.FetchFrom, n.fetch)
		writeHeader(&b, p.KVHandle, n.memory)
	}
	writeHeader(&b, p.LastEvent, n.lastSeen)
	if len(q.body) > 0 || q.method != fasthttp.MethodGet && q.method != fasthttp.MethodHead {
		writeHeader(&b, "Content-Length", strconv.Itoa(len(q.body)))
	}
	b.WriteString("\r\n")
	return outgoing{head: b.Bytes(), body: q.body, id: q.id}
}

// writeHeader writes a header's line; one without a name or a value is left out.
func writeHeader(b *bytes.Buffer, name, value string) {
	if name == "" || value == "" {
		return
	}
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// outgoing is what is sent to an upstream.
type outgoing struct {
	head []byte
	body []byte
	id   string // comes back in the answer
}

// asyncBodyBytes is from how many bytes on a body is sent while the answer is awaited,
// since an upstream may answer before it has read it all.
const asyncBodyBytes = 8 << 10

// requestWrite is a request on its way out.
type requestWrite struct {
	began   time.Time
	done    chan error
	written atomic.Pointer[time.Time] // when all was; nil: not yet, or it failed
}

// send writes the request; a large one goes on being written in the background.
func (c *conn) send(o outgoing) *requestWrite {
	s := &requestWrite{began: time.Now(), done: make(chan error, 1)}
	if len(o.head)+len(o.body) <= asyncBodyBytes {
		_, err := c.Write(slices.Concat(o.head, o.body))
		s.finish(err)
		return s
	}
	go func() {
		parts := net.Buffers{o.head, o.body} // a large body is not copied
		_, err := parts.WriteTo(c.Conn)
		s.finish(err)
	}()
	return s
}

// finish notes the finish of the writing.
func (s *requestWrite) finish(err error) {
	if err == nil {
		now := time.Now()
		s.written.Store(&now)
	}
	s.done <- err
}

// succeeded reports whether all was written without an error.
func (s *requestWrite) succeeded() bool {
	select {
	case err := <-s.done:
		s.done <- err
		return err == nil
	default:
		return false
	}
}
