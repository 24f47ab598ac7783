package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRequestsGoOnAsTheyCame(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", answerOK("hello"))
	b := newBench(t, u)
	r := b.request("POST", "/once/x?q=%20a", strings.Repeat("body ", 5000), "X-Other", "kept", "Connection", "X-Hop", "X-Hop", "dropped", "X-Customer", "forged")
	a := b.do(r)
	is.NoErr(a.err)
	is.Equal(a.status, 200)
	is.Equal(a.body, "hello")
	is.Equal(a.header.Get("X-Sign"), "s")
	got := u.requests()
	is.Equal(len(got), 1)
	is.Equal(got[0].Method, "POST")
	is.Equal(got[0].RequestURI, "/once/x?q=%20a")
	is.Equal(got[0].Host, "h.example")
	is.Equal(got[0].body, strings.Repeat("body ", 5000))
	h := got[0].Header
	is.Equal(h.Get("X-Id"), "id-/once/x?q=%20a")
	is.Equal(h.Get("X-Other"), "kept")
	is.Equal(h.Get("X-Hop"), "")
	is.Equal(h.Get("X-Key"), "")
	is.Equal(h.Get("X-Customer"), "customer")
	is.Equal(h.Get("X-Instance"), "u1")
	left, err := strconv.Atoi(h.Get("X-Left"))
	is.NoErr(err)
	is.True(left > 0 && left <= 4000)
}

func TestChunkedBodiesGoOn(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", answerOK("ok"))
	b := newBench(t, u)
	r := b.request("POST", "/once/x", "")
	r.Body = io.NopCloser(io.MultiReader(strings.NewReader("first "), strings.NewReader("second")))
	r.ContentLength = -1
	is.Equal(b.do(r).status, 200)
	is.Equal(u.requests()[0].body, "first second")
}

func TestTheBoxAnswersByItself(t *testing.T) {
	u := newStub(t, "u1", answerOK("ok"))
	b := newBench(t, u)
	for _, c := range []struct {
		name   string
		path   string
		host   string
		key    string
		body   string
		status int
	}{
		{"no route", "/nowhere/", "h.example", "secret", "", 404},
		{"no host", "/safe/", "other.example", "secret", "", 404},
		{"unknown key", "/safe/", "h.example", "wrong", "", 401},
		{"no key", "/safe/", "h.example", "", "", 401},
		{"public", "/open/", "h.example", "", "", 200},
		{"too large", "/once/", "h.example", "secret", strings.Repeat("x", 2<<20), 413},
		// The stub puts the path into a header as well.
		{"headers that fit", "/open/?" + strings.Repeat("x", 3<<10), "h.example", "", "", 200},
		{"headers too large", "/open/?" + strings.Repeat("x", 5<<10), "h.example", "", "", 431},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := b.request("POST", c.path, c.body, "X-Key", c.key)
			r.Host = c.host
			a := b.do(r)
			is.NoErr(a.err)
			is.Equal(a.status, c.status)
		})
	}
}

func TestABoxWithoutADocumentIsNotReady(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	resp, err := http.Get(b.ready)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, 503)
	a := b.do(b.request("GET", "/safe/x", ""))
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.True(strings.Contains(a.body, `"ran":"no"`))
}

