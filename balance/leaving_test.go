package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// If an upstream reports in an answer that it is leaving, this holds for its incarnation,
// whatever later entries say.
func TestReportedLeavingHoldsForTheIncarnation(t *testing.T) {
	remove := func(f *Fleet) { f.Remove("u") }
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
		{"no further event", entryOf("u", 100, 1), nil, false},
		{"its entry is written again", entryOf("u", 100, 1), []func(*Fleet){put(entryOf("u", 100, 2))}, false},
		{"its entry expires and is put again", entryOf("u", 100, 1), []func(*Fleet){remove, put(entryOf("u", 100, 3))}, false},
		{"its entry expires and is put again, no start time", entryOf("u", 0, 1), []func(*Fleet){remove, put(entryOf("u", 0, 3))}, false},
		{"the list is read again", entryOf("u", 0, 1), []func(*Fleet){put(entryOf("u", 0, 1)), put(entryOf("u", 0, 1))}, false},
		{"its service is removed and added again", entryOf("u", 0, 1), []func(*Fleet){services("x"), services("s")}, false},
		{"another writer's entry under its ID", entryOf("u", 0, 1), []func(*Fleet){services("s"), put(Upstream{ID: "u", StartedAt: 500, Service: "x"}), put(entryOf("u", 0, 4))}, false},
		{"an entry of an earlier incarnation", entryOf("u", 100, 1), []func(*Fleet){put(entryOf("u", 50, 9))}, false},
		{"the command count increases", withCommandCount(entryOf("u", 0, 1), 5), []func(*Fleet){remove, put(withCommandCount(entryOf("u", 0, 3), 6))}, false},
		{"a later incarnation", entryOf("u", 100, 1), []func(*Fleet){put(entryOf("u", 200, 2))}, true},
		{"a later incarnation after its entry expired", entryOf("u", 100, 1), []func(*Fleet){remove, put(entryOf("u", 200, 2))}, true},
		{"the first entry with a start time", entryOf("u", 0, 1), []func(*Fleet){put(entryOf("u", 200, 2))}, true},
		{"the command count decreases", withCommandCount(entryOf("u", 0, 1), 5), []func(*Fleet){put(withCommandCount(entryOf("u", 0, 2), 1))}, true},
		{"the command count decreases after its entry expired", withCommandCount(entryOf("u", 0, 1), 5), []func(*Fleet){remove, put(withCommandCount(entryOf("u", 0, 3), 1))}, true},
		{"another upstream at its address", entryOf("u", 0, 1), []func(*Fleet){put(other)}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
			f.Put(0, c.first)
			is.True(f.NoteLeaving(c.first.Incarnation()))
			is.True(!f.NoteLeaving(c.first.Incarnation())) // reported before
			is.True(!f.Accepts(2*time.Second, c.first.Incarnation()))
			for _, do := range c.then {
				do(f)
			}
			if u, known := f.Entry("u"); known {
				f.NoteLeavingChecked(u.Incarnation()) // when asked, it does not report leaving again
			}
			choice, used := f.Place(2*time.Second, Request{Service: "s"}, nil)
			is.Equal(used, c.used)
			is.True(!used || f.Accepts(2*time.Second, choice.Upstream.Incarnation()))
		})
	}
}

// A report of an earlier incarnation does not affect the present one, and a report of an
// incarnation that is not listed is stored.
func TestLeavingIsReportedPerIncarnation(t *testing.T) {
	is := is.New(t)
	f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
	f.Put(0, entryOf("u", 200, 1))
	is.True(!f.NoteLeaving(Incarnation{"u", 100}))
	is.True(f.Accepts(2*time.Second, Incarnation{"u", 200}))
	is.True(f.NoteLeaving(Incarnation{"v", 100}))
	f.Put(0, Upstream{ID: "v", StartedAt: 100, Service: "s", Address: "10.1.0.2:1"})
	is.True(f.Get("v").Leaving)
}

// A request that waits for a connection is not sent if its upstream has started leaving, or its
// domain has been evacuated, since it was placed.
func TestAcceptsAfterPlacement(t *testing.T) {
	for name, do := range map[string]func(*Fleet){
		"it reports that it is leaving":     func(f *Fleet) { f.NoteLeaving(Incarnation{"u", 100}) },
		"its entry says that it is leaving": func(f *Fleet) { f.Put(0, leaving(entryOf("u", 100, 2))) },
		"its domain is evacuated":           func(f *Fleet) { f.Evacuate("d1") },
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

// While no upstream of a service accepts requests, callers are told to retry after as long as
// that has lasted.
func TestUnavailableFor(t *testing.T) {
	is := is.New(t)
	f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
	f.Put(0, entryOf("u", 100, 1))
	unavailable := func(now time.Duration) time.Duration {
		f.Place(now, Request{Service: "s"}, nil)
		return f.UnavailableFor(now, "s")
	}
	is.Equal(unavailable(time.Second), time.Duration(0))
	f.NoteLeaving(Incarnation{"u", 100})
	is.Equal(unavailable(2*time.Second), time.Duration(0)) // the first request that finds none
	is.Equal(unavailable(4*time.Second), 2*time.Second)
	f.Put(5*time.Second, entryOf("u", 200, 2))
	is.Equal(unavailable(6*time.Second), time.Duration(0))
	f.Evacuate("d1")
	is.Equal(unavailable(7*time.Second), time.Duration(0)) // operators decide when an evacuation ends
	is.Equal(unavailable(8*time.Second), time.Duration(0))
}

// Guards against sending requests to a leaving upstream. It restarted while the store was
// unavailable and reported leaving in answers, which were attributed to the previous incarnation;
// when its entry arrived, it received requests again.
func TestIncarnationThatMayBeLeavingIsCheckedFirst(t *testing.T) {
	place := func(f *Fleet) bool {
		_, ok := f.Place(2*time.Second, Request{Service: "s"}, nil)
		return ok
	}
	for _, says := range []bool{false, true} {
		for name, entries := range map[string][2]Upstream{
			"with start times":            {entryOf("u", 100, 1), entryOf("u", 200, 2)},
			"the command count decreases": {withCommandCount(entryOf("u", 0, 1), 5), withCommandCount(entryOf("u", 0, 2), 1)},
		} {
			t.Run(fmt.Sprint(name, ", reports leaving again: ", says), func(t *testing.T) {
				is := is.New(t)
				f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
				f.Put(0, entries[0])
				f.NoteLeaving(entries[0].Incarnation())
				f.Put(time.Second, entries[1])
				next := entries[1].Incarnation()
				is.True(f.NeedsLeavingCheck(next))
				is.True(!place(f))
				if says {
					f.NoteLeaving(next)
				}
				f.NoteLeavingChecked(next)
				is.True(!f.NeedsLeavingCheck(next))
				is.Equal(place(f), !says)
			})
		}
	}
}

// If only the entry said that the previous incarnation was leaving, the next one is used without
// a check, since an entry states its incarnation.
func TestIncarnationAfterALeavingEntryIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
	f.Put(0, leaving(entryOf("u", 100, 1)))
	f.Put(time.Second, entryOf("u", 200, 2))
	is.True(!f.NeedsLeavingCheck(Incarnation{"u", 200}))
	is.True(f.Accepts(2*time.Second, Incarnation{"u", 200}))
}
