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

// tellingProtocol is that of a deployment whose upstreams tell what runs on them.
func tellingProtocol() Protocol {
	p := testProtocol
	p.ReportCall = func() UpstreamCall { return UpstreamCall{Method: http.MethodGet, Path: "/tell"} }
	p.ParseReport = func(status int, body []byte, _ string) (Report, bool) {
		var report Report
		return report, status == http.StatusOK && json.Unmarshal(body, &report) == nil
	}
	return p
}

// tell answers with a report.
func tell(c net.Conn, r stubRequest, report Report) bool {
	body, err := json.Marshal(report)
	if err != nil {
		return false
	}
	return respondOK(string(body))(c, r)
}

func TestWhenAnUpstreamIsAsked(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	w := wait{since: start, limit: time.Second}
	is.True(!w.due(start.Add(900 * time.Millisecond)))
	is.True(w.due(start.Add(time.Second)))
	w.asked = time.Second
	is.True(!w.due(start.Add(1900 * time.Millisecond))) // all was well: ever more seldom
	is.True(w.due(start.Add(2 * time.Second)))
	w.proofs = 1
	is.True(!w.due(start.Add(1890 * time.Millisecond))) // something was missing: what was lost may still come
	is.True(w.due(start.Add(1900 * time.Millisecond)))
}

func TestWhatShowsThatAConnectionIsSilent(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		after  time.Duration
		report Report
		want   bool
	}{
		{"all has come", time.Second, Report{Known: true, Events: 5}, false},
		{"one may be under way", time.Second, Report{Known: true, Events: 6}, false},
		{"events were made", time.Second, Report{Known: true, Events: 7}, true},
		{"what it tells is old", time.Second, Report{Known: true, Events: 3}, false},
		{"it may wait", 9 * time.Second, Report{Waiting: 1}, false},
		{"it may have come just now", 900 * time.Millisecond, Report{}, false},
		{"it is not there", time.Second, Report{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := wait{since: start, came: 5}
			is.Equal(w.missing(start.Add(c.after), c.report), c.want)
		})
	}
}

