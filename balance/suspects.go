package balance

// This file defines the evidence of what makes upstreams crash. A request may crash each upstream
// that begins to run it and be retried under another id at any box, or requests that differ in
// all else may share the part of the prompt that does. So a crash is recorded for each subject of
// the runs that it cut off: their contents, and the parts of their prompts. The invariants: the
// crashes recorded for a subject are those since a run with it was last answered in full,
// whichever boxes observed them; and an upstream that answers has not crashed, so the runs that
// were cut off there before count against nothing. verdict.go decides what is withheld.

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectRetention is how long a subject is remembered since an upstream last crashed under it.
	suspectRetention = 2 * maxWithhold
	// maxSuspects bounds the subjects that are remembered; with all their incarnations, they take
	// about 800 KB.
	maxSuspects = 1 << 11
	// incarnationsPerSubject bounds the incarnations that are remembered per subject.
	incarnationsPerSubject = 16
	// lostRunWindow is how long after a run was cut off its upstream may be found to have
	// crashed, and maxLostRuns bounds the runs for which this is open.
	lostRunWindow = 10 * time.Second
	maxLostRuns   = 1 << 12
	// crashRetention is how long a crash is remembered: further cut-off runs may be reported
	// later than the first.
	crashRetention = time.Minute
)

// crash is a crash of an upstream that cut off a run of a subject.
type crash struct {
	incarnation  uint32
	began, ended time.Duration // of the run
	told         bool          // another box observed it
}

// suspect is what is known about a subject.
type suspect struct {
	crashes []crash // sorted by incarnation
	round   uint32
	// The largest number of crashes in succession that a box has established.
	inSuccession int
	at           time.Duration // time of the last crash, or when the subject was answered
	wasSound     bool          // a run of it was answered at some box
	soundAt      time.Duration // about when that was last
}

// LostRun is a run that was cut off at an upstream which may have crashed.
type LostRun struct {
	Subjects    []Subject
	Incarnation Incarnation
	Began       time.Duration // when it was sent
	LooksWhole  bool          // its answer ended with the connection, and may be complete
}

type lostRun struct {
	subjects    []Subject
	incarnation uint32
	began, at   time.Duration
}

// Suspects holds the subjects under which upstreams have crashed, as one box knows them. The zero
// value is empty. It is not safe for concurrent use.
type Suspects struct {
	Box   uint64 // hash of the box's name
	Boxes int    // boxes that share the evidence; they retry withheld subjects one after another

	subjects map[Subject]*suspect
	lostRuns []lostRun
	whole    []lostRun                // with answers that look whole, until their upstreams answer again
	crashed  map[uint32]time.Duration // crashed incarnations, and when this box found out
	reported map[uint32]time.Duration // crashed incarnations reported by other boxes, and when
	pending  map[Subject]struct{}     // subjects to report to other boxes
	sound    soundParts
	verdicts verdicts
}

// Any reports whether anything is recorded; if not, callers need not compute the hash of a
// request's content.
func (s *Suspects) Any() bool { return len(s.subjects) > 0 || len(s.lostRuns) > 0 }

// Forget drops expired entries.
func (s *Suspects) Forget(now time.Duration) {
	isOver := func(c lostRun) bool { return now-c.at >= lostRunWindow }
	s.lostRuns, s.whole = slices.DeleteFunc(s.lostRuns, isOver), slices.DeleteFunc(s.whole, isOver)
	maps.DeleteFunc(s.crashed, func(_ uint32, at time.Duration) bool { return now-at >= crashRetention })
	maps.DeleteFunc(s.reported, func(_ uint32, at time.Duration) bool { return now-at >= suspectRetention })
	before := len(s.subjects)
	maps.DeleteFunc(s.subjects, func(_ Subject, x *suspect) bool { return now-x.at >= suspectRetention })
	if len(s.subjects) != before || len(s.verdicts.list) > 0 && now-s.verdicts.computed >= verdictAge {
		s.verdicts.invalidate()
	}
}

// NoteConnectionLost records that an upstream closed or reset the connection during a run.
func (s *Suspects) NoteConnectionLost(now time.Duration, run LostRun) {
	c := lostRun{run.Subjects, run.Incarnation.Key(), run.Began, now}
	if at, isOver := s.crashed[c.incarnation]; isOver && now-at < crashRetention {
		s.addCrashes(now, c)
		return
	}
	list := &s.lostRuns
	if run.LooksWhole {
		list = &s.whole
	}
	if len(*list) >= maxLostRuns && now-(*list)[0].at >= lostRunWindow {
		s.Forget(now)
	}
	if len(*list) < maxLostRuns {
		*list = append(*list, c)
	}
}

