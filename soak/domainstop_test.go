package soak

// This file defines planned stops of boxes of one failure domain while upstreams stop as well. The invariant: streams
// that a box sent on are answered whole by their first run, which their upstreams finish.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/platform"
	"github.com/doormast/doormast/route"
)

const (
	finishingService = "finishing"
	finishingPath    = "/finishing/"
	finishingEvents  = 20
	// finishingLag is how long the store is behind an upstream that stops.
	finishingLag = 500 * time.Millisecond
)

// finishingUpstream serves streams whose path tells how long they take. When it stops, it closes its listener first and
// finishes its runs.
type finishingUpstream struct {
	entry   balance.Upstream
	harness *harness
	server  *http.Server
	count   *runCount
	mu      sync.Mutex
	runs    map[string]int // by ID of a running request, the number of events sent
}

// runCount counts the runs of each request at all upstreams.
type runCount struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCount) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *runCount) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// startFinishing starts an upstream at an address and publishes it.
func (w *harness) startFinishing(t *testing.T, count *runCount, id, address, domain string) *finishingUpstream {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	u := &finishingUpstream{harness: w, count: count, runs: make(map[string]int),
		entry: balance.Upstream{ID: id, StartedAt: time.Now().UnixMilli(), Service: finishingService, Address: l.Addr().String(), Domain: domain, Slots: 300, Software: softwareVersions[0]}}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	t.Cleanup(func() { _ = u.server.Close() })
	u.publish(t)
	return u
}

func (u *finishingUpstream) publish(t *testing.T) {
	t.Helper()
	it, err := platform.UpstreamItem(u.entry)
	if err != nil {
		t.Fatal(err)
	}
	u.harness.store.Put(it)
}

// stop stops the upstream; the store tells of it later.
func (u *finishingUpstream) stop(t *testing.T) {
	t.Helper()
	go func() { _ = u.server.Shutdown(context.Background()) }()
	time.Sleep(finishingLag)
	u.entry.Leaving = true
	u.publish(t)
}

// ServeHTTP implements http.Handler.
func (u *finishingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if call := protocol.ReportCall(); r.Method == call.Method && r.URL.Path == call.Path {
		u.writeReport(w)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	text, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, finishingPath), "/")
	work, err := strconv.Atoi(text)
	if err != nil {
		return
	}
	id := r.Header.Get(protocol.RequestID)
	w.Header().Set(protocol.RequestID, id)
	w.Header().Set(protocol.Signature, u.entry.ID+" "+id)
	w.Header().Set("Content-Type", "text/event-stream")
	u.count.add(id)
	defer u.note(func() { delete(u.runs, id) })
	from, err := strconv.Atoi(r.Header.Get(protocol.LastEvent))
	if err != nil {
		from = 0
	}
	for n := from + 1; n <= finishingEvents && r.Context().Err() == nil; n++ {
		u.note(func() { u.runs[id] = n })
		if !sendPart(w, streamEvent(id, n, u.entry.Software)) {
			return
		}
		time.Sleep(time.Duration(work) * time.Millisecond / finishingEvents)
	}
}

func (u *finishingUpstream) note(change func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change()
}

// writeReport responds with the running requests and their progress.
func (u *finishingUpstream) writeReport(w http.ResponseWriter) {
	u.mu.Lock()
	body, err := platform.EncodeReport(u.entry.StartedAt, u.runs)
	u.mu.Unlock()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}

// finishingCall is a request for a stream.
type finishingCall struct {
	box  *box
	id   string
	at   time.Duration // relative to the signal
	work int           // ms
}

// finishingCalls returns streams of several lengths at some boxes around a stop, and brief ones that find the upstreams
// that have closed their listeners.
func finishingCalls(boxes ...*box) (list []finishingCall) {
	for _, b := range boxes {
		add := func(at time.Duration, work int) {
			list = append(list, finishingCall{b, fmt.Sprintf("%s-%d", b.name, len(list)), at, work})
		}
		for _, at := range []time.Duration{-1500, -300, 50} {
			for _, work := range []int{1200, 2500, 3500, 5000} {
				add(at*time.Millisecond, work)
				add(at*time.Millisecond, work)
			}
		}
		for at := 250 * time.Millisecond; at < 1500*time.Millisecond; at += 25 * time.Millisecond {
			add(at, 20)
		}
	}
	return list
}

// play makes the call, and returns its status and body.
func (c finishingCall) play() (status int, body string, err error) {
	conn, err := net.Dial("tcp", c.box.callers)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "POST %s%d/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: 1\r\n\r\nx", finishingPath, c.work, host,
		protocol.RequestID, c.id, protocol.Key, goodKey, protocol.TimeLeft, stopCallLeft); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(got), err
}

// Streams of stopping boxes were cut off by the boxes at upstreams that were stopping as well and finished them.
func TestStoppingBoxesCutOffStreamsAtStoppingUpstreams(t *testing.T) {
	is := is.New(t)
	w := startBoxes(t, 120, 6)
	w.document.Version++
	w.document.Services = append(w.document.Services, route.Service{Name: finishingService, MaxConnections: 2000})
	w.document.Routes = append(w.document.Routes, route.Route{Name: finishingService, Host: host, Prefix: finishingPath, Repeat: route.Stream, Resumable: true, MaxAttempts: 2,
		Timeout: stopCallLeft * time.Millisecond, Targets: []route.Target{{Service: finishingService, Weight: 1}}})
	is.NoErr(w.publish())
	count := &runCount{runs: make(map[string]int)}
	var upstreams []*finishingUpstream
	for n := range 5 {
		upstreams = append(upstreams, w.startFinishing(t, count, fmt.Sprint("finishing-", n), fmt.Sprintf("127.0.%d.100:0", w.cfg.Net), domain(n)))
	}
	for _, b := range w.boxes {
		for known := false; !known; time.Sleep(watchStep) {
			status, _, _ := finishingCall{b, "before-" + b.name, 0, 20}.play()
			known = status == http.StatusOK
		}
	}
	signalled := time.Now().Add(2 * time.Second)
	calls := finishingCalls(w.boxes[0], w.boxes[2], w.boxes[4]) // of one domain
	var all sync.WaitGroup
	for _, c := range calls {
		all.Go(func() {
			time.Sleep(time.Until(signalled.Add(c.at)))
			status, body, err := c.play()
			want, runs := finishingBody(c.id), count.of(c.id)
			if status != http.StatusOK || err != nil || body != want || runs != 1 {
				t.Errorf("%s, sent at %v, takes %d ms: %d runs, %d %v, %d bytes of %d", c.id, c.at, c.work, runs, status, err, len(body), len(want))
			}
		})
	}
	time.Sleep(time.Until(signalled))
	w.boxes[0].beginStop()
	w.boxes[2].beginStop()
	time.Sleep(200 * time.Millisecond)
	all.Go(func() { upstreams[0].stop(t) })
	for n, address := range map[int]string{1: fmt.Sprintf("127.0.%d.100:0", w.cfg.Net), 2: upstreams[2].entry.Address} {
		all.Go(func() {
			upstreams[n].stop(t)
			time.Sleep(finishingLag)
			w.startFinishing(t, count, upstreams[n].entry.ID, address, upstreams[n].entry.Domain)
		})
	}
	all.Wait()
	for _, b := range []*box{w.boxes[0], w.boxes[2]} {
		<-b.ended
		b.cmd = nil
	}
}

// finishingBody returns the whole stream of a request.
func finishingBody(id string) string {
	var events strings.Builder
	for n := 1; n <= finishingEvents; n++ {
		events.WriteString(streamEvent(id, n, softwareVersions[0]))
	}
	return events.String()
}
