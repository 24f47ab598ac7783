package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// entryOf is an entry of an upstream that names its start.
func entryOf(id string, born int64, revision uint64) Upstream {
	return Upstream{ID: id, StartedAt: born, Service: "s", Address: "10.1.0.1:1", Domain: "d1", Slots: 8, Revision: revision}
}

func leaving(u Upstream) Upstream {
	u.Leaving = true
	return u
}

// counting is an entry that tells how many orders the upstream has taken.
func counting(u Upstream, orders uint64) Upstream {
	u.CommandCount, u.HasCommandCount = orders, true
	return u
}

func TestWhatAnEntrySaysOfLives(t *testing.T) {
	unnamed := func(revision uint64) Upstream { return entryOf("u", 0, revision) }
	for _, c := range []struct {
		name    string
		entries []Upstream
		born    int64
		leaving bool
		anew    bool // what was known before the last entry is gone
	}{
		{"a later life", []Upstream{entryOf("u", 100, 1), entryOf("u", 200, 2)}, 200, false, true},
		{"a later life after leaving", []Upstream{leaving(entryOf("u", 100, 1)), entryOf("u", 200, 2)}, 200, false, true},
		{"a later life whose entry came first", []Upstream{entryOf("u", 200, 2), entryOf("u", 100, 1)}, 200, false, false},
		{"an earlier life with a greater revision", []Upstream{entryOf("u", 200, 2), leaving(entryOf("u", 100, 9))}, 200, false, false},
		{"the same life, ready after leaving", []Upstream{leaving(entryOf("u", 100, 1)), entryOf("u", 100, 2)}, 100, true, false},
		{"the same life", []Upstream{entryOf("u", 100, 1), entryOf("u", 100, 2)}, 100, false, false},
		{"a life after a writer that names none", []Upstream{leaving(unnamed(1)), entryOf("u", 100, 2)}, 100, false, true},
		{"a writer that names none after a life", []Upstream{entryOf("u", 100, 1), unnamed(2)}, 100, false, false},
		{"none named, ready after leaving", []Upstream{leaving(unnamed(1)), unnamed(2)}, 0, true, false},
		{"none named, the count falls", []Upstream{leaving(counting(unnamed(1), 5)), counting(unnamed(2), 1)}, 0, false, true},
		{"none named, the count falls in a late entry", []Upstream{leaving(counting(unnamed(3), 5)), counting(unnamed(2), 1)}, 0, true, false},
		{"none named, the count is not told", []Upstream{leaving(counting(unnamed(1), 5)), unnamed(2)}, 0, true, false},
		{"none named, the count rises", []Upstream{leaving(counting(unnamed(1), 5)), counting(unnamed(2), 6)}, 0, true, false},
		{"a count that falls in the same life", []Upstream{leaving(counting(entryOf("u", 100, 1), 5)), counting(entryOf("u", 100, 2), 0)}, 100, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := knowing(0)
			last := len(c.entries) - 1
			for _, u := range c.entries[:last] {
				f.Put(0, u)
			}
			before := f.byID["u"]
			f.Put(time.Minute, c.entries[last])
			u := f.Get("u")
			is.Equal(u.StartedAt, c.born)
			is.Equal(u.Leaving, c.leaving)
			is.Equal(f.byID["u"] != before, c.anew)
		})
	}
}

