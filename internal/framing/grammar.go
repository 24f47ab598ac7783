package framing

// This file defines the grammar of the headers of messages, by RFC 9112. The invariant: a header that it accepts is split into the
// same lines, names and values by every parser. Of what the RFC leaves to recipients, it accepts lines that end with a bare LF,
// folded values, and status lines without the space behind the status.

import (
	"bytes"
	"errors"
)

// Errors for what the grammar does not have.
var (
	errStatusLine = errors.New("not a status line of HTTP/1")
	errFieldLine  = errors.New("a line of the header has no colon")
	errFieldName  = errors.New("the name of a header field is not a token")
	errFieldValue = errors.New("a control character in a header")
	errFirstFold  = errors.New("the first line of a header starts with white space")
)

// tokenBytes are the bytes of tokens, which names and methods are.
var tokenBytes = byteSet("!#$%&'*+-.^_`|~" + digits + letters)

const (
	digits  = "0123456789"
	letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
)

func byteSet(members string) (set [256]bool) {
	for _, c := range []byte(members) {
		set[c] = true
	}
	return set
}

// isToken reports whether b is a token.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether b may stand in a value or a reason: it has no control characters other than tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// fieldLines checks the field lines of a header or trailer one after the other.
type fieldLines struct {
	folds bool // the next line may continue the value of the one before
}

// check checks a line, without its line end. The line is not empty.
func (f *fieldLines) check(line []byte) error {
	value := line
	switch isFold := line[0] == ' ' || line[0] == '\t'; {
	case isFold && !f.folds:
		return errFirstFold
	case !isFold:
		name, rest, hasColon := bytes.Cut(line, []byte(":"))
		switch {
		case !hasColon:
			return errFieldLine
		case !isToken(name):
			return errFieldName
		}
		value = rest
	}
	if !isText(value) {
		return errFieldValue
	}
	f.folds = true
	return nil
}

// statusPattern is how a status line starts. A digit stands for all digits, the first of the status for 1 to 5.
const statusPattern = "HTTP/1.0 100"

// startsStatusLine reports whether a line that starts with b may be a status line.
func startsStatusLine(b []byte) bool {
	for i, c := range b[:min(len(b), len(statusPattern))] {
		switch want := statusPattern[i]; {
		case i == len("HTTP/1.0 "):
			if c < '1' || c > '5' {
				return false
			}
		case want == '0':
			if c < '0' || c > '9' {
				return false
			}
		case c != want:
			return false
		}
	}
	return true
}

// checkStatusLine checks a status line, without its line end.
func checkStatusLine(line []byte) error {
	if len(line) < len(statusPattern) || !startsStatusLine(line) {
		return errStatusLine
	}
	reason := line[len(statusPattern):]
	if len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return errStatusLine
	}
	return nil
}

// nextLine returns the first line of b without its line end, and the offset behind it; 0 if it is incomplete.
func nextLine(b []byte) (line []byte, next int) {
	n := bytes.IndexByte(b, '\n')
	if n < 0 {
		return nil, 0
	}
	return bytes.TrimSuffix(b[:n], []byte("\r")), n + 1
}
