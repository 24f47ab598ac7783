package relay

// This file defines when a request has been read far enough to be passed to the server. The invariant:
// it never waits for bytes that the request does not have.

import (
	"bytes"
	"strconv"

	"github.com/doormast/doormast/internal/framing"
)

// requestBuffer holds the part of a request read so far.
type requestBuffer struct {
	buf         []byte
	scanned     int  // no header ends before this offset
	headLen     int  // length of the header; 0: not complete yet
	bodyLen     int  // length of the body; negative: not stated
	bodyFollows bool // the body is not buffered here
}

// complete reports whether the request can be passed to the server: it is complete, or the rest of it
// is not buffered.
func (b *requestBuffer) complete() bool {
	if b.headLen == 0 {
		if b.headLen = framing.HeaderEnd(b.buf, b.scanned); b.headLen == 0 {
			b.scanned = max(0, len(b.buf)-len("\n\r"))
			return len(b.buf) >= maxHeaderBytes // the server refuses the header as too long
		}
		b.bodyLen, b.bodyFollows = parseBodyLength(b.buf[:b.headLen])
	}
	return b.bodyFollows || len(b.buf) >= b.headLen+b.bodyLen
}

// behind returns what was read behind a complete request, but for empty lines, which some callers send;
// nil if there is nothing.
func (b *requestBuffer) behind() []byte {
	if b.headLen == 0 || b.bodyFollows || len(b.buf) < b.headLen+b.bodyLen {
		return nil
	}
	if rest := bytes.TrimLeft(b.buf[b.headLen+b.bodyLen:], emptyLine); len(rest) > 0 {
		return rest
	}
	return nil // it would hold the buffer of the whole request
}

// emptyLine is what may precede a request.
const emptyLine = "\r\n"

// parseBodyLength reads the length of the body from a header. bodyFollows is true if the body is not
// to be buffered: it is long, of unknown length, or sent only after a 100 Continue.
func parseBodyLength(head []byte) (length int, bodyFollows bool) {
	for len(head) > 0 {
		var line []byte
		line, head, _ = bytes.Cut(head, []byte("\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return -1, true
		case bytes.EqualFold(name, []byte("Expect")):
			bodyFollows = true
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil || n < 0 {
				return -1, true // the server reports the error
			}
			length = n
		}
	}
	return length, bodyFollows || length > maxCollectedBody
}