// All that was known goes with a life, and its open requests end without harm to the next.
func TestNothingOfALifeIsKnownOfTheNext(t *testing.T) {
	is := is.New(t)
	f := knowing(3)
	f.Put(0, entryOf("u", 100, 1))
	old := f.byID["u"]
	var open []*Ticket
	for range 4 {
		open = append(open, f.Open(0, "u", prompt(7)))
	}
	f.Open(0, "u", prompt(7)).Close(0, Failed)
	f.Open(0, "u", prompt(7)).Close(0, Failed)
	f.SetOthers(map[LoadKey]Load{{old.key, 0}: {Open: 3, Unread: 100}})
	f.cool(0, old, time.Hour)
	is.True(f.kept.holds(0, PartKey(7), old))
	news := f.KeptNews()

	f.Put(time.Second, entryOf("u", 200, 2))
	m := f.byID["u"]
	is.Equal(m.underWay(), Load{})
	is.Equal(m.health, health{})
	is.True(!f.kept.holds(time.Second, PartKey(7), m))
	is.Equal(m.coldTill, longAgo)
	is.Equal(f.Loads(), map[LoadKey]Load{})
	f.NoteKept(time.Second, news) // a box that does not know the new life yet
	f.UpdateRemoteLoads(map[LoadKey]Load{{old.key, 0}: {Open: 3}})
	is.True(!f.kept.holds(time.Second, PartKey(7), m))
	is.Equal(m.underWay(), Load{})
	for i, outcome := range []Outcome{Unreachable, Replaced, ConnectionRefused, ConnectionLost} {
		open[i].Close(time.Second, outcome)
	}
	is.True(!m.out && !m.Leaving && !m.doubted)
	is.Equal(m.health, health{})
	is.Equal(f.domain("d1").inRow, 0) // nothing of it says that the domain is cut off
	is.Equal(len(f.NewlyLost()), 0)
	is.Equal(len(f.KeptNews()), 0)
	f.Open(time.Second, "u", prompt(8)).Close(time.Second, Answered)
	is.Equal(m.underWay(), Load{})
}

// Boxes that disagree on which life is the present one tell each other nothing that the other
// believes, either way round.
func TestBoxesThatDisagreeBelieveNothingOfEachOther(t *testing.T) {
	is := is.New(t)
	behind, ahead := knowing(3), knowing(3)
	behind.Put(0, entryOf("u", 100, 1))
	ahead.Put(0, entryOf("u", 200, 2))
	for _, pair := range [][2]*Fleet{{behind, ahead}, {ahead, behind}} {
		teller, hearer := pair[0], pair[1]
		teller.Open(0, "u", prompt(7))
		hearer.NoteKept(0, teller.KeptNews())
		hearer.SetOthers(teller.Loads())
		m := hearer.byID["u"]
		is.Equal(m.others, work{})
	}
	is.Equal(len(behind.kept.keepers[PartKey(7)]), 1) // by its own request
	behind.Put(0, entryOf("u", 200, 2))
	is.Equal(len(behind.kept.keepers), 0)
	behind.SetOthers(ahead.Loads())
	is.Equal(behind.byID["u"].others.upTo(Levels-1).Open, 1)
}

func TestAnEndedLifeDoesNotComeBack(t *testing.T) {
	is := is.New(t)
	f := knowing(3)
	f.Put(0, entryOf("u", 100, 1))
	f.Open(0, "u", prompt(7)).Close(0, Replaced)
	is.True(f.Get("u").Leaving)
	f.Remove("u") // its entry lapses with the store
	f.Put(time.Minute, entryOf("u", 100, 5))
	is.True(f.Get("u").Leaving)
	f.Remove("u")
	f.Put(time.Minute, entryOf("u", 90, 9)) // an entry of an earlier life
	is.Equal(f.Get("u"), nil)
	f.Put(time.Minute, entryOf("u", 200, 6))
	is.True(!f.Get("u").Leaving)
}

func TestTheLivesThatAreRememberedAreBounded(t *testing.T) {
	is := is.New(t)
	f := knowing(0)
	f.Put(0, entryOf("stays", 100, 1))
	for i := range maxLives + 10 {
		id := fmt.Sprint("u", i)
		u := entryOf(id, 100, 1)
		u.Address = ""
		f.Put(0, u)
		f.Remove(id)
	}
	is.True(len(f.lives) <= maxLives+1)
	is.True(f.isPast(entryOf("stays", 99, 2)))
}

