package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondOK("hello"))
	b := newTestBox(t, u)
	r := b.request("POST", "/once/x?q=%20a", strings.Repeat("body ", 5000), "X-Other", "kept", "Connection", "X-Hop", "X-Hop", "dropped", "X-Customer", "forged")
	a := b.do(r)
	is.NoErr(a.err)
	is.Equal(a.status, 200)
	is.Equal(a.body, "hello")
	is.Equal(a.header.Get("X-Sign"), "s")
	got := u.requests()
	is.Equal(len(got), 1)
	is.Equal(got[0].Method, "POST")
	is.Equal(got[0].RequestURI, "/once/x?q=%20a")
	is.Equal(got[0].Host, "h.example")
	is.Equal(got[0].body, strings.Repeat("body ", 5000))
	h := got[0].Header
	is.Equal(h.Get("X-Id"), "id-/once/x?q=%20a")
	is.Equal(h.Get("X-Other"), "kept")
	is.Equal(h.Get("X-Hop"), "")
	is.Equal(h.Get("X-Key"), "")
	is.Equal(h.Get("X-Customer"), "customer")
	is.Equal(h.Get("X-Instance"), "u1")
	left, err := strconv.Atoi(h.Get("X-Left"))
	is.NoErr(err)
	is.True(left > 0 && left <= 4000)
}

func TestChunkedBodyIsForwarded(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBox(t, u)
	r := b.request("POST", "/once/x", "")
	r.Body = io.NopCloser(io.MultiReader(strings.NewReader("first "), strings.NewReader("second")))
	r.ContentLength = -1
	is.Equal(b.do(r).status, 200)
	is.Equal(u.requests()[0].body, "first second")
}

func TestBoxRefusesInvalidRequests(t *testing.T) {
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBox(t, u)
	for _, c := range []struct {
		name   string
		path   string
		host   string
		key    string
		body   string
		status int
	}{
		{"no route", "/nowhere/", "h.example", "secret", "", 404},
		{"unknown host", "/safe/", "other.example", "secret", "", 404},
		{"unknown key", "/safe/", "h.example", "wrong", "", 401},
		{"no key", "/safe/", "h.example", "", "", 401},
		{"public route without key", "/open/", "h.example", "", "", 200},
		{"body too large", "/once/", "h.example", "secret", strings.Repeat("x", 2<<20), 413},
		// The stub repeats the path in a header, so these requests have about twice the size of their
		// paths.
		{"headers within the limit", "/open/?" + strings.Repeat("x", 3<<10), "h.example", "", "", 200},
		{"headers too large", "/open/?" + strings.Repeat("x", 5<<10), "h.example", "", "", 431},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := b.request("POST", c.path, c.body, "X-Key", c.key)
			r.Host = c.host
			a := b.do(r)
			is.NoErr(a.err)
			is.Equal(a.status, c.status)
		})
	}
}

func TestBoxWithoutDocumentIsNotReady(t *testing.T) {
	is := is.New(t)
	b := newTestBox(t)
	resp, err := http.Get(b.ready)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, 503)
	a := b.do(b.request("GET", "/safe/x", ""))
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.True(strings.Contains(a.body, `"ran":"no"`))
}

func TestCallerDisconnectEndsRun(t *testing.T) {
	for _, path := range []string{"/flow/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			started := make(chan struct{})
			u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
				if strings.HasPrefix(path, "/flow") {
					startStream(c, r)
					writeChunk(c, event(1))
				}
				close(started)
				return true // no response follows
			})
			b := newTestBox(t, u)
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-started
				cancel()
			}()
			a := b.do(b.request("POST", path, "").WithContext(ctx))
			is.True(a.err != nil)
			<-u.closed // the upstream sees its connection closed
			b.waitFor(func() bool { return b.relay.stats.openRequests.Load() == 0 })
		})
	}
}

func TestRouteTimeoutBoundsRequest(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", func(net.Conn, stubRequest) bool { return true }) // never responds
	b := newTestBox(t, u)
	a := b.do(b.request("POST", "/brief/x", ""))
	is.Equal(a.status, 504)
	left, err := strconv.Atoi(u.requests()[0].Header.Get("X-Left"))
	is.NoErr(err)
	is.True(left <= 200)
}

func TestHeaderNamesAreCaseInsensitive(t *testing.T) {
	is := is.New(t)
	refuse := func(c net.Conn, r stubRequest) bool {
		writeWire(c, "HTTP/1.1 503 Full\nx-id: "+r.Header.Get("X-Id")+"\nx-not-run: 1\ncontent-length: 0\n\n")
		return true
	}
	u1, u2 := newStub(t, "u1", refuse), newStub(t, "u2", refuse)
	b := newTestBox(t, u1, u2)
	a := b.do(b.request("POST", "/once/x", ""))
	is.Equal(a.status, 503)
	is.Equal(len(u1.requests())+len(u2.requests()), 2) // the first upstream stated that it had not run the request

	foreign := newStub(t, "u3", func(c net.Conn, r stubRequest) bool {
		writeWire(c, "HTTP/1.1 200 OK\nx-id: another\nContent-Length: 3\n\nold")
		return respondOK("mine")(c, r)
	})
	b = newTestBox(t, foreign)
	is.Equal(b.do(b.request("POST", "/once/x", "")).body, "mine")

	r := b.request("POST", "/once/y", "")
	r.Header["connection"] = []string{"X-Hop"}
	r.Header.Set("X-Hop", "dropped")
	is.Equal(b.do(r).status, 200)
	got := foreign.requests()
	is.Equal(got[len(got)-1].Header.Get("X-Hop"), "")
}
