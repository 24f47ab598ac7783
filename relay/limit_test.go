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

// An overloaded upstream stated in its responses how many requests per second it accepts from all
// boxes together. Boxes forwarded that header to their callers like any other and did not tell
// each other or log it, so the load stayed as it was. In a recorded run, an upstream that stated 3.3 per
// second got, second by second,
//
//	7 s: 9   8 s: 12 (limit stated)   9 s: 5   10 s: 6   11 s: 9   12 s: 7
//
// which is 27 in 4 s from boxes that knew the limit, where 25 are allowed; another, which
// stated 1.5, got 17 where 14 are allowed. Each of these requests had run once, so neither
// retries nor the division among boxes caused the excess.

// Bounds on the requests to an upstream in allowedSpan: allowedFactor times its limit, plus
// allowedSlack.
const (
	allowedSpan   = 4 * time.Second
	allowedFactor = 1.5
	allowedSlack  = 5
)

// limitedUpstreams are upstreams of which the first states a limit.
type limitedUpstreams struct {
	t     testing.TB
	list  []*stub
	mu    sync.Mutex
	limit string      // as stated in responses; empty: none
	got   []time.Time // when requests reached it
}

func newLimitedUpstreams(t testing.TB, limit string) *limitedUpstreams {
	n := &limitedUpstreams{t: t, limit: limit}
	for i := range 3 {
		n.list = append(n.list, newStub(t, fmt.Sprint("u", i), func(c net.Conn, r stubRequest) bool {
			if i > 0 || r.Header.Get("X-Id") == "" {
				return respondOK("well")(c, r)
			}
			n.mu.Lock()
			n.got = append(n.got, time.Now())
			header := ""
			if n.limit != "" {
				header = "X-Limit: " + n.limit + "\n"
			}
			n.mu.Unlock()
			writeWire(c, fmt.Sprintf("HTTP/1.1 200 OK\nX-Id: %s\nX-Sign: s\n%sContent-Length: 4\n\nwell", r.Header.Get("X-Id"), header))
			return true
		}))
	}
	return n
}

// arrivals returns how many requests have reached the first upstream, and the highest number of
// them within allowedSpan.
func (n *limitedUpstreams) arrivals() (all, mostInSpan int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, at := range n.got {
		within := 0
		for _, later := range n.got[i:] {
			if later.Sub(at) < allowedSpan {
				within++
			}
		}
		mostInSpan = max(mostInSpan, within)
	}
	return len(n.got), mostInSpan
}

// send sends requests through a box, one after the other.
func (n *limitedUpstreams) send(b *testBox, name string, count int) {
	for i := range count {
		b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", fmt.Sprint(name, "-", i)))
	}
}

// untilLimitSeen sends requests through a box until one has reached the upstream that states its
// limit.
func (n *limitedUpstreams) untilLimitSeen(b *testBox) {
	for i := 0; ; i++ {
		if all, _ := n.arrivals(); all > 0 {
			return
		}
		n.send(b, fmt.Sprint("first-", i), 1)
	}
}

func TestUpstreamLimitIsRespected(t *testing.T) {
	is := is.New(t)
	n := newLimitedUpstreams(t, "1")
	b := newTestBox(t, n.list...)
	n.untilLimitSeen(b)
	n.send(b, "more", 60)
	_, most := n.arrivals()
	t.Logf("%d requests in %v", most, allowedSpan)
	is.True(float64(most) <= allowedFactor*allowedSpan.Seconds()*1+allowedSlack)
}

// A box that has not received an upstream's limit itself learns it from another box.
func TestLimitIsSharedBetweenBoxes(t *testing.T) {
	is := is.New(t)
	n := newLimitedUpstreams(t, "1")
	var self *wire.GroupBox
	first := newTestBoxWithConfig(t, func(c *Config) {
		joinGroup(t, c, "first")
		self = c.Self
	}, n.list...)
	second := first.startPeer(self)
	n.untilLimitSeen(first)
	second.awaitLog(`"msg":"upstream: names a limit"`)
	before, _ := n.arrivals()
	n.send(second, "second", 40)
	all, most := n.arrivals()
	t.Logf("%d requests by the second box, %d in %v", all-before, most, allowedSpan)
	is.True(float64(most) <= allowedFactor*allowedSpan.Seconds()*1+allowedSlack)
}

