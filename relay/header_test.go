package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Headers reserved for the box never reach an upstream with a caller's values, whatever their case, if
// they are repeated, or if the Connection header names them.
func TestCallerCannotSetReservedHeaders(t *testing.T) {
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBox(t, u)
	for _, name := range testProtocol.neverForwarded() {
		for _, c := range []struct {
			name   string
			header []string
		}{
			{"as configured", []string{name, "forged"}},
			{"lower case", []string{strings.ToLower(name), "forged"}},
			{"upper case", []string{strings.ToUpper(name), "forged"}},
			{"repeated", []string{name, "forged", strings.ToUpper(name), "forged"}},
			{"named in Connection", []string{name, "forged", "Connection", name}},
		} {
			if name == testProtocol.Key {
				continue // TestRequestIsForwardedUnchanged shows that a valid key is not forwarded
			}
			t.Run(name+" "+c.name, func(t *testing.T) {
				is := is.New(t)
				r := b.request("POST", "/open/x", "body")
				for i := 0; i < len(c.header); i += 2 {
					r.Header[c.header[i]] = append(r.Header[c.header[i]], c.header[i+1])
				}
				before := len(u.requests())
				a := b.do(r)
				is.NoErr(a.err)
				is.Equal(a.status, 200)
				got := u.requests()[before:]
				is.Equal(len(got), 1)
				if name == testProtocol.LastEvent {
					return // set by callers, and forwarded; see TestBrokenStreamResumesOnAnotherUpstream
				}
				for sent, values := range got[0].Header {
					for _, v := range values {
						if strings.EqualFold(sent, name) && v == "forged" {
							t.Fatalf("header %s with the caller's value %s reached the upstream", sent, v)
						}
					}
				}
			})
		}
	}
}

// Headers that identify or describe the request are forwarded even if the caller names them in its
// Connection header.
func TestDescribingHeadersAreAlwaysForwarded(t *testing.T) {
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBox(t, u)
	for _, name := range testProtocol.alwaysForwarded() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := b.request("POST", "/open/x", "body", "Connection", name)
			if name != testProtocol.RequestID {
				r.Header.Set(name, "7:100")
			}
			want := r.Header.Get(name)
			before := len(u.requests())
			is.Equal(b.do(r).status, 200)
			is.Equal(u.requests()[before].Header.Get(name), want)
		})
	}
}
