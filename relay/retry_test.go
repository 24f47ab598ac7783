package relay

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

// withoutRetries configures a relay whose retry budget is always empty.
func withoutRetries(c *Config) { c.Budget = balance.BudgetConfig{Window: 10 * time.Second} }

func TestDeniedRetryIsLogged(t *testing.T) {
	is := is.New(t)
	u1, u2 := newStub(t, "u1", respond500First()), newStub(t, "u2", respond500First())
	b := newTestBoxWithConfig(t, withoutRetries, u1, u2)
	is.Equal(b.do(b.request("GET", "/safe/x", "")).status, 500)
	is.NoErr(b.relay.cfg.Log.Close())
	is.True(b.log.contains(`"msg":"run: not retried"`))
	is.True(b.log.contains(`"service":"s"`))
	is.Equal(b.relay.stats.counterValue(retriesDenied), uint64(1))
	rows := b.relay.state().Retries
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Service, "s")
	is.Equal(rows[0].Taken, uint32(1))
}

func TestRetryIsLogged(t *testing.T) {
	is := is.New(t)
	u1, u2 := newStub(t, "u1", respond500First()), newStub(t, "u2", respond500First())
	b := newTestBoxWithConfig(t, func(c *Config) { c.Version = "1.2" }, u1, u2)
	is.Equal(b.do(b.request("GET", "/safe/x", "")).status, 500)
	is.NoErr(b.relay.cfg.Log.Close())
	is.True(b.log.contains(`"msg":"run: retried"`))
	is.True(b.log.contains(`"sent_ms_ago":`))
	is.True(b.log.contains(`"version":"1.2"`))
}

// respond500 answers each request with status 500.
func respond500(c net.Conn, r stubRequest) bool {
	writeWire(c, "HTTP/1.1 500 Broken\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: bad\nContent-Length: 2\n\nno")
	return true
}

// With one retry budget for all services of a box, a failing service used up the retries that the
// requests of a healthy service had earned, and the healthy one got none. The "run: not retried" lines
// of both services then show the same figures.
func TestRetryBudgetIsPerService(t *testing.T) {
	is := is.New(t)
	healthy := newStub(t, "healthy", respondOK("ok"))
	bad1, bad2 := newStub(t, "bad1", respond500), newStub(t, "bad2", respond500)
	b := newTestBoxWithConfig(t, func(c *Config) { c.Budget = balance.BudgetConfig{Ratio: 0.5, Window: 10 * time.Second} }, bad1, bad2)
	doc := testDocument(2)
	doc.Services = append(doc.Services, route.Service{Name: "other", MaxConnections: 100})
	doc.Routes = append(doc.Routes, route.Route{Name: "other", Host: "h.example", Prefix: "/other/", Repeat: route.Repeatable, MaxAttempts: 2, Timeout: 5 * time.Second,
		Targets: []route.Target{{Service: "other", Weight: 1}}})
	b.publisher.set("document", doc, false)
	b.publisher.set("healthy", balance.Upstream{ID: "healthy", Service: "other", Address: healthy.listener.Addr().String(), Domain: "d", Slots: 8}, false)
	b.waitFor(func() bool { return b.upstreamCount() == 3 && b.do(b.request("GET", "/other/first", "")).status == 200 })
	for range 40 {
		is.Equal(b.do(b.request("GET", "/other/x", "")).status, 200)
	}
	for range 10 {
		is.Equal(b.do(b.request("GET", "/safe/x", "")).status, 500)
	}
	if arrivals := len(bad1.requests()) + len(bad2.requests()); arrivals > 15 {
		t.Fatalf("10 requests arrived %d times at upstreams; at most 5 retries are allowed", arrivals)
	}
}

// A retry must be taken from the budget when it is sent. Taken when it is decided, a retry without a
// connection was counted although no upstream received it, and one that waited for a connection was
// counted in an earlier window than the one it arrived in.
func TestUnsentRetryIsNotTakenFromBudget(t *testing.T) {
	is := is.New(t)
	bad, dead := newStub(t, "bad", respond500), newStub(t, "dead", respondOK(""))
	is.NoErr(dead.listener.Close())
	b := newTestBox(t, bad, dead)
	for len(bad.requests()) == 0 { // a request placed at dead first reaches bad as its first run
		is.Equal(b.do(b.request("GET", "/safe/x", "")).status, 500)
	}
	is.Equal(b.relay.state().Retries[0].Spent, uint32(0))
}
