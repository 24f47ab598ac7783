package balance

// This file defines which requests upstreams end under. A request may end each upstream that begins to
// run it, and come again under another id at any box; so what counts is its content. The
// invariants: a content under which withheldFrom upstreams have ended is withheld, on whichever
// boxes they were seen to end; one that was answered whole since is not; and an upstream that answers has not
// ended, so nothing is held against what was cut off there before.
//
// Without it 46 upstreams ended under one request, and all that ran beside it was lost each time.

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// withheldFrom is how many upstreams end under a content before it is withheld. One may end
	// beside any request; that two in a row do beside the same one by chance is rare.
	withheldFrom = 2
	// withheldFor is how long a content is withheld for its first withheldFrom upstreams, and
	// twice as long for each further one. After that it may run again, and ends one more at
	// worst: what ended the upstreams may have been something else, or be mended.
	withheldFor = 5 * time.Minute
	// withheldMost bounds that, and suspectFor is how long a content is remembered since an
	// upstream last ended under it.
	withheldMost = time.Hour
	suspectFor   = 2 * withheldMost
	// maxSuspects bounds the contents that are remembered; with eight lives each, some 400 KB.
	maxSuspects = 1 << 11
	// livesEach bounds the lives that are remembered for a content.
	livesEach = 8
	// cutFor is how long after a run was cut off its upstream may be found to have ended, and
	// maxCuts bounds the runs of which that is open.
	cutFor  = 10 * time.Second
	maxCuts = 1 << 12
	// endedFor is how long an upstream is remembered to have ended: runs may be found to be
	// cut off later than the first.
	endedFor = time.Minute
)

// suspect is what is known of a content.
type suspect struct {
	ended []uint32 // keys of lives, in order
	round uint32
	at    time.Duration // when the last of them ended, or the content was answered
}

// cut is a run that was cut off at an upstream which may have ended.
type cut struct {
	content uint64
	life    uint32
	at      time.Duration
}

// Suspects are the contents under which upstreams have ended, as one box knows them; the zero
// Suspects knows of none. It is not safe for several goroutines.
type Suspects struct {
	contents map[uint64]*suspect
	cuts     []cut
	ended    map[uint32]time.Duration // lives that have ended, and when that was found here
	told     map[uint32]time.Duration // the same of what others told, and when
	news     map[uint64]struct{}      // contents of which others are to be told
}

// Any reports whether anything is known: where it is not, no content needs to be worked out.
func (s *Suspects) Any() bool { return len(s.contents) > 0 || len(s.cuts) > 0 }

// Forget forgets what is old.
func (s *Suspects) Forget(now time.Duration) {
	s.cuts = slices.DeleteFunc(s.cuts, func(c cut) bool { return now-c.at >= cutFor })
	maps.DeleteFunc(s.ended, func(_ uint32, at time.Duration) bool { return now-at >= endedFor })
	maps.DeleteFunc(s.told, func(_ uint32, at time.Duration) bool { return now-at >= suspectFor })
	maps.DeleteFunc(s.contents, func(_ uint64, x *suspect) bool { return now-x.at >= suspectFor })
}

// CutOff notes that an upstream closed or reset the connection under a run of a content, and
// reports whether that is withheld from now on: the upstream is known to have ended.
func (s *Suspects) CutOff(now time.Duration, content uint64, l Incarnation) (withheld bool) {
	life := l.Key()
	if at, isOver := s.ended[life]; isOver && now-at < endedFor {
		return s.add(now, content, life)
	}
	if len(s.cuts) >= maxCuts && now-s.cuts[0].at >= cutFor {
		s.Forget(now)
	}
	if len(s.cuts) < maxCuts {
		s.cuts = append(s.cuts, cut{content, life, now})
	}
	return false
}

// Ended notes that an upstream has ended, neither planned nor told. It returns the contents that
// were cut off there and are withheld from now on, and whether the end was not known before.
func (s *Suspects) Ended(now time.Duration, l Incarnation) (withheld []uint64, isNew bool) {
	life := l.Key()
	at, isOver := s.ended[life]
	isNew = !isOver || now-at >= endedFor
	note(&s.ended, life, now)
	for _, c := range s.cuts {
		if c.life == life && now-c.at < cutFor && s.add(now, c.content, life) {
			withheld = append(withheld, c.content)
		}
	}
	s.cuts = slices.DeleteFunc(s.cuts, func(c cut) bool { return c.life == life })
	return withheld, isNew
}

