package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// withMemoryBound sets the memory bound of a box.
func withMemoryBound(bytes int64) func(*Config) { return func(c *Config) { c.Memory = bytes } }

// dialBox connects to the box as a caller with a small receive buffer.
func (b *testBox) dialBox() *net.TCPConn {
	b.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = conn.Close() })
	c := conn.(*net.TCPConn)
	_ = c.SetReadBuffer(16 << 10)
	return c
}

// rawRequest returns a request in wire format.
func rawRequest(path, body string, header ...string) string {
	head := []string{"POST " + path + " HTTP/1.1", "Host: h.example", "X-Id: id-" + path, "X-Key: secret", "X-Left: 4000"}
	if body != "" {
		header = append(header, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	return strings.Join(append(head, header...), "\r\n") + "\r\n\r\n" + body
}

// servedWithin is how long the callers of these tests wait.
const servedWithin = 4 * time.Second

// minuteLeft is the time that a caller states which waits for a minute.
const minuteLeft = "60000"

// patient returns a request in wire format whose caller waits for a minute.
func patient(raw string) string {
	return strings.Replace(raw, "X-Left: 4000", "X-Left: "+minuteLeft, 1)
}

// allowMinute lets requests and their headers take a minute.
func (b *testBox) allowMinute() {
	b.t.Helper()
	doc := testDocument(2)
	doc.Limits.HeaderWait = time.Minute
	for i := range doc.Routes {
		doc.Routes[i].Timeout = time.Minute
	}
	b.publisher.set("document", doc, false)
	b.waitFor(func() bool { return b.relay.published.document().Version == 2 })
}

// isIdle reports whether no request is active and only the given number of callers' connections is
// charged to the memory account.
func (b *testBox) isIdle(connections int64) bool {
	return b.relay.stats.openRequests.Load() == 0 && b.relay.account.Used() == connections*callerBytes
}

// endlessStream writes events of 1,000 bytes until the connection fails.
func endlessStream(c net.Conn, r stubRequest) bool {
	startStream(c, r)
	text := strings.Repeat("x", 1000)
	for i := 1; ; i++ {
		if _, err := fmt.Fprintf(c, "%x\r\nid: %d\ndata: %s\n\n\r\n", len(fmt.Sprintf("id: %d\ndata: %s\n\n", i, text)), i, text); err != nil {
			return true // the next read detects the closed connection
		}
	}
}

// activeHandlers returns the number of goroutines that serve callers' connections, as counted by this
// box's server. Counting the stacks of the whole process would include goroutines left over from
// earlier tests.
func (b *testBox) activeHandlers() int {
	return int(b.relay.callerServer.server.GetCurrentConcurrency())
}

// Only the limit on reading ends these requests: their own time is a minute.
func TestCallersThatReadNothingAreCutOff(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", endlessStream)
	b := newTestBoxWithConfig(t, withMemoryBound(64<<20), u)
	b.allowMinute()
	const callers = 20
	for i := range callers {
		_, err := io.WriteString(b.dialBox(), patient(rawRequest(fmt.Sprintf("/flow/%d", i), "")))
		is.NoErr(err)
	}
	clock := startRunningClock(t)
	b.waitFor(func() bool {
		return b.activeHandlers() == callers || b.relay.stats.counterValue(callersCutOff) > 0
	})
	b.waitFor(func() bool { return len(u.closed) >= callers })
	is.True(clock.elapsed() <= servedWithin)
	b.waitFor(func() bool { // records of where streams began are kept for as long as their callers wait
		return b.relay.stats.openRequests.Load() == 0 && b.relay.account.Used() == b.relay.origins.lease.Held()
	})
	b.waitFor(func() bool { return b.activeHandlers() == 0 })
	is.Equal(b.relay.stats.counterValue(callersCutOff), uint64(callers))
	b.awaitLog(`"msg":"request: caller does not read"`)
	is.True(!b.closedLogContains(`"msg":"run: failed"`)) // the upstream is not blamed
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	for _, row := range b.relay.fleet.View(b.relay.now()) {
		is.True(!row.Unreachable)
	}
}

// A caller that does not read its response is cut off even if the response is not a stream.
func TestUnreadNonStreamResponseIsCutOff(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondOK(strings.Repeat("x", 2<<20)))
	b := newTestBoxWithConfig(t, withMemoryBound(64<<20), u)
	_, err := io.WriteString(b.dialBox(), rawRequest("/once/x", ""))
	is.NoErr(err)
	b.waitFor(func() bool { return b.relay.stats.counterValue(callersCutOff) == 1 && b.isIdle(0) })
	b.awaitLog("takes nothing")
}

// A caller that stopped reading for some seconds, with time left, lost the rest of a response that the
// box held whole. While memory is short it still does.
func TestCallerThatPausesLosesItsResponse(t *testing.T) {
	whole := strings.Repeat("x", 3<<20)
	for _, test := range []struct {
		name  string
		held  int64 // by others
		isCut uint64
	}{
		{"memory is free", 0, 0},
		{"memory is short", 40 << 20, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestBoxWithConfig(t, withMemoryBound(64<<20), newStub(t, "u1", respondOK(whole)))
			c := b.dialBox()
			_, err := io.WriteString(c, rawRequest("/once/x", ""))
			is.NoErr(err)
			_, err = io.ReadFull(c, make([]byte, 32<<10))
			is.NoErr(err)
			others := b.relay.account.Lease()
			defer others.Close()
			is.True(others.Grow(test.held, fullShare))
			time.Sleep(writeStallTimeout + 3*writeCheckInterval)
			is.Equal(b.relay.stats.counterValue(callersCutOff), test.isCut)
			_, err = io.CopyN(io.Discard, c, int64(len(whole)-32<<10))
			is.Equal(err != nil, test.isCut > 0)
		})
	}
}

