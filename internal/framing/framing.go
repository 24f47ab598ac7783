// Package framing reads the headers of HTTP messages, and decides what ends the bodies that follow. The invariants: what is not
// in the grammar of RFC 9112 is no response and no request, whatever the parser accepts; and a response whose version has no
// transfer codings, such as HTTP/1.0, but that names one is decoded, whatever length it states, and its connection is not used
// again, as section 6.1 asks; or it is no response. Its encoding reaches no caller.
package framing

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// The lengths that fasthttp returns for a body whose header states none.
const (
	LengthChunked = -1 // chunked encoding
	LengthUnknown = -2 // the body ends when the connection is closed
)

// errCoding reports that a response names another transfer coding than chunked, or several.
var errCoding = errors.New("unknown transfer coding")

// errHeaderEnd reports a header whose last two lines do not end with CRLF. The parser reads on behind it.
var errHeaderEnd = errors.New("the end of a header is not CRLF CRLF")

// errLongHeader reports a header that is longer than the buffer of its reader.
var errLongHeader = errors.New("the header is too long")

// ReadHeader reads the header of a response, interim ones included. Empty lines before it are skipped.
func ReadHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	head, err := peekHeader(r)
	if err != nil {
		return err
	}
	codings := namedCodings(head)
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

// namedCodings returns the values of Transfer-Encoding in the header of a response unless it is of HTTP/1.1: the parser passes
// over them in other versions.
func namedCodings(head []byte) (values [][]byte) {
	if bytes.HasPrefix(head, []byte("HTTP/1.1 ")) {
		return nil
	}
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			values = append(values, bytes.Clone(bytes.TrimSpace(value)))
		}
	}
	return values
}

// peekHeader waits for the header of the next response and returns it, without the empty lines before it. It fails at the first
// line that is not in the grammar.
func peekHeader(r *bufio.Reader) ([]byte, error) {
	var h responseHeader
	for {
		b, _ := r.Peek(r.Buffered())
		isComplete, err := h.scan(b)
		if err != nil {
			return nil, err
		}
		if isComplete {
			return b[h.start:h.next], nil
		}
		if _, err := r.Peek(len(b) + 1); err != nil {
			switch {
			case errors.Is(err, bufio.ErrBufferFull):
				err = errLongHeader
			case errors.Is(err, io.EOF) && len(b) > h.start:
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// responseHeader is the header of a response of which a part has arrived.
type responseHeader struct {
	start    int // offset of the status line
	next     int // offset of the first line that was not checked
	fields   fieldLines
	endsCRLF bool // the last line that was checked does
}

// scan checks the lines that have arrived since the last call, and reports whether the header is complete. b starts with what it
// was called with before.
func (h *responseHeader) scan(b []byte) (isComplete bool, err error) {
	for {
		line, n := nextLine(b[h.next:])
		if n == 0 {
			if h.next == h.start && !startsStatusLine(b[h.next:]) && !bytes.Equal(b[h.next:], []byte("\r")) {
				return false, errStatusLine
			}
			return false, nil
		}
		endsCRLF := n == len(line)+len("\r\n")
		switch {
		case h.next > h.start && len(line) == 0:
			if !endsCRLF || !h.endsCRLF {
				return false, errHeaderEnd
			}
			h.next += n
			return true, nil
		case h.next > h.start:
			err = h.fields.check(line)
		case len(line) == 0:
			h.start += n
		default:
			err = checkStatusLine(line)
		}
		if err != nil {
			return false, err
		}
		h.next += n
		h.endsCRLF = endsCRLF
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
