package framing

// This file defines the grammar of requests, by RFC 9112 and the parts of RFC 3986 that it refers to. The invariant: it is
// applied to the bytes that the caller sent, not to what a parser made of them.

import (
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"
)

// Errors for requests.
var (
	errMethod = errors.New("the method is not a token")
	errTarget = errors.New("the request target is not a URI")
	errHost   = errors.New("the host is not that of a URI")
)

// Bytes of the parts of a request target besides percent-encoded ones.
var (
	pathBytes      = byteSet("-._~!$&'()*+,;=:@/" + digits + letters)
	queryBytes     = byteSet("-._~!$&'()*+,;=:@/?" + digits + letters)
	authorityBytes = byteSet("-._~!$&'()*+,;=:@[]" + digits + letters)
	hostBytes      = byteSet("-._~!$&'()*+,;=:[]" + digits + letters)
	schemeBytes    = byteSet("+-." + digits + letters)
	hexBytes       = byteSet(digits + "ABCDEFabcdef")
)

// CheckRequest checks the request line and the header fields of a request that a server has read.
func CheckRequest(h *fasthttp.RequestHeader) error {
	switch {
	case !isToken(h.Method()):
		return errMethod
	case !isTarget(h.RequestURI()):
		return errTarget
	case !isEncoded(h.Host(), &hostBytes):
		return errHost
	}
	return checkFieldLines(h.RawHeaders())
}

// checkFieldLines checks the lines of a header behind its first one.
func checkFieldLines(b []byte) error {
	var fields fieldLines
	for {
		line, n := nextLine(b)
		if len(line) == 0 {
			return nil
		}
		if err := fields.check(line); err != nil {
			return err
		}
		b = b[n:]
	}
}

// isTarget reports whether b is a request target: in origin form, in absolute form, or an authority or asterisk, which the
// parser accepts for the methods that have them.
func isTarget(b []byte) bool {
	rest := b
	if scheme, behind, isAbsolute := bytes.Cut(b, []byte("://")); isAbsolute && isEncoded(scheme, &schemeBytes) {
		end := bytes.IndexAny(behind, "/?")
		if end < 0 {
			return isEncoded(behind, &authorityBytes)
		}
		if !isEncoded(behind[:end], &authorityBytes) {
			return false
		}
		rest = behind[end:]
	} else if !bytes.HasPrefix(b, []byte("/")) {
		return len(b) > 0 && isEncoded(b, &authorityBytes)
	}
	path, query, _ := bytes.Cut(rest, []byte("?"))
	return isEncoded(path, &pathBytes) && isEncoded(query, &queryBytes)
}

// isEncoded reports whether b has only bytes of the set and percent-encoded ones.
func isEncoded(b []byte, set *[256]bool) bool {
	for i := 0; i < len(b); i++ {
		switch {
		case set[b[i]]:
		case b[i] == '%' && i+2 < len(b) && hexBytes[b[i+1]] && hexBytes[b[i+2]]:
			i += 2
		default:
			return false
		}
	}
	return true
}
