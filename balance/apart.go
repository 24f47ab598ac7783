package balance

// This file defines which classes of request are kept apart. What holds a stream up is the
// reading of prompts beside it; so a class whose events must follow each other closely, and
// which reads little, suffers much more from one that reads much than the other way
// round. The invariant: the classes on either side of the division differ in their
// interference by the factor apartFrom at least, less the slack for a division that there
// is; where no two neighbours do, nothing is kept apart.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// apartFrom is from which factor on between two classes' interference they are kept apart.
	apartFrom = 3.2
	// apartSlack is how much greater another division's factor must be for it to replace
	// the present one, and how far that may fall below apartFrom.
	apartSlack = 1.2
	// classShare is the part of the service's requests that a class must have to count. One
	// request of each is enough to begin with: a box that waits for more is without lanes meanwhile.
	classShare = 0.02
	// classMemory is the time over which the requests of a class are averaged.
	classMemory = 10 * time.Second
	// maxClasses bounds the classes that are known of a service.
	maxClasses = 256
)

// class is what is observed of the requests of a class at a service.
type class struct {
	key    uint32        // Key of its name
	gap    time.Duration // the longest pause that its requests bear
	target time.Duration // within which their first event should come; 0: not seen
	own    mean          // of the prompt tokens that are read for a request, those of the past counting less
	told   mean          // the same of the requests that other boxes see
}

// seen is how many requests are known of, those of the past counting less.
func (c *class) seen() float64 { return c.own.weight + c.told.weight }

// read is how many prompt tokens are read for a request, a mean over all boxes: one of some
// hundreds that share the requests sees a few a second, too few to go by for its first
// 10 s.
func (c *class) read() float64 {
	all := c.own
	all.add(c.told.value(), c.told.weight)
	return all.value()
}

// interference is how much a request of the class holds others up, by what it bears
// itself. Of two classes, b holds up a for b.read / a.gap of the pause that a bears, and a
// holds up b for a.read / b.gap; the first is b.interference() / a.interference() times the
// second.
func (c *class) interference() float64 { return max(c.read(), 1) * float64(c.gap) }

// classes is what is observed of a service's classes, and how they are divided.
type classes struct {
	byKey    map[uint32]*class // by Key of its name
	apart    division          // as this box would divide them
	followed []uint32          // Keys of those that are kept apart, as it was told; empty: this box's own
}

// division is where the classes of a service are divided: those whose interference is below limit
// are kept apart from the others.
type division struct {
	limit  float64 // 0: nothing is kept apart
	factor float64 // between the neighbours on either side
}

// observe takes in a request that was sent to an upstream which has to read unread tokens.
func (k *classes) observe(r Request, unread int) {
	if r.Class == "" || r.Gap == 0 {
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
	c.gap = r.Gap
	c.own.add(float64(unread), 1)
}

// age lets the requests of the past count less.
func (k *classes) age(past time.Duration) {
	left := math.Exp(-float64(past) / float64(classMemory))
	for _, c := range k.byKey {
		c.own.sum *= left
		c.own.weight *= left
	}
}

// noteTarget takes in the latency target of a class.
func (k *classes) noteTarget(name string, target time.Duration) {
	if c := k.byKey[Key(name)]; c != nil {
		c.target = target
	}
}

// tight reports whether a class is among those that are kept apart from heavy reading.
func (k *classes) tight(name string) bool { return k.tightKey(Key(name)) }

// tightKey is the same by the Key of its name.
func (k *classes) tightKey(key uint32) bool {
	if len(k.followed) > 0 {
		return slices.Contains(k.followed, key)
	}
	c := k.byKey[key]
	return c != nil && c.interference() < k.apart.limit
}

// tightKeys lists the classes that are kept apart, in order.
func (k *classes) tightKeys() []uint32 {
	if len(k.followed) > 0 {
		return k.followed
	}
	var keys []uint32
	for key, c := range k.byKey {
		if c.interference() < k.apart.limit {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// follow takes over which classes are kept apart from who decides that for all. Without
// this, a box among hundreds went by the few requests that it sees: a fifth of the prompts of
// a class that reads four times as much ran among the tight streams, and 4 of 10 of those
// had pauses that were too long (a burst after a start of 295 boxes). A box that
// is told nothing goes on with what it was told, until it has seen two classes.
func (k *classes) follow(told []uint32) {
	if len(told) > 0 || len(k.counted()) >= 2 {
		k.followed = told
	}
}

// decideApart looks for the division with the greatest factor; the present one stays as
// long as it is nearly as great.
func (k *classes) decideApart() {
	best, present := k.divisions()
	switch {
	case present.factor*apartSlack >= max(best.factor, apartFrom):
		k.apart = present
	case best.factor >= apartFrom:
		k.apart = best
	default:
		k.apart = division{}
	}
}

// divisions returns the division with the greatest factor, and the one that the present
// limit makes.
func (k *classes) divisions() (best, present division) {
	list := k.counted()
	for i := 1; i < len(list); i++ {
		below, above := list[i-1].interference(), list[i].interference()
		d := division{limit: math.Sqrt(below * above), factor: above / below}
		if d.factor > best.factor {
			best = d
		}
		if below < k.apart.limit && k.apart.limit <= above {
			present = d
		}
	}
	return best, present
}

// counted lists the classes that have enough requests to go by, the least interference first.
func (k *classes) counted() []*class {
	var all float64
	for _, c := range k.byKey {
		all += c.seen()
	}
	var list []*class
	for _, c := range k.byKey {
		if seen := c.seen(); seen > 0 && seen >= all*classShare {
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

// value is the mean, 0 of nothing.
func (m *mean) value() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// leaveCost is what it costs a tight stream to be placed beyond its lane, in tokens that are to
// be read before it: as much as Leave prompts of the class that reads the most.
func (f *Fleet) leaveCost(service string) int {
	var most float64
	for _, c := range f.serviceOf(service).classes.counted() {
		most = max(most, c.read())
	}
	return int(f.cfg.Tuning.Leave * most)
}
