package balance

// This file defines the pauses that upstreams ask this box for, and how requests return after one. The invariants: a life of an
// upstream that asked for a pause is sent nothing until the latest end that it asked for; and after it requests return in growing
// numbers, so that a queue does not arrive at once, those that wait before others and the more urgent before them.

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pauseSpread and pauseSpreadMost bound by how much later than its end, as a part of the pause, a box returns: an upstream
	// that asks all boxes at once would have them all back at once.
	pauseSpread     = 0.1
	pauseSpreadMost = 500 * time.Millisecond
	// forgetPause is how long after its end a pause is forgotten that no request has come back from.
	forgetPause = time.Minute
	// returnsSoon is after how long a request that waits looks again while others return.
	returnsSoon = time.Second
)

// pause is what a life asked this box for.
type pause struct {
	till time.Duration // when requests may return
	room int           // requests that may be on their way back at once
	open int           // of those that were sent since, the ones that are not answered yet
}

// Pause notes that a life asks this box for a pause from now on, and returns until when it lasts.
func (f *Fleet) Pause(now time.Duration, l Incarnation, length time.Duration) (till time.Duration) {
	key := l.Key()
	p := f.pauses[key]
	if p == nil {
		p = new(pause)
		f.pauses[key] = p
	}
	p.till = max(p.till, now+length+f.spreadOf(now, key, length))
	p.room = 1
	return p.till
}

// spreadOf is by how much later than others this box returns: the same box differs from one pause to the next.
func (f *Fleet) spreadOf(now time.Duration, key uint32, length time.Duration) time.Duration {
	b := binary.LittleEndian.AppendUint32([]byte(f.sharers.Box), key)
	b = binary.LittleEndian.AppendUint64(b, uint64(now))
	share := float64(xxhash.Sum64(b)>>11) / (1 << 53)
	return time.Duration(share * min(pauseSpread*float64(length), float64(pauseSpreadMost)))
}

// pauseOf is the pause of an upstream, also while requests return after it; nil where there is none.
func (f *Fleet) pauseOf(m *member) *pause {
	if len(f.pauses) == 0 || f.cfg.Off[Pauses] {
		return nil
	}
	return f.pauses[m.key]
}

// mayReturn reports whether a request may be sent to an upstream, as far as pauses go.
func (f *Fleet) mayReturn(now time.Duration, m *member, r Request) bool {
	p := f.pauseOf(m)
	if p == nil {
		return true
	}
	return now >= p.till && p.open < p.room && !f.serviceOf(r.Service).waits.before(r)
}

// PauseLeft is how long it takes until a request may have a place after a pause; 0 where an upstream is not paused, or none is there.
func (f *Fleet) PauseLeft(now time.Duration, r Request, tried []string) time.Duration {
	if len(f.pauses) == 0 {
		return 0
	}
	var least time.Duration
	for _, m := range f.byService[r.Service] {
		if m.unreachable || !f.isEligible(now, m, r, tried) {
			continue
		}
		p := f.pauseOf(m)
		if p == nil {
			return 0
		}
		left := p.till - now
		if left <= 0 {
			left = returnsSoon
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// PausedFor is how long an upstream wants nothing from this box; 0: it asked for no pause.
func (f *Fleet) PausedFor(now time.Duration, l Incarnation) time.Duration {
	m := f.byID[l.ID]
	if m == nil || m.Incarnation() != l || f.pauseOf(m) == nil {
		return 0
	}
	return max(0, f.pauses[m.key].till-now)
}

// anyPaused reports whether an upstream of a service is paused or was lately.
func (f *Fleet) anyPaused(service string) bool {
	if len(f.pauses) == 0 {
		return false
	}
	for _, m := range f.byService[service] {
		if f.pauseOf(m) != nil {
			return true
		}
	}
	return false
}

// goBack counts a request among those that return after a pause.
func (t *Ticket) goBack(now time.Duration) {
	if p := t.fleet.pauseOf(t.member); p != nil && now >= p.till {
		t.pause = p
		p.open++
	}
}

// cameBack notes what became of a request that returned after a pause. An answer lets two in its place, unless the upstream has asked for
// another pause since the request was sent.
func (t *Ticket) cameBack(answered bool) {
	p := t.pause
	if p == nil {
		return
	}
	t.pause = nil
	p.open--
	if !answered || t.opened < p.till {
		return
	}
	if p.room++; p.room > t.member.Slots {
		t.fleet.endPause(t.member.key, p)
	}
}

// endPause forgets a pause that all requests have returned after.
func (f *Fleet) endPause(key uint32, p *pause) {
	if f.pauses[key] == p {
		delete(f.pauses, key)
		f.pausesOver = append(f.pausesOver, key)
	}
}

// PausesOver returns, once, the upstreams that are used as before their pauses, as far as they are listed.
func (f *Fleet) PausesOver() []Upstream {
	var list []Upstream
	for _, key := range f.pausesOver {
		if m := f.byKey[key]; m != nil {
			list = append(list, m.Upstream)
		}
	}
	f.pausesOver = nil
	return list
}

// ForgetPauses forgets pauses that ended long ago.
func (f *Fleet) ForgetPauses(now time.Duration) {
	for key, p := range f.pauses {
		if now >= p.till+forgetPause && p.open == 0 {
			delete(f.pauses, key)
		}
	}
}

// waits counts the requests of a service that wait for the end of a pause, by urgency.
type waits [Levels]int

// before reports whether requests wait that go before another one: the more urgent, and those as urgent where it has not waited.
func (w *waits) before(r Request) bool {
	for level := range r.urgencyLevel() {
		if w[level] > 0 {
			return true
		}
	}
	return !r.Waited && w[r.urgencyLevel()] > 0
}

// Wait notes that a request begins to wait for the end of a pause; EndWait undoes it.
func (f *Fleet) Wait(r Request) { f.serviceOf(r.Service).waits[r.urgencyLevel()]++ }

// EndWait notes that a request waits no longer.
func (f *Fleet) EndWait(r Request) { f.serviceOf(r.Service).waits[r.urgencyLevel()]-- }

// Room is how many requests of a service may return after pauses now; all where an upstream that is not paused takes them.
func (f *Fleet) Room(now time.Duration, service string) int {
	room := 0
	for _, m := range f.byService[service] {
		if m.closed() || m.unreachable {
			continue
		}
		switch p := f.pauseOf(m); {
		case p == nil:
			room += m.Slots
		case now >= p.till:
			room += max(0, p.room-p.open)
		}
	}
	return room
}