// A caller that reads slowly but steadily gets the whole response, however long it takes.
func TestSlowlyReadingCallerIsNotCutOff(t *testing.T) {
	is := is.New(t)
	whole := strings.Repeat("x", 700<<10)
	u := newStub(t, "u1", respondOK(whole))
	b := newTestBoxWithConfig(t, withMemoryBound(64<<20), u)
	c := b.dialBox()
	_, err := io.WriteString(c, rawRequest("/once/x", ""))
	is.NoErr(err)
	read := 0
	buf := make([]byte, 64<<10)
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1<<10), nil)
	is.NoErr(err)
	for range 8 { // 4 s, twice the time that a caller may read nothing
		n, err := io.ReadFull(resp.Body, buf)
		is.NoErr(err)
		read += n
		time.Sleep(500 * time.Millisecond)
	}
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(read+len(rest), len(whole))
	is.Equal(b.relay.stats.counterValue(callersCutOff), uint64(0))
}

func TestRequestsArrivingInPiecesAreServed(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBoxWithConfig(t, withMemoryBound(1<<20), u)
	c := b.dialBox()
	in := bufio.NewReader(c)
	send := func(text string) {
		_, err := io.WriteString(c, text)
		is.NoErr(err)
	}
	answer := func() {
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
	}
	for _, piece := range strings.SplitAfter(rawRequest("/once/a", "b o d y"), " ") {
		send(piece)
		time.Sleep(time.Millisecond)
	}
	answer()
	// Several requests at once and part of another one, with small and large bodies.
	large := strings.Repeat("l", 2*maxCollectedBody)
	all := rawRequest("/once/b", "one") + rawRequest("/once/c", large) + rawRequest("/once/d", "") + rawRequest("/once/e", "last")
	cut := len(all) - len("HTTP/1.1\r\n") - 40
	send(all[:cut])
	answer()
	answer()
	send(all[cut:])
	answer()
	answer()
	bodies := make([]string, 0, 5)
	for _, r := range u.requests() {
		bodies = append(bodies, r.body)
	}
	is.Equal(bodies, []string{"b o d y", "one", large, "", "last"})
	is.NoErr(c.Close())
	b.waitFor(func() bool { return b.isIdle(0) })
}

// A request whose body does not fit into memory is refused before the body is read, and reported as
// not run.
func TestBodyBeyondMemoryBoundIsRefused(t *testing.T) {
	body := strings.Repeat("x", 900<<10)
	for _, c := range []struct {
		name   string
		change func(r *http.Request)
	}{
		{"known length", func(*http.Request) {}},
		{"chunked", func(r *http.Request) { r.ContentLength, r.Body = -1, io.NopCloser(strings.NewReader(body)) }},
		{"sent after 100 Continue", func(r *http.Request) { r.Header.Set("Expect", "100-continue") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := newStub(t, "u1", respondOK("ok"))
			b := newTestBoxWithConfig(t, withMemoryBound(1<<20), u)
			r := b.request("POST", "/once/x", body)
			c.change(r)
			a := b.do(r)
			is.NoErr(a.err)
			is.Equal(a.status, 503)
			is.True(a.header.Get("Retry-After") != "")
			is.Equal(a.header.Get("X-Id"), "id-/once/x")
			is.True(strings.Contains(a.body, `"ran":"no"`))
			is.Equal(len(u.requests()), 0)
			is.Equal(b.relay.stats.counterValue(callersTurnedAway), uint64(1))
			is.True(b.relay.account.Peak() <= 1<<20)
			b.waitFor(func() bool { return b.isIdle(0) })
			is.Equal(b.do(b.request("POST", "/once/x", "small")).status, 200)
		})
	}
}

