package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

func TestPlannedStopCompletesRunningRequests(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	started := make(chan struct{})
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		close(started)
		<-release
		return respondOK("whole")(c, r)
	})
	b := newTestBox(t, u)
	result := make(chan callerResponse, 1)
	go func() { result <- b.do(b.request("POST", "/once/x", "")) }()
	<-started
	stopped := make(chan struct{})
	go func() { b.relay.Stop(); close(stopped) }()
	b.waitFor(func() bool { return !b.relay.Ready() })
	close(release)
	a := <-result
	is.Equal(a.body, "whole")
	is.Equal(a.header.Get("Connection"), "") // net/http removes "Connection: close" from the headers
	<-stopped
}

// After the grace period of a planned stop, a connection that was busy until then may deliver another
// request. It must be refused as not run; accepted, it would be lost when the process ends.
func TestRequestsAreRefusedAfterGracePeriod(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBox(t, u)
	b.relay.overGrace()
	a := b.do(b.request("POST", "/once/x", ""))
	is.Equal(a.status, 503)
	is.True(strings.Contains(a.body, `"ran":"no"`))
	is.Equal(len(u.requests()), 0)
}

// A stream still active at the end of the grace period is cut off when the process exits. The log must
// report each of them.
func TestStopLogsEachRequestItCuts(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{})
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		writeChunk(c, event(1))
		close(started)
		<-release
		return false
	})
	b := newTestBox(t, u)
	result := make(chan callerResponse, 1)
	go func() { result <- b.do(b.request("POST", "/flow/x", "")) }()
	<-started
	b.relay.Stop()
	b.awaitLog(`"msg":"box: stopped with active requests"`)
	b.awaitLog(`"msg":"request: cut by the stop"`)
	b.awaitLog(`"upstream":"u1"`)
	b.awaitLog(`"id":"id-/flow/x","level":"info","msg":"caller: cut by the stop"`)
	close(release)
	<-result
}

// Requests without a response at the end of the grace period were cut off: their callers could not tell
// whether they may have run.
func TestRequestsWithoutResponseAreCutOffAtEndOfGrace(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, path string
		begins     bool // a response begins
		accepts    bool // the upstream accepts connections
		status     int
		ran        string
	}{
		{"plain, no response", "/once/x", false, true, 502, "unknown"},
		{"plain, response begun", "/once/x", true, true, 502, "unknown"},
		{"may be repeated", "/safe/x", false, true, 502, "unknown"},
		{"stream without an event", "/flow/x", true, true, 502, "unknown"},
		{"not sent", "/once/x", false, false, 503, "no"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			release := make(chan struct{})
			defer close(release)
			u := newStub(t, "u1", func(conn net.Conn, r stubRequest) bool {
				switch {
				case c.begins && c.path == "/flow/x":
					startStream(conn, r)
				case c.begins:
					writeWire(conn, "HTTP/1.1 200 OK\nX-Id: id-"+c.path+"\nContent-Length: 10\n\nhalf")
				}
				<-release
				return false
			})
			b := newTestBox(t, u)
			if !c.accepts {
				b.relay.conns.dial = func(ctx context.Context, _ balance.Upstream) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
			}
			result := make(chan callerResponse, 1)
			go func() { result <- b.do(b.request("POST", c.path, "", "X-Left", "30000")) }()
			b.waitFor(func() bool { return b.relay.stats.openRequests.Load() == 1 })
			if c.accepts {
				b.waitFor(func() bool { return len(u.requests()) == 1 })
			}
			b.relay.Stop()
			is.Equal(b.relay.stats.openRequests.Load(), int64(0)) // the process ends now
			a := <-result
			is.NoErr(a.err)
			is.Equal(a.status, c.status)
			is.True(strings.Contains(a.body, `"ran":"`+c.ran+`"`))
		})
	}
}