func TestReadLimit(t *testing.T) {
	ignored, none := limitHeader{}, limitHeader{valid: true}
	named := func(perSecond float64) limitHeader {
		return limitHeader{valid: true, present: true, perSecond: perSecond}
	}
	for _, c := range []struct {
		name    string
		headers []string
		want    limitHeader
	}{
		{"no header", nil, none},
		{"integer", []string{"3"}, named(3)},
		{"decimal fraction", []string{" 3.25 "}, named(3.25)},
		{"zero", []string{"0"}, named(0)},
		{"small", []string{"0.01"}, named(0.01)},
		{"huge", []string{"1" + strings.Repeat("0", 400)}, named(balance.NoLimit)},
		{"empty", []string{""}, ignored},
		{"decimal point only", []string{"."}, ignored},
		{"two decimal points", []string{"1.2.3"}, ignored},
		{"negative", []string{"-1"}, ignored},
		{"plus sign", []string{"+1"}, ignored},
		{"exponent", []string{"1e3"}, ignored},
		{"hexadecimal", []string{"0x10"}, ignored},
		{"infinity", []string{"inf"}, ignored},
		{"not a number", []string{"NaN"}, ignored},
		{"unit", []string{"3/s"}, ignored},
		{"list", []string{"3, 4"}, ignored},
		{"lower of two", []string{"4", "3"}, named(3)},
		{"invalid, then valid", []string{"many", "3"}, named(3)},
		{"valid, then invalid", []string{"3", "many"}, named(3)},
		{"two invalid", []string{"many", "more"}, ignored},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var h fasthttp.ResponseHeader
			h.DisableNormalizing()
			for i, value := range c.headers {
				h.Add([]string{"X-Limit", "x-limit"}[i], value)
			}
			is.Equal(readLimit(&h, "X-Limit"), c.want)
		})
	}
}

// limitOf returns the limit that a box applies to an upstream.
func (b *testBox) limitOf(id string) (balance.LimitQuota, bool) {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	return b.relay.fleet.Limit(b.relay.now(), id)
}

// respondWithHeaders answers with additional headers.
func respondWithHeaders(status string, headers ...string) func(net.Conn, stubRequest) bool {
	return func(c net.Conn, r stubRequest) bool {
		writeWire(c, fmt.Sprintf("HTTP/1.1 %s\nX-Id: %s\nX-Sign: s\n%s\nContent-Length: 4\n\nwell", status, r.Header.Get("X-Id"), strings.Join(headers, "\n")))
		return true
	}
}

// If all upstreams have reached their limits, callers are refused at once and told when to come
// back, and the cause shows in the state.
func TestRefusalWhenAllUpstreamsAreAtLimits(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", respondWithHeaders("200 OK", "X-Limit: 0"))
	b := newTestBox(t, u)
	got := b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", "first"))
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.header.Get("X-Limit"), "0") // the response is forwarded unchanged
	got = b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", "second"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.True(strings.Contains(got.body, limitReason))
	is.True(strings.Contains(got.body, `"ran":"no"`))
	is.Equal(len(u.requests()), 1)
	is.Equal(b.relay.stats.counterValue(requestsHeldBack), uint64(1))
	rows := b.relay.state().Upstreams
	is.Equal(len(rows), 1)
	is.True(rows[0].Limit != nil)
	is.Equal(rows[0].Limit.PerSecond, 0.0)
	is.Equal(rows[0].Limit.Span, uint64(10*time.Second/time.Microsecond))
}

// While a box did not know yet how many requests all boxes had sent to an upstream before its limit, it
// refused requests that the limit allows. They wait for that.
func TestRequestWaitsForPriorTotal(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", respondOK("well"))
	b := newTestBoxWithConfig(t, func(c *Config) { c.Timing.MemberTimeout = 50 * time.Millisecond }, u)
	begin, end := balance.LimitStatement{Named: true, PerSecond: 100}, balance.LimitStatement{}
	b.noteLimit("u", begin)
	b.waitFor(func() bool {
		l, _ := b.limitOf("u")
		return l.Quota > 0
	})
	for i := range 10 {
		b.noteLimit("u", end)
		b.noteLimit("u", begin)
		got := b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", fmt.Sprint(i)))
		is.Equal(got.status, http.StatusOK)
	}
}

