package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// endingStub is an upstream that can end as a process does: the system closes its listener and all its connections
// in order.
type endingStub struct {
	*stub
	mu   sync.Mutex
	open []net.Conn
}

// newEndingStub starts an upstream whose script gets the stub itself. It states startedAt (Unix ms) in its entry and
// reports, unless that is 0.
func newEndingStub(t *testing.T, l net.Listener, id string, startedAt int64, script func(*endingStub, net.Conn, stubRequest) bool) *endingStub {
	s := new(endingStub)
	s.stub = newStubOn(t, &recordingListener{l, s}, id, func(c net.Conn, r stubRequest) bool {
		switch r.URL.Path {
		case "/tell":
			return respondReport(c, r, Report{StartedAt: startedAt})
		case "/health":
			writeWire(c, "HTTP/1.1 200 OK\nX-Started: "+id+"\nContent-Length: 0\n\n")
			return true
		}
		return script(s, c, r)
	})
	s.started = startedAt
	return s
}

// recordingListener records the connections of a stub.
type recordingListener struct {
	net.Listener
	stub *endingStub
}

func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.stub.mu.Lock()
		l.stub.open = append(l.stub.open, c)
		l.stub.mu.Unlock()
	}
	return c, err
}

// end closes the listener and all connections. All that was received has been read, so that none is reset.
func (s *endingStub) end() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		_ = c.Close()
	}
}

// The body of a plain response, of which the first part is sent before an upstream ends.
const firstPart, secondPart = "first part, ", "second part"

// eventsOfStream is how many events a whole stream has.
const eventsOfStream = 3

// respondWithoutLength returns a script that ends its response by the close of its connection: in full, or after a
// part of it if end has ended the upstream.
func respondWithoutLength(end func(*endingStub) (isEnded bool)) func(*endingStub, net.Conn, stubRequest) bool {
	return func(s *endingStub, c net.Conn, r stubRequest) bool {
		if r.URL.Path == "/once/first" {
			return respondOK("first")(c, r) // leaves an idle connection
		}
		head := "HTTP/1.1 200 OK\nX-Id: " + r.Header.Get("X-Id") + "\nX-Sign: s\n"
		if r.URL.Path == "/safe/x" || r.URL.Path == "/once/x" {
			writeWire(c, head+"\n"+firstPart)
			if end(s) {
				return false
			}
			_, _ = io.WriteString(c, secondPart)
			return false
		}
		writeWire(c, head+"Content-Type: text/event-stream\n\n")
		from, _ := strconv.Atoi(r.Header.Get("X-Last"))
		for i := from + 1; i <= eventsOfStream; i++ {
			_, _ = io.WriteString(c, event(i))
			if end(s) {
				return false
			}
		}
		return false
	}
}

func neverEnds(*endingStub) bool { return false }

