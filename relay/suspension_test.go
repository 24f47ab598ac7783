package relay

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/internal/timer"
)

// suspendableClock is a clock whose boot time includes simulated suspensions.
type suspendableClock struct {
	timer.SystemClock
	suspended atomic.Int64 // time.Duration
}

var _ timer.Clock = (*suspendableClock)(nil)

func (c *suspendableClock) Boot() time.Duration {
	return c.SystemClock.Boot() + time.Duration(c.suspended.Load())
}

// suspend simulates a suspension, which the monotonic clock does not count.
func (c *suspendableClock) suspend(d time.Duration) { c.suspended.Add(int64(d)) }

// The monotonic clock stands still while the machine is suspended. Deadlines that only follow it would
// hold an active request past its timeout by the length of the suspension, and would tell the next
// upstream more time than the caller still waits.
func TestSuspensionCountsTowardsRequestTimeout(t *testing.T) {
	is := is.New(t)
	clock := new(suspendableClock)
	began, ended := make(chan struct{}, 1), make(chan struct{})
	defer close(ended)
	hang := func(net.Conn, stubRequest) bool {
		began <- struct{}{}
		<-ended // does not respond
		return false
	}
	b := newTestBoxWithConfig(t, func(c *Config) { c.Clock = clock }, newStub(t, "u", hang))
	long := testDocument(2)
	for i := range long.Routes {
		long.Routes[i].Timeout = time.Hour
	}
	b.publisher.set("document", long, false)
	b.waitFor(func() bool { return b.relay.documentVersion() == 2 })
	got := make(chan callerResponse, 1)
	go func() { got <- b.do(b.request(http.MethodPost, "/once/x", "", "X-Left", "3600000")) }()
	<-began
	clock.suspend(2 * time.Hour)
	b.waitFor(func() bool { return len(got) > 0 })
	is.Equal((<-got).status, http.StatusGatewayTimeout)
	b.awaitLog("box: was suspended")
}

func TestRetryAfterSuspensionGetsRemainingTime(t *testing.T) {
	is := is.New(t)
	clock := new(suspendableClock)
	began, goOn := make(chan struct{}, 2), make(chan struct{})
	var first atomic.Bool
	left := make(chan string, 1)
	script := func(c net.Conn, r stubRequest) bool {
		if first.CompareAndSwap(false, true) {
			began <- struct{}{}
			<-goOn
			return false
		}
		left <- r.Header.Get("X-Left")
		return respondOK("well")(c, r)
	}
	b := newTestBoxWithConfig(t, func(c *Config) { c.Clock = clock }, newStub(t, "u1", script), newStub(t, "u2", script))
	got := make(chan callerResponse, 1)
	go func() { got <- b.do(b.request(http.MethodPost, "/safe/x", "", "X-Left", "4000")) }()
	<-began
	clock.suspend(2 * time.Second)
	b.awaitLog("box: was suspended")
	close(goOn)
	is.Equal((<-got).status, http.StatusOK)
	ms, err := strconv.Atoi(<-left)
	is.NoErr(err)
	is.True(ms <= 2000) // at most 4,000, less two seconds of suspension
}

// Ages include suspensions; otherwise old information would be taken for new.
func TestSuspensionCountsTowardsAges(t *testing.T) {
	is := is.New(t)
	clock := new(suspendableClock)
	b := newTestBoxWithConfig(t, func(c *Config) { c.Clock = clock }, newStub(t, "u", respondOK("")))
	b.publisher.mu.Lock()
	b.publisher.unavailable = true // no read confirms the known state
	b.publisher.mu.Unlock()
	clock.suspend(time.Hour)
	b.waitFor(func() bool { return b.relay.publishedAge() >= time.Hour })
	is.True(b.relay.now() >= time.Hour)
}

// A request that arrives after a suspension, but before the box has detected it, keeps its full
// timeout.
func TestRequestAfterSuspensionKeepsItsTime(t *testing.T) {
	is := is.New(t)
	clock := new(suspendableClock)
	b := newTestBoxWithConfig(t, func(c *Config) { c.Clock = clock }, newStub(t, "u", respondOK("well")))
	clock.suspend(time.Hour)
	b.relay.startWall.Add(-int64(time.Hour)) // the wall clock went on during the suspension
	x, no := b.relay.admit(&request{method: http.MethodGet, host: "h.example", uri: "/safe/x", customerKey: "secret", timeLeft: time.Minute}, nil)
	is.Equal(no, nil)
	is.True(x.timeLeft() > 0)
	is.True(b.relay.now() >= time.Hour)
}