// noteLimit lets the box read a statement in an answer to a request sent just before.
func (b *testBox) noteLimit(id string, s balance.LimitStatement) {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	s.Sent, s.Read = b.relay.now(), b.relay.now()+1
	b.relay.fleet.NoteLimitStatement(b.relay.now(), b.relay.fleet.Get(id).Incarnation(), s)
	wake(b.relay.members.loadsChanged)
}

// Only the upstream's own responses set its limit, and only with a valid value.
func TestResponsesThatSetLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		script func(net.Conn, stubRequest) bool
		known  bool
	}{
		{"answer", respondWithHeaders("200 OK", "x-limit: 7"), true},
		{"failure", respondWithHeaders("500 Broken", "X-Limit: 7"), true},
		{"refusal", respondWithHeaders("503 Full", "X-Not-Run: 1", "X-Limit: 7"), true},
		{"another instance", respondWithHeaders("421 Other", "X-Not-Run: 1", "X-Started: next", "X-Limit: 7"), false},
		{"invalid value", respondWithHeaders("200 OK", "X-Limit: -7"), false},
		{"caller's header only", respondOK("well"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := newStub(t, "u", c.script)
			b := newTestBox(t, u)
			b.do(b.request(http.MethodPost, "/once/x", "x", "X-Limit", "7"))
			is.Equal(u.requests()[0].Header.Get("X-Limit"), "7") // a caller's header is forwarded like any other
			l, known := b.limitOf("u")
			is.Equal(known, c.known)
			if known {
				is.Equal(l.PerSecond, 7.0)
			}
		})
	}
}

// A new incarnation under the same ID starts without a limit.
func TestLimitIsPerIncarnation(t *testing.T) {
	is := is.New(t)
	n := newLimitedUpstreams(t, "0")
	b := newTestBox(t, n.list...)
	n.untilLimitSeen(b)
	_, known := b.limitOf("u0")
	is.True(known)
	u := balance.Upstream{ID: "u0", StartedAt: 5, Service: "s", Address: n.list[0].listener.Addr().String(), Domain: "d", Slots: 8}
	b.publisher.set("u0", u, false)
	b.awaitLog(`"msg":"upstream: started again"`)
	_, known = b.limitOf("u0")
	is.True(!known)
}

// Responses to the box's own calls set limits as well; a missing header in such a response does
// not clear one, since those responses need not repeat it.
func TestLimitInResponsesToCalls(t *testing.T) {
	is := is.New(t)
	limit := "X-Limit: 7"
	u := newStub(t, "u", func(c net.Conn, r stubRequest) bool { return respondWithHeaders("200 OK", limit)(c, r) })
	b := newTestBox(t, u)
	call := func() {
		_, err := b.relay.callUpstream(t.Context(), *b.relay.fleet.Get("u"), "s", UpstreamCall{Method: http.MethodGet, Path: "/tell"})
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
	b.waitFor(func() bool { // a box that has just started has no share
		l, _ := b.limitOf("u")
		return l.Quota > 0
	})
	b.do(b.request(http.MethodPost, "/safe/x", "x"))
	_, known = b.limitOf("u")
	is.True(!known) // a response to a request clears it
}

// A connection on which nothing was sent, because its upstream had reached its limit, is
// reused.
func TestUnusedConnectionIsKept(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", respondOK("well"))
	b := newTestBox(t, u)
	to := *b.relay.fleet.Get("u")
	c, err := b.relay.conns.get(t.Context(), to, "s")
	is.NoErr(err)
	for range 3 {
		b.relay.conns.putUnused(c)
		again, err := b.relay.conns.get(t.Context(), to, "s")
		is.NoErr(err)
		is.True(again == c)
	}
	b.relay.conns.discard(c)
}
