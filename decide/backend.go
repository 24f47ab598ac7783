package decide

// This file defines the upstreams of a pool and how one is chosen for a request. The
// invariants: an upstream gets no more requests than its slots, minus the load from
// other sources that its report shows; an upstream that is shutting down or failing
// gets none.

import (
	"slices"
	"time"
)

// Backend is the configuration of an upstream in a pool.
type Backend struct {
	Name     string
	Slots    int
	Leaving  bool   // the list of upstreams marks it as leaving
	CanPause bool   // supports pausing and resuming an answer
	Model    string // model that must be loaded; "" accepts any
}

// Report is what an upstream reported about its own load.
type Report struct {
	Upstream string
	Age      time.Duration // since the upstream took the measurements
	Running  int
	Waiting  int
	Leaving  bool // it is shutting down and takes no new requests
	// Prefixes and Evicted are the prompt prefixes that entered and left the cache
	// since the last report. Gap says that cache events were lost in between.
	Prefixes []uint64
	Evicted  []uint64
	Gap      bool
	// Loaded is the loaded model, or "" if the upstream does not report it. Fence is
	// the highest fencing token of the orders that it has seen.
	Loaded  string
	Loading bool
	Fence   uint64
	// Restarted says that the upstream has restarted its count of cache events.
	Restarted bool
}

const (
	defaultTimePerToken      = 0.06             // seconds per token before any measurement
	timePerTokenSampleWeight = 0.2              // weight of a new sample of the time per token
	slowThreshold            = 2.0              // ratio to the median time per token from which an upstream is slow
	warmUpTime               = 5 * time.Second  // time in which a new upstream ramps up to all of its slots
	breakerThreshold         = 3                // consecutive failures that open the circuit breaker
	minBreak                 = time.Second      // minimum time that the circuit breaker stays open
	maxBreak                 = 30 * time.Second // maximum time that the circuit breaker stays open
	historyLength            = 16               // seconds of history of the number of leases
	prefixBonus              = 0.35             // reduction of the score for a cached prefix, as a share of the slots
	maxPrefixes              = 512              // maximum number of prefixes recorded per upstream
	maxReportAge             = time.Minute      // older reports are ignored by a new owner
)

// backend is the state of an upstream in a pool.
type backend struct {
	Backend
	index              int                // position in Pool.backends
	held               int                // leases of this pool
	history            [historyLength]int // maximum of held in each of the last seconds
	second             int64              // the second of the latest entry in history
	foreignLoad        int                // requests on the upstream without a lease of this pool
	timePerToken       float64            // moving average, in seconds
	measured           bool               // timePerToken has a sample
	availableSince     Time               // start of the ramp-up: when first seen or last returned
	failures           int                // consecutive failures
	breakDuration      time.Duration      // duration of the current or last break
	brokenUntil        Time               // end of the break
	reported           bool
	report             Report
	reportAt           Time     // when the upstream took the measurements
	grantedSinceReport int      // used by a new owner
	prefixOrder        []uint64 // cached prefixes, oldest first
	leavingByReport    bool     // the latest report says that the upstream is shutting down
	// leavingByAnswer says that an answer announced the shutdown, leavingAt is the
	// time of the latest such answer, and pausedUntil is the end of the pause that the
	// upstream asked for.
	leavingByAnswer        bool
	leavingAt, pausedUntil Time
	limit                  int // usable slots as of the last refresh
}

// newBackend returns a backend that was first seen now.
func newBackend(now Time, b Backend) *backend {
	return &backend{Backend: b, availableSince: now, timePerToken: defaultTimePerToken}
}

