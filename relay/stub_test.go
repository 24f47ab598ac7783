package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/route"
	"github.com/doormast/doormast/wire"
)

// testProtocol is the protocol of the deployment that the tests use.
var testProtocol = Protocol{
	RequestID: "X-Id", TimeLeft: "X-Left", Key: "X-Key", Customer: "X-Customer", Instance: "X-Instance", CurrentInstance: "X-Started", NotExecuted: "X-Not-Run", Limit: "X-Limit", Brittle: "X-Brittle", Leaving: "X-Leaving", RetryAfter: "Retry-After",
	Signature: "X-Sign", Priority: "X-Priority", LastEvent: "X-Last", FetchFrom: "X-Fetch", KVHandle: "X-Memory", Resumes: "X-Resumes", Priorities: 10,
	Reserved:      []ReservedHeader{{Name: "X-Aside", Purpose: "a place is set aside"}},
	PromptHeaders: []string{"X-Parts"},
	Prompt: func(get func(string) string) Prompt {
		var p Prompt
		for _, s := range strings.Fields(get("X-Parts")) {
			var part balance.Part
			if _, err := fmt.Sscanf(s, "%d:%d", &part.ID, &part.Tokens); err != nil {
				return Prompt{}
			}
			p.Parts = append(p.Parts, part)
			p.Tokens += part.Tokens
		}
		_, _ = fmt.Sscan(get("X-Expected"), &p.Expected)
		return p
	},
}

// stubRequest is a request received by an upstream.
type stubRequest struct {
	*http.Request
	body string
}

// stub is an upstream whose responses a script writes.
type stub struct {
	id       string
	listener net.Listener
	script   func(c net.Conn, r stubRequest) bool // returns false to close the connection
	software string                               // stated in its entry
	started  int64                                // the same, Unix ms; 0: not stated

	mu       sync.Mutex
	received []stubRequest
	closed   chan struct{} // receives a value for each connection that the box closed
}

func newStub(t testing.TB, id string, script func(net.Conn, stubRequest) bool) *stub {
	t.Helper()
	return newStubOn(t, listen(t), id, script)
}

// newStubOn is newStub with a given listener.
func newStubOn(t testing.TB, l net.Listener, id string, script func(net.Conn, stubRequest) bool) *stub {
	t.Helper()
	s := &stub{id: id, listener: l, script: script, closed: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *stub) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			s.closed <- struct{}{}
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		q := stubRequest{r, string(body)}
		s.mu.Lock()
		s.received = append(s.received, q)
		s.mu.Unlock()
		if !s.script(c, q) {
			return
		}
	}
}

func (s *stub) requests() []stubRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]stubRequest(nil), s.received...)
}

// writeWire writes the lines of a response with CRLF line endings.
func writeWire(c net.Conn, text string) {
	_, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
}

// respondOK returns a script that responds with the given body.
func respondOK(body string) func(net.Conn, stubRequest) bool {
	return func(c net.Conn, r stubRequest) bool {
		writeWire(c, fmt.Sprintf("HTTP/1.1 200 OK\nX-Id: %s\nX-Sign: s\nContent-Length: %d\n\n%s", r.Header.Get("X-Id"), len(body), body))
		return true
	}
}

// respondNotRun returns a script that responds that the request was not run.
func respondNotRun(status int) func(net.Conn, stubRequest) bool {
	return func(c net.Conn, r stubRequest) bool {
		writeWire(c, fmt.Sprintf("HTTP/1.1 %d No\nX-Id: %s\nX-Not-Run: 1\nContent-Length: 0\n\n", status, r.Header.Get("X-Id")))
		return true
	}
}

// startStream writes the header of an event stream.
func startStream(c net.Conn, r stubRequest) {
	writeWire(c, fmt.Sprintf("HTTP/1.1 200 OK\nX-Id: %s\nX-Sign: s\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n", r.Header.Get("X-Id")))
}

// writeChunk writes a chunk of a chunked body.
func writeChunk(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id) }

// fakePublisher is a publisher whose items the test sets.
type fakePublisher struct {
	mu          sync.Mutex
	mirror      *mirror.Mirror
	changed     chan struct{}
	unavailable bool
}

var _ mirror.Publisher = (*fakePublisher)(nil)

