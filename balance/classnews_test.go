package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A box that has seen nothing divides upstreams by what others told it.
func TestABoxDividesByWhatItWasTold(t *testing.T) {
	is := is.New(t)
	teller, f := newDividedFleet(20), newTestFleet(20)
	f.NoteClasses(teller.Classes())
	f.SizeLanes(0, nil)
	is.True(f.tight(chat(1)) && !f.tight(letter(1)))
	is.True(len(tightPlaces(f)) < 20)
	is.Equal(len(f.Classes()), 0) // what it has not seen itself it does not pass on
	other := ClassSeen{ClassKey: ClassKey{Service: Key("other"), Class: Key("chat")}, Read: 1e6, Seen: 9, Pause: time.Hour}
	f.NoteClasses(append(teller.Classes(), other))
	f.SizeLanes(0, nil)
	is.True(f.tight(chat(1))) // that is of another service
}

// What a box sees itself and what it was told weigh by their requests; it tells only the
// former, and forgets what is not told any more.
func TestWhatABoxSeesAndWhatItWasToldWeighByRequests(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(20)
	told := []ClassSeen{{ClassKey: ClassKey{Service: Key("s"), Class: Key("chat")}, Read: 1000, Seen: 5, Pause: time.Second}}
	f.NoteClasses(told)
	k := &f.serviceOf("s").classes
	k.observe(chat(1), 400)
	f.NoteClasses(told)
	c := k.byKey[Key("chat")]
	is.Equal(c.read(), 900.0)
	is.Equal(c.seen(), 6.0)
	is.Equal(c.gap, 200*time.Millisecond)
	is.Equal(f.Classes(), []ClassSeen{{told[0].ClassKey, 400, 1, 200 * time.Millisecond}})
	f.NoteClasses(nil)
	is.Equal(c.read(), 400.0)
	k.age(time.Hour)
	is.Equal(len(f.Classes()), 0) // it has not seen one for long
}

// What two see of a class is the mean over the requests of both.
func TestWhatTwoSeeOfAClass(t *testing.T) {
	is := is.New(t)
	a := ClassSeen{Read: 1000, Seen: 3, Pause: 200 * time.Millisecond}
	b := ClassSeen{Read: 200, Seen: 1, Pause: time.Second}
	is.Equal(a.Plus(b), ClassSeen{Read: 800, Seen: 4, Pause: time.Second})
	is.Equal(a.Plus(ClassSeen{}), a)
	is.Equal((ClassSeen{}).Plus(ClassSeen{}), ClassSeen{})
}