// What upstreams may do to a request, and what becomes of it: how often it reaches
// an upstream in all, and what its caller is told.
func TestRunsThatFail(t *testing.T) {
	reset := func(net.Conn, stubRequest) bool { return false }
	cut := func(c net.Conn, r stubRequest) bool {
		say(c, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\nContent-Length: 10\n\nhalf")
		return false
	}
	cutChunk := func(c net.Conn, r stubRequest) bool {
		say(c, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\nTransfer-Encoding: chunked\n\n5\nhello\n")
		return false
	}
	garbage := func(c net.Conn, _ stubRequest) bool {
		say(c, "\x01\x02 what is this, surely no answer\n\n")
		return false
	}
	foreign := func(c net.Conn, _ stubRequest) bool {
		say(c, "HTTP/1.1 200 OK\nX-Id: another\nX-Sign: s\nContent-Length: 2\n\nno")
		return false
	}
	failing := func(c net.Conn, r stubRequest) bool {
		say(c, "HTTP/1.1 500 Broken\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\nContent-Length: 2\n\nno")
		return true
	}
	for _, c := range []struct {
		name   string
		path   string
		script func(net.Conn, stubRequest) bool
		runs   int
		status int
		ran    string
	}{
		{"full, once", "/once/x", refuseRun(503), 2, 503, "no"},
		{"full, repeatable", "/safe/x", refuseRun(503), 2, 503, "no"},
		{"another start of it", "/once/x", refuseRun(421), 2, 503, "no"},
		{"reset, once", "/once/x", reset, 1, 502, "unknown"},
		{"reset, repeatable", "/safe/x", reset, 2, 502, "unknown"},
		{"reset, stream", "/fixed/x", reset, 1, 502, "unknown"},
		{"reset, stream that resumes", "/flow/x", reset, 2, 502, "unknown"},
		{"cut, once", "/once/x", cut, 1, 502, "unknown"},
		{"cut, repeatable", "/safe/x", cut, 2, 502, "unknown"},
		{"cut chunks", "/once/x", cutChunk, 1, 502, "unknown"},
		{"garbage, once", "/once/x", garbage, 1, 502, "unknown"},
		{"foreign answer, once", "/once/x", foreign, 1, 502, "unknown"},
		{"failing, once", "/once/x", failing, 1, 500, ""},
		{"failing, repeatable", "/safe/x", failing, 2, 500, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u1, u2, u3 := newStub(t, "u1", c.script), newStub(t, "u2", c.script), newStub(t, "u3", c.script)
			b := newBench(t, u1, u2, u3)
			a := b.do(b.request("GET", c.path, ""))
			is.NoErr(a.err)
			is.Equal(a.status, c.status)
			is.Equal(len(u1.requests())+len(u2.requests())+len(u3.requests()), c.runs)
			if c.ran != "" {
				is.True(strings.Contains(a.body, `"ran":"`+c.ran+`"`))
				is.Equal(a.header.Get("X-Sign"), "")
			}
		})
	}
}

func TestARequestThatWasRefusedIsServedElsewhere(t *testing.T) {
	is := is.New(t)
	full, free := newStub(t, "full", refuseRun(503)), newStub(t, "free", answerOK("ok"))
	b := newBench(t, full, free)
	for range 4 {
		a := b.do(b.request("POST", "/once/x", "body"))
		is.Equal(a.status, 200)
	}
}

func TestAnUpstreamThatCannotBeReachedCostsNoAttempt(t *testing.T) {
	is := is.New(t)
	dead, alive := newStub(t, "dead", answerOK("")), newStub(t, "alive", answerOK("ok"))
	is.NoErr(dead.listener.Close())
	b := newBench(t, dead, alive)
	for range 4 {
		is.Equal(b.do(b.request("POST", "/once/x", "body")).status, 200)
	}
}

func TestALateAnswerToAnEarlierRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		say(c, "HTTP/1.1 200 OK\nX-Id: earlier\nX-Sign: old\nContent-Length: 3\n\nold")
		return answerOK("mine")(c, r)
	})
	b := newBench(t, u)
	a := b.do(b.request("POST", "/once/x", ""))
	is.Equal(a.status, 200)
	is.Equal(a.body, "mine")
	is.Equal(a.header.Get("X-Sign"), "s")
}

func TestBytesBehindAnAnswerBelongToNobody(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		id := r.Header.Get("X-Id")
		say(c, "HTTP/1.1 200 OK\nX-Id: "+id+"\nX-Sign: s\nContent-Length: 2\n\nokHTTP/1.1 200 OK\nX-Id: "+id+"\nX-Sign: s\nContent-Length: 5\n\nextra")
		return true
	})
	b := newBench(t, u)
	for range 3 {
		a := b.do(b.request("POST", "/once/x", ""))
		is.Equal(a.body, "ok")
	}
}

func TestAnAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		say(c, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\n\nall of it")
		return false
	})
	b := newBench(t, u)
	a := b.do(b.request("POST", "/once/x", ""))
	is.Equal(a.status, 200)
	is.Equal(a.body, "all of it")
}

func TestAnEarlyAnswerIsPassedOnAndItsConnectionDropped(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 1024)) // the rest of the body is never read
		say(c, "HTTP/1.1 400 Early\nX-Id: id-/once/x\nX-Sign: s\nContent-Length: 2\n\nno")
		time.Sleep(50 * time.Millisecond)
	}()
	u := &stub{id: "u1", listener: l}
	b := newBench(t, u)
	a := b.do(b.request("POST", "/once/x", strings.Repeat("x", 900<<10)))
	is.Equal(a.status, 400)
	is.Equal(a.body, "no")
	<-done
}

func TestStreamsArePassedOnEventByEvent(t *testing.T) {
	is := is.New(t)
	next := make(chan struct{})
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		for i := 1; i <= 3; i++ {
			chunk(c, event(i))
			<-next
		}
		chunk(c, "")
		return true
	})
	b := newBench(t, u)
	resp, err := http.DefaultClient.Do(b.request("POST", "/flow/x", ""))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 1024)
	for i := 1; i <= 3; i++ {
		n, err := resp.Body.Read(buf)
		is.NoErr(err)
		is.Equal(string(buf[:n]), event(i)) // before the next one was made
		next <- struct{}{}
	}
	_, err = resp.Body.Read(buf)
	is.Equal(err, io.EOF)
}

// A stream breaks off in several ways; the caller sees each event once, or no end.
func TestABrokenStreamGoesOnElsewhere(t *testing.T) {
	for _, c := range []struct {
		name string
		tail string // what the first upstream sends behind two events
		path string
		want string
		fail bool
	}{
		{"between events", "", "/flow/x", event(1) + event(2) + event(3) + event(4), false},
		{"within an event", "id: 3\nda", "/flow/x", event(1) + event(2) + event(3) + event(4), false},
		{"a stream that may not go on", "id: 3\nda", "/fixed/x", event(1) + event(2), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			script := func(conn net.Conn, r stubRequest) bool {
				startStream(conn, r)
				if last := r.Header.Get("X-Last"); last != "" {
					from, _ := strconv.Atoi(last)
					chunk(conn, event(from)) // once more: it must not come twice
					for i := from + 1; i <= 4; i++ {
						chunk(conn, event(i))
					}
					chunk(conn, "")
					return true
				}
				chunk(conn, event(1))
				chunk(conn, event(2)+c.tail)
				return false
			}
			u1, u2 := newStub(t, "u1", script), newStub(t, "u2", script)
			b := newBench(t, u1, u2)
			a := b.do(b.request("POST", c.path, "body"))
			is.Equal(a.status, 200)
			is.Equal(a.body, c.want)
			is.Equal(a.err != nil, c.fail)
			if !c.fail {
				got := append(u1.requests(), u2.requests()...)
				is.Equal(len(got), 2)
				is.Equal(got[1].body, "body")
			}
		})
	}
}

func TestACallerThatLeavesEndsItsRun(t *testing.T) {
	for _, path := range []string{"/flow/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			started := make(chan struct{})
			u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
				if strings.HasPrefix(path, "/flow") {
					startStream(c, r)
					chunk(c, event(1))
				}
				close(started)
				return true // and nothing more comes
			})
			b := newBench(t, u)
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-started
				cancel()
			}()
			a := b.do(b.request("POST", path, "").WithContext(ctx))
			is.True(a.err != nil)
			<-u.ended // the upstream sees the end
			b.until(func() bool { return b.relay.stats.open.Load() == 0 })
		})
	}
}

