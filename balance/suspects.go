package balance

// This file identifies requests that make upstreams crash. Such a request may crash each upstream
// that begins to run it, and be retried under another id at any box, so it is identified by its
// content. The invariants: a content during which withholdThreshold upstreams have crashed is
// withheld, whichever boxes observed it; a content that was answered in full since is not; and an
// upstream that answers has not crashed, so the runs that were cut off there before count against
// no content.
//
// Without this, 46 upstreams crashed under one request, each time with the loss of everything
// else that they ran.

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// withholdThreshold is the number of upstreams that crash under a content before it is
	// withheld. A single crash may coincide with any request; two in a row with the same content
	// are rarely a coincidence.
	withholdThreshold = 2
	// withholdBase is how long a content is withheld after the first withholdThreshold crashes;
	// it doubles with each further one. After that the content may run again, and crashes one
	// more upstream at worst: the crashes may have had another cause, or the fault may have been
	// fixed.
	withholdBase = 5 * time.Minute
	// maxWithhold bounds that time, and suspectRetention is how long a content is remembered
	// since an upstream last crashed under it.
	maxWithhold      = time.Hour
	suspectRetention = 2 * maxWithhold
	// maxSuspects bounds the contents that are remembered; with eight incarnations each, they
	// take about 400 KB.
	maxSuspects = 1 << 11
	// incarnationsPerContent bounds the incarnations that are remembered per content.
	incarnationsPerContent = 8
	// lostRunWindow is how long after a run was cut off its upstream may be found to have
	// crashed, and maxLostRuns bounds the runs for which this is open.
	lostRunWindow = 10 * time.Second
	maxLostRuns   = 1 << 12
	// crashRetention is how long a crash is remembered: further cut-off runs may be reported
	// later than the first.
	crashRetention = time.Minute
)

// suspect is what is known about a content.
type suspect struct {
	crashed []uint32 // sorted incarnation keys
	round   uint32
	at      time.Duration // time of the last crash, or when the content was answered
}

// lostRun is a run that was cut off at an upstream which may have crashed.
type lostRun struct {
	content     uint64
	incarnation uint32
	at          time.Duration
}

// Suspects holds the contents under which upstreams have crashed, as one box knows them. The zero
// value is empty. It is not safe for concurrent use.
type Suspects struct {
	contents map[uint64]*suspect
	lostRuns []lostRun
	crashed  map[uint32]time.Duration // crashed incarnations, and when this box found out
	reported map[uint32]time.Duration // crashed incarnations reported by other boxes, and when
	pending  map[uint64]struct{}      // contents to report to other boxes
}

// Any reports whether anything is recorded; if not, callers need not compute the hash of a
// request's content.
func (s *Suspects) Any() bool { return len(s.contents) > 0 || len(s.lostRuns) > 0 }

// Forget drops expired entries.
func (s *Suspects) Forget(now time.Duration) {
	s.lostRuns = slices.DeleteFunc(s.lostRuns, func(c lostRun) bool { return now-c.at >= lostRunWindow })
	maps.DeleteFunc(s.crashed, func(_ uint32, at time.Duration) bool { return now-at >= crashRetention })
	maps.DeleteFunc(s.reported, func(_ uint32, at time.Duration) bool { return now-at >= suspectRetention })
	maps.DeleteFunc(s.contents, func(_ uint64, x *suspect) bool { return now-x.at >= suspectRetention })
}

// NoteConnectionLost records that an upstream closed or reset the connection during a run of a
// content. It reports whether the content becomes withheld, which happens if the upstream is
// already known to have crashed.
func (s *Suspects) NoteConnectionLost(now time.Duration, content uint64, l Incarnation) (withheld bool) {
	incarnation := l.Key()
	if at, isOver := s.crashed[incarnation]; isOver && now-at < crashRetention {
		return s.addCrash(now, content, incarnation)
	}
	if len(s.lostRuns) >= maxLostRuns && now-s.lostRuns[0].at >= lostRunWindow {
		s.Forget(now)
	}
	if len(s.lostRuns) < maxLostRuns {
		s.lostRuns = append(s.lostRuns, lostRun{content, incarnation, now})
	}
	return false
}

// Ended records that an upstream has ended without planning or announcing it. It returns the
// contents whose runs were cut off there and that become withheld, and whether the end was not
// known before.
func (s *Suspects) Ended(now time.Duration, l Incarnation) (withheld []uint64, isNew bool) {
	incarnation := l.Key()
	at, isOver := s.crashed[incarnation]
	isNew = !isOver || now-at >= crashRetention
	recordEnd(&s.crashed, incarnation, now)
	for _, c := range s.lostRuns {
		if c.incarnation == incarnation && now-c.at < lostRunWindow && s.addCrash(now, c.content, incarnation) {
			withheld = append(withheld, c.content)
		}
	}
	s.lostRuns = slices.DeleteFunc(s.lostRuns, func(c lostRun) bool { return c.incarnation == incarnation })
	return withheld, isNew
}

