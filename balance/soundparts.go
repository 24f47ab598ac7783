package balance

// This file defines the memory of which parts were answered lately. Most runs that a crash cuts
// off share popular parts, so of two parts that may have caused it, the one without answers is
// the likelier cause. The invariant: it is bounded, and holds no part without an answer.

import (
	"maps"
	"time"
)

const (
	// soundRetention is how long an answer speaks for the parts of its prompt. A part may become
	// fatal with other software, and is suspected like any other after that.
	soundRetention = 5 * time.Minute
	// maxSoundParts bounds the parts that are remembered, and soundReportInterval is the time
	// after which other boxes are told again of answers with a suspected part.
	maxSoundParts       = 1 << 12
	soundReportInterval = 30 * time.Second
)

// soundParts records when parts were last answered. The zero value is empty.
type soundParts struct {
	answeredAt map[Subject]time.Duration
}

// note records the parts of a run that was answered.
func (p *soundParts) note(now time.Duration, subjects []Subject) {
	for _, j := range subjects {
		if !j.IsPart() {
			continue
		}
		if p.answeredAt == nil {
			p.answeredAt = make(map[Subject]time.Duration)
		}
		if _, known := p.answeredAt[j]; !known && len(p.answeredAt) >= maxSoundParts {
			p.makeRoom(now)
		}
		p.answeredAt[j] = now
	}
}

// makeRoom drops expired parts, or else the older half of the retention, or else a quarter at
// random.
func (p *soundParts) makeRoom(now time.Duration) {
	for age := soundRetention; age > soundRetention/8 && len(p.answeredAt) > maxSoundParts*3/4; age /= 2 {
		maps.DeleteFunc(p.answeredAt, func(_ Subject, at time.Duration) bool { return now-at >= age })
	}
	for j := range p.answeredAt {
		if len(p.answeredAt) <= maxSoundParts*3/4 {
			return
		}
		delete(p.answeredAt, j)
	}
}

// isKnownSound reports whether a run of a suspected part was answered lately at any box.
func (s *Suspects) isKnownSound(now time.Duration, j Subject, x *suspect) bool {
	at, known := s.sound.answeredAt[j]
	return known && now-at < soundRetention || x.wasSound && now-x.soundAt < soundRetention
}

// KnownSound reports whether runs with all of some parts were answered lately at this box.
func (s *Suspects) KnownSound(now time.Duration, parts ...Subject) bool {
	for _, j := range parts {
		if at, known := s.sound.answeredAt[j]; !known || now-at >= soundRetention {
			return false
		}
	}
	return true
}

// reportSoundness tells other boxes that this box has seen answers with a suspected part, unless
// they were told lately.
func (s *Suspects) reportSoundness(now time.Duration, j Subject, x *suspect) {
	at, known := s.sound.answeredAt[j]
	if known && now-at < soundRetention && x.mayUpdateSoundness(at) {
		x.wasSound, x.soundAt = true, at
		s.queueReport(j)
	}
}

// mayUpdateSoundness reports whether an answer at some time is news to other boxes.
func (x *suspect) mayUpdateSoundness(at time.Duration) bool {
	return !x.wasSound || at-x.soundAt >= soundReportInterval
}