// What may be a sign that an upstream has ended, before its entry says so.
func TestSignsThatALifeHasEnded(t *testing.T) {
	ends := func(f *Fleet, open []*Ticket, gap time.Duration, outcomes ...Outcome) time.Duration {
		now := time.Second
		for i, o := range outcomes {
			now += gap
			open[i].Close(now, o)
		}
		return now
	}
	for _, c := range []struct {
		name     string
		outcomes []Outcome
		gap      time.Duration
		keeps    bool
	}{
		{"all connections at once", []Outcome{ConnectionLost, ConnectionLost, ConnectionLost, ConnectionLost}, 20 * time.Millisecond, false},
		{"all, one after the other", []Outcome{ConnectionLost, ConnectionLost, ConnectionLost, ConnectionLost}, time.Second, true},
		{"some", []Outcome{ConnectionLost, ConnectionLost, ConnectionLost}, 20 * time.Millisecond, true},
		{"failures of another kind", []Outcome{Failed, Failed, Failed, Failed}, 0, true},
		{"nobody listens", []Outcome{ConnectionRefused}, 0, false},
		{"no connection comes up", []Outcome{Unreachable}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := knowing(3)
			f.Put(0, entryOf("u", 100, 1))
			m := f.byID["u"]
			var open []*Ticket
			for range 4 {
				ticket := f.Open(0, "u", prompt(7))
				ticket.First(0)
				open = append(open, ticket)
			}
			news := f.KeptNews()
			now := ends(f, open, c.gap, c.outcomes...)
			is.Equal(f.kept.holds(now, PartKey(7), m), c.keeps)
			f.NoteKept(now+newsLag-1, news) // told before the sign
			is.Equal(f.kept.holds(now+newsLag-1, PartKey(7), m), true == c.keeps)
			f.reached(now, m)
			f.NoteKept(now+2*newsLag, news) // and what is told later
			is.True(f.kept.holds(now+2*newsLag, PartKey(7), m))
		})
	}
}

// While an upstream is down, boxes that have not noticed go on telling what they sent there.
func TestWhatIsToldWhileItIsDownIsNotBelieved(t *testing.T) {
	is := is.New(t)
	f := knowing(3)
	f.Put(0, entryOf("u", 100, 1))
	m := f.byID["u"]
	f.Open(0, "u", prompt(7)).Close(0, ConnectionRefused)
	news := []PartReport{{PartKey(7), m.key}}
	f.NoteKept(time.Minute, news)
	is.True(f.ReachedLife(time.Minute, Incarnation{"u", 100}))
	f.NoteKept(time.Minute+newsLag/2, news)
	is.True(!f.kept.holds(time.Minute+newsLag/2, PartKey(7), m))
	f.NoteKept(time.Minute+newsLag, news)
	is.True(f.kept.holds(time.Minute+newsLag, PartKey(7), m))
}

func TestATrialOfAnEarlierLifeSaysNothing(t *testing.T) {
	is := is.New(t)
	f := knowing(3)
	f.Put(0, entryOf("u", 200, 1))
	f.Open(0, "u", prompt(7)).Close(0, Unreachable)
	is.True(!f.ReachedLife(0, Incarnation{"u", 100}))
	is.True(f.byID["u"].out)
	is.True(f.ReachedLife(0, Incarnation{"u", 200}))
	is.True(!f.byID["u"].out)
}

func TestWhoHasAnAddress(t *testing.T) {
	other := func(u Upstream) Upstream {
		u.Service = "unknown"
		return u
	}
	for _, c := range []struct {
		name    string
		entries []Upstream
		want    []string
	}{
		{"the later start", []Upstream{entryOf("a", 100, 9), entryOf("b", 200, 3)}, []string{"b"}},
		{"the later start, told first", []Upstream{entryOf("b", 200, 3), entryOf("a", 100, 9)}, []string{"b"}},
		{"a copy of an entry", []Upstream{entryOf("a", 100, 1), entryOf("copy", 100, 9)}, []string{"a"}},
		{"one that names no start", []Upstream{entryOf("a", 100, 1), entryOf("b", 0, 9)}, []string{"a"}},
		{"one after a writer that names none", []Upstream{entryOf("a", 0, 9), entryOf("b", 100, 3)}, []string{"b"}},
		{"one of a service that is not named", []Upstream{entryOf("a", 100, 1), other(entryOf("b", 200, 9))}, []string{"a", "b"}},
		{"one whose service is not named is taken from", []Upstream{other(entryOf("b", 200, 9)), entryOf("a", 100, 1)}, []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := knowing(0)
			f.SetServices(0, []string{"s"})
			for _, u := range c.entries {
				f.Put(0, u)
			}
			ids := f.IDs()
			slices.Sort(ids)
			is.Equal(ids, c.want)
		})
	}
}

