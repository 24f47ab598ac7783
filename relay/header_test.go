package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Headers that only a box may set never reach an upstream as a caller sent them, however
// they are spelled, doubled, or named among those of the connection.
func TestCallerCannotSetReservedHeaders(t *testing.T) {
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBox(t, u)
	for _, name := range testProtocol.neverForwarded() {
		for _, c := range []struct {
			name   string
			header []string
		}{
			{"as it is written", []string{name, "forged"}},
			{"in lower case", []string{strings.ToLower(name), "forged"}},
			{"in upper case", []string{strings.ToUpper(name), "forged"}},
			{"doubled", []string{name, "forged", strings.ToUpper(name), "forged"}},
			{"of the connection", []string{name, "forged", "Connection", name}},
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
					return // it is the caller's to say, and set anew; checked below
				}
				for sent, values := range got[0].Header {
					for _, v := range values {
						if strings.EqualFold(sent, name) && v == "forged" {
							t.Fatalf("%s: %s reached the upstream", sent, v)
						}
					}
				}
			})
		}
	}
}

// What says which request it is goes on even where the caller claims that it concerns its
// connection only.
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
