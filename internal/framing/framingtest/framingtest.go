// Package framingtest lists lines of message headers, for tests and for stand-ins that break messages. The invariant: a malformed
// line is not in the grammar of RFC 9112, and all else about a message that has it may be.
package framingtest

import "fmt"

// Line is a line of a header without its line end.
type Line struct {
	Name string // what is special about it
	Text string
}

// MalformedFields returns lines that are no header fields.
func MalformedFields() []Line {
	lines := []Line{
		{"blank in the name", "X A: 1"},
		{"blanks in the name", "X A B: 1"},
		{"blank in the name of a length", "Content Length: 1"},
		{"tab in the name", "X\tA: 1"},
		{"blank before the colon", "X-A : 1"},
		{"tab before the colon", "X-A\t: 1"},
		{"blank before the colon of a length", "Content-Length : 1"},
		{"tab before the colon of a length", "Content-Length\t: 1"},
		{"blank before the colon of a coding", "Transfer-Encoding : chunked"},
		{"blank before the colon of the connection", "Connection : close"},
		{"blank in the name, folded value", "X A: 1\r\n 2"},
		{"blank before the colon, folded value", "X-A : 1\r\n 2"},
		{"blank in the name, bare line end", "X A: 1\nX-B: 2"},
		{"empty name", ": 1"},
		{"no colon", "X-A"},
		{"no colon, blanks", "X A 1"},
		{"byte above 0x7f in the name", "X\xe9A: 1"},
		{"letter of more bytes in the name", "X\u00e9A: 1"},
		{"NUL in the value", "X-A: 1\x002"},
		{"control character in the value", "X-A: 1\x012"},
		{"DEL in the value", "X-A: 1\x7f"},
		{"bare carriage return in the value", "X-A: 1\r2"},
		{"two carriage returns at the end", "X-A: 1\r"},
		{"control character in a folded value", "X-A: 1\r\n 2\x01"},
	}
	for _, c := range []byte("\x00\x01\x07\x08\x0b\x0c\r\x1b\x1f\x7f") {
		lines = append(lines, Line{fmt.Sprintf("control character %#02x in the name", c), fmt.Sprintf("X%cA: 1", c)},
			Line{fmt.Sprintf("control character %#02x before the colon of a length", c), fmt.Sprintf("Content-Length%c: 1", c)})
	}
	for _, c := range `"(),/;<=>?@[\]{}` {
		lines = append(lines, Line{fmt.Sprintf("separator %c in the name", c), fmt.Sprintf("X%cA: 1", c)})
	}
	return lines
}

// SoundFields returns unusual lines that are header fields.
func SoundFields() []Line {
	return []Line{
		{"all that names may have", "X!#$%&'*+-.^_`|~09: 1"},
		{"no blank behind the colon", "X-A:1"},
		{"tabs around the value", "X-A:\t1\t"},
		{"tab in the value", "X-A: 1\t2"},
		{"empty value", "X-A:"},
		{"colons in the value", "X-A: 1:2: 3"},
		{"bytes above 0x7f in the value", "X-A: \xe9\xff\u00e9"},
		{"folded value", "X-A: 1\r\n 2\r\n\t3"},
		{"value on the next line", "X-A:\r\n 1"},
		{"fold without a value", "X-A: 1\r\n \t"},
		{"bare line end", "X-A: 1\nX-B: 2"},
	}
}
