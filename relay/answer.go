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

// answer is an upstream's answer, its head read.
type answer struct {
	conn   *conn
	header fasthttp.ResponseHeader
	body   io.Reader // without its framing; io.EOF only after a whole body
	reuse  bool      // the connection can carry another request after the body
	sent   *sending
}

// foreignAnswers is how many answers to other requests are skipped on a
// connection before it is given up.
const foreignAnswers = 2

// roundTrip makes a call of the box's own on a connection and reads the head of its answer.
func (r *Relay) roundTrip(c *conn, o outgoing) (*answer, error) {
	if r.isPaused(c.incarnation) {
		return nil, errTakesNone
	}
	return r.readAnswer(c, o.id, c.send(o))
}

// readAnswer reads the head of the answer to a request that is being sent.
func (r *Relay) readAnswer(c *conn, request string, sent *sending) (*answer, error) {
	for skipped := 0; ; skipped++ {
		a, err := r.readHead(c)
		if err != nil {
			return nil, err
		}
		a.sent = sent
		r.noteNotices(a, request)
		id := headerValue(&a.header, r.cfg.Protocol.RequestID)
		if id == "" || id == request {
			a.reuse = a.reuse && skipped == 0
			r.noteLimit(a, request)
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

// statusPrefix begins every answer.
var statusPrefix = []byte("HTTP/1.")

// checkStatusLine refuses bytes that do not begin an answer; the header's parser
// is more lenient.
func checkStatusLine(c *conn) error {
	b, err := c.reader.Peek(len("HTTP/1.1 200"))
	if err != nil {
		return &Error{Op: "read answer", Kind: KindCut, Err: err}
	}
	space, class := b[len("HTTP/1.1")], b[len("HTTP/1.1 ")]
	if !bytes.HasPrefix(b, statusPrefix) || space != ' ' || class < '1' || class > '5' {
		return &Error{Op: "read answer", Kind: KindGarble, Err: errors.New("no status line")}
	}
	return nil
}

// What fasthttp gives as the length of a body whose header states none.
const (
	lengthChunked = -1 // it comes in chunks
	lengthUnknown = -2 // it ends with the connection
)

// framed reports whether the body's end can be told without the connection's.
func (a *answer) framed() bool { return a.header.ContentLength() != lengthUnknown }

// finish ends the use of an answer's connection: it is kept if the answer was read
// to its end and nothing speaks against it.
func (r *Relay) finish(a *answer, whole bool) {
	if whole && a.reuse && a.sent.finished() {
		r.conns.putIdle(a.conn, keepTime(&a.header))
		return
	}
	r.conns.discard(a.conn)
}

// keepTime reads how long the upstream keeps the connection; 0 if it does not say.
func keepTime(h *fasthttp.ResponseHeader) time.Duration {
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

// notRun reports whether the answer says that the upstream did not run the request.
func (r *Relay) notRun(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == fasthttp.StatusMisdirectedRequest || headerValue(h, r.cfg.Protocol.NotExecuted) != ""
}
