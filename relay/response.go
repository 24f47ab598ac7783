package relay

// This file defines an upstream's response: how its header is read, and what happens to its
// connection. The invariants: a response without the ID of the request is never forwarded, and a
// connection is reused only if its response was read to the end.

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/internal/framing"
)

// response is an upstream's response whose header has been read.
type response struct {
	conn   *conn
	header fasthttp.ResponseHeader
	body   io.Reader // decoded; io.EOF only after the whole body
	reuse  bool      // the connection can carry another request after this body
	sent   *requestWrite
}

// maxForeignResponses is the number of responses to other requests that are skipped on a connection
// before it is given up.
const maxForeignResponses = 2

// roundTrip makes a call of the box itself on a connection and reads the header of the response.
func (r *Relay) roundTrip(c *conn, o outgoingRequest) (*response, error) {
	if r.isPaused(c.incarnation) {
		return nil, errNotAccepting
	}
	return r.readResponse(c, o.id, c.send(o))
}

// readResponse reads the header of the response to a request that is being sent.
func (r *Relay) readResponse(c *conn, request string, sent *requestWrite) (*response, error) {
	for skipped := 0; ; skipped++ {
		resp, err := r.readHead(c)
		if err != nil {
			return nil, err
		}
		resp.sent = sent
		r.noteNotices(resp, request)
		id := headerValue(&resp.header, r.cfg.Protocol.RequestID)
		if id == request {
			resp.reuse = resp.reuse && skipped == 0
			r.noteLimit(resp, request)
			r.noteBrittle(resp)
			return resp, nil
		}
		// A late or second response to an earlier request: it is discarded.
		if skipped == maxForeignResponses || !resp.hasFraming() {
			return nil, &Error{Op: "read response", Kind: KindMalformed, Err: errors.New("response to another request")}
		}
		if err := discardBody(resp); err != nil {
			return nil, err
		}
	}
}

// readHead reads the header of a final response and sets up the reader of the body.
func (r *Relay) readHead(c *conn) (*response, error) {
	for range maxInterimResponses + 1 {
		resp, err := readHeader(c)
		if err != nil {
			return nil, err
		}
		if resp.header.StatusCode() < fasthttp.StatusOK {
			continue // an interim response, which has no body
		}
		resp.body = bodyReader(resp)
		resp.reuse = resp.hasFraming() && !resp.header.ConnectionClose()
		return resp, nil
	}
	return nil, &Error{Op: "read response", Kind: KindMalformed, Err: errors.New("too many interim responses")}
}

// readHeader reads the header of a response, interim ones included.
func readHeader(c *conn) (*response, error) {
	if err := checkStart(c); err != nil {
		return nil, err
	}
	resp := &response{conn: c}
	resp.header.DisableNormalizing()
	resp.header.SetNoDefaultContentType(true)
	if err := framing.ReadHeader(c.reader, &resp.header); err != nil {
		return nil, &Error{Op: "read response", Kind: KindMalformed, Err: err}
	}
	return resp, nil
}

// checkStart rejects what a response does not start with before its header has arrived: the end of the connection, and an empty
// line, which may be the rest of an earlier response.
func checkStart(c *conn) error {
	b, err := c.reader.Peek(len("HTTP/1.1 200"))
	if err != nil {
		return &Error{Op: "read response", Kind: KindTruncated, Err: err}
	}
	if b[0] == '\r' || b[0] == '\n' {
		return &Error{Op: "read response", Kind: KindMalformed, Err: errors.New("empty line before the response")}
	}
	return nil
}

// hasFraming reports whether the end of the body can be found without the connection being closed.
func (r *response) hasFraming() bool { return r.header.ContentLength() != framing.LengthUnknown }

// endsWithConnection reports whether the response has a body whose end nothing marks but the close of the connection.
func (r *response) endsWithConnection() bool {
	status := r.header.StatusCode()
	return !r.hasFraming() && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// errNoBody reports that the connection of a response ended where its body is due.
var errNoBody = &Error{Op: "read response", Kind: KindTruncated, Err: io.ErrUnexpectedEOF}

// lacksBody reports whether a response whose connection ended behind its header is incomplete: it is a success, and
// nothing says that it has no body. HTTP/1.0 has no other way to end one.
func (r *response) lacksBody() bool {
	status := r.header.StatusCode()
	isSuccess := status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices
	return isSuccess && status != fasthttp.StatusNoContent && !r.hasFraming() && r.header.IsHTTP11()
}

// releaseConn ends the use of a response's connection. The connection is kept for reuse if the whole
// response was read, the request was written completely, and the response allows reuse.
func (r *Relay) releaseConn(resp *response, whole bool) {
	if whole && resp.reuse && resp.sent.succeeded() {
		r.conns.putIdle(resp.conn, keepAliveTimeout(&resp.header))
		return
	}
	r.conns.discard(resp.conn)
}

// keepAliveTimeout returns how long the upstream keeps the connection open; 0 if not stated.
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

// saysNotRun reports whether the response states that the upstream did not run the request.
func (r *Relay) saysNotRun(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == fasthttp.StatusMisdirectedRequest || headerValue(h, r.cfg.Protocol.NotExecuted) != ""
}
