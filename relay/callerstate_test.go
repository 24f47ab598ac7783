package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// dialCaller opens a connection of a caller.
func (b *testBox) dialCaller() net.Conn {
	b.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Close() })
	return c
}

// callerRequest returns a request as sent.
func callerRequest(path, id, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\nX-Key: secret\r\nX-Left: 1000\r\nContent-Length: %d\r\n\r\n%s", path, id, len(body), body)
}

// readRaw reads a response; status 0: there was none.
func readRaw(in *bufio.Reader) callerResponse {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return callerResponse{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, resp.Header, string(body), err}
}

// awaitClosing waits until the box closes connections at rest.
func (b *testBox) awaitClosing() { b.waitFor(b.relay.callerServer.conns.isClosing) }

// stop begins a planned stop; the channel is closed at its end.
func (b *testBox) stop() <-chan struct{} {
	ended := make(chan struct{})
	go func() { b.relay.Stop(); close(ended) }()
	return ended
}

// A connection that was opened shortly before a box ended its acceptance kept the box from its end,
// until the grace was over: "stopped with active requests" with none.
func TestUnusedConnectionDelaysPlannedStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.StopTimeout = 6 * time.Second }, u)
	ended := b.stop()
	time.Sleep(acceptLinger * 9 / 10)
	unused, kept := b.dialCaller(), b.dialCaller()
	_, err := io.WriteString(kept, callerRequest("/safe/x", "kept", ""))
	is.NoErr(err)
	is.Equal(readRaw(bufio.NewReader(kept)).status, 200)
	<-ended
	_, err = unused.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(!b.closedLogContains("stopped with active requests"))
}

// A box that stopped closed connections on which a request was arriving, while it answered others that
// arrived later.
func TestPlannedStopClosesConnectionsWithinRequest(t *testing.T) {
	t.Parallel()
	for _, isKept := range []bool{false, true} {
		t.Run(fmt.Sprintf("kept %v", isKept), func(t *testing.T) {
			is := is.New(t)
			u := newStub(t, "u1", respondOK("ok"))
			b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.StopTimeout = 20 * time.Second }, u)
			c := b.dialCaller()
			in := bufio.NewReader(c)
			if isKept {
				_, err := io.WriteString(c, callerRequest("/safe/x", "first", ""))
				is.NoErr(err)
				is.Equal(readRaw(in).status, 200)
			}
			text := callerRequest("/safe/x", "second", "the body")
			_, err := io.WriteString(c, text[:20])
			is.NoErr(err)
			b.waitFor(func() bool { return b.relay.callerServer.conns.addStates(Fields{})["callers_sending"] == 1 })
			ended := b.stop()
			b.awaitClosing()
			_, err = io.WriteString(c, text[20:])
			is.NoErr(err)
			a := readRaw(in)
			is.Equal(a.status, 200)
			<-ended // although the caller has not closed its connection
		})
	}
}

// A request that arrived at the moment at which a stopping box closed its connection was read and got no
// answer.
func TestRequestsThatCrossTheCloseAreLost(t *testing.T) {
	t.Parallel()
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.StopTimeout = 20 * time.Second }, u)
	const callers = 200
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i] = b.dialCaller()
	}
	ended := b.stop()
	closes := time.Now().Add(acceptLinger)
	var all sync.WaitGroup
	results := make([]callerResponse, callers)
	for i, c := range conns {
		all.Go(func() {
			time.Sleep(time.Until(closes.Add(time.Duration(i-callers/2) * 100 * time.Microsecond)))
			if _, err := io.WriteString(c, callerRequest("/once/x", fmt.Sprint(i), "")); err == nil {
				results[i] = readRaw(bufio.NewReader(c))
			}
		})
	}
	all.Wait()
	<-ended
	for _, q := range u.requests() {
		var i int
		if _, err := fmt.Sscan(q.Header.Get("X-Id"), &i); err != nil || results[i].status != 200 {
			t.Errorf("request %s was sent on, and got %+v", q.Header.Get("X-Id"), results[i])
		}
	}
}

// A stopping box closed a connection with a request that it had read behind the one that it answered.
func TestRequestBehindAnotherIsLostInPlannedStop(t *testing.T) {
	t.Parallel()
	for _, together := range []bool{true, false} {
		t.Run(fmt.Sprintf("sent together %v", together), func(t *testing.T) {
			is := is.New(t)
			release, started := make(chan struct{}), make(chan struct{}, 3)
			u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
				started <- struct{}{}
				<-release
				return respondOK("answer to "+r.Header.Get("X-Id"))(c, r)
			})
			b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.StopTimeout = 20 * time.Second }, u)
			c := b.dialCaller()
			first, rest := callerRequest("/once/x", "1", "body"), callerRequest("/once/x", "2", "body")+callerRequest("/once/x", "3", "")
			if together {
				first, rest = first+rest, ""
			}
			_, err := io.WriteString(c, first)
			is.NoErr(err)
			<-started
			_, err = io.WriteString(c, rest)
			is.NoErr(err)
			ended := b.stop()
			b.waitFor(b.relay.stopping.Load)
			close(release)
			in := bufio.NewReader(c)
			for _, id := range []string{"1", "2", "3"} {
				a := readRaw(in)
				is.Equal(a.status, 200)
				is.Equal(a.body, "answer to "+id)
			}
			<-ended
		})
	}
}

