package balance

// This file defines what boxes tell each other of classes of requests. The invariant: what
// this box has seen and what it was told are kept apart, and a mean over both weighs each
// request alike.

import "time"

// toldFrom is from how many requests on, those of the past counting less, a box tells
// of a class: after 30 s without one it does no more.
const toldFrom = 0.05

// ClassKey identifies a class at a service where boxes tell each other of it.
type ClassKey struct {
	Service uint32 // Key of its name
	Class   uint32 // Key of its name
}

// ClassSeen is what a box, or several, see of a class.
type ClassSeen struct {
	ClassKey
	Read  float64       // prompt tokens that are read for a request, a mean
	Seen  float64       // requests that the mean rests on, those of the past counting less
	Pause time.Duration // the longest pause between events that is in time
}

// Plus is what two see of a class.
func (c ClassSeen) Plus(o ClassSeen) ClassSeen {
	sum := mean{c.Read * c.Seen, c.Seen}
	sum.add(o.Read, o.Seen)
	c.Read, c.Seen, c.Pause = sum.value(), sum.weight, max(c.Pause, o.Pause)
	return c
}

// Classes lists what this box sees of classes, in no order.
func (f *Fleet) Classes() []ClassSeen {
	var list []ClassSeen
	for name, s := range f.services {
		for key, c := range s.classes.byKey {
			if c.own.weight >= toldFrom {
				list = append(list, ClassSeen{ClassKey{Key(name), key}, c.own.value(), c.own.weight, c.gap})
			}
		}
	}
	return list
}

// NoteClasses takes in what all other boxes see, in place of what they saw before.
func (f *Fleet) NoteClasses(list []ClassSeen) {
	for name, s := range f.services {
		key := Key(name)
		s.classes.forgetTold()
		for _, told := range list {
			if told.Service == key {
				s.classes.noteTold(told)
			}
		}
	}
}

// forgetTold forgets what was told.
func (k *classes) forgetTold() {
	for _, c := range k.byKey {
		c.told = mean{}
	}
}

// noteTold takes in what others see of a class.
func (k *classes) noteTold(told ClassSeen) {
	c := k.byKey[told.Class]
	if c == nil {
		if len(k.byKey) >= maxClasses {
			return
		}
		c = &class{key: told.Class, gap: told.Pause}
		k.byKey[told.Class] = c
	}
	if c.own.weight == 0 {
		c.gap = told.Pause
	}
	c.told = mean{told.Read * told.Seen, told.Seen}
}
