package soak

// This file defines the simulated upstreams: they run requests, sometimes refuse them or break the response, and
// report to the checker which requests arrived and ran.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doormast/doormast/platform"
)

// upstream is one incarnation of a simulated upstream.
type upstream struct {
	id, domain      string
	service         string
	software        string // version
	startedAt       int64  // Unix time in milliseconds
	harness         *harness
	proxy           *proxy
	server          *http.Server
	coldUntil       time.Time
	advertisedLimit *advertisedLimit
	leaving         atomic.Bool // announce leaving in responses
	pausing         atomic.Bool // refuse requests and request a pause

	stopped         atomic.Bool // it has ended, or is published as leaving
	conns           *processConns
	endedAt         atomic.Int64 // Unix time in nanoseconds; 0: it has not ended
	isNextLife      bool         // another upstream listened at its address before
	listedAt        atomic.Int64 // when the store got its entry, as endedAt
	endsAfterAnswer atomic.Bool  // it ends after its next answer without a length
	unfinishedPlain atomic.Int32 // plain answers without a length of which a part is missing

	mu   sync.Mutex
	runs map[string]int // by id of a running request, the number of events sent
}

// protocol has the header names of the deployment, which the boxes use too.
var protocol = platform.Protocol()

// startUpstream starts an upstream that is cold for the given duration, and publishes it.
func (w *harness) startUpstream(i int, cold time.Duration) error {
	u, err := w.newUpstream(service, i, cold)
	if err != nil {
		return err
	}
	w.registerUpstream(u)
	w.upstreams = append(w.upstreams, u)
	w.publishUpstream(u, false)
	return nil
}

// newUpstream starts an upstream that is not published yet.
func (w *harness) newUpstream(service string, i int, cold time.Duration) (*upstream, error) {
	l, err := w.listen(100)
	if err != nil {
		return nil, err
	}
	w.upstreamCount++
	g, err := w.newProxy(100, l.Addr().String(), &w.pathDelay)
	if err != nil {
		return nil, err
	}
	u := &upstream{id: fmt.Sprintf("u%d-%d", i, w.upstreamCount), service: service, software: softwareVersions[(i/2+w.upstreamCount/8)%len(softwareVersions)], domain: domain(i), startedAt: time.Now().UnixMilli(), harness: w, proxy: g,
		coldUntil: time.Now().Add(cold), advertisedLimit: w.newAdvertisedLimit(), runs: make(map[string]int)}
	u.serve(l)
	return u, nil
}

// registerUpstream records u as the current incarnation of its id.
func (w *harness) registerUpstream(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstreamsByID[u.id] = u
}

// upstreamByID returns the latest incarnation of an upstream, or nil if there is none.
func (w *harness) upstreamByID(id string) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstreamsByID[id]
}

func (u *upstream) serve(l net.Listener) {
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Second}
	u.conns = newProcessConns(l)
	go func() { _ = u.server.Serve(u.conns) }()
}

func (u *upstream) close() {
	u.proxy.close()
	u.crash()
}

// crash ends the upstream at once, without notice to the store or the boxes.
func (u *upstream) crash() { u.end(ending{}, nil) }

const (
	eventsPerStream = 6
	eventPause      = 15 * time.Millisecond
	maxWorkMs       = 30 // ms
)

// responseBody returns the body of the plain response to a request, which is unique to the request id.
func responseBody(id string) string { return "answer to " + id + strings.Repeat(".", len(id)*8) }

// streamEvent returns the nth server-sent event of the response of a software version to a request, counted from 1.
func streamEvent(id string, n int, software string) string {
	return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", n, id, n, software)
}

