package relay

// This file defines how a stream of events is taken apart. The invariant: only
// whole events come out, each once, in the order of their ids.

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent is the most bytes an event may have.
const maxEvent = 1 << 20

// events takes events from a body.
type events struct {
	src   io.Reader
	buf   []byte
	last  int64 // the highest id that came out
	seen  bool  // an event has come out
	total int   // events that came out
	came  int   // events of the present body that came out

	keep func(n int64) error // charges what is kept beyond what is free; nil: nobody asks
	kept int64               // the largest buffer that was charged
}

var errLongEvent = &Error{Op: "read event", Kind: KindGarble, Err: errors.New("longer than a megabyte")}

// next returns the whole events that have arrived, waiting for one at least. The
// bytes are valid until the next call.
func (e *events) next() ([]byte, error) {
	for {
		if end := lastEnd(e.buf); end > 0 {
			out := e.fresh(e.buf[:end])
			e.buf = bytes.Clone(e.buf[end:])
			if len(out) > 0 {
				return out, nil
			}
			continue
		}
		if len(e.buf) > maxEvent {
			return nil, errLongEvent
		}
		n, err := e.fill()
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.buf)) > 0 {
			err = io.ErrUnexpectedEOF // it broke off within an event
		}
		if err != nil {
			return nil, err
		}
	}
}

// fillStep is how much is read at once, in bytes; an event has some 60.
const fillStep = 2 << 10

// fill reads more of the body, and returns how many bytes came.
func (e *events) fill() (int, error) {
	at := len(e.buf)
	if cap(e.buf)-at < fillStep {
		size := at + max(at, 2*fillStep)
		if err := e.charge(int64(size)); err != nil {
			return 0, err
		}
		e.buf = append(make([]byte, 0, size), e.buf...)
	}
	n, err := e.src.Read(e.buf[at:cap(e.buf)])
	e.buf = e.buf[:at+n]
	return n, err
}

// charge charges a buffer of a size, where it is larger than any before.
func (e *events) charge(size int64) error {
	if e.keep == nil || size <= max(e.kept, freeAnswerBytes) {
		return nil
	}
	n := size - e.kept
	e.kept = size
	return e.keep(n)
}

// An empty line ends an event, with either end of a line.
var (
	endLF   = []byte("\n\n")
	endCRLF = []byte("\r\n\r\n")
)

// lastEnd is where the last whole event in b ends, 0 if there is none.
func lastEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, endLF); i >= 0 {
		end = i + len(endLF)
	}
	if i := bytes.LastIndex(b, endCRLF); i >= 0 {
		end = max(end, i+len(endCRLF))
	}
	return end
}

// fresh returns the events of b that did not come out before.
func (e *events) fresh(b []byte) []byte {
	out := b[:0:0]
	for len(b) > 0 {
		n := firstEnd(b)
		event := b[:n]
		b = b[n:]
		id, ok := eventID(event)
		if ok && e.seen && id <= e.last {
			continue
		}
		if ok {
			e.last = id
		}
		e.seen = true
		e.came++
		e.total++
		out = append(out, event...)
	}
	return out
}

// firstEnd is where the first event in b ends.
func firstEnd(b []byte) int {
	lf, crlf := bytes.Index(b, endLF), bytes.Index(b, endCRLF)
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + len(endCRLF)
	case lf >= 0:
		return lf + len(endLF)
	}
	return len(b)
}

// eventID reads the id of an event.
func eventID(event []byte) (int64, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

// from goes on with another body: what was left of the old one is dropped.
func (e *events) from(src io.Reader) {
	e.src = src
	e.buf = nil
	e.came = 0
}
