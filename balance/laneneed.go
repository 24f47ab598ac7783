package balance

// This file defines how many upstreams tight streams and the others need: slots for what is
// under way, and time to read what is to be read. The loads that it answers: a burst of tight
// streams that read little and hold all slots of their lane while the others' stand empty, and
// a burst of long prompts that read all the time and hold few slots. The invariant: upstreams
// are divided in the proportion of the two needs, whichever of slots and reading makes each.

import "time"

// readingAhead is the time that an upstream counts as reading for when it has as much to read
// as takes so long, and for its part of it when it has less: a prompt counts as unread until
// its first event has come back, which takes longer than the reading of a short one.
const readingAhead = 100 * time.Millisecond

// mostReadingWeight bounds what an upstream that reads all the time counts.
const mostReadingWeight = 1.5

// Need is what tight streams and the others need of a service's upstreams, as shares of them
// all.
type Need struct{ Tight, Rest float64 }

// add counts a share of one upstream on the side that it is kept for.
func (n *Need) add(tight bool, share float64) {
	if tight {
		n.Tight += share
	} else {
		n.Rest += share
	}
}

func (n Need) sum() float64 { return n.Tight + n.Rest }

// by is each side's need by a weight of its own.
func (n Need) by(o Need) Need { return Need{n.Tight * o.Tight, n.Rest * o.Rest} }

func (n Need) times(x float64) Need { return Need{n.Tight * x, n.Rest * x} }

// follow is what it becomes when it is now: a rise counts at once, and what has fallen counts
// less and less, by what is left of it. With a mean the lane would be too large for as long after a burst
// of tight streams, and too small as one begins.
func (n Need) follow(now Need, left float64) Need {
	return Need{max(now.Tight, now.Tight+(n.Tight-now.Tight)*left), max(now.Rest, now.Rest+(n.Rest-now.Rest)*left)}
}

// share is the share of the upstreams that tight streams should have; at least so much is left
// to either side.
func (n Need) share(least float64) float64 {
	if n.sum() == 0 {
		return least
	}
	return min(max(n.Tight/n.sum(), least), 1-least)
}

// readingWeight is how many upstreams whose slots are all held count as much as one that reads
// all the time, on either side: the more, the fewer prompts an upstream can read in the time that
// one may wait. Where three can be, it has to rest half of its time for another to find it free;
// where nine can be, it hardly has to. One weight for all would suit one kind of prompts only.
func (f *Fleet) readingWeight(s *service) Need {
	var tight, rest mean // how long prompts are read, by how long they may wait
	for _, c := range s.classes.counted() {
		if c.target == 0 {
			continue
		}
		side := &rest
		if s.classes.tightKey(c.key) {
			side = &tight
		}
		wait := part(c.target, f.cfg.Tuning.Admit)
		side.add(float64(f.readTime(int(c.read())))/float64(wait), c.read()*c.seen())
	}
	return Need{f.weightOf(tight), f.weightOf(rest)}
}

// weightOf is the weight of a side; that of held slots where no target is known.
func (f *Fleet) weightOf(readByWait mean) float64 {
	if readByWait.weight == 0 {
		return 1
	}
	return min(f.cfg.Tuning.LaneQueue*readByWait.value(), mostReadingWeight)
}

// readingShare is for how much of the time to come an upstream reads.
func (f *Fleet) readingShare(unread int) float64 {
	return min(float64(f.readTime(unread))/float64(readingAhead), 1)
}

// needOf is what the sides of a service need. Of slots and of reading counts that of which a
// side needs more: it may be short of one while it has the other to spare.
func (f *Fleet) needOf(s *service) Need {
	reading := s.reading.by(f.readingWeight(s))
	if s.spare == 0 {
		return reading
	}
	held := s.open.times(1 / float64(s.spare))
	return Need{max(reading.Tight, held.Tight), max(reading.Rest, held.Rest)}
}
