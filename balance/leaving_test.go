package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// What an upstream says of itself in an answer holds for its life, whatever entries say later.
func TestALifeThatSaysItIsLeavingStaysSo(t *testing.T) {
	gone := func(f *Fleet) { f.Remove("u") }
	put := func(u Upstream) func(*Fleet) { return func(f *Fleet) { f.Put(time.Second, u) } }
	services := func(names ...string) func(*Fleet) {
		return func(f *Fleet) { f.SetServices(time.Second, names) }
	}
	other := Upstream{ID: "v", Service: "s", Address: "10.1.0.1:1", Domain: "d1", Slots: 8, Revision: 9}
	for _, c := range []struct {
		name  string
		first Upstream
		then  []func(*Fleet)
		used  bool
	}{
		{"nothing else", entryOf("u", 100, 1), nil, false},
		{"its entry written again", entryOf("u", 100, 1), []func(*Fleet){put(entryOf("u", 100, 2))}, false},
		{"its entry lapses and returns", entryOf("u", 100, 1), []func(*Fleet){gone, put(entryOf("u", 100, 3))}, false},
		{"the same where no start is named", entryOf("u", 0, 1), []func(*Fleet){gone, put(entryOf("u", 0, 3))}, false},
		{"the list read anew", entryOf("u", 0, 1), []func(*Fleet){put(entryOf("u", 0, 1)), put(entryOf("u", 0, 1))}, false},
		{"its service dropped and back", entryOf("u", 0, 1), []func(*Fleet){services("x"), services("s")}, false},
		{"another writer's entry under its id", entryOf("u", 0, 1), []func(*Fleet){services("s"), put(Upstream{ID: "u", StartedAt: 500, Service: "x"}), put(entryOf("u", 0, 4))}, false},
		{"an entry of an earlier life", entryOf("u", 100, 1), []func(*Fleet){put(entryOf("u", 50, 9))}, false},
		{"orders go on rising", counting(entryOf("u", 0, 1), 5), []func(*Fleet){gone, put(counting(entryOf("u", 0, 3), 6))}, false},
		{"a later life", entryOf("u", 100, 1), []func(*Fleet){put(entryOf("u", 200, 2))}, true},
		{"a later life after a lapse", entryOf("u", 100, 1), []func(*Fleet){gone, put(entryOf("u", 200, 2))}, true},
		{"the first life that is named", entryOf("u", 0, 1), []func(*Fleet){put(entryOf("u", 200, 2))}, true},
		{"orders fall", counting(entryOf("u", 0, 1), 5), []func(*Fleet){put(counting(entryOf("u", 0, 2), 1))}, true},
		{"orders fall after a lapse", counting(entryOf("u", 0, 1), 5), []func(*Fleet){gone, put(counting(entryOf("u", 0, 3), 1))}, true},
		{"another one at its address", entryOf("u", 0, 1), []func(*Fleet){put(other)}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
			f.Put(0, c.first)
			is.True(f.SaysLeaving(c.first.Incarnation()))
			is.True(!f.SaysLeaving(c.first.Incarnation())) // it is not new
			is.True(!f.Accepts(2*time.Second, c.first.Incarnation()))
			for _, do := range c.then {
				do(f)
			}
			if u, known := f.Present("u"); known {
				f.Proved(u.Incarnation()) // it does not say so again
			}
			choice, used := f.Place(2*time.Second, Request{Service: "s"}, nil)
			is.Equal(used, c.used)
			is.True(!used || f.Accepts(2*time.Second, choice.Upstream.Incarnation()))
		})
	}
}

// An answer of an earlier life says nothing of the present one, and one of a life that is not listed is remembered.
func TestWhoseLifeIsLeaving(t *testing.T) {
	is := is.New(t)
	f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
	f.Put(0, entryOf("u", 200, 1))
	is.True(!f.SaysLeaving(Incarnation{"u", 100}))
	is.True(f.Accepts(2*time.Second, Incarnation{"u", 200}))
	is.True(f.SaysLeaving(Incarnation{"v", 100}))
	f.Put(0, Upstream{ID: "v", StartedAt: 100, Service: "s", Address: "10.1.0.2:1"})
	is.True(f.Get("v").Leaving)
}

