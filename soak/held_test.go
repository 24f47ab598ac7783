package soak

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
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
		sent, finished, cutAt float64       // seconds after SIGTERM; finished 0: it is not
		left                  time.Duration // 0: heldWait
		failed                bool
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
		{name: "sent just after the load balancers' last and closed at the end", sent: 3.1, cutAt: 7.5, want: true},
		{name: "finished before the last sixth", sent: 1, finished: 6.6, cutAt: 7.5, want: true},
		{name: "sent late, failed at the box", sent: 4, failed: true, want: true},
		{name: "sent late with little time, failed at the box", sent: 4, left: briefWait, failed: true},
		{name: "sent early, failed at the box", sent: 1, failed: true},
		{name: "sent late with little time, closed when it was over", sent: 4, left: briefWait, cutAt: 5.6},
		{name: "sent late with little time, closed before", sent: 4, left: briefWait, cutAt: 5.4, want: true},
		{name: "box was not asked to stop", notStopped: true, cutAt: 1, want: true},
		{name: "its time was over", notStopped: true, cutAt: 12.1},
		{name: "box was killed", sent: 1, cutAt: 2.6, harm: syscall.SIGKILL},
		{name: "box was frozen", sent: 1, cutAt: 2.6, harm: syscall.SIGSTOP},
		{name: "got its response", sent: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := &heldRequest{life: new(life), sentAt: at(c.sent), left: cmp.Or(c.left, heldWait), reached: !c.unreached, failed: c.failed}
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
	r := &heldRequest{life: l, harms: l.harms.Load(), sentAt: time.Now(), left: heldWait, reached: true, cutAt: time.Now()}
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
	answerHeld(w, r, id)
}

// answerHeld answers a request as its upstream does.
func answerHeld(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set(protocol.Signature, "upstream "+id)
	body := responseBody(id)
	if strings.HasPrefix(r.URL.Path, heldStreamPath) {
		body = heldEvents(id, 1, eventsPerStream)
	}
	_, _ = io.WriteString(w, body)
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

// lateBox is a box long after it was asked to stop.
type lateBox struct {
	harness *harness
	takes   func(left time.Duration) bool
	ends    func(w http.ResponseWriter, r *http.Request, id string) // what it takes, after it has run
}

// ServeHTTP implements http.Handler.
func (b *lateBox) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(protocol.RequestID)
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	left, _ := strconv.Atoi(r.Header.Get(protocol.TimeLeft))
	if !b.takes(time.Duration(left) * time.Millisecond) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.harness.held.update(id, func(h *heldRequest) { h.reached = true })
	b.ends(w, r, id)
}

func TestChecksOfHeldConnectionsFindBoxThatTakesLateRequests(t *testing.T) {
	all := func(time.Duration) bool { return true }
	brief := func(left time.Duration) bool { return left < heldWait }
	cut := func(w http.ResponseWriter, r *http.Request, id string) {
		if _, isStream := strings.CutPrefix(r.URL.Path, heldStreamPath); !isStream {
			answerHeld(w, r, id)
			return
		}
		w.Header().Set(protocol.Signature, "upstream "+id)
		_, _ = io.WriteString(w, heldEvents(id, 1, 1))
		_ = http.NewResponseController(w).Flush()
		resetConnection(w)
	}
	fail := func(w http.ResponseWriter, _ *http.Request, _ string) { w.WriteHeader(http.StatusBadGateway) }
	for _, c := range []struct {
		name  string
		takes func(left time.Duration) bool
		ends  func(w http.ResponseWriter, r *http.Request, id string)
		found bool
	}{
		{"takes none", func(time.Duration) bool { return false }, nil, false},
		{"answers all", all, answerHeld, false},
		{"answers those with little time", brief, answerHeld, false},
		{"cuts streams", all, cut, true},
		{"cuts streams with little time", brief, cut, true},
		{"fails what has run", all, fail, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newHarness(Config{Boxes: 1})
			stopped := time.Now().Add(-lateAfter)
			w.playHeld(is, &lateBox{w, c.takes, c.ends}, &stopped)
			is.Equal(len(w.checker.violations), 0)
			w.held.check(w.checker.reportViolation)
			is.Equal(len(w.checker.violations) > 0, c.found)
		})
	}
}

// playHeld lets callers hold connections to a box until 100 requests have ended.
func (w *harness) playHeld(is *is.I, h http.Handler, stopped *time.Time) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	b := &box{name: "box", harness: w, callers: l.Addr().String()}
	b.life.Store(new(life))
	b.life.Load().terminated.Store(stopped)
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
			w.playHeld(is, &closingBox{w, closes}, nil)
			is.Equal(len(w.checker.violations), 0)
			w.held.check(w.checker.reportViolation)
			is.Equal(len(w.checker.violations) > 0, closes("-behind"))
		})
	}
}