// Ended records that an upstream has ended without planning or announcing it. It reports whether
// the end was not known before.
func (s *Suspects) Ended(now time.Duration, l Incarnation) (isNew bool) {
	incarnation := l.Key()
	at, isOver := s.crashed[incarnation]
	isNew = !isOver || now-at >= crashRetention
	recordEnd(&s.crashed, incarnation, now)
	var cut []lostRun
	take := func(c lostRun) bool {
		if c.incarnation == incarnation && now-c.at < lostRunWindow {
			cut = append(cut, c)
		}
		return c.incarnation == incarnation
	}
	s.lostRuns, s.whole = slices.DeleteFunc(s.lostRuns, take), slices.DeleteFunc(s.whole, take)
	slices.SortStableFunc(cut, func(a, b lostRun) int { return cmp.Compare(b.began, a.began) }) // the last run is the likeliest cause
	for _, c := range cut {
		s.addCrashes(now, c)
	}
	return isNew
}

// recordEnd records in ends when an upstream incarnation was found, or reported, to have crashed.
func recordEnd(ends *map[uint32]time.Duration, incarnation uint32, now time.Duration) {
	if *ends == nil {
		*ends = make(map[uint32]time.Duration)
	}
	(*ends)[incarnation] = now
}

// addCrashes counts the crash of an upstream against the subjects of a run that it cut off.
func (s *Suspects) addCrashes(now time.Duration, c lostRun) {
	for _, j := range c.subjects {
		x := s.ensure(now, j)
		if !x.add(crash{c.incarnation, c.began, c.at, false}) && !x.full() {
			continue // already known
		}
		x.at = now
		s.noteChange(j)
		s.reportSoundness(now, j, x)
	}
}

// noteChange records that the entry of a subject has changed.
func (s *Suspects) noteChange(j Subject) {
	s.verdicts.invalidate()
	s.queueReport(j)
}

// ensure returns the record of a subject and creates it if needed.
func (s *Suspects) ensure(now time.Duration, j Subject) *suspect {
	x := s.subjects[j]
	if x == nil {
		s.makeRoom(now)
		if s.subjects == nil {
			s.subjects = make(map[Subject]*suspect)
		}
		x = &suspect{at: now}
		s.subjects[j] = x
	}
	return x
}

// add adds a crash and reports whether its incarnation is new. If there are too many, those with
// the lowest keys are kept, so that boxes converge whatever the order of their reports.
func (x *suspect) add(c crash) bool {
	i, known := x.find(c.incarnation)
	if known || i >= incarnationsPerSubject {
		return false
	}
	x.crashes = slices.Insert(x.crashes, i, c)
	x.crashes = x.crashes[:min(len(x.crashes), incarnationsPerSubject)]
	return true
}

func (x *suspect) find(incarnation uint32) (int, bool) {
	return slices.BinarySearchFunc(x.crashes, incarnation, func(c crash, key uint32) int { return cmp.Compare(c.incarnation, key) })
}

// full reports whether more incarnations may have crashed than are remembered.
func (x *suspect) full() bool { return len(x.crashes) == incarnationsPerSubject }

// mayHold reports whether an incarnation has crashed under the subject, as far as is remembered.
func (x *suspect) mayHold(incarnation uint32) bool {
	i, known := x.find(incarnation)
	return known || x.full() && i == incarnationsPerSubject
}

// makeRoom drops expired entries and, if that is not enough, a quarter of the subjects: those
// with the fewest crashes, and of these the oldest.
func (s *Suspects) makeRoom(now time.Duration) {
	if len(s.subjects) < maxSuspects {
		return
	}
	s.Forget(now)
	if len(s.subjects) < maxSuspects {
		return
	}
	list := slices.SortedFunc(maps.Keys(s.subjects), func(a, b Subject) int {
		x, y := s.subjects[a], s.subjects[b]
		return cmp.Or(cmp.Compare(len(x.crashes), len(y.crashes)), cmp.Compare(x.at, y.at), compareSubjects(a, b))
	})
	for _, j := range list[:maxSuspects/4] { // a batch, since thousands of subjects arrive when a whole domain ends
		delete(s.subjects, j)
	}
	s.verdicts.invalidate()
}

