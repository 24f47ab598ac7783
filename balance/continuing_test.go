package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// streamSimulation plays streams on upstreams that refuse what exceeds their slots. Some runs break, and their
// callers take them up.
type streamSimulation struct {
	fleet  *Fleet
	random *rand.Rand
	now    time.Duration
	runs   []simulatedRun
	breaks float64 // share of runs that break

	began, tried     int // new streams
	goesOn, takenUps int // streams that were taken up
}

// simulatedRun is a run that is in progress.
type simulatedRun struct {
	ticket   *Ticket
	software string
	ends     time.Duration
	isBroken bool
}

// place sends a stream to up to three upstreams until one has a free slot.
func (s *streamSimulation) place(origin Origin) bool {
	var tried []string
	for range 3 {
		choice, ok := s.fleet.Place(s.now, Request{Service: "s", Origin: origin, Resumable: true}, tried)
		if !ok {
			return false
		}
		m := s.fleet.byID[choice.Upstream.ID]
		if m.open() < m.Slots {
			t := s.fleet.Open(s.now, m.ID, Request{Service: "s"})
			s.runs = append(s.runs, simulatedRun{t, m.Software, s.now + time.Second, s.random.Float64() < s.breaks})
			return true
		}
		tried = append(tried, m.ID)
	}
	return false
}

// step advances by 10 ms, in which a number of new streams arrive.
func (s *streamSimulation) step(arrivals int) {
	s.now += 10 * time.Millisecond
	runs := s.runs
	s.runs = nil
	var broken []string
	for _, x := range runs {
		if x.ends > s.now {
			s.runs = append(s.runs, x)
			continue
		}
		x.ticket.Close(s.now, Answered)
		if x.isBroken {
			broken = append(broken, x.software)
		}
	}
	for range arrivals {
		s.tried++
		if s.place(Origin{}) {
			s.began++
		}
	}
	for _, software := range broken { // 30 ms or more after the break, when new streams have taken what was free
		s.takenUps++
		if s.place(Origin{Began: true, Known: true, Software: software}) {
			s.goesOn++
		}
	}
}

// Streams that were taken up found the upstreams of their version full, while new ones began at others.
func TestStreamsGoOnAsOftenAsNewOnesBegin(t *testing.T) {
	const minShare = 0.9 // of new streams that begin
	for _, c := range []struct {
		name  string
		v1    int     // upstreams of v1 among 12
		load  float64 // of all slots
		moves bool    // the upstreams of v1 leave one by one, as in a release
	}{
		{"one of twelve, loaded", 1, 0.85, false},
		{"one of twelve, overloaded", 1, 1.3, false},
		{"two of twelve, overloaded", 2, 1.3, false},
		{"half, overloaded", 6, 1.3, false},
		{"release, loaded", 11, 0.85, true},
		{"release, overloaded", 11, 1.3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			const slots = 16
			s := &streamSimulation{fleet: NewFleet(Config{FirstStart: true}), random: rand.New(rand.NewPCG(1, 0)), breaks: 0.4}
			put := func(i int, software string) {
				s.fleet.Put(s.now, Upstream{ID: fmt.Sprint(software, "-", i), Service: "s", Slots: slots, Software: software})
			}
			for i := range 12 {
				if i < c.v1 {
					put(i, "v1")
				} else {
					put(i, "v2")
				}
			}
			perStep := c.load * 12 * slots / (1 + s.breaks) / 100
			due := 0.0
			left := c.v1
			for n := range 1000 {
				if c.moves && n%60 == 59 && left > 1 { // the last upstream of v1 stays
					left--
					s.fleet.Leave(fmt.Sprint("v1-", left))
					put(100+n, "v2")
				}
				due += perStep
				s.step(int(due))
				due -= float64(int(due))
			}
			goesOn, began := float64(s.goesOn)/float64(s.takenUps), float64(s.began)/float64(s.tried)
			t.Logf("%d of %d went on, %d of %d new ones began", s.goesOn, s.takenUps, s.began, s.tried)
			if goesOn < minShare*began {
				t.Errorf("a share of %.2f went on, of new ones %.2f began", goesOn, began)
			}
		})
	}
}
