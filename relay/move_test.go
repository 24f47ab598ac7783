package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// movingProtocol is testProtocol for a deployment whose upstreams can copy runs.
func movingProtocol() Protocol {
	p := testProtocol
	p.MoveCall = func(request, to string) UpstreamCall {
		return UpstreamCall{Method: http.MethodPost, Path: "/copy", Body: []byte(`"` + request + " " + to + `"`)}
	}
	p.ParseMove = func(from string, status int, body []byte) RunCopy {
		return RunCopy{Name: string(body), Memory: from + "/" + string(body), Transferred: status == http.StatusOK, NotStopped: status == http.StatusNotFound}
	}
	p.DropCall = func(name string) UpstreamCall { return UpstreamCall{Method: http.MethodDelete, Path: "/copy/" + name} }
	return p
}

// respondCall responds to a call of the box itself.
func respondCall(c net.Conn, status int, body string) {
	writeWire(c, fmt.Sprintf("HTTP/1.1 %d X\nContent-Length: %d\n\n%s", status, len(body), body))
}

// movingTestBox is a relay with two upstreams. A stream of 100 expected events starts on slow, which
// is the only one listed at first and sends an event every 60 ms.
type movingTestBox struct {
	*testBox
	slow, fast *stub
	stopped    chan struct{} // closed to end slow's stream
	form       streamForm    // of slow's stream
}

// streamForm is how an upstream writes a stream. The zero value writes chunks.
type streamForm struct {
	unframed bool                                   // without a length or chunks
	end      func(c net.Conn, made int) (keep bool) // called where the stream is ended; nil: the connection is closed
}

func (f streamForm) start(c net.Conn, r stubRequest) {
	if !f.unframed {
		startStream(c, r)
		return
	}
	writeWire(c, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\nContent-Type: text/event-stream\n\n")
}

func (f streamForm) write(c net.Conn, text string) {
	if !f.unframed {
		writeChunk(c, text)
		return
	}
	_, _ = io.WriteString(c, text)
}

// newMovingTestBox creates the box and its upstreams; copied responds to the call to copy the run.
func newMovingTestBox(t *testing.T, copied func(c net.Conn, stop func())) *movingTestBox {
	return newMovingTestBoxWithConfig(t, func(*Config) {}, newRetryArrivals(), streamForm{}, copied)
}

// newMovingTestBoxWithConfig is newMovingTestBox with a configuration modified by change, and the form of
// slow's stream.
func newMovingTestBoxWithConfig(t *testing.T, change func(*Config), arrivals *retryArrivals, form streamForm, copied func(c net.Conn, stop func())) *movingTestBox {
	m := newMovingUpstreams(t, arrivals, form, copied)
	m.useBox(newTestBoxWithConfig(t, func(c *Config) {
		c.Protocol = movingProtocol()
		change(c)
	}, m.slow))
	return m
}

// newMovingUpstreams creates the upstreams of a movingTestBox without a box. They fail requests for
// /safe/, and arrivals records what reaches them but for calls.
func newMovingUpstreams(t *testing.T, arrivals *retryArrivals, form streamForm, copied func(c net.Conn, stop func())) *movingTestBox {
	m := &movingTestBox{stopped: make(chan struct{}), form: form}
	m.slow = newStub(t, "slow", func(c net.Conn, r stubRequest) bool {
		if id := r.Header.Get("X-Id"); id != "" {
			arrivals.note(id)
		}
		switch {
		case r.URL.Path == "/copy":
			copied(c, func() { close(m.stopped) })
			return true
		case r.Method == http.MethodDelete:
			respondCall(c, 200, "")
			return true
		case r.Header.Get("X-Memory") != "":
			return m.respondRest(c, r)
		case strings.HasPrefix(r.URL.Path, "/safe/"):
			return respond500(c, r)
		}
		m.form.start(c, r)
		for i := 1; i <= 100; i++ {
			m.form.write(c, event(i))
			select {
			case <-m.stopped:
				return m.form.end != nil && m.form.end(c, i)
			case <-time.After(60 * time.Millisecond):
			}
		}
		return false
	})
	m.fast = newStub(t, "fast", arrivals.record(m.respondRest))
	return m
}

// useBox sets the box, which lists slow alone.
func (m *movingTestBox) useBox(b *testBox) {
	m.testBox = b
	document := testDocument(2)
	document.Services[0].TransfersKV = true
	m.publisher.set("document", document, false)
	m.waitFor(func() bool { return m.relay.documentVersion() == 2 })
	m.trainFleet()
}

// respondRest sends all events after the last one seen, and the end of the stream.
func (m *movingTestBox) respondRest(c net.Conn, r stubRequest) bool {
	if strings.HasPrefix(r.URL.Path, "/safe/") {
		return respond500(c, r)
	}
	startStream(c, r)
	var last int
	_, _ = fmt.Sscan(r.Header.Get("X-Last"), &last)
	for i := last + 1; i <= 100; i++ {
		writeChunk(c, event(i))
	}
	writeChunk(c, "")
	return true
}

// trainFleet tells the fleet how long responses are, and that moved streams take 20 ms per event. A
// stream of 100 events then has to move when between 4.5 and 2.2 s of its 4.8 s are left, so that the
// test tolerates a machine that stalls for a second.
func (m *movingTestBox) trainFleet() {
	r := m.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 5 {
		q := balance.Request{Service: "s", ExpectedTokens: 100, Parts: []balance.Part{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 10}}}
		for _, ticket := range []*balance.Ticket{r.fleet.Open(r.now(), "slow", q), r.fleet.OpenMoved(r.now(), "slow", q)} {
			ticket.NoteFirstEvent(r.now())
			ticket.NoteAnswer(r.now()+2*time.Second, 101, 100, true)
			ticket.Close(r.now()+2*time.Second, balance.Answered)
		}
	}
}