// When little memory is left, the most urgent requests are still served.
func TestMostUrgentRequestsAreRefusedLast(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBoxWithConfig(t, withMemoryBound(1<<20), u)
	doc := testDocument(2)
	for i := range doc.Routes {
		if doc.Routes[i].Name == "once" {
			doc.Routes[i].Rank = 9
		}
	}
	b.publisher.set("document", doc, false)
	b.waitFor(func() bool { return b.relay.published.document().Version == 2 })
	others := b.relay.account.Lease()
	is.True(others.Grow(600<<10, 1))
	is.Equal(b.do(b.request("POST", "/once/x", "")).status, 503)
	is.Equal(b.do(b.request("POST", "/safe/x", "")).status, 200)
	others.Close()
	is.Equal(b.do(b.request("POST", "/once/x", "")).status, 200)
}

// An upstream that does not read a request's body delays the request no longer than its timeout.
func TestUpstreamReadingBodySlowlyIsBoundedByTimeout(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	defer func() { _ = l.Close() }()
	var ended sync.WaitGroup
	ended.Go(func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		buf := make([]byte, 16)
		for err == nil { // until the box resets the connection
			_, err = c.Read(buf)
			time.Sleep(time.Millisecond)
		}
		_ = c.Close()
	})
	b := newTestBoxWithConfig(t, withMemoryBound(64<<20), newStub(t, "other", respondOK("ok")))
	b.publisher.set("other", nil, true)
	b.publisher.set("u1", balance.Upstream{ID: "u1", Service: "s", Address: l.Addr().String(), Domain: "d", Slots: 8}, false)
	b.waitFor(func() bool { return b.lists("u1") && !b.lists("other") })
	a := b.do(b.request("POST", "/brief/x", strings.Repeat("x", 1<<20)))
	is.Equal(a.status, 504) // the request may have run
	b.waitFor(func() bool { return b.isIdle(0) })
	ended.Wait()
}

// If the response arrives while a large body is still being sent, the server must not reuse the body's
// buffer for the next request.
func TestEarlyResponseDoesNotMixBodies(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	defer func() { _ = l.Close() }()
	var mixed atomic.Int64
	var done sync.WaitGroup
	done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			done.Go(func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				mine := []byte(r.Header.Get("X-Body"))
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("X-Id"))
				body, _ := io.ReadAll(r.Body) // until the box drops the connection
				if len(bytes.Trim(body, string(mine))) > 0 {
					mixed.Add(1)
				}
			})
		}
	})
	b := newTestBoxWithConfig(t, withMemoryBound(64<<20), newStub(t, "other", respondOK("ok")))
	b.publisher.set("other", nil, true)
	b.publisher.set("u1", balance.Upstream{ID: "u1", Service: "s", Address: l.Addr().String(), Domain: "d", Slots: 8}, false)
	b.waitFor(func() bool { return b.lists("u1") && !b.lists("other") })
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			letter := string(rune('a' + i))
			for range 10 {
				_ = b.do(b.request("POST", "/safe/"+letter, strings.Repeat(letter, 900<<10), "X-Body", letter))
			}
		})
	}
	callers.Wait()
	_ = l.Close()
	b.waitFor(func() bool { return b.isIdle(0) })
	done.Wait()
	is.Equal(mixed.Load(), int64(0))
}

// lists reports whether the box lists an upstream that is not leaving.
func (b *testBox) lists(id string) bool {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	for _, u := range b.relay.fleet.View(b.relay.now()) {
		if u.ID == id && !u.Leaving {
			return true
		}
	}
	return false
}

