package balance

// This file defines the reports between boxes about request classes. The invariant: what this box
// has observed and what was reported to it are stored separately, and a mean over both weighs
// each request equally.

import "time"

// minReportedWeight is the least weight of observations for which a class is reported; it is
// reached after 30 s without a request.
const minReportedWeight = 0.05

// ClassKey identifies a class at a service in reports between boxes.
type ClassKey struct {
	Service uint32 // Key of the service name
	Class   uint32 // Key of the class name
}

// ClassStats holds statistics about a class from one box or several.
type ClassStats struct {
	ClassKey
	Read  float64       // mean number of prompt tokens prefilled per request
	Seen  float64       // number of requests observed, with exponential decay
	Pause time.Duration // longest acceptable gap between events
}

// Plus combines two sets of statistics about the same class.
func (c ClassStats) Plus(o ClassStats) ClassStats {
	sum := mean{c.Read * c.Seen, c.Seen}
	sum.add(o.Read, o.Seen)
	c.Read, c.Seen, c.Pause = sum.value(), sum.weight, max(c.Pause, o.Pause)
	return c
}

// Classes returns the class statistics of this box, in no particular order.
func (f *Fleet) Classes() []ClassStats {
	var list []ClassStats
	for name, s := range f.services {
		for key, c := range s.classes.byKey {
			if c.observed.weight >= minReportedWeight {
				list = append(list, ClassStats{ClassKey{Key(name), key}, c.observed.value(), c.observed.weight, c.gap})
			}
		}
	}
	return list
}

// NoteClasses replaces the statistics reported by all other boxes.
func (f *Fleet) NoteClasses(list []ClassStats) {
	for name, s := range f.services {
		key := Key(name)
		s.classes.clearReported()
		for _, reported := range list {
			if reported.Service == key {
				s.classes.setReported(reported)
			}
		}
	}
}

// clearReported clears the reported statistics.
func (k *classes) clearReported() {
	for _, c := range k.byKey {
		c.reported = mean{}
	}
}

// setReported sets the statistics that other boxes reported about a class.
func (k *classes) setReported(reported ClassStats) {
	c := k.byKey[reported.Class]
	if c == nil {
		if len(k.byKey) >= maxClasses {
			return
		}
		c = &class{key: reported.Class, gap: reported.Pause}
		k.byKey[reported.Class] = c
	}
	if c.observed.weight == 0 {
		c.gap = reported.Pause
	}
	c.reported = mean{reported.Read * reported.Seen, reported.Seen}
}