// startAgain starts another process at the address of an upstream that has ended.
func startAgain(t *testing.T, s *endingStub, id string, startedAt int64) {
	var l net.Listener
	for range 100 {
		var err error
		if l, err = net.Listen("tcp", s.listener.Addr().String()); err == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if l == nil {
		t.Error("address is in use")
		return
	}
	newEndingStub(t, l, id, startedAt, respondWithoutLength(neverEnds))
}

// Responses without a length whose upstream ended within them, its connections closed in order, were passed on as
// whole.
func TestResponseThatEndsWithItsUpstreamIsWhole(t *testing.T) {
	whole := event(1) + event(2) + event(3)
	for _, end := range []struct {
		name      string
		startedAt int64 // stated by the upstream
		end       func(*testing.T, *endingStub)
	}{
		{"killed", 0, func(_ *testing.T, s *endingStub) { s.end() }},
		{"killed, start stated", 1000, func(_ *testing.T, s *endingStub) { s.end() }},
		{"next life listens at once", 1000, func(t *testing.T, s *endingStub) { s.end(); startAgain(t, s, "u1", 2000) }},
		{"another upstream has the address", 0, func(t *testing.T, s *endingStub) { s.end(); startAgain(t, s, "u9", 0) }},
		{"stopped, and listens on for a while", 1000, func(_ *testing.T, s *endingStub) { time.AfterFunc(endConfirmDelay/5, s.end) }},
		{"stopped, and listens on for a while, no start stated", 0, func(_ *testing.T, s *endingStub) { time.AfterFunc(endConfirmDelay/5, s.end) }},
		{"another upstream has the address, start stated", 1000, func(t *testing.T, s *endingStub) { s.end(); startAgain(t, s, "u9", 2000) }},
	} {
		for _, c := range []struct {
			path, body string
			status     int
			broken     bool
		}{
			{"/flow/x", whole, http.StatusOK, false},
			{"/fixed/x", event(1), http.StatusOK, true},
			{"/safe/x", firstPart + secondPart, http.StatusOK, false},
			{"/once/x", "", http.StatusBadGateway, false},
		} {
			for _, hasIdle := range []bool{false, true} {
				t.Run(fmt.Sprint(end.name, " ", c.path, " idle=", hasIdle), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					var once sync.Once
					script := respondWithoutLength(func(s *endingStub) (isEnded bool) {
						once.Do(func() { end.end(t, s); isEnded = true })
						return isEnded
					})
					u1, u2 := newEndingStub(t, listen(t), "u1", end.startedAt, script), newEndingStub(t, listen(t), "u2", end.startedAt, script)
					b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.Protocol = reportingProtocol() }, u1.stub, u2.stub)
					if hasIdle {
						b.waitFor(func() bool {
							b.connectBy("/once/first", 8)
							return b.relay.conns.idleCount("u1") > 1 && b.relay.conns.idleCount("u2") > 1
						})
					}
					got := b.do(b.request("POST", c.path, "body"))
					is.Equal(got.status, c.status)
					is.Equal(got.err != nil, c.broken) // the caller hears that the response is not whole
					if c.body != "" {
						is.Equal(got.body, c.body)
					}
				})
			}
		}
	}
}

// Sound responses without a length are whole, whatever shows that their upstream runs on.
func TestEndOfResponseWithoutLengthIsConfirmed(t *testing.T) {
	for _, c := range []struct {
		name      string
		startedAt int64 // of the upstream, in its entry
		hasIdle   bool
		health    []string // heads of its answers to health calls; the last one is repeated
		report    string   // its answer to report calls
		by        string   // in the log line; empty: the end is not confirmed
	}{
		{"older connection", 0, true, nil, reportOf(0), proofOlderConn},
		{"older connection, no report", 1000, true, nil, "HTTP/1.1 400 No\nX-Not-Run: 1\nContent-Length: 0\n\n", proofOlderConn},
		{"start", 1000, false, nil, reportOf(1000), proofStart},
		{"another start", 1000, false, nil, reportOf(1001), ""},
		{"another start on an older connection", 1000, true, nil, reportOf(1001), ""},
		{"instance", 0, false, []string{"200 OK\nX-Started: u"}, reportOf(0), proofInstance},
		{"instance, start not stated", 1000, false, []string{"200 OK\nX-Started: u"}, reportOf(0), proofInstance},
		{"instance of a leaving upstream", 0, false, []string{"503 No\nX-Started: u"}, reportOf(0), proofInstance},
		{"instance, no room at first", 0, false, []string{"503 No\nX-Not-Run: 1", "503 No\nX-Not-Run: 1", "200 OK\nX-Started: u"}, reportOf(0), proofInstance},
		{"another instance", 0, false, []string{"200 OK\nX-Started: v"}, reportOf(0), ""},
		{"no room", 0, false, []string{"503 No\nX-Not-Run: 1"}, reportOf(0), ""},
		{"no answer", 0, false, []string{""}, reportOf(0), ""},
	} {
		for _, path := range []string{"/fixed/x", "/once/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var asked atomic.Int32
				u := newStub(t, "u", func(conn net.Conn, r stubRequest) bool {
					switch r.URL.Path {
					case "/tell":
						writeWire(conn, c.report)
						return true
					case "/health":
						head := c.health[min(int(asked.Add(1)), len(c.health))-1]
						if head == "" {
							return false
						}
						writeWire(conn, "HTTP/1.1 "+head+"\nContent-Length: 0\n\n")
						return true
					}
					return respondWithoutLength(neverEnds)(nil, conn, r)
				})
				u.started = c.startedAt
				b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.Protocol = reportingProtocol() }, u)
				b.waitFor(func() bool {
					if c.hasIdle {
						b.connectBy("/once/first", 4)
					}
					return !c.hasIdle || b.relay.conns.idleCount("u") > 1
				})
				got := b.do(b.request("POST", path, "body"))
				if c.by == "" {
					is.True(got.err != nil || got.status == http.StatusBadGateway)
					b.awaitLog("run: end not confirmed")
					return
				}
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				b.awaitLog(`"by":"` + c.by + `"`)
			})
		}
	}
}

