package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// knowing is a fleet of a box that was there from the beginning.
func knowing(n int) *Fleet {
	f := newTestFleet(n)
	f.cfg.FirstStart = true
	return f
}

// A part that nobody was sent yet goes to the less busy of its first two choices, since
// it has to be read in either case.
func TestAPartThatNobodyKeepsGoesWhereLessWaits(t *testing.T) {
	is := is.New(t)
	f := knowing(9)
	first, _ := f.Place(0, prompt(7), nil)
	is.Equal(first.Fetch, "") // nobody has it
	is.True(!first.Kept)
	f.Open(0, first.Upstream.ID, Request{Service: "s", Tokens: 500})
	second, _ := f.Place(0, prompt(7), nil)
	is.True(second.Upstream.ID != first.Upstream.ID)
	is.Equal(second.Fetch, "")
}

// Once a part was sent somewhere, requests follow it there, on all boxes that heard of
// it, until so much waits there that moving it is worth while.
func TestRequestsFollowAPartToItsKeeper(t *testing.T) {
	is := is.New(t)
	a, b := knowing(9), knowing(9)
	home, _ := a.Place(0, prompt(7), nil)
	busy := a.Open(0, home.Upstream.ID, Request{Service: "s", Tokens: 500})
	keeper := serve(a, 0, prompt(7)).Upstream
	busy.Close(0, Answered)
	b.NoteKept(0, a.KeptNews())
	is.Equal(len(a.KeptNews()), 0) // told once
	for _, f := range []*Fleet{a, b} {
		c, _ := f.Place(time.Second, prompt(7), nil)
		is.Equal(c.Upstream.ID, keeper.ID) // though another one is its home
		is.True(c.Kept)
		is.Equal(c.Fetch, "")
		f.Open(time.Second, keeper.ID, Request{Service: "s", Tokens: 100000})
		c, _ = f.Place(time.Second, prompt(7), nil)
		is.True(c.Upstream.ID != keeper.ID)
		is.Equal(c.Fetch, keeper.Address)
	}
}

func TestWhatIsKeptIsForgotten(t *testing.T) {
	tests := []struct {
		name string
		do   func(f *Fleet, keeper string)
		at   time.Duration
		want bool // still known
	}{
		{"not yet", func(*Fleet, string) {}, time.Minute, true},
		{"after a while", func(*Fleet, string) {}, keptFor, false},
		{"with its upstream", func(f *Fleet, id string) { f.Remove(id) }, 0, false},
		{"where it had no room", func(f *Fleet, id string) { f.Open(0, id, prompt(7)).Close(0, Full) }, 0, false},
		{"where it was out of reach", func(f *Fleet, id string) { f.Open(0, id, prompt(7)).Close(0, Unreachable) }, 0, false},
		{"not where its answer failed", func(f *Fleet, id string) { f.Open(0, id, prompt(7)).Close(0, Failed) }, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := knowing(9)
			keeper := serve(f, 0, prompt(7)).Upstream
			m := f.byID[keeper.ID]
			tt.do(f, keeper.ID)
			is.Equal(f.kept.holds(tt.at, PartKey(7), m), tt.want)
		})
	}
}

// What is told again after a while reaches boxes that have started since.
func TestAPartInUseIsToldAgain(t *testing.T) {
	is := is.New(t)
	f := knowing(9)
	serve(f, 0, prompt(7))
	is.Equal(len(f.KeptNews()), 1)
	serve(f, time.Second, prompt(7))
	is.Equal(len(f.KeptNews()), 0)
	serve(f, retellAfter, prompt(7))
	is.Equal(len(f.KeptNews()), 1)
	f.NoteKept(2*retellAfter, []PartReport{{PartKey(7), f.byKeyOf(t, 7).key}})
	serve(f, 2*retellAfter, prompt(7))
	is.Equal(len(f.KeptNews()), 0) // another box has just told it
}

// byKeyOf is the one upstream that keeps a part.
func (f *Fleet) byKeyOf(t *testing.T, part uint64) *member {
	t.Helper()
	list := f.kept.keepers[PartKey(part)]
	if len(list) != 1 {
		t.Fatalf("%d upstreams keep the part", len(list))
	}
	return list[0].member
}

// Whatever is sent, told and removed, what is known stays within its bounds and names
// listed upstreams only.
func TestWhatIsKnownOfPartsIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := knowing(6)
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
				f.NoteKept(now, []PartReport{{PartKey(shared), Key(id)}})
			default:
				if c, ok := f.Place(now, prompt(shared), nil); ok {
					f.Open(now, c.Upstream.ID, prompt(shared)).Close(now, Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")))
				}
			}
			for part, list := range f.kept.keepers {
				if len(list) == 0 || len(list) > keepersEach {
					t.Fatalf("%d upstreams keep part %d", len(list), part)
				}
				for _, x := range list {
					if f.byID[x.member.ID] != x.member {
						t.Fatalf("%s keeps a part and is not listed", x.member.ID)
					}
				}
			}
		}
	})
}

func TestTheNumberOfPartsIsBounded(t *testing.T) {
	is := is.New(t)
	f := knowing(4)
	for shared := range uint64(keptParts + 100) {
		f.NoteKept(0, []PartReport{{uint32(shared), Key("u1")}})
	}
	is.Equal(len(f.kept.keepers), keptParts)
	is.Equal(f.kept.swept, time.Duration(0))                      // all the parts beyond were one look for old ones
	f.NoteKept(keptFor, []PartReport{{keptParts + 1, Key("u1")}}) // the old ones make room
	is.Equal(len(f.kept.keepers), 1)
	for shared := range uint64(maxNews + 100) {
		f.Open(keptFor, "u1", prompt(shared))
	}
	is.Equal(len(f.KeptNews()), maxNews)
}
