package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func incarnationOf(n int) Incarnation { return Incarnation{ID: fmt.Sprint("u", n), StartedAt: 1} }

// crashDuring records that an upstream crashed during runs of contents.
func crashDuring(s *Suspects, now time.Duration, n int, contents ...uint64) (withheld []uint64) {
	for _, c := range contents {
		s.NoteConnectionLost(now, lostRunOf(now, n, ContentSubject(c)))
	}
	s.Ended(now+time.Millisecond, incarnationOf(n))
	verdicts, _ := s.TakeVerdicts(now + time.Millisecond)
	for _, v := range verdicts {
		withheld = append(withheld, v.Subjects[0].Hash)
	}
	return withheld
}

// lostRunOf is a run of some subjects that was cut off at the upstream with the given number.
func lostRunOf(began time.Duration, n int, subjects ...Subject) LostRun {
	return LostRun{Subjects: subjects, Incarnation: incarnationOf(n), Began: began}
}

func TestWithheldContents(t *testing.T) {
	const content, other = 7, 8
	for _, test := range []struct {
		name string
		do   func(s *Suspects)
		left time.Duration // at 10 s
	}{
		{"no crash", func(s *Suspects) {}, 0},
		{"one crash", func(s *Suspects) { crashDuring(s, 0, 1, content) }, 0},
		{"two crashes", func(s *Suspects) {
			crashDuring(s, 0, 1, content)
			crashDuring(s, 9*time.Second, 2, content)
		}, withholdBase - 999*time.Millisecond},
		{"three crashes", func(s *Suspects) {
			for n := range 3 {
				crashDuring(s, 9*time.Second, n, content)
			}
		}, 2*withholdBase - 999*time.Millisecond},
		{"the same upstream twice", func(s *Suspects) {
			crashDuring(s, 0, 1, content)
			crashDuring(s, time.Second, 1, content)
		}, 0},
		{"different contents", func(s *Suspects) {
			crashDuring(s, 0, 1, content)
			crashDuring(s, 0, 2, other)
		}, 0},
		{"cut off, but the upstreams are alive", func(s *Suspects) {
			s.NoteConnectionLost(0, lostRunOf(0, 1, ContentSubject(content)))
			s.NoteConnectionLost(0, lostRunOf(0, 2, ContentSubject(content)))
		}, 0},
		{"cut-off runs found after the crashes", func(s *Suspects) {
			s.Ended(0, incarnationOf(1))
			s.Ended(0, incarnationOf(2))
			s.NoteConnectionLost(9*time.Second, lostRunOf(9*time.Second, 1, ContentSubject(content)))
			s.NoteConnectionLost(9*time.Second, lostRunOf(9*time.Second, 2, ContentSubject(content)))
		}, withholdBase - time.Second},
		{"cut off long before the crashes", func(s *Suspects) {
			s.NoteConnectionLost(-20*time.Second, lostRunOf(-20*time.Second, 1, ContentSubject(content)))
			s.NoteConnectionLost(-20*time.Second, lostRunOf(-20*time.Second, 2, ContentSubject(content)))
			s.Ended(0, incarnationOf(1))
			s.Ended(0, incarnationOf(2))
		}, 0},
		{"answered in full between", func(s *Suspects) {
			crashDuring(s, 0, 1, content)
			s.Answered(time.Second, ContentSubject(content))
			crashDuring(s, 2*time.Second, 2, content)
		}, 0},
		{"answered in full after", func(s *Suspects) {
			crashDuring(s, 0, 1, content)
			crashDuring(s, 0, 2, content)
			s.Answered(time.Second, ContentSubject(content))
		}, 0},
		{"one of them answers later: it had not crashed", func(s *Suspects) {
			crashDuring(s, 0, 1, content)
			crashDuring(s, 0, 2, content)
			s.Alive(9*time.Second, incarnationOf(2), time.Second)
		}, 0},
		{"one of them answers a run that began before", func(s *Suspects) {
			crashDuring(s, 9*time.Second, 1, content)
			crashDuring(s, 9*time.Second, 2, content)
			s.Alive(9*time.Second, incarnationOf(2), time.Second)
		}, withholdBase - 999*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := new(Suspects)
			test.do(s)
			is.New(t).Equal(s.Left(10*time.Second, ContentSubject(content)), test.left)
		})
	}
}

