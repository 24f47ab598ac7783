package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// noticeUpstreams are three upstreams, all listed as ready, of which the first includes a
// notice in its responses.
type noticeUpstreams struct {
	t    testing.TB
	list []*stub

	mu      sync.Mutex
	status  string // of the first upstream's responses
	headers string // header lines
}

func newNoticeUpstreams(t testing.TB, status, headers string) *noticeUpstreams {
	a := &noticeUpstreams{t: t, status: status, headers: headers}
	for i := range 3 {
		a.list = append(a.list, newStub(t, fmt.Sprint("u", i), func(c net.Conn, r stubRequest) bool {
			if i > 0 {
				return respondOK("well")(c, r)
			}
			a.mu.Lock()
			status, headers := a.status, a.headers
			a.mu.Unlock()
			return respondWithHeaders(status, headers)(c, r)
		}))
	}
	return a
}

// arrivals is how many requests have reached the first upstream.
func (a *noticeUpstreams) arrivals() int { return len(a.list[0].requests()) }

// send sends requests through a box, one after the other.
func (a *noticeUpstreams) send(b *testBox, name string, count int) {
	for i := range count {
		b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", fmt.Sprint(name, "-", i)))
	}
}

// untilNoticed sends requests through a box until one has reached the first upstream.
func (a *noticeUpstreams) untilNoticed(b *testBox) {
	for i := 0; a.arrivals() == 0; i++ {
		a.send(b, fmt.Sprint("first-", i), 1)
	}
}

// An upstream states in each response that it is leaving while its entry still lists it as ready:
// it gets no more requests.
func TestLeavingNoticeStopsRequests(t *testing.T) {
	is := is.New(t)
	a := newNoticeUpstreams(t, "200 OK", "X-Leaving: 1")
	b := newTestBox(t, a.list...)
	a.untilNoticed(b)
	a.send(b, "more", 60)
	is.Equal(a.arrivals(), 1)
}

// isLeaving reports whether a box treats an upstream as leaving.
func (b *testBox) isLeaving(id string) bool {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	return b.relay.fleet.Get(id).Leaving
}

func TestResponsesWithLeavingNotice(t *testing.T) {
	for _, c := range []struct {
		name   string
		script func(net.Conn, stubRequest) bool
		want   bool
	}{
		{"answer", respondWithHeaders("200 OK", "X-Leaving: 1"), true},
		{"header name in lower case", respondWithHeaders("200 OK", "x-leaving: 1"), true},
		{"not found", respondWithHeaders("404 No", "X-Leaving: 1"), true},
		{"a failure", respondWithHeaders("500 Broken", "X-Leaving: 1"), true},
		{"a refusal", respondWithHeaders("503 Full", "X-Not-Run: 1", "X-Leaving: 1"), true},
		{"too many requests", respondWithHeaders("429 Many", "X-Not-Run: 1", "X-Leaving: 1"), true},
		{"refusal with a pause", respondWithHeaders("503 Full", "X-Not-Run: 1", "Retry-After: 1", "X-Leaving: 1"), true},
		{"an answer to another request", func(c net.Conn, r stubRequest) bool {
			writeWire(c, "HTTP/1.1 200 OK\nX-Id: before\nX-Leaving: 1\nContent-Length: 0\n\n")
			return respondOK("well")(c, r)
		}, true},
		{"another instance", respondWithHeaders("421 Other", "X-Not-Run: 1", "X-Started: next", "X-Leaving: 1"), false},
		{"value 0", respondWithHeaders("200 OK", "X-Leaving: 0"), false},
		{"caller's header only", respondOK("well"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u, v := newStub(t, "u", c.script), newStub(t, "v", respondOK("well"))
			b := newTestBox(t, u)
			b.do(b.request(http.MethodPost, "/once/x", "x", "X-Leaving", "1"))
			is.Equal(len(u.requests()), 1)
			b.listUpstream(v, false)
			b.waitFor(func() bool { return b.upstreamCount() == 2 })
			is.Equal(b.relay.stats.counterValue(leavingNotices) == 1, c.want)
			is.True(b.isLeaving("u") || !c.want)
		})
	}
}

// Responses to the box's own calls may state it as well.
func TestLeavingNoticeInResponseToCall(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", respondWithHeaders("200 OK", "X-Leaving: 1"))
	b := newTestBox(t, u)
	_, err := b.relay.callUpstream(t.Context(), *b.relay.fleet.Get("u"), "s", UpstreamCall{Method: http.MethodGet, Path: "/tell"})
	is.NoErr(err)
	is.True(b.isLeaving("u"))
}