// addSlowCallers adds callers that read nothing of a stream (readers), or send a few bytes per second
// (senders).
func (b *testBox) addSlowCallers(readers, senders int) {
	b.t.Helper()
	for i := range readers {
		if _, err := io.WriteString(b.dialBox(), patient(rawRequest(fmt.Sprintf("/flow/%d", i), ""))); err != nil {
			b.t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	b.t.Cleanup(func() { cancel(); done.Wait() })
	for i := range senders {
		c := b.dialBox()
		text := rawRequest(fmt.Sprintf("/once/%d", i), strings.Repeat("x", 30<<10))
		done.Go(func() {
			for ctx.Err() == nil && len(text) > 0 {
				if _, err := io.WriteString(c, text[:8]); err != nil {
					return
				}
				text = text[8:]
				sleep(ctx, time.Second)
			}
		})
	}
}

// slowStream writes an event of 1,000 bytes every 2 ms.
func slowStream(c net.Conn, r stubRequest) bool {
	if !strings.HasPrefix(r.URL.Path, "/flow") {
		return respondOK("ok")(c, r)
	}
	startStream(c, r)
	if strings.HasPrefix(r.URL.Path, "/flow/quiet") {
		writeChunk(c, event(1))
		_, _ = c.Read(make([]byte, 1)) // until the box closes the connection
		return false
	}
	text := strings.Repeat("x", 1000)
	for i := 1; i < 2000; i++ {
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, text)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
		time.Sleep(2 * time.Millisecond)
	}
	return false
}

// Normal callers are served beside hundreds of callers that read nothing or send a few bytes per
// second, both while the responses of the former begin and when all of them hold all the memory that
// they may.
func TestHealthyCallersAreServedBesideSlowOnes(t *testing.T) {
	is := is.New(t)
	const bound, readers = 40 << 20, 80 // of the 100 connections that the service allows
	u := newStub(t, "u1", slowStream)
	b := newTestBoxWithConfig(t, withMemoryBound(bound), u)
	b.allowMinute()
	b.addSlowCallers(readers, 200)
	clock := startRunningClock(t)
	is.Equal(b.countNotServed(clock), 0)
	b.waitFor(func() bool {
		return b.relay.account.Used() >= readers*unreadBytes || b.relay.stats.counterValue(callersCutOff) > 0
	})
	is.Equal(b.countNotServed(clock), 0)
	is.True(b.relay.account.Peak() <= bound)
	is.Equal(b.relay.stats.counterValue(callersTurnedAway), uint64(0))
}

// countNotServed sends 300 requests, ten at a time, and returns how many of them were not answered by
// the upstream within servedWithin.
func (b *testBox) countNotServed(clock *runningClock) int {
	b.t.Helper()
	var failed atomic.Int64
	var healthy sync.WaitGroup
	for i := range 10 {
		healthy.Go(func() {
			for j := range 30 {
				began := clock.elapsed()
				r := b.request("POST", fmt.Sprintf("/once/s%d-%d", i, j), "body", "X-Left", minuteLeft)
				if b.do(r).status != 200 || clock.elapsed()-began > servedWithin {
					failed.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	healthy.Wait()
	return int(failed.Load())
}

// The document limits how long a connection may be idle and how long a header may take to arrive.
func TestDocumentBoundsHeaderAndIdleTimes(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBoxWithConfig(t, withMemoryBound(1<<20), u)
	doc := testDocument(2)
	doc.Limits.HeaderWait, doc.Limits.IdleWait = 150*time.Millisecond, 100*time.Millisecond
	b.publisher.set("document", doc, false)
	b.waitFor(func() bool { return b.relay.published.document().Version == 2 })
	for _, c := range []struct {
		name string
		sent string
		want []int // statuses of the responses before the connection is closed
	}{
		{"idle", rawRequest("/once/x", "body"), []int{200}},
		{"incomplete header", "POST /once/x HTTP/1.1\r\nHost: h", []int{408}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn := b.dialBox()
			_, err := io.WriteString(conn, c.sent)
			is.NoErr(err)
			in := bufio.NewReader(conn)
			for _, status := range c.want {
				resp, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, status)
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			_, err = in.ReadByte()
			is.Equal(err, io.EOF)
		})
	}
	// A body may take longer to arrive than a header.
	conn := b.dialBox()
	whole := rawRequest("/once/y", "a body that is late")
	_, err := io.WriteString(conn, whole[:len(whole)-4])
	is.NoErr(err)
	time.Sleep(300 * time.Millisecond)
	_, err = io.WriteString(conn, whole[len(whole)-4:])
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
}

// The state for operators reports used memory, refused requests and disconnected callers.
func TestStateReportsMemory(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBoxWithConfig(t, withMemoryBound(1<<20), u)
	c := b.dialBox()
	b.waitFor(func() bool { return b.isIdle(1) })
	is.Equal(b.do(b.request("POST", "/once/x", strings.Repeat("x", 900<<10))).status, 503)
	b.waitFor(func() bool { return b.isIdle(1) })
	m := b.relay.state().Memory
	is.Equal([]uint64{m.Bound, m.Used, m.TurnedAway, m.CutOff}, []uint64{1 << 20, callerBytes, 1, 0})
	b.awaitLog(`"msg":"caller: turned away"`)
	var text bytes.Buffer
	b.relay.WriteMetrics(&text)
	is.True(strings.Contains(text.String(), "memory_bound_bytes 1048576\n"))
	is.True(strings.Contains(text.String(), "callers_turned_away 1\n"))
	is.NoErr(c.Close())
}
