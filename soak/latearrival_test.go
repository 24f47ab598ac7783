package soak

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// growingUpstreams serve streams that take 50 ms, and from a moment on longer ones by their paths.
type growingUpstreams struct {
	grown atomic.Bool
	mu    sync.Mutex
	runs  map[string]int
}

const (
	longerPath   = "/longer/"   // events go on for longer
	slowPath     = "/slow/"     // nothing is sent for a while, as by an upstream whose slots are taken
	repeatedPath = "/repeated/" // the first run breaks off before its first event, the second is longer
	briskPath    = "/brisk/"    // stays as it was
	longerRun    = 5 * time.Second
)

var growingPaths = []string{longerPath, slowPath, repeatedPath, briskPath}

// ServeHTTP implements http.Handler.
func (u *growingUpstreams) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id, grown := r.Header.Get(protocol.RequestID), u.grown.Load()
	u.mu.Lock()
	u.runs[id]++
	isFirst := u.runs[id] == 1
	u.mu.Unlock()
	pause := 50 * time.Millisecond / timedEvents
	switch {
	case !grown:
	case strings.HasPrefix(r.URL.Path, slowPath):
		time.Sleep(longerRun)
	case strings.HasPrefix(r.URL.Path, repeatedPath) && isFirst:
		resetConnection(w)
		return
	case !strings.HasPrefix(r.URL.Path, briskPath):
		pause = longerRun / timedEvents
	}
	w.Header().Set(protocol.RequestID, id)
	w.Header().Set(protocol.Signature, "signature "+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= timedEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
	}
}

// runsOf returns how many runs of a request reached the upstreams.
func (u *growingUpstreams) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// lateCalls returns requests that arrive at all moments after load balancers have stopped sending.
func lateCalls() []stopCall {
	var list []stopCall
	for _, used := range []time.Duration{2700, 4000, 5000, 6000} {
		used *= time.Millisecond
		for _, path := range growingPaths {
			call := stopCall{kind: "within the head", opened: -time.Second, begun: -300 * time.Millisecond, used: used, path: path}
			list = append(list, call)
			call.kind, call.chunks = "within the body", true
			list = append(list, call)
		}
		list = append(list, stopCall{kind: "own time ends in the grace period", opened: -time.Second, begun: -300 * time.Millisecond, used: used, path: briskPath, left: 1000})
	}
	return list
}

// A stopping box took requests late by how long earlier ones had taken, and cut off those that took longer.
func TestStoppingBoxTakesLateRequestsThatTakeLonger(t *testing.T) {
	is := is.New(t)
	w := startBoxes(t, 58, 1)
	u, b := &growingUpstreams{runs: make(map[string]int)}, w.boxes[0]
	w.publishTimed(is, slices.Values(growingPaths), u, u)
	for _, path := range growingPaths {
		for n := 0; n < 20; time.Sleep(10 * time.Millisecond) {
			if (stopCall{path: path}).play(b.callers, fmt.Sprintf("before%s%d", path, n), time.Now()).status == http.StatusOK {
				n++
			}
		}
	}
	u.grown.Store(true)
	signalled := time.Now().Add(2 * time.Second)
	var callers sync.WaitGroup
	for n, s := range lateCalls() {
		callers.Go(func() {
			id := fmt.Sprintf("call%d", n)
			got := s.play(b.callers, id, signalled)
			isWhole := got.status == http.StatusOK && got.whole
			switch runs := u.runsOf(id); {
			case s.left > 0 && !isWhole:
				t.Errorf("%s, used at %v, path %s: runs %d, and got %+v", s.kind, s.used, s.path, runs, got)
			case runs > 0 && !isWhole:
				t.Errorf("%s, used at %v, path %s: sent on %d times, and got %+v", s.kind, s.used, s.path, runs, got)
			case runs == 0 && (got.status != http.StatusServiceUnavailable || !got.notRun):
				t.Errorf("%s, used at %v, path %s: not sent on, and got %+v", s.kind, s.used, s.path, got)
			}
		})
	}
	time.Sleep(time.Until(signalled))
	b.beginStop()
	callers.Wait()
	<-b.ended
	b.cmd = nil
}