// A stream whose connection falls silent goes on elsewhere where it may; nothing is said
// against the upstream, and nobody else is sent into its resting connections.
func TestAStreamLeavesAConnectionThatFellSilent(t *testing.T) {
	for _, c := range []struct {
		name  string
		path  string
		came  int // events before the silence
		want  string
		state int
		fail  bool
	}{
		{"within the answer", "/flow/x", 2, event(1) + event(2) + event(3), 200, false},
		{"before the answer", "/flow/x", 0, event(1) + event(2) + event(3), 200, false},
		{"a stream that may not go on", "/fixed/x", 2, event(1) + event(2), 200, true},
		{"one that may not run again", "/fixed/x", 0, "", 502, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var once sync.Once
			silence := make(chan struct{})
			defer close(silence)
			var quiet atomic.Value // id of the upstream whose connection falls silent
			script := func(id string) func(net.Conn, stubRequest) bool {
				return func(conn net.Conn, r stubRequest) bool {
					if r.URL.Path == "/tell" {
						if id == quiet.Load() && c.came == 0 {
							return tell(conn, r, Report{})
						}
						return tell(conn, r, Report{Known: true, Events: 9})
					}
					if r.URL.Path == "/once/first" {
						return respondOK("ok")(conn, r)
					}
					first := false
					once.Do(func() { first = true; quiet.Store(id) })
					from, _ := strconv.Atoi(r.Header.Get("X-Last"))
					if !first || c.came > 0 {
						startStream(conn, r)
					}
					for i := from + 1; i <= 3; i++ {
						if first && i > c.came {
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
			b := newTestBoxWithConfig(t, func(c *Config) { c.Protocol = tellingProtocol() }, u1, u2)
			a := b.do(b.request("POST", c.path, "body", "X-Parts", "1:1000"))
			is.Equal(a.status, c.state)
			is.Equal(a.err != nil, c.fail)
			if c.state == 200 {
				is.Equal(a.body, c.want)
			} else {
				is.True(strings.Contains(a.body, `"ran":"unknown"`))
			}
			b.waitFor(func() bool { return b.log.contains(`"msg":"run: silent"`) })
			is.True(!b.log.contains(`"msg":"upstream: out of reach"`))
			asked := b.relay.stats.counted("upstreams_asked")
			is.True(asked >= proofs && asked <= proofs+2) // before the answer it may be too early at first
			b.waitFor(func() bool { return b.relay.stats.open.Load() == 0 })
			b.relay.conns.mu.Lock()
			is.Equal(len(b.relay.conns.idle[quiet.Load().(string)]), 0)
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
		{"it has made no more", Report{Known: true, Events: 1}},
		{"it has something waiting", Report{Waiting: 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			asked := make(chan struct{}, 100)
			u := newStub(t, "u1", func(conn net.Conn, r stubRequest) bool {
				if r.URL.Path == "/tell" {
					asked <- struct{}{}
					return tell(conn, r, c.report)
				}
				startStream(conn, r)
				writeChunk(conn, event(1))
				<-asked
				<-asked // after more than a second
				writeChunk(conn, event(2))
				writeChunk(conn, "")
				return true
			})
			b := newTestBoxWithConfig(t, func(c *Config) { c.Protocol = tellingProtocol() }, u)
			a := b.do(b.request("POST", "/flow/x", "", "X-Parts", "1:1000"))
			is.NoErr(a.err)
			is.Equal(a.body, event(1)+event(2))
			is.Equal(b.relay.stats.counted("connections_silent"), uint64(0))
		})
	}
}

// A caller that is slow to take its answer makes no connection look silent.
func TestACallerThatIsSlowIsNoSilence(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", func(conn net.Conn, r stubRequest) bool {
		if r.URL.Path == "/tell" {
			return tell(conn, r, Report{Known: true, Events: 1 << 20})
		}
		startStream(conn, r)
		text := strings.Repeat("x", 1000)
		for i := 1; i <= 1500; i++ {
			writeChunk(conn, "id: "+strconv.Itoa(i)+"\ndata: "+text+"\n\n")
		}
		writeChunk(conn, "")
		return true
	})
	b := newTestBoxWithConfig(t, func(c *Config) { c.Protocol = tellingProtocol() }, u)
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, rawRequest("/flow/x", "", "X-Parts: 1:1000"))
	is.NoErr(err)
	time.Sleep(1500 * time.Millisecond) // less than what a caller may take nothing for
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(body), "id: 1500\n"))
	is.Equal(b.relay.stats.counted("connections_silent"), uint64(0))
}

// What is not an upstream's fault is not held against it.
func TestWhatABrokenStreamTellsAboutItsUpstream(t *testing.T) {
	for _, c := range []struct {
		name  string
		gone  bool
		cause error
		want  balance.Outcome
	}{
		{"it broke off", false, io.ErrUnexpectedEOF, balance.ConnectionLost},
		{"its bytes are no events", false, errLongEvent, balance.Failed},
		{"its caller left", true, net.ErrClosed, balance.Neutral},
		{"its connection fell silent", false, errSilent, balance.Neutral},
		{"this box was short of memory", false, errShort, balance.Neutral},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x := &exchange{watch: &disconnectWatch{}}
			x.watch.disconnected.Store(c.gone)
			is.Equal(x.outcomeOfDisconnect(c.cause), c.want)
		})
	}
}

