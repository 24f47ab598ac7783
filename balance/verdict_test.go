package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	testService     = "s"
	firstPart       = 1
	companion       = 2 // in all prompts with the fatal part, and in few others
	crashPart       = 66
	otherCrash      = 67
	firstOwnPart    = 1000
	crashLasts      = 100 * time.Millisecond // from sending a run to its crash
	betweenCrashes  = time.Second
	crashesByOthers = 100 // number of the first upstream that crashes for other reasons
)

// subjectsOf returns the subjects of a request with a content and some shared parts.
func subjectsOf(content uint64, parts ...uint64) []Subject {
	var prompt []Part
	for _, id := range append(slices.Clone(parts), firstOwnPart+content) {
		prompt = append(prompt, Part{ID: id})
	}
	return append([]Subject{ContentSubject(content)}, PartSubjects(testService, prompt)...)
}

func partSubject(id uint64) Subject { return Subject{id, ServiceKey(testService)} }

// crashUnder lets upstream n crash under requests that were sent at the given time.
func crashUnder(s *Suspects, at time.Duration, n int, requests ...[]Subject) {
	for _, subjects := range requests {
		s.NoteConnectionLost(at+crashLasts, lostRunOf(at, n, subjects...))
	}
	s.Ended(at+crashLasts, incarnationOf(n))
}

// repeatedCrash lets n upstreams crash one after another, each under a request with its own
// content and the given parts.
func repeatedCrash(s *Suspects, from, n int, parts ...uint64) {
	for i := from; i < from+n; i++ {
		crashUnder(s, time.Duration(i)*betweenCrashes, i, subjectsOf(uint64(i), parts...))
	}
}

