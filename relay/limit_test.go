package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// An upstream in need named in its answers how many requests a second it takes from all boxes together.
// Boxes passed that on to their callers like any other header and sent it as much as before: nobody read it,
// and so no box told another. On the recorded day one that named 3.3 a second got, second by second,
//
//	7 s: 9   8 s: 12 (names its limit)   9 s: 5   10 s: 6   11 s: 9   12 s: 7
//
// which is 27 in 4 s from boxes that it had told, where 25 are allowed; another, that named 1.5, got 17, allowed
// 14. The lines of the boxes held no word of it, and each of these requests had run once: it was neither
// repeats nor a share that each box took for itself.

// What an upstream may get in allowedSpan: allowedTimes what it names, and allowedSlack.
const (
	allowedSpan  = 4 * time.Second
	allowedTimes = 1.5
	allowedSlack = 5
)

// needy are upstreams of which the first names a limit.
type needy struct {
	t     testing.TB
	list  []*stub
	mu    sync.Mutex
	limit string      // as its answers name it; empty: they name none
	got   []time.Time // when requests reached it
}

func newNeedy(t testing.TB, limit string) *needy {
	n := &needy{t: t, limit: limit}
	for i := range 3 {
		n.list = append(n.list, newStub(t, fmt.Sprint("u", i), func(c net.Conn, r stubRequest) bool {
			if i > 0 || r.Header.Get("X-Id") == "" {
				return respondOK("well")(c, r)
			}
			n.mu.Lock()
			n.got = append(n.got, time.Now())
			named := ""
			if n.limit != "" {
				named = "X-Limit: " + n.limit + "\n"
			}
			n.mu.Unlock()
			writeWire(c, fmt.Sprintf("HTTP/1.1 200 OK\nX-Id: %s\nX-Sign: s\n%sContent-Length: 4\n\nwell", r.Header.Get("X-Id"), named))
			return true
		}))
	}
	return n
}

// arrivals is how many requests have reached the one in need, and most the most of them in allowedSpan.
func (n *needy) arrivals() (all, most int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, at := range n.got {
		within := 0
		for _, later := range n.got[i:] {
			if later.Sub(at) < allowedSpan {
				within++
			}
		}
		most = max(most, within)
	}
	return len(n.got), most
}

// send sends requests by a box, one after the other.
func (n *needy) send(b *testBox, name string, count int) {
	for i := range count {
		b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", fmt.Sprint(name, "-", i)))
	}
}

// untilNamed sends requests by a box until one has reached the upstream that names its limit.
func (n *needy) untilNamed(b *testBox) {
	for i := 0; ; i++ {
		if all, _ := n.arrivals(); all > 0 {
			return
		}
		n.send(b, fmt.Sprint("first-", i), 1)
	}
}

func TestAnUpstreamGetsNoMoreThanItNames(t *testing.T) {
	is := is.New(t)
	n := newNeedy(t, "1")
	b := newTestBox(t, n.list...)
	n.untilNamed(b)
	n.send(b, "more", 60)
	_, most := n.arrivals()
	t.Logf("%d requests in %v", most, allowedSpan)
	is.True(float64(most) <= allowedTimes*allowedSpan.Seconds()*1+allowedSlack)
}

// A box that the upstream has not told yet is told by the one that it has.
func TestBoxesTellEachOtherWhatUpstreamsName(t *testing.T) {
	is := is.New(t)
	n := newNeedy(t, "1")
	var self *wire.GroupBox
	first := newTestBoxWithConfig(t, func(c *Config) {
		joins(t, c, "first")
		self = c.Self
	}, n.list...)
	second := first.peerOf(self)
	n.untilNamed(first)
	second.waitFor(func() bool { return second.log.contains(`"msg":"upstream: names a limit"`) })
	before, _ := n.arrivals()
	n.send(second, "second", 40)
	all, most := n.arrivals()
	t.Logf("%d requests by the second box, %d in %v", all-before, most, allowedSpan)
	is.True(float64(most) <= allowedTimes*allowedSpan.Seconds()*1+allowedSlack)
}

func TestWhatALimitIsReadAs(t *testing.T) {
	nothing, none := limitSaid{}, limitSaid{read: true}
	named := func(perSecond float64) limitSaid { return limitSaid{read: true, named: true, perSecond: perSecond} }
	for _, c := range []struct {
		name    string
		headers []string
		want    limitSaid
	}{
		{"no header", nil, none},
		{"a whole number", []string{"3"}, named(3)},
		{"a decimal one", []string{" 3.25 "}, named(3.25)},
		{"nothing may be sent", []string{"0"}, named(0)},
		{"next to nothing", []string{"0.01"}, named(0.01)},
		{"huge", []string{"1" + strings.Repeat("0", 400)}, named(balance.NoLimit)},
		{"empty", []string{""}, nothing},
		{"a point alone", []string{"."}, nothing},
		{"two points", []string{"1.2.3"}, nothing},
		{"below 0", []string{"-1"}, nothing},
		{"a sign", []string{"+1"}, nothing},
		{"an exponent", []string{"1e3"}, nothing},
		{"hexadecimal", []string{"0x10"}, nothing},
		{"infinite", []string{"inf"}, nothing},
		{"not a number", []string{"NaN"}, nothing},
		{"a unit", []string{"3/s"}, nothing},
		{"a list", []string{"3, 4"}, nothing},
		{"the lower of two", []string{"4", "3"}, named(3)},
		{"the one that can be read", []string{"many", "3"}, named(3)},
		{"the one that can be read, before", []string{"3", "many"}, named(3)},
		{"none that can be read", []string{"many", "more"}, nothing},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var h fasthttp.ResponseHeader
			h.DisableNormalizing()
			for i, value := range c.headers {
				h.Add([]string{"X-Limit", "x-limit"}[i], value)
			}
			is.Equal(limitIn(&h, "X-Limit"), c.want)
		})
	}
}

