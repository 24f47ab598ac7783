package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"iter"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/platform"
	"github.com/doormast/doormast/route"
)

// timedUpstream serves streams that take a given time, and records which requests reached it.
type timedUpstream struct {
	mu   sync.Mutex
	seen map[string]bool
}

const (
	timedService = "timed"
	timedEvents  = 10
)

// runTimes are the lengths of the streams by the path of their route.
var runTimes = map[string]time.Duration{"/brief/": 50 * time.Millisecond, "/lengthy/": 3 * time.Second}

// ServeHTTP implements http.Handler.
func (u *timedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(protocol.RequestID)
	u.mu.Lock()
	u.seen[id] = true
	u.mu.Unlock()
	w.Header().Set(protocol.RequestID, id)
	w.Header().Set(protocol.Signature, "signature "+id)
	w.Header().Set("Content-Type", "text/event-stream")
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	for prefix, took := range runTimes {
		for n := 1; strings.HasPrefix(r.URL.Path, prefix) && n <= timedEvents; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(took / timedEvents)
		}
	}
}

func (u *timedUpstream) received(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen[id]
}

// startTimed starts an upstream of timedService and publishes it with its routes.
func (w *harness) startTimed(is *is.I) *timedUpstream {
	u := &timedUpstream{seen: make(map[string]bool)}
	w.publishTimed(is, maps.Keys(runTimes), u)
	return u
}

// publishTimed publishes upstreams of timedService and a route for each path.
func (w *harness) publishTimed(is *is.I, paths iter.Seq[string], upstreams ...http.Handler) {
	w.document.Version++
	w.document.Services = append(w.document.Services, route.Service{Name: timedService, MaxConnections: 1000})
	for prefix := range paths {
		w.document.Routes = append(w.document.Routes, route.Route{Name: strings.Trim(prefix, "/"), Host: host, Prefix: prefix, Repeat: route.Stream, Resumable: true, MaxAttempts: 2,
			Timeout: 12 * time.Second, Targets: []route.Target{{Service: timedService, Weight: 1}}})
	}
	w.document.Limits.HeaderWait = 12 * time.Second
	is.NoErr(w.publish())
	for i, u := range upstreams {
		l, err := w.listen(100)
		is.NoErr(err)
		go func() { _ = http.Serve(l, u) }()
		it, err := platform.UpstreamItem(balance.Upstream{ID: fmt.Sprintf("timed-%d", i+1), StartedAt: time.Now().UnixMilli(), Service: timedService, Address: l.Addr().String(), Domain: domain(0), Slots: 500})
		is.NoErr(err)
		w.store.Put(it)
	}
}

// stopCall is a request on a connection that is open when a planned stop begins.
type stopCall struct {
	kind   string
	opened time.Duration // relative to the signal, as the other times
	begun  time.Duration // when the first part of the request is sent; equal to used if it is sent at once
	used   time.Duration // when the rest of it is sent
	path   string
	isKept bool // an earlier request was answered on the connection
	chunks bool // the body is sent in chunks
	left   int  // time that its caller waits, in ms; 0: stopCallLeft
}

// stopCallLeft exceeds the grace period.
const stopCallLeft = 12000

// stopCalls returns all kinds of connections, used for the first time at all moments of a stop.
func stopCalls() []stopCall {
	var list []stopCall
	before := -300 * time.Millisecond
	for _, used := range []time.Duration{1000, 2300, 2600, 4000, 5500, 7000, 7400} {
		used *= time.Millisecond
		for path := range runTimes {
			list = append(list,
				stopCall{kind: "kept", opened: -time.Second, begun: used, used: used, path: path, isKept: true},
				stopCall{kind: "opened before", opened: -time.Second, begun: used, used: used, path: path},
				stopCall{kind: "within the head", opened: -time.Second, begun: before, used: used, path: path},
				stopCall{kind: "within the head, kept", opened: -time.Second, begun: before, used: used, path: path, isKept: true},
				stopCall{kind: "within the body", opened: -time.Second, begun: before, used: used, path: path, chunks: true})
			for _, opened := range []time.Duration{500, 2200, 2400} {
				if opened *= time.Millisecond; opened < used {
					list = append(list, stopCall{kind: "opened after", opened: opened, begun: used, used: used, path: path})
				}
			}
		}
	}
	return list
}

