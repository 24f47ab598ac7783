package balance

// This file decides which requests are withheld from upstreams because of crashes. What a crash
// cut off includes what runs beside its cause, so a crash that one subject explains says nothing
// about another: subjects are chosen one after another, each by the crashes that those before it
// leave unexplained. The invariants: each crash counts against one verdict; subjects that the
// evidence cannot tell apart are withheld only where a request holds all of them, so that
// requests with some of them run and tell; and a verdict that is over is tried with one request
// at a time, one box after another.

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// withholdThreshold is the number of upstreams that crash under a content before it is
	// withheld. A single crash may coincide with any request; two in a row with the same content
	// are rarely a coincidence.
	withholdThreshold = 2
	// A part is shared, so more crashes coincide with it: it is withheld after
	// partSuccession crashes in succession, each of a run that was sent after the crash before,
	// or partCrashes of which partMinSuccession are in succession. Upstreams that end at the same
	// moment, as in a power failure, are one in succession.
	partSuccession    = 3
	partCrashes       = 5
	partMinSuccession = 2
	// minToldCrashGap is the least time between two crashes in succession of which other boxes
	// told: boxes hear of the same moment at different times.
	minToldCrashGap = 200 * time.Millisecond
	// minSoundCrashGap is the least time between any two for a part that was answered lately: runs
	// that are repeated at once may meet the next of several upstreams that end at the same
	// moment, and such a part is in most of them.
	minSoundCrashGap = 20 * time.Millisecond
	// soundPartSuccession applies, with partCrashes, to a part that was answered lately.
	soundPartSuccession = 4
	// withholdBase is how long a subject is withheld after the first crashes that are enough;
	// it doubles with each further crash, for a part in succession. After that one request may
	// run again: the crashes may have had another cause, or the fault may have been fixed. More
	// requests share a part, so with fewer than partCrashes it is withheld for weakWithholdBase,
	// and for soundWithholdBase if it was answered lately: without that part, which may be in all
	// requests of a customer, nothing would be answered that clears it.
	withholdBase      = 5 * time.Minute
	weakWithholdBase  = time.Minute
	soundWithholdBase = 15 * time.Second
	// maxWithhold bounds that time.
	maxWithhold = time.Hour
	// maxCandidates bounds the subjects that verdicts are chosen from: those with the most crashes.
	maxCandidates = 512
	// verdictAge is after how long verdicts are computed anew though no evidence has changed, since
	// answers speak for a part for some time only.
	verdictAge = time.Second
	// retryInterval is the time within which all boxes learn how a request that ran after a
	// verdict was over has ended.
	retryInterval = 2 * time.Second
	// suspectedRetryFactor is how many times as long requests are withheld that hold further
	// suspected subjects: if they crash an upstream, they tell less.
	suspectedRetryFactor = 4
)

// Verdict says that requests are withheld if they hold all of some subjects.
type Verdict struct {
	Subjects []Subject // which the evidence cannot tell apart; the first one is a content if any is
	Crashed  []uint32  // keys of the incarnations that crashed under them
	At       time.Duration
	Hold     time.Duration // for so long after At
	retryAt  time.Duration // when this box may let one run again
}

// verdicts are the verdicts of a box. The zero value has none.
type verdicts struct {
	stale     bool          // list does not reflect the evidence
	changed   bool          // the evidence has changed since TakeVerdicts
	computed  time.Duration // when list was computed
	list      []Verdict
	first     map[Subject]int           // index into list by each verdict's first subject
	announced map[Subject]Verdict       // verdicts in force when TakeVerdicts last returned
	tried     map[Subject]time.Duration // when a request was let through after a verdict was over
}

// invalidate records that the evidence has changed.
func (v *verdicts) invalidate() { v.stale, v.changed = true, true }

// current returns the verdicts that the evidence leads to.
func (s *Suspects) current(now time.Duration) *verdicts {
	v := &s.verdicts
	if !v.stale {
		return v
	}
	v.stale, v.computed = false, now
	v.list, v.first = nil, make(map[Subject]int)
	for _, verdict := range s.explain(now) {
		v.first[verdict.Subjects[0]] = len(v.list)
		v.list = append(v.list, verdict)
	}
	maps.DeleteFunc(v.tried, func(j Subject, _ time.Duration) bool { _, still := v.first[j]; return !still })
	return v
}

// candidate is a subject that may explain crashes.
type candidate struct {
	subject     Subject
	entry       *suspect
	isSound     bool    // a run with this part was answered lately
	unexplained []crash // no verdict explains them
}

