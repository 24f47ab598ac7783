package balance

// This file defines the reports between boxes about requests that make upstreams crash. The
// invariant: boxes converge to the same state, whatever the order and number of reports.

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Suspect is a content under which upstreams have crashed, as sent between boxes.
type Suspect struct {
	Content uint64
	Ended   []uint32      // sorted incarnation keys; empty: answered since
	Round   uint32        // number of times that crashes were withdrawn; the greater round wins
	Age     time.Duration // since the last crash
}

// Aged returns the report as it is some time later.
func (t Suspect) Aged(by time.Duration) Suspect {
	t.Age += by
	return t
}

// queueReport queues a report of a content to other boxes.
func (s *Suspects) queueReport(content uint64) {
	if s.pending == nil {
		s.pending = make(map[uint64]struct{})
	}
	s.pending[content] = struct{}{}
}

// TakeNews returns the queued reports sorted by content, and clears the queue.
func (s *Suspects) TakeNews(now time.Duration) []Suspect {
	var list []Suspect
	for _, content := range slices.Sorted(maps.Keys(s.pending)) {
		if x := s.contents[content]; x != nil {
			list = append(list, x.report(now, content))
		}
	}
	clear(s.pending)
	return list
}

func (x *suspect) report(now time.Duration, content uint64) Suspect {
	return Suspect{Content: content, Ended: slices.Clone(x.crashed), Round: x.round, Age: now - x.at}
}

// Withheld returns the contents that are withheld, sorted by content.
func (s *Suspects) Withheld(now time.Duration) []Suspect {
	var list []Suspect
	for content, x := range s.contents {
		if s.Left(now, content) > 0 {
			list = append(list, x.report(now, content))
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int { return cmp.Compare(a.Content, b.Content) })
	return list
}

// Merge merges the reports of another box, and returns the contents that become withheld. If this
// box knows more about a content, it reports that in turn.
func (s *Suspects) Merge(now time.Duration, reports []Suspect) []uint64 {
	var withheld []uint64
	for _, t := range reports {
		if t.Age >= suspectRetention {
			continue
		}
		before := s.Left(now, t.Content)
		s.merge(now, t)
		if before == 0 && s.Left(now, t.Content) > 0 {
			withheld = append(withheld, t.Content)
		}
	}
	return withheld
}

// merge merges one report: the greater round wins, and within a round the sets of crashed
// incarnations are united.
func (s *Suspects) merge(now time.Duration, t Suspect) {
	x := s.contents[t.Content]
	switch {
	case x == nil && len(t.Ended) == 0:
		return
	case x != nil && t.Round < x.round:
		s.queueReport(t.Content)
		return
	case x == nil || t.Round > x.round:
		x = s.ensure(now, t.Content)
		*x = suspect{round: t.Round, at: now - t.Age}
		s.queueReport(t.Content)
	}
	for _, incarnation := range t.Ended {
		isNew := x.add(incarnation)
		if isNew {
			s.queueReport(t.Content)
			recordEnd(&s.reported, incarnation, now)
		}
		if isNew || x.full() {
			x.at = max(x.at, now-t.Age)
		}
	}
}

// SuspectsDigest returns a digest that is equal for equal contents, incarnations and rounds, and 0 for
// none.
func SuspectsDigest(list []Suspect) uint64 {
	var sum uint64
	for _, x := range list {
		b := binary.LittleEndian.AppendUint64(nil, x.Content)
		b = binary.LittleEndian.AppendUint32(b, x.Round)
		for _, incarnation := range x.Ended {
			b = binary.LittleEndian.AppendUint32(b, incarnation)
		}
		sum += xxhash.Sum64(b) // independent of the order
	}
	return sum
}
