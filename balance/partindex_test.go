package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newInformedFleet returns the fleet of a box that has run from the first start of the
// deployment, so that its part index is complete.
func newInformedFleet(n int) *Fleet {
	f := newTestFleet(n)
	f.cfg.FirstStart = true
	return f
}

// A part that no upstream holds goes to the less busy of its first two choices, since it has to
// be read in either case.
func TestUnknownPartGoesToTheLessBusyHome(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(9)
	first, _ := f.Place(0, prompt(7), nil)
	is.Equal(first.FetchFrom, "") // no upstream holds it
	is.True(!first.HoldsPart)
	f.Open(0, first.Upstream.ID, Request{Service: "s", Tokens: 500})
	second, _ := f.Place(0, prompt(7), nil)
	is.True(second.Upstream.ID != first.Upstream.ID)
	is.Equal(second.FetchFrom, "")
}

// Once a part has been sent to an upstream, all boxes that received the report place requests
// there, until its backlog makes copying the part cheaper.
func TestRequestsFollowAPartToItsHolder(t *testing.T) {
	is := is.New(t)
	a, b := newInformedFleet(9), newInformedFleet(9)
	home, _ := a.Place(0, prompt(7), nil)
	busy := a.Open(0, home.Upstream.ID, Request{Service: "s", Tokens: 500})
	holder := serve(a, 0, prompt(7)).Upstream
	busy.Close(0, Answered)
	b.NotePartReports(0, a.TakePartReports())
	is.Equal(len(a.TakePartReports()), 0) // reported once
	for _, f := range []*Fleet{a, b} {
		c, _ := f.Place(time.Second, prompt(7), nil)
		is.Equal(c.Upstream.ID, holder.ID) // although another upstream is its home
		is.True(c.HoldsPart)
		is.Equal(c.FetchFrom, "")
		f.Open(time.Second, holder.ID, Request{Service: "s", Tokens: 100000})
		c, _ = f.Place(time.Second, prompt(7), nil)
		is.True(c.Upstream.ID != holder.ID)
		is.Equal(c.FetchFrom, holder.Address)
	}
}

func TestPartIndexExpiry(t *testing.T) {
	tests := []struct {
		name string
		do   func(f *Fleet, holder string)
		at   time.Duration
		want bool // still indexed
	}{
		{"before expiry", func(*Fleet, string) {}, time.Minute, true},
		{"after expiry", func(*Fleet, string) {}, cacheLifetime, false},
		{"upstream removed", func(f *Fleet, id string) { f.Remove(id) }, 0, false},
		{"request refused for lack of room", func(f *Fleet, id string) { f.Open(0, id, prompt(7)).Close(0, Full) }, 0, false},
		{"upstream unreachable", func(f *Fleet, id string) { f.Open(0, id, prompt(7)).Close(0, Unreachable) }, 0, false},
		{"answer failed", func(f *Fleet, id string) { f.Open(0, id, prompt(7)).Close(0, Failed) }, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newInformedFleet(9)
			holder := serve(f, 0, prompt(7)).Upstream
			m := f.byID[holder.ID]
			tt.do(f, holder.ID)
			is.Equal(f.parts.holds(tt.at, PartKey(7), m), tt.want)
		})
	}
}

// Parts in use are reported again after a while, so that boxes started since learn of them.
func TestPartInUseIsReportedAgain(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(9)
	serve(f, 0, prompt(7))
	is.Equal(len(f.TakePartReports()), 1)
	serve(f, time.Second, prompt(7))
	is.Equal(len(f.TakePartReports()), 0)
	serve(f, rereportInterval, prompt(7))
	is.Equal(len(f.TakePartReports()), 1)
	f.NotePartReports(2*rereportInterval, []PartReport{{PartKey(7), f.holderOfPart(t, 7).key}})
	serve(f, 2*rereportInterval, prompt(7))
	is.Equal(len(f.TakePartReports()), 0) // another box has just reported it
}

// holderOfPart returns the only upstream that holds a part.
func (f *Fleet) holderOfPart(t *testing.T, part uint64) *member {
	t.Helper()
	list := f.parts.holders[PartKey(part)]
	if len(list) != 1 {
		t.Fatalf("%d upstreams hold the part, want 1", len(list))
	}
	return list[0].member
}

// Over any sequence of requests, reports and removals, the index stays within its bounds and
// contains listed upstreams only.
func TestPartIndexIsConsistentOverAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newInformedFleet(6)
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Second
			id := fmt.Sprintf("u%d", rapid.IntRange(0, 7).Draw(t, "upstream"))
			shared := uint64(rapid.IntRange(1, 5).Draw(t, "part"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				f.Remove(id)
			case 1:
				f.Put(now, Upstream{ID: id, Service: "s", Slots: 4})
			case 2:
				f.NotePartReports(now, []PartReport{{PartKey(shared), Key(id)}})
			default:
				if c, ok := f.Place(now, prompt(shared), nil); ok {
					f.Open(now, c.Upstream.ID, prompt(shared)).Close(now, Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")))
				}
			}
			for part, list := range f.parts.holders {
				if len(list) == 0 || len(list) > maxHoldersPerPart {
					t.Fatalf("%d upstreams hold part %d", len(list), part)
				}
				for _, x := range list {
					if f.byID[x.member.ID] != x.member {
						t.Fatalf("%s holds a part and is not listed", x.member.ID)
					}
				}
			}
		}
	})
}

func TestNumberOfPartsIsBounded(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(4)
	for shared := range uint64(maxParts + 100) {
		f.NotePartReports(0, []PartReport{{uint32(shared), Key("u1")}})
	}
	is.Equal(len(f.parts.holders), maxParts)
	is.Equal(f.parts.sweptAt, time.Duration(0))                               // all excess parts caused a single scan
	f.NotePartReports(cacheLifetime, []PartReport{{maxParts + 1, Key("u1")}}) // expired parts make room
	is.Equal(len(f.parts.holders), 1)
	for shared := range uint64(maxReports + 100) {
		f.Open(cacheLifetime, "u1", prompt(shared))
	}
	is.Equal(len(f.TakePartReports()), maxReports)
}