// stream requests a long response, and lists fast once slow runs the request.
func (m *movingTestBox) stream(path string) <-chan callerResponse {
	done := make(chan callerResponse, 1)
	go func() {
		done <- m.do(m.request("POST", path, "body", "X-Parts", "1:2000 2:100", "X-Expected", "100", "X-Left", "4800"))
	}()
	m.waitFor(func() bool { return len(m.slow.requests()) == 1 })
	m.listUpstream(m.fast, false)
	return done
}

// allEvents returns all events, each once.
func allEvents() string {
	var b strings.Builder
	for i := 1; i <= 100; i++ {
		b.WriteString(event(i))
	}
	return b.String()
}

func TestLateStreamMovesAndEndsInTime(t *testing.T) {
	for _, path := range []string{"/flow/x", "/fixed/x", "/single/x"} { // independent of whether the route allows repetition
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			m := newMovingTestBox(t, func(c net.Conn, stop func()) {
				stop()
				respondCall(c, 200, "h7")
			})
			is.Equal((<-m.stream(path)).body, allEvents())
			calls := m.slow.requests()
			is.Equal(len(calls), 2) // the request, and the call to copy its run
			var call string
			is.NoErr(json.Unmarshal([]byte(calls[1].body), &call))
			is.Equal(call, "id-"+path+" "+m.fast.listener.Addr().String())
			at := m.fast.requests()[0]
			is.Equal(at.Header.Get("X-Memory"), m.slow.listener.Addr().String()+"/h7")
			is.Equal(at.Header.Get("X-Id"), "id-"+path)
			is.True(at.Header.Get("X-Last") != "")
			is.Equal(at.body, "body")
			m.awaitLog("run: moves")
		})
	}
}

