package balance

// This file estimates the round-trip time to each failure domain from the time that connections
// take to be established. Invariant: no single sample decides, since connecting to an overloaded
// upstream takes longer than a round trip, and never less.

import "time"

const (
	// minRTTSamples is the number of samples from which on the estimate is used alone. With
	// fewer, a default applies if it is shorter.
	minRTTSamples = 3
	// rttSpan is the window of the minimum filter. The minimum of the previous window counts too,
	// so that a longer round-trip time takes effect after two windows.
	rttSpan = 30 * time.Second
	// Defaults while there are fewer than minRTTSamples: between failure domains of a region, and
	// between regions of a continent.
	defaultDomainRTT = 2 * time.Millisecond
	defaultRegionRTT = 20 * time.Millisecond
)

// rttEstimate is the round-trip time to a failure domain, estimated from connection times.
type rttEstimate struct {
	currentMin  time.Duration // minimum of the current window
	previousMin time.Duration // minimum of the previous window
	spanStart   time.Duration // start of the current window
	samples     int           // number of samples, at most minRTTSamples
}

// note adds the time that a connection took to be established.
func (w *rttEstimate) note(now, took time.Duration) {
	switch {
	case w.samples == 0:
		*w = rttEstimate{currentMin: took, previousMin: took, spanStart: now}
	case now-w.spanStart >= rttSpan:
		w.previousMin, w.currentMin, w.spanStart = w.currentMin, took, now
	default:
		w.currentMin = min(w.currentMin, took)
	}
	w.samples = min(w.samples+1, minRTTSamples)
}

// value returns the minimum over the current and the previous window.
func (w *rttEstimate) value() time.Duration { return min(w.currentMin, w.previousMin) }

// NoteRTT records how long a connection to an upstream of a failure domain took to be
// established.
func (f *Fleet) NoteRTT(now time.Duration, domain string, took time.Duration) {
	if took <= 0 {
		return
	}
	w := f.rtts[domain]
	if w == nil {
		w = new(rttEstimate)
		f.rtts[domain] = w
	}
	w.note(now, took)
}

// RTT returns the estimated round-trip time to a failure domain.
func (f *Fleet) RTT(domain string) time.Duration {
	fallback := f.defaultRTT(domain)
	w := f.rtts[domain]
	switch {
	case w == nil:
		return fallback
	case w.samples < minRTTSamples:
		return min(fallback, w.value())
	}
	return w.value()
}

// defaultRTT returns the round-trip time to expect from the deployment's layout.
func (f *Fleet) defaultRTT(domain string) time.Duration {
	switch f.proximityOf(f.cfg.Domain, domain) {
	case otherRegion:
		return defaultRegionRTT
	case otherDomain:
		return defaultDomainRTT
	}
	return 0
}

// proximity classifies how far apart two failure domains are in the deployment's layout; smaller
// values are closer.
type proximity uint8

const (
	sameDomain proximity = iota
	otherDomain
	otherRegion
)

// proximityOf returns the proximity of two failure domains. If no regions are configured, all
// domains belong to one region.
func (f *Fleet) proximityOf(a, b string) proximity {
	switch {
	case a == b:
		return sameDomain
	case f.cfg.Regions[a] == f.cfg.Regions[b]:
		return otherDomain
	}
	return otherRegion
}

// networkCost returns the cost of sending a request to a failure domain, in prompt tokens: the
// tokens that could be read during the round trip, plus the configured cost of its bytes on the
// link.
func (f *Fleet) networkCost(domain string, r Request) int {
	if f.cfg.Off[Distance] {
		return 0
	}
	inTransit := float64(f.RTT(domain)) / float64(time.Millisecond) * f.prefillRate
	return int(inTransit + float64(r.Bytes)/kilobyte*f.tokensPerKB(domain))
}

// kilobyte is the number of bytes in a kilobyte.
const kilobyte = 1000

// tokensPerKB returns the cost of sending a kilobyte to a failure domain, in prompt tokens.
func (f *Fleet) tokensPerKB(domain string) float64 {
	switch f.proximityOf(f.cfg.Domain, domain) {
	case otherRegion:
		return f.cfg.Tuning.RegionKB
	case otherDomain:
		return f.cfg.Tuning.DomainKB
	}
	return 0
}

// distancePenalty returns the number of open requests per slot that is added to an upstream of a
// failure domain, for services without prompts: as many as would run there during the extra
// round-trip time, and at least Tuning.Away if the domain is not this box's own. runTime is how long
// a request runs.
func (f *Fleet) distancePenalty(domain string, runTime time.Duration) float64 {
	penalty := 0.0
	if domain != f.cfg.Domain {
		penalty = f.cfg.Tuning.RemoteLoad
	}
	if f.cfg.Off[Distance] || runTime <= 0 {
		return penalty
	}
	extra := f.RTT(domain) - f.RTT(f.cfg.Domain)
	return max(penalty, min(float64(extra)/float64(runTime), maxDistancePenalty))
}

// maxDistancePenalty bounds the penalty, in requests per slot: upstreams queue a few requests and
// refuse more, while distant ones are idle. Without it, 74 requests of 5 ms waited at six slots
// before one was sent 60 ms away.
const maxDistancePenalty = 4