// limitOf is what a box keeps to.
func (b *testBox) limitOf(id string) (balance.LimitQuota, bool) {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	return b.relay.fleet.Limit(b.relay.now(), id)
}

// answerNaming answers with headers besides.
func answerNaming(status string, headers ...string) func(net.Conn, stubRequest) bool {
	return func(c net.Conn, r stubRequest) bool {
		writeWire(c, fmt.Sprintf("HTTP/1.1 %s\nX-Id: %s\nX-Sign: s\n%s\nContent-Length: 4\n\nwell", status, r.Header.Get("X-Id"), strings.Join(headers, "\n")))
		return true
	}
}

// All upstreams take nothing: who is refused hears it at once, with when to come back; and operators see why.
func TestWhereAllUpstreamsTakeNoMoreCallersHearItAtOnce(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", answerNaming("200 OK", "X-Limit: 0"))
	b := newTestBox(t, u)
	got := b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", "first"))
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.header.Get("X-Limit"), "0") // the answer is passed on as it came
	got = b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", "second"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.True(strings.Contains(got.body, limitReason))
	is.True(strings.Contains(got.body, `"ran":"no"`))
	is.Equal(len(u.requests()), 1)
	is.Equal(b.relay.stats.counted(heldBack), uint64(1))
	rows := b.relay.state().Upstreams
	is.Equal(len(rows), 1)
	is.True(rows[0].Limit != nil)
	is.Equal(rows[0].Limit.PerSecond, 0.0)
	is.Equal(rows[0].Limit.Span, uint64(10*time.Second/time.Microsecond))
}

// What names no limit, or none that can be read, is believed of nobody, whoever wrote it.
func TestWhoseLimitIsBelieved(t *testing.T) {
	for _, c := range []struct {
		name   string
		script func(net.Conn, stubRequest) bool
		known  bool
	}{
		{"an answer's", answerNaming("200 OK", "x-limit: 7"), true},
		{"a failure's", answerNaming("500 Broken", "X-Limit: 7"), true},
		{"a refusal's", answerNaming("503 Full", "X-Not-Run: 1", "X-Limit: 7"), true},
		{"another start's", answerNaming("421 Other", "X-Not-Run: 1", "X-Started: next", "X-Limit: 7"), false},
		{"one that cannot be read", answerNaming("200 OK", "X-Limit: -7"), false},
		{"the caller's", respondOK("well"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := newStub(t, "u", c.script)
			b := newTestBox(t, u)
			b.do(b.request(http.MethodPost, "/once/x", "x", "X-Limit", "7"))
			is.Equal(u.requests()[0].Header.Get("X-Limit"), "7") // a caller's header goes on like any other
			l, known := b.limitOf("u")
			is.Equal(known, c.known)
			if known {
				is.Equal(l.PerSecond, 7.0)
			}
		})
	}
}

// Another start under the same id has named nothing, and one whose limit has ended gets requests again.
func TestALimitIsThatOfALife(t *testing.T) {
	is := is.New(t)
	n := newNeedy(t, "0")
	b := newTestBox(t, n.list...)
	n.untilNamed(b)
	_, known := b.limitOf("u0")
	is.True(known)
	u := balance.Upstream{ID: "u0", StartedAt: 5, Service: "s", Address: n.list[0].listener.Addr().String(), Domain: "d", Slots: 8}
	b.publisher.set("u0", u, false)
	b.waitFor(func() bool { return b.log.contains(`"msg":"upstream: started again"`) })
	_, known = b.limitOf("u0")
	is.True(!known)
}

// Calls of the box's own tell of limits as well; that such an answer names none ends none, since nothing says that
// it would.
func TestWhatAnswersToCallsSayOfLimits(t *testing.T) {
	is := is.New(t)
	limit := "X-Limit: 7"
	u := newStub(t, "u", func(c net.Conn, r stubRequest) bool { return answerNaming("200 OK", limit)(c, r) })
	b := newTestBox(t, u)
	call := func() {
		_, _, err := b.relay.callUpstream(t.Context(), *b.relay.fleet.Get("u"), "s", UpstreamCall{Method: http.MethodGet, Path: "/tell"})
		is.NoErr(err)
	}
	call()
	l, known := b.limitOf("u")
	is.True(known)
	is.Equal(l.PerSecond, 7.0)
	limit = "X-Other: 7"
	call()
	_, known = b.limitOf("u")
	is.True(known)
	b.waitFor(func() bool { // a box that has just started has no part
		l, _ := b.limitOf("u")
		return l.Quota > 0
	})
	b.do(b.request(http.MethodPost, "/safe/x", "x"))
	_, known = b.limitOf("u")
	is.True(!known) // an answer to a request does
}

// A connection on which nothing was sent, since its upstream takes no more, can be used again.
func TestAConnectionThatWasNotUsedIsKept(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", respondOK("well"))
	b := newTestBox(t, u)
	to := *b.relay.fleet.Get("u")
	c, err := b.relay.conns.get(t.Context(), to, "s")
	is.NoErr(err)
	for range 3 {
		b.relay.conns.putBack(c)
		again, err := b.relay.conns.get(t.Context(), to, "s")
		is.NoErr(err)
		is.True(again == c)
	}
	b.relay.conns.drop(c)
}
