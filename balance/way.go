package balance

// This file defines how far upstreams are: the way to a failure domain, there and back, as
// connections that came up show it. The invariant: no one sample decides, since a connection
// to an upstream that is overrun takes longer than the way, and none takes less.

import "time"

const (
	// wayFrom is how many connections must have come up for the way to be known: until then
	// a shorter first guess holds.
	wayFrom = 3
	// waySpan is the time over which the least sample is taken; that of the span before
	// counts as well, so that a longer way is believed after two of them.
	waySpan = 30 * time.Second
	// The first guesses, from the layout alone: between failure domains of a region and
	// between regions of one continent. They hold for a few connections.
	guessDomain = 2 * time.Millisecond
	guessRegion = 20 * time.Millisecond
)

// way is what connections to the upstreams of a failure domain showed.
type way struct {
	least  time.Duration // of this span
	before time.Duration // of the span before
	began  time.Duration // when this span did
	seen   int           // samples, up to wayFrom
}

// note takes in how long a connection took to come up.
func (w *way) note(now, took time.Duration) {
	switch {
	case w.seen == 0:
		*w = way{least: took, before: took, began: now}
	case now-w.began >= waySpan:
		w.before, w.least, w.began = w.least, took, now
	default:
		w.least = min(w.least, took)
	}
	w.seen = min(w.seen+1, wayFrom)
}

// value is the least of what was seen.
func (w *way) value() time.Duration { return min(w.least, w.before) }

// NoteRTT takes in how long a connection to an upstream of a failure domain took to come up.
func (f *Fleet) NoteRTT(now time.Duration, domain string, took time.Duration) {
	if took <= 0 {
		return
	}
	w := f.ways[domain]
	if w == nil {
		w = new(way)
		f.ways[domain] = w
	}
	w.note(now, took)
}

// RTT is how long the way to a failure domain takes, there and back.
func (f *Fleet) RTT(domain string) time.Duration {
	guess := f.guessWay(domain)
	w := f.ways[domain]
	switch {
	case w == nil:
		return guess
	case w.seen < wayFrom:
		return min(guess, w.value())
	}
	return w.value()
}

// guessWay is the way as the layout lets one expect.
func (f *Fleet) guessWay(domain string) time.Duration {
	switch f.apart(f.cfg.Domain, domain) {
	case otherRegion:
		return guessRegion
	case otherDomain:
		return guessDomain
	}
	return 0
}

// apartness is how far two failure domains lie from each other by the layout, the nearest first.
type apartness uint8

const (
	sameDomain apartness = iota
	otherDomain
	otherRegion
)

// apart says how far two failure domains lie from each other. Where they are not divided into
// regions, all lie in one.
func (f *Fleet) apart(a, b string) apartness {
	switch {
	case a == b:
		return sameDomain
	case f.cfg.Regions[a] == f.cfg.Regions[b]:
		return otherDomain
	}
	return otherRegion
}

// distance is what it costs to send a request to a failure domain, in prompt tokens: those that
// could be read while it is on its way, and what its bytes count for on a link that is dear.
func (f *Fleet) distance(domain string, r Request) int {
	if f.cfg.Off[Distance] {
		return 0
	}
	onWay := float64(f.RTT(domain)) / float64(time.Millisecond) * f.rate
	return int(onWay + float64(r.Bytes)/kilobyte*f.perKilobyte(domain))
}

// kilobyte is in bytes.
const kilobyte = 1000

// perKilobyte is what a kilobyte to a failure domain counts for, in prompt tokens.
func (f *Fleet) perKilobyte(domain string) float64 {
	switch f.apart(f.cfg.Domain, domain) {
	case otherRegion:
		return f.cfg.Tuning.RegionKB
	case otherDomain:
		return f.cfg.Tuning.DomainKB
	}
	return 0
}

// awayOf is how many open requests for each slot an upstream of a failure domain counts as
// having more, for requests of a service without prompts: as many as would run there during
// the way, and Away where its domain is another one.
func (f *Fleet) awayOf(domain string, held time.Duration) float64 {
	away := 0.0
	if domain != f.cfg.Domain {
		away = f.cfg.Tuning.Away
	}
	if f.cfg.Off[Distance] || held <= 0 {
		return away
	}
	further := f.RTT(domain) - f.RTT(f.cfg.Domain)
	return max(away, min(float64(further)/float64(held), mostAway))
}

// mostAway bounds that, in requests a slot: upstreams queue a few and refuse what is beyond, while
// others stand idle. Without it 74 requests of 5 ms waited at six slots before one went 60 ms away.
const mostAway = 4