// One that has lost its address to an entry of another writer gets it back: as soon as the
// upstream itself says who it is, or when that entry goes.
func TestAnAddressGoesBackToWhoHasIt(t *testing.T) {
	for name, end := range map[string]func(f *Fleet){
		"the upstream says who it is": func(f *Fleet) {
			f.Named(time.Second, Incarnation{"false", 900}, "true")
		},
		"the entry goes": func(f *Fleet) { f.Remove("false") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := knowing(0)
			f.Put(0, entryOf("true", 100, 1))
			is.Equal(f.Put(0, entryOf("false", 900, 2)), "true")
			f.Put(0, entryOf("true", 100, 3)) // it renews its entry, and goes on to wait
			is.Equal(f.IDs(), []string{"false"})
			end(f)
			is.Equal(f.IDs(), []string{"true"})
			is.True(!f.Get("true").Leaving)
			if name == "the entry goes" {
				return
			}
			f.Put(time.Second, entryOf("false", 900, 5)) // what is known to have ended takes nothing
			is.Equal(f.IDs(), []string{"true"})
			f.Remove("true")
			f.Named(time.Second, Incarnation{"none", 1}, "true")
		})
	}
}

// Which services there are is said by the document in force, which may come later and change.
func TestAnEntryMayComeBeforeItsService(t *testing.T) {
	is := is.New(t)
	f := knowing(0)
	f.Put(0, entryOf("a", 100, 1)) // no document yet
	late := entryOf("late", 200, 2)
	late.Service = "new"
	f.SetServices(0, []string{"s"})
	f.Put(0, late)
	is.Equal(len(f.IDs()), 2)
	f.SetServices(0, []string{"s", "new"}) // it started later, so it has the address
	is.Equal(f.IDs(), []string{"late"})
	f.SetServices(0, []string{"s"}) // the service is taken away again
	ids := f.IDs()
	slices.Sort(ids)
	is.Equal(ids, []string{"a", "late"})
	is.Equal(f.byAddress["10.1.0.1:1"].ID, "a")
}

// One box finds out that an entry lies about its address, and tells all others: each gives the
// address to the upstream that has it, whether its entry waits there or comes again.
func TestAllBoxesGiveAnAddressBack(t *testing.T) {
	for _, c := range []struct {
		name     string
		entries  []Upstream // what the hearer knows besides before it is told
		then     []Upstream // what is put after that
		want     string
		isServed bool
	}{
		{"the sound entry waits", []Upstream{entryOf("true", 100, 1)}, nil, "true", true},
		{"it is renewed after that", []Upstream{entryOf("true", 100, 1)}, []Upstream{entryOf("true", 100, 3)}, "true", true},
		{"it comes after that", nil, []Upstream{entryOf("true", 100, 3)}, "true", true},
		{"it comes, and the false one again", nil, []Upstream{entryOf("true", 100, 3), entryOf("false", 900, 9)}, "true", true},
		{"it has left", []Upstream{leaving(entryOf("true", 100, 1))}, nil, "false", false},
		{"a later one has left", []Upstream{entryOf("true", 100, 1), leaving(entryOf("left", 200, 1))}, nil, "true", true},
		{"nobody else names the address", nil, nil, "false", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			finder, hearer := knowing(0), knowing(0)
			finder.Put(0, entryOf("true", 100, 1))
			finder.Put(0, entryOf("false", 900, 2))
			for _, u := range c.entries {
				hearer.Put(0, u)
			}
			hearer.Put(0, entryOf("false", 900, 2))
			finder.Named(time.Second, Incarnation{"false", 900}, "true")
			hearer.NoteKept(time.Second, finder.KeptNews())
			for _, u := range c.then {
				hearer.Put(2*time.Second, u)
			}
			is.Equal(hearer.IDs(), []string{c.want})
			is.Equal(!hearer.Get(c.want).Leaving, c.isServed)
		})
	}
}

