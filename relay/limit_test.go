package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

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
				return answerOK("well")(c, r)
			}
			n.mu.Lock()
			n.got = append(n.got, time.Now())
			named := ""
			if n.limit != "" {
				named = "X-Limit: " + n.limit + "\n"
			}
			n.mu.Unlock()
			say(c, fmt.Sprintf("HTTP/1.1 200 OK\nX-Id: %s\nX-Sign: s\n%sContent-Length: 4\n\nwell", r.Header.Get("X-Id"), named))
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
func (n *needy) send(b *bench, name string, count int) {
	for i := range count {
		b.do(b.request(http.MethodPost, "/safe/x", "x", "X-Id", fmt.Sprint(name, "-", i)))
	}
}

// untilNamed sends requests by a box until one has reached the upstream that names its limit.
func (n *needy) untilNamed(b *bench) {
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
	b := newBench(t, n.list...)
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
	first := newBenchWith(t, func(c *Config) {
		joins(t, c, "first")
		self = c.Self
	}, n.list...)
	second := first.peerOf(self)
	n.untilNamed(first)
	second.until(func() bool { return second.log.contains(`"msg":"upstream: names a limit"`) })
	before, _ := n.arrivals()
	n.send(second, "second", 40)
	all, most := n.arrivals()
	t.Logf("%d requests by the second box, %d in %v", all-before, most, allowedSpan)
	is.True(float64(most) <= allowedTimes*allowedSpan.Seconds()*1+allowedSlack)
}