// A box that is cut off takes upstreams for crashed that still answer other boxes; their reports
// correct it.
func TestAnswerAtAnotherBoxWithdrawsCrash(t *testing.T) {
	is := is.New(t)
	const content = 7
	a, b := new(Suspects), new(Suspects)
	crashDuring(a, 0, 1, content)
	crashDuring(a, 0, 2, content)
	b.Merge(time.Second, a.TakeNews(time.Second))
	is.True(b.Left(time.Second, ContentSubject(content)) > 0)
	b.Alive(time.Second, incarnationOf(1), 900*time.Millisecond) // a run that began before the report proves nothing
	is.True(b.Left(time.Second, ContentSubject(content)) > 0)
	b.Alive(1200*time.Millisecond, incarnationOf(1), 1100*time.Millisecond)
	is.Equal(b.Left(2*time.Second, ContentSubject(content)), time.Duration(0))
	a.Merge(2*time.Second, b.TakeNews(2*time.Second))
	is.Equal(a.Left(2*time.Second, ContentSubject(content)), time.Duration(0))
	is.Equal(a.Count(ContentSubject(content)), 1)
}

func TestWithholdTimeDoubles(t *testing.T) {
	is := is.New(t)
	s := new(Suspects)
	is.Equal(len(crashDuring(s, 0, 1, 7)), 0)
	is.Equal(crashDuring(s, 0, 2, 7), []uint64{7}) // becomes withheld
	later := withholdBase + time.Second
	is.Equal(s.Left(later, ContentSubject(7)), time.Duration(0))
	is.Equal(crashDuring(s, later, 3, 7), []uint64{7})
	is.Equal(s.Left(later+time.Millisecond, ContentSubject(7)), 2*withholdBase)
	for n := range 40 {
		crashDuring(s, later, 100+n, 7)
	}
	is.Equal(s.Left(later+time.Millisecond, ContentSubject(7)), maxWithhold)
	is.Equal(s.Count(ContentSubject(7)), incarnationsPerSubject)
}

func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	s := new(Suspects)
	crashDuring(s, 0, 1, 7)
	crashDuring(s, 0, 2, 7)
	for n := range 3 * maxSuspects {
		crashDuring(s, time.Second, n, uint64(1000+n))
	}
	is.True(len(s.subjects) <= maxSuspects)
	is.True(s.Left(time.Second, ContentSubject(7)) > 0) // the content with the most crashes is kept
	for n := range 3 * maxLostRuns {
		s.NoteConnectionLost(time.Second, lostRunOf(time.Second, -1, ContentSubject(uint64(n))))
	}
	is.True(len(s.lostRuns) <= maxLostRuns)
	is.True(s.Any())
	s.Forget(3 * suspectRetention) // expired entries are dropped
	is.True(!s.Any())
	is.Equal(len(s.crashed), 0)
	isNew := s.Ended(0, incarnationOf(1))
	is.True(isNew)
	isNew = s.Ended(time.Second, incarnationOf(1))
	is.True(!isNew)
}

// Boxes converge to the same state, whatever the order and number of reports.
func TestSuspectReportsConverge(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		boxes := []*Suspects{new(Suspects), new(Suspects), new(Suspects)}
		now := time.Duration(0)
		exchange := func(from, to *Suspects) {
			list := from.Established(now)
			random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			to.Merge(now, list)
		}
		for range 200 {
			now += time.Duration(random.IntN(100)) * time.Millisecond
			b := boxes[random.IntN(len(boxes))]
			switch content := uint64(random.IntN(5)); random.IntN(4) {
			case 0, 1:
				crashDuring(b, now, random.IntN(40), content)
			case 2:
				b.Answered(now, ContentSubject(content))
			default:
				reports := b.TakeNews(now)
				for _, other := range boxes {
					if other != b && random.IntN(3) > 0 { // some reports are lost
						other.Merge(now, reports)
					}
				}
			}
		}
		now += time.Second
		for range 6 { // exchange of what each withholds, and of the reports in turn
			for _, a := range boxes {
				for _, b := range boxes {
					exchange(a, b)
					a.Merge(now, b.TakeNews(now))
				}
			}
		}
		want := boxes[0].Established(now)
		for _, b := range boxes[1:] {
			got := b.Established(now)
			same := slices.EqualFunc(got, want, func(x, y Suspect) bool {
				return x.Content == y.Content && x.Round == y.Round && slices.Equal(x.Ended, y.Ended)
			})
			if !same {
				t.Fatalf("seed %d: boxes differ: %v, %v", seed, got, want)
			}
		}
	}
}
