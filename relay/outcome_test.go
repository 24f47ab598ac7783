package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

func TestOutcomeOfStatus(t *testing.T) {
	tests := []struct {
		status int
		time   time.Duration // timeout of the caller; that of the route is 12 s
		want   balance.Outcome
	}{
		{200, 12 * time.Second, balance.Answered},
		{404, 12 * time.Second, balance.Answered}, // concerns the caller, not the upstream
		{500, 12 * time.Second, balance.Failed},
		{500, 400 * time.Millisecond, balance.Failed},
		{504, 12 * time.Second, balance.Failed},
		{504, 400 * time.Millisecond, balance.Neutral}, // the caller's short timeout expired
	}
	for _, tt := range tests {
		is := is.New(t)
		x := &exchange{route: &route.Route{Timeout: 12 * time.Second}, arrived: time.Unix(1, 0)}
		x.deadline = x.arrived.Add(tt.time)
		is.Equal(x.outcomeOf(tt.status), tt.want) // as listed above
		x.ctx = context.Background()
		if tt.status >= 500 { // on a route that may repeat requests, the status is an error
			is.Equal(x.outcomeOfFailure(runUnknown, statusError(tt.status)), tt.want)
		}
	}
}

// A run that could not be sent to an earlier instance of an upstream neither closes connections to the
// current instance nor marks that one as unreachable. A failed run on the current instance does both.
func TestFailureOfEarlierInstanceKeepsCurrentConnections(t *testing.T) {
	is := is.New(t)
	u, v := newStub(t, "u", respondOK("ok")), newStub(t, "v", respondOK("ok"))
	b := newTestBox(t, u, v)
	b.listIncarnation(u, 200, false)
	b.awaitIncarnation("u", 200)
	r := b.relay
	current, _ := r.listedUpstream("u")
	c, err := r.conns.get(context.Background(), current, "s")
	is.NoErr(err)
	r.conns.putIdle(c, time.Minute)
	idleConns := func() int {
		r.conns.mu.Lock()
		defer r.conns.mu.Unlock()
		return len(r.conns.idle[idleKey{id: "u"}])
	}
	r.mu.Lock()
	r.fleet.Open(r.now(), "v", balance.Request{Service: "s"}).Close(r.now(), balance.Unreachable)
	r.mu.Unlock()

	x := &exchange{relay: r, request: &request{}, ctx: context.Background(), upstream: current}
	x.upstream.StartedAt = 100
	x.recordFailure(runUnsent, syscall.ECONNREFUSED)
	is.Equal(idleConns(), 1)
	r.mu.Lock()
	lost := r.fleet.TakeNewlyUnreachable()
	x.ticket = r.fleet.Open(r.now(), "u", balance.Request{Service: "s"})
	r.mu.Unlock()
	is.Equal(len(lost), 1) // not yet attributed to u
	x.upstream.StartedAt = 200
	x.recordFailure(runUnsent, syscall.ECONNREFUSED)
	is.Equal(idleConns(), 0)
	b.awaitLog("out of reach")
}

// An upstream that has run a request answered with a status by which callers take it for not run: it was
// passed on, and the caller sent the request again.
func TestStatusOfRequestThatHasRunStatesThatItHasNot(t *testing.T) {
	respond := func(status int) func(net.Conn, stubRequest) bool {
		return func(c net.Conn, r stubRequest) bool {
			writeWire(c, fmt.Sprintf("HTTP/1.1 %d No\nX-Id: %s\nX-Sign: s\nRetry-After: 1\nContent-Length: 0\n\n", status, r.Header.Get("X-Id")))
			return true
		}
	}
	for _, test := range []struct {
		path         string
		status, want int
		signed       bool
	}{
		{"/once/x", http.StatusServiceUnavailable, http.StatusBadGateway, false},
		{"/once/x", http.StatusTooManyRequests, http.StatusBadGateway, false},
		{"/once/x", http.StatusRequestTimeout, http.StatusBadGateway, false},
		{"/once/x", http.StatusInternalServerError, http.StatusInternalServerError, true},
		{"/once/x", http.StatusConflict, http.StatusConflict, true},
		{"/safe/x", http.StatusServiceUnavailable, http.StatusServiceUnavailable, true},
		{"/safe/x", http.StatusTooManyRequests, http.StatusTooManyRequests, true},
	} {
		t.Run(fmt.Sprint(test.path, " ", test.status), func(t *testing.T) {
			is := is.New(t)
			b := newTestBox(t, newStub(t, "u1", respond(test.status)))
			a := b.do(b.request(http.MethodPost, test.path, ""))
			is.Equal(a.status, test.want)
			is.Equal(a.header.Get("X-Sign") != "", test.signed)
			is.Equal(strings.Contains(a.body, `"ran":"unknown"`), !test.signed)
			is.True(test.signed || a.header.Get("Retry-After") == "")
		})
	}
}
