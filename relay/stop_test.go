package relay

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestPlannedStopCompletesRunningRequests(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	started := make(chan struct{})
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		close(started)
		<-release
		return respondOK("whole")(c, r)
	})
	b := newTestBox(t, u)
	result := make(chan callerResponse, 1)
	go func() { result <- b.do(b.request("POST", "/once/x", "")) }()
	<-started
	stopped := make(chan struct{})
	go func() { b.relay.Stop(); close(stopped) }()
	b.waitFor(func() bool { return !b.relay.Ready() })
	close(release)
	a := <-result
	is.Equal(a.body, "whole")
	is.Equal(a.header.Get("Connection"), "") // net/http removes "Connection: close" from the headers
	<-stopped
}

// After the grace period of a planned stop, a connection that was busy until then may deliver another
// request. It must be refused as not run; accepted, it would be lost when the process ends.
func TestRequestsAreRefusedAfterGracePeriod(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBox(t, u)
	b.relay.graceOver.Store(true)
	a := b.do(b.request("POST", "/once/x", ""))
	is.Equal(a.status, 503)
	is.True(strings.Contains(a.body, `"ran":"no"`))
	is.Equal(len(u.requests()), 0)
}

// A request still active at the end of the grace period is cut off when the process exits. The log
// must report each of them.
func TestStopLogsEachRequestItCuts(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{})
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		close(started)
		<-release
		return respondOK("late")(c, r)
	})
	b := newTestBox(t, u)
	result := make(chan callerResponse, 1)
	go func() { result <- b.do(b.request("POST", "/once/x", "")) }()
	<-started
	b.relay.Stop()
	b.awaitLog(`"msg":"request: cut by the stop"`)
	b.awaitLog(`"upstream":"u1"`)
	close(release)
	<-result
}
