package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func TestReadPause(t *testing.T) {
	const dated = "Thu, 03 Dec 2026 10:00:00 GMT"
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC) // behind the upstream's clock
	for _, c := range []struct {
		name    string
		word    string
		status  int
		headers []string
		want    time.Duration
		wrong   bool
	}{
		{"no header", "Retry-After", 503, nil, 0, false},
		{"seconds", "Retry-After", 503, []string{"3"}, 3 * time.Second, false},
		{"date, relative to the Date header", "Retry-After", 503, []string{"Thu, 03 Dec 2026 10:00:02 GMT"}, 2 * time.Second, false},
		{"word", "Retry-After", 503, []string{"soon"}, 0, true},
		{"0", "Retry-After", 503, []string{"0"}, 0, true},
		{"longer of two", "Retry-After", 503, []string{"1", "2"}, 2 * time.Second, false},
		{"invalid, then valid", "Retry-After", 503, []string{"soon", "2"}, 2 * time.Second, false},
		{"valid, then invalid", "Retry-After", 503, []string{"2", "soon"}, 2 * time.Second, false},
		{"successful answer", "Retry-After", 200, []string{"3"}, 0, false},
		{"failure", "Retry-After", 500, []string{"3"}, 0, false},
		{"too many requests", "Retry-After", 429, []string{"3"}, 0, false},
		{"deployment without a pause header", "", 503, []string{"3"}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := fmt.Sprintf("HTTP/1.1 %d X\r\nDate: %s\r\n", c.status, dated)
			for i, value := range c.headers {
				text += []string{"Retry-After", "retry-after"}[i] + ": " + value + "\r\n"
			}
			var h fasthttp.ResponseHeader
			h.DisableNormalizing()
			is.NoErr(h.Read(bufio.NewReader(strings.NewReader(text + "\r\n"))))
			got := readPause(&h, c.word, now)
			is.Equal(got.duration, c.want)
			is.Equal(got.err != nil, c.wrong)
		})
	}
}

// Reading the notices of a response does not allocate.
func TestReadingNoticesDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	r := &Relay{cfg: Config{Protocol: testProtocol}}
	var h fasthttp.ResponseHeader
	h.DisableNormalizing()
	for i := range 8 {
		h.Add(fmt.Sprint("Header-", i), "value")
	}
	h.SetStatusCode(503)
	is.Equal(testing.AllocsPerRun(100, func() {
		if r.saysLeaving(&h) || readPause(&h, "Retry-After", time.Time{}).value != "" {
			t.Fatal("it says nothing")
		}
	}), 0.0)
}

// pausingUpstream is an upstream that requests a pause once, and blocks all later requests
// until hold is closed.
type pausingUpstream struct {
	*stub
	mu          sync.Mutex
	requestedAt time.Time   // when it requested the pause
	arrived     []time.Time // arrival times of later requests
	hold        chan struct{}
}

func newPausingUpstream(t testing.TB, length string) *pausingUpstream {
	p := &pausingUpstream{hold: make(chan struct{})}
	p.stub = newStub(t, "u", func(c net.Conn, r stubRequest) bool {
		p.mu.Lock()
		asks := p.requestedAt.IsZero()
		if asks {
			p.requestedAt = time.Now()
		} else {
			p.arrived = append(p.arrived, time.Now())
		}
		p.mu.Unlock()
		if asks {
			return respondWithHeaders("503 No", "X-Not-Run: 1", "Retry-After: "+length)(c, r)
		}
		<-p.hold
		return respondOK("well")(c, r)
	})
	return p
}

// arrivals returns how many requests have arrived since the pause was requested, and how long
// after that the first did.
func (p *pausingUpstream) arrivals() (n int, first time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.arrived) == 0 {
		return 0, 0
	}
	return len(p.arrived), p.arrived[0].Sub(p.requestedAt)
}

// waitingRequests is how many requests of the service wait for the end of a pause.
func (b *testBox) waitingRequests() int {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	if q := b.relay.pauseQueues["s"]; q != nil {
		return len(q.list)
	}
	return 0
}

// sendConcurrently sends requests concurrently, and returns a channel of their responses.
func (b *testBox) sendConcurrently(count int, header ...string) <-chan callerResponse {
	done := make(chan callerResponse, count)
	for i := range count {
		go func() {
			done <- b.do(b.request(http.MethodPost, "/safe/x", "x", append([]string{"X-Id", fmt.Sprint("r", i)}, header...)...))
		}()
	}
	return done
}

// If all upstreams have requested a pause, requests that can still be served afterwards wait.
// One of them is sent before the others.
func TestRequestsWaitForEndOfPause(t *testing.T) {
	is := is.New(t)
	const length = 1500 * time.Millisecond
	u := newPausingUpstream(t, "1.5")
	b := newTestBox(t, u.stub)
	first := b.do(b.request(http.MethodPost, "/safe/x", "x"))
	is.Equal(first.status, http.StatusServiceUnavailable)
	const count = 12
	done := b.sendConcurrently(count, "X-Left", "30000")
	b.waitFor(func() bool { return b.waitingRequests() == count || len(u.requests()) > 1 })
	b.waitFor(func() bool { n, _ := u.arrivals(); return n > 0 })
	n, after := u.arrivals()
	is.True(after >= length) // none arrived during the pause
	is.Equal(n, 1)           // the others wait until that one is answered
	is.Equal(b.waitingRequests(), count-1)
	close(u.hold)
	for range count {
		is.Equal((<-done).status, http.StatusOK)
	}
	is.Equal(b.waitingRequests(), 0)
	b.awaitLog("upstream: used as before its pause")
}

