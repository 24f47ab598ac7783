package framing

// This file defines how the trailers of requests are checked: the server's parser does not keep their bytes. The invariant: the
// boundaries of requests are those that the parser finds; where it finds none, nothing more is checked, and it reports the error.

import (
	"bytes"
	"strconv"
)

// TrailerCheck follows the requests that a server reads from a connection. The zero value is at the start of a connection.
type TrailerCheck struct {
	part      requestPart
	line      []byte    // the part of the current line that has been read
	left      int64     // bytes left of a body or chunk
	field     bodyField // that a folded line goes on with
	value     []byte    // its value so far
	isChunked bool      // the body of the current request
	length    int64     // the same
	requests  uint64    // whose headers were read
	fields    fieldLines
	failed    uint64 // the first request whose trailer is malformed; 0: none
	err       error  // why it is
}

// requestPart is the part of a request that is read next.
type requestPart uint8

const (
	partStart     requestPart = iota // the request line, or an empty line before it
	partHeader                       // field lines
	partBody                         // with a length
	partChunkSize                    // or the last chunk
	partChunk                        // data and its line end
	partTrailer                      // field lines
	partUnknown                      // the parser reports an error
)

// bodyField is a field that says what ends a body.
type bodyField uint8

const (
	fieldOther bodyField = iota
	fieldCoding
	fieldLength
)

// maxKeptLine bounds the part of a line that is kept, in bytes. What it says of a body is within that.
const maxKeptLine = 4 << 10

// Err returns why the trailer of a request is malformed, counted from 1 on the connection; nil if it is not.
func (t *TrailerCheck) Err(request uint64) error {
	if request == t.failed {
		return t.err
	}
	return nil
}

// Write follows what the server has read. It always succeeds.
func (t *TrailerCheck) Write(b []byte) (int, error) {
	for rest := b; len(rest) > 0 && t.part != partUnknown; {
		if t.part == partBody || t.part == partChunk {
			n := min(t.left, int64(len(rest)))
			rest = rest[n:]
			if t.left -= n; t.left == 0 {
				t.endBytes()
			}
			continue
		}
		line, n := nextLine(rest)
		if n == 0 {
			t.keep(rest)
			break
		}
		if len(t.line) > 0 {
			t.keep(rest[:n-len("\n")])
			line = bytes.TrimSuffix(t.line, []byte("\r"))
			t.line = t.line[:0]
		}
		rest = rest[n:]
		t.endLine(line)
	}
	return len(b), nil
}

// keep keeps a part of a line, and checks what is too much to keep, which is part of a value.
func (t *TrailerCheck) keep(b []byte) {
	n := min(len(b), maxKeptLine-len(t.line))
	t.line = append(t.line, b[:n]...)
	rest := b[n:]
	if len(rest) == 0 || t.part != partTrailer {
		return
	}
	hadCR := t.line[len(t.line)-1] == '\r' // the last byte that was kept, or the last one read
	if hadCR || !isText(bytes.TrimSuffix(rest, []byte("\r"))) {
		t.fail(errFieldValue)
	}
	t.line[len(t.line)-1] = rest[len(rest)-1]
}

// fail notes that the trailer of the current request is malformed.
func (t *TrailerCheck) fail(err error) {
	if t.failed == 0 {
		t.failed, t.err = t.requests, err
	}
}

// endBytes goes on behind a body or chunk.
func (t *TrailerCheck) endBytes() {
	if t.part == partChunk {
		t.part = partChunkSize
		return
	}
	t.part = partStart
}

// endLine goes on behind a line.
func (t *TrailerCheck) endLine(line []byte) {
	isEmpty := len(line) == 0
	switch {
	case t.part == partStart && !isEmpty:
		t.part, t.isChunked, t.length = partHeader, false, 0
	case t.part == partHeader && !isEmpty:
		t.noteField(line)
	case t.part == partHeader:
		t.requests++
		t.beginBody()
	case t.part == partChunkSize:
		t.beginChunk(line)
	case t.part == partTrailer && isEmpty:
		t.part = partStart
	case t.part == partTrailer:
		if err := t.fields.check(line); err != nil {
			t.fail(err)
		}
	}
}

// noteField notes what a line of a header says about the body. The parser reports values that are malformed.
func (t *TrailerCheck) noteField(line []byte) {
	rest := line
	if line[0] != ' ' && line[0] != '\t' {
		var name []byte
		name, rest, _ = bytes.Cut(line, []byte(":"))
		t.field, t.value = bodyFieldOf(name), t.value[:0]
	}
	switch t.value = append(t.value, bytes.TrimSpace(rest)...); t.field {
	case fieldCoding:
		t.isChunked = bytes.EqualFold(t.value, []byte("chunked"))
	case fieldLength:
		t.length, _ = strconv.ParseInt(string(t.value), 10, 64)
	default:
		t.value = t.value[:0]
	}
}

// bodyFieldOf returns which field a name is that of.
func bodyFieldOf(name []byte) bodyField {
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return fieldCoding
	case bytes.EqualFold(name, []byte("Content-Length")):
		return fieldLength
	}
	return fieldOther
}

// beginBody goes on behind a header.
func (t *TrailerCheck) beginBody() {
	switch {
	case t.isChunked:
		t.part = partChunkSize
	case t.length > 0:
		t.part, t.left = partBody, t.length
	default:
		t.part = partStart
	}
}

// beginChunk goes on behind the size of a chunk.
func (t *TrailerCheck) beginChunk(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32)
	switch {
	case err != nil:
		t.part = partUnknown
	case n == 0:
		t.part, t.fields = partTrailer, fieldLines{}
	default:
		t.part, t.left = partChunk, int64(n)+int64(len("\r\n"))
	}
}
