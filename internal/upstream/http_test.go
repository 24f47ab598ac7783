package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/timer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// server answers requests with raw text, in the order in which they arrive.
type server struct {
	net.Listener
	mu    sync.Mutex
	conns int
	done  sync.WaitGroup
}

// serve starts a server that answers the n-th request with answers[n] and then
// closes the connection if closeAfter, or else leaves it open.
func serve(t *testing.T, closeAfter bool, answers ...string) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: l}
	s.done.Add(1)
	go s.accept(closeAfter, answers)
	t.Cleanup(func() { _ = l.Close(); s.done.Wait() })
	return s
}

func (s *server) accept(closeAfter bool, answers []string) {
	defer s.done.Done()
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			defer func() { _ = c.Close() }()
			buf := make([]byte, 4096)
			for {
				if _, err := c.Read(buf); err != nil {
					return
				}
				select {
				case a := <-next:
					if _, err := c.Write([]byte(a)); err != nil || closeAfter {
						return
					}
				default:
				}
			}
		}()
	}
}

func (s *server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// chunked returns the raw text of a streamed answer with events, without its end.
func chunked(events ...string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, e := range events {
		line := "data: " + e + "\n\n"
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(line), line)
	}
	return b.String()
}

// lastChunk ends a chunked answer.
const lastChunk = "0\r\n\r\n"

// collector is a sink that stores its input.
type collector struct {
	mu     sync.Mutex
	sent   bool
	forbid bool
	events []string
	whole  string
	fail   error
}

func (c *collector) Sending() bool {
	c.sent = true
	return !c.forbid
}

func (c *collector) Event(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, string(b))
	return c.fail
}

func (c *collector) Whole(_ int, _ string, body []byte) error {
	c.whole = string(body)
	return c.fail
}

var _ Sink = (*collector)(nil)

func runner() *HTTP {
	return NewHTTP(HTTPConfig{Clock: timer.SystemClock{}, DialTimeout: time.Second, CallTimeout: time.Second, MaxAnswer: 1000, MaxSilence: 5 * time.Second})
}

func callTo(address string, plain bool) Call {
	return Call{ID: "1", Address: address, Plain: plain, Method: "POST", Path: "/", Type: "text/plain", Body: []byte("x"),
		StartBy: timer.SystemClock{}.Boot() + time.Minute}
}

// TestRuns covers the answers and failures of upstreams.
func TestRuns(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	for _, c := range []struct {
		name    string
		answer  string
		plain   bool
		outcome decide.Outcome
		ran     bool
		refused bool
		events  int
	}{
		{"whole stream", chunked("a", "b", "[DONE]") + lastChunk, false, decide.Answered, true, false, 2},
		{"connection closed before the end marker", chunked("a", "b"), false, decide.Failed, true, false, 2},
		{"complete response without the end marker", chunked("a", "b") + lastChunk, false, decide.Failed, true, false, 2},
		{"connection closed within a chunk", chunked("a") + "ff\r\ndata: b", false, decide.Failed, true, false, 1},
		{"no answer", "", false, decide.Failed, true, false, 0},
		{"not HTTP", "this is no HTTP\r\n\r\n", false, decide.Failed, true, false, 0},
		{"paused", chunked("a", `{"choices":[{"delta":{},"finish_reason":"paused"}]}`) + lastChunk, false, decide.Paused, true, false, 1},
		{"refused without running", "HTTP/1.1 503 X\r\nX-Ran: no\r\nContent-Length: 0\r\n\r\n", false, decide.Failed, false, true, 0},
		{"error that may have run", "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", false, decide.Failed, true, false, 0},
		{"event too long", chunked(strings.Repeat("x", maxEvent+10)) + lastChunk, false, decide.Failed, true, false, 0},
		{"plain, complete", whole, true, decide.Answered, true, false, 0},
		{"plain, truncated", whole[:len(whole)-2], true, decide.Failed, true, false, 0},
		{"plain, too large", "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), true, decide.Failed, true, false, 0},
		{"plain, refused without running", "HTTP/1.1 503 X\r\nX-Ran: no\r\nContent-Length: 0\r\n\r\n", true, decide.Failed, false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, true, c.answer)
			h := runner()
			defer func() { is.NoErr(h.Close()) }()
			var sink collector
			r := h.Run(context.Background(), callTo(s.Addr().String(), c.plain), &sink)
			is.Equal(r.Outcome, c.outcome)
			is.Equal(r.Ran, c.ran)
			is.Equal(r.Refused, c.refused)
			is.Equal(len(sink.events), c.events)
			is.Equal(sink.whole == "done", c.plain && c.outcome == decide.Answered)
		})
	}
}

