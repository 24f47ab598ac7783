// Package framing reads the headers of HTTP responses, and decides what ends the bodies that follow. The invariant: a response
// whose version has no transfer codings, such as HTTP/1.0, but that names one is decoded, whatever length it states, and its
// connection is not used again, as RFC 9112 (section 6.1) asks; or it is no response. Its encoding reaches no caller.
package framing

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"
)

// The lengths that fasthttp returns for a body whose header states none.
const (
	LengthChunked = -1 // chunked encoding
	LengthUnknown = -2 // the body ends when the connection is closed
)

// errCoding reports that a response names another transfer coding than chunked, or several.
var errCoding = errors.New("unknown transfer coding")

// ReadHeader reads the header of a response, interim ones included.
func ReadHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	codings := namedCodings(r)
	if err := h.Read(r); err != nil {
		return err
	}
	if len(codings) == 0 || h.IsHTTP11() {
		return nil
	}
	if len(codings) > 1 || !bytes.EqualFold(codings[0], []byte("chunked")) {
		return errCoding
	}
	h.SetContentLength(LengthChunked)
	h.SetConnectionClose()
	return nil
}

// namedCodings returns the values of Transfer-Encoding in the next response unless it is of HTTP/1.1: the header parser
// passes over them in other versions.
func namedCodings(r *bufio.Reader) (values [][]byte) {
	const codingVersion = "HTTP/1.1 "
	if b, _ := r.Peek(len(codingVersion)); string(b) == codingVersion {
		return nil
	}
	for line := range bytes.Lines(peekHeader(r)) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")) {
			values = append(values, bytes.Clone(bytes.TrimSpace(value)))
		}
	}
	return values
}

// peekHeader returns the header of the next response, or the part of it that can be read.
func peekHeader(r *bufio.Reader) []byte {
	for scanned := 0; ; {
		b, _ := r.Peek(r.Buffered())
		emptyLines := len(b) - len(bytes.TrimLeft(b, "\r\n")) // the header parser skips those before a response
		if n := HeaderEnd(b, max(scanned, emptyLines)); n > 0 {
			return b[:n]
		}
		scanned = max(0, len(b)-len("\n\r"))
		if _, err := r.Peek(len(b) + 1); err != nil {
			return b // the header parser reports the error
		}
	}
}

// HeaderEnd returns the offset at which the header of a message ends, or 0 if it is incomplete. No header ends before from.
func HeaderEnd(b []byte, from int) int {
	for i := from; ; i++ {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n
		switch rest := b[i+1:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + len("\n\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + len("\n\r\n")
		}
	}
}
