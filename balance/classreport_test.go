package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A box without observations of its own divides upstreams according to the reports of other
// boxes.
func TestReportedClassesDivideUpstreams(t *testing.T) {
	is := is.New(t)
	teller, f := newDividedFleet(20), newTestFleet(20)
	f.NoteClasses(teller.Classes())
	f.SizeLanes(0, nil)
	is.True(f.tight(chat(1)) && !f.tight(letter(1)))
	is.True(len(tightUpstreams(f)) < 20)
	is.Equal(len(f.Classes()), 0) // reported statistics are not passed on
	other := ClassStats{ClassKey: ClassKey{Service: Key("other"), Class: Key("chat")}, Read: 1e6, Seen: 9, Pause: time.Hour}
	f.NoteClasses(append(teller.Classes(), other))
	f.SizeLanes(0, nil)
	is.True(f.tight(chat(1))) // the other report is about a different service
}

// Own observations and reports are weighted by their requests. A box reports only its own
// observations, and drops reports that are not repeated.
func TestOwnAndReportedClassesAreWeightedByRequests(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(20)
	reported := []ClassStats{{ClassKey: ClassKey{Service: Key("s"), Class: Key("chat")}, Read: 1000, Seen: 5, Pause: time.Second}}
	f.NoteClasses(reported)
	k := &f.serviceOf("s").classes
	k.observe(chat(1), 400)
	f.NoteClasses(reported)
	c := k.byKey[Key("chat")]
	is.Equal(c.meanPrefill(), 900.0)
	is.Equal(c.requests(), 6.0)
	is.Equal(c.gap, 200*time.Millisecond)
	is.Equal(f.Classes(), []ClassStats{{reported[0].ClassKey, 400, 1, 200 * time.Millisecond}})
	f.NoteClasses(nil)
	is.Equal(c.meanPrefill(), 400.0)
	k.decay(time.Hour)
	is.Equal(len(f.Classes()), 0) // the last request was long ago
}

// Plus weights both means by their requests.
func TestClassSeenPlus(t *testing.T) {
	is := is.New(t)
	a := ClassStats{Read: 1000, Seen: 3, Pause: 200 * time.Millisecond}
	b := ClassStats{Read: 200, Seen: 1, Pause: time.Second}
	is.Equal(a.Plus(b), ClassStats{Read: 800, Seen: 4, Pause: time.Second})
	is.Equal(a.Plus(ClassStats{}), a)
	is.Equal((ClassStats{}).Plus(ClassStats{}), ClassStats{})
}