// A box closed a connection on which bytes had arrived that it did not read: that reset the connection,
// and its caller lost the rest of its response.
func TestResponseIsLostIfCallerSendsMore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	whole := strings.Repeat("x", 1<<20)
	release, started := make(chan struct{}), make(chan struct{})
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		close(started)
		<-release
		return respondOK(whole)(c, r)
	})
	b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.StopTimeout = 20 * time.Second }, u)
	c := b.dialCaller()
	is.NoErr(c.(*net.TCPConn).SetReadBuffer(16 << 10)) // the rest of the response stays at the box
	_, err := io.WriteString(c, callerRequest("/once/x", "1", ""))
	is.NoErr(err)
	<-started
	ended := b.stop()
	b.waitFor(b.relay.stopping.Load)
	close(release)
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.True(resp.Close)
	_, err = io.WriteString(c, "more")
	is.NoErr(err)
	got := make([]byte, len(whole)-64<<10)
	_, err = io.ReadFull(resp.Body, got)
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond) // the box has written all of it
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(got)+len(rest), len(whole))
	is.NoErr(c.Close())
	<-ended
}

// A connection that was turned away for lack of memory held up the acceptance of all others, when its
// caller had sent a request.
func TestTurnedAwayConnectionHoldsUpOthers(t *testing.T) {
	t.Parallel()
	const callers = 40
	conns := make([]net.Conn, callers)
	u := newStub(t, "u1", respondOK("ok"))
	newTestBoxWithConfig(t, func(cfg *Config) {
		cfg.Memory = 1
		for i := range conns {
			var err error
			if conns[i], err = net.Dial("tcp", cfg.CallerListener.Addr().String()); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conns[i].Close() })
			if _, err := io.WriteString(conns[i], callerRequest("/once/x", fmt.Sprint(i), "")); err != nil {
				t.Fatal(err)
			}
		}
	}, u)
	began := time.Now()
	for _, c := range conns {
		_, _ = c.Read(make([]byte, 1)) // closed or reset by the box; its caller does not close it
	}
	if took := time.Since(began); took > callers/4*drainTimeout {
		t.Errorf("%d connections were turned away in %v", callers, took)
	}
}

// slowListener returns accepted connections late, as on a busy processor.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		time.Sleep(l.delay)
	}
	return c, err
}

// A box ended while a connection was being accepted, whose request was then sent on.
func TestPlannedStopEndsWhileConnectionIsBeingAccepted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBoxWithConfig(t, func(cfg *Config) {
		cfg.StopTimeout = 20 * time.Second
		cfg.CallerListener = slowListener{cfg.CallerListener, 300 * time.Millisecond}
	}, u)
	ended := b.stop()
	time.Sleep(acceptLinger - 150*time.Millisecond)
	c := b.dialCaller()
	_, err := io.WriteString(c, callerRequest("/once/x", "accepted", ""))
	is.NoErr(err)
	<-ended
	is.Equal(b.relay.callerServer.conns.count(), 0) // the process ends now
	is.Equal(readRaw(bufio.NewReader(c)).status, 200)
}

// A connection that was opened shortly before a stopping box ended its acceptance was closed before its
// first request.
func TestPlannedStopClosesNewConnectionBeforeItsFirstRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.StopTimeout = 20 * time.Second }, u)
	ended := b.stop()
	time.Sleep(acceptLinger * 9 / 10)
	c := b.dialCaller()
	b.awaitClosing()
	_, err := io.WriteString(c, callerRequest("/once/x", "first", ""))
	is.NoErr(err)
	is.Equal(readRaw(bufio.NewReader(c)).status, 200)
	<-ended
}

// An empty line behind a request, as some callers send it, kept a stopping box up to the end of its
// grace.
func TestEmptyLineBehindRequestDelaysPlannedStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	release, started := make(chan struct{}), make(chan struct{})
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		close(started)
		<-release
		return respondOK("ok")(c, r)
	})
	b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.StopTimeout = 5 * time.Second }, u)
	c := b.dialCaller()
	_, err := io.WriteString(c, callerRequest("/once/x", "1", "body")+"\r\n")
	is.NoErr(err)
	<-started
	ended := b.stop()
	b.waitFor(b.relay.stopping.Load)
	close(release)
	is.Equal(readRaw(bufio.NewReader(c)).status, 200)
	<-ended
	is.True(!b.closedLogContains("stopped with active requests"))
}

// A connection at rest held the buffer of its last request, which was no longer charged.
func TestConnectionAtRestHoldsBufferOfItsLastRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBox(t, u)
	c := b.dialCaller()
	_, err := io.WriteString(c, callerRequest("/once/x", "1", strings.Repeat("x", 30<<10)))
	is.NoErr(err)
	is.Equal(readRaw(bufio.NewReader(c)).status, 200)
	conns := b.relay.callerServer.conns
	b.waitFor(func() bool { return conns.addStates(Fields{})["callers_idle"] == 1 })
	conns.mu.Lock()
	defer conns.mu.Unlock()
	for k := range conns.open {
		is.True(k.behind == nil)
	}
}

// A response that a box held whole was lost when the box ended, because its caller had not taken it yet.
// No request was open, and no line named it.
func TestUntakenResponseIsLostAtEndOfGrace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	whole := strings.Repeat("x", 300<<10)
	u := newStub(t, "u1", respondOK(whole))
	b := newTestBox(t, u)
	c := b.dialCaller()
	is.NoErr(c.(*net.TCPConn).SetReadBuffer(16 << 10))
	_, err := io.WriteString(c, strings.Replace(callerRequest("/once/x", "untaken", ""), "X-Left: 1000", "X-Left: 30000", 1))
	is.NoErr(err)
	b.waitFor(func() bool { return len(u.requests()) == 1 && b.relay.stats.openRequests.Load() == 0 })
	conns := b.relay.callerServer.conns
	is.Equal(conns.count(), 1)
	b.relay.Stop()
	is.Equal(conns.count(), 0) // the process ends now
	a := readRaw(bufio.NewReader(c))
	is.NoErr(a.err)
	is.Equal(len(a.body), len(whole))
}