var errUnavailable = errors.New("down")

func newFakePublisher() *fakePublisher {
	b := &fakePublisher{mirror: mirror.New(), changed: make(chan struct{})}
	b.mirror.Load(nil, 1)
	return b
}

// setUnavailable makes all reads fail, or serves them again.
func (b *fakePublisher) setUnavailable(unavailable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unavailable = unavailable
}

func (b *fakePublisher) set(key string, v any, gone bool) {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.mirror.Revision()
	b.mirror.Apply(r, r+1, []mirror.Item{{Key: key, Value: value, Revision: r + 1, Deleted: gone}})
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *fakePublisher) ReadAll(context.Context) ([]mirror.Item, uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unavailable {
		return nil, 0, errUnavailable
	}
	return b.mirror.Items(), b.mirror.Revision(), nil
}

func (b *fakePublisher) Changes(ctx context.Context, after uint64, wait time.Duration) ([]mirror.Item, uint64, error) {
	b.mu.Lock()
	changed := b.changed
	now := b.mirror.Revision()
	b.mu.Unlock()
	if now == after {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unavailable {
		return nil, 0, errUnavailable
	}
	items, ok := b.mirror.Since(after)
	if !ok {
		return nil, 0, mirror.ErrHistoryExpired
	}
	return items, b.mirror.Revision(), nil
}

// decodeItem decodes the published items: the document, an evacuated domain, or an upstream, whose key
// is its ID.
func decodeItem(it mirror.Item) (Update, error) {
	if it.Key == "document" {
		var d route.Document
		if err := json.Unmarshal(it.Value, &d); err != nil {
			return Update{}, err
		}
		doc, err := route.New(d)
		return Update{Document: doc}, err
	}
	if domain, ok := strings.CutPrefix(it.Key, "evacuate/"); ok {
		if it.Deleted {
			return Update{Restored: domain}, nil
		}
		return Update{Evacuated: domain}, nil
	}
	if it.Deleted {
		return Update{Removed: it.Key}, nil
	}
	u := new(balance.Upstream)
	if err := json.Unmarshal(it.Value, u); err != nil {
		return Update{Invalid: it.Key}, err
	}
	return Update{Upstream: u}, nil
}

// testBox is a running relay with its publisher, addresses and log.
type testBox struct {
	t         testing.TB
	relay     *Relay
	publisher *fakePublisher
	url       string
	ready     string
	log       lockedBuffer // the log written by the relay
}

// lockedBuffer is a text buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

var _ io.Writer = (*lockedBuffer)(nil)

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lockedBuffer) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), s)
}

func testDocument(version uint64) route.Document {
	service := []route.Target{{Service: "s", Weight: 1}}
	return route.Document{Version: version,
		Routes: []route.Route{
			{Name: "safe", Host: "h.example", Prefix: "/safe/", Repeat: route.Repeatable, MaxAttempts: 2, Timeout: 5 * time.Second, Targets: service},
			{Name: "once", Host: "h.example", Prefix: "/once/", Repeat: route.Once, MaxAttempts: 2, Timeout: 5 * time.Second, Targets: service},
			{Name: "brief", Host: "h.example", Prefix: "/brief/", Repeat: route.Once, MaxAttempts: 1, Timeout: 200 * time.Millisecond, Targets: service},
			{Name: "flow", Host: "h.example", Prefix: "/flow/", Repeat: route.Stream, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second, Targets: service},
			{Name: "fixed", Host: "h.example", Prefix: "/fixed/", Repeat: route.Stream, MaxAttempts: 2, Timeout: 5 * time.Second, Targets: service},
			{Name: "single", Host: "h.example", Prefix: "/single/", Repeat: route.Stream, MaxAttempts: 1, Timeout: 5 * time.Second, Targets: service},
			{Name: "open", Host: "h.example", Prefix: "/open/", Public: true, MaxAttempts: 1, Timeout: 5 * time.Second, Targets: service},
		},
		Services:  []route.Service{{Name: "s", MaxConnections: 100, HealthPath: "/health"}},
		Customers: []route.Customer{{Name: "customer", Keys: []string{"secret"}}},
		Limits:    route.Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 20},
	}
}