func TestWithheldParts(t *testing.T) {
	for _, test := range []struct {
		name     string
		do       func(s *Suspects)
		withheld []uint64 // of the parts, those that make a request with them alone withheld at 20 s
	}{
		{"two crashes", func(s *Suspects) { repeatedCrash(s, 1, 2, crashPart) }, nil},
		{"three crashes in succession", func(s *Suspects) { repeatedCrash(s, 1, 3, crashPart) }, []uint64{crashPart}},
		{"five crashes at the same moment", func(s *Suspects) {
			for n := range 5 {
				crashUnder(s, time.Second+time.Duration(n)*time.Millisecond, n, subjectsOf(uint64(n), crashPart))
			}
		}, nil},
		{"four crashes at the same moment and one after it", func(s *Suspects) {
			for n := range 4 {
				crashUnder(s, time.Second, n, subjectsOf(uint64(n), crashPart))
			}
			crashUnder(s, 2*time.Second, 5, subjectsOf(5, crashPart))
		}, []uint64{crashPart}},
		{"a part that was answered before and is in runs that are repeated at upstreams that crash at the same moment", func(s *Suspects) {
			s.Answered(time.Millisecond, subjectsOf(50, crashPart)...)
			for n := range 6 {
				began := 17*time.Second + time.Duration(n)*2*time.Millisecond
				s.NoteConnectionLost(began+time.Millisecond, lostRunOf(began, n, subjectsOf(uint64(n), crashPart)...))
				s.Ended(began+time.Millisecond, incarnationOf(n))
			}
		}, nil},
		{"a part without answers that crashes upstreams in quick succession", func(s *Suspects) {
			for n := range 3 {
				began := time.Second + time.Duration(n)*10*time.Millisecond
				s.NoteConnectionLost(began+5*time.Millisecond, lostRunOf(began, n, subjectsOf(uint64(n), crashPart)...))
				s.Ended(began+5*time.Millisecond, incarnationOf(n))
			}
		}, []uint64{crashPart}},
		{"one run that is cut off long after others crashed", func(s *Suspects) {
			for n := range 3 {
				s.NoteConnectionLost(time.Duration(n+1)*time.Second, lostRunOf(0, n, subjectsOf(uint64(n), crashPart)...))
				s.Ended(time.Duration(n+1)*time.Second, incarnationOf(n))
			}
		}, nil},
		{"answered in between", func(s *Suspects) {
			repeatedCrash(s, 1, 2, crashPart)
			s.Answered(2500*time.Millisecond, subjectsOf(50, crashPart)...)
			repeatedCrash(s, 3, 2, crashPart)
		}, nil},
		{"another part that is answered beside it", func(s *Suspects) {
			for n := 1; n < 5; n++ {
				repeatedCrash(s, n, 1, firstPart, crashPart)
				s.Answered(time.Duration(n)*time.Second+crashLasts+time.Millisecond, subjectsOf(uint64(50+n), firstPart)...)
			}
		}, []uint64{crashPart}},
		{"another part that was answered before", func(s *Suspects) {
			s.Answered(time.Millisecond, subjectsOf(50, firstPart)...)
			repeatedCrash(s, 1, 3, firstPart, crashPart)
		}, []uint64{crashPart}},
		{"another part that was cut off beside it more often", func(s *Suspects) {
			s.Answered(time.Millisecond, subjectsOf(50, firstPart)...)
			crashUnder(s, 500*time.Millisecond, crashesByOthers, subjectsOf(51, firstPart))
			repeatedCrash(s, 1, 4, firstPart, crashPart)
		}, []uint64{crashPart}},
		{"two parts that crash by turns", func(s *Suspects) {
			for n := range 4 {
				repeatedCrash(s, 2*n+1, 1, firstPart, crashPart)
				repeatedCrash(s, 2*n+2, 1, firstPart, otherCrash)
				s.Answered(time.Duration(2*n+2)*time.Second+crashLasts+time.Millisecond, subjectsOf(50, firstPart)...)
			}
		}, []uint64{crashPart, otherCrash}},
		{"a part that was answered before and crashes upstreams now, four times", func(s *Suspects) {
			s.Answered(time.Millisecond, subjectsOf(50, crashPart)...)
			repeatedCrash(s, 1, 4, crashPart)
		}, nil},
		{"a part that was answered before and crashes upstreams now, six times", func(s *Suspects) {
			s.Answered(time.Millisecond, subjectsOf(50, crashPart)...)
			repeatedCrash(s, 13, 6, crashPart)
		}, []uint64{crashPart}},
		{"with a part that it always comes with", func(s *Suspects) { repeatedCrash(s, 1, 4, companion, crashPart) }, nil},
		{"and once without that", func(s *Suspects) {
			repeatedCrash(s, 1, 4, companion, crashPart)
			repeatedCrash(s, 5, 1, crashPart)
		}, []uint64{crashPart}},
		{"and that is answered", func(s *Suspects) {
			repeatedCrash(s, 1, 4, companion, crashPart)
			s.Answered(6*time.Second, subjectsOf(50, companion)...)
		}, []uint64{crashPart}},
		{"an answer that ended with the connection, before the crash", func(s *Suspects) {
			repeatedCrash(s, 1, 2, crashPart)
			s.NoteConnectionLost(3100*time.Millisecond, LostRun{Subjects: subjectsOf(3, crashPart), Incarnation: incarnationOf(3), Began: 3 * time.Second, LooksWhole: true})
			s.Ended(4*time.Second, incarnationOf(3))
		}, []uint64{crashPart}},
		{"an answer that ended with the connection, and its upstream answers on", func(s *Suspects) {
			repeatedCrash(s, 1, 3, crashPart)
			s.NoteConnectionLost(5*time.Second, LostRun{Subjects: subjectsOf(5, crashPart), Incarnation: incarnationOf(5), Began: 4 * time.Second, LooksWhole: true})
			s.Alive(6*time.Second, incarnationOf(5), 5500*time.Millisecond)
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := new(Suspects)
			test.do(s)
			var withheld []uint64
			for _, id := range []uint64{firstPart, companion, crashPart, otherCrash} {
				if s.Left(20*time.Second, subjectsOf(99, id)...) > 0 {
					withheld = append(withheld, id)
				}
			}
			is.New(t).Equal(withheld, test.withheld)
		})
	}
}

// Parts that the evidence cannot tell apart are withheld where a request holds all of them.
func TestPartsThatCannotBeToldApartAreWithheldTogether(t *testing.T) {
	is := is.New(t)
	s := new(Suspects)
	repeatedCrash(s, 1, 4, companion, crashPart)
	is.True(s.Left(6*time.Second, subjectsOf(50, companion, crashPart)...) > 0)
	withheld, _ := s.TakeVerdicts(6 * time.Second)
	is.Equal(len(withheld), 1)
	is.Equal(withheld[0].Subjects, []Subject{partSubject(companion), partSubject(crashPart)})
	s.Answered(7*time.Second, subjectsOf(51, companion)...)
	withheld, _ = s.TakeVerdicts(7 * time.Second)
	is.Equal(len(withheld), 1)
	is.Equal(withheld[0].Subjects, []Subject{partSubject(crashPart)})
}

