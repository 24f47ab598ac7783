package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func lifeOf(n int) Incarnation { return Incarnation{ID: fmt.Sprint("u", n), StartedAt: 1} }

// endsUnder has an upstream end under contents.
func endsUnder(s *Suspects, now time.Duration, n int, contents ...uint64) []uint64 {
	for _, c := range contents {
		s.CutOff(now, c, lifeOf(n))
	}
	withheld, _ := s.Ended(now+time.Millisecond, lifeOf(n))
	return withheld
}

func TestWhatIsWithheld(t *testing.T) {
	const content, other = 7, 8
	for _, test := range []struct {
		name string
		do   func(s *Suspects)
		left time.Duration // at 10 s
	}{
		{"nothing ended", func(s *Suspects) {}, 0},
		{"one ended", func(s *Suspects) { endsUnder(s, 0, 1, content) }, 0},
		{"two ended", func(s *Suspects) {
			endsUnder(s, 0, 1, content)
			endsUnder(s, 9*time.Second, 2, content)
		}, withheldFor - 999*time.Millisecond},
		{"three ended", func(s *Suspects) {
			for n := range 3 {
				endsUnder(s, 9*time.Second, n, content)
			}
		}, 2*withheldFor - 999*time.Millisecond},
		{"the same one twice", func(s *Suspects) {
			endsUnder(s, 0, 1, content)
			endsUnder(s, time.Second, 1, content)
		}, 0},
		{"another content each time", func(s *Suspects) {
			endsUnder(s, 0, 1, content)
			endsUnder(s, 0, 2, other)
		}, 0},
		{"cut off, and the upstreams live", func(s *Suspects) {
			s.CutOff(0, content, lifeOf(1))
			s.CutOff(0, content, lifeOf(2))
		}, 0},
		{"found to be cut off after the end was", func(s *Suspects) {
			s.Ended(0, lifeOf(1))
			s.Ended(0, lifeOf(2))
			s.CutOff(9*time.Second, content, lifeOf(1))
			s.CutOff(9*time.Second, content, lifeOf(2))
		}, withheldFor - time.Second},
		{"cut off long before the end", func(s *Suspects) {
			s.CutOff(-20*time.Second, content, lifeOf(1))
			s.CutOff(-20*time.Second, content, lifeOf(2))
			s.Ended(0, lifeOf(1))
			s.Ended(0, lifeOf(2))
		}, 0},
		{"answered whole between", func(s *Suspects) {
			endsUnder(s, 0, 1, content)
			s.Answered(time.Second, content)
			endsUnder(s, 2*time.Second, 2, content)
		}, 0},
		{"answered whole after", func(s *Suspects) {
			endsUnder(s, 0, 1, content)
			endsUnder(s, 0, 2, content)
			s.Answered(time.Second, content)
		}, 0},
		{"one of them answers later: it had not ended", func(s *Suspects) {
			endsUnder(s, 0, 1, content)
			endsUnder(s, 0, 2, content)
			s.Alive(lifeOf(2), time.Second)
		}, 0},
		{"one of them answered what began before", func(s *Suspects) {
			endsUnder(s, 9*time.Second, 1, content)
			endsUnder(s, 9*time.Second, 2, content)
			s.Alive(lifeOf(2), time.Second)
		}, withheldFor - 999*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := new(Suspects)
			test.do(s)
			is.New(t).Equal(s.Left(10*time.Second, content), test.left)
		})
	}
}

// A box that is cut off takes upstreams for ended that answer other boxes; these say so.
func TestWhatAnswersAnotherBoxHasNotEnded(t *testing.T) {
	is := is.New(t)
	const content = 7
	a, b := new(Suspects), new(Suspects)
	endsUnder(a, 0, 1, content)
	endsUnder(a, 0, 2, content)
	b.Take(time.Second, a.News(time.Second))
	is.True(b.Left(time.Second, content) > 0)
	b.Alive(lifeOf(1), 900*time.Millisecond) // what began before it was told says nothing
	is.True(b.Left(time.Second, content) > 0)
	b.Alive(lifeOf(1), 1100*time.Millisecond)
	is.Equal(b.Left(2*time.Second, content), time.Duration(0))
	a.Take(2*time.Second, b.News(2*time.Second))
	is.Equal(a.Left(2*time.Second, content), time.Duration(0))
	is.Equal(a.Count(content), 1)
}

func TestAContentMayRunAgainAndIsWithheldForLonger(t *testing.T) {
	is := is.New(t)
	s := new(Suspects)
	is.Equal(len(endsUnder(s, 0, 1, 7)), 0)
	is.Equal(endsUnder(s, 0, 2, 7), []uint64{7}) // withheld from now on
	later := withheldFor + time.Second
	is.Equal(s.Left(later, 7), time.Duration(0))
	is.Equal(endsUnder(s, later, 3, 7), []uint64{7})
	is.Equal(s.Left(later+time.Millisecond, 7), 2*withheldFor)
	for n := range 40 {
		endsUnder(s, later, 100+n, 7)
	}
	is.Equal(s.Left(later+time.Millisecond, 7), withheldMost)
	is.Equal(s.Count(7), livesEach)
}

func TestWhatIsRememberedIsBounded(t *testing.T) {
	is := is.New(t)
	s := new(Suspects)
	endsUnder(s, 0, 1, 7)
	endsUnder(s, 0, 2, 7)
	for n := range 3 * maxSuspects {
		endsUnder(s, time.Second, n, uint64(1000+n))
	}
	is.True(len(s.contents) <= maxSuspects)
	is.True(s.Left(time.Second, 7) > 0) // the one under which most have ended stays
	for n := range 3 * maxCuts {
		s.CutOff(time.Second, uint64(n), lifeOf(-1))
	}
	is.True(len(s.cuts) <= maxCuts)
	is.True(s.Any())
	s.Forget(3 * suspectFor) // what is old goes
	is.True(!s.Any())
	is.Equal(len(s.ended), 0)
	_, isNew := s.Ended(0, lifeOf(1))
	is.True(isNew)
	_, isNew = s.Ended(time.Second, lifeOf(1))
	is.True(!isNew)
}

// Whatever order boxes tell each other in, and however often, they come to know the same.
func TestBoxesComeToSuspectTheSame(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		boxes := []*Suspects{new(Suspects), new(Suspects), new(Suspects)}
		now := time.Duration(0)
		tell := func(from, to *Suspects) {
			list := from.Withheld(now)
			random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			to.Take(now, list)
		}
		for range 200 {
			now += time.Duration(random.IntN(100)) * time.Millisecond
			b := boxes[random.IntN(len(boxes))]
			switch content := uint64(random.IntN(5)); random.IntN(4) {
			case 0, 1:
				endsUnder(b, now, random.IntN(40), content)
			case 2:
				b.Answered(now, content)
			default:
				news := b.News(now)
				for _, other := range boxes {
					if other != b && random.IntN(3) > 0 { // some are lost
						other.Take(now, news)
					}
				}
			}
		}
		now += time.Second
		for range 6 { // what each withholds, and what is told back
			for _, a := range boxes {
				for _, b := range boxes {
					tell(a, b)
					a.Take(now, b.News(now))
				}
			}
		}
		want := boxes[0].Withheld(now)
		for _, b := range boxes[1:] {
			got := b.Withheld(now)
			same := slices.EqualFunc(got, want, func(x, y Suspect) bool {
				return x.Content == y.Content && x.Round == y.Round && slices.Equal(x.Ended, y.Ended)
			})
			if !same {
				t.Fatalf("seed %d: %v, %v", seed, got, want)
			}
		}
	}
}
