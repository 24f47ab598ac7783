package balance

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleetWithout returns a fleet of nine upstreams with some mechanisms switched off.
func fleetWithout(off Off) *Fleet {
	f := newDividedFleet(9)
	f.cfg.Off = off
	f.SizeLanes(0, LanePlan{Key("s"): {Reserved: 3}})
	return f
}

// Each mechanism influences a decision, and no longer does when it is off.
func TestDisabledMechanismHasNoEffect(t *testing.T) {
	busy := func(f *Fleet, id string, l Load) { f.SetRemoteLoads(map[LoadKey]Load{{Key(id), 0}: l}) }
	tests := []struct {
		mechanism Mechanism
		decides   func(f *Fleet) bool
	}{
		{Lanes, func(f *Fleet) bool { return len(tightUpstreams(f)) == 3 }},
		{LaneExit, func(f *Fleet) bool {
			loads := make(map[LoadKey]Load)
			for id := range tightUpstreams(f) {
				loads[LoadKey{Key(id), 0}] = Load{Unread: 1e6, Requests: 1}
			}
			f.SetRemoteLoads(loads)
			c, _ := f.Place(0, chat(1), nil)
			return !tightUpstreams(f)[c.Upstream.ID]
		}},
		{Slots, func(f *Fleet) bool {
			home, _ := f.Place(0, letter(1), nil)
			setHoldTime(f, time.Second)
			busy(f, home.Upstream.ID, Load{Requests: 40})
			c, _ := f.Place(0, letter(1), nil)
			return c.Upstream.ID != home.Upstream.ID
		}},
		{AdmissionControl, func(f *Fleet) bool {
			_, ok := f.Admit(0, letter(1), Admission{Target: time.Second}, choiceWithWait(time.Minute))
			return !ok
		}},
		{RefusalOrder, func(f *Fleet) bool {
			f.Admit(0, chat(1), Admission{Target: time.Second}, choiceWithWait(time.Minute))
			other := letter(1)
			other.Urgency = 1
			_, ok := f.Admit(0, other, Admission{Target: time.Hour}, choiceWithWait(time.Minute))
			return !ok
		}},
		{Loads, func(f *Fleet) bool {
			home, _ := f.Place(0, letter(1), nil)
			busy(f, home.Upstream.ID, Load{Unread: 1e6, Requests: 1})
			c, _ := f.Place(0, letter(1), nil)
			return c.Upstream.ID != home.Upstream.ID
		}},
		{Parts, func(f *Fleet) bool {
			home, _ := f.Place(0, letter(1), nil)
			for id := range f.byID {
				if id != home.Upstream.ID && !tightUpstreams(f)[id] {
					f.NotePartReports(0, []PartReport{{PartKey(1), Key(id)}})
					c, _ := f.Place(0, letter(1), nil)
					return c.Upstream.ID == id
				}
			}
			return false
		}},
		{Fetching, func(f *Fleet) bool {
			home, _ := f.Place(0, letter(1), nil)
			f.Open(0, home.Upstream.ID, letter(1))
			c, _ := f.Place(0, letter(1), []string{home.Upstream.ID})
			return c.FetchFrom != ""
		}},
		{DomainCutOff, func(f *Fleet) bool {
			f.Open(0, "u1", letter(1)).Close(0, Unreachable)
			f.Open(0, "u4", letter(1)).Close(0, Unreachable)
			return len(f.Unreachable()) == 3
		}},
		{FailureBackoff, func(f *Fleet) bool {
			home, _ := f.Place(0, letter(1), nil)
			for range 3 {
				f.Open(0, home.Upstream.ID, letter(1)).Close(0, Failed)
			}
			c, _ := f.Place(0, letter(1), nil)
			return c.Upstream.ID != home.Upstream.ID
		}},
	}
	for _, tt := range tests {
		t.Run(string(tt.mechanism), func(t *testing.T) {
			is := is.New(t)
			is.True(tt.decides(fleetWithout(nil)))
			is.True(!tt.decides(fleetWithout(Off{tt.mechanism: true})))
		})
	}
}

func TestParseOff(t *testing.T) {
	is := is.New(t)
	off, err := ParseOff([]string{"slots", "lanes"})
	is.NoErr(err)
	is.Equal(off.Names(), []string{"lanes", "slots"})
	_, err = ParseOff([]string{"lane"})
	is.True(err != nil && strings.Contains(err.Error(), `"lane"`) && strings.Contains(err.Error(), "lanes"))
	for _, name := range MechanismNames() {
		is.True(Mechanism(name).Purpose() != "")
	}
}
