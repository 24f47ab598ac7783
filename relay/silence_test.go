package relay

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

// reportingProtocol is the protocol of a deployment whose upstreams report their runs.
func reportingProtocol() Protocol {
	p := testProtocol
	p.ReportCall = func() UpstreamCall { return UpstreamCall{Method: http.MethodGet, Path: "/tell"} }
	p.ParseReport = func(status int, body []byte, _ string) (Report, bool) {
		var report Report
		return report, status == http.StatusOK && json.Unmarshal(body, &report) == nil
	}
	return p
}

// respondReport answers a request with a report.
func respondReport(c net.Conn, r stubRequest, report Report) bool {
	body, err := json.Marshal(report)
	if err != nil {
		return false
	}
	return respondOK(string(body))(c, r)
}

func TestShouldAskUpstream(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	w := upstreamWait{since: start, askAfter: time.Second}
	is.True(!w.shouldAsk(start.Add(900 * time.Millisecond)))
	is.True(w.shouldAsk(start.Add(time.Second)))
	w.lastAsked = time.Second
	is.True(!w.shouldAsk(start.Add(1900 * time.Millisecond))) // the last report showed no loss: the interval doubles
	is.True(w.shouldAsk(start.Add(2 * time.Second)))
	w.confirmed = 1
	is.True(!w.shouldAsk(start.Add(1890 * time.Millisecond))) // the last report showed lost data, which may still be retransmitted
	is.True(w.shouldAsk(start.Add(1900 * time.Millisecond)))
}

func TestReportShowsLoss(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		after  time.Duration
		report Report
		want   bool
	}{
		{"all events arrived", time.Second, Report{Known: true, Events: 5}, false},
		{"one event may be in transit", time.Second, Report{Known: true, Events: 6}, false},
		{"events are missing", time.Second, Report{Known: true, Events: 7}, true},
		{"the report is outdated", time.Second, Report{Known: true, Events: 3}, false},
		{"the request may be queued", 9 * time.Second, Report{Waiting: 1}, false},
		{"the run may be too new for the report", 900 * time.Millisecond, Report{}, false},
		{"the run is unknown", time.Second, Report{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := upstreamWait{since: start, received: 5}
			is.Equal(w.showsLoss(start.Add(c.after), c.report), c.want)
		})
	}
}

// A stream whose connection falls silent continues on another upstream if its route allows
// that. The upstream is not marked unreachable, and the idle connections to it are closed.
func TestStreamLeavesSilentConnection(t *testing.T) {
	for _, c := range []struct {
		name      string
		path      string
		delivered int // events before the connection falls silent
		want      string
		state     int
		fail      bool
	}{
		{"during the answer", "/flow/x", 2, event(1) + event(2) + event(3), 200, false},
		{"before the answer", "/flow/x", 0, event(1) + event(2) + event(3), 200, false},
		{"a stream that is not resumable", "/fixed/x", 2, event(1) + event(2), 200, true},
		{"a request that may not run again", "/fixed/x", 0, "", 502, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var once sync.Once
			silence := make(chan struct{})
			defer close(silence)
			var silentID atomic.Value // ID of the upstream whose connection falls silent
			script := func(id string) func(net.Conn, stubRequest) bool {
				return func(conn net.Conn, r stubRequest) bool {
					if r.URL.Path == "/tell" {
						if id == silentID.Load() && c.delivered == 0 {
							return respondReport(conn, r, Report{})
						}
						return respondReport(conn, r, Report{Known: true, Events: 9})
					}
					if r.URL.Path == "/once/first" {
						return respondOK("ok")(conn, r)
					}
					first := false
					once.Do(func() { first = true; silentID.Store(id) })
					from, _ := strconv.Atoi(r.Header.Get("X-Last"))
					if !first || c.delivered > 0 {
						startStream(conn, r)
					}
					for i := from + 1; i <= 3; i++ {
						if first && i > c.delivered {
							<-silence
							return false
						}
						writeChunk(conn, event(i))
					}
					writeChunk(conn, "")
					return true
				}
			}
			u1, u2 := newStub(t, "u1", script("u1")), newStub(t, "u2", script("u2"))
			b := newTestBoxWithConfig(t, func(c *Config) { c.Protocol = reportingProtocol() }, u1, u2)
			a := b.do(b.request("POST", c.path, "body", "X-Parts", "1:1000"))
			is.Equal(a.status, c.state)
			is.Equal(a.err != nil, c.fail)
			if c.state == 200 {
				is.Equal(a.body, c.want)
			} else {
				is.True(strings.Contains(a.body, `"ran":"unknown"`))
			}
			b.awaitLog(`"msg":"run: silent"`)
			is.True(!b.closedLogContains(`"msg":"upstream: out of reach"`))
			asked := b.relay.stats.counterValue("upstreams_asked")
			is.True(asked >= confirmations && asked <= confirmations+2) // before the response, the first report may come too early to show loss
			b.waitFor(func() bool { return b.relay.stats.openRequests.Load() == 0 })
			b.relay.conns.mu.Lock()
			is.Equal(len(b.relay.conns.idle[idleKey{id: silentID.Load().(string)}]), 0)
			b.relay.conns.mu.Unlock()
		})
	}
}

