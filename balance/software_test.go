package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newSoftwareFleet returns a fleet with an upstream u0, u1 ... of each given software version.
func newSoftwareFleet(cfg Config, versions ...string) *Fleet {
	f := NewFleet(cfg)
	for i, v := range versions {
		f.Put(0, Upstream{ID: fmt.Sprint("u", i), Service: "s", Slots: 4, Software: v})
	}
	return f
}

// A stream went on at any upstream of its service, whatever version had begun it.
func TestStreamIsPlacedAtOtherSoftware(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions []string
		origin   Origin
		want     string // the only upstreams that it may go on at; empty: none
	}{
		{"no events yet", []string{"v1", "v2"}, Origin{}, "u0 u1"},
		{"at its version", []string{"v1", "v2", "v1"}, Origin{Began: true, Known: true, Software: "v1"}, "u0 u2"},
		{"none of its version", []string{"v2", "v2"}, Origin{Began: true, Known: true, Software: "v1"}, ""},
		{"version not known", []string{"v1", "v1"}, Origin{Began: true, Software: "v1"}, ""},
		{"no upstream states one", []string{"", ""}, Origin{Began: true, Known: true}, "u0 u1"},
		{"some upstreams state one", []string{"", "v1", ""}, Origin{Began: true, Known: true}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newSoftwareFleet(Config{}, c.versions...)
			for _, r := range []Request{{Service: "s"}, prompt(7)} {
				r.Origin = c.origin
				got := ""
				for _, m := range f.usable(0, r, nil) {
					if got != "" {
						got += " "
					}
					got += m.ID
				}
				is.Equal(got, c.want)
				_, ok := f.Place(0, r, nil)
				is.Equal(ok, c.want != "")
			}
		})
	}
}

// A running answer moved to an upstream of another version.
func TestStreamMovesToOtherSoftware(t *testing.T) {
	is := is.New(t)
	late := Progress{Events: 10, EventInterval: 400 * time.Millisecond, TimeLeft: 1500 * time.Millisecond}
	f, r := fleetWithAnswers(3), longRequest(100, 360)
	for id, software := range map[string]string{"u0": "v1", "u1": "v2", "u2": "v2"} {
		u := *f.Get(id)
		u.Software = software
		f.Put(0, u)
	}
	r.Origin = Origin{Began: true, Known: true, Software: "v1"}
	_, ok := f.MoveTo(time.Second, r, "u0", late)
	is.True(!ok)
	u := *f.Get("u2")
	u.Software = "v1"
	f.Put(0, u)
	m, ok := f.MoveTo(time.Second, r, "u0", late)
	is.True(ok)
	is.Equal(m.To.ID, "u2")
}

// Cached prompt parts were fetched from an upstream of another version.
func TestPromptIsFetchedFromOtherSoftware(t *testing.T) {
	for _, c := range []struct {
		holder string
		want   bool
	}{{"v1", true}, {"v2", false}} {
		is := is.New(t)
		f := newSoftwareFleet(Config{FirstStart: true}, "v1", c.holder)
		f.NotePartReports(0, []PartReport{{PartKey(7), Key("u1")}})
		for _, m := range f.byID {
			m.Address = "address of " + m.ID
		}
		is.Equal(f.fetchFrom(0, prompt(7), f.byID["u0"]) != "", c.want)
		is.Equal(f.unread(0, f.byID["u0"], prompt(7)) == 400, c.want) // else the shared part is read as well
	}
}

