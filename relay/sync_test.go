package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// The other boxes' loads are read completely only after an upstream was listed, and otherwise
// kept up to date by changes. Loads that arrived before their upstream was listed count as
// well, and finished requests no longer do.
func TestLoadsBeforeListingCount(t *testing.T) {
	is := is.New(t)
	m := newCutOffMember(t, "box")
	tell := func(open uint32) {
		m.node.Handle(m.relay.now(), &wire.GroupMessage{Sender: &wire.GroupBox{Name: "lead", Domain: "d0", Boot: 1, Strength: 9}, Leads: true, HasLoads: true,
			Columns: &wire.GroupColumns{Upstream: []uint32{balance.Key("late"), balance.Key("u0")}, Levels: []uint32{1, 1}, Open: []uint32{open, 1}}})
		m.flushLoads()
	}
	open := func(id string) int {
		for _, v := range m.relay.fleet.View(m.relay.now()) {
			if v.ID == id {
				return v.Load.Requests
			}
		}
		return -1
	}
	m.syncFleet()
	is.True(!m.relay.fleet.NeedsRemoteLoads())
	tell(3)
	is.Equal(open("u0"), 1)
	m.relay.applyUpstream(balance.Upstream{ID: "late", Service: "s", Address: "127.0.0.1:99", Domain: "d0", Slots: 1})
	is.Equal(open("late"), 0)
	m.syncFleet()
	is.Equal(open("late"), 3)
	tell(2)
	is.Equal(open("late"), 2)
	tell(0)
	m.syncFleet()
	is.Equal(open("late"), 0)
	is.Equal(open("u0"), 1)
}