// Answered records that a run of some subjects was answered in full, so that none of them crashes
// upstreams.
func (s *Suspects) Answered(now time.Duration, subjects ...Subject) {
	s.sound.note(now, subjects)
	s.lostRuns = slices.DeleteFunc(s.lostRuns, func(c lostRun) bool { return isContentOf(c.subjects, subjects) })
	for _, j := range subjects {
		if x := s.subjects[j]; x != nil && len(x.crashes) > 0 {
			x.crashes, x.inSuccession, x.at, x.wasSound, x.soundAt = nil, 0, now, true, now
			x.round++
			s.noteChange(j)
		}
	}
}

// isContentOf reports whether some subjects include the content of another run.
func isContentOf(run, subjects []Subject) bool {
	return slices.ContainsFunc(run, func(j Subject) bool { return !j.IsPart() && slices.Contains(subjects, j) })
}

// Survived records that a run of some subjects has been answering for long. That is less than a
// complete answer: only what was never answered is suspected before them.
func (s *Suspects) Survived(now time.Duration, subjects ...Subject) { s.sound.note(now, subjects) }

// Alive records that an upstream has answered a run that began at the given time. If it was
// thought to have crashed before that, it had not.
func (s *Suspects) Alive(now time.Duration, l Incarnation, began time.Duration) {
	incarnation := l.Key()
	s.lostRuns = slices.DeleteFunc(s.lostRuns, func(c lostRun) bool { return c.incarnation == incarnation && c.at < began })
	s.Reached(now, l, began)
	if !s.crashedBefore(incarnation, began) {
		return
	}
	delete(s.crashed, incarnation)
	delete(s.reported, incarnation)
	for j, x := range s.subjects {
		if i, held := x.find(incarnation); held {
			x.crashes, x.inSuccession = slices.Delete(x.crashes, i, i+1), 0
			x.round++
			s.noteChange(j)
		}
	}
}

// Reached records that an upstream accepted a connection at the given time: answers that ended
// with their connections before that were whole.
func (s *Suspects) Reached(now time.Duration, l Incarnation, at time.Duration) {
	incarnation := l.Key()
	var whole []lostRun
	s.whole = slices.DeleteFunc(s.whole, func(c lostRun) bool {
		isBefore := c.incarnation == incarnation && c.at < at
		if isBefore {
			whole = append(whole, c)
		}
		return isBefore
	})
	for _, c := range whole {
		s.Answered(now, c.subjects...)
	}
}

// crashedBefore reports whether an upstream was found or reported to have crashed, only at times
// before the given one.
func (s *Suspects) crashedBefore(incarnation uint32, moment time.Duration) bool {
	found, isFound := s.crashed[incarnation]
	reported, isReported := s.reported[incarnation]
	return (isFound || isReported) && (!isFound || found < moment) && (!isReported || reported < moment)
}

// Suspected reports whether an upstream has crashed under one of some subjects, and no verdict on
// another explains that. A part of which runs were answered lately does not count: it is in most
// runs that crashes cut off.
func (s *Suspects) Suspected(now time.Duration, subjects ...Subject) bool {
	return s.maxCrashes(now, subjects) > 0
}

// MayRepeat reports whether a run that was cut off may be repeated at another upstream: not if
// several have crashed under one of its subjects and nothing else explains that.
func (s *Suspects) MayRepeat(now time.Duration, subjects ...Subject) bool {
	return s.maxCrashes(now, subjects) < withholdThreshold
}

// maxCrashes returns the most crashes recorded for one of some subjects that counts as suspected.
func (s *Suspects) maxCrashes(now time.Duration, subjects []Subject) int {
	most := 0
	for _, j := range subjects {
		if x := s.subjects[j]; x != nil && (!j.IsPart() || !s.isKnownSound(now, j, x)) {
			most = max(most, s.unexplained(now, j, x))
		}
	}
	return most
}

// Count returns the number of upstreams known to have crashed under a subject, at most
// incarnationsPerSubject.
func (s *Suspects) Count(j Subject) int {
	if x := s.subjects[j]; x != nil {
		return len(x.crashes)
	}
	return 0
}