// An upstream that had closed its listener and was closing its connections still answered on an older one, so that
// responses it had not finished were whole.
func TestUpstreamThatClosesItsConnectionsConfirmsNoEnd(t *testing.T) {
	for _, startedAt := range []int64{0, 1000} {
		for _, path := range []string{"/fixed/x", "/once/x"} {
			t.Run(fmt.Sprint(startedAt, path), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				u := newEndingStub(t, listen(t), "u", startedAt, respondWithoutLength(func(s *endingStub) bool {
					_ = s.listener.Close()
					return true
				}))
				b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.Protocol = reportingProtocol() }, u.stub)
				b.waitFor(func() bool {
					b.connectBy("/once/first", 4)
					return b.relay.conns.idleCount("u") > 1
				})
				got := b.do(b.request("POST", path, "body"))
				is.True(got.err != nil || got.status == http.StatusBadGateway)
			})
		}
	}
}

// idleCount returns the number of idle connections to an upstream.
func (p *connPool) idleCount(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[idleKey{id, false}])
}

// reportOf returns a report that states a start.
func reportOf(startedAt int64) string {
	body, _ := json.Marshal(Report{StartedAt: startedAt})
	return fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n%s", len(body), body)
}

// The same where the connections to the upstream lead through another box.
func TestResponseThroughOtherBoxThatEndsWithItsUpstreamIsWhole(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
	}{{"/fixed/x", http.StatusOK}, {"/once/x", http.StatusBadGateway}} {
		for _, ends := range []bool{false, true} {
			t.Run(fmt.Sprint(c.path, " ends=", ends), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				u := newEndingStub(t, listen(t), "u", 0, respondWithoutLength(func(s *endingStub) bool {
					if ends {
						s.end()
					}
					return ends
				}))
				l := newPaths(t, u.stub)
				first, _ := startPathPairWithConfig(t, l, func(cfg *Config) { cfg.Protocol = reportingProtocol() }, u.stub)
				l.cut()
				first.relay.mu.Lock()
				first.relay.fleet.NoteUnreachable(first.relay.now(), balance.Incarnation{ID: "u"})
				first.relay.mu.Unlock()
				got := first.do(first.request("POST", c.path, "body"))
				if !ends {
					is.NoErr(got.err)
					is.Equal(got.status, http.StatusOK)
					return
				}
				is.Equal(got.status, c.status)
				is.Equal(got.err != nil, c.status == http.StatusOK)
			})
		}
	}
}

// limitConnections publishes a document in which the box may open count connections to each upstream.
func (b *testBox) limitConnections(count int) {
	b.t.Helper()
	doc := testDocument(2)
	doc.Services[0].MaxConnections = count
	b.publisher.set("document", doc, false)
	b.waitFor(func() bool { return b.relay.published.document().Version == 2 })
}

// Sound responses without a length were broken off where this box has no room for a further connection to their
// upstream: the one that was closed still counts.
func TestEndIsConfirmedAtLimitOfConnections(t *testing.T) {
	for _, limit := range []int{1, 4} {
		for _, path := range []string{"/once/x", "/fixed/x"} {
			t.Run(fmt.Sprint(path, " limit=", limit), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				u := newEndingStub(t, listen(t), "u", 1000, respondWithoutLength(neverEnds))
				b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.Protocol = reportingProtocol() }, u.stub)
				b.limitConnections(limit)
				got := make([]callerResponse, limit)
				var all sync.WaitGroup
				for i := range got {
					all.Go(func() { got[i] = b.do(b.request("POST", path, "body", "X-Id", fmt.Sprint("r", i))) })
				}
				all.Wait()
				for _, g := range got {
					is.NoErr(g.err)
					is.Equal(g.status, http.StatusOK)
				}
			})
		}
	}
}

