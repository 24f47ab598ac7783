package relay

// This file defines an upstream's answer: how its head is read, and what becomes of
// its connection. The invariant: an answer that names another request is passed on to
// nobody, and a connection is kept only where its answer was read to its end.

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// response is an upstream's response, its head read.
type response struct {
	conn   *conn
	header fasthttp.ResponseHeader
	body   io.Reader // without its framing; io.EOF only after a whole body
	reuse  bool      // the connection can carry another request after the body
	sent   *requestWrite
}

// maxForeignResponses is how many answers to other requests are skipped on a
// connection before it is given up.
const maxForeignResponses = 2

// roundTrip makes a call of the box's own on a connection and reads the head of its answer.
func (r *Relay) roundTrip(c *conn, o outgoing) (*response, error) {
	if r.isPaused(c.life) {
		return nil, errNotAccepting
	}
	return r.readResponse(c, o.id, c.send(o))
}

// readResponse reads the head of the answer to a request that is being sent.
func (r *Relay) readResponse(c *conn, request string, sent *requestWrite) (*response, error) {
	for skipped := 0; ; skipped++ {
		a, err := r.readHead(c)
		if err != nil {
			return nil, err
		}
		a.sent = sent
		r.noteSaid(a, request)
		id := headerValue(&a.header, r.cfg.Protocol.RequestID)
		if id == "" || id == request {
			a.reuse = a.reuse && skipped == 0
			r.noteLimit(a, request)
			return a, nil
		}
		// An answer to an earlier request came late: it belongs to nobody.
		if skipped == maxForeignResponses || !a.hasFraming() {
			return nil, &Error{Op: "read answer", Kind: KindMalformed, Err: errors.New("an answer to another request")}
		}
		if _, err := io.Copy(io.Discard, a.body); err != nil {
			return nil, err
		}
	}
}

// readHead reads a head and sets up the body's reader.
func (r *Relay) readHead(c *conn) (*response, error) {
	if err := checkStatusLine(c); err != nil {
		return nil, err
	}
	a := &response{conn: c}
	a.header.DisableNormalizing()
	a.header.SetNoDefaultContentType(true)
	if err := a.header.Read(c.reader); err != nil {
		return nil, &Error{Op: "read answer", Kind: KindMalformed, Err: err}
	}
	a.body = bodyReader(c, &a.header)
	a.reuse = a.hasFraming() && !a.header.ConnectionClose()
	return a, nil
}

// statusPrefix begins every answer.
var statusPrefix = []byte("HTTP/1.")

// checkStatusLine refuses bytes that do not begin an answer; the header's parser
// is more lenient.
func checkStatusLine(c *conn) error {
	b, err := c.reader.Peek(len("HTTP/1.1 200"))
	if err != nil {
		return &Error{Op: "read answer", Kind: KindTruncated, Err: err}
	}
	space, class := b[len("HTTP/1.1")], b[len("HTTP/1.1 ")]
	if !bytes.HasPrefix(b, statusPrefix) || space != ' ' || class < '1' || class > '5' {
		return &Error{Op: "read answer", Kind: KindMalformed, Err: errors.New("no status line")}
	}
	return nil
}

// What fasthttp gives as the length of a body whose header states none.
const (
	lengthChunked = -1 // it comes in chunks
	lengthUnknown = -2 // it ends with the connection
)

// hasFraming reports whether the body's end can be told without the connection's.
func (a *response) hasFraming() bool { return a.header.ContentLength() != lengthUnknown }

// releaseConn ends the use of an answer's connection: it is kept if the answer was read
// to its end and nothing speaks against it.
func (r *Relay) releaseConn(a *response, whole bool) {
	if whole && a.reuse && a.sent.succeeded() {
		r.conns.keep(a.conn, keepAliveTimeout(&a.header))
		return
	}
	r.conns.drop(a.conn)
}

// keepAliveTimeout reads how long the upstream keeps the connection; 0 if it does not say.
func keepAliveTimeout(h *fasthttp.ResponseHeader) time.Duration {
	_, rest, ok := strings.Cut(headerValue(h, "Keep-Alive"), "timeout=")
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

// saysNotRun reports whether the answer says that the upstream did not run the request.
func (r *Relay) saysNotRun(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == fasthttp.StatusMisdirectedRequest || headerValue(h, r.cfg.Protocol.NotExecuted) != ""
}
