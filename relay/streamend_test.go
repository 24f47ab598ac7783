package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// unframedMove is a stream without a length whose upstream is asked to move its run.
type unframedMove struct {
	name string
	// call answers the call to move the run, and may stop the stream first.
	call func(c net.Conn, stop func())
	// end writes what the stream still brings before its connection is closed; nil: nothing.
	end func(c net.Conn, made int)
	// whole lists the routes on which the caller gets the whole stream; on the others it is cut off.
	whole []string
	// runs is how many requests the other upstream gets on the first of these routes.
	runs int
}

// form is how the upstream writes the stream.
func (u unframedMove) form() streamForm {
	return streamForm{unframed: true, end: func(c net.Conn, made int) bool {
		if u.end != nil {
			u.end(c, made)
		}
		return false
	}}
}

// writeRest writes all events after the given one.
func writeRest(c net.Conn, made int) {
	for i := made + 1; i <= 100; i++ {
		_, _ = io.WriteString(c, event(i))
	}
}

var allStreams = []string{"/flow/x", "/fixed/x", "/single/x"}

var unframedMoves = []unframedMove{
	{"stopped and copied", func(c net.Conn, stop func()) {
		stop()
		respondCall(c, 200, "h7")
	}, nil, allStreams, 1},
	{"stopped, copied late", func(c net.Conn, stop func()) {
		stop()
		time.Sleep(moveTimeout / 3)
		respondCall(c, 200, "h7")
	}, nil, allStreams, 1},
	{"stopped, no room for the copy", func(c net.Conn, stop func()) {
		stop()
		respondCall(c, 503, "h7")
	}, nil, allStreams, 0},
	{"stopped within an event", func(c net.Conn, stop func()) {
		stop()
		respondCall(c, 200, "h7")
	}, func(c net.Conn, made int) { _, _ = io.WriteString(c, event(made + 1)[:9]) }, allStreams, 1},
	{"stopped on the last event", func(c net.Conn, stop func()) {
		stop()
		respondCall(c, 200, "h7")
	}, writeRest, allStreams, 1},
	{"stopped, no answer", func(c net.Conn, stop func()) {
		stop()
		_ = c.Close()
	}, nil, allStreams[:1], 1},
	{"stopped, answered after the wait", func(c net.Conn, stop func()) {
		stop()
		time.Sleep(moveTimeout + 100*time.Millisecond)
		respondCall(c, 200, "h7")
	}, nil, allStreams[:1], 1},
	{"stopped, answered without a copy", func(c net.Conn, stop func()) {
		stop()
		respondCall(c, 200, "")
	}, nil, allStreams[:1], 1},
	{"stopped, answered with a failure", func(c net.Conn, stop func()) {
		stop()
		respondCall(c, 500, "")
	}, nil, allStreams[:1], 1},
	{"ended by itself, no such run", func(c net.Conn, stop func()) {
		stop()
		respondCall(c, 404, "")
	}, writeRest, allStreams, 0},
	{"ended by itself before the call is answered", func(c net.Conn, stop func()) {
		stop()
		time.Sleep(moveTimeout / 3)
		respondCall(c, 404, "")
	}, writeRest, allStreams, 0},
	{"ended by itself after the call was answered", func(c net.Conn, stop func()) {
		respondCall(c, 404, "")
		time.AfterFunc(moveTimeout/5, stop)
	}, writeRest, allStreams, 0},
	{"ended by itself, call not executed", func(c net.Conn, stop func()) {
		stop()
		writeWire(c, "HTTP/1.1 503 X\nX-Not-Run: 1\nContent-Length: 0\n\n")
	}, writeRest, allStreams, 0},
	{"ended by itself, no answer", func(c net.Conn, stop func()) {
		stop()
		_ = c.Close()
	}, writeRest, allStreams[:1], 1}, // nobody knows that it was not stopped
}

// A box took the end of the connection on which it had stopped a run itself for the end of an answer
// without a length: callers got a part of the stream as complete.
func TestStreamStoppedToMoveDoesNotEndAsComplete(t *testing.T) {
	for _, test := range unframedMoves {
		for _, path := range allStreams {
			t.Run(test.name+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				m := newMovingTestBoxWithConfig(t, func(*Config) {}, newRetryArrivals(), test.form(), test.call)
				got := <-m.stream(path)
				if !slices.Contains(test.whole, path) {
					is.True(got.err != nil) // the caller hears that the stream is not complete
					is.True(strings.HasPrefix(allEvents(), got.body))
					return
				}
				is.NoErr(got.err)
				is.Equal(got.body, allEvents())
				is.Equal(len(slices.DeleteFunc(m.fast.requests(), func(r stubRequest) bool { return r.URL.Path != path })), test.runs)
			})
		}
	}
}

