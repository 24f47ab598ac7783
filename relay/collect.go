package relay

// This file defines when a request has come far enough to be handed on. The invariant:
// it never waits for more than the request itself brings.

import (
	"bytes"
	"strconv"
)

// collected is what has come of a request.
type collected struct {
	buf     []byte
	scanned int  // up to there no head ends
	head    int  // where the head ends; 0: not yet
	length  int  // of the body; below 0: not stated
	more    bool // the body is not collected
}

// whole reports whether the request can be handed on: it is complete, or what is to
// come is not collected.
func (b *collected) whole() bool {
	if b.head == 0 {
		if b.head = headEnd(b.buf, b.scanned); b.head == 0 {
			b.scanned = max(0, len(b.buf)-len("\n\r"))
			return len(b.buf) >= headerBytes // the server says that it is too long
		}
		b.length, b.more = bodyOf(b.buf[:b.head])
	}
	return b.more || len(b.buf) >= b.head+b.length
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

// bodyOf reads from a head how long its body is, and whether that is not collected
// since it is long, of unknown length, or only sent when it is asked for.
func bodyOf(head []byte) (length int, more bool) {
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
	return length, more || length > collectBytes
}
