package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

func seen(class uint32, read, requests float64) balance.ClassSeen {
	return balance.ClassSeen{ClassKey: balance.ClassKey{Service: 7, Class: class}, Read: read, Seen: requests, Pause: 200 * time.Millisecond}
}

// knows lists which classes a box has heard of, with what is read for each.
func (w *world) knows(name string) map[uint32]int {
	reads := make(map[uint32]int)
	for _, c := range w.boxes[name].node.Classes(w.now) {
		reads[c.Class] = int(c.Read)
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
			w.boxes[teller].node.SetClasses([]balance.ClassSeen{seen(1, 600, 3), seen(2, 3500, 1)})
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
	w.boxes[boxName(2, 1)].node.SetClasses([]balance.ClassSeen{seen(1, 600, 3)})
	w.run(4 * time.Second)
	name := boxName(0, 3)
	w.start(name, domainName(0), w.boxes[name].self.Strength, false)
	w.run(DefaultTiming.Beat + 200*time.Millisecond)
	is.Equal(w.knows(name), map[uint32]int{1: 600})
}

// Every box hears the same mean over what all boxes see, each of their requests counted once.
func TestBoxesHearTheMeanOverAllBoxes(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 53)
	w.fleet(3, 3)
	w.run(4 * time.Second)
	w.boxes[boxName(0, 1)].node.SetClasses([]balance.ClassSeen{seen(1, 600, 3)})
	w.boxes[boxName(1, 0)].node.SetClasses([]balance.ClassSeen{seen(1, 1000, 4)})
	w.boxes[boxName(1, 1)].node.SetClasses([]balance.ClassSeen{seen(1, 2000, 1)})
	w.run(3 * time.Second)
	for _, name := range w.names {
		if name == boxName(1, 0) { // a lead: its own is not told to it
			is.Equal(w.knows(name), map[uint32]int{1: (3*600 + 2000) / 4})
			continue
		}
		is.Equal(w.knows(name), map[uint32]int{1: (3*600 + 4*1000 + 2000) / 8})
	}
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
			many = append(many, seen(uint32(box*1000+i), 1, 1))
		}
		w.boxes[boxName(0, box)].node.SetClasses(many)
	}
	w.run(3 * time.Second)
	for _, name := range w.names {
		is.True(len(w.knows(name)) <= maxClasses)
	}
}
