package relay

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/wire"
)

// newCutOffMember is a box's part of a group whose lead is heard, before upstreams of two domains of which none can be connected to.
func newCutOffMember(t *testing.T, self string) *members {
	t.Helper()
	fleet := balance.NewFleet(balance.Config{Domain: "d0", Tuning: balance.DefaultTuning})
	for i := range 12 {
		fleet.Put(0, balance.Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", i+1), Domain: fmt.Sprintf("d%d", i%2), Slots: 1})
	}
	r := &Relay{startedAt: time.Now(), fleet: fleet, budgets: new(balance.Budgets), conns: newConns(nil), stats: newStats(), trialNeeded: make(chan struct{}, 1),
		cfg: Config{Log: NewLog(self, io.Discard), Decode: decodeItem, Self: &wire.GroupBox{Name: self, Domain: "d0", Boot: 1}, Timing: group.DefaultTiming, Boxes: 1}}
	m, err := newMembers(r)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// A zone with 125 boxes was cut off for six seconds. Each box had a request a second, and learned for each upstream, by a
// wait of 350 ms, what its lead could have told it of all.
func TestABoxFollowsItsLeadInLeavingADomain(t *testing.T) {
	is := is.New(t)
	m := newCutOffMember(t, "box")
	lead := &wire.GroupMessage{Sender: &wire.GroupBox{Name: "lead", Domain: "d0", Boot: 1, Strength: 9}, Leads: true, CutOff: []string{"d1"}}
	m.node.Handle(m.relay.now(), lead)
	m.shareCutOff(context.Background())
	is.Equal(m.relay.fleet.CutOffDomains(), []string{"d1"})
	is.Equal(len(m.relay.fleet.Unreachable()), 6)
	lead.CutOff = nil
	m.node.Handle(m.relay.now(), lead)
	m.shareCutOff(context.Background())
	is.Equal(m.relay.fleet.CutOffDomains(), nil)
	is.Equal(len(m.relay.fleet.Unreachable()), 0)
}

// What a box has seen itself goes before what it is told: a connection that comes up takes the domain back.
func TestAConnectionGoesBeforeWhatTheLeadTells(t *testing.T) {
	is := is.New(t)
	m := newCutOffMember(t, "box")
	lead := &wire.GroupMessage{Sender: &wire.GroupBox{Name: "lead", Domain: "d0", Boot: 1, Strength: 9}, Leads: true, CutOff: []string{"d1"}}
	m.node.Handle(m.relay.now(), lead)
	m.shareCutOff(context.Background())
	m.relay.fleet.NoteReachable(m.relay.now(), balance.Incarnation{ID: "u1"})
	m.node.Handle(m.relay.now(), lead)
	m.shareCutOff(context.Background())
	is.Equal(m.relay.fleet.CutOffDomains(), nil)
}

// A lead that hears no box of a domain leaves it only where its upstreams cannot be connected to; those that refuse can.
func TestSilenceOfBoxesAloneLeavesNoDomain(t *testing.T) {
	is := is.New(t)
	m := newCutOffMember(t, "lead")
	for i := 1; i < 6; i += 2 {
		u, _ := m.relay.fleet.Entry(fmt.Sprintf("u%d", i))
		m.relay.probeOne(context.Background(), u) // nobody listens there
	}
	is.Equal(m.relay.fleet.CutOffDomains(), nil)
	for i := 1; i < 6; i += 2 {
		m.relay.fleet.NoteUnreachable(m.relay.now(), balance.Incarnation{ID: fmt.Sprintf("u%d", i)})
	}
	m.shareCutOff(context.Background())
	is.Equal(m.relay.fleet.CutOffDomains(), []string{"d1"})
}
