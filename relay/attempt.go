package relay

// This file defines one run of a request on one upstream: it is sent, and the head
// of its answer is read. The invariant: once a byte may have left, only the
// upstream's own word makes the run count as one that did not happen.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httputil"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// runState is how far a run came.
type runState uint8

const (
	runUnsent   runState = iota // no byte left
	runRefused                  // the upstream says that it did not run it
	runUnknown                  // it may have run, and there is no answer
	runAnswered                 // there is an answer
)

// answer is an upstream's answer, its head read.
type answer struct {
	conn   *conn
	header fasthttp.ResponseHeader
	body   io.Reader // without its framing; io.EOF only after a whole body
	reuse  bool      // the connection can carry another request after the body
	sent   *sending
}

// outgoing is what is sent to an upstream.
type outgoing struct {
	head []byte
	body []byte
	id   string // comes back in the answer
}

// foreignAnswers is how many answers to other requests are skipped on a
// connection before it is given up.
const foreignAnswers = 2

// largeBody is from how many bytes on a body is sent while the answer is awaited,
// since an upstream may answer before it has read it all.
const largeBody = 8 << 10

// sending is a request on its way out.
type sending struct {
	done chan error
}

// send writes the request; a large one goes on being written in the background.
func (c *conn) send(o outgoing) *sending {
	s := &sending{done: make(chan error, 1)}
	whole := slices.Concat(o.head, o.body)
	if len(whole) <= largeBody {
		_, err := c.Write(whole)
		s.done <- err
		return s
	}
	go func() {
		_, err := c.Write(whole)
		s.done <- err
	}()
	return s
}

// finished reports whether all was written without an error.
func (s *sending) finished() bool {
	select {
	case err := <-s.done:
		s.done <- err
		return err == nil
	default:
		return false
	}
}

// roundTrip sends a request on a connection and reads the head of its answer.
func (r *Relay) roundTrip(c *conn, o outgoing) (*answer, error) {
	sent := c.send(o)
	for skipped := 0; ; skipped++ {
		a, err := r.readHead(c)
		if err != nil {
			return nil, err
		}
		a.sent = sent
		id := a.header.Peek(r.cfg.Protocol.RequestID)
		if len(id) == 0 || string(id) == o.id {
			a.reuse = a.reuse && skipped == 0
			return a, nil
		}
		// An answer to an earlier request came late: it belongs to nobody.
		if skipped == foreignAnswers || !a.framed() {
			return nil, &Error{Op: "read answer", Kind: KindGarble, Err: errors.New("an answer to another request")}
		}
		if _, err := io.Copy(io.Discard, a.body); err != nil {
			return nil, err
		}
	}
}

// readHead reads a head and sets up the body's reader.
func (r *Relay) readHead(c *conn) (*answer, error) {
	if err := checkStatusLine(c); err != nil {
		return nil, err
	}
	a := &answer{conn: c}
	a.header.DisableNormalizing()
	a.header.SetNoDefaultContentType(true)
	if err := a.header.Read(c.reader); err != nil {
		return nil, &Error{Op: "read answer", Kind: KindGarble, Err: err}
	}
	a.body = bodyReader(c, &a.header)
	a.reuse = a.framed() && !a.header.ConnectionClose()
	return a, nil
}

var statusPrefix = []byte("HTTP/1.")

// checkStatusLine refuses bytes that do not begin an answer; the header's parser
// is more lenient.
func checkStatusLine(c *conn) error {
	b, err := c.reader.Peek(len("HTTP/1.1 200"))
	if err != nil {
		return &Error{Op: "read answer", Kind: KindCut, Err: err}
	}
	if !bytes.HasPrefix(b, statusPrefix) || b[8] != ' ' || b[9] < '1' || b[9] > '5' {
		return &Error{Op: "read answer", Kind: KindGarble, Err: errors.New("no status line")}
	}
	return nil
}

// framed reports whether the body's end can be told without the connection's.
func (a *answer) framed() bool { return a.header.ContentLength() != -2 }

// bodyReader returns a reader of the body: of a known length, in chunks, or up to
// the end of the connection.
func bodyReader(c *conn, h *fasthttp.ResponseHeader) io.Reader {
	switch n := h.ContentLength(); {
	case h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified:
		return bytes.NewReader(nil)
	case n >= 0:
		return &sizedReader{r: c.reader, left: n}
	case n == -1:
		return &chunkedReader{c: c, r: httputil.NewChunkedReader(c.reader)}
	default:
		return c.reader
	}
}

// sizedReader reads a body of a known length; an earlier end is an error.
type sizedReader struct {
	r    io.Reader
	left int
}

func (s *sizedReader) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.r.Read(p[:min(len(p), s.left)])
	s.left -= n
	if errors.Is(err, io.EOF) && s.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedReader reads a body in chunks, and the trailer behind it.
type chunkedReader struct {
	c    *conn
	r    io.Reader
	done bool
}

func (k *chunkedReader) Read(p []byte) (int, error) {
	if k.done {
		return 0, io.EOF
	}
	n, err := k.r.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for {
		line, trailerErr := k.c.reader.ReadSlice('\n')
		if trailerErr != nil {
			return n, io.ErrUnexpectedEOF
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			k.done = true
			return n, io.EOF
		}
	}
}

// finish ends the use of an answer's connection: it is kept if the answer was read
// to its end and nothing speaks against it.
func (r *Relay) finish(a *answer, whole bool) {
	if whole && a.reuse && a.sent.finished() {
		r.conns.keep(a.conn, keepTime(&a.header))
		return
	}
	r.conns.drop(a.conn)
}

// keepTime reads how long the upstream keeps the connection; 0 if it does not say.
func keepTime(h *fasthttp.ResponseHeader) time.Duration {
	_, rest, ok := strings.Cut(string(h.Peek("Keep-Alive")), "timeout=")
	if !ok {
		return 0
	}
	digits, _, _ := strings.Cut(rest, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// notRun reports whether the answer says that the upstream did not run the request.
func (r *Relay) notRun(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == fasthttp.StatusMisdirectedRequest || len(h.Peek(r.cfg.Protocol.NotRun)) > 0
}

// hold notes the connection on which the request runs; release undoes it.
func (x *exchange) hold(c *conn) {
	r := x.relay
	r.mu.Lock()
	r.runs[x] = c
	r.mu.Unlock()
	stop := context.AfterFunc(x.ctx, func() { _ = c.Close() })
	x.release = func() bool {
		r.mu.Lock()
		delete(r.runs, x)
		r.mu.Unlock()
		return stop()
	}
}

// attempt runs the request on an upstream. An answer is only returned with
// runAnswered. ctx ends when the caller leaves or its time is over, which closes
// the connection under whoever reads from it.
func (x *exchange) attempt(ctx context.Context, id, address string, o outgoing) (runState, *answer, error) {
	r := x.relay
	c, err := r.conns.get(ctx, id, address, x.service, false)
	if err != nil {
		return runUnsent, nil, err
	}
	x.hold(c)
	a, err := r.roundTrip(c, o)
	if err != nil {
		x.release()
		r.conns.drop(c)
		return runUnknown, nil, err
	}
	if !r.notRun(&a.header) {
		return runAnswered, a, nil
	}
	x.release()
	_, err = io.Copy(io.Discard, a.body)
	r.finish(a, err == nil)
	x.refusalStatus = a.header.StatusCode()
	return runRefused, nil, nil
}