// An upstream that is silent because it is slow keeps its run, however long that takes.
func TestSilenceAloneEndsNoRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		report Report
	}{
		{"no further events produced", Report{Known: true, Events: 1}},
		{"requests are queued", Report{Waiting: 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			asked := make(chan struct{}, 100)
			u := newStub(t, "u1", func(conn net.Conn, r stubRequest) bool {
				if r.URL.Path == "/tell" {
					asked <- struct{}{}
					return respondReport(conn, r, c.report)
				}
				startStream(conn, r)
				writeChunk(conn, event(1))
				<-asked
				<-asked // after more than a second
				writeChunk(conn, event(2))
				writeChunk(conn, "")
				return true
			})
			b := newTestBoxWithConfig(t, func(c *Config) { c.Protocol = reportingProtocol() }, u)
			a := b.do(b.request("POST", "/flow/x", "", "X-Parts", "1:1000"))
			is.NoErr(a.err)
			is.Equal(a.body, event(1)+event(2))
			is.Equal(b.relay.stats.counterValue("connections_silent"), uint64(0))
		})
	}
}

// A slow caller does not make the upstream connection look silent.
func TestSlowCallerIsNotSilence(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", func(conn net.Conn, r stubRequest) bool {
		if r.URL.Path == "/tell" {
			return respondReport(conn, r, Report{Known: true, Events: 1 << 20})
		}
		startStream(conn, r)
		text := strings.Repeat("x", 1000)
		for i := 1; i <= 1500; i++ {
			writeChunk(conn, "id: "+strconv.Itoa(i)+"\ndata: "+text+"\n\n")
		}
		writeChunk(conn, "")
		return true
	})
	b := newTestBoxWithConfig(t, func(c *Config) { c.Protocol = reportingProtocol() }, u)
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, rawRequest("/flow/x", "", "X-Parts: 1:1000"))
	is.NoErr(err)
	time.Sleep(1500 * time.Millisecond) // less than how long a caller may leave a response unread
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(body), "id: 1500\n"))
	is.Equal(b.relay.stats.counterValue("connections_silent"), uint64(0))
}

// Only failures that the upstream caused count against it.
func TestOutcomeOfBrokenStream(t *testing.T) {
	for _, c := range []struct {
		name  string
		gone  bool
		cause error
		want  balance.Outcome
	}{
		{"connection broke off", false, io.ErrUnexpectedEOF, balance.ConnectionLost},
		{"invalid events", false, errLongEvent, balance.Failed},
		{"caller left", true, net.ErrClosed, balance.Neutral},
		{"silent connection", false, errSilent, balance.Neutral},
		{"box short of memory", false, errMemoryShort, balance.Neutral},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x := &exchange{watch: &disconnectWatch{}}
			x.watch.disconnected.Store(c.gone)
			is.Equal(x.outcomeOfDisconnect(c.cause), c.want)
		})
	}
}

// Each pull opens a connection, so that none is lost on a connection that an earlier pull found
// silent.
func TestEachPullOpensAConnection(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	from := make(chan string, 2)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { from <- r.RemoteAddr })}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	client := newPullClient()
	for range 2 {
		resp, err := client.Get("http://" + l.Addr().String())
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, resp.Body)
		is.NoErr(resp.Body.Close())
	}
	first, second := <-from, <-from
	is.True(first != second)
}

