package relay

// This file defines how a stream of server-sent events is split. The invariants: next returns only
// whole events, each once, in the order of their IDs; and of bytes that are no event or nothing new, a
// bounded number is read.

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"
)

// maxEvent is the maximum size of an event in bytes.
const maxEvent = 1 << 20

// eventReader reads events from the body of a response. A stream may continue in the body of another
// response.
type eventReader struct {
	src        io.Reader
	buf        []byte
	scanned    int   // no event ends before this offset of buf
	lastID     int64 // the highest event ID returned, or that the caller has, if hasIDs
	hasIDs     bool  // an event with an ID was returned, or the caller has one
	hasEvents  bool  // at least one event was returned
	isPastID   bool  // an event without an ID was returned after that; comments and retry times are none
	total      int   // events returned
	bodyEvents int   // events returned from the current body
	skipped    int   // bytes since the last event with a new ID, or since the last event if none has an ID
	failed     error // what is to be returned after the events before it

	reserve  func(n int64) error // charges buffer memory beyond freeResponseBytes; nil: not charged
	reserved int64               // size of the largest buffer charged
}

// Errors for bytes that are no stream of events.
var (
	errLongEvent  = &Error{Op: "read event", Kind: KindMalformed, Err: errors.New("event larger than 1 MiB")}
	errNoEvent    = &Error{Op: "read event", Kind: KindMalformed, Err: errors.New("no field of an event")}
	errNoNewEvent = &Error{Op: "read event", Kind: KindMalformed, Err: errors.New("1 MiB without a new event")}
)

// The names of the fields of events. An event has at least one of them.
var (
	fieldData  = []byte("data")
	fieldEvent = []byte("event")
	fieldNames = [][]byte{fieldData, fieldEvent, []byte("id"), []byte("retry"), nil} // nil: a comment
)

// hasField reports whether a block of lines has one of the named fields.
func hasField(block []byte, names ...[]byte) bool {
	for line := range bytes.Lines(bytes.TrimPrefix(block, byteOrderMark)) {
		name, _, isField := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if isField && slices.ContainsFunc(names, func(n []byte) bool { return bytes.Equal(n, name) }) {
			return true
		}
	}
	return false
}

// next returns all whole events that have arrived, and waits for at least one. The bytes are valid
// until the next call.
func (e *eventReader) next() ([]byte, error) {
	for {
		if e.failed != nil {
			return nil, e.failed
		}
		if end := lastEventEnd(e.buf, e.scanned); end > 0 {
			out := e.newEvents(e.buf[:end])
			e.buf, e.scanned = bytes.Clone(e.buf[end:]), 0
			if len(out) > 0 {
				return out, nil
			}
			continue
		}
		e.scanned = len(e.buf)
		if len(e.buf) > maxEvent {
			return nil, errLongEvent
		}
		n, err := e.fill()
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.buf)) > 0 {
			err = io.ErrUnexpectedEOF // the stream ended within an event
		}
		if err != nil {
			return nil, err
		}
	}
}

// readSize is the minimum free buffer space for a read, in bytes; an event has about 60.
const readSize = 2 << 10

// fill reads more of the body and returns the number of bytes read.
func (e *eventReader) fill() (int, error) {
	at := len(e.buf)
	if cap(e.buf)-at < readSize {
		size := at + max(at, 2*readSize)
		if err := e.charge(int64(size)); err != nil {
			return 0, err
		}
		e.buf = append(make([]byte, 0, size), e.buf...)
	}
	n, err := e.src.Read(e.buf[at:cap(e.buf)])
	e.buf = e.buf[:at+n]
	return n, err
}

// charge charges a buffer of the given size if it is larger than all before.
func (e *eventReader) charge(size int64) error {
	if e.reserve == nil || size <= max(e.reserved, freeResponseBytes) {
		return nil
	}
	n := size - e.reserved
	e.reserved = size
	return e.reserve(n)
}

// An empty line ends an event. A line ends with LF or CRLF, and the lines of an event need not agree.
var (
	endLF   = []byte("\n\n")
	endCRLF = []byte("\n\r\n")
)

// byteOrderMark may precede the first event of a body.
var byteOrderMark = []byte("\ufeff")

// lastEventEnd returns the offset at which the last whole event in b ends, or 0 if there is none. No
// event ends before scanned.
func lastEventEnd(b []byte, scanned int) int {
	from := max(0, scanned-len(endCRLF))
	end := 0
	if i := bytes.LastIndex(b[from:], endLF); i >= 0 {
		end = from + i + len(endLF)
	}
	if i := bytes.LastIndex(b[from:], endCRLF); i >= 0 {
		end = max(end, from+i+len(endCRLF))
	}
	return end
}

// newEvents returns the events of b that were not returned before. Where b holds what is no event, or
// where nothing new has come for long, it sets failed and returns the events before.
func (e *eventReader) newEvents(b []byte) []byte {
	out := b[:0:0]
	for len(b) > 0 {
		n := firstEventEnd(b)
		event := b[:n]
		b = b[n:]
		isNew := e.examine(event)
		if e.failed != nil {
			return out
		}
		if !isNew {
			continue
		}
		e.hasEvents = true
		e.bodyEvents++
		e.total++
		out = append(out, event...)
	}
	return out
}

// examine reports whether a block is an event that was not returned before, and sets failed if it is no
// event or nothing new has come for long.
func (e *eventReader) examine(block []byte) bool {
	isEmpty := len(bytes.TrimSpace(block)) == 0
	if !isEmpty && !hasField(block, fieldNames...) {
		e.failed = errNoEvent
		return false
	}
	id, hasID := eventID(block)
	isOld := hasID && e.hasIDs && id <= e.lastID
	isProgress := !isEmpty && !isOld && (hasID || !e.hasIDs)
	if e.skipped += len(block); isProgress {
		e.skipped = 0
	}
	if e.skipped > maxEvent {
		e.failed = errNoNewEvent
	}
	switch {
	case hasID && !isOld:
		e.lastID, e.hasIDs, e.isPastID = id, true, false
	case !hasID && hasField(block, fieldData, fieldEvent):
		e.isPastID = true
	}
	return !isEmpty && !isOld
}

// canContinue reports whether another run can continue the stream behind what was returned. What came
// after the last ID would come again.
func (e *eventReader) canContinue() bool { return !e.isPastID }

// firstEventEnd returns the offset at which the first event in b ends.
func firstEventEnd(b []byte) int {
	lf, crlf := bytes.Index(b, endLF), bytes.Index(b, endCRLF)
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + len(endCRLF)
	case lf >= 0:
		return lf + len(endLF)
	}
	return len(b)
}

// eventID parses the ID of an event.
func eventID(event []byte) (int64, bool) {
	event = bytes.TrimPrefix(event, byteOrderMark)
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

// continueWith continues the stream with another body and discards the unread rest of the previous
// one.
func (e *eventReader) continueWith(src io.Reader) {
	e.src = src
	e.buf, e.scanned = nil, 0
	e.bodyEvents, e.skipped, e.failed = 0, 0, nil
}
