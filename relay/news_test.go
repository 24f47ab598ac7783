package relay

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

func TestAnUpstreamThatIsLeavingGetsNothingNew(t *testing.T) {
	is := is.New(t)
	u1, u2 := newStub(t, "u1", respondOK("1")), newStub(t, "u2", respondOK("2"))
	b := newTestBox(t, u1, u2)
	b.listUpstream(u1, true)
	b.waitFor(func() bool {
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
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBox(t, u)
	newer := testDocument(7)
	newer.Routes = newer.Routes[1:]
	b.publisher.set("document", newer, false)
	b.waitFor(func() bool { return b.relay.version() == 7 })
	is.Equal(b.do(b.request("GET", "/safe/x", "")).status, 404)
	b.publisher.set("document", testDocument(6), false)
	b.publisher.set("other", map[string]string{"ID": "other", "Service": "x"}, false)
	b.waitFor(func() bool { return b.upstreamCount() == 2 }) // what came after it has been taken
	is.Equal(b.relay.version(), uint64(7))
}

func TestEntriesThatLapseWithThePublisherAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	r := &Relay{startedAt: time.Now(), fleet: newEmptyFleet(), cfg: Config{Log: NewLog("box", io.Discard)}, conns: newConns(nil)}
	missing := make(map[string]time.Duration)
	r.takeNews(Update{Upstream: upstreamOf("u1")}, 0, missing)
	r.takeNews(Update{Removed: "u1"}, r.now()+time.Hour, missing)
	is.True(r.fleet.Get("u1") != nil)
	is.Equal(len(missing), 1)
	r.takeNews(Update{Upstream: upstreamOf("u1")}, 0, missing) // it is back
	is.Equal(len(missing), 0)
	r.takeNews(Update{Removed: "u1"}, 0, missing) // outside of doubt it goes at once
	is.True(r.fleet.Get("u1") == nil)
	is.NoErr(r.cfg.Log.Close())
}

// After all of 585 boxes were killed, each that came to know the list of 6,000 upstreams took it in at one go, for most of
// a second on a small box, and answered nobody meanwhile, though the others have the list from each other.
func TestABoxAnswersOthersWhileItTakesInALongList(t *testing.T) {
	is := is.New(t)
	r := &Relay{startedAt: time.Now(), fleet: newEmptyFleet(), conns: newConns(nil), stats: newStats(),
		cfg: Config{Log: NewLog("box", io.Discard), Decode: decodeItem, Self: &wire.GroupBox{Name: "box", Domain: "d", Boot: 1}, Timing: group.DefaultTiming, Boxes: 1}}
	m, err := newMembers(r)
	is.NoErr(err)
	m.after(context.Background())
	var items []mirror.Item
	for i := range 2 * mostHandedIn {
		items = append(items, mirror.Item{Key: fmt.Sprintf("u%d", i), Revision: 1, Value: fmt.Appendf(nil, `{"ID":"u%d","Service":"s","Address":"10.0.0.1:%d"}`, i, i+1)})
	}
	m.node.HandleRead(r.now(), r.now(), items, 1, true)
	m.handIn()
	m.after(context.Background())
	is.Equal(len(r.fleet.IDs()), mostHandedIn)
	is.Equal(len(m.more), 1)                                                // it goes on
	is.True(time.Duration(r.belief.confirmed.Load()) < r.now()-time.Hour/2) // and does not say yet that it knows all
	answer := m.node.AnswerPull(r.now(), &wire.MirrorRequest{Packed: true})
	is.True(len(answer.Packed) > 0) // others get all of it
	m.handIn()
	m.after(context.Background())
	is.Equal(len(r.fleet.IDs()), 2*mostHandedIn)
	is.Equal(time.Duration(r.belief.confirmed.Load()), m.node.ConfirmedAt())
}
