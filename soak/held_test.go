package soak

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLostRequestsOnHeldConnections(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for _, c := range []struct {
		name                  string
		unreached, notStopped bool
		sent, finished, cutAt float64 // seconds after SIGTERM; finished 0: it is not
		harm                  syscall.Signal
		want                  bool
	}{
		{name: "closed in the grace period", sent: 1, cutAt: 2.6, want: true},
		{name: "closed before its upstream got it", sent: 1, cutAt: 2.6, unreached: true},
		{name: "sent late and closed at the end", sent: 5, cutAt: 7.5, want: true},
		{name: "sent early and still running at the end", sent: 1, cutAt: 7.5},
		{name: "sent before the stop and still running at the end", sent: -2, cutAt: 7.5},
		{name: "sent early and finished long before the end", sent: 1, finished: 2, cutAt: 7.5, want: true},
		{name: "sent early and finished near the end", sent: 1, finished: 7.4, cutAt: 7.5},
		{name: "box was not asked to stop", notStopped: true, cutAt: 1, want: true},
		{name: "its time was over", notStopped: true, cutAt: 12.1},
		{name: "box was killed", sent: 1, cutAt: 2.6, harm: syscall.SIGKILL},
		{name: "box was frozen", sent: 1, cutAt: 2.6, harm: syscall.SIGSTOP},
		{name: "got its response", sent: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := &heldRequest{life: new(life), sentAt: at(c.sent), reached: !c.unreached}
			if !c.notStopped {
				stopped := start
				r.life.terminated.Store(&stopped)
			}
			if c.finished > 0 {
				r.finished = at(c.finished)
			}
			if c.cutAt > 0 {
				r.cutAt = at(c.cutAt)
			}
			if c.harm != 0 {
				r.life.signaled(c.harm)
			}
			is.Equal(r.isLost(), c.want)
		})
	}
}

// A process that was frozen counts as sound again on connections that were opened after it was resumed.
func TestFrozenBoxIsSoundAfterItWasResumed(t *testing.T) {
	is := is.New(t)
	l := new(life)
	l.signaled(syscall.SIGSTOP)
	is.True(l.frozen.Load())
	l.signaled(syscall.SIGCONT)
	r := &heldRequest{life: l, harms: l.harms.Load(), sentAt: time.Now(), reached: true, cutAt: time.Now()}
	is.True(r.isLost())
	l.signaled(syscall.SIGTERM)
	l.signaled(syscall.SIGTERM)
	is.Equal(l.harms.Load(), r.harms)
	is.True(l.terminated.Load() != nil)
}

// closingBox answers each request, or closes its connection once its upstream has run it.
type closingBox struct {
	harness *harness
	closes  func(id string) bool
}

// ServeHTTP implements http.Handler.
func (b *closingBox) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(protocol.RequestID)
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	b.harness.held.update(id, func(h *heldRequest) { h.reached = true })
	if b.closes(id) {
		resetConnection(w)
		return
	}
	w.Header().Set(protocol.Signature, "upstream "+id)
	_, _ = io.WriteString(w, responseBody(id))
}

// ended returns how many requests got a response or were cut.
func (h *heldRecord) ended() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, r := range h.requests {
		if r.responded || !r.cutAt.IsZero() {
			n++
		}
	}
	return n
}

func TestChecksOfHeldConnectionsFindBoxThatClosesThem(t *testing.T) {
	for name, closes := range map[string]func(id string) bool{
		"answers all":        func(string) bool { return false },
		"closes all":         func(string) bool { return true },
		"closes second ones": func(id string) bool { return strings.HasSuffix(id, "-behind") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(Config{Boxes: 1})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server := &http.Server{Handler: &closingBox{w, closes}}
			go func() { _ = server.Serve(l) }()
			defer func() { _ = server.Close() }()
			b := &box{name: "box", harness: w, callers: l.Addr().String()}
			b.life.Store(new(life))
			w.boxes = []*box{b}
			ctx, cancel := context.WithCancel(context.Background())
			var holders sync.WaitGroup
			for i := range 300 {
				holders.Go(func() { w.hold(ctx, i) })
			}
			for w.held.ended() < 100 {
				time.Sleep(watchStep)
			}
			cancel()
			holders.Wait()
			is.Equal(len(w.checker.violations), 0)
			w.held.check(w.checker.reportViolation)
			is.Equal(len(w.checker.violations) > 0, closes("-behind"))
		})
	}
}
