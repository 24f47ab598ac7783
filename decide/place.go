package decide

// This file defines the upstreams of a pool and the choice between them. The
// invariant: an upstream is given no more than its slots, less what its own
// report shows to be taken by somebody else; one that is leaving or broken is
// given nothing.

import (
	"slices"
	"time"
)

// Backend describes an upstream to a pool.
type Backend struct {
	Name     string
	Slots    int
	Leaving  bool
	CanPause bool   // whether it can pause and resume an answer
	Model    string // that it has to have loaded; "" is any
}

// Report is what an upstream said of its own load, some time ago.
type Report struct {
	Upstream string
	Age      time.Duration // since the upstream took it
	Running  int
	Waiting  int
	Leaving  bool
	// Prefixes are cached prompt prefixes announced since the last report, and
	// Gap says that announcements were lost in between.
	Prefixes []uint64
	Evicted  []uint64
	Gap      bool
	// Loaded is the model that it has loaded, "" if it does not say; Fence is the
	// highest of the orders that it has seen.
	Loaded  string
	Loading bool
	Fence   uint64
	// Restarted says that it counts its announcements anew.
	Restarted bool
}

const (
	defaultPace   = 0.06            // seconds for one token, until measured
	paceMemory    = 0.2             // weight of a new pace sample
	slowFactor    = 2.0             // slower than the median by this is slow
	warmUp        = 5 * time.Second // a new upstream reaches its slots in this time
	breakAfter    = 3               // failures in a row that open the breaker
	firstBreak    = time.Second
	longestBreak  = 30 * time.Second
	historyLength = 16          // seconds of held leases remembered
	prefixBonus   = 0.35        // a cached prefix is worth this share of an upstream's slots
	prefixMemory  = 512         // prefixes remembered for an upstream
	reportTrusted = time.Minute // an older report says nothing
)

// backend is an upstream with what is known of its state.
type backend struct {
	Backend
	index    int // among the pool's backends
	held     int
	history  [historyLength]int // most held in each of the last seconds
	second   int64
	foreign  int // running there without a lease of this pool
	pace     float64
	paced    bool
	since    Time // when it was first seen or came back
	failures int
	broken   time.Duration // length of the current break
	until    Time          // end of the break
	reported bool
	report   Report
	reportAt Time
	fresh    int      // granted since the report was taken, for a new owner
	order    []uint64 // cached prefixes, the oldest first
	draining bool     // its own report says that it is leaving
	// saysLeaving says that an answer did, at saidLeaving or before; pausedTill is until when it wants no requests.
	saysLeaving             bool
	saidLeaving, pausedTill Time
	limit                   int // usable slots as of the last refresh
}

func newBackend(now Time, b Backend) *backend {
	return &backend{Backend: b, since: now, pace: defaultPace}
}

// note keeps the most leases held in each second, so that a late report can be
// compared with what this pool held when it was taken.
func (b *backend) note(now Time) {
	second := int64(now / time.Second)
	for ; b.second < second; b.second++ {
		if second-b.second > historyLength {
			b.second = second - historyLength
		}
		b.history[(b.second+1)%historyLength] = b.held
	}
	slot := &b.history[second%historyLength]
	*slot = max(*slot, b.held)
}

// heldAround is the most held between age ago, a second of slack allowed, and now.
func (b *backend) heldAround(now Time, age time.Duration) int {
	most, seconds := b.held, int64(age/time.Second)+2
	for i := range min(seconds, historyLength) {
		most = max(most, b.history[((int64(now/time.Second)-i)%historyLength+historyLength)%historyLength])
	}
	return most
}

// takeReport brings a backend's state up to what its report says.
func (p *Pool) takeReport(now Time, b *backend, r Report) {
	b.note(now)
	b.report, b.reportAt, b.reported = r, now-r.Age, true
	defer p.countFree(b)
	b.foreign = max(0, r.Running+r.Waiting-b.heldAround(now, r.Age))
	b.fresh = 0
	p.reportsLeaving(b, r)
	if r.Gap {
		// Announcements were lost: what is known of this cache is in doubt, so
		// forget it and learn it again.
		p.forgetPrefixes(b)
	}
	for _, prefix := range r.Evicted {
		p.uncache(b, prefix)
	}
	for _, prefix := range r.Prefixes {
		p.cache(b, prefix)
	}
}

// cache notes a prefix as held by b; what was noted first is forgotten first.
func (p *Pool) cache(b *backend, prefix uint64) {
	holders := p.cached[prefix]
	if prefix == 0 || slices.Contains(holders, b) {
		return
	}
	if len(b.order) >= prefixMemory {
		p.uncache(b, b.order[0])
	}
	p.cached[prefix] = append(holders, b)
	b.order = append(b.order, prefix)
}