// recordEnd records in ends when an upstream incarnation was found, or reported, to have crashed.
func recordEnd(ends *map[uint32]time.Duration, incarnation uint32, now time.Duration) {
	if *ends == nil {
		*ends = make(map[uint32]time.Duration)
	}
	(*ends)[incarnation] = now
}

// addCrash counts the crash of an upstream against a content, and reports whether the content
// becomes withheld.
func (s *Suspects) addCrash(now time.Duration, content uint64, incarnation uint32) bool {
	before := s.Left(now, content)
	x := s.ensure(now, content)
	if !x.add(incarnation) && !x.full() {
		return false // already known
	}
	x.at = now
	s.queueReport(content)
	return before == 0 && s.Left(now, content) > 0
}

// ensure returns the record of a content and creates it if needed.
func (s *Suspects) ensure(now time.Duration, content uint64) *suspect {
	x := s.contents[content]
	if x == nil {
		s.makeRoom(now)
		if s.contents == nil {
			s.contents = make(map[uint64]*suspect)
		}
		x = &suspect{at: now}
		s.contents[content] = x
	}
	return x
}

// add adds an incarnation and reports whether it is new. If there are too many, those with the
// lowest keys are kept, so that boxes converge whatever the order of their reports.
func (x *suspect) add(incarnation uint32) bool {
	i, known := slices.BinarySearch(x.crashed, incarnation)
	if known || i >= incarnationsPerContent {
		return false
	}
	x.crashed = slices.Insert(x.crashed, i, incarnation)
	x.crashed = x.crashed[:min(len(x.crashed), incarnationsPerContent)]
	return true
}

// full reports whether more incarnations may have crashed than are remembered.
func (x *suspect) full() bool { return len(x.crashed) == incarnationsPerContent }

// makeRoom drops expired entries and, if that is not enough, a quarter of the contents: those
// with the fewest crashes, and of these the oldest.
func (s *Suspects) makeRoom(now time.Duration) {
	if len(s.contents) < maxSuspects {
		return
	}
	s.Forget(now)
	if len(s.contents) < maxSuspects {
		return
	}
	list := slices.SortedFunc(maps.Keys(s.contents), func(a, b uint64) int {
		x, y := s.contents[a], s.contents[b]
		return cmp.Or(cmp.Compare(len(x.crashed), len(y.crashed)), cmp.Compare(x.at, y.at), cmp.Compare(a, b))
	})
	for _, content := range list[:maxSuspects/4] { // a batch, since thousands of contents arrive when a whole domain ends
		delete(s.contents, content)
	}
}

// Answered records that a content was answered in full, so that it does not crash upstreams.
func (s *Suspects) Answered(now time.Duration, content uint64) {
	s.lostRuns = slices.DeleteFunc(s.lostRuns, func(c lostRun) bool { return c.content == content })
	if x := s.contents[content]; x != nil && len(x.crashed) > 0 {
		x.crashed, x.at = nil, now
		x.round++
		s.queueReport(content)
	}
}

// Alive records that an upstream has answered a run that began at the given time. If it was
// thought to have crashed before that, it had not.
func (s *Suspects) Alive(l Incarnation, began time.Duration) {
	incarnation := l.Key()
	s.lostRuns = slices.DeleteFunc(s.lostRuns, func(c lostRun) bool { return c.incarnation == incarnation && c.at < began })
	if !s.crashedBefore(incarnation, began) {
		return
	}
	delete(s.crashed, incarnation)
	delete(s.reported, incarnation)
	for content, x := range s.contents {
		if i, held := slices.BinarySearch(x.crashed, incarnation); held {
			x.crashed = slices.Delete(x.crashed, i, i+1)
			x.round++
			s.queueReport(content)
		}
	}
}

// crashedBefore reports whether an upstream was found or reported to have crashed, only at times
// before the given one.
func (s *Suspects) crashedBefore(incarnation uint32, moment time.Duration) bool {
	found, isFound := s.crashed[incarnation]
	reported, isReported := s.reported[incarnation]
	return (isFound || isReported) && (!isFound || found < moment) && (!isReported || reported < moment)
}

// Suspected reports whether an upstream has crashed under a content.
func (s *Suspects) Suspected(content uint64) bool {
	x := s.contents[content]
	return x != nil && len(x.crashed) > 0
}

// Left returns how much longer a content is withheld; 0: it may run.
func (s *Suspects) Left(now time.Duration, content uint64) time.Duration {
	if x := s.contents[content]; x != nil {
		return max(0, x.at+x.withheldFor()-now)
	}
	return 0
}

// withheldFor returns how long a content is withheld after the last crash.
func (x *suspect) withheldFor() time.Duration {
	extra := len(x.crashed) - withholdThreshold
	if extra < 0 {
		return 0
	}
	return min(withholdBase<<extra, maxWithhold)
}

// Count returns the number of upstreams known to have crashed under a content, at most
// incarnationsPerContent.
func (s *Suspects) Count(content uint64) int {
	if x := s.contents[content]; x != nil {
		return len(x.crashed)
	}
	return 0
}
