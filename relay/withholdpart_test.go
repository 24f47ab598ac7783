package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Requests with different bodies shared one part of their prompts, and each crashed the upstreams
// that began to answer it. Boxes identified requests by their whole content and counted each as
// the first one: 61 upstreams crashed under one part, 33 of them after five had.

// maxEndedUnderPart is how many upstreams may crash under requests with one part if the requests
// come one after another.
const maxEndedUnderPart = 5

// newPartCrashingUpstreams returns upstreams that crash under requests whose prompt contains part
// 66, once begin has written the beginning of the answer.
func newPartCrashingUpstreams(t testing.TB, begin func(net.Conn, stubRequest)) *crashingUpstreams {
	m := newCrashingUpstreams(t)
	m.crash = func(c net.Conn, r stubRequest) bool {
		if !strings.Contains(r.Header.Get("X-Parts"), " 66:") {
			return false
		}
		begin(c, r)
		return true
	}
	return m
}

// send sends a request with a body and a last part of its own.
func (m *crashingUpstreams) send(b *testBox, path, name string, n int, sharedParts string) callerResponse {
	return b.do(b.request(http.MethodPost, path, fmt.Sprint(name, n), "X-Id", fmt.Sprint(name, "-", n),
		"X-Parts", fmt.Sprintf("%s %d:10", sharedParts, 1000+len(name)*1000+n)))
}

func TestPartThatCrashesUpstreamsIsWithheld(t *testing.T) {
	for _, test := range []struct {
		name, path string
		begin      func(net.Conn, stubRequest)
		parts      string
	}{
		{"before the header", "/safe/x", func(net.Conn, stubRequest) {}, "1:100 66:50"},
		{"after the header", "/flow/x", startStream, "1:100 66:50"},
		{"after the first event", "/flow/x", func(c net.Conn, r stubRequest) { startStream(c, r); writeChunk(c, event(1)) }, "1:100 66:50"},
		{"with other parts after it", "/safe/x", func(net.Conn, stubRequest) {}, "1:100 66:50 2:10"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := newPartCrashingUpstreams(t, test.begin)
			m.startBox(6, func(*Config) {})
			for n := range 12 {
				m.b.waitFor(func() bool { return m.b.lists(m.newest()) })
				m.send(m.b, test.path, "fatal", n, test.parts)
				is.Equal(m.send(m.b, "/safe/x", "sound", n, "1:100 2:10").status, http.StatusOK) // shares the other parts
			}
			t.Logf("%d upstreams crashed under one part", m.endedCount())
			is.True(m.endedCount() <= maxEndedUnderPart)
			got := m.send(m.b, test.path, "last", 0, test.parts)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.header.Get("Retry-After") != "")
		})
	}
}

// A run that was cut off names what other requests may share with it.
func TestLogOfRunCutOffNamesSharedParts(t *testing.T) {
	is := is.New(t)
	b := newTestBox(t, newStub(t, "u", func(net.Conn, stubRequest) bool { return false }))
	got := b.do(b.request(http.MethodPost, "/once/x", "body", "X-Parts", "1:100 171:50 1000:10"))
	is.Equal(got.status, http.StatusBadGateway)
	b.awaitLog(`"parts":"1 ab"`) // without the last one, which is of this request alone
	is.True(b.closedLogContains(`"route":"once"`))
}
