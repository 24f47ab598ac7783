package relay

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTestBoxWithoutDocument starts a box that knows an upstream but no document yet.
func newTestBoxWithoutDocument(t *testing.T) (*testBox, *stub) {
	t.Helper()
	s := newStub(t, "u1", respondOK("fine"))
	b := newTestBox(t)
	b.listUpstream(s, false)
	b.waitFor(func() bool { return b.upstreamCount() == 1 })
	return b, s
}

// waitedForDocument returns the number of requests that waited for a document.
func (b *testBox) waitedForDocument() uint64 { return b.relay.stats.counterValue("held_starting") }

// A request that arrives before the box has a document is served when the document arrives.
func TestRequestWaitsForDocument(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBoxWithoutDocument(t)
	got := make(chan callerResponse, 1)
	go func() { got <- b.do(b.request("POST", "/once/a", "")) }()
	b.waitFor(func() bool { return b.waitedForDocument() == 1 })
	b.publisher.set("document", testDocument(1), false)
	a := <-got
	is.Equal(a.status, 200)
	is.Equal(a.body, "fine")
}

// A request waits while the box may lack what the running boxes know of withheld contents and limits.
func TestRequestWaitsForEntriesOfRunningBoxes(t *testing.T) {
	is := is.New(t)
	s := newStub(t, "u1", respondOK("fine"))
	b := newTestBox(t, s)
	is.Equal(b.do(b.request("POST", "/once/a", "")).status, 200)
	b.relay.members.informed = make(chan struct{})
	waited := b.waitedForDocument()
	got := make(chan callerResponse, 1)
	go func() { got <- b.do(b.request("POST", "/once/b", "")) }()
	b.waitFor(func() bool { return b.waitedForDocument() == waited+1 })
	is.Equal(len(s.requests()), 1)
	close(b.relay.members.informed)
	is.Equal((<-got).status, 200)
}

// If no document arrives, the request is refused as not run, with a Retry-After header.
func TestRequestIsRefusedWithoutDocument(t *testing.T) {
	is := is.New(t)
	b, s := newTestBoxWithoutDocument(t)
	a := b.do(b.request("POST", "/once/a", "", "X-Left", "400"))
	is.Equal(a.status, 503)
	is.True(strings.Contains(a.body, `"ran":"no"`))
	is.Equal(a.header.Get("Retry-After"), "1.00")
	is.Equal(b.waitedForDocument(), uint64(1))
	is.Equal(len(s.requests()), 0)
}

// A request whose caller disconnects while it waits is sent to no upstream.
func TestWaitingRequestEndsWhenCallerDisconnects(t *testing.T) {
	is := is.New(t)
	b, s := newTestBoxWithoutDocument(t)
	const callers = 10
	for i := range callers {
		c := b.dialBox()
		_, err := io.WriteString(c, rawRequest(fmt.Sprintf("/once/%d", i), ""))
		is.NoErr(err)
		b.waitFor(func() bool { return b.waitedForDocument() == uint64(i+1) })
		is.NoErr(c.Close())
	}
	b.waitFor(func() bool { return b.relay.stats.counterValue("refused_"+callerLeft) == callers })
	b.publisher.set("document", testDocument(1), false)
	is.Equal(b.do(b.request("POST", "/once/a", "")).status, 200)
	is.Equal(len(s.requests()), 1)
}

// The wait for the document counts towards the request's timeout.
func TestDocumentWaitCountsTowardsTimeout(t *testing.T) {
	is := is.New(t)
	b, s := newTestBoxWithoutDocument(t)
	got := make(chan callerResponse, 1)
	go func() { got <- b.do(b.request("POST", "/once/a", "", "X-Left", "4000")) }()
	b.waitFor(func() bool { return b.waitedForDocument() == 1 })
	time.Sleep(300 * time.Millisecond) // the request waits at least this long
	b.publisher.set("document", testDocument(1), false)
	is.Equal((<-got).status, 200)
	left, err := strconv.Atoi(s.requests()[0].Header.Get("X-Left"))
	is.NoErr(err)
	is.True(left <= 3700)
}

// A caller that sends its next request early is not taken for disconnected.
func TestPipelinedRequestIsNoDisconnect(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBoxWithoutDocument(t)
	c := b.dialBox()
	_, err := io.WriteString(c, rawRequest("/once/a", "")+rawRequest("/once/b", ""))
	is.NoErr(err)
	b.waitFor(func() bool { return b.waitedForDocument() == 1 })
	b.publisher.set("document", testDocument(1), false)
	in := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
	}
}
