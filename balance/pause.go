package balance

// This file tracks the pauses that upstreams request from this box, and how requests resume
// afterwards. The invariants: an upstream incarnation that requested a pause gets no request
// until the latest end that it asked for; after that requests resume with a window that grows
// with each answer, so that a queue does not arrive at once, requests that waited go before
// others, and more urgent ones go first.

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pauseJitter, as a part of the pause, and maxPauseJitter bound the extra delay after the end
	// of a pause before this box resumes. An upstream that asks all boxes for a pause at once
	// would otherwise get all of them back at the same moment.
	pauseJitter    = 0.1
	maxPauseJitter = 500 * time.Millisecond
	// pauseRetention is how long after its end a pause is kept while no request has resumed.
	pauseRetention = time.Minute
	// resumeRecheck is when a waiting request checks again while others resume.
	resumeRecheck = time.Second
)

// pause is the pause that an upstream incarnation requested from this box.
type pause struct {
	until    time.Duration // when requests may resume
	window   int           // requests that may be in flight at once
	inFlight int           // requests sent since the end of the pause that are not answered yet
}

// Pause records that an upstream incarnation requests a pause of the given length from now on,
// and returns when it ends for this box.
func (f *Fleet) Pause(now time.Duration, l Incarnation, length time.Duration) (until time.Duration) {
	key := l.Key()
	p := f.pauses[key]
	if p == nil {
		p = new(pause)
		f.pauses[key] = p
	}
	p.until = max(p.until, now+length+f.jitter(now, key, length))
	p.window = 1
	return p.until
}

// jitter returns the delay after the end of a pause; it differs between boxes and between pauses.
func (f *Fleet) jitter(now time.Duration, key uint32, length time.Duration) time.Duration {
	b := binary.LittleEndian.AppendUint32([]byte(f.quotaPeers.Box), key)
	b = binary.LittleEndian.AppendUint64(b, uint64(now))
	share := float64(xxhash.Sum64(b)>>11) / (1 << 53)
	return time.Duration(share * min(pauseJitter*float64(length), float64(maxPauseJitter)))
}

// pauseOf returns the pause of an upstream, also while requests resume after it; nil if there is
// none.
func (f *Fleet) pauseOf(m *member) *pause {
	if len(f.pauses) == 0 || f.cfg.Off[Pauses] {
		return nil
	}
	return f.pauses[m.key]
}

// allowedByPause reports whether a request may be sent to an upstream, considering only its
// pause.
func (f *Fleet) allowedByPause(now time.Duration, m *member, r Request) bool {
	p := f.pauseOf(m)
	if p == nil {
		return true
	}
	return now >= p.until && p.inFlight < p.window && !f.serviceOf(r.Service).waiters.precede(r)
}

// PauseLeft returns the time until a request may find capacity after a pause; 0 if an upstream is
// not paused, or none is available.
func (f *Fleet) PauseLeft(now time.Duration, r Request, tried []string) time.Duration {
	if len(f.pauses) == 0 {
		return 0
	}
	var least time.Duration
	for _, m := range f.byService[r.Service] {
		if f.isLost(m) || !f.isEligible(now, m, r, tried) {
			continue
		}
		p := f.pauseOf(m)
		if p == nil {
			return 0
		}
		left := p.until - now
		if left <= 0 {
			left = resumeRecheck
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// PausedFor returns the remaining pause of an upstream incarnation; 0 if it requested none.
func (f *Fleet) PausedFor(now time.Duration, l Incarnation) time.Duration {
	m := f.byID[l.ID]
	if m == nil || m.Incarnation() != l || f.pauseOf(m) == nil {
		return 0
	}
	return max(0, f.pauses[m.key].until-now)
}

// anyPaused reports whether an upstream of a service is paused or still resumes after a pause.
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

// countResumed counts a request that is sent after a pause.
func (t *Ticket) countResumed(now time.Duration) {
	if p := t.fleet.pauseOf(t.member); p != nil && now >= p.until {
		t.pause = p
		p.inFlight++
	}
}

// finishResumed records how a request that was sent after a pause ended. An answer grows the
// window by one, so that two requests take its place, unless the upstream has requested another
// pause since the request was sent.
func (t *Ticket) finishResumed(answered bool) {
	p := t.pause
	if p == nil {
		return
	}
	t.pause = nil
	p.inFlight--
	if !answered || t.opened < p.until {
		return
	}
	if p.window++; p.window > t.member.Slots {
		t.fleet.endPause(t.member.key, p)
	}
}

// endPause drops a pause whose window covers all slots of the upstream.
func (f *Fleet) endPause(key uint32, p *pause) {
	if f.pauses[key] == p {
		delete(f.pauses, key)
		f.endedPauses = append(f.endedPauses, key)
	}
}

// PausesOver returns the listed upstreams that came back to normal use after a pause since the
// last call.
func (f *Fleet) PausesOver() []Upstream {
	var list []Upstream
	for _, key := range f.endedPauses {
		if m := f.byKey[key]; m != nil {
			list = append(list, m.Upstream)
		}
	}
	f.endedPauses = nil
	return list
}

// ForgetPauses drops pauses that ended long ago.
func (f *Fleet) ForgetPauses(now time.Duration) {
	for key, p := range f.pauses {
		if now >= p.until+pauseRetention && p.inFlight == 0 {
			delete(f.pauses, key)
		}
	}
}

// waiterCounts counts, by urgency, the requests of a service that wait for the end of a pause.
type waiterCounts [UrgencyLevels]int

// precede reports whether waiting requests go before r: more urgent ones, and equally urgent ones
// if r has not waited.
func (w *waiterCounts) precede(r Request) bool {
	for level := range r.urgencyLevel() {
		if w[level] > 0 {
			return true
		}
	}
	return !r.Waited && w[r.urgencyLevel()] > 0
}

// Wait counts a request that begins to wait for the end of a pause; EndWait reverses it.
func (f *Fleet) Wait(r Request) { f.serviceOf(r.Service).waiters[r.urgencyLevel()]++ }

// EndWait counts down a request that no longer waits.
func (f *Fleet) EndWait(r Request) { f.serviceOf(r.Service).waiters[r.urgencyLevel()]-- }

// ReturnCapacity returns how many requests of a service may be sent now after pauses; upstreams
// that are not paused count with all their slots.
func (f *Fleet) ReturnCapacity(now time.Duration, service string) int {
	capacity := 0
	for _, m := range f.byService[service] {
		if m.closed() || f.isLost(m) {
			continue
		}
		switch p := f.pauseOf(m); {
		case p == nil:
			capacity += m.Slots
		case now >= p.until:
			capacity += max(0, p.window-p.inFlight)
		}
	}
	return capacity
}