// While a request is being written, its upstream does not know it and reports nothing.
func TestWritingRequestIsNotSilence(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	w := upstreamWait{since: start, sent: &requestWrite{done: make(chan error, 1)}, askAfter: time.Second}
	is.True(!w.shouldAsk(start.Add(time.Minute)))
	is.True(!w.showsLoss(start.Add(time.Minute), Report{}))
	written := start.Add(time.Minute)
	w.sent.written.Store(&written)
	is.True(!w.shouldAsk(written.Add(900 * time.Millisecond)))
	is.True(!w.showsLoss(written.Add(900*time.Millisecond), Report{}))
	is.True(w.shouldAsk(written.Add(time.Second)))
	is.True(w.showsLoss(written.Add(time.Second), Report{}))
}

// readSlowly reads from a connection in small steps.
type readSlowly struct{ net.Conn }

// Read implements net.Conn.
func (c readSlowly) Read(p []byte) (int, error) {
	time.Sleep(40 * time.Millisecond)
	return io.ReadFull(c.Conn, p[:min(len(p), 16<<10)])
}

// An upstream that reads a large body slowly keeps the run, though it does not report it yet.
func TestSlowBodyReadIsNotSilence(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 1<<20)
	l := listen(t)
	defer func() { _ = l.Close() }()
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				q := stubRequest{Request: r}
				if r.URL.Path == "/tell" {
					respondReport(c, q, Report{})
					return
				}
				left := len(body) - in.Buffered()
				for slow := (readSlowly{c}); left > 0; {
					n, err := slow.Read(make([]byte, min(left, 16<<10)))
					if left -= n; err != nil {
						return
					}
				}
				startStream(c, q)
				writeChunk(c, event(1))
				writeChunk(c, "")
			}()
		}
	}()
	u := &stub{id: "u1", listener: l}
	b := newTestBoxWithConfig(t, func(c *Config) { c.Protocol = reportingProtocol() }, u)
	a := b.do(b.request("POST", "/fixed/x", body, "X-Parts", "1:1000"))
	is.NoErr(a.err)
	is.Equal(a.status, 200)
	is.Equal(a.body, event(1))
	is.Equal(b.relay.stats.counterValue("connections_silent"), uint64(0))
}

// A response that waits in this box for memory does not count as lost on its connection.
func TestWaitForMemoryIsNotSilence(t *testing.T) {
	is := is.New(t)
	large := "id: 2\ndata: " + strings.Repeat("x", 40<<10) + "\n\n"
	full := make(chan struct{})
	u := newStub(t, "u1", func(conn net.Conn, r stubRequest) bool {
		if r.URL.Path == "/tell" {
			return respondReport(conn, r, Report{Known: true, Events: 9})
		}
		startStream(conn, r)
		writeChunk(conn, event(1))
		<-full
		writeChunk(conn, large+event(3))
		writeChunk(conn, "")
		return true
	})
	b := newTestBoxWithConfig(t, func(c *Config) { c.Protocol = reportingProtocol(); c.Memory = 8 << 20 }, u)
	done := make(chan callerResponse, 1)
	go func() { done <- b.do(b.request("POST", "/fixed/x", "", "X-Parts", "1:1000")) }()
	b.waitFor(func() bool { return b.relay.stats.openRequests.Load() == 1 && len(u.requests()) == 1 })
	others := b.relay.account.Lease()
	is.True(others.Grow(b.relay.account.Bound()-b.relay.account.Used(), 1))
	close(full)
	time.Sleep(2 * time.Second) // an upstream is asked well before that
	others.Close()
	a := <-done
	is.NoErr(a.err)
	is.Equal(a.body, event(1)+large+event(3))
	is.Equal(b.relay.stats.counterValue("connections_silent"), uint64(0))
}

// A run on a silent connection is ended once, even if it takes long to end.
func TestSilentRunIsEndedOnce(t *testing.T) {
	is := is.New(t)
	b := newTestBoxWithConfig(t, func(c *Config) { c.Protocol = reportingProtocol() })
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	x := &exchange{relay: b.relay, request: &request{prompt: Prompt{Parts: []balance.Part{{}}}}, route: &route.Route{}}
	c := &conn{Conn: near}
	b.relay.mu.Lock()
	b.relay.runConns[x] = c
	b.relay.mu.Unlock()
	x.startReadWait(nil)
	s := silentCandidate{exchange: x, conn: c, wait: x.wait.Load()}
	b.relay.endSilentRun(s, Report{})
	b.relay.endSilentRun(s, Report{})
	is.Equal(b.relay.stats.counterValue("connections_silent"), uint64(1))
	is.Equal(len(b.relay.silentCandidates(time.Now().Add(time.Minute))), 0)
	b.relay.mu.Lock()
	delete(b.relay.runConns, x)
	b.relay.mu.Unlock()
}