// recordHeld records the maximum number of leases in each second. A report that
// arrives late is compared with the leases held when it was taken.
func (b *backend) recordHeld(now Time) {
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

// heldAround returns the maximum number of leases between age ago, with one second
// of tolerance, and now.
func (b *backend) heldAround(now Time, age time.Duration) int {
	most, seconds := b.held, int64(age/time.Second)+2
	for i := range min(seconds, historyLength) {
		most = max(most, b.history[((int64(now/time.Second)-i)%historyLength+historyLength)%historyLength])
	}
	return most
}

// applyReport updates the state of a backend from its report.
func (p *Pool) applyReport(now Time, b *backend, r Report) {
	b.recordHeld(now)
	b.report, b.reportAt, b.reported = r, now-r.Age, true
	defer p.updateFreeSlots(b)
	b.foreignLoad = max(0, r.Running+r.Waiting-b.heldAround(now, r.Age))
	b.grantedSinceReport = 0
	p.updateLeaving(b, r)
	if r.Gap {
		// Cache events were lost, so the recorded prefixes may be wrong. Later events
		// rebuild the record.
		p.clearPrefixes(b)
	}
	for _, prefix := range r.Evicted {
		p.removePrefix(b, prefix)
	}
	for _, prefix := range r.Prefixes {
		p.addPrefix(b, prefix)
	}
}

// addPrefix records that b has a prefix in its cache. Above maxPrefixes the oldest
// record is removed.
func (p *Pool) addPrefix(b *backend, prefix uint64) {
	holders := p.prefixHolders[prefix]
	if prefix == 0 || slices.Contains(holders, b) {
		return
	}
	if len(b.prefixOrder) >= maxPrefixes {
		p.removePrefix(b, b.prefixOrder[0])
	}
	p.prefixHolders[prefix] = append(holders, b)
	b.prefixOrder = append(b.prefixOrder, prefix)
}

// removePrefix deletes the record that b has a prefix in its cache.
func (p *Pool) removePrefix(b *backend, prefix uint64) {
	holders := p.prefixHolders[prefix]
	i := slices.Index(holders, b)
	if i < 0 {
		return
	}
	if len(holders) == 1 {
		delete(p.prefixHolders, prefix)
	} else {
		p.prefixHolders[prefix] = slices.Delete(holders, i, i+1)
	}
	if j := slices.Index(b.prefixOrder, prefix); j >= 0 {
		b.prefixOrder = slices.Delete(b.prefixOrder, j, j+1)
	}
}

// clearPrefixes deletes all prefix records of b.
func (p *Pool) clearPrefixes(b *backend) {
	for len(b.prefixOrder) > 0 {
		p.removePrefix(b, b.prefixOrder[len(b.prefixOrder)-1])
	}
}

// sample adds a measurement of the time per token, in seconds.
func (b *backend) sample(timePerToken float64) {
	if !b.measured {
		b.timePerToken, b.measured = timePerToken, true
		return
	}
	b.timePerToken += timePerTokenSampleWeight * (timePerToken - b.timePerToken)
}

// failed records a failure. From breakerThreshold consecutive failures on the circuit
// breaker opens, for twice as long each time.
func (b *backend) failed(now Time) {
	b.failures++
	if b.failures < breakerThreshold {
		return
	}
	b.breakDuration = min(max(minBreak, 2*b.breakDuration), maxBreak)
	b.brokenUntil = now + b.breakDuration
	b.availableSince = b.brokenUntil
}

// succeeded closes the circuit breaker.
func (b *backend) succeeded() {
	b.failures, b.breakDuration = 0, 0
}

// wrongModel reports whether the upstream is loading a model or has loaded a
// different one than its row requires.
func (b *backend) wrongModel() bool {
	return b.Model != "" && b.reported && (b.report.Loading || b.report.Loaded != "" && b.report.Loaded != b.Model)
}

// usableSlots returns how many slots may be in use now, given the pool's median time
// per token.
func (b *backend) usableSlots(now Time, median float64) int {
	if b.Leaving || b.isLeaving() || now < b.brokenUntil || now < b.pausedUntil || b.wrongModel() {
		return 0
	}
	slots := float64(b.Slots)
	if b.failures >= breakerThreshold {
		slots = 1 // one request probes whether the upstream has recovered
	}
	if b.measured && b.timePerToken > slowThreshold*median {
		slots = max(1, slots*median/b.timePerToken)
	}
	if age := now - b.availableSince; age < warmUpTime && b.rampsUp() {
		slots = max(1, slots*float64(age)/float64(warmUpTime))
	}
	return int(slots)
}

// freeSlots returns how many more slots may be granted. While a new owner does not
// know all leases, the upstream's own report limits the number as well.
func (b *backend) freeSlots(now Time, learning bool) int {
	n := b.limit - b.held - b.foreignLoad
	if !learning {
		return n
	}
	if !b.reported || now-b.reportAt > maxReportAge {
		return 0
	}
	return min(n, b.Slots-b.report.Running-b.report.Waiting-b.grantedSinceReport)
}

// updateFreeSlots updates the entry of a backend in Pool.freeSlots.
func (p *Pool) updateFreeSlots(b *backend) {
	if b.index < len(p.freeSlots) && p.backends[b.index] == b {
		p.freeSlots[b.index] = b.limit - b.held - b.foreignLoad
	}
}

// score rates an upstream that has free slots. The lowest score is the best.
func (p *Pool) score(b *backend, free int) float64 {
	score := 1 - float64(free)/float64(b.Slots)
	if b.measured {
		score += 0.5 * (b.timePerToken/p.median - 1)
	}
	return score
}

// chooseBackend returns the best upstream with a free slot for the bid, or nil.
func (p *Pool) chooseBackend(now Time, bid *Bid) *backend {
	learning := p.learning(now)
	if bid.Resume != "" {
		if b := p.byName[bid.Resume]; b != nil && b.freeSlots(now, learning) > 0 {
			return b
		}
	}
	var best *backend
	least := 0.0
	for i, free := range p.freeSlots {
		if free <= 0 {
			continue // under load most upstreams are full, so this check comes first
		}
		b := p.backends[i]
		if learning {
			if free = b.freeSlots(now, true); free <= 0 {
				continue
			}
		}
		if score := p.score(b, free); best == nil || score < least {
			best, least = b, score
		}
	}
	for _, b := range p.prefixHolders[bid.Prefix] {
		free := b.freeSlots(now, learning)
		if free <= 0 {
			continue
		}
		if score := p.score(b, free) - prefixBonus; score < least {
			best, least = b, score
		}
	}
	return best
}

// refresh recomputes the limits, slots and rates that placement depends on.
func (p *Pool) refresh(now Time) {
	p.refreshed = now
	p.updateMedian()
	p.slots, p.rate = 0, 0
	for _, b := range p.backends {
		b.recordHeld(now)
		b.limit = b.usableSlots(now, p.median)
		n := max(0, b.limit-b.foreignLoad)
		p.slots += n
		p.rate += float64(n) / b.timePerToken
		p.updateFreeSlots(b)
	}
	p.rate = max(p.rate, 1)
}

// updateMedian recomputes the median time per token of the measured upstreams.
func (p *Pool) updateMedian() {
	p.timesPerToken = p.timesPerToken[:0]
	for _, b := range p.backends {
		if b.measured {
			p.timesPerToken = append(p.timesPerToken, b.timePerToken)
		}
	}
	if len(p.timesPerToken) == 0 {
		p.median = defaultTimePerToken
		return
	}
	slices.Sort(p.timesPerToken)
	p.median = p.timesPerToken[(len(p.timesPerToken)-1)/2]
}