// When the entry that lied goes, one that has not left goes before a later one that has.
func TestWhoHasNotLeftGetsAnAddressFirst(t *testing.T) {
	is := is.New(t)
	f := knowing(0)
	f.Put(0, entryOf("true", 100, 1))
	f.Put(0, leaving(entryOf("left", 200, 1)))
	f.Put(0, entryOf("false", 900, 2))
	f.Remove("false")
	is.Equal(f.IDs(), []string{"true"})
}

// What this box has open on a life is counted again when that life is listed again, whatever it
// was gone for, and on no other one; the bound on an upstream's memory rests on it.
func TestOwnOpenWorkComesBackWithItsLife(t *testing.T) {
	renewed := func(f *Fleet) { f.Put(time.Second, entryOf("u", 100, 3)) }
	for _, c := range []struct {
		name    string
		born    int64
		between func(f *Fleet)
		counted bool
	}{
		{"its entry goes and comes back", 100, func(f *Fleet) {
			f.Remove("u")
			renewed(f)
		}, true},
		{"twice", 100, func(f *Fleet) {
			f.Remove("u")
			renewed(f)
			f.Remove("u")
			renewed(f)
		}, true},
		{"it waits for its address", 100, func(f *Fleet) {
			f.Put(0, entryOf("false", 900, 2))
			f.Remove("false")
		}, true},
		{"no start is named", 0, func(f *Fleet) {
			f.Remove("u")
			f.Put(time.Second, entryOf("u", 0, 3))
		}, true},
		{"it starts again", 100, func(f *Fleet) { f.Put(time.Second, entryOf("u", 200, 3)) }, false},
		{"it comes back as another life", 100, func(f *Fleet) {
			f.Remove("u")
			f.Put(time.Second, entryOf("u", 200, 3))
		}, false},
		{"no start is named and its count falls", 0, func(f *Fleet) {
			f.Put(0, counting(entryOf("u", 0, 2), 5))
			f.Remove("u")
			f.Put(time.Second, counting(entryOf("u", 0, 3), 1))
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := knowing(0)
			f.Put(0, entryOf("u", c.born, 1))
			first, second := f.Open(0, "u", prompt(7)), f.Open(0, "u", prompt(8))
			before, told := f.byID["u"].work, f.Loads()
			is.True(before.upTo(Levels-1).Held > 0)
			c.between(f)
			want := work{}
			if c.counted {
				want = before
				is.Equal(f.Loads(), told)
			}
			is.Equal(f.byID["u"].work, want)
			first.Close(2*time.Second, Answered)
			if c.counted {
				is.Equal(f.byID["u"].work.upTo(Levels-1).Open, 1)
			}
			second.Close(2*time.Second, Answered)
			is.Equal(f.byID["u"].work, work{})
			is.Equal(len(f.gone), 0)
		})
	}
}

// What is remembered of an upstream that went goes with the last request that is open on it.
func TestWorkOfWhatWentIsRememberedWhileItIsOpen(t *testing.T) {
	is := is.New(t)
	f := knowing(0)
	f.Put(0, entryOf("u", 100, 1))
	first, second := f.Open(0, "u", prompt(7)), f.Open(0, "u", prompt(8))
	f.Remove("u")
	first.Close(time.Second, Answered)
	is.Equal(len(f.gone), 1)
	second.Close(time.Second, Answered)
	is.Equal(len(f.gone), 0)
	f.Put(time.Second, entryOf("u", 100, 2))
	is.Equal(f.byID["u"].work, work{})
	f.Remove("u")
	is.Equal(len(f.gone), 0) // nothing is open on it
}

// All of many upstreams start again: an entry of the life before, coming late, changes nothing, also where more than
// maxLives were replaced meanwhile.
func TestNoEarlierLifeComesBackWhereManyAreReplaced(t *testing.T) {
	is := is.New(t)
	const upstreams = maxLives + 100
	f := NewFleet(Config{Domain: "d", Tuning: DefaultTuning})
	entry := func(i int, born int64) Upstream {
		return Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Domain: "d", Slots: 1, StartedAt: born}
	}
	for i := range 2 * upstreams {
		f.Put(0, entry(i, 2))
	}
	for i := range upstreams {
		f.Remove(fmt.Sprintf("u%d", i))
	}
	f.Put(0, entry(0, 1)) // of an earlier life
	is.True(f.Get("u0") == nil)
}
