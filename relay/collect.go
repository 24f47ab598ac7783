package relay

// This file defines when a request has come far enough to be handed on. The invariant:
// it never waits for more than the request itself brings.

import (
	"bytes"
	"strconv"
)

// requestBuffer is what has come of a request.
type requestBuffer struct {
	buf         []byte
	scanned     int  // up to there no head ends
	headLen     int  // where the head ends; 0: not yet
	bodyLen     int  // of the body; below 0: not stated
	bodyFollows bool // the body is not collected
}

// complete reports whether the request can be handed on: it is complete, or what is to
// come is not collected.
func (b *requestBuffer) complete() bool {
	if b.headLen == 0 {
		if b.headLen = headEnd(b.buf, b.scanned); b.headLen == 0 {
			b.scanned = max(0, len(b.buf)-len("\n\r"))
			return len(b.buf) >= maxHeaderBytes // the server says that it is too long
		}
		b.bodyLen, b.bodyFollows = parseBodyLength(b.buf[:b.headLen])
	}
	return b.bodyFollows || len(b.buf) >= b.headLen+b.bodyLen
}

// headEnd is where the head ends, 0 where it does not yet; none ends before from.
func headEnd(b []byte, from int) int {
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

// parseBodyLength reads from a head how long its body is, and whether that is not collected
// since it is long, of unknown length, or only sent when it is asked for.
func parseBodyLength(head []byte) (length int, more bool) {
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
			more = true
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil || n < 0 {
				return -1, true // the server says what is wrong with it
			}
			length = n
		}
	}
	return length, more || length > maxCollectedBody
}