func (p *Pool) uncache(b *backend, prefix uint64) {
	holders := p.cached[prefix]
	i := slices.Index(holders, b)
	if i < 0 {
		return
	}
	if len(holders) == 1 {
		delete(p.cached, prefix)
	} else {
		p.cached[prefix] = slices.Delete(holders, i, i+1)
	}
	if j := slices.Index(b.order, prefix); j >= 0 {
		b.order = slices.Delete(b.order, j, j+1)
	}
}

func (p *Pool) forgetPrefixes(b *backend) {
	for len(b.order) > 0 {
		p.uncache(b, b.order[len(b.order)-1])
	}
}

// sample takes in a measured pace, in seconds for one token.
func (b *backend) sample(pace float64) {
	if !b.paced {
		b.pace, b.paced = pace, true
		return
	}
	b.pace += paceMemory * (pace - b.pace)
}

// failed counts a failure; several in a row put the upstream out for a while,
// twice as long each time.
func (b *backend) failed(now Time) {
	b.failures++
	if b.failures < breakAfter {
		return
	}
	b.broken = min(max(firstBreak, 2*b.broken), longestBreak)
	b.until = now + b.broken
	b.since = b.until
}

func (b *backend) succeeded() {
	b.failures, b.broken = 0, 0
}

// wrongModel reports whether the upstream says that it has another model loaded
// than its row wants.
func (b *backend) wrongModel() bool {
	return b.Model != "" && b.reported && (b.report.Loading || b.report.Loaded != "" && b.report.Loaded != b.Model)
}

// usable is how many slots may be held now, given the pool's median pace.
func (b *backend) usable(now Time, median float64) int {
	if b.Leaving || b.leaves() || now < b.until || now < b.pausedTill || b.wrongModel() {
		return 0
	}
	slots := float64(b.Slots)
	if b.failures >= breakAfter {
		slots = 1 // a probe
	}
	if b.paced && b.pace > slowFactor*median {
		slots = max(1, slots*median/b.pace)
	}
	if age := now - b.since; age < warmUp && b.returns() {
		slots = max(1, slots*float64(age)/float64(warmUp))
	}
	return int(slots)
}

// free is how many more slots may be granted. A new owner that does not know
// yet what the others hold goes by the upstream's own report alone.
func (b *backend) free(now Time, learning bool) int {
	n := b.limit - b.held - b.foreign
	if !learning {
		return n
	}
	if !b.reported || now-b.reportAt > reportTrusted {
		return 0
	}
	return min(n, b.Slots-b.report.Running-b.report.Waiting-b.fresh)
}

// countFree renews the pool's own count of a backend's free slots.
func (p *Pool) countFree(b *backend) {
	if b.index < len(p.frees) && p.backends[b.index] == b {
		p.frees[b.index] = b.limit - b.held - b.foreign
	}
}

// score rates an upstream with free slots; the least is the best.
func (p *Pool) score(b *backend, free int) float64 {
	score := 1 - float64(free)/float64(b.Slots)
	if b.paced {
		score += 0.5 * (b.pace/p.median - 1)
	}
	return score
}

// choose returns the upstream with a free slot that is best for the bid, or nil.
func (p *Pool) choose(now Time, bid *Bid) *backend {
	learning := p.learning(now)
	if bid.Resume != "" {
		if b := p.byName[bid.Resume]; b != nil && b.free(now, learning) > 0 {
			return b
		}
	}
	var best *backend
	least := 0.0
	for i, free := range p.frees {
		if free <= 0 {
			continue // most are full when it matters, so this loop is kept tight
		}
		b := p.backends[i]
		if learning {
			if free = b.free(now, true); free <= 0 {
				continue
			}
		}
		if score := p.score(b, free); best == nil || score < least {
			best, least = b, score
		}
	}
	for _, b := range p.cached[bid.Prefix] {
		free := b.free(now, learning)
		if free <= 0 {
			continue
		}
		if score := p.score(b, free) - prefixBonus; score < least {
			best, least = b, score
		}
	}
	return best
}

// refresh renews what choose and drain go by.
func (p *Pool) refresh(now Time) {
	p.refreshed = now
	p.updateMedian()
	p.slots, p.rate = 0, 0
	for _, b := range p.backends {
		b.note(now)
		b.limit = b.usable(now, p.median)
		n := max(0, b.limit-b.foreign)
		p.slots += n
		p.rate += float64(n) / b.pace
		p.countFree(b)
	}
	p.rate = max(p.rate, 1)
}

// updateMedian renews the median pace; the upstreams are compared with it.
func (p *Pool) updateMedian() {
	p.paces = p.paces[:0]
	for _, b := range p.backends {
		if b.paced {
			p.paces = append(p.paces, b.pace)
		}
	}
	if len(p.paces) == 0 {
		p.median = defaultPace
		return
	}
	slices.Sort(p.paces)
	p.median = p.paces[(len(p.paces)-1)/2]
}