// An upstream that stopped a run but found no room for its copy on the other upstream continues the
// run itself.
func TestMoveWithoutRoomContinuesOnOriginalUpstream(t *testing.T) {
	is := is.New(t)
	m := newMovingTestBox(t, func(c net.Conn, stop func()) {
		stop()
		respondCall(c, 503, "h7")
	})
	is.Equal((<-m.stream("/single/x")).body, allEvents())
	calls := m.slow.requests()
	is.Equal(len(calls), 3)
	is.Equal(calls[2].Header.Get("X-Memory"), m.slow.listener.Addr().String()+"/h7")
	is.Equal(len(m.fast.requests()), 0)
}

// A run that could not be copied continues, and no second copy is requested.
func TestFailedCopyDoesNotInterruptRun(t *testing.T) {
	is := is.New(t)
	m := newMovingTestBox(t, func(c net.Conn, _ func()) { respondCall(c, 404, "") })
	a := <-m.stream("/single/x")
	is.True(a.err != nil) // the caller's timeout expired
	is.Equal(len(m.slow.requests()), 2)
	is.Equal(len(m.fast.requests()), 0)
}

// The charge for a move that came to nothing was kept and paid for the stream's next retry, in a
// window that did not contain it any more: a failure after such moves exceeded the budget.
func TestFailedMovesDoNotPayForLaterRetries(t *testing.T) {
	const streams = 3 // as many as the other upstream has room for
	arrivals := newRetryArrivals()
	m := newMovingTestBoxWithConfig(t, func(c *Config) { c.Budget = onlySlack }, arrivals, streamForm{}, func(c net.Conn, _ func()) { respondCall(c, 404, "") })
	m.awaitSlack()
	done := make(chan callerResponse, streams)
	for i := range streams {
		go func() {
			done <- m.do(m.request("POST", fmt.Sprintf("/flow/%d", i), "body", "X-Parts", "1:2000 2:100", "X-Expected", "100", "X-Left", "4800"))
		}()
	}
	m.waitFor(func() bool { return len(m.slow.requests()) == streams })
	m.listUpstream(m.fast, false)
	m.waitFor(func() bool { return len(m.slow.requests()) == 2*streams }) // each has been asked to copy its run
	m.awaitSlack()
	close(m.stopped)
	began := time.Now()
	m.sendInParallel(10, func() bool { return time.Since(began) > onlySlack.Window/2 })
	for range streams {
		<-done
	}
	if n := arrivals.count(); n < int(onlySlack.Slack) {
		t.Fatalf("%d retries arrived; the slack of %v is not used up", n, onlySlack.Slack)
	}
	if most := arrivals.most(onlySlack.Window); most > int(onlySlack.Slack) {
		t.Fatalf("%d retries arrived within %v; %v are allowed", most, onlySlack.Window, onlySlack.Slack)
	}
}

// A copy from which no run continues is freed.
func TestUnusedCopyIsFreed(t *testing.T) {
	is := is.New(t)
	m := newMovingTestBox(t, func(c net.Conn, _ func()) { respondCall(c, 200, "h7") }) // its stream does not stop
	a := <-m.stream("/single/x")
	is.True(a.err != nil)
	m.waitFor(func() bool {
		calls := m.slow.requests()
		return calls[len(calls)-1].Method == http.MethodDelete && calls[len(calls)-1].URL.Path == "/copy/h7"
	})
	is.Equal(len(m.fast.requests()), 0)
}

// If a copy and the end of its request coincide, the end takes precedence: the copy stays in the
// channel for freeCopy.
func TestCopyIsKeptForCleanupAfterRequestEnds(t *testing.T) {
	is := is.New(t)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		m := &move{copied: make(chan RunCopy, 1)}
		m.copied <- RunCopy{Name: "h7"}
		_, ok := m.awaitCopy(ended)
		is.True(!ok)
		is.Equal((<-m.copied).Name, "h7")
	}
	m := &move{copied: make(chan RunCopy, 1)}
	m.copied <- RunCopy{Name: "h7"}
	c, ok := m.awaitCopy(context.Background())
	is.True(ok)
	is.Equal(c.Name, "h7")
}