func TestARouteHoldsARequestNoLongerThanItsTime(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", func(net.Conn, stubRequest) bool { return true }) // silence
	b := newBench(t, u)
	a := b.do(b.request("POST", "/brief/x", ""))
	is.Equal(a.status, 504)
	left, err := strconv.Atoi(u.requests()[0].Header.Get("X-Left"))
	is.NoErr(err)
	is.True(left <= 200)
}

func TestAnUpstreamThatIsLeavingGetsNothingNew(t *testing.T) {
	is := is.New(t)
	u1, u2 := newStub(t, "u1", answerOK("1")), newStub(t, "u2", answerOK("2"))
	b := newBench(t, u1, u2)
	b.list(u1, true)
	b.until(func() bool {
		b.relay.mu.Lock()
		defer b.relay.mu.Unlock()
		return b.relay.fleet.Get("u1").Leaving
	})
	for i := range 10 {
		is.Equal(b.do(b.request("POST", fmt.Sprintf("/once/%d", i), "")).body, "2")
	}
	is.Equal(len(u1.requests()), 0)
}

func TestADocumentNeverGoesBack(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", answerOK("ok"))
	b := newBench(t, u)
	newer := testDocument(7)
	newer.Routes = newer.Routes[1:]
	b.board.set("document", newer, false)
	b.until(func() bool { return b.relay.version() == 7 })
	is.Equal(b.do(b.request("GET", "/safe/x", "")).status, 404)
	b.board.set("document", testDocument(6), false)
	b.board.set("other", map[string]string{"ID": "other", "Service": "x"}, false)
	b.until(func() bool { return b.known() == 2 }) // what came after it has been taken
	is.Equal(b.relay.version(), uint64(7))
}

func TestEntriesThatLapseWithThePublisherAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	r := &Relay{start: time.Now(), fleet: newEmptyFleet(), cfg: Config{Log: NewLog("box", io.Discard)}, conns: newConns(nil)}
	missing := make(map[string]time.Duration)
	r.takeNews(News{Upstream: upstreamOf("u1")}, 0, missing)
	r.takeNews(News{Gone: "u1"}, r.now()+time.Hour, missing)
	is.True(r.fleet.Get("u1") != nil)
	is.Equal(len(missing), 1)
	r.takeNews(News{Upstream: upstreamOf("u1")}, 0, missing) // it is back
	is.Equal(len(missing), 0)
	r.takeNews(News{Gone: "u1"}, 0, missing) // outside of doubt it goes at once
	is.True(r.fleet.Get("u1") == nil)
	is.NoErr(r.cfg.Log.Close())
}

func TestAPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	started := make(chan struct{})
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		close(started)
		<-release
		return answerOK("whole")(c, r)
	})
	b := newBench(t, u)
	result := make(chan answered, 1)
	go func() { result <- b.do(b.request("POST", "/once/x", "")) }()
	<-started
	stopped := make(chan struct{})
	go func() { b.relay.Stop(); close(stopped) }()
	b.until(func() bool { return !b.relay.Ready() })
	close(release)
	a := <-result
	is.Equal(a.body, "whole")
	is.Equal(a.header.Get("Connection"), "") // net/http takes the close of the connection off
	<-stopped
}

func TestNoMoreConnectionsThanTheShare(t *testing.T) {
	is := is.New(t)
	p := newConns(func(string) int { return 2 })
	is.True(p.reserve("u", 2))
	is.True(p.reserve("u", 2))
	is.True(!p.reserve("u", 2))
	p.release("u")
	is.True(p.reserve("u", 2))
}

