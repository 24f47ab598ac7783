package relay

// This file defines how a response is framed whose version has no transfer codings, such as HTTP/1.0, but that names one.
// The invariant: it is decoded, whatever length it states, and its connection is not used again, as RFC 9112 (section
// 6.1) asks; or it is no response. Its encoding reaches no caller.

import (
	"bytes"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"
)

// errCoding reports that a response names another transfer coding than chunked, or several.
var errCoding = &Error{Op: "read response", Kind: KindMalformed, Err: errors.New("unknown transfer coding")}

// namedCodings returns the transfer codings that the next response names if its version has none: the header parser
// passes over them.
func namedCodings(c *conn) (codings []string) {
	const codingVersion = "HTTP/1.1 "
	if b, _ := c.reader.Peek(len(codingVersion)); string(b) == codingVersion {
		return nil
	}
	for line := range bytes.Lines(peekHead(c)) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")) {
			codings = append(codings, splitList(string(value))...)
		}
	}
	return codings
}

// peekHead returns the header of the next response, or the part of it that can be read.
func peekHead(c *conn) []byte {
	for scanned := 0; ; {
		b, _ := c.reader.Peek(c.reader.Buffered())
		if n := headEnd(b, scanned); n > 0 {
			return b[:n]
		}
		scanned = max(0, len(b)-len("\n\r"))
		if _, err := c.reader.Peek(len(b) + 1); err != nil {
			return b // the header parser reports the error
		}
	}
}

// decodeCodings sets the framing of a response that names transfer codings.
func decodeCodings(h *fasthttp.ResponseHeader, codings []string) error {
	if len(codings) != 1 || !strings.EqualFold(codings[0], "chunked") {
		return errCoding
	}
	h.SetContentLength(lengthChunked)
	h.SetConnectionClose()
	return nil
}
