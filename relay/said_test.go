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

// announcer is three upstreams of which the first says something in its answers, and the publisher says that all are ready.
type announcer struct {
	t    testing.TB
	list []*stub

	mu     sync.Mutex
	status string // of the first's answers
	says   string // header lines
}

func newAnnouncer(t testing.TB, status, says string) *announcer {
	a := &announcer{t: t, status: status, says: says}
	for i := range 3 {
		a.list = append(a.list, newStub(t, fmt.Sprint("u", i), func(c net.Conn, r stubRequest) bool {
			if i > 0 {
				return respondOK("well")(c, r)
			}
			a.mu.Lock()
			status, says := a.status, a.says
			a.mu.Unlock()
			return answerNaming(status, says)(c, r)
		}))
	}
	return a
}

// arrivals is how many requests have reached the first.
func (a *announcer) arrivals() int { return len(a.list[0].requests()) }

// send sends requests by a box, one after the other.
func (a *announcer) send(b *testBox, name string, count int) {
	for i := range count {
		b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", fmt.Sprint(name, "-", i)))
	}
}

// untilSaid sends requests by a box until one has reached the first.
func (a *announcer) untilSaid(b *testBox) {
	for i := 0; a.arrivals() == 0; i++ {
		a.send(b, fmt.Sprint("first-", i), 1)
	}
}

// An upstream said in each answer that it was leaving while its entry said it was ready, and got requests as before.
func TestAnUpstreamThatSaysItIsLeavingGetsNothingNew(t *testing.T) {
	is := is.New(t)
	a := newAnnouncer(t, "200 OK", "X-Leaving: 1")
	b := newTestBox(t, a.list...)
	a.untilSaid(b)
	a.send(b, "more", 60)
	is.Equal(a.arrivals(), 1)
}

// isLeaving reports whether a box takes an upstream for one that is leaving.
func (b *testBox) isLeaving(id string) bool {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	return b.relay.fleet.Get(id).Leaving
}

func TestWhichAnswersSayThatTheirUpstreamIsLeaving(t *testing.T) {
	for _, c := range []struct {
		name   string
		script func(net.Conn, stubRequest) bool
		want   bool
	}{
		{"a whole answer", answerNaming("200 OK", "X-Leaving: 1"), true},
		{"in another case", answerNaming("200 OK", "x-leaving: 1"), true},
		{"not found", answerNaming("404 No", "X-Leaving: 1"), true},
		{"a failure", answerNaming("500 Broken", "X-Leaving: 1"), true},
		{"a refusal", answerNaming("503 Full", "X-Not-Run: 1", "X-Leaving: 1"), true},
		{"too many", answerNaming("429 Many", "X-Not-Run: 1", "X-Leaving: 1"), true},
		{"the same with a pause", answerNaming("503 Full", "X-Not-Run: 1", "Retry-After: 1", "X-Leaving: 1"), true},
		{"an answer to another request", func(c net.Conn, r stubRequest) bool {
			writeWire(c, "HTTP/1.1 200 OK\nX-Id: before\nX-Leaving: 1\nContent-Length: 0\n\n")
			return respondOK("well")(c, r)
		}, true},
		{"another start of it", answerNaming("421 Other", "X-Not-Run: 1", "X-Started: next", "X-Leaving: 1"), false},
		{"it does not", answerNaming("200 OK", "X-Leaving: 0"), false},
		{"the caller's own", respondOK("well"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u, v := newStub(t, "u", c.script), newStub(t, "v", respondOK("well"))
			b := newTestBox(t, u)
			b.do(b.request(http.MethodPost, "/once/x", "x", "X-Leaving", "1"))
			is.Equal(len(u.requests()), 1)
			b.listUpstream(v, false)
			b.waitFor(func() bool { return b.upstreamCount() == 2 })
			is.Equal(b.relay.stats.counted(leavingSaid) == 1, c.want)
			is.True(b.isLeaving("u") || !c.want)
		})
	}
}

// Answers to calls of the box's own say it as well.
func TestAnAnswerToACallSaysThatItsUpstreamIsLeaving(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", answerNaming("200 OK", "X-Leaving: 1"))
	b := newTestBox(t, u)
	_, _, err := b.relay.callUpstream(t.Context(), *b.relay.fleet.Get("u"), "s", UpstreamCall{Method: http.MethodGet, Path: "/tell"})
	is.NoErr(err)
	is.True(b.isLeaving("u"))
}

