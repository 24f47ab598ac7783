package balance

// This file defines the reports between boxes about what makes upstreams crash. The invariant:
// boxes converge to the same crashes and rounds, whatever the order and number of reports.

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Suspect is a subject under which upstreams have crashed, as sent between boxes.
type Suspect struct {
	Content uint64        // hash of the content, or ID of the part
	Service uint32        // hash of the part's service; 0: the subject is a content
	Ended   []uint32      // sorted incarnation keys; empty: answered since
	Spans   []Span        // of the runs that were cut off, parallel to Ended; nil: not stated
	Round   uint32        // number of times that crashes were withdrawn; the greater round wins
	Age     time.Duration // since the last crash
	// For a part, the largest number of these crashes in succession that a box has established.
	InSuccession int
	SoundAge     time.Duration // since a run with the part was answered; 0: not known
}

// Span says when a run was sent and when it was cut off.
type Span struct {
	BeganAge, EndedAge time.Duration
}

// Subject returns the subject of the report.
func (t Suspect) Subject() Subject { return Subject{t.Content, t.Service} }

// Aged returns the report as it is some time later.
func (t Suspect) Aged(by time.Duration) Suspect {
	t.Age += by
	if t.SoundAge > 0 {
		t.SoundAge += by
	}
	t.Spans = slices.Clone(t.Spans)
	for i := range t.Spans {
		t.Spans[i].BeganAge += by
		t.Spans[i].EndedAge += by
	}
	return t
}

// span returns when the run at index i was sent and cut off, by the receiver's clock.
func (t Suspect) span(now time.Duration, i int) (began, ended time.Duration) {
	if i < len(t.Spans) {
		return now - t.Spans[i].BeganAge, now - t.Spans[i].EndedAge
	}
	return now - t.Age, now - t.Age
}

// queueReport queues a report of a subject to other boxes.
func (s *Suspects) queueReport(j Subject) {
	if s.pending == nil {
		s.pending = make(map[Subject]struct{})
	}
	s.pending[j] = struct{}{}
}

// TakeNews returns the queued reports sorted by subject, and clears the queue.
func (s *Suspects) TakeNews(now time.Duration) []Suspect {
	var list []Suspect
	for _, j := range slices.SortedFunc(maps.Keys(s.pending), compareSubjects) {
		if x := s.subjects[j]; x != nil {
			list = append(list, x.report(now, j))
		}
	}
	clear(s.pending)
	return list
}

func (x *suspect) report(now time.Duration, j Subject) Suspect {
	t := Suspect{Content: j.Hash, Service: j.Service, Round: x.round, Age: now - x.at}
	for _, c := range x.crashes {
		t.Ended = append(t.Ended, c.incarnation)
		if j.IsPart() {
			t.Spans = append(t.Spans, Span{now - c.began, now - c.ended})
		}
	}
	if j.IsPart() {
		t.InSuccession = max(x.inSuccession, succession(x.crashes, x.wasSound))
	}
	if j.IsPart() && x.wasSound {
		t.SoundAge = max(now-x.soundAt, 1)
	}
	return t
}

// Established returns the reports of all subjects under which enough upstreams have crashed that
// boxes must agree on them, sorted by subject.
func (s *Suspects) Established(now time.Duration) []Suspect {
	var list []Suspect
	for j, x := range s.subjects {
		if x.isEstablished(now, j) {
			list = append(list, x.report(now, j))
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int { return compareSubjects(a.Subject(), b.Subject()) })
	return list
}

// isEstablished reports whether the crashes are enough for a verdict that is not over, if no other
// subject explains them.
func (x *suspect) isEstablished(now time.Duration, j Subject) bool {
	threshold := withholdThreshold
	if j.IsPart() {
		threshold = partSuccession
	}
	return len(x.crashes) >= threshold && x.at+candidate{subject: j, entry: x, unexplained: x.crashes}.hold() > now
}

// Merge merges the reports of another box. If this box knows more about a subject, it reports that
// in turn.
func (s *Suspects) Merge(now time.Duration, reports []Suspect) {
	for _, t := range reports {
		if t.Age < suspectRetention {
			s.merge(now, t)
		}
	}
}

// merge merges one report: the greater round wins, and within a round the sets of crashed
// incarnations are united.
func (s *Suspects) merge(now time.Duration, t Suspect) {
	j := t.Subject()
	x := s.subjects[j]
	switch {
	case x == nil && len(t.Ended) == 0:
		return
	case x != nil && t.Round < x.round:
		s.queueReport(j)
		return
	case x == nil || t.Round > x.round:
		x = s.ensure(now, j)
		*x = suspect{round: t.Round, at: now - t.Age, wasSound: x.wasSound, soundAt: x.soundAt}
		s.noteChange(j)
	}
	for i, incarnation := range t.Ended {
		began, ended := t.span(now, i)
		isNew := x.add(crash{incarnation, began, ended, true})
		if isNew {
			s.noteChange(j)
			recordEnd(&s.reported, incarnation, now)
		}
		if isNew || x.full() {
			x.at = max(x.at, now-t.Age)
			s.verdicts.invalidate()
		}
	}
	if t.InSuccession > max(x.inSuccession, succession(x.crashes, x.wasSound)) {
		x.inSuccession = t.InSuccession
		s.noteChange(j)
	}
	if at := now - t.SoundAge; t.SoundAge > 0 && x.mayUpdateSoundness(at) {
		x.wasSound, x.soundAt = true, at
		s.noteChange(j)
	}
	s.reportSoundness(now, j, x)
}

// SuspectsDigest returns a digest that is equal for equal subjects, incarnations and rounds, and 0 for
// none.
func SuspectsDigest(list []Suspect) uint64 {
	var sum uint64
	for _, x := range list {
		b := binary.LittleEndian.AppendUint64(nil, x.Content)
		b = binary.LittleEndian.AppendUint32(b, x.Round)
		for _, incarnation := range x.Ended {
			b = binary.LittleEndian.AppendUint32(b, incarnation)
		}
		if x.Service != 0 {
			b = binary.LittleEndian.AppendUint32(b, x.Service)
		}
		sum += xxhash.Sum64(b) // independent of the order
	}
	return sum
}