// A pause that ended with the first event of a stream was logged only when a run of the box ended,
// which could be a stream's length later.
func TestPauseEndedByStreamIsLoggedAtOnce(t *testing.T) {
	is := is.New(t)
	var paused atomic.Bool
	hold := make(chan struct{})
	u := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
		if paused.CompareAndSwap(false, true) {
			return respondWithHeaders("503 No", "X-Not-Run: 1", "Retry-After: 0.3")(c, r)
		}
		startStream(c, r)
		writeChunk(c, event(1))
		<-hold
		writeChunk(c, "")
		return true
	})
	b := newTestBox(t, u)
	b.do(b.request(http.MethodPost, "/brief/x", "x")) // its time ends before the pause
	const count = 12                                  // more than the upstream has slots
	done := make(chan callerResponse, count)
	for i := range count {
		go func() {
			done <- b.do(b.request(http.MethodPost, "/flow/x", "x", "X-Id", fmt.Sprint("r", i), "X-Left", "30000"))
		}()
	}
	b.awaitLog("upstream: used as before its pause")
	is.Equal(b.relay.stats.openRequests.Load(), int64(count)) // no stream has ended
	close(hold)
	for range count {
		is.Equal((<-done).status, http.StatusOK)
	}
}

// A request whose time ends before the pause is refused at once, with the end of the pause as
// the time to come back.
func TestPauseTooLongForCaller(t *testing.T) {
	is := is.New(t)
	u := newPausingUpstream(t, "30")
	b := newTestBox(t, u.stub)
	for i := range 3 { // the first was sent, the others were not
		got := b.do(b.request(http.MethodPost, "/once/x", "x", "X-Id", fmt.Sprint(i)))
		is.Equal(got.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > 20 && after <= (30+3)*(1+retryAfterJitter))
		is.True(strings.Contains(got.body, pauseReason))
		is.True(strings.Contains(got.body, `"ran":"no"`))
	}
	is.Equal(len(u.requests()), 1)
	is.True(b.relay.state().Upstreams[0].PauseLeft > 0) // the pause shows in the state
}

// Requests that wait for the end of a pause are sent to another upstream once one is listed.
func TestNewUpstreamEndsWaitForPause(t *testing.T) {
	is := is.New(t)
	u, v := newPausingUpstream(t, "3"), newStub(t, "v", respondOK("v"))
	b := newTestBox(t, u.stub)
	b.do(b.request(http.MethodPost, "/safe/x", "x"))
	done := b.sendConcurrently(3)
	b.waitFor(func() bool { return b.waitingRequests() == 3 })
	b.listUpstream(v, false)
	for range 3 {
		is.Equal((<-done).body, "v")
	}
	n, _ := u.arrivals()
	is.Equal(n, 0)
}

// The box's own calls respect pauses as well, and a response to one can request a pause.
func TestCallsRespectPauses(t *testing.T) {
	is := is.New(t)
	u := newPausingUpstream(t, "30")
	b := newTestBox(t, u.stub)
	call := func() error {
		_, err := b.relay.callUpstream(t.Context(), *b.relay.fleet.Get("u"), "s", UpstreamCall{Method: http.MethodGet, Path: "/tell"})
		return err
	}
	is.NoErr(call())
	is.Equal(call(), error(errNotAccepting))
	is.Equal(len(u.requests()), 1)
}

// An invalid pause is logged and has no other effect.
func TestInvalidPauseIsLogged(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", respondWithHeaders("503 No", "X-Not-Run: 1", "Retry-After: soon"))
	b := newTestBox(t, u)
	for range 2 {
		b.do(b.request(http.MethodPost, "/once/x", "x"))
		time.Sleep(overloadPauseElapsed)
	}
	is.Equal(len(u.requests()), 2)
	b.awaitLog("upstream: pause not taken")
}

// A box that is stopping refuses waiting requests at once, since the pause may outlast its
// grace period.
func TestStopRefusesWaitingRequests(t *testing.T) {
	is := is.New(t)
	u := newPausingUpstream(t, "3")
	b := newTestBox(t, u.stub)
	b.do(b.request(http.MethodPost, "/safe/x", "x"))
	done := b.sendConcurrently(3)
	b.waitFor(func() bool { return b.waitingRequests() == 3 })
	stopped := make(chan struct{})
	go func() {
		b.relay.Stop()
		close(stopped)
	}()
	for range 3 {
		got := <-done
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
	}
	<-stopped
	n, _ := u.arrivals()
	is.Equal(n, 0)
}
