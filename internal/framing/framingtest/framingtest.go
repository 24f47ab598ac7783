// Package framingtest lists lines of message headers, for tests and for stand-ins that break messages. The invariant: a malformed
// line is not in the grammar of RFC 9112, and all else about a message that has it may be.
package framingtest

import "fmt"

// Line is a line of a header without its line end. In the first line of a request, %s is the path.
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

// MalformedStatusLines returns lines that are no status lines of HTTP/1, or whose status is none.
func MalformedStatusLines() []Line {
	return []Line{
		{"status 000", "HTTP/1.1 000 OK"},
		{"status 000, no reason", "HTTP/1.1 000 "},
		{"status 000 of HTTP/1.0", "HTTP/1.0 000 OK"},
		{"status 001", "HTTP/1.1 001 OK"},
		{"status 099", "HTTP/1.1 099 OK"},
		{"status 600", "HTTP/1.1 600 OK"},
		{"status 999", "HTTP/1.1 999 OK"},
		{"two digits", "HTTP/1.1 20 OK"},
		{"two digits, no reason", "HTTP/1.1 20"},
		{"four digits", "HTTP/1.1 2000 OK"},
		{"four digits, no reason", "HTTP/1.1 2000"},
		{"zero before the status", "HTTP/1.1 0200 OK"},
		{"sign", "HTTP/1.1 +20 OK"},
		{"minus", "HTTP/1.1 -20 OK"},
		{"letter in the status", "HTTP/1.1 2O0 OK"},
		{"hexadecimal status", "HTTP/1.1 0xc OK"},
		{"no status", "HTTP/1.1 OK"},
		{"version only", "HTTP/1.1"},
		{"two blanks before the status", "HTTP/1.1  200 OK"},
		{"tab before the status", "HTTP/1.1\t200 OK"},
		{"tab behind the status", "HTTP/1.1 200\tOK"},
		{"no blank before the reason", "HTTP/1.1 200OK"},
		{"blank before the version", " HTTP/1.1 200 OK"},
		{"control character before the version", "\x01HTTP/1.1 200 OK"},
		{"control character in the reason", "HTTP/1.1 200 O\x01K"},
		{"NUL in the reason", "HTTP/1.1 200 O\x00K"},
		{"bare carriage return in the reason", "HTTP/1.1 200 O\rK"},
		{"lower-case version", "http/1.1 200 OK"},
		{"letter in the version", "HTTP/1.x 200 OK"},
		{"version of one digit", "HTTP/1 200 OK"},
		{"version of two digits", "HTTP/1.10 200 OK"},
		{"another major version", "HTTP/2.0 200 OK"},
		{"another protocol", "ICY 200 OK"},
		{"text", "all is well"},
	}
}

// SoundStatusLines returns unusual status lines of a success.
func SoundStatusLines() []Line {
	return []Line{
		{"no reason", "HTTP/1.1 200 "},
		{"no blank behind the status", "HTTP/1.1 200"},
		{"reason of several words", "HTTP/1.1 200 All is well"},
		{"bytes above 0x7f in the reason", "HTTP/1.1 200 \xc3\xa9\xff"},
		{"tab in the reason", "HTTP/1.1 200 O\tK"},
		{"another status", "HTTP/1.1 299 Mine"},
	}
}

// MalformedRequestLines returns lines that are no request lines.
func MalformedRequestLines() []Line {
	return []Line{
		{"byte above 0x7f in the path", "POST /%s\xe9 HTTP/1.1"},
		{"letter of more bytes in the query", "POST /%s?\u00e9 HTTP/1.1"},
		{"quote in the path", "POST /%s\"a HTTP/1.1"},
		{"angle brackets in the query", "POST /%s?<a> HTTP/1.1"},
		{"backslash in the path", "POST /%s\\a HTTP/1.1"},
		{"bracket in the path", "POST /%s[a] HTTP/1.1"},
		{"fragment", "POST /%s#a HTTP/1.1"},
		{"percent sign alone", "POST /%s?a=5% HTTP/1.1"},
		{"percent sign and a letter", "POST /%s%zz HTTP/1.1"},
		{"blank in the path", "POST /%s a HTTP/1.1"},
		{"tab in the path", "POST /%s\ta HTTP/1.1"},
		{"control character in the path", "POST /%s\x01 HTTP/1.1"},
		{"two blanks before the path", "POST  /%s HTTP/1.1"},
		{"two blanks behind the path", "POST /%s  HTTP/1.1"},
		{"blank behind the version", "POST /%s HTTP/1.1 "},
		{"separator in the method", "PO(ST /%s HTTP/1.1"},
		{"control character in the method", "PO\x01ST /%s HTTP/1.1"},
		{"path without a slash", "POST %s HTTP/1.1"},
		{"no version", "POST /%s"},
		{"lower-case version", "POST /%s http/1.1"},
		{"letter in the version", "POST /%s HTTP/1.x"},
		{"carriage return in the version", "POST /%s HTTP/1.1\r"},
	}
}

// SoundRequestLines returns unusual request lines.
func SoundRequestLines() []Line {
	return []Line{
		{"all that paths may have", "POST /%s-._~!$&'()*+,;=:@//%2F%e9 HTTP/1.1"},
		{"all that queries may have", "POST /%s?-._~!$&'()*+,;=:@/?%5B%5d HTTP/1.1"},
		{"empty query", "POST /%s? HTTP/1.1"},
	}
}
