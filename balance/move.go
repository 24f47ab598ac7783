package balance

// This file decides which running answers move to another upstream. It addresses this load: a
// burst of prompts keeps upstreams in prefill all the time, and a long answer that runs there
// gets one token between two prefill steps, about 15 a second, while idle upstreams produce 100 a
// second for each of their answers. The invariant: an answer moves only if it is expected to
// finish too late where it runs and in time at the target, and not before it has to.

import (
	"cmp"
	"time"
)

const (
	// moveSlackFactor is the ratio of the time left to the time needed at the target below which
	// an answer moves. The move is delayed until then because the load of the present upstream
	// may fall meanwhile, and because the copy has a cost.
	moveSlackFactor = 2
	// moveMinSpeedup is how many times faster an answer must be expected to finish at the target.
	moveMinSpeedup = 2
	// moveCheckInterval is the approximate interval between two checks of a running answer.
	moveCheckInterval = 400 * time.Millisecond
	// moveDuration is how long the copy and the first event after it take: about 50 ms for 17,000
	// tokens, plus queueing for the same link.
	moveDuration = 150 * time.Millisecond
	// moveMaxOccupancy is the share of occupied slots up to which an upstream accepts moved
	// answers.
	moveMaxOccupancy = 0.5
	// minRestShare is the least number of events still expected, as a share of those received,
	// once an answer is longer than its caller expected.
	minRestShare = 0.25
	// movedIntervalShare estimates the event interval of moved answers, as a share of that of
	// other answers, until enough moves have been observed.
	movedIntervalShare = 0.5
)

// Progress is the state of a running answer.
type Progress struct {
	Events        int           // events received so far
	EventInterval time.Duration // recent time between two events
	TimeLeft      time.Duration // time until the caller's deadline
}

// Move is a decision to move an answer.
type Move struct {
	To          Upstream
	Here, There time.Duration // expected time to the end of the answer, without and with the move
}

// MoveTo decides whether a running answer moves to another upstream; r is its request and from
// the id of the upstream that runs it. It returns false if the answer stays for now.
func (f *Fleet) MoveTo(now time.Duration, r Request, from string, p Progress) (Move, bool) {
	source := f.byID[from]
	if source == nil || source.evacuated || !f.mayRunIn(source.Domain, r) || !r.CanTransfer || len(r.Parts) == 0 || f.cfg.Off[Moving] {
		return Move{}, false
	}
	a := &f.serviceOf(r.Service).answers
	rest := a.remainingEvents(r.ExpectedTokens, p.Events)
	here := time.Duration(rest * float64(p.EventInterval))
	there := time.Duration(rest * float64(a.movedInterval()))
	if there == 0 || here < p.TimeLeft {
		return Move{}, false
	}
	there += moveDuration
	early := p.TimeLeft > moveSlackFactor*there+moveCheckInterval
	if early || there > p.TimeLeft || here < moveMinSpeedup*there {
		return Move{}, false
	}
	to := f.moveTarget(now, r, source)
	if to == nil {
		return Move{}, false
	}
	return Move{To: to.Upstream, Here: here, There: there}, true
}

// moveTarget returns the upstream that a running answer moves to, or nil if none has room. It
// prefers upstreams in the region of the source, whose links carry the copy, then those with the
// least prefill work, then the highest rendezvous weight, so that boxes with the same view spread
// their moves. The lane does not matter, since moved answers need no prefill.
func (f *Fleet) moveTarget(now time.Duration, r Request, from *member) *member {
	key := r.Parts[len(r.Parts)-1].ID
	var best *member
	memory := f.memoryBoundOf(r)
	for _, m := range f.usable(now, r, []string{from.ID}) {
		if !memory.fits(m) || !f.canReceiveMove(now, m, r) {
			continue
		}
		if best == nil || f.betterMoveTarget(from, m, best, key) {
			best = m
		}
	}
	return best
}

// betterMoveTarget reports whether a is a better target than b for an answer that moves away from
// an upstream: one in the same region, then one with less prefill work, then one with the higher
// rendezvous weight for key.
func (f *Fleet) betterMoveTarget(from *member, a, b *member, key uint64) bool {
	byRegion := cmp.Compare(f.crossesRegion(from, a), f.crossesRegion(from, b))
	byWeight := cmp.Compare(weight(b.ID, key), weight(a.ID, key))
	return cmp.Or(byRegion, cmp.Compare(a.prefillLevel(), b.prefillLevel()), byWeight) < 0
}

// crossesRegion returns 1 if an upstream is in another region than from, and 0 otherwise.
func (f *Fleet) crossesRegion(from, m *member) int {
	if !f.cfg.Off[Distance] && f.proximityOf(from.Domain, m.Domain) == otherRegion {
		return 1
	}
	return 0
}

// canReceiveMove reports whether an upstream has free slots for a moved answer and no prefill
// backlog.
func (f *Fleet) canReceiveMove(now time.Duration, m *member, r Request) bool {
	full := float64(m.open()+1) > moveMaxOccupancy*float64(m.Slots)
	return !full && !m.unreachable && now >= m.coldUntil && f.limitOf(m) == nil && f.pauseOf(m) == nil && f.backlog(now, m, r.urgencyLevel()) == 0
}

// OpenMoved returns a ticket for an answer that has moved to an upstream, which needs no prefill
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
