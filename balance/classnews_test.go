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
	f.NoteClasses([]ClassSeen{{ClassKey: ClassKey{Service: Key("other"), Class: Key("chat")}, Read: 1e6, Pause: time.Hour}})
	f.SizeLanes(0, nil)
	is.True(f.tight(chat(1))) // that is of another service
}

// What a box sees itself moves on from what it was told, and is not replaced by that.
func TestWhatABoxSeesGoesBeforeWhatItWasTold(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(20)
	told := []ClassSeen{{ClassKey: ClassKey{Service: Key("s"), Class: Key("chat")}, Read: 1000, Pause: time.Second}}
	f.NoteClasses(told)
	k := &f.serviceOf("s").classes
	k.observe(chat(1), 400)
	f.NoteClasses(told)
	own := f.Classes()
	is.Equal(len(own), 1)
	is.Equal(own[0].Read, 900) // 1,000 counts for five requests
	is.Equal(own[0].Pause, 200*time.Millisecond)
	k.age(time.Hour)
	is.Equal(len(f.Classes()), 0) // it has not seen one for long
}
