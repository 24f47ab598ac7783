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

func TestListedAsLeavingGetsNoRequests(t *testing.T) {
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

func TestDocumentVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondOK("ok"))
	b := newTestBox(t, u)
	newer := testDocument(7)
	newer.Routes = newer.Routes[1:]
	b.publisher.set("document", newer, false)
	b.waitFor(func() bool { return b.relay.documentVersion() == 7 })
	is.Equal(b.do(b.request("GET", "/safe/x", "")).status, 404)
	b.publisher.set("document", testDocument(6), false)
	b.publisher.set("other", map[string]string{"ID": "other", "Service": "x"}, false)
	b.waitFor(func() bool { return b.upstreamCount() == 2 }) // the item published after it has been applied
	is.Equal(b.relay.documentVersion(), uint64(7))
}

func TestRemovedEntriesAreKeptWhileUncertain(t *testing.T) {
	is := is.New(t)
	r := &Relay{startedAt: time.Now(), fleet: newEmptyFleet(), cfg: Config{Log: NewLog("box", io.Discard)}, conns: newConnPool(nil)}
	missing := make(map[string]struct{})
	r.applyUpdate(Update{Upstream: upstreamOf("u1")}, 0, missing)
	r.applyUpdate(Update{Removed: "u1"}, r.now()+time.Hour, missing)
	is.True(r.fleet.Get("u1") != nil)
	is.Equal(len(missing), 1)
	r.applyUpdate(Update{Upstream: upstreamOf("u1")}, 0, missing) // it is back
	is.Equal(len(missing), 0)
	r.applyUpdate(Update{Removed: "u1"}, 0, missing) // once removals are certain, it is dropped at once
	is.True(r.fleet.Get("u1") == nil)
	is.NoErr(r.cfg.Log.Close())
}

// After all of 585 boxes were killed, each box that received the list of 6,000 upstreams
// applied it in one go, which took most of a second on a small box. Meanwhile it answered no
// pulls, though boxes then get the list from each other.
func TestPullsAreAnsweredWhileListIsApplied(t *testing.T) {
	is := is.New(t)
	r := &Relay{startedAt: time.Now(), fleet: newEmptyFleet(), conns: newConnPool(nil), stats: newStats(),
		cfg: Config{Log: NewLog("box", io.Discard), Decode: decodeItem, Self: &wire.GroupBox{Name: "box", Domain: "d", Boot: 1}, Timing: group.DefaultTiming, Boxes: 1}}
	m, err := newMembers(r)
	is.NoErr(err)
	m.flush(context.Background())
	var items []mirror.Item
	for i := range 2 * maxItemsPerBatch {
		items = append(items, mirror.Item{Key: fmt.Sprintf("u%d", i), Revision: 1, Value: fmt.Appendf(nil, `{"ID":"u%d","Service":"s","Address":"10.0.0.1:%d"}`, i, i+1)})
	}
	m.node.HandleRead(r.now(), r.now(), items, 1, true)
	m.applyBacklog()
	m.flush(context.Background())
	is.Equal(len(r.fleet.IDs()), maxItemsPerBatch)
	is.Equal(len(m.backlogReady), 1)                                             // another batch is due
	is.True(time.Duration(r.published.confirmedAt.Load()) < r.now()-time.Hour/2) // and the data does not count as current yet
	answer := m.node.AnswerPull(r.now(), &wire.MirrorRequest{Packed: true})
	is.True(len(answer.Packed) > 0) // others get the complete list
	m.applyBacklog()
	m.flush(context.Background())
	is.Equal(len(r.fleet.IDs()), 2*maxItemsPerBatch)
	is.Equal(time.Duration(r.published.confirmedAt.Load()), m.node.ConfirmedAt())
}

// The upstreams of a domain that was cut off could not renew their entries; its boxes dropped them when
// they were back.
func TestUpstreamsOfReturningDomainAreDropped(t *testing.T) {
	is := is.New(t)
	r := &Relay{startedAt: time.Now(), fleet: newEmptyFleet(), conns: newConnPool(nil), stats: newStats(),
		cfg: Config{Box: "box", Log: NewLog("box", io.Discard), Decode: decodeItem, Self: &wire.GroupBox{Name: "box", Domain: "d", Boot: 1}, Timing: group.DefaultTiming, Boxes: 1}}
	m, err := newMembers(r)
	is.NoErr(err)
	items := []mirror.Item{
		{Key: "own", Revision: 1, Value: []byte(`{"ID":"own","Service":"s","Domain":"d","Address":"10.0.0.1:1"}`)},
		{Key: "other", Revision: 1, Value: []byte(`{"ID":"other","Service":"s","Domain":"e","Address":"10.0.0.1:2"}`)},
	}
	m.node.HandleRead(r.now(), r.now(), items, 1, true)
	m.applyBacklog()
	is.Equal(len(r.fleet.IDs()), 2)
	for i := range items {
		items[i].Deleted, items[i].Revision = true, 2
	}
	lapsed := &wire.GroupMessage{Sender: &wire.GroupBox{Name: "leader", Domain: "d", Boot: 1, Strength: 1}, Leads: true, Revision: 1, Coverage: &wire.GroupCoverage{},
		DomainCoverage: &wire.GroupCoverage{Age: 1, Outage: uint64((5 * time.Second).Microseconds()), DoubtLeft: uint64(time.Second.Microseconds())}}
	m.node.Handle(r.now(), lapsed)
	m.node.HandleRead(r.now(), r.now(), items, 2, false)
	m.applyBacklog()
	is.Equal(r.fleet.IDs(), []string{"own"}) // the other one had a publisher all the time
	m.dropMissing()
	is.Equal(r.fleet.IDs(), []string{"own"})
	lapsed.DomainCoverage = &wire.GroupCoverage{} // the domain has heard of answers after all
	m.node.Handle(r.now(), lapsed)
	m.dropMissing()
	is.Equal(len(r.fleet.IDs()), 0)
	is.NoErr(r.cfg.Log.Close())
}
