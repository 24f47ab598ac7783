package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func TestWhichPauseAnAnswerAsksFor(t *testing.T) {
	const dated = "Thu, 03 Dec 2026 10:00:00 GMT"
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC) // this machine's clock is behind
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
		{"a date, by the answer's own", "Retry-After", 503, []string{"Thu, 03 Dec 2026 10:00:02 GMT"}, 2 * time.Second, false},
		{"a word", "Retry-After", 503, []string{"soon"}, 0, true},
		{"0", "Retry-After", 503, []string{"0"}, 0, true},
		{"the longer of two", "Retry-After", 503, []string{"1", "2"}, 2 * time.Second, false},
		{"the one that can be read", "Retry-After", 503, []string{"soon", "2"}, 2 * time.Second, false},
		{"the one that can be read, before", "Retry-After", 503, []string{"2", "soon"}, 2 * time.Second, false},
		{"an answer that serves", "Retry-After", 200, []string{"3"}, 0, false},
		{"a failure", "Retry-After", 500, []string{"3"}, 0, false},
		{"too many", "Retry-After", 429, []string{"3"}, 0, false},
		{"a deployment without the word", "", 503, []string{"3"}, 0, false},
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
			got := pauseIn(&h, c.word, now)
			is.Equal(got.length, c.want)
			is.Equal(got.err != nil, c.wrong)
		})
	}
}

// What is said costs an answer nothing to look at.
func TestWhatAnswersSayIsReadWithoutAllocating(t *testing.T) {
	is := is.New(t)
	r := &Relay{cfg: Config{Protocol: testProtocol}}
	var h fasthttp.ResponseHeader
	h.DisableNormalizing()
	for i := range 8 {
		h.Add(fmt.Sprint("Header-", i), "value")
	}
	h.SetStatusCode(503)
	is.Equal(testing.AllocsPerRun(100, func() {
		if r.saysLeaving(&h) || pauseIn(&h, "Retry-After", time.Time{}).sent != "" {
			t.Fatal("it says nothing")
		}
	}), 0.0)
}

// pauser is an upstream that asks for a pause once, and holds what comes later until it is let go.
type pauser struct {
	*stub
	mu    sync.Mutex
	asked time.Time   // when it did
	came  []time.Time // requests since
	hold  chan struct{}
}

func newPauser(t testing.TB, length string) *pauser {
	p := &pauser{hold: make(chan struct{})}
	p.stub = newStub(t, "u", func(c net.Conn, r stubRequest) bool {
		p.mu.Lock()
		asks := p.asked.IsZero()
		if asks {
			p.asked = time.Now()
		} else {
			p.came = append(p.came, time.Now())
		}
		p.mu.Unlock()
		if asks {
			return answerNaming("503 No", "X-Not-Run: 1", "Retry-After: "+length)(c, r)
		}
		<-p.hold
		return respondOK("well")(c, r)
	})
	return p
}

// arrivals is how many requests have come since it asked, and how long after that the first.
func (p *pauser) arrivals() (n int, first time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.came) == 0 {
		return 0, 0
	}
	return len(p.came), p.came[0].Sub(p.asked)
}

// waits is how many requests of the service wait for the end of a pause.
func (b *testBox) waits() int {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	if q := b.relay.pauseQueues["s"]; q != nil {
		return len(q.list)
	}
	return 0
}

// sends sends requests at the same time, and returns where their answers come.
func (b *testBox) sends(count int, header ...string) <-chan callerResponse {
	done := make(chan callerResponse, count)
	for i := range count {
		go func() {
			done <- b.do(b.request(http.MethodPost, "/safe/x", "x", append([]string{"X-Id", fmt.Sprint("r", i)}, header...)...))
		}()
	}
	return done
}

// All upstreams asked for a pause: requests that can still be served after it wait, and arrive one before the others.
func TestRequestsWaitForTheEndOfAPause(t *testing.T) {
	is := is.New(t)
	const length = 1500 * time.Millisecond
	u := newPauser(t, "1.5")
	b := newTestBox(t, u.stub)
	first := b.do(b.request(http.MethodPost, "/safe/x", "x"))
	is.Equal(first.status, http.StatusServiceUnavailable)
	const count = 12
	done := b.sends(count, "X-Left", "30000")
	b.waitFor(func() bool { return b.waits() == count || len(u.requests()) > 1 })
	b.waitFor(func() bool { n, _ := u.arrivals(); return n > 0 })
	n, after := u.arrivals()
	is.True(after >= length) // none came within the pause
	is.Equal(n, 1)           // the others wait until that one is answered
	is.Equal(b.waits(), count-1)
	close(u.hold)
	for range count {
		is.Equal((<-done).status, http.StatusOK)
	}
	is.Equal(b.waits(), 0)
	is.True(b.log.contains("upstream: used as before its pause"))
}

// Who cannot be served after the pause in its time hears it at once, with when it ends.
func TestAPauseThatIsTooLongForACallerIsSaidAtOnce(t *testing.T) {
	is := is.New(t)
	u := newPauser(t, "30")
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
	is.True(b.relay.state().Upstreams[0].PauseLeft > 0) // as operators see it
}

// Who leaves while it waits is not sent, and who waits for an upstream that is replaced goes to the next one.
func TestWhoWaitsForAPauseHearsOfOthers(t *testing.T) {
	is := is.New(t)
	u, v := newPauser(t, "3"), newStub(t, "v", respondOK("v"))
	b := newTestBox(t, u.stub)
	b.do(b.request(http.MethodPost, "/safe/x", "x"))
	done := b.sends(3)
	b.waitFor(func() bool { return b.waits() == 3 })
	b.listUpstream(v, false)
	for range 3 {
		is.Equal((<-done).body, "v")
	}
	n, _ := u.arrivals()
	is.Equal(n, 0)
}

// A call of the box's own is held back as well, and an answer to one asks for a pause.
func TestCallsKeepToPauses(t *testing.T) {
	is := is.New(t)
	u := newPauser(t, "30")
	b := newTestBox(t, u.stub)
	call := func() error {
		_, _, err := b.relay.callUpstream(t.Context(), *b.relay.fleet.Get("u"), "s", UpstreamCall{Method: http.MethodGet, Path: "/tell"})
		return err
	}
	is.NoErr(call())
	is.Equal(call(), error(errNotAccepting))
	is.Equal(len(u.requests()), 1)
}

// A pause that cannot be read changes nothing, and operators see it.
func TestAPauseThatCannotBeReadIsNamed(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", answerNaming("503 No", "X-Not-Run: 1", "Retry-After: soon"))
	b := newTestBox(t, u)
	for range 2 {
		b.do(b.request(http.MethodPost, "/once/x", "x"))
		time.Sleep(fullRestPassed)
	}
	is.Equal(len(u.requests()), 2)
	is.True(b.log.contains("upstream: pause not taken"))
}

// A box that stops answers requests that wait at once: the pause may last for longer than its grace.
func TestABoxThatStopsLetsNoneWaitForAPause(t *testing.T) {
	is := is.New(t)
	u := newPauser(t, "3")
	b := newTestBox(t, u.stub)
	b.do(b.request(http.MethodPost, "/safe/x", "x"))
	done := b.sends(3)
	b.waitFor(func() bool { return b.waits() == 3 })
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
