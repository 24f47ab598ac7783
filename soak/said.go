package soak

// This file defines the upstreams that say in their answers that they are leaving, or for how long they want no requests,
// while the store says that they are ready. The promises that are checked: what a box sends after it is known to have
// read such an answer does not go to that life of the upstream; and after one that asks for a pause, two requests at most until the pause
// ends. A box is known to have read an answer once a caller has it, or its request has gone elsewhere; what it decided by then counts for nothing.

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// restMost is how many requests a box may send an upstream within a pause that it asked for.
const restMost = 2

// pausesAsked are those that upstreams ask for, as they write them.
var pausesAsked = []string{"0.4", "1", "1.5"}

// boxLife is a box from one of its starts on: what it has read is gone with its process.
type boxLife struct {
	box    *box
	starts int64
}

// life is the present life of a box.
func (b *box) life() boxLife { return boxLife{b, b.starts.Load()} }

// pause is what an upstream asked a box for.
type pause struct {
	upstream *upstream
	by       boxLife
	end      time.Time
	hits     int64     // of the upstream's gate when it was sent
	known    time.Time // the box is known to have read it; zero: it is not
	got      int       // requests that the box has decided on since and that have come before the end
}

// said is what upstreams have told boxes; the ledger's mu guards it.
type said struct {
	leaving map[*upstream]map[boxLife]time.Time // since when the box is known to have read it
	pauses  map[*upstream][]*pause
	asked   map[string][]*pause // by request that was turned away, until the box is known to have read it
}

func newSaid() said {
	return said{leaving: make(map[*upstream]map[boxLife]time.Time), pauses: make(map[*upstream][]*pause), asked: make(map[string][]*pause)}
}

// reached checks a request that has reached an upstream, and was not decided on before a moment.
func (s *said) reached(u *upstream, e *entry, breach func(format string, args ...any)) {
	life, now := e.by, time.Now()
	if e.box.life() != life {
		return // its box has started since its caller sent it, and either life may have taken it
	}
	if known, isKnown := s.leaving[u][life]; isKnown && e.decided.After(known) {
		breach("%s: it said that it is leaving in an answer that %s passed on %v before it was sent a request", u.id, life.box.name, e.decided.Sub(known))
	}
	for _, p := range s.pauses[u] {
		if p.by != life || p.known.IsZero() || !e.decided.After(p.known) || now.After(p.end) {
			continue
		}
		if p.got++; p.got == restMost+1 {
			breach("%s: it asked %s for a pause, and has got more than %d requests within it", u.id, life.box.name, restMost)
		}
	}
}

// turnsAway notes that an upstream turns a request away and asks for a pause.
func (s *said) turnsAway(u *upstream, id string, by boxLife, length time.Duration) {
	hits, passes := u.gate.passes()
	if !passes {
		return
	}
	p := &pause{upstream: u, by: by, hits: hits, end: time.Now().Add(length)}
	s.pauses[u] = append(s.pauses[u], p)
	s.asked[id] = append(s.asked[id], p)
}

// read notes that a box has read all answers that a request has got so far, as far as nothing was done to them on the way: a request
// also goes elsewhere where its answer is lost.
func (s *said) read(id string) {
	now := time.Now()
	for _, p := range s.asked[id] {
		if hits, _ := p.upstream.gate.passes(); hits == p.hits {
			p.known = now
		}
	}
	delete(s.asked, id)
}

// passedOn notes that a caller has got the head of an answer by a box.
func (s *said) passedOn(u *upstream, by boxLife) {
	if s.leaving[u] == nil {
		s.leaving[u] = make(map[boxLife]time.Time)
	}
	if _, isKnown := s.leaving[u][by]; !isKnown {
		s.leaving[u][by] = time.Now()
	}
}

// notePassedOn notes what an answer that a caller has got says of its upstream.
func (w *world) notePassedOn(id string, h http.Header) {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	e := w.ledger.entries[id]
	w.ledger.said.read(id)
	name, _, _ := strings.Cut(h.Get(words.Signature), " ")
	if u := w.ledger.ranAt[id]; u != nil && u.id == name && h.Get(words.Leaving) != "" {
		w.ledger.said.passedOn(u, e.by)
	}
}

// asksForPause has an upstream that asks for pauses turn a request away with one.
func (u *upstream) asksForPause(w http.ResponseWriter, id string) bool {
	if !u.pausing.Load() {
		return false
	}
	asked := pausesAsked[rand.IntN(len(pausesAsked))]
	seconds, err := strconv.ParseFloat(asked, 64)
	if err != nil {
		return false // all of them are numbers
	}
	u.world.ledger.turnsAway(u, id, time.Duration(seconds*float64(time.Second)))
	w.Header().Set(words.RetryAfter, asked)
	w.Header().Set(words.NotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// letLeave has an upstream say that it leaves, in its answers alone; another one follows.
func letLeave(w *world) func() {
	i := w.random.IntN(len(w.upstreams))
	u := w.upstreams[i]
	u.leaving.Store(true)
	w.note("  %s", u.id)
	return func() {
		w.replaceEnded(u)
		u.close()
	}
}

// letPause has an upstream turn all requests away and ask for a pause each time.
func letPause(w *world) func() {
	u := pick(w, w.upstreams)
	u.pausing.Store(true)
	w.note("  %s", u.id)
	return func() { u.pausing.Store(false) }
}

// leaveSound and pauseSound have an upstream that nothing else happens to say so.
func leaveSound(w *world) func() {
	w.sound[0].leaving.Store(true)
	return func() {} // to the end of the run
}

func pauseSound(w *world) func() {
	w.sound[1].pausing.Store(true)
	return func() { w.sound[1].pausing.Store(false) }
}

// sayMidway has upstreams ask for pauses and leave in each run, later than upstreams end under the fatal request. Of the others that may
// be of those which other faults have hit, and that are sent nothing for that; so two do that are sound otherwise.
func (w *world) sayMidway() []undo {
	var all []undo
	for _, x := range []struct {
		do       func(*world) func()
		from, to float64 // of the run
	}{{letPause, 0.2, 0.5}, {letPause, 0.4, 0.7}, {letLeave, 0.5, 0.8}, {letLeave, 0.7, 1}, {pauseSound, 0.2, 0.4}, {leaveSound, 0.5, 1}} {
		all = append(all, w.during(x.do, x.from, x.to)...)
	}
	return all
}

// during has a fault last from one part of the run to another.
func (w *world) during(do func(*world) func(), from, to float64) []undo {
	var end func()
	at := func(part float64) time.Time { return time.Now().Add(time.Duration(part * float64(w.cfg.For))) }
	return []undo{
		{at(from), func() { end = do(w) }},
		{at(to), func() { end() }},
	}
}