// Runs at an upstream that states it is leaving may finish there; a stream that breaks
// continues elsewhere.
func TestStreamOnLeavingUpstream(t *testing.T) {
	for _, breaks := range []bool{false, true} {
		t.Run(fmt.Sprint("breaks: ", breaks), func(t *testing.T) {
			is := is.New(t)
			noticeSent, proceed := make(chan struct{}), make(chan struct{})
			u := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
				writeWire(c, fmt.Sprintf("HTTP/1.1 200 OK\nX-Id: %s\nX-Sign: s\nX-Leaving: 1\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n", r.Header.Get("X-Id")))
				writeChunk(c, event(1))
				close(noticeSent)
				<-proceed
				if breaks {
					return false
				}
				writeChunk(c, event(2))
				writeChunk(c, "")
				return true
			})
			v := newStub(t, "v", func(c net.Conn, r stubRequest) bool {
				startStream(c, r)
				writeChunk(c, event(2))
				writeChunk(c, "")
				return true
			})
			b := newTestBox(t, u)
			done := make(chan callerResponse, 1)
			go func() { done <- b.do(b.request(http.MethodPost, "/flow/x", "")) }()
			<-noticeSent
			b.waitFor(func() bool { return b.isLeaving("u") })
			b.listUpstream(v, false)
			b.waitFor(func() bool { return b.upstreamCount() == 2 })
			close(proceed)
			is.Equal((<-done).body, event(1)+event(2))
			is.Equal(len(u.requests()), 1)
			is.Equal(len(v.requests()) == 1, breaks)
		})
	}
}

// If the last upstream of a service is leaving, callers are told at once that their requests
// have not run, and when to come back.
func TestRefusalWhenLastUpstreamIsLeaving(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", respondWithHeaders("200 OK", "X-Leaving: 1"))
	b := newTestBox(t, u)
	is.Equal(b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", "first")).status, http.StatusOK)
	got := b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", "second"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.True(strings.Contains(got.body, `"ran":"no"`))
	is.Equal(len(u.requests()), 1)
}

// An upstream starts to leave, or requests a pause, while a request waits for a connection to
// it: the request is sent to another one.
func TestNoticeWhileConnectingMovesRequest(t *testing.T) {
	for name, notice := range map[string]func(r *Relay, inc balance.Incarnation){
		"leaving": func(r *Relay, inc balance.Incarnation) { r.fleet.NoteLeaving(inc) },
		"paused":  func(r *Relay, inc balance.Incarnation) { r.fleet.Pause(r.now(), inc, time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u, v := newStub(t, "u", respondOK("u")), newStub(t, "v", respondOK("v"))
			b := newTestBox(t, u, v)
			r := b.relay
			var once sync.Once
			var first string
			r.conns.onConnect = func(id string, _ time.Duration) {
				once.Do(func() {
					first = id
					r.mu.Lock()
					u, _ := r.listedUpstream(id)
					r.mu.Unlock()
					inc := u.Incarnation()
					r.mu.Lock()
					notice(r, inc)
					r.mu.Unlock()
				})
			}
			got := b.do(b.request(http.MethodPost, "/once/x", "x"))
			is.Equal(got.status, http.StatusOK)
			is.True(got.body != first)
			is.Equal(len(u.requests())+len(v.requests()), 1)
		})
	}
}

// An upstream that refuses requests and asks for a pause each time gets none during its pause.
func TestPauseIsRespected(t *testing.T) {
	is := is.New(t)
	a := newNoticeUpstreams(t, "503 No", "X-Not-Run: 1\nRetry-After: 30")
	b := newTestBox(t, a.list...)
	a.untilNoticed(b)
	for range 20 {
		a.send(b, "more", 5)
		time.Sleep(overloadPauseElapsed)
	}
	t.Logf("%d requests", a.arrivals())
	is.True(a.arrivals() <= 1+2)
}

// overloadPauseElapsed is longer than an upstream is skipped for after a refusal because it was
// full.
const overloadPauseElapsed = 120 * time.Millisecond

// A report may also state that its upstream is leaving, even if it contains no run.
func TestLeavingNoticeInReport(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", func(c net.Conn, r stubRequest) bool { return respondReport(c, r, Report{Leaving: true}) })
	p := reportingProtocol()
	b := newTestBoxWithProtocol(t, p, u)
	_, err := b.relay.fetchReport(t.Context(), silentCandidate{exchange: &exchange{request: &request{id: "r"}}, upstream: *b.relay.fleet.Get("u"), service: "s"})
	is.NoErr(err)
	is.True(b.isLeaving("u"))
}

// An upstream restarts under the same ID and address while the box gets no updates, and states
// that it is leaving. Once its new entry arrives, the box asks it; it gets no requests if it
// repeats the statement, and gets them otherwise.
func TestRestartedUpstreamIsAskedWhetherItIsLeaving(t *testing.T) {
	for _, repeats := range []bool{true, false} {
		t.Run(fmt.Sprint("repeats the notice: ", repeats), func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			headers := "X-Leaving: 1"
			u := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
				mu.Lock()
				defer mu.Unlock()
				return respondWithHeaders("200 OK", headers)(c, r)
			})
			b := newTestBoxWithProtocol(t, reportingProtocol(), u)
			b.listIncarnation(u, 100, false)
			b.awaitIncarnation("u", 100)
			b.do(b.request(http.MethodPost, "/safe/x", "x"))
			is.True(b.isLeaving("u"))
			if !repeats {
				mu.Lock()
				headers = "X-Leaving: 0"
				mu.Unlock()
			}
			b.listIncarnation(u, 200, false)
			b.awaitIncarnation("u", 200)
			b.awaitLog("upstream: asked whether it is leaving")
			b.waitFor(func() bool {
				b.relay.mu.Lock()
				defer b.relay.mu.Unlock()
				return !b.relay.fleet.NeedsLeavingCheck(balance.Incarnation{ID: "u", StartedAt: 200})
			})
			got := b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", "again"))
			is.Equal(got.status == http.StatusOK, !repeats)
		})
	}
}
