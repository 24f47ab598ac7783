package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

func seen(class uint32, read int) balance.ClassSeen {
	return balance.ClassSeen{ClassKey: balance.ClassKey{Service: 7, Class: class}, Read: read, Pause: 200 * time.Millisecond}
}

// knows lists which classes a box has heard of, with what is read for each.
func (w *world) knows(name string) map[uint32]int {
	reads := make(map[uint32]int)
	for _, c := range w.boxes[name].node.Classes(w.now) {
		reads[c.Class] = c.Read
	}
	return reads
}

// What one box sees, all hear of within three beats, from a lead or a member, in its domain
// and in others; when it sees it no more, all forget it, though leads tell each other.
func TestWhatABoxSeesOfAClassIsToldToAllAndForgotten(t *testing.T) {
	for _, teller := range []string{boxName(0, 0), boxName(1, 3)} { // a lead, and a member
		t.Run(teller, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 51)
			w.fleet(3, 4)
			w.run(4 * time.Second)
			w.boxes[teller].node.SetClasses([]balance.ClassSeen{seen(1, 600), seen(2, 3500)})
			w.run(3*DefaultTiming.Beat + 500*time.Millisecond)
			for _, name := range w.names {
				if name == teller {
					continue
				}
				is.Equal(w.knows(name), map[uint32]int{1: 600, 2: 3500})
			}
			w.boxes[teller].node.SetClasses(nil)
			w.run(3 * (classFor + DefaultTiming.Beat))
			for _, name := range w.names {
				is.Equal(len(w.knows(name)), 0)
			}
		})
	}
}

// A box that starts hears of classes with the first beat of its lead.
func TestABoxThatStartsHearsOfClasses(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 52)
	w.fleet(3, 4)
	w.boxes[boxName(2, 1)].node.SetClasses([]balance.ClassSeen{seen(1, 600)})
	w.run(4 * time.Second)
	name := boxName(0, 3)
	w.start(name, domainName(0), w.boxes[name].self.Strength, false)
	w.run(DefaultTiming.Beat + 200*time.Millisecond)
	is.Equal(w.knows(name), map[uint32]int{1: 600})
}

// What the own domain sees goes before what another one does.
func TestTheOwnDomainsClassesGoFirst(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 53)
	w.fleet(2, 3)
	w.run(4 * time.Second)
	w.boxes[boxName(0, 1)].node.SetClasses([]balance.ClassSeen{seen(1, 600)})
	w.boxes[boxName(1, 1)].node.SetClasses([]balance.ClassSeen{seen(1, 900)})
	w.run(3 * time.Second)
	is.Equal(w.knows(boxName(0, 2)), map[uint32]int{1: 600})
	is.Equal(w.knows(boxName(1, 2)), map[uint32]int{1: 900})
}

// However many classes there are, a message and a box's memory hold a bounded number.
func TestClassesAreBounded(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 54)
	w.fleet(1, 3)
	w.run(4 * time.Second)
	for box := range 3 {
		var many []balance.ClassSeen
		for i := range 5 * maxClasses {
			many = append(many, seen(uint32(box*1000+i), 1))
		}
		w.boxes[boxName(0, box)].node.SetClasses(many)
	}
	w.run(3 * time.Second)
	for _, name := range w.names {
		is.True(len(w.knows(name)) <= maxClasses)
	}
}