func TestNothingSent(t *testing.T) {
	is := is.New(t)
	s := serve(t, false)
	h := runner()
	defer func() { is.NoErr(h.Close()) }()
	late := callTo(s.Addr().String(), true)
	late.StartBy = 0
	var sink collector
	is.Equal(h.Run(context.Background(), late, &sink).Outcome, decide.Unused) // the lease has expired
	is.True(!sink.sent)
	r := h.Run(context.Background(), callTo(s.Addr().String(), true), &collector{forbid: true})
	is.Equal(r.Outcome, decide.Unused) // the sink forbids sending
	unreachable := callTo("127.0.0.1:1", true)
	r = h.Run(context.Background(), unreachable, &collector{})
	is.Equal(r.Outcome, decide.Failed)
	is.True(!r.Ran) // the connection was refused, so the request was not sent
}

// TestConnections checks that a connection is reused after a complete answer, and never
// after a run that ended early, whose remaining bytes would be read as the next answer.
func TestConnections(t *testing.T) {
	is := is.New(t)
	s := serve(t, false, chunked("a", "[DONE]")+lastChunk, chunked("b", "[DONE]")+lastChunk, chunked("c", "d"), chunked("e", "[DONE]")+lastChunk)
	h := runner()
	defer func() { is.NoErr(h.Close()) }()
	for range 2 {
		is.Equal(h.Run(context.Background(), callTo(s.Addr().String(), false), &collector{}).Outcome, decide.Answered)
	}
	is.Equal(s.connections(), 1)
	failing := &collector{fail: errors.New("the caller has disconnected")}
	is.Equal(h.Run(context.Background(), callTo(s.Addr().String(), false), failing).Outcome, decide.Abandoned)
	var sink collector
	is.Equal(h.Run(context.Background(), callTo(s.Addr().String(), false), &sink).Outcome, decide.Answered)
	is.Equal(sink.events, []string{"e"}) // not the rest of the previous answer
	is.Equal(s.connections(), 2)
}

// TestCancel checks that a run that waits for an event ends when its context does.
func TestCancel(t *testing.T) {
	is := is.New(t)
	s := serve(t, false, chunked("a"))
	h := runner()
	defer func() { is.NoErr(h.Close()) }()
	ctx, cancel := context.WithCancel(context.Background())
	sink := &canceller{cancel: cancel}
	is.Equal(h.Run(ctx, callTo(s.Addr().String(), false), sink).Outcome, decide.Abandoned)
}

// canceller is a sink that cancels the context at the first event.
type canceller struct {
	collector
	cancel context.CancelFunc
}

func (c *canceller) Event([]byte) error {
	c.cancel()
	return nil
}

// TestEndedUpstream checks that a run whose connection is closed early reports the upstream as
// ended if its address refuses connections, and only then.
func TestEndedUpstream(t *testing.T) {
	for _, ends := range []bool{true, false} {
		t.Run(fmt.Sprint("ends ", ends), func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			done := make(chan struct{})
			go func() {
				defer close(done)
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1))
				if ends {
					_ = l.Close()
				}
				_ = c.Close()
			}()
			h := runner()
			r := h.Run(context.Background(), callTo(l.Addr().String(), false), &collector{})
			is.Equal(r.Outcome, decide.Failed)
			is.True(r.Ran)
			is.Equal(r.UpstreamCrashed, ends)
			<-done
			is.NoErr(h.Close())
			if !ends {
				is.NoErr(l.Close())
			}
		})
	}
}

// What came without end behind the last event of a stream was read until the upstream's longest
// silence had passed, or for ever, before the caller had the end of its answer.
func TestRestWithoutEndDoesNotDelayAnswer(t *testing.T) {
	for _, rest := range []string{": more\n\n", "\n", "data: x\n\n"} {
		t.Run(rest, func(t *testing.T) {
			is := is.New(t)
			block := strings.Repeat(rest, 1000)
			address, closed := serveEndless(t, chunked("a", "[DONE]"), fmt.Sprintf("%x\r\n%s\r\n", len(block), block))
			h := runner()
			h.cfg.MaxSilence = time.Minute
			defer func() { is.NoErr(h.Close()) }()
			var sink collector
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second) // much less than MaxSilence
			defer cancel()
			is.Equal(h.Run(ctx, callTo(address, false), &sink).Outcome, decide.Answered)
			is.NoErr(ctx.Err())
			is.Equal(len(sink.events), 1)
			<-closed // the connection is not kept
		})
	}
}
