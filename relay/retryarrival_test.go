package relay

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// newPath listens for connections to a stub and forwards them. Each read toward the stub is delayed;
// if hold is locked, it waits until hold is free.
func newPath(t *testing.T, s *stub, delay *atomic.Int64, hold *sync.RWMutex) *stub {
	t.Helper()
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go forwardPath(c, s.listener.Addr().String(), delay, hold)
		}
	}()
	return &stub{id: s.id, listener: l}
}

func forwardPath(c net.Conn, target string, delay *atomic.Int64, hold *sync.RWMutex) {
	defer func() { _ = c.Close() }()
	u, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = u.Close() }()
	go func() {
		_, _ = io.Copy(c, u)
		_ = c.Close()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := c.Read(buf)
		time.Sleep(time.Duration(delay.Load()))
		hold.RLock()
		_, werr := u.Write(buf[:n])
		hold.RUnlock()
		if err != nil || werr != nil {
			return
		}
	}
}

// retryArrivals records when requests arrive at upstreams, except for the first arrival of each.
type retryArrivals struct {
	mu      sync.Mutex
	seen    map[string]bool
	retries []time.Time
}

func newRetryArrivals() *retryArrivals { return &retryArrivals{seen: make(map[string]bool)} }

// note records an arrival.
func (a *retryArrivals) note(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen[id] {
		a.retries = append(a.retries, time.Now())
	}
	a.seen[id] = true
}

// record returns a script that records the arrival of a request before it runs the given script.
func (a *retryArrivals) record(script func(net.Conn, stubRequest) bool) func(net.Conn, stubRequest) bool {
	return func(c net.Conn, r stubRequest) bool {
		a.note(r.Header.Get("X-Id"))
		return script(c, r)
	}
}

// count returns the number of retries that arrived so far.
func (a *retryArrivals) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.retries)
}

// most returns the largest number of retries that arrived within a window.
func (a *retryArrivals) most(window time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, at := range a.retries {
		for at.Sub(a.retries[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// onlySlack is a retry budget that consists of its slack.
var onlySlack = balance.BudgetConfig{Slack: 20, Window: time.Second}

// sendInParallel sends the requests of several callers, with a new ID each, until done reports true.
func (b *testBox) sendInParallel(callers int, done func() bool) {
	var all sync.WaitGroup
	for caller := range callers {
		all.Go(func() {
			for i := 0; !done(); i++ {
				b.do(b.request("GET", fmt.Sprintf("/safe/%d-%d", caller, i), ""))
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	all.Wait()
}

// awaitSlack waits until the budget of the service has its slack.
func (b *testBox) awaitSlack() {
	b.t.Helper()
	b.waitFor(func() bool {
		b.relay.mu.Lock()
		defer b.relay.mu.Unlock()
		return b.relay.budgets.ForService("s").Remaining(b.relay.now(), b.relay.divisor()) == int(onlySlack.Slack)
	})
}

// Retries were counted when they were sent. Those that took long to arrive did so in the same window
// as those of the next window, which took less long, so that upstreams received twice the slack.
func TestRetriesThatArriveLateStayWithinBudget(t *testing.T) {
	var delay atomic.Int64
	var hold sync.RWMutex
	arrivals := newRetryArrivals()
	var paths []*stub
	for i := range 3 {
		paths = append(paths, newPath(t, newStub(t, fmt.Sprintf("u%d", i), arrivals.record(respond500)), &delay, &hold))
	}
	b := newTestBoxWithConfig(t, func(c *Config) { c.Budget = onlySlack }, paths...)
	b.awaitSlack()
	delay.Store(int64(400 * time.Millisecond))
	began := time.Now()
	time.AfterFunc(onlySlack.Window, func() { delay.Store(0) })
	b.sendInParallel(30, func() bool { return time.Since(began) > 3*onlySlack.Window })
	if n := arrivals.count(); n < int(onlySlack.Slack) {
		t.Fatalf("%d retries arrived; the slack of %v is not used up", n, onlySlack.Slack)
	}
	if most := arrivals.most(onlySlack.Window); most > int(onlySlack.Slack) {
		t.Fatalf("%d retries arrived within %v; %v are allowed", most, onlySlack.Window, onlySlack.Slack)
	}
}

// A run that the box gives up may still reach its upstream, as when the upstream's process is stopped.
// The retry that follows was then counted a window before the second arrival.
func TestRetryAfterRunThatMayStillArriveCountsLonger(t *testing.T) {
	is := is.New(t)
	var delay atomic.Int64
	var hold sync.RWMutex
	hold.Lock()
	stopped, other := newStub(t, "stopped", respondOK("late")), newStub(t, "other", respondOK("ok"))
	path := newPath(t, stopped, &delay, &hold)
	b := newTestBoxWithConfig(t, func(c *Config) { c.Budget = onlySlack }, path)
	b.awaitSlack()
	answered := make(chan callerResponse, 1)
	go func() { answered <- b.do(b.request("GET", "/safe/x", "")) }()
	b.waitFor(func() bool {
		b.relay.mu.Lock()
		defer b.relay.mu.Unlock()
		return len(b.relay.runConns) == 1
	})
	b.listUpstream(other, false)
	b.waitFor(func() bool { return b.upstreamCount() == 2 })
	b.relay.closeRetriableRunsIn("d")
	is.Equal((<-answered).body, "ok")
	is.Equal(len(other.requests()), 1)
	is.Equal(len(stopped.requests()), 0)
	hold.Unlock()
	b.waitFor(func() bool { return len(stopped.requests()) == 1 }) // the second arrival

	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	budget, now := b.relay.budgets.ForService("s"), b.relay.now()
	is.Equal(budget.Use(now+onlySlack.Window*3/2, 1).Spent, 1) // the second arrival is in this window
	is.Equal(budget.Use(now+3*onlySlack.Window, 1).Spent, 0)
}