// A version counts for as long as a stream that it began may last, however its upstreams went; and a
// box that has just started does not know what served before, unless it is the first start of all.
func TestSoleSoftware(t *testing.T) {
	const span = 10 * time.Second
	for _, c := range []struct {
		name       string
		firstStart bool
		change     func(f *Fleet)
		at         time.Duration
		want       string // empty: not known
	}{
		{"first start", true, func(*Fleet) {}, 0, "v1"},
		{"started a moment ago", false, func(*Fleet) {}, span - 1, ""},
		{"known for long enough", false, func(*Fleet) {}, span, "v1"},
		{"another is listed", true, func(f *Fleet) { f.Put(0, Upstream{ID: "x", Service: "s", Slots: 1, Software: "v2"}) }, span, ""},
		{"another service", true, func(f *Fleet) { f.Put(0, Upstream{ID: "x", Service: "other", Slots: 1, Software: "v2"}) }, span, "v1"},
		{"another went a moment ago", true, func(f *Fleet) { f.Put(0, Upstream{ID: "x", Service: "s", Slots: 1, Software: "v2"}); f.Remove("x") }, span, ""},
		{"another went long ago", true, func(f *Fleet) {
			f.Put(0, Upstream{ID: "x", Service: "s", Slots: 1, Software: "v2"})
			f.Remove("x")
			f.RecentSoftware(0, "s")
		}, span + 1, "v1"},
		{"an entry changed in place", true, func(f *Fleet) { f.Put(0, Upstream{ID: "u1", Service: "s", Slots: 4, Software: "v2"}) }, span, ""},
		{"an entry changed in place and back", true, func(f *Fleet) {
			f.Put(0, Upstream{ID: "u1", Service: "s", Slots: 4, Software: "v2"})
			f.Put(0, Upstream{ID: "u1", Service: "s", Slots: 4, Software: "v1"})
		}, 0, ""},
		{"versions were missed a moment ago, at the first start", true, func(f *Fleet) { f.LoseHistory(1) }, span, ""},
		{"versions were missed long ago", true, func(f *Fleet) { f.LoseHistory(1) }, span + 1, "v1"},
		{"versions were missed, another box vouched before", false, func(f *Fleet) { f.Vouch(0, 0, "s", "v1"); f.LoseHistory(1) }, span, ""},
		{"versions were missed, another box vouches since", false, func(f *Fleet) { f.LoseHistory(1); f.Vouch(1, 1, "s", "v1") }, 1, "v1"},
		{"versions were missed, another box was asked before", false, func(f *Fleet) { f.LoseHistory(1); f.Vouch(1, 0, "s", "v1") }, 1, ""},
		{"all entries went", true, func(f *Fleet) { f.Remove("u0"); f.Remove("u1") }, 0, "v1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newSoftwareFleet(Config{FirstStart: c.firstStart}, "v1", "v1")
			f.SetStreamSpan(span)
			c.change(f)
			software, ok := f.SoleSoftware(c.at, "s")
			is.Equal(software, c.want)
			is.Equal(ok, c.want != "")
		})
	}
}

// A version with little room was filled by new requests, so that streams it had begun could not go on.
func TestNewRequestsTakeRoomOfStreamsThatGoOn(t *testing.T) {
	for _, c := range []struct {
		name      string
		versions  []string
		resumable bool
		busy      map[string]int // open requests by upstream, of 4 slots each
		cold      string         // an upstream that is cold
		want      int            // upstreams that new requests may go to
	}{
		{"all idle", []string{"v1", "v2", "v2", "v2"}, true, nil, "", 4},
		{"v1 is busy", []string{"v1", "v2", "v2", "v2"}, true, map[string]int{"u0": 4}, "", 3},
		{"v1 has one free slot", []string{"v1", "v2", "v2", "v2"}, true, map[string]int{"u0": 3}, "", 3},
		{"each has one free slot", []string{"v1", "v2", "v2", "v2"}, true, map[string]int{"u0": 3, "u1": 4, "u2": 4, "u3": 3}, "", 0},
		{"v1 is cold", []string{"v1", "v2", "v2", "v2"}, true, nil, "u0", 3},
		{"one version, busy", []string{"v1", "v1", "v1", "v1"}, true, map[string]int{"u0": 4, "u1": 4, "u2": 4, "u3": 4}, "", 4},
		{"no streams that go on", []string{"v1", "v2", "v2", "v2"}, false, map[string]int{"u0": 4}, "", 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newSoftwareFleet(Config{}, c.versions...)
			for id, open := range c.busy {
				for range open {
					f.Open(0, id, Request{Service: "s"})
				}
			}
			if c.cold != "" {
				f.byID[c.cold].coldUntil = time.Minute
			}
			is.Equal(len(f.leaveRoomToContinue(0, Request{Service: "s", Resumable: c.resumable}, f.membersInOrder())), c.want)
			going := Request{Service: "s", Resumable: true, Origin: Origin{Began: true, Known: true, Software: "v1"}}
			is.Equal(len(f.leaveRoomToContinue(0, going, f.membersInOrder())), 4)
		})
	}
}