func TestAStreamLeavesAnUpstreamThatIsOutOfReach(t *testing.T) {
	is := is.New(t)
	silent := make(chan struct{})
	defer close(silent)
	script := func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		if r.Header.Get("X-Last") == "" {
			chunk(c, event(1))
			<-silent // cut off: neither an event nor an end
			return false
		}
		chunk(c, event(2))
		chunk(c, "")
		return true
	}
	u1, u2 := newStub(t, "u1", script), newStub(t, "u2", script)
	b := newBench(t, u1, u2)
	resp, err := http.DefaultClient.Do(b.request("POST", "/flow/x", ""))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 1024)
	n, err := resp.Body.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), event(1))
	first := u1
	if len(u1.requests()) == 0 {
		first = u2
	}
	is.NoErr(first.listener.Close())
	b.relay.try(context.Background(), first.id, first.listener.Addr().String()) // a trial that fails
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(rest), event(2))
}

// After the grace of a planned stop, a connection that was busy until then may bring
// another request: it is told that it has not run, instead of being taken and lost.
func TestNothingIsTakenAfterTheGrace(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", answerOK("ok"))
	b := newBench(t, u)
	b.relay.ended.Store(true)
	a := b.do(b.request("POST", "/once/x", ""))
	is.Equal(a.status, 503)
	is.True(strings.Contains(a.body, `"ran":"no"`))
	is.Equal(len(u.requests()), 0)
}

// failFirst fails the first request it gets and answers the others.
func failFirst() func(net.Conn, stubRequest) bool {
	first := true
	return func(c net.Conn, r stubRequest) bool {
		if first {
			first = false
			say(c, "HTTP/1.1 500 Broken\nx-id: "+r.Header.Get("X-Id")+"\nX-Sign: bad\nContent-Length: 2\n\nno")
			return true
		}
		return answerOK("ok")(c, r)
	}
}

func TestARequestSentAgainIsTakenFromTheBudgetOnce(t *testing.T) {
	is := is.New(t)
	u1, u2 := newStub(t, "u1", failFirst()), newStub(t, "u2", failFirst())
	b := newBench(t, u1, u2)
	left := func() int {
		b.relay.mu.Lock()
		defer b.relay.mu.Unlock()
		return b.relay.budget.Left(b.relay.now(), b.relay.boxes())
	}
	before := left()
	first := b.do(b.request("GET", "/safe/x", "")) // both fail their first one
	is.Equal(first.status, 500)
	is.Equal(before-left(), 1)
}

func TestWhereNobodyElseIsLeftTheFailureIsPassedOn(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", failFirst())
	b := newBench(t, u)
	a := b.do(b.request("GET", "/safe/x", ""))
	is.Equal(a.status, 500)
	is.Equal(a.body, "no")
	is.Equal(a.header.Get("X-Sign"), "bad")
}

func TestHeadersAreKnownWhateverTheirCase(t *testing.T) {
	is := is.New(t)
	refuse := func(c net.Conn, r stubRequest) bool {
		say(c, "HTTP/1.1 503 Full\nx-id: "+r.Header.Get("X-Id")+"\nx-not-run: 1\ncontent-length: 0\n\n")
		return true
	}
	u1, u2 := newStub(t, "u1", refuse), newStub(t, "u2", refuse)
	b := newBench(t, u1, u2)
	a := b.do(b.request("POST", "/once/x", ""))
	is.Equal(a.status, 503)
	is.Equal(len(u1.requests())+len(u2.requests()), 2) // the first said that it had not run it

	foreign := newStub(t, "u3", func(c net.Conn, r stubRequest) bool {
		say(c, "HTTP/1.1 200 OK\nx-id: another\nContent-Length: 3\n\nold")
		return answerOK("mine")(c, r)
	})
	b = newBench(t, foreign)
	is.Equal(b.do(b.request("POST", "/once/x", "")).body, "mine")

	r := b.request("POST", "/once/y", "")
	r.Header["connection"] = []string{"X-Hop"}
	r.Header.Set("X-Hop", "dropped")
	is.Equal(b.do(r).status, 200)
	got := foreign.requests()
	is.Equal(got[len(got)-1].Header.Get("X-Hop"), "")
}
