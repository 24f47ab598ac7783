package relay

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