// note notes in a map when an upstream was found, or told, to have ended.
func note(ends *map[uint32]time.Duration, life uint32, now time.Duration) {
	if *ends == nil {
		*ends = make(map[uint32]time.Duration)
	}
	(*ends)[life] = now
}

// add holds the end of an upstream against a content, and reports whether it is withheld from
// now on and was not before.
func (s *Suspects) add(now time.Duration, content uint64, life uint32) bool {
	before := s.Left(now, content)
	x := s.of(now, content)
	if !x.add(life) && !x.full() {
		return false // it was known
	}
	x.at = now
	s.tell(content)
	return before == 0 && s.Left(now, content) > 0
}

// of is what is known of a content, which is known of from now on.
func (s *Suspects) of(now time.Duration, content uint64) *suspect {
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

// add notes a life, and reports whether it was new. Of too many the least keys stay, so that
// boxes come to know the same whatever order they are told in.
func (x *suspect) add(life uint32) bool {
	i, known := slices.BinarySearch(x.ended, life)
	if known || i >= livesEach {
		return false
	}
	x.ended = slices.Insert(x.ended, i, life)
	x.ended = x.ended[:min(len(x.ended), livesEach)]
	return true
}

// full reports whether more lives may have ended than are remembered.
func (x *suspect) full() bool { return len(x.ended) == livesEach }

// makeRoom forgets what is old, and where that is not enough a quarter of the contents: those under
// which the fewest have ended, of these the oldest.
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
		return cmp.Or(cmp.Compare(len(x.ended), len(y.ended)), cmp.Compare(x.at, y.at), cmp.Compare(a, b))
	})
	for _, content := range list[:maxSuspects/4] { // so many at once: where a domain ends, thousands come
		delete(s.contents, content)
	}
}

// Answered notes that a content was answered whole: it does not end what runs it.
func (s *Suspects) Answered(now time.Duration, content uint64) {
	s.cuts = slices.DeleteFunc(s.cuts, func(c cut) bool { return c.content == content })
	if x := s.contents[content]; x != nil && len(x.ended) > 0 {
		x.ended, x.at = nil, now
		x.round++
		s.tell(content)
	}
}

// Alive notes that an upstream has answered a run that began at a moment: where it was found to
// have ended before that, it had not.
func (s *Suspects) Alive(l Incarnation, began time.Duration) {
	life := l.Key()
	s.cuts = slices.DeleteFunc(s.cuts, func(c cut) bool { return c.life == life && c.at < began })
	if !s.claimed(life, began) {
		return
	}
	delete(s.ended, life)
	delete(s.told, life)
	for content, x := range s.contents {
		if i, held := slices.BinarySearch(x.ended, life); held {
			x.ended = slices.Delete(x.ended, i, i+1)
			x.round++
			s.tell(content)
		}
	}
}

// claimed reports whether an upstream was found, or told, to have ended, and neither since a moment.
func (s *Suspects) claimed(life uint32, moment time.Duration) bool {
	found, isFound := s.ended[life]
	told, isTold := s.told[life]
	return (isFound || isTold) && (!isFound || found < moment) && (!isTold || told < moment)
}

// Suspected reports whether an upstream has ended under a content.
func (s *Suspects) Suspected(content uint64) bool {
	x := s.contents[content]
	return x != nil && len(x.ended) > 0
}

// Left is how long a content is withheld from now on; 0: it may run.
func (s *Suspects) Left(now time.Duration, content uint64) time.Duration {
	if x := s.contents[content]; x != nil {
		return max(0, x.at+x.withheldFor()-now)
	}
	return 0
}

// withheldFor is how long a content is withheld since the last upstream ended under it.
func (x *suspect) withheldFor() time.Duration {
	beyond := len(x.ended) - withheldFrom
	if beyond < 0 {
		return 0
	}
	return min(withheldFor<<beyond, withheldMost)
}

// Count is how many upstreams are known to have ended under a content, up to a bound.
func (s *Suspects) Count(content uint64) int {
	if x := s.contents[content]; x != nil {
		return len(x.ended)
	}
	return 0
}
