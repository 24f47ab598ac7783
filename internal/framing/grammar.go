package framing

// This file defines the grammar of the headers of messages, by RFC 9112. The invariant: a header that it accepts is split into the
// same lines, names and values by every parser. Of what the RFC leaves to recipients, it accepts lines that end with a bare LF
// and folded values.

import (
	"bytes"
	"errors"
)

// Errors for what the grammar does not have.
var (
	errFieldLine  = errors.New("a line of the header has no colon")
	errFieldName  = errors.New("the name of a header field is not a token")
	errFieldValue = errors.New("a control character in a header")
	errFirstFold  = errors.New("the first line of a header starts with white space")
)

// tokenBytes are the bytes of tokens, which names are.
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

// isText reports whether b may stand in a value: it has no control characters other than tabs.
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

// nextLine returns the first line of b without its line end, and the offset behind it; 0 if it is incomplete.
func nextLine(b []byte) (line []byte, next int) {
	n := bytes.IndexByte(b, '\n')
	if n < 0 {
		return nil, 0
	}
	return bytes.TrimSuffix(b[:n], []byte("\r")), n + 1
}
