package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stallingUpstream is an upstream whose host accepts nothing for a while after it has read the header
// of a request, and then goes on.
func stallingUpstream(t *testing.T, id string, pause time.Duration) *stub {
	t.Helper()
	l := listen(t)
	shrinkReceiveBuffer(t, l)
	go acceptStalling(l, id, pause)
	return &stub{id: id, listener: l}
}

// shrinkReceiveBuffer makes the kernel hold little of what a listener's connections receive.
func shrinkReceiveBuffer(t *testing.T, l net.Listener) {
	t.Helper()
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }); err != nil {
		t.Fatal(err)
	}
}

func acceptStalling(l net.Listener, id string, pause time.Duration) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serveStalling(c, id, pause)
	}
}

func serveStalling(c net.Conn, id string, pause time.Duration) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReaderSize(c, 512)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	time.Sleep(pause)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	respondOK(id)(c, stubRequest{Request: r})
}

// A request that may run once was given up after 1.2 s in which its upstream accepted nothing, though
// the upstream was sound and went on.
func TestRequestOutlastsSilenceOfASecond(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 1300 * time.Millisecond, 1600 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newTestBox(t, stallingUpstream(t, "u", pause))
			got := b.do(b.request(http.MethodPost, "/once/x", strings.Repeat("x", 1<<20)))
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, "u")
		})
	}
}

// Each run was looked at once: a path that fell silent after that look was noticed by the kernel alone.
func TestPathThatFallsSilentAfterItsCheckIsNoticed(t *testing.T) {
	is := is.New(t)
	l := listenWithoutQueue(t)
	shrinkReceiveBuffer(t, l)
	u := &darkUpstream{t: t, stub: &stub{id: "u", listener: l}}
	go acceptStalling(&darkListener{l, u}, "u", 20*time.Second)
	b := newTestBox(t, u.stub)
	b.publisher.set("document", longDocument(), false)
	b.waitFor(func() bool { return b.relay.documentVersion() == 2 })
	answered := make(chan callerResponse, 1)
	go func() {
		answered <- b.do(b.request(http.MethodPost, "/once/x", strings.Repeat("x", 1<<20), "X-Left", "20000"))
	}()
	b.waitFor(func() bool { return b.relay.stats.counterValue("paths_checked") == 1 })
	is.True(!b.isUnreachable("u"))
	u.disappear()
	b.waitFor(func() bool { return b.isUnreachable("u") })
	u.reappear()
	_ = l.Close()
	<-answered
}

// A request on an open connection whose path fell silent was the only sign of that until the kernel
// gave the connection up; until then, others were sent on open connections as well.
func TestUnacknowledgedRequestLeadsToCheckOfPath(t *testing.T) {
	is := is.New(t)
	l := listenWithoutQueue(t)
	shrinkReceiveBuffer(t, l)
	u := &darkUpstream{t: t, stub: &stub{id: "u", listener: l}}
	go acceptStalling(&darkListener{l, u}, "u", 2*time.Second)
	b := newTestBox(t, u.stub, newStub(t, "v", respondOK("v")))
	answered := make(chan callerResponse, 1)
	go func() { answered <- b.do(b.request(http.MethodPost, "/once/x", strings.Repeat("x", 1<<20))) }()
	b.waitFor(func() bool { return b.relay.stats.openRequests.Load() == 1 })
	u.disappear() // it accepts no further connection
	b.waitFor(func() bool { return b.isUnreachable("u") })
	is.Equal(b.once().body, "v")
	u.reappear()
	is.Equal((<-answered).body, "u") // it goes on
}