// The same where the connection to the upstream leads through another box.
func TestStreamStoppedThroughOtherBoxDoesNotEndAsComplete(t *testing.T) {
	for _, test := range unframedMoves {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			m := newMovingUpstreams(t, newRetryArrivals(), test.form(), test.call)
			l := newPaths(t, m.slow)
			first, second := startPathPairWithConfig(t, l, func(c *Config) { c.Protocol = movingProtocol() }, m.slow)
			m.useBox(first)
			l.cut()
			first.relay.mu.Lock()
			first.relay.fleet.NoteUnreachable(first.relay.now(), balance.Incarnation{ID: "slow"})
			first.relay.mu.Unlock()
			got := <-m.stream("/single/x")
			is.True(second.relay.stats.counterValue(tunnelsServed)+uint64(second.openTunnels()) > 0)
			if !slices.Contains(test.whole, "/single/x") {
				is.True(got.err != nil)
				is.True(strings.HasPrefix(allEvents(), got.body))
				return
			}
			is.NoErr(got.err)
			is.Equal(got.body, allEvents())
		})
	}
}

// A run that the box stopped itself, and whose copy could not be used, was taken for one that its
// upstream had cut off.
func TestStoppedRunIsNotHeldAgainstItsUpstream(t *testing.T) {
	for _, unframed := range []bool{true, false} {
		t.Run(fmt.Sprintf("unframed=%v", unframed), func(t *testing.T) {
			is := is.New(t)
			m := newMovingUpstreams(t, newRetryArrivals(), streamForm{unframed: unframed}, func(c net.Conn, stop func()) {
				stop()
				respondCall(c, 200, "h7")
			})
			m.fast = newStub(t, "fast", respondNotRun(503)) // the copy comes to nothing
			m.useBox(newTestBoxWithConfig(t, func(c *Config) { c.Protocol = movingProtocol() }, m.slow))
			got := <-m.stream("/single/x")
			is.True(got.err != nil)
			m.awaitLog(`"request: broken off"`)
			is.True(!m.closedLogContains(`"cut_off"`))
			is.True(m.log.contains("relay: read stream: stopped"))
		})
	}
}

// A caller that leaves while the box waits for the copy: the copy is freed.
func TestCopyIsFreedWhenCallerLeavesDuringMove(t *testing.T) {
	is := is.New(t)
	stopped, leave := make(chan struct{}), make(chan struct{})
	m := newMovingTestBoxWithConfig(t, func(*Config) {}, newRetryArrivals(), streamForm{unframed: true}, func(c net.Conn, stop func()) {
		stop()
		close(stopped)
		<-leave
		respondCall(c, 200, "h7")
	})
	ctx, cancel := context.WithCancel(t.Context())
	r := m.request("POST", "/single/x", "body", "X-Parts", "1:2000 2:100", "X-Expected", "100", "X-Left", "4800").WithContext(ctx)
	done := make(chan callerResponse, 1)
	go func() { done <- m.do(r) }()
	m.waitFor(func() bool { return len(m.slow.requests()) == 1 })
	m.listUpstream(m.fast, false)
	<-stopped
	cancel()
	is.True((<-done).err != nil)
	m.awaitLog(`"request: caller left"`)
	close(leave)
	m.waitFor(func() bool {
		calls := m.slow.requests()
		return calls[len(calls)-1].URL.Path == "/copy/h7"
	})
	is.Equal(len(m.fast.requests()), 0)
}

// A planned stop of the box waits for a stream that moves.
func TestStreamMovesDuringPlannedStop(t *testing.T) {
	is := is.New(t)
	asked := make(chan struct{})
	m := newMovingTestBoxWithConfig(t, func(c *Config) { c.StopTimeout = 10 * time.Second }, newRetryArrivals(), streamForm{unframed: true}, func(c net.Conn, stop func()) {
		close(asked)
		stop()
		time.Sleep(moveTimeout / 3)
		respondCall(c, 200, "h7")
	})
	done := m.stream("/single/x")
	<-asked
	go m.relay.Stop()
	got := <-done
	is.NoErr(got.err)
	is.Equal(got.body, allEvents())
}