// Contents of which runs were cut off beside a fatal part are no longer withheld once the part is
// known.
func TestContentsCutOffBesideFatalPartAreReleased(t *testing.T) {
	is := is.New(t)
	s := new(Suspects)
	sound := subjectsOf(500, firstPart)
	for n := range 2 {
		crashUnder(s, time.Duration(n+1)*time.Second, n, subjectsOf(uint64(n), crashPart), sound)
	}
	is.True(s.Left(3*time.Second, sound...) > 0) // both runs of it were cut off
	withheld, _ := s.TakeVerdicts(3 * time.Second)
	is.Equal(withheld[0].Subjects[0], ContentSubject(500))
	crashUnder(s, 3*time.Second, 3, subjectsOf(3, crashPart))
	withheld, withdrawn := s.TakeVerdicts(4 * time.Second)
	is.Equal(withheld[0].Subjects[0], partSubject(crashPart))
	is.Equal(withdrawn[0].Subjects[0], ContentSubject(500))
	is.Equal(s.Left(4*time.Second, sound...), time.Duration(0))
	is.True(s.MayRepeat(4*time.Second, sound...))
	is.True(!s.MayRepeat(4*time.Second, subjectsOf(4, crashPart)...))
}

// One content that comes again and again does not make its parts withheld for others.
func TestPartsOfRepeatedFatalContentAreNotWithheld(t *testing.T) {
	is := is.New(t)
	s := new(Suspects)
	for n := range 6 {
		crashUnder(s, time.Duration(n+1)*time.Second, n, subjectsOf(7, firstPart, companion))
	}
	is.True(s.Left(8*time.Second, subjectsOf(7, firstPart, companion)...) > 0)
	is.Equal(s.Left(8*time.Second, subjectsOf(8, firstPart, companion)...), time.Duration(0))
}

// A part is suspected at the services whose upstreams crash under it.
func TestPartIsSuspectedPerService(t *testing.T) {
	is := is.New(t)
	s := new(Suspects)
	repeatedCrash(s, 1, 3, crashPart)
	prompt := []Part{{ID: crashPart}, {ID: 9}}
	is.True(s.Left(4*time.Second, PartSubjects(testService, prompt)...) > 0)
	is.Equal(s.Left(4*time.Second, PartSubjects("other", prompt)...), time.Duration(0))
	s.Answered(5*time.Second, PartSubjects("other", prompt)...)
	is.True(s.Left(5*time.Second, PartSubjects(testService, prompt)...) > 0)
}

func TestLastPartAndPartsBeyondBoundAreNoSubjects(t *testing.T) {
	is := is.New(t)
	is.Equal(len(PartSubjects(testService, nil)), 0)
	is.Equal(len(PartSubjects(testService, []Part{{ID: 1}})), 0)
	is.Equal(PartSubjects(testService, []Part{{ID: 1}, {ID: 2}}), []Subject{partSubject(1)})
	is.Equal(len(PartSubjects(testService, make([]Part, 10*maxPartsPerRequest))), maxPartsPerRequest)
}

// After a verdict is over one request runs at a time; one that holds other suspected parts waits
// longer, as its crash would tell less.
func TestRequestsAreAdmittedOneAtATimeAfterVerdict(t *testing.T) {
	is := is.New(t)
	s := new(Suspects)
	repeatedCrash(s, 1, 3, crashPart)
	crashUnder(s, 4*time.Second, crashesByOthers, subjectsOf(60, otherCrash))
	over := 3*time.Second + crashLasts + weakWithholdBase
	is.True(s.Admit(over-time.Millisecond, subjectsOf(50, crashPart)...) > 0)
	is.True(s.Admit(over, subjectsOf(51, crashPart, otherCrash)...) > weakWithholdBase)
	is.Equal(s.Admit(over, subjectsOf(52, crashPart)...), time.Duration(0))
	is.Equal(s.Left(over, subjectsOf(52, crashPart)...), time.Duration(0)) // it is not withheld on its way
	is.Equal(s.Admit(over, subjectsOf(53, crashPart)...), retryInterval)
	s.Answered(over+time.Second, subjectsOf(52, crashPart)...)
	is.Equal(s.Admit(over+time.Second, subjectsOf(54, crashPart)...), time.Duration(0))
	is.Equal(s.Admit(over+time.Second, subjectsOf(55, crashPart)...), time.Duration(0))
}

