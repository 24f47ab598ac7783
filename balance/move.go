package balance

// This file defines which answers move to another upstream while they run. The load that it
// answers: a burst of prompts makes upstreams read without a pause, and a long answer that
// began there gets a token between two pieces of what is read, some 15 a second, while others
// that read nothing make 100 a second for each of theirs. The invariant: an answer moves
// where it is expected to end too late at its upstream and in time at the other, and not
// before it has to.

import (
	"cmp"
	"time"
)

const (
	// moveSpare is how many times what it needs elsewhere is left when an answer moves. It waits
	// until no more is left, since its upstream may come to read less meanwhile and the copy is
	// paid for.
	moveSpare = 2
	// moveGain is how many times faster an answer must be expected to end elsewhere.
	moveGain = 2
	// moveCheck is about the time from one look at an answer to the next.
	moveCheck = 400 * time.Millisecond
	// moveTime is how long the copy and the first event behind it take: some 50 ms for
	// 17,000 tokens, and what waits for the same link.
	moveTime = 150 * time.Millisecond
	// moveRoom is the share of its slots up to which an upstream takes answers from others.
	moveRoom = 0.5
	// longerThan is the least part of the events that came which are expected still to come,
	// where more came than the caller expects.
	longerThan = 0.25
	// unmovedShare is the part of the time between two events of others that those of a moved
	// answer are taken to have, until some have moved.
	unmovedShare = 0.5
)

// Progress is how far an answer has come.
type Progress struct {
	Events  int           // that came so far
	Between time.Duration // of late, from one event to the next
	Left    time.Duration // until its caller's time is over
}

// Move says where an answer goes on.
type Move struct {
	To          Upstream
	Here, There time.Duration // until its end is expected
}

// MoveTo decides whether an answer moves; r is its request and from the id of the upstream
// where it runs. False means that it stays, as far as can be said now.
func (f *Fleet) MoveTo(now time.Duration, r Request, from string, p Progress) (Move, bool) {
	source := f.byID[from]
	if source == nil || source.evacuated || !f.mayRunIn(source.Domain, r) || !r.Moves || len(r.Parts) == 0 || f.cfg.Off[Moving] {
		return Move{}, false
	}
	a := &f.serviceOf(r.Service).answers
	rest := a.rest(r.Expected, p.Events)
	here := time.Duration(rest * float64(p.Between))
	there := time.Duration(rest * float64(a.betweenMoved()))
	if there == 0 || here < p.Left {
		return Move{}, false
	}
	there += moveTime
	early := p.Left > moveSpare*there+moveCheck
	if early || there > p.Left || here < moveGain*there {
		return Move{}, false
	}
	to := f.calmest(now, r, source)
	if to == nil {
		return Move{}, false
	}
	return Move{To: to.Upstream, Here: here, There: there}, true
}

// calmest is the upstream that takes an answer from another one, nil where none has room: of
// those in its region, over whose links the copy goes, the ones that read the least, and of these
// the first by rendezvous, so that boxes which see the same spread what they move. Its lane does
// not matter, since nothing is read for the answer.
func (f *Fleet) calmest(now time.Duration, r Request, from *member) *member {
	key := r.Parts[len(r.Parts)-1].ID
	var best *member
	memory := f.memoryBoundOf(r)
	for _, m := range f.usable(now, r, []string{from.ID}) {
		if !memory.fits(m) || !f.takesOver(now, m, r) {
			continue
		}
		if best == nil || f.calmer(from, m, best, key) {
			best = m
		}
	}
	return best
}

// calmer reports whether one upstream takes an answer before another: one in the region it
// moves from before those beyond, then one that reads less, or as little and goes before it for
// the key by rendezvous.
func (f *Fleet) calmer(from *member, a, b *member, key uint64) bool {
	byRegion := cmp.Compare(f.beyondRegion(from, a), f.beyondRegion(from, b))
	byWeight := cmp.Compare(weight(b.ID, key), weight(a.ID, key))
	return cmp.Or(byRegion, cmp.Compare(a.calmStep(), b.calmStep()), byWeight) < 0
}

// beyondRegion is 1 where an upstream lies in another region, and 0 where it does not.
func (f *Fleet) beyondRegion(from, m *member) int {
	if !f.cfg.Off[Distance] && f.proximityOf(from.Domain, m.Domain) == otherRegion {
		return 1
	}
	return 0
}

// takesOver reports whether an upstream has room for an answer that moves, and nothing to read.
func (f *Fleet) takesOver(now time.Duration, m *member, r Request) bool {
	full := float64(m.open()+1) > moveRoom*float64(m.Slots)
	return !full && !m.unreachable && now >= m.coldTill && f.limitOf(m) == nil && f.pauseOf(m) == nil && f.backlog(now, m, r.urgencyLevel()) == 0
}

// OpenMoved counts an answer on the upstream that it has moved to, which has nothing to read
// for it.
func (f *Fleet) OpenMoved(now time.Duration, id string, r Request) *Ticket {
	m := f.byID[id]
	if m == nil {
		return &Ticket{closed: true}
	}
	t := &Ticket{fleet: f, member: m, request: r, opened: now, moved: true}
	t.begin(now)
	return t
}