// parts returns the two parts of the request.
func (s stopCall) parts(id string) (first, rest string) {
	length, body := "Content-Length: 6\r\n", "abcdef"
	if s.chunks {
		length, body = "Transfer-Encoding: chunked\r\n", "3\r\ndef\r\n0\r\n\r\n"
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", s.path+id, host, protocol.RequestID, id, protocol.Key, goodKey, protocol.TimeLeft, cmp.Or(s.left, stopCallLeft), length)
	if s.chunks {
		return head + "3\r\nabc\r\n", body
	}
	return head[:40], head[40:] + body
}

// stopResult is what the caller of a stopCall got.
type stopResult struct {
	status int  // 0: no response
	whole  bool // it is whole
	notRun bool // it states that the request has not run
}

// play makes the call. A connection that cannot be opened or used gets no response.
func (s stopCall) play(address, id string, signalled time.Time) (got stopResult) {
	until := func(d time.Duration) { time.Sleep(time.Until(signalled.Add(d))) }
	until(s.opened)
	c, err := net.Dial("tcp", address)
	if err != nil {
		return stopResult{}
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	if s.isKept {
		first := stopCall{path: "/brief/"}
		head, rest := first.parts(id + "-before")
		if _, err := io.WriteString(c, head+rest); err != nil || !readStopResult(in).whole {
			return stopResult{}
		}
	}
	head, rest := s.parts(id)
	until(s.begun)
	if _, err := io.WriteString(c, head); err != nil {
		return stopResult{}
	}
	until(s.used)
	if _, err := io.WriteString(c, rest); err != nil {
		return stopResult{}
	}
	return readStopResult(in)
}

func readStopResult(in *bufio.Reader) stopResult {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return stopResult{}
	}
	body, err := io.ReadAll(resp.Body)
	return stopResult{status: resp.StatusCode, whole: err == nil, notRun: strings.Contains(string(body), `"ran":"no"`)}
}

// A box that was told to stop sent requests on that arrived late, and cut them off when it ended.
func TestRequestsThatArriveLateInPlannedStopAreCutOff(t *testing.T) {
	is := is.New(t)
	w := startBoxes(t, 95, 1)
	u, b := w.startTimed(is), w.boxes[0]
	for known := false; !known; time.Sleep(10 * time.Millisecond) {
		known = stopCall{path: "/brief/"}.play(b.callers, "first", time.Now()).status == http.StatusOK
	}
	signalled := time.Now().Add(2 * time.Second)
	var callers sync.WaitGroup
	for n, s := range stopCalls() {
		callers.Go(func() {
			id := fmt.Sprintf("call%d", n)
			got := s.play(b.callers, id, signalled)
			switch ran := u.received(id); {
			case ran && (got.status != http.StatusOK || !got.whole):
				t.Errorf("%s, opened at %v and used at %v, path %s: sent on, and got %+v", s.kind, s.opened, s.used, s.path, got)
			case !ran && got.status != 0 && (got.status != http.StatusServiceUnavailable || !got.notRun):
				t.Errorf("%s, opened at %v and used at %v, path %s: not sent on, and got %+v", s.kind, s.opened, s.used, s.path, got)
			}
		})
	}
	time.Sleep(time.Until(signalled))
	b.beginStop()
	callers.Wait()
	<-b.ended
	b.cmd = nil
}

// startBoxes starts a harness with some boxes.
func startBoxes(t *testing.T, network, boxes int) *harness {
	is := is.New(t)
	cfg := Config{Daemon: buildDaemon(t), Dir: t.ArtifactDir(), Boxes: boxes, Net: network}
	guard, err := reserveAddresses(cfg)
	is.NoErr(err)
	t.Cleanup(func() { _ = guard.Close() })
	w := newHarness(cfg)
	t.Cleanup(w.close)
	is.NoErr(w.start())
	is.NoErr(w.awaitReady(context.Background()))
	return w
}

// beginStop asks a box to stop.
func (b *box) beginStop() {
	b.stopRequested.Store(true)
	b.signal(syscall.SIGTERM)
}
