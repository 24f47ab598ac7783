package balance

// This file decides which request classes are separated from the others. A stream is delayed by
// the prefill of prompts on the same upstream. A class whose events must follow each other
// closely and whose prompts are short therefore suffers much more from a class with long prompts
// than the reverse. The invariant: the interference of the classes on either side of a division
// differs at least by the factor minSeparation, less the hysteresis for an existing division; if
// no two neighboring classes differ by that much, none is separated.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minSeparation is the ratio between the interference of two classes from which on they are
	// separated.
	minSeparation = 3.2
	// separationHysteresis is how much greater the factor of another division must be to replace
	// the present one, and how far the factor of the present one may fall below minSeparation.
	separationHysteresis = 1.2
	// minClassShare is the share of the service's requests that a class must have to be
	// considered. One request per class is enough to begin with: a box that waited for more would
	// have no lanes meanwhile.
	minClassShare = 0.02
	// classWindow is the time constant over which the requests of a class are averaged.
	classWindow = 10 * time.Second
	// maxClasses bounds the number of classes tracked per service.
	maxClasses = 256
)

// class holds the statistics about the requests of a class at a service.
type class struct {
	key      uint32        // Key of its name
	gap      time.Duration // longest acceptable gap between events
	target   time.Duration // latency target of the first event; 0: not seen
	observed mean          // prompt tokens prefilled per request of this box, with exponential decay
	reported mean          // the same for the requests of other boxes
}

// requests returns the number of requests observed on all boxes, with exponential decay.
func (c *class) requests() float64 { return c.observed.weight + c.reported.weight }

// meanPrefill returns the mean number of prompt tokens prefilled per request, over all boxes. One
// of some hundreds of boxes that share the load sees a few requests per second, too few to
// estimate the mean in its first 10 s.
func (c *class) meanPrefill() float64 {
	all := c.observed
	all.add(c.reported.value(), c.reported.weight)
	return all.value()
}

// interference measures how much a request of the class delays others, relative to the delay that
// the class accepts itself. Of two classes, b delays a by b.meanPrefill / a.gap of the gap that a
// accepts, and a delays b by a.meanPrefill / b.gap; the former is b.interference() /
// a.interference() times the latter.
func (c *class) interference() float64 { return max(c.meanPrefill(), 1) * float64(c.gap) }

// classes holds the statistics about a service's classes and their division.
type classes struct {
	byKey    map[uint32]*class // by Key of the class name
	division division          // as computed by this box
	assigned []uint32          // Keys of the separated classes as assigned by the deciding box; empty: the division of this box applies
}

// division splits the classes of a service: those with interference below limit are separated
// from the others.
type division struct {
	limit  float64 // 0: no class is separated
	factor float64 // ratio between the neighbors on either side
}

// observe records a request sent to an upstream that has to prefill unread tokens of it.
func (k *classes) observe(r Request, unread int) {
	if r.Class == "" || r.MaxGap == 0 {
		return
	}
	key := Key(r.Class)
	c := k.byKey[key]
	if c == nil {
		if len(k.byKey) >= maxClasses {
			return
		}
		c = &class{key: key}
		k.byKey[key] = c
	}
	c.gap = r.MaxGap
	c.observed.add(float64(unread), 1)
}

// decay reduces the weight of earlier requests by the time elapsed.
func (k *classes) decay(elapsed time.Duration) {
	left := math.Exp(-float64(elapsed) / float64(classWindow))
	for _, c := range k.byKey {
		c.observed.sum *= left
		c.observed.weight *= left
	}
}

// setTarget sets the latency target of a class.
func (k *classes) setTarget(name string, target time.Duration) {
	if c := k.byKey[Key(name)]; c != nil {
		c.target = target
	}
}

// tight reports whether a class is among those separated from long prefill.
func (k *classes) tight(name string) bool { return k.isTightKey(Key(name)) }

// isTightKey is like tight, for the Key of a class name.
func (k *classes) isTightKey(key uint32) bool {
	if len(k.assigned) > 0 {
		return slices.Contains(k.assigned, key)
	}
	c := k.byKey[key]
	return c != nil && c.interference() < k.division.limit
}

// tightKeys returns the sorted Keys of the separated classes.
func (k *classes) tightKeys() []uint32 {
	if len(k.assigned) > 0 {
		return k.assigned
	}
	var keys []uint32
	for key, c := range k.byKey {
		if c.interference() < k.division.limit {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// assign adopts the separated classes decided by the one box that decides for all. With its own
// division instead, one box among hundreds relied on the few requests that it sees: a fifth of
// the prompts of a class with four times the prefill ran among the tight streams, and 4 of 10 of
// those had gaps that were too long (a burst after a start of 295 boxes). A box that gets no
// assignment keeps the last one until it has seen two classes.
func (k *classes) assign(reported []uint32) {
	if len(reported) > 0 || len(k.significant()) >= 2 {
		k.assigned = reported
	}
}

// chooseDivision selects the division with the greatest factor, but keeps the present one as long
// as its factor is nearly as great.
func (k *classes) chooseDivision() {
	best, present := k.divisions()
	switch {
	case present.factor*separationHysteresis >= max(best.factor, minSeparation):
		k.division = present
	case best.factor >= minSeparation:
		k.division = best
	default:
		k.division = division{}
	}
}

// divisions returns the division with the greatest factor, and the one that results from the
// present limit.
func (k *classes) divisions() (best, present division) {
	list := k.significant()
	for i := 1; i < len(list); i++ {
		below, above := list[i-1].interference(), list[i].interference()
		d := division{limit: math.Sqrt(below * above), factor: above / below}
		if d.factor > best.factor {
			best = d
		}
		if below < k.division.limit && k.division.limit <= above {
			present = d
		}
	}
	return best, present
}

// significant returns the classes with enough requests to be considered, by increasing
// interference.
func (k *classes) significant() []*class {
	var all float64
	for _, c := range k.byKey {
		all += c.requests()
	}
	var list []*class
	for _, c := range k.byKey {
		if seen := c.requests(); seen > 0 && seen >= all*minClassShare {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.interference(), b.interference()), cmp.Compare(a.key, b.key))
	})
	return list
}

// mean is a weighted mean.
type mean struct{ sum, weight float64 }

func (m *mean) add(value, weight float64) {
	m.sum += value * weight
	m.weight += weight
}

// value returns the mean; 0 if the weight is 0.
func (m *mean) value() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// laneExitCost returns the cost of placing a tight stream outside of its lane, in prompt tokens
// queued ahead of it: the tokens of LaneExitPrompts prompts of the class with the longest ones.
func (f *Fleet) laneExitCost(service string) int {
	var most float64
	for _, c := range f.serviceOf(service).classes.significant() {
		most = max(most, c.meanPrefill())
	}
	return int(f.cfg.Tuning.LaneExitPrompts * most)
}