// explain chooses subjects until they explain all crashes, or the others lack evidence.
func (s *Suspects) explain(now time.Duration) []Verdict {
	var list []candidate
	for j, x := range s.subjects {
		if c := (candidate{j, x, j.IsPart() && s.isKnownSound(now, j, x), x.crashes}); c.suffices() {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(compareCandidates(a, b), compareSubjects(a.subject, b.subject))
	})
	list = list[:min(len(list), maxCandidates)]
	var chosen []Verdict
	for len(list) > 0 {
		slices.SortStableFunc(list, compareCandidates)
		best := list[0]
		tied := slices.Clone(list)
		tied = slices.DeleteFunc(tied, func(c candidate) bool {
			return c.isSound != best.isSound || !sameCrashes(c.unexplained, best.unexplained)
		})
		chosen = append(chosen, s.newVerdict(best, tied))
		for i := range list {
			list[i].unexplained = slices.DeleteFunc(slices.Clone(list[i].unexplained), func(c crash) bool { return best.entry.mayHold(c.incarnation) })
		}
		list = slices.DeleteFunc(list, func(c candidate) bool { return !c.suffices() })
	}
	return chosen
}

// compareCandidates sorts the likelier cause first: a part without answers before one with, then
// the one that explains more crashes, then a content, which fewer requests share.
func compareCandidates(a, b candidate) int {
	return cmp.Or(compareBools(a.isSound, b.isSound), cmp.Compare(len(b.unexplained), len(a.unexplained)), compareBools(a.subject.IsPart(), b.subject.IsPart()))
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// suffices reports whether the unexplained crashes are enough to withhold a subject.
func (c candidate) suffices() bool {
	n := len(c.unexplained)
	switch {
	case !c.subject.IsPart():
		return n >= withholdThreshold
	case c.isSound:
		return n >= partCrashes && c.succession() >= soundPartSuccession
	case n < partSuccession:
		return false
	}
	inSuccession := c.succession()
	return inSuccession >= partSuccession || n >= partCrashes && inSuccession >= partMinSuccession
}

// succession returns how many of the unexplained crashes are in succession, by the times that this
// box knows or as a box with better knowledge has told.
func (c candidate) succession() int {
	return max(succession(c.unexplained, c.isSound), min(c.entry.inSuccession, len(c.unexplained)))
}

// succession returns the largest number of crashes of which each cut off a run that was sent after
// the one before. isSound says that the part was answered lately.
func succession(crashes []crash, isSound bool) int {
	byEnd := slices.SortedFunc(slices.Values(crashes), func(a, b crash) int { return cmp.Compare(a.ended, b.ended) })
	n := 0
	var last crash
	for _, c := range byEnd {
		if n == 0 || c.follows(last, isSound) {
			n, last = n+1, c
		}
	}
	return n
}

// follows reports whether the run that a crash cut off was sent after another crash.
func (c crash) follows(last crash, isSound bool) bool {
	var gap time.Duration
	switch {
	case c.told || last.told:
		gap = minToldCrashGap
	case isSound:
		gap = minSoundCrashGap
	}
	return c.began >= last.ended && c.ended-last.ended >= gap
}

func sameCrashes(a, b []crash) bool {
	return slices.EqualFunc(a, b, func(x, y crash) bool { return x.incarnation == y.incarnation })
}

// newVerdict returns the verdict on the subjects that explain the same crashes.
func (s *Suspects) newVerdict(best candidate, tied []candidate) Verdict {
	v := Verdict{At: best.entry.at, Hold: best.hold()}
	for _, c := range tied {
		v.Subjects = append(v.Subjects, c.subject)
	}
	for _, c := range best.unexplained {
		v.Crashed = append(v.Crashed, c.incarnation)
	}
	v.retryAt = v.At + v.Hold + s.retryDelay(v.Subjects[0], v.Hold)
	return v
}

// hold returns how long the subject is withheld after the last crash.
func (c candidate) hold() time.Duration {
	base, extra := withholdBase, len(c.unexplained)-withholdThreshold
	if c.subject.IsPart() {
		extra = c.succession() - partSuccession
	}
	switch {
	case c.isSound:
		base = soundWithholdBase
	case c.subject.IsPart() && len(c.unexplained) < partCrashes:
		base = weakWithholdBase
	}
	return min(base<<max(extra, 0), maxWithhold)
}

// retryDelay returns how long after the others this box waits once a verdict is over, so that few
// boxes let a request through before they hear how another box's has ended.
func (s *Suspects) retryDelay(j Subject, hold time.Duration) time.Duration {
	if s.Boxes < 2 {
		return 0
	}
	b := binary.LittleEndian.AppendUint64(nil, s.Box)
	b = binary.LittleEndian.AppendUint64(b, j.Hash)
	spread := min(time.Duration(s.Boxes)*retryInterval, hold)
	return time.Duration(xxhash.Sum64(b) % uint64(spread))
}

// Left returns how much longer requests with some subjects are withheld; 0: they may run.
func (s *Suspects) Left(now time.Duration, subjects ...Subject) time.Duration {
	v, found := s.verdictOn(now, subjects)
	if !found {
		return 0
	}
	return max(0, v.At+v.Hold-now)
}

// Admit returns how much longer a request with some subjects is withheld; 0: it may run. After a
// verdict is over, it admits one request per retryInterval.
func (s *Suspects) Admit(now time.Duration, subjects ...Subject) time.Duration {
	v, found := s.verdictOn(now, subjects)
	if !found {
		return 0
	}
	retryAt := v.retryAt
	if s.holdsOther(now, v, subjects) {
		retryAt = v.At + suspectedRetryFactor*v.Hold
	}
	tried, wasTried := s.verdicts.tried[v.Subjects[0]]
	if wasTried {
		retryAt = max(retryAt, tried+retryInterval)
	}
	if now < retryAt {
		return retryAt - now
	}
	if s.verdicts.tried == nil {
		s.verdicts.tried = make(map[Subject]time.Duration)
	}
	s.verdicts.tried[v.Subjects[0]] = now
	return 0
}

// holdsOther reports whether some subjects include a suspected one that is not in a verdict.
func (s *Suspects) holdsOther(now time.Duration, v Verdict, subjects []Subject) bool {
	return slices.ContainsFunc(subjects, func(j Subject) bool { return !slices.Contains(v.Subjects, j) && s.Suspected(now, j) })
}

// verdictOn returns the verdict that withholds requests with some subjects for the longest.
func (s *Suspects) verdictOn(now time.Duration, subjects []Subject) (Verdict, bool) {
	all := s.current(now)
	var found Verdict
	if len(all.list) == 0 {
		return found, false
	}
	isFound := false
	for _, j := range subjects {
		i, isFirst := all.first[j]
		if !isFirst {
			continue
		}
		if v := all.list[i]; v.Holds(subjects) && (!isFound || v.At+v.Hold > found.At+found.Hold) {
			found, isFound = v, true
		}
	}
	return found, isFound
}

// unexplained returns the number of crashes under a subject that no verdict on others explains.
func (s *Suspects) unexplained(now time.Duration, j Subject, x *suspect) int {
	n := 0
	for _, c := range x.crashes {
		isExplained := slices.ContainsFunc(s.current(now).list, func(v Verdict) bool {
			return !slices.Contains(v.Subjects, j) && s.subjects[v.Subjects[0]].mayHold(c.incarnation)
		})
		if !isExplained {
			n++
		}
	}
	return n
}

// Holds reports whether some subjects include all of the verdict's.
func (v Verdict) Holds(subjects []Subject) bool {
	return !slices.ContainsFunc(v.Subjects, func(j Subject) bool { return !slices.Contains(subjects, j) })
}

// VerdictOn returns the verdict in force that withholds requests with some subjects.
func (s *Suspects) VerdictOn(now time.Duration, subjects ...Subject) (Verdict, bool) {
	return s.verdictOn(now, subjects)
}

// Verdicts returns the verdicts in force, sorted by their first subjects.
func (s *Suspects) Verdicts(now time.Duration) []Verdict {
	var list []Verdict
	for _, v := range s.current(now).list {
		if v.At+v.Hold > now {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int { return compareSubjects(a.Subjects[0], b.Subjects[0]) })
	return list
}

// TakeVerdicts returns the verdicts that came into force since the last call, and those that were
// withdrawn before they were over.
func (s *Suspects) TakeVerdicts(now time.Duration) (withheld, withdrawn []Verdict) {
	if !s.verdicts.changed {
		return nil, nil
	}
	s.verdicts.changed = false
	inForce := make(map[Subject]Verdict)
	for _, v := range s.Verdicts(now) {
		before, wasInForce := s.verdicts.announced[v.Subjects[0]]
		if !wasInForce || before.At+before.Hold <= now || !slices.Equal(before.Subjects, v.Subjects) {
			withheld = append(withheld, v)
		}
		inForce[v.Subjects[0]] = v
	}
	for j, v := range s.verdicts.announced {
		if _, still := inForce[j]; !still && v.At+v.Hold > now {
			withdrawn = append(withdrawn, v)
		}
	}
	slices.SortFunc(withdrawn, func(a, b Verdict) int { return compareSubjects(a.Subjects[0], b.Subjects[0]) })
	s.verdicts.announced = inForce
	return withheld, withdrawn
}