// The same where idle connections fill the limit that cannot show that the upstream runs on.
func TestEndIsConfirmedBesideIdleConnectionsAtLimit(t *testing.T) {
	is := is.New(t)
	const limit = 4
	u := newEndingStub(t, listen(t), "u", 1000, respondWithoutLength(neverEnds))
	b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.Protocol = reportingProtocol() }, u.stub)
	b.limitConnections(limit)
	b.waitFor(func() bool {
		b.connectBy("/once/first", limit)
		return b.relay.conns.idleCount("u") == limit
	})
	b.relay.conns.mu.Lock()
	for _, c := range b.relay.conns.idle[idleKey{"u", false}] {
		c.anonymous = true // as after a report each
	}
	b.relay.conns.mu.Unlock()
	got := b.do(b.request("POST", "/once/x", "body"))
	is.Equal(got.status, http.StatusOK)
}

// A stream whose upstream was killed behind its last event goes on at one that has nothing to add.
func TestStreamIsWholeIfOtherUpstreamHasNothingToAdd(t *testing.T) {
	is := is.New(t)
	var once sync.Once
	script := func(s *endingStub, c net.Conn, r stubRequest) bool {
		if r.URL.Path == "/once/first" {
			return respondOK("first")(c, r)
		}
		writeWire(c, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\nContent-Type: text/event-stream\n\n")
		from, _ := strconv.Atoi(r.Header.Get("X-Last"))
		for i := from + 1; i <= eventsOfStream; i++ {
			_, _ = c.Write([]byte(event(i)))
		}
		once.Do(s.end)
		return false
	}
	u1, u2 := newEndingStub(t, listen(t), "u1", 0, script), newEndingStub(t, listen(t), "u2", 0, script)
	b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.Protocol = reportingProtocol() }, u1.stub, u2.stub)
	got := b.do(b.request("POST", "/flow/x", "body"))
	is.Equal(got.body, event(1)+event(2)+event(3))
	is.NoErr(got.err)
}

// A caller that leaves while an end is being confirmed costs no idle connection.
func TestLeavingCallerCostsNoIdleConnection(t *testing.T) {
	is := is.New(t)
	responded := make(chan struct{}, 1)
	u := newEndingStub(t, listen(t), "u", 1000, func(s *endingStub, c net.Conn, r stubRequest) bool {
		more := respondWithoutLength(neverEnds)(s, c, r)
		if r.URL.Path == "/once/x" {
			responded <- struct{}{}
		}
		return more
	})
	b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.Protocol = reportingProtocol() }, u.stub)
	b.waitFor(func() bool {
		b.connectBy("/once/first", 8)
		return b.relay.conns.idleCount("u") >= 3
	})
	before := b.relay.conns.idleCount("u")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-responded
		time.Sleep(endConfirmDelay / 4)
		cancel()
	}()
	b.do(b.request("POST", "/once/x", "body").WithContext(ctx))
	b.awaitLog("end not confirmed")
	after := b.relay.conns.idleCount("u")
	is.Equal(after, before-1) // the one that carried the request
}

// Sound responses without a length were broken off where their upstream had asked for a pause of a second or more.
func TestEndIsConfirmedAfterPause(t *testing.T) {
	for _, path := range []string{"/once/x", "/fixed/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			began, paused := make(chan struct{}), make(chan struct{})
			u := newEndingStub(t, listen(t), "u", 1000, func(s *endingStub, c net.Conn, r stubRequest) bool {
				if r.URL.Path == "/safe/pause" {
					writeWire(c, "HTTP/1.1 503 No\nX-Id: "+r.Header.Get("X-Id")+"\nX-Not-Run: 1\nRetry-After: 1.5\nContent-Length: 0\n\n")
					return true
				}
				close(began)
				<-paused
				return respondWithoutLength(neverEnds)(s, c, r)
			})
			b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.Protocol = reportingProtocol() }, u.stub)
			done := make(chan callerResponse, 1)
			go func() { done <- b.do(b.request("POST", path, "body")) }()
			<-began
			go b.do(b.request("POST", "/safe/pause", "body", "X-Left", "500"))
			b.waitFor(func() bool { return b.relay.isPaused(balance.Incarnation{ID: "u", StartedAt: 1000}) })
			close(paused)
			got := <-done
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
		})
	}
}
