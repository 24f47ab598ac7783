package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/wire"
)

// newCutOffMember returns the membership of a box in a group with a leader; its fleet has
// upstreams of two domains, none of which accepts connections.
func newCutOffMember(t *testing.T, self string) *members {
	t.Helper()
	fleet := balance.NewFleet(balance.Config{Domain: "d0", Tuning: balance.DefaultTuning})
	for i := range 12 {
		fleet.Put(0, balance.Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", i+1), Domain: fmt.Sprintf("d%d", i%2), Slots: 1})
	}
	r := &Relay{startedAt: time.Now(), fleet: fleet, budgets: new(balance.Budgets), conns: newConnPool(nil), stats: newStats(), probeWake: make(chan struct{}, 1),
		cfg: Config{Log: NewLog(self, io.Discard), Decode: decodeItem, Self: &wire.GroupBox{Name: self, Domain: "d0", Boot: 1}, Timing: group.DefaultTiming, Boxes: 1}}
	m, err := newMembers(r)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// A domain with 125 boxes was cut off for six seconds. Each box got one request per
// second and found out about each upstream by its own connection timeout of 350 ms, although
// its leader could have told it about all of them at once.
func TestBoxAdoptsCutOffDomainsOfLeader(t *testing.T) {
	is := is.New(t)
	m := newCutOffMember(t, "box")
	lead := &wire.GroupMessage{Sender: &wire.GroupBox{Name: "lead", Domain: "d0", Boot: 1, Strength: 9}, Leads: true, CutOff: []string{"d1"}}
	m.node.Handle(m.relay.now(), lead)
	m.syncCutOff(context.Background())
	is.Equal(m.relay.fleet.CutOffDomains(), []string{"d1"})
	is.Equal(len(m.relay.fleet.Unreachable()), 6)
	lead.CutOff = nil
	m.node.Handle(m.relay.now(), lead)
	m.syncCutOff(context.Background())
	is.Equal(m.relay.fleet.CutOffDomains(), nil)
	is.Equal(len(m.relay.fleet.Unreachable()), 0)
}

// A box's own observation takes precedence over its leader's: a successful connection restores
// the domain.
func TestConnectionOverridesLeader(t *testing.T) {
	is := is.New(t)
	m := newCutOffMember(t, "box")
	lead := &wire.GroupMessage{Sender: &wire.GroupBox{Name: "lead", Domain: "d0", Boot: 1, Strength: 9}, Leads: true, CutOff: []string{"d1"}}
	m.node.Handle(m.relay.now(), lead)
	m.syncCutOff(context.Background())
	m.relay.fleet.NoteReachable(m.relay.now(), balance.Incarnation{ID: "u1"})
	m.node.Handle(m.relay.now(), lead)
	m.syncCutOff(context.Background())
	is.Equal(m.relay.fleet.CutOffDomains(), nil)
}

// A leader that hears from no box of a domain marks it as cut off only if its upstreams do not
// respond to connection attempts; refused connections count as responses.
func TestSilentBoxesAloneCutOffNoDomain(t *testing.T) {
	is := is.New(t)
	m := newCutOffMember(t, "lead")
	for i := 1; i < 6; i += 2 {
		u, _ := m.relay.fleet.Entry(fmt.Sprintf("u%d", i))
		m.relay.probeUpstream(context.Background(), u) // nothing listens there
	}
	is.Equal(m.relay.fleet.CutOffDomains(), nil)
	for i := 1; i < 6; i += 2 {
		m.relay.fleet.NoteUnreachable(m.relay.now(), balance.Incarnation{ID: fmt.Sprintf("u%d", i)})
	}
	m.syncCutOff(context.Background())
	is.Equal(m.relay.fleet.CutOffDomains(), []string{"d1"})
}

// When a leader reported a cut-off domain, its members logged the upstreams there only after their
// own next failed connection, up to 17 s later, with that connection as the cause.
func TestReportedCutOffIsLoggedAtOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	m := newCutOffMember(t, "box")
	m.relay.cfg.Log, m.relay.members = NewLog("box", &out), m
	m.relay.budgets = balance.NewBudgets(balance.BudgetConfig{Window: time.Second}, 0)
	lead := &wire.GroupMessage{Sender: &wire.GroupBox{Name: "lead", Domain: "d0", Boot: 1, Strength: 9}, Leads: true, CutOff: []string{"d1"}}
	m.node.Handle(m.relay.now(), lead)
	m.syncCutOff(context.Background())
	x := &exchange{relay: m.relay, request: &request{}, ctx: context.Background(), upstream: *m.relay.fleet.Get("u0")}
	x.ticket = m.relay.fleet.Open(m.relay.now(), "u0", balance.Request{Service: "s"})
	x.recordFailure(runUnsent, syscall.ETIMEDOUT)
	is.NoErr(m.relay.cfg.Log.Close())
	var reported, own int
	for line := range strings.Lines(out.String()) {
		var fields map[string]any
		is.NoErr(json.Unmarshal([]byte(line), &fields))
		switch {
		case fields["msg"] != "upstream: out of reach":
		case fields["domain"] == "d1":
			is.Equal(own, 0) // it was logged when the leader reported it
			is.Equal(fields["told_by"], "lead")
			is.Equal(fields["cause"], nil)
			reported++
		default:
			is.Equal(fields["cause"], "u0")
			is.Equal(fields["told_by"], nil)
			own++
		}
	}
	is.Equal(reported, 6)
	is.Equal(own, 1)
}