// A request that waits for a connection is not sent where its upstream has come to leave, or its domain to be evacuated.
func TestWhatIsPlacedIsLookedAtBeforeItIsSent(t *testing.T) {
	for name, do := range map[string]func(*Fleet){
		"it says that it is leaving": func(f *Fleet) { f.SaysLeaving(Incarnation{"u", 100}) },
		"its entry says so":          func(f *Fleet) { f.Put(0, leaving(entryOf("u", 100, 2))) },
		"its domain is evacuated":    func(f *Fleet) { f.Evacuate("d1") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
			f.Put(0, entryOf("u", 100, 1))
			is.True(f.Accepts(2*time.Second, Incarnation{"u", 100}))
			do(f)
			is.True(!f.Accepts(2*time.Second, Incarnation{"u", 100}))
		})
	}
}

// While no upstream of a service takes requests, callers are told to come back after as long again.
func TestHowLongAServiceHasLackedUpstreams(t *testing.T) {
	is := is.New(t)
	f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
	f.Put(0, entryOf("u", 100, 1))
	lacks := func(now time.Duration) time.Duration {
		f.Place(now, Request{Service: "s"}, nil)
		return f.LackedFor(now, "s")
	}
	is.Equal(lacks(time.Second), time.Duration(0))
	f.SaysLeaving(Incarnation{"u", 100})
	is.Equal(lacks(2*time.Second), time.Duration(0)) // the first that finds none
	is.Equal(lacks(4*time.Second), 2*time.Second)
	f.Put(5*time.Second, entryOf("u", 200, 2))
	is.Equal(lacks(6*time.Second), time.Duration(0))
	f.Evacuate("d1")
	is.Equal(lacks(7*time.Second), time.Duration(0)) // operators say when that ends
	is.Equal(lacks(8*time.Second), time.Duration(0))
}

// An upstream started again while the store was away and said that it is leaving, in answers that were taken for those of the life before.
// When its entry came it got requests again.
func TestALifeThatMayHaveSaidItIsLeavingIsAskedFirst(t *testing.T) {
	place := func(f *Fleet) bool {
		_, ok := f.Place(2*time.Second, Request{Service: "s"}, nil)
		return ok
	}
	for _, says := range []bool{false, true} {
		for name, entries := range map[string][2]Upstream{
			"starts are named": {entryOf("u", 100, 1), entryOf("u", 200, 2)},
			"orders fall":      {counting(entryOf("u", 0, 1), 5), counting(entryOf("u", 0, 2), 1)},
		} {
			t.Run(fmt.Sprint(name, ", it says so again: ", says), func(t *testing.T) {
				is := is.New(t)
				f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
				f.Put(0, entries[0])
				f.SaysLeaving(entries[0].Incarnation())
				f.Put(time.Second, entries[1])
				next := entries[1].Incarnation()
				is.True(f.Unproven(next))
				is.True(!place(f))
				if says {
					f.SaysLeaving(next)
				}
				f.Proved(next)
				is.True(!f.Unproven(next))
				is.Equal(place(f), !says)
			})
		}
	}
}

// One whose earlier life was only listed as leaving is used at once: the entry tells which life it is of.
func TestALifeThatWasListedAsLeavingIsFollowedAtOnce(t *testing.T) {
	is := is.New(t)
	f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
	f.Put(0, leaving(entryOf("u", 100, 1)))
	f.Put(time.Second, entryOf("u", 200, 2))
	is.True(!f.Unproven(Incarnation{"u", 200}))
	is.True(f.Accepts(2*time.Second, Incarnation{"u", 200}))
}