// ServeHTTP runs a request; at random it refuses some, truncates some responses and drops others.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.leaving.Load() {
		w.Header().Set(protocol.Leaving, "1")
	}
	if call := protocol.ReportCall(); r.Method == call.Method && r.URL.Path == call.Path {
		u.writeReport(w)
		return
	}
	id := r.Header.Get(protocol.RequestID)
	w.Header().Set(protocol.RequestID, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request body is incomplete
	}
	u.harness.checker.requestArrived(u, id, string(body), r.Header.Get(protocol.Customer), r.Header.Get(protocol.Instance))
	if r.Header.Get(protocol.Instance) != u.id {
		w.Header().Set(protocol.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.advertisedLimit.requestArrived(u, u.harness.checker.boxOf(id))
	u.advertisedLimit.setHeader(w.Header())
	if u.refuseWithPause(w, id) {
		return
	}
	switch outcome := rand.IntN(100); {
	case string(body) == fatalBody:
		u.harness.fatal.requestArrived(u.harness.checker, id, &u.harness.fatal.request)
		u.harness.crashOnFatal(u)
		return
	case hasFatalPart(r):
		u.harness.crashOnPart(u, w, id, r.URL.Path)
		return
	case u.service == healthyService:
	case outcome < 4, u.fails():
		u.harness.checker.checkColdRate(u)
		w.Header().Set(protocol.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case outcome < 7:
		u.harness.checker.checkColdRate(u)
		u.harness.checker.executed(id)
		resetConnection(w) // the response is lost
		return
	}
	u.harness.checker.checkColdRate(u)
	u.harness.checker.executed(id)
	u.harness.unframed.executed(id)
	u.setProgress(id, 0)
	defer u.clearProgress(id)
	w.Header().Set(protocol.Signature, u.id+" "+id)
	if isStream(r.URL.Path) {
		u.stream(w, r, id)
		return
	}
	if hasPrefix(r.URL.Path, heldPath) {
		u.runHeld(w, r, id)
		return
	}
	time.Sleep(time.Duration(rand.IntN(maxWorkMs)) * time.Millisecond)
	if u.harness.cfg.OnlyEnds {
		u.sendWhole(w, id)
		return
	}
	switch rand.IntN(faultyShare) {
	case 0:
		truncateResponse(w, id)
	case 1:
		sendStaleResponse(w, u.id, id)
	case 2:
		sendWithoutEnd(w)
	case 3:
		cutHead(w, u.id, id)
	case 4:
		sendMalformedHead(w, u.id, id)
	default:
		u.sendWhole(w, id)
	}
}

// sendWhole sends a whole plain response; one in unframedShare has neither a length nor chunks.
func (u *upstream) sendWhole(w http.ResponseWriter, id string) {
	body := responseBody(id)
	if rand.IntN(unframedShare) > 0 {
		_, _ = io.WriteString(w, body)
		return
	}
	w.Header().Set("Transfer-Encoding", "identity")
	if !sendPart(w, body[:len(body)/2]) {
		return
	}
	u.unfinishedPlain.Add(1)
	time.Sleep(time.Duration(rand.IntN(maxWorkMs)) * time.Millisecond)
	u.unfinishedPlain.Add(-1)
	if !sendPart(w, body[len(body)/2:]) {
		return
	}
	time.Sleep(time.Duration(rand.IntN(maxWorkMs)) * time.Millisecond)
	u.finished(id)
}

// sendPart sends a part of a body, and reports whether it was written.
func sendPart(w http.ResponseWriter, part string) bool {
	_, err := io.WriteString(w, part)
	return err == nil && http.NewResponseController(w).Flush() == nil
}

func isStream(path string) bool {
	return strings.HasPrefix(path, "/flow/") || strings.HasPrefix(path, "/fixed/")
}

// stream sends the events after the request's last event id; one in ten streams is truncated within an event, and
// one in unframedShare has neither a length nor chunks.
func (u *upstream) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	isUnframed := rand.IntN(unframedShare) == 0
	if isUnframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	from, err := strconv.Atoi(r.Header.Get(protocol.LastEvent))
	if err != nil {
		from = 0
	}
	cut := eventsPerStream + 1
	if rand.IntN(10) == 0 {
		cut = 1 + rand.IntN(eventsPerStream)
	}
	for n := from + 1; n <= eventsPerStream; n++ {
		event := streamEvent(id, n, u.software)
		if n == cut {
			event = event[:len(event)/2]
		}
		if !sendPart(w, event) {
			return
		}
		u.setProgress(id, n)
		if n == cut {
			resetConnection(w)
			return
		}
		time.Sleep(eventPause)
	}
	if isUnframed {
		u.finished(id)
	}
}

// One in unframedShare streams and plain responses ends with its connection.
const unframedShare = 3

// setProgress records how many events of a running request have been sent.
func (u *upstream) setProgress(id string, events int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id] = events
}

func (u *upstream) clearProgress(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.runs, id)
}

// writeReport responds with the running requests and their progress.
func (u *upstream) writeReport(w http.ResponseWriter) {
	u.mu.Lock()
	body, err := platform.EncodeReport(u.startedAt, u.runs)
	u.mu.Unlock()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}

// resetConnection resets the connection of a response.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		reset(c)
	}
}
