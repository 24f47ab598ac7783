package balance

// This file decides at which upstreams a stream may go on, by the version of their software, and
// tracks which versions of a service may have open streams. What two versions write does not fit
// together, and upstreams do not check it. The invariant: a stream that has events goes on only at
// an upstream whose entry states the version that began it; a version that is not known is not
// guessed.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Origin describes where a stream began. The zero value belongs to a request without events.
type Origin struct {
	Began    bool   // the caller has events of the stream
	Known    bool   // the version that began it is known
	Software string // that version
}

// defaultStreamSpan is the longest time that a stream is assumed to last where the document names
// no timeout.
const defaultStreamSpan = time.Minute

// stillListed is the end of a version in softwareHistory that was unlisted since the last reading.
const stillListed = time.Duration(math.MaxInt64)

// softwareHistory holds the software versions of a service's upstreams: those listed, and those
// that were listed within the time that a stream may last.
type softwareHistory struct {
	vouched bool                     // another box has known the list for as long as a stream may last
	listed  map[string]int           // number of upstreams by version
	endsAt  map[string]time.Duration // by version without upstreams: when the last one was unlisted
}

// add counts a listed upstream, and reports whether its version is the second one that may have
// open streams.
func (h *softwareHistory) add(software string) (isSecond bool) {
	if h.listed == nil {
		h.listed, h.endsAt = make(map[string]int), make(map[string]time.Duration)
	}
	before := len(h.listed) + len(h.endsAt)
	h.listed[software]++
	delete(h.endsAt, software)
	return before == 1 && len(h.listed)+len(h.endsAt) > 1
}

// drop undoes add.
func (h *softwareHistory) drop(software string) {
	if h.listed[software]--; h.listed[software] <= 0 {
		delete(h.listed, software)
		h.endsAt[software] = stillListed
	}
}

// recent returns the versions that may have open streams, sorted.
func (h *softwareHistory) recent(now, span time.Duration) []string {
	versions := slices.Collect(maps.Keys(h.listed))
	for software, end := range h.endsAt {
		switch {
		case end == stillListed:
			h.endsAt[software] = now
		case now-end > span:
			delete(h.endsAt, software)
			continue
		}
		versions = append(versions, software)
	}
	slices.Sort(versions)
	return versions
}

// SetStreamSpan sets the longest time that a stream may last; 0 means the default.
func (f *Fleet) SetStreamSpan(span time.Duration) {
	f.streamSpan = span
	if span == 0 {
		f.streamSpan = defaultStreamSpan
	}
}

// StreamSpan returns the longest time that a stream may last.
func (f *Fleet) StreamSpan() time.Duration { return f.streamSpan }

// RecentSoftware returns the sorted software versions of a service that may have open streams, as
// far as this box has seen them listed.
func (f *Fleet) RecentSoftware(now time.Duration, service string) []string {
	return f.serviceOf(service).software.recent(now, f.streamSpan)
}

// SoleSoftware returns the only software version of a service that any open stream can have begun
// at, or false if there are several, or this box has not known the list for as long as a stream may
// last.
func (f *Fleet) SoleSoftware(now time.Duration, service string) (string, bool) {
	versions := f.RecentSoftware(now, service)
	if len(versions) != 1 || !f.knowsHistory(now, service) {
		return "", false
	}
	return versions[0], true
}

// knowsHistory reports whether this box knows every version of a service that may have open streams.
func (f *Fleet) knowsHistory(now time.Duration, service string) bool {
	if f.serviceOf(service).software.vouched {
		return true
	}
	if f.historyLostAt == longAgo && f.cfg.FirstStart {
		return true
	}
	since := max(f.knownSince, f.historyLostAt)
	return since != longAgo && now-since >= f.streamSpan
}

// LoseHistory records that until a time versions may have been listed and unlisted that this box does
// not know of.
func (f *Fleet) LoseHistory(until time.Duration) {
	if until <= f.historyLostAt {
		return
	}
	f.historyLostAt = until
	for _, s := range f.services {
		s.software.vouched = false
	}
}

// Vouch records that, as another box knew when it was asked at a time, only one version of a service can
// have begun any open stream. It has no effect if this box has seen others, or has missed versions since.
func (f *Fleet) Vouch(now, asked time.Duration, service, software string) {
	if asked < f.historyLostAt {
		return
	}
	if versions := f.RecentSoftware(now, service); len(versions) == 1 && versions[0] == software {
		f.serviceOf(service).software.vouched = true
	}
}

// ServicesToVouch returns the services of which this box has seen one version, and does not know
// whether there were others.
func (f *Fleet) ServicesToVouch(now time.Duration) []string {
	var names []string
	for name := range f.byService {
		if len(f.RecentSoftware(now, name)) == 1 && !f.knowsHistory(now, name) {
			names = append(names, name)
		}
	}
	return names
}

// noteSoftware counts the version of an upstream that is listed now.
func (f *Fleet) noteSoftware(s *service, software string) {
	if s.software.add(software) {
		f.secondSoftware = append(f.secondSoftware, s.name)
	}
}

// TakeSecondSoftware returns the services of which a second software version has come up since the
// last call.
func (f *Fleet) TakeSecondSoftware() []string {
	services := f.secondSoftware
	f.secondSoftware = nil
	return services
}

// ListsSoftware reports whether an upstream of a service with a software version is listed.
func (f *Fleet) ListsSoftware(service, software string) bool {
	return f.serviceOf(service).software.listed[software] > 0
}

// MayContinueAt reports whether a request may go on at a listed upstream.
func (f *Fleet) MayContinueAt(id string, r Request) bool {
	m := f.byID[id]
	return m != nil && f.mayContinueAt(m, r)
}

func (f *Fleet) mayContinueAt(m *member, r Request) bool {
	switch {
	case !r.Origin.Began:
		return true
	case !r.Origin.Known || m.Software != r.Origin.Software:
		return false
	}
	return m.Software != "" || !m.service.statesSoftware()
}

// statesSoftware reports whether any upstream of a service states its software version. If one
// does, two upstreams that state none need not be alike.
func (s *service) statesSoftware() bool {
	for software := range s.software.listed {
		if software != "" {
			return true
		}
	}
	for software := range s.software.endsAt {
		if software != "" {
			return true
		}
	}
	return false
}

// mayFetch reports whether an upstream may fetch prompt parts from another one: only from one of
// its own software version.
func mayFetch(to, from *member) bool { return to == nil || to.Software == from.Software }
