package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lateCall is a request that arrives at a stopping box after load balancers have stopped sending.
type lateCall struct {
	box  *testBox
	conn net.Conn
	rest string // the part of it that was not sent before the stop
}

// beginLateCall sends the first part of a request.
func (b *testBox) beginLateCall(path, left string) lateCall {
	text := strings.Replace(callerRequest(path, "late", "body"), "X-Left: 1000", "X-Left: "+left, 1)
	c := lateCall{box: b, conn: b.dialCaller(), rest: text[20:]}
	if _, err := io.WriteString(c.conn, text[:20]); err != nil {
		b.t.Fatal(err)
	}
	b.waitFor(func() bool { return b.relay.callerServer.conns.addStates(Fields{})["callers_sending"] == 1 })
	return c
}

// finish sends the rest of the request; it returns the response and whether that ends the connection.
func (c lateCall) finish() (callerResponse, bool) {
	if _, err := io.WriteString(c.conn, c.rest); err != nil {
		c.box.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return callerResponse{err: err}, true
	}
	body, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, resp.Header, string(body), err}, resp.Close
}

// A stopping box took requests late because earlier ones of their route were quick, and did not answer
// them before it ended.
func TestStoppingBoxTakesLateRequestsByEstimate(t *testing.T) {
	t.Parallel()
	block := func(release <-chan struct{}, begin func(net.Conn, stubRequest)) func(net.Conn, stubRequest) bool {
		return func(c net.Conn, r stubRequest) bool {
			begin(c, r)
			<-release
			return false
		}
	}
	nothing := func(net.Conn, stubRequest) {}
	for _, c := range []struct {
		name, path string
		begin      func(net.Conn, stubRequest) // what an upstream sends at once
		resets     int32                       // runs that fail before
	}{
		{"plain run is longer", "/once/x", nothing, 0},
		{"stream is longer", "/flow/x", func(c net.Conn, r stubRequest) { startStream(c, r); writeChunk(c, event(1)) }, 0},
		{"stream waits for a slot", "/flow/x", nothing, 0},
		{"run is sent again", "/safe/x", nothing, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			release := make(chan struct{})
			defer close(release)
			var isSlow atomic.Bool
			var runs atomic.Int32
			script := func(conn net.Conn, r stubRequest) bool {
				switch {
				case !isSlow.Load():
					return respondOK("ok")(conn, r)
				case runs.Add(1) <= c.resets:
					return false
				}
				return block(release, c.begin)(conn, r)
			}
			u, v := newStub(t, "u1", script), newStub(t, "u2", script)
			b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.StopTimeout = 4 * time.Second }, u, v)
			for i := range 20 {
				is.Equal(b.do(b.request("POST", c.path, "", "X-Id", fmt.Sprint(i))).status, 200)
			}
			isSlow.Store(true)
			late := b.beginLateCall(c.path, "30000")
			ended := b.stop()
			b.awaitClosing()
			a, closes := late.finish()
			<-ended
			if n := runs.Load(); n > 0 {
				t.Fatalf("sent on %d times, and got %+v", n, a)
			}
			is.Equal(a.status, 503)
			is.True(strings.Contains(a.body, `"ran":"no"`))
			is.Equal(a.header.Get("Retry-After"), "0.01")
			is.True(closes)
		})
	}
}

// A stopping box sent a request again although it ended before such a run does: its caller learned late
// that there was no answer, and often not that the request had not run.
func TestStoppingBoxBeginsRunThatOutlastsIt(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, route string
		first       func(net.Conn, stubRequest) bool
		status      int
		ran         string
	}{
		{"refused by its upstream", "once", respondNotRun(503), 503, "no"},
		{"broken off", "safe", func(net.Conn, stubRequest) bool { return false }, 502, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			release := make(chan struct{})
			defer close(release)
			const usual = 2 * time.Second
			var runs atomic.Int32
			script := func(conn net.Conn, r stubRequest) bool {
				if runs.Add(1) == 1 {
					time.Sleep(usual)
					return c.first(conn, r)
				}
				<-release
				return false
			}
			b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.StopTimeout = 2*usual + graceMargin - 100*time.Millisecond }, newStub(t, "u1", script), newStub(t, "u2", script))
			r := b.relay
			r.mu.Lock()
			for range 20 {
				r.runTimes.Note(c.route, usual)
			}
			r.mu.Unlock()
			ended := b.stop()
			b.waitFor(r.stopping.Load)
			a := b.do(b.request("POST", "/"+c.route+"/x", "", "X-Left", "30000"))
			is.Equal(runs.Load(), int32(1))
			is.Equal(a.status, c.status)
			is.True(strings.Contains(a.body, `"ran":"`+c.ran+`"`))
			<-ended
		})
	}
}

// A stopping box that was slow to tell the other boxes of its stop counted requests as early that came
// more than three seconds after the signal.
func TestLateRequestsCountAsEarlyIfStopBeginsSlowly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.StopTimeout = 8 * time.Second }, u)
	d := testDocument(2)
	for i := range d.Routes {
		d.Routes[i].Timeout = time.Minute
	}
	b.publisher.set("document", d, false)
	b.waitFor(func() bool { return b.relay.documentVersion() == 2 })
	late := b.beginLateCall("/once/x", "30000")
	b.relay.mu.Lock()
	ended := b.stop()
	b.waitFor(func() bool { return b.relay.stopBegan.Load() > 0 })
	time.Sleep(acceptLinger + 500*time.Millisecond)
	b.relay.mu.Unlock()
	a, _ := late.finish()
	is.Equal(a.status, 503)
	is.Equal(len(u.requests()), 0)
	<-ended
}

// A box that was told to stop while it started held requests, and told their callers to come back to it.
func TestBoxThatStopsDuringItsStartHoldsRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.StopTimeout = 20 * time.Second })
	ended := b.stop()
	b.waitFor(b.relay.stopping.Load)
	a := b.do(b.request("POST", "/once/x", ""))
	is.Equal(a.status, 503)
	is.True(strings.Contains(a.body, `"ran":"no"`))
	is.Equal(a.header.Get("Retry-After"), "0.01")
	is.Equal(b.waitedForDocument(), uint64(0))
	<-ended
}

// No line told whether a stopping box had taken a request by its own time or by an estimate.
func TestLinesTellByWhatStoppingBoxTookRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newTestBoxWithConfig(t, func(cfg *Config) { cfg.StopTimeout = 20 * time.Second }, newStub(t, "u1", respondOK("ok")))
	d := testDocument(2)
	for i := range d.Routes {
		d.Routes[i].Timeout = time.Minute
	}
	b.publisher.set("document", d, false)
	b.waitFor(func() bool { return b.relay.documentVersion() == 2 })
	late := b.beginLateCall("/once/x", "1000")
	ended := b.stop()
	b.waitFor(b.relay.stopping.Load)
	is.Equal(b.do(b.request("POST", "/once/x", "", "X-Left", "30000")).status, 200)
	b.awaitLog(`"taken_by":"estimate"`)
	b.awaitClosing()
	a, closes := late.finish()
	is.Equal(a.status, 200)
	is.True(closes)
	b.awaitLog(`"taken_by":"own time"`)
	<-ended
}
