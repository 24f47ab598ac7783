package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/table"
)

// TestMain ignores the background goroutines of fasthttp, which sleep for 10 s before
// they see that their server has ended.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// fakeCore is a Core that passes arrivals to a function of the test.
type fakeCore struct {
	mu       sync.Mutex
	table    *table.Table
	on       func(Arrival)
	left     chan uint64
	refused  map[decide.Reason]int
	full     bool // whether Arrive returns false
	requests []cell.Request
}

func (f *fakeCore) Table() *table.Table { return f.table }
func (f *fakeCore) NextID() uint64      { return 7 }
func (f *fakeCore) Arrive(a Arrival) bool {
	f.mu.Lock()
	f.requests = append(f.requests, a.Request)
	f.mu.Unlock()
	if f.full {
		return false
	}
	go f.on(a)
	return true
}
func (f *fakeCore) Disconnected(id uint64)      { f.left <- id }
func (f *fakeCore) Mint(context.Context) string { return "minted" }
func (f *fakeCore) Healthy() bool               { return f.table != nil }
func (f *fakeCore) Metrics() []byte             { return []byte("metric 1\n") }
func (f *fakeCore) Refused(r decide.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused[r]++
}

var _ Core = (*fakeCore)(nil)

func start(t *testing.T, on func(Arrival)) (*Server, *fakeCore) {
	t.Helper()
	parsed, err := table.Parse("t", []byte(`{"classes":[{"name":"c","tier":1,"first_token":"1s","floor":0.1,"set":"s","repeatable":true,"max_tokens":50},
		{"name":"once","tier":1,"first_token":"1s","floor":0.1,"set":"s"}],
		"customers":[{"name":"u","default_class":"c","classes":["c"],"key_hashes":["`+table.HashKey("k")+`"]},
		{"name":"v","default_class":"once","key_hashes":["`+table.HashKey("kv")+`"]}],
		"upstreams":[{"name":"e","domain":"d","address":"127.0.0.1:1","set":"s","slots":1,"model":"m"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	core := &fakeCore{table: parsed, on: on, left: make(chan uint64, 10), refused: make(map[decide.Reason]int)}
	s, err := Listen(Config{Address: "127.0.0.1:0", Core: core, MaxBody: 2000, MaxHeaders: 4096, MaxConns: 50, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, Buffer: 4})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close(5 * time.Second); http.DefaultClient.CloseIdleConnections() })
	return s, core
}

const chat = `{"messages":[{"role":"user","content":"hi"}]}`

// TestRequests covers the answers to valid, invalid and refused requests.
func TestRequests(t *testing.T) {
	answer := func(a Arrival) {
		_ = a.Exchange.Event([]byte(`{"model":"m","choices":[{"delta":{"content":"hello "}}]}`))
		_ = a.Exchange.Event([]byte(`{"model":"m","choices":[{"delta":{"content":"you"},"finish_reason":"stop"}]}`))
		a.Exchange.Done()
	}
	refuse := func(f cell.Final) func(Arrival) { return func(a Arrival) { a.Exchange.Refuse(f) } }
	for _, c := range []struct {
		name   string
		on     func(Arrival)
		key    string
		method string
		path   string
		body   string
		header string
		status int
		want   string // part of the body
		ran    string // value of HeaderRan
	}{
		{"whole answer", answer, "k", "POST", pathChat, chat, "", 200, `"content":"hello you"`, ""},
		{"no key", answer, "", "POST", pathChat, chat, "", 401, "not_allowed", "no"},
		{"wrong key", answer, "x", "POST", pathChat, chat, "", 401, "not_allowed", "no"},
		{"class of another customer", answer, "k", "POST", pathChat, chat, "X-Doormast-Class: once", 403, "not_allowed", "no"},
		{"unknown class", answer, "k", "POST", pathChat, chat, "X-Doormast-Class: zzz", 400, `unknown class`, "no"},
		{"malformed JSON", answer, "k", "POST", pathChat, "{", "", 400, "bad_request", "no"},
		{"no messages", answer, "k", "POST", pathChat, `{"messages":[]}`, "", 400, "want messages", "no"},
		{"body too large", answer, "k", "POST", pathChat, strings.Repeat("x", 3000), "", 413, "bad_request", "no"},
		{"headers too large", answer, "k", "POST", pathChat, chat, "X-Long: " + strings.Repeat("x", 8000), 431, "bad_request", "no"},
		{"bad deadline", answer, "k", "POST", pathChat, chat, "X-Doormast-Deadline: soon", 400, "found \\\"soon\\\"", "no"},
		{"bad idempotency key", answer, "k", "POST", pathChat, chat, "Idempotency-Key: dmd1:x", 400, "idempotency key", "no"},
		{"unknown path", answer, "k", "GET", "/nowhere", "", "", 404, "no such path", "no"},
		{"late", refuse(cell.Final{Reason: decide.Late, RetryAfter: 1500 * time.Millisecond}), "k", "POST", pathChat, chat, "", 503, `"code":"late"`, "no"},
		{"over a limit", refuse(cell.Final{Reason: decide.OverCustomerLimit}), "k", "POST", pathChat, chat, "", 429, "over_customer_limit", "no"},
		{"may have run", refuse(cell.Final{Reason: decide.UpstreamFailed, Ran: true}), "k", "POST", pathChat, chat, "", 502, "upstream_failed", "unknown"},
		{"key used before", refuse(cell.Final{Reason: decide.DuplicateKey, Ran: true}), "k", "POST", pathChat, chat, "", 409, "duplicate_key", "unknown"},
		{"models", answer, "k", "GET", pathModels, "", "", 200, `"id":"m"`, ""},
		{"health", answer, "", "GET", pathHealth, "", "", 200, "ok", ""},
		{"metrics", answer, "", "GET", pathMetric, "", "", 200, "metric 1", ""},
		{"minted key", answer, "k", "POST", pathKeys, "", "", 201, "minted", ""},
		{"plain service", func(a Arrival) { _ = a.Exchange.Whole(201, "text/x", []byte("paid")) }, "k", "POST", "/services/c/do", "x", "", 201, "paid", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, _ := start(t, c.on)
			req, err := http.NewRequest(c.method, "http://"+s.Address()+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			if c.key != "" {
				req.Header.Set("Authorization", "Bearer "+c.key)
			}
			if name, value, ok := strings.Cut(c.header, ": "); ok {
				req.Header.Set(name, value)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get(HeaderRan), c.ran)
			if !strings.Contains(string(body), c.want) {
				t.Errorf("body %q does not contain %q", body, c.want)
			}
			if c.name == "late" {
				is.Equal(resp.Header.Get("Retry-After"), "2")
			}
		})
	}
}

// TestHeaders checks how headers and body are converted to a cell.Request.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	s, core := start(t, func(a Arrival) { a.Exchange.Done() })
	req, err := http.NewRequest("POST", "http://"+s.Address()+pathChat, strings.NewReader(`{"max_tokens":90,"messages":[{"a":1},{"b":2}]}`))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer k")
	req.Header.Set(HeaderNotRepeatable, "1")
	req.Header.Set(HeaderKey, "mine")
	req.Header.Set(HeaderDeadline, "30s")
	req.Header.Set(HeaderClientRequest, "own-id")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.Header.Get(HeaderClientRequest), "own-id")
	r := core.requests[0]
	is.Equal(r.Class, "c")
	is.Equal(r.Repeatable, false)
	is.Equal(r.Key, "u/mine") // keys are separate for each customer
	is.Equal(r.Deadline, 30*time.Second)
	is.Equal(r.MaxTokens, 50) // the class's limit
	is.True(r.Prefix != 0)
}

// TestCutStream checks that an incomplete stream ends with an error and without the
// end marker, so that the caller does not take it for a complete answer.
func TestCutStream(t *testing.T) {
	is := is.New(t)
	s, _ := start(t, func(a Arrival) {
		_ = a.Exchange.Event([]byte("one"))
		a.Exchange.Refuse(cell.Final{Reason: decide.UpstreamFailed, Ran: true})
	})
	conn, r := stream(t, s)
	defer func() { _ = conn.Close() }()
	raw, err := io.ReadAll(r)
	is.NoErr(err)
	is.True(strings.Contains(string(raw), "data: one"))
	is.True(strings.Contains(string(raw), `"code":"upstream_failed"`))
	is.True(!strings.Contains(string(raw), "[DONE]"))
}

// stream sends a request for a streamed answer on a new connection.
func stream(t *testing.T, s *Server) (net.Conn, io.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	body := `{"stream":true,"messages":[{"role":"user","content":"hi"}]}`
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer k\r\nContent-Length: %d\r\n\r\n%s", pathChat, len(body), body)
	return conn, bufio.NewReader(conn)
}

// TestEventsAreFlushed checks that each event reaches the caller before the next one
// is produced.
func TestEventsAreFlushed(t *testing.T) {
	is := is.New(t)
	next := make(chan bool)
	s, _ := start(t, func(a Arrival) {
		for i := range 3 {
			_ = a.Exchange.Event([]byte(fmt.Sprint("event", i)))
			<-next
		}
		a.Exchange.Done()
	})
	conn, r := stream(t, s)
	defer func() { _ = conn.Close() }()
	lines := bufio.NewReader(r)
	for i := range 3 {
		for {
			line, err := lines.ReadString('\n')
			is.NoErr(err)
			if strings.Contains(line, fmt.Sprint("event", i)) {
				break
			}
		}
		next <- true
	}
}

// TestDisconnectIsDetected checks that the server detects a caller that disconnects
// while its stream is idle, or before it has begun.
func TestDisconnectIsDetected(t *testing.T) {
	for _, events := range []int{0, 1} {
		is := is.New(t)
		arrived := make(chan bool, 1)
		s, core := start(t, func(a Arrival) {
			for range events {
				_ = a.Exchange.Event([]byte("one"))
			}
			arrived <- true
		})
		conn, r := stream(t, s)
		<-arrived
		if events > 0 {
			_, err := r.Read(make([]byte, 1))
			is.NoErr(err)
		}
		is.NoErr(conn.Close())
		for len(core.left) == 0 {
			s.Sweep()
		}
		is.Equal(<-core.left, uint64(7))
	}
}

// TestSilentConnection checks that a connection without a complete request in time is
// counted and closed without an answer, which the caller could take for the answer to
// a request that it is just sending.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	s, core := start(t, nil)
	s.server.ReadTimeout = 50 * time.Millisecond
	for i, sent := range []string{"", "POST /v1/chat/completions HTTP/1.1\r\nContent-Le"} {
		conn, err := net.Dial("tcp", s.Address())
		is.NoErr(err)
		_, err = conn.Write([]byte(sent))
		is.NoErr(err)
		raw, _ := io.ReadAll(conn)
		is.Equal(string(raw), "")
		core.mu.Lock()
		is.Equal(core.refused[decide.BadRequest], i+1)
		core.mu.Unlock()
		is.NoErr(conn.Close())
	}
}

// TestWriteDeadlineIsReset guards against a write deadline of one stream that stays
// set and fails the next request on the connection, whose answer takes longer.
func TestWriteDeadlineIsReset(t *testing.T) {
	is := is.New(t)
	var s *Server
	s, _ = start(t, func(a Arrival) {
		<-time.After(2 * s.cfg.WriteTimeout)
		_ = a.Exchange.Event([]byte("one"))
		a.Exchange.Done()
	})
	s.cfg.WriteTimeout = 20 * time.Millisecond
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequest("POST", "http://"+s.Address()+pathChat, strings.NewReader(`{"stream":true,"messages":[{"a":1}]}`))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer k")
		resp, err := client.Do(req)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.True(strings.Contains(string(body), "[DONE]"))
	}
}

// TestSlowCaller checks that the number of events buffered for a caller that does not
// read is bounded.
func TestSlowCaller(t *testing.T) {
	x := NewExchange(4)
	pushed := make(chan int, 100)
	go func() {
		for i := range 100 {
			if x.Event([]byte("e")) != nil {
				break
			}
			pushed <- i
		}
		close(pushed)
	}()
	for len(pushed) < 4 {
		time.Sleep(time.Millisecond)
	}
	x.Disconnect()
	n := 0
	for range pushed {
		n++
	}
	if n > 5 {
		t.Errorf("%d events accepted for a caller that reads none, want at most 5", n)
	}
	if err := x.Event(nil); !errors.Is(err, ErrDisconnected) {
		t.Errorf("got error %v, want ErrDisconnected", err)
	}
}