// A box that stops refused what it could still have answered, or took what it could not.
func TestStoppingBoxRefusesRequestsThatEndInGrace(t *testing.T) {
	t.Parallel()
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.StopTimeout = 9 * time.Second }, u)
	d := testDocument(2)
	for i := range d.Routes {
		d.Routes[i].Timeout = time.Minute
	}
	b.publisher.set("document", d, false)
	b.waitFor(func() bool { return b.relay.documentVersion() == 2 })
	r := b.relay
	for _, c := range []struct {
		name   string
		times  time.Duration // of the requests answered before; 0: there were none
		left   string
		isLate bool
		status int
	}{
		{"its own time ends first", 0, "4000", true, 200},
		{"nothing known", 0, "30000", false, 200},
		{"nothing known, late", 0, "30000", true, 503},
		{"usually fits", 4 * time.Second, "30000", false, 200},
		{"usually fits, late", 4 * time.Second, "30000", true, 503},
		{"fits twice, late", time.Second, "30000", true, 503},
		{"does not fit", 9 * time.Second, "30000", false, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sentBefore := len(u.requests())
			r.mu.Lock()
			r.runTimes = balance.NewRunTimes()
			for range 20 {
				if c.times > 0 {
					r.runTimes.Note("once", c.times)
				}
			}
			r.mu.Unlock()
			began := time.Since(r.startedAt)
			if c.isLate {
				began -= acceptLinger
			}
			r.stopBegan.Store(int64(began))
			a := b.do(b.request("POST", "/once/x", "", "X-Left", c.left))
			r.stopBegan.Store(0)
			is.Equal(a.status, c.status)
			is.Equal(len(u.requests()) > sentBefore, c.status == 200)
			is.Equal(strings.Contains(a.body, `"ran":"no"`), c.status == 503)
		})
	}
}

// Failures of upstreams counted as run times, so that a box that stops took long requests.
func TestFailuresOfUpstreamsCountAsRunTimes(t *testing.T) {
	t.Parallel()
	for _, status := range []int{400, 500} {
		is := is.New(t)
		u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
			writeWire(c, fmt.Sprintf("HTTP/1.1 %d Failed\nX-Id: %s\nX-Sign: s\nContent-Length: 0\n\n", status, r.Header.Get("X-Id")))
			return true
		})
		b := newTestBox(t, u)
		for i := range 20 {
			is.NoErr(b.do(b.request("POST", "/once/x", "", "X-Id", fmt.Sprint(i))).err)
		}
		b.relay.mu.Lock()
		expected, _ := b.relay.runTimes.EndsInGrace(balance.StopArrival{Class: "once", TimeLeft: 12 * time.Second, Grace: time.Second})
		b.relay.mu.Unlock()
		is.Equal(expected, time.Duration(0)) // none is known
	}
}

// A stream that its upstream had finished was cut when the box ended, if its caller had not taken it yet.
func TestUntakenStreamIsLostAtEndOfGrace(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/x", "/flow/x"} {
		for _, size := range []int{60 << 10, 150 << 10, 300 << 10} {
			t.Run(fmt.Sprintf("%s %d", path, size), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				sent := make(chan struct{})
				const eventSize = 1 << 10
				data := strings.Repeat("x", eventSize)
				u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
					defer close(sent)
					if path == "/once/x" {
						return respondOK(strings.Repeat("x", size))(c, r)
					}
					startStream(c, r)
					for n := 1; n <= size/eventSize; n++ {
						writeChunk(c, fmt.Sprintf("id: %d\ndata: %s\n\n", n, data))
					}
					writeWire(c, "0\n\n")
					return true
				})
				b := newTestBox(t, u)
				c := b.dialCaller()
				is.NoErr(c.(*net.TCPConn).SetReadBuffer(16 << 10))
				_, err := io.WriteString(c, strings.Replace(callerRequest(path, "untaken", ""), "X-Left: 1000", "X-Left: 30000", 1))
				is.NoErr(err)
				<-sent
				b.relay.Stop()
				is.Equal(b.relay.callerServer.conns.count(), 0) // the process ends now
				a := readRaw(bufio.NewReader(c))
				is.NoErr(a.err)
				is.True(len(a.body) >= size)
			})
		}
	}
}