// A pull after one whose connection fell silent has a connection of its own.
func TestEachPullHasItsOwnConnection(t *testing.T) {
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

// While a request goes out, its upstream cannot know it, and says nothing.
func TestARequestThatGoesOutIsNoSilence(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	w := wait{since: start, sent: &requestWrite{done: make(chan error, 1)}, limit: time.Second}
	is.True(!w.due(start.Add(time.Minute)))
	is.True(!w.missing(start.Add(time.Minute), Report{}))
	written := start.Add(time.Minute)
	w.sent.written.Store(&written)
	is.True(!w.due(written.Add(900 * time.Millisecond)))
	is.True(!w.missing(written.Add(900*time.Millisecond), Report{}))
	is.True(w.due(written.Add(time.Second)))
	is.True(w.missing(written.Add(time.Second), Report{}))
}

// readSlowly takes a connection's bytes in small steps.
type readSlowly struct{ net.Conn }

// Read implements net.Conn.
func (c readSlowly) Read(p []byte) (int, error) {
	time.Sleep(40 * time.Millisecond)
	return io.ReadFull(c.Conn, p[:min(len(p), 16<<10)])
}

// An upstream that reads a large body slowly keeps the run, though it does not know it yet.
func TestAnUpstreamThatReadsABodySlowlyIsNotSilent(t *testing.T) {
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
					tell(c, q, Report{})
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
	b := newTestBoxWithConfig(t, func(c *Config) { c.Protocol = tellingProtocol() }, u)
	a := b.do(b.request("POST", "/fixed/x", body, "X-Parts", "1:1000"))
	is.NoErr(a.err)
	is.Equal(a.status, 200)
	is.Equal(a.body, event(1))
	is.Equal(b.relay.stats.counted("connections_silent"), uint64(0))
}

// An answer that waits here for memory is not missing on its connection.
func TestShortageOfMemoryIsNoSilence(t *testing.T) {
	is := is.New(t)
	large := "id: 2\ndata: " + strings.Repeat("x", 40<<10) + "\n\n"
	full := make(chan struct{})
	u := newStub(t, "u1", func(conn net.Conn, r stubRequest) bool {
		if r.URL.Path == "/tell" {
			return tell(conn, r, Report{Known: true, Events: 9})
		}
		startStream(conn, r)
		writeChunk(conn, event(1))
		<-full
		writeChunk(conn, large+event(3))
		writeChunk(conn, "")
		return true
	})
	b := newTestBoxWithConfig(t, func(c *Config) { c.Protocol = tellingProtocol(); c.Memory = 8 << 20 }, u)
	done := make(chan callerResponse, 1)
	go func() { done <- b.do(b.request("POST", "/fixed/x", "", "X-Parts", "1:1000")) }()
	b.waitFor(func() bool { return b.relay.stats.open.Load() == 1 && len(u.requests()) == 1 })
	others := b.relay.account.Lease()
	is.True(others.Grow(b.relay.account.Bound()-b.relay.account.Used(), 1))
	close(full)
	time.Sleep(2 * time.Second) // an upstream is asked well before that
	others.Close()
	a := <-done
	is.NoErr(a.err)
	is.Equal(a.body, event(1)+large+event(3))
	is.Equal(b.relay.stats.counted("connections_silent"), uint64(0))
}

// A run whose connection has shown to be silent is ended once, also where it is slow to end.
func TestASilentRunIsEndedOnce(t *testing.T) {
	is := is.New(t)
	b := newTestBoxWithConfig(t, func(c *Config) { c.Protocol = tellingProtocol() })
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	x := &exchange{relay: b.relay, request: &request{prompt: Prompt{Parts: []balance.Part{{}}}}, route: &route.Route{}}
	c := &conn{Conn: near}
	b.relay.mu.Lock()
	b.relay.runConns[x] = c
	b.relay.mu.Unlock()
	x.listen(nil)
	s := suspect{exchange: x, conn: c, wait: x.waits.Load()}
	b.relay.endSilent(s, Report{})
	b.relay.endSilent(s, Report{})
	is.Equal(b.relay.stats.counted("connections_silent"), uint64(1))
	is.Equal(len(b.relay.suspects(time.Now().Add(time.Minute))), 0)
	b.relay.mu.Lock()
	delete(b.relay.runConns, x)
	b.relay.mu.Unlock()
}
