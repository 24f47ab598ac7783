package balance

// This file defines how often parts of prompts are asked for near a box, as far as its own
// requests tell: where a part that lies far away is asked for often enough, a copy nearby costs
// less than all the ways there. The invariant: what is counted is of the last keptFor, and
// bounded in number.

import (
	"math"
	"time"
)

// demandShape is how unevenly parts are asked for, as the shape of a gamma distribution of their
// rates: with 0.5 a fifth of the parts gets two thirds of the requests. It keeps the first
// request for a part that a box sees from counting as proof of many.
const demandShape = 0.5

// demandLeast is for how long requests are taken to have been counted at the least: a few in
// the first second after a start say little of the minutes to come.
const demandLeast = keptFor / 4

// demand counts this box's requests by their last shared part; those of the past count less.
type demand struct {
	byPart map[uint32]fading
	all    fading
	swept  time.Duration // when old ones last made room
}

// fading is a count in which what lies keptFor back counts for 1/e.
type fading struct {
	count float64
	at    time.Duration
}

// value is the count at a time.
func (c fading) value(now time.Duration) float64 {
	return c.count * math.Exp(-float64(now-c.at)/float64(keptFor))
}

// more is the count with one more.
func (c fading) more(now time.Duration) fading { return fading{c.value(now) + 1, now} }

// note counts a request for a part.
func (d *demand) note(now time.Duration, part uint32) {
	d.all = d.all.more(now)
	c, known := d.byPart[part]
	if !known && len(d.byPart) >= keptParts && !d.hasRoom(now) {
		return
	}
	d.byPart[part] = c.more(now)
}

// hasRoom drops what was hardly asked for of late, once in a while, and reports whether there is
// room for one more.
func (d *demand) hasRoom(now time.Duration) bool {
	if now-d.swept >= sweepEvery {
		d.swept = now
		for part, c := range d.byPart {
			if now-c.at >= keptFor {
				delete(d.byPart, part)
			}
		}
	}
	return len(d.byPart) < keptParts
}

// expected is how many requests for a part this box is to see within keptFor, where requests
// are for so many different parts and have been counted for so long.
func (d *demand) expected(now time.Duration, part uint32, parts int, counted time.Duration) float64 {
	all := d.all.value(now)
	if all == 0 || parts == 0 {
		return 0
	}
	span := 1 - math.Exp(-float64(max(counted, demandLeast))/float64(keptFor)) // in units of keptFor
	mean := all / span / float64(parts)
	return (d.byPart[part].value(now) + demandShape) / (span + demandShape/mean)
}

// expectedNearby is how many requests for a part the boxes of this box's failure domain are to
// see within keptFor: as many each as this one.
func (f *Fleet) expectedNearby(now time.Duration, part Part) float64 {
	boxes := max(1, len(f.sharers.Boxes))
	key := PartKey(part.ID)
	return float64(boxes) * f.demand.expected(now, key, len(f.kept.keepers), now-f.listed)
}
