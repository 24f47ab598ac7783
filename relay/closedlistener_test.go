package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stream was cut off when its upstream, which had closed its listener to stop once its runs had ended, refused
// another request's connection.
func TestStreamIsCutOffByRefusedProbe(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	u := newStub(t, "u", twoEvents(proceed))
	b := newTestBox(t, u)
	done := make(chan callerResponse, 1)
	go func() { done <- b.do(b.request("POST", "/flow/x", "")) }()
	b.waitFor(func() bool { return len(u.requests()) == 1 })
	is.NoErr(u.listener.Close())
	is.True(b.once().status != 200)
	b.awaitLog(`"msg":"upstream: ended"`) // by the refused connection or a probe
	time.Sleep(2 * probeInterval)
	close(proceed)
	got := <-done
	is.NoErr(got.err)
	is.Equal(got.body, event(1)+event(2))
	is.Equal(len(u.requests()), 1)
}