// What runs at an upstream when it says that it is leaving ends there; what breaks goes on elsewhere.
func TestAStreamEndsWhereItsUpstreamIsLeaving(t *testing.T) {
	for _, breaks := range []bool{false, true} {
		t.Run(fmt.Sprint("breaks: ", breaks), func(t *testing.T) {
			is := is.New(t)
			said, goOn := make(chan struct{}), make(chan struct{})
			u := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
				writeWire(c, fmt.Sprintf("HTTP/1.1 200 OK\nX-Id: %s\nX-Sign: s\nX-Leaving: 1\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n", r.Header.Get("X-Id")))
				writeChunk(c, event(1))
				close(said)
				<-goOn
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
			<-said
			b.waitFor(func() bool { return b.isLeaving("u") })
			b.listUpstream(v, false)
			b.waitFor(func() bool { return b.upstreamCount() == 2 })
			close(goOn)
			is.Equal((<-done).body, event(1)+event(2))
			is.Equal(len(u.requests()), 1)
			is.Equal(len(v.requests()) == 1, breaks)
		})
	}
}

// The last upstream of a service leaves: callers hear at once that their requests have not run, and when to come back.
func TestWhereTheLastUpstreamIsLeavingCallersHearItAtOnce(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", answerNaming("200 OK", "X-Leaving: 1"))
	b := newTestBox(t, u)
	is.Equal(b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", "first")).status, http.StatusOK)
	got := b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", "second"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.True(strings.Contains(got.body, `"ran":"no"`))
	is.Equal(len(u.requests()), 1)
}

// An upstream came to leave, or asked for a pause, while a request waited for a connection to it: the request goes elsewhere.
func TestARequestThatWaitedForAConnectionIsNotSentToWhatTakesNone(t *testing.T) {
	for name, says := range map[string]func(r *Relay, l balance.Incarnation){
		"it is leaving": func(r *Relay, l balance.Incarnation) { r.fleet.NoteLeaving(l) },
		"it pauses":     func(r *Relay, l balance.Incarnation) { r.fleet.Pause(r.now(), l, time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u, v := newStub(t, "u", respondOK("u")), newStub(t, "v", respondOK("v"))
			b := newTestBox(t, u, v)
			r := b.relay
			var once sync.Once
			var first string
			r.conns.cameUp = func(id string, _ time.Duration) {
				once.Do(func() {
					first = id
					life := r.lifeOf(id)
					r.mu.Lock()
					says(r, life)
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

// An upstream turned requests away and asked for a pause each time, and got them as before.
func TestAnUpstreamThatAsksForAPauseIsLeftAlone(t *testing.T) {
	is := is.New(t)
	a := newAnnouncer(t, "503 No", "X-Not-Run: 1\nRetry-After: 30")
	b := newTestBox(t, a.list...)
	a.untilSaid(b)
	for range 20 {
		a.send(b, "more", 5)
		time.Sleep(fullRestPassed)
	}
	t.Logf("%d requests", a.arrivals())
	is.True(a.arrivals() <= 1+2)
}

// fullRestPassed is longer than an upstream that had no room is passed over for.
const fullRestPassed = 120 * time.Millisecond

// The report by which an upstream tells what runs says that it is leaving as well, also where it tells of no run.
func TestAReportSaysThatItsUpstreamIsLeaving(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", func(c net.Conn, r stubRequest) bool { return tell(c, r, Report{Leaving: true}) })
	p := tellingProtocol()
	b := newTestBoxWithProtocol(t, p, u)
	_, err := b.relay.ask(t.Context(), suspect{exchange: &exchange{request: &request{id: "r"}}, upstream: *b.relay.fleet.Get("u"), service: "s"})
	is.NoErr(err)
	is.True(b.isLeaving("u"))
}

// An upstream started again under its id and address while the box heard nothing of it, and said that it is leaving. Once its entry came
// it is asked, and gets nothing where it says so again; one that does not is used.
func TestAnUpstreamThatStartedAgainIsAskedWhetherItIsLeaving(t *testing.T) {
	for _, says := range []bool{true, false} {
		t.Run(fmt.Sprint("says so again: ", says), func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			headers := "X-Leaving: 1"
			u := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
				mu.Lock()
				defer mu.Unlock()
				return answerNaming("200 OK", headers)(c, r)
			})
			b := newTestBoxWithProtocol(t, tellingProtocol(), u)
			b.listBorn(u, 100, false)
			b.await("u", 100)
			b.do(b.request(http.MethodPost, "/safe/x", "x"))
			is.True(b.isLeaving("u"))
			if !says {
				mu.Lock()
				headers = "X-Leaving: 0"
				mu.Unlock()
			}
			b.listBorn(u, 200, false)
			b.await("u", 200)
			b.waitFor(func() bool { return b.log.contains("upstream: asked whether it is leaving") })
			b.waitFor(func() bool {
				b.relay.mu.Lock()
				defer b.relay.mu.Unlock()
				return !b.relay.fleet.NeedsLeavingCheck(balance.Incarnation{ID: "u", StartedAt: 200})
			})
			got := b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", "again"))
			is.Equal(got.status == http.StatusOK, !says)
		})
	}
}