// plentyOfRetries is a retry budget that denies none, also to a box that has just started.
var plentyOfRetries = balance.BudgetConfig{Ratio: 100, Window: 10 * time.Second}

// newTestBox starts a relay in front of the stubs. If stubs is nil, no upstream is listed and no
// document is published.
func newTestBox(t *testing.T, stubs ...*stub) *testBox {
	t.Helper()
	return newTestBoxWithProtocol(t, testProtocol, stubs...)
}

// newTestBoxWithProtocol is newTestBox with another protocol.
func newTestBoxWithProtocol(t *testing.T, protocol Protocol, stubs ...*stub) *testBox {
	t.Helper()
	return newTestBoxWithConfig(t, func(c *Config) { c.Protocol = protocol }, stubs...)
}

// newTestBoxWithConfig is newTestBox with a configuration modified by change.
func newTestBoxWithConfig(t testing.TB, change func(*Config), stubs ...*stub) *testBox {
	t.Helper()
	b := &testBox{t: t, publisher: newFakePublisher()}
	if stubs != nil {
		b.publisher.set("document", testDocument(1), false)
	}
	for _, s := range stubs {
		b.listUpstream(s, false)
	}
	callers, ready := listen(t), listen(t)
	log := NewLog("box", &b.log)
	var err error
	cfg := Config{Box: "box", Domain: "d", CallerListener: callers, ReadinessListener: ready, Self: &wire.GroupBox{Name: "box", Domain: "d", Boot: 1},
		Timing: group.DefaultTiming, Protocol: testProtocol, Publisher: b.publisher, Decode: decodeItem, Log: log,
		Budget: plentyOfRetries, Limits: balance.LimitBounds{Span: allowedSpan, Overshoot: allowedFactor, Slack: allowedSlack}, Tuning: balance.DefaultTuning,
		FirstStart: true, Boxes: 1, StopTimeout: time.Second}
	change(&cfg)
	b.relay, err = Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b.url, b.ready = "http://"+callers.Addr().String(), "http://"+ready.Addr().String()
	t.Cleanup(func() { b.stopSoon(); _ = log.Close() })
	if stubs != nil {
		b.waitFor(func() bool { return b.relay.Ready() && b.upstreamCount() == len(stubs) })
	}
	return b
}

// stopSoon stops the box at the end of a test, without the time for which a stopping box accepts
// connections.
func (b *testBox) stopSoon() {
	b.relay.cfg.StopTimeout = min(b.relay.cfg.StopTimeout, graceMargin+20*time.Millisecond)
	b.relay.Stop()
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (b *testBox) listUpstream(s *stub, leaving bool) {
	b.publisher.set(s.id, balance.Upstream{ID: s.id, Service: "s", Address: s.listener.Addr().String(), Domain: "d", Slots: 8, Leaving: leaving, Software: s.software, StartedAt: s.started}, false)
}

func (b *testBox) upstreamCount() int {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	return len(b.relay.fleet.IDs())
}

// waitFor waits up to 10 s for a condition and fails the test if it does not become true.
func (b *testBox) waitFor(done func() bool) {
	b.t.Helper()
	for range 2000 {
		if done() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.t.Fatal("timed out waiting for a condition")
}

// awaitLog waits until the log, which a goroutine of its own writes, contains a text.
func (b *testBox) awaitLog(text string) {
	b.t.Helper()
	b.waitFor(func() bool { return b.log.contains(text) })
}

// closedLogContains reports whether the log contains a text after everything logged so far is written.
// Nothing is logged afterwards.
func (b *testBox) closedLogContains(text string) bool {
	_ = b.relay.cfg.Log.Close() // never fails
	return b.log.contains(text)
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error // reading the body
}

func (b *testBox) request(method, path, body string, header ...string) *http.Request {
	b.t.Helper()
	r, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Id", "id-"+path)
	r.Header.Set("X-Key", "secret")
	r.Header.Set("X-Left", "4000")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func (b *testBox) do(r *http.Request) callerResponse {
	b.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, resp.Header, string(body), err}
}

func newEmptyFleet() *balance.Fleet { return balance.NewFleet(balance.Config{Domain: "d"}) }

func upstreamOf(id string) *balance.Upstream { return &balance.Upstream{ID: id, Service: "s"} }
