package balance

// This file defines what boxes tell each other of classes of requests. The invariant: what
// was told never replaces what this box has seen itself; it is where its means begin.

import (
	"time"
)

const (
	// toldWeight is for how many requests of this box's own a mean counts that was told.
	toldWeight = 5
	// toldFrom is from how many requests on, those of the past counting less, a box tells
	// of a class: after 30 s without one it does no more.
	toldFrom = 0.05
)

// ClassKey identifies a class at a service where boxes tell each other of it.
type ClassKey struct {
	Service uint32 // Key of its name
	Class   uint32 // Key of its name
}

// ClassSeen is what a box sees of a class.
type ClassSeen struct {
	ClassKey
	Read  int           // prompt tokens that are read for a request, a mean
	Pause time.Duration // the longest pause between events that is in time
}

// Classes lists what this box sees of classes, in no order.
func (f *Fleet) Classes() []ClassSeen {
	var list []ClassSeen
	for name, s := range f.services {
		for key, c := range s.classes.byKey {
			if c.own && c.seen >= toldFrom {
				list = append(list, ClassSeen{ClassKey{Key(name), key}, int(c.read), c.gap})
			}
		}
	}
	return list
}

// NoteClasses takes in what other boxes see.
func (f *Fleet) NoteClasses(list []ClassSeen) {
	for name, s := range f.services {
		key := Key(name)
		for _, told := range list {
			if told.Service == key {
				s.classes.noteTold(told)
			}
		}
	}
}

// noteTold takes in a class that another box sees, unless this one does.
func (k *classes) noteTold(told ClassSeen) {
	c := k.byKey[told.Class]
	if c != nil && c.own || c == nil && len(k.byKey) >= maxClasses {
		return
	}
	k.byKey[told.Class] = &class{key: told.Class, gap: told.Pause, read: float64(told.Read), seen: 1}
}