// Boxes let requests run again at different times.
func TestBoxesTryVerdictsAtDifferentTimes(t *testing.T) {
	is := is.New(t)
	const boxes = 300
	waits := make(map[time.Duration]bool)
	for box := range uint64(boxes) {
		s := &Suspects{Box: box, Boxes: boxes}
		repeatedCrash(s, 1, 3, crashPart)
		wait := s.Admit(time.Minute, subjectsOf(50, crashPart)...)
		is.True(wait > 0)
		is.True(wait <= 3*time.Second+crashLasts+2*weakWithholdBase-time.Minute)
		waits[wait.Truncate(time.Millisecond)] = true
	}
	is.True(len(waits) > boxes*9/10)
}

func TestSoundPartsAreBounded(t *testing.T) {
	is := is.New(t)
	s := new(Suspects)
	for n := range uint64(3 * maxSoundParts) {
		s.Answered(time.Duration(n)*time.Millisecond, partSubject(n))
	}
	is.True(len(s.sound.answeredAt) <= maxSoundParts)
	_, isKept := s.sound.answeredAt[partSubject(3*maxSoundParts-1)]
	is.True(isKept)
}

// A caller who names many parts in requests that crash upstreams displaces no part under which
// more have crashed.
func TestInventedPartsDoNotDisplaceFatalPart(t *testing.T) {
	is := is.New(t)
	s := new(Suspects)
	repeatedCrash(s, 1, 3, crashPart)
	for n := range 100 {
		var invented []uint64
		for i := range uint64(maxPartsPerRequest) {
			invented = append(invented, uint64(n)<<20+i<<10)
		}
		crashUnder(s, 5*time.Second, crashesByOthers+n, subjectsOf(uint64(100+n), invented...))
	}
	is.True(len(s.subjects) <= maxSuspects)
	is.True(s.Left(6*time.Second, subjectsOf(50, crashPart)...) > 0)
}

// Boxes that hear each other come to the same verdicts on parts, whatever the order and number of
// reports.
func TestPartReportsConverge(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		boxes := []*Suspects{new(Suspects), new(Suspects), new(Suspects)}
		now := time.Second
		for range 150 {
			now += time.Duration(random.IntN(400)) * time.Millisecond
			b := boxes[random.IntN(len(boxes))]
			switch part := uint64(random.IntN(4)); random.IntN(5) {
			case 0, 1, 2:
				crashUnder(b, now, random.IntN(30), subjectsOf(random.Uint64(), part, crashPart))
			case 3:
				b.Answered(now, subjectsOf(random.Uint64(), part)...)
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
		for range 6 {
			for _, a := range boxes {
				for _, b := range boxes {
					list := a.Established(now)
					random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
					b.Merge(now, list)
					a.Merge(now, b.TakeNews(now))
				}
			}
		}
		for _, b := range boxes {
			if b.Left(now, subjectsOf(1, crashPart)...) == 0 {
				t.Errorf("seed %d: a box does not withhold the part", seed)
			}
			if got, want := SuspectsDigest(parts(b.Established(now))), SuspectsDigest(parts(boxes[0].Established(now))); got != want {
				t.Errorf("seed %d: boxes differ", seed)
			}
		}
	}
}

// parts returns the reports about parts.
func parts(list []Suspect) []Suspect {
	return slices.DeleteFunc(list, func(x Suspect) bool { return !x.Subject().IsPart() })
}

// fullSuspects returns a table in which each subject has as many crashes as are remembered.
func fullSuspects() *Suspects {
	s := new(Suspects)
	for n := range incarnationsPerSubject {
		for i := range uint64(maxSuspects / 4) {
			crashUnder(s, time.Duration(n+1)*time.Second, n, subjectsOf(i, firstPart+100*i, companion+100*i, crashPart+100*i))
		}
	}
	return s
}

// BenchmarkAdmitAmongVerdicts measures the decision on a request that holds no suspected part.
func BenchmarkAdmitAmongVerdicts(b *testing.B) {
	s, request := fullSuspects(), subjectsOf(1<<40, 1<<41, 1<<42, 1<<43)
	for b.Loop() {
		s.Admit(30*time.Second, request...)
	}
}

// BenchmarkVerdicts measures the verdicts on a full table after a change.
func BenchmarkVerdicts(b *testing.B) {
	s := fullSuspects()
	for b.Loop() {
		s.verdicts.invalidate()
		s.current(30 * time.Second)
	}
}
