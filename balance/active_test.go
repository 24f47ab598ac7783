package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Ten times a second each of 585 boxes looked at each of 5,910 upstreams, of which a few hundred had work: 6 % of a small
// box's processor, and twice as much for twice the fleet.
func TestATickLooksAtUpstreamsWithWorkOnly(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6000)
	s := f.serviceOf("s")
	own := f.Open(0, "u1", prompt(1))
	f.SetOthers(map[LoadKey]Load{{Key("u2"), 3}: {Unread: 640, Open: 1}, {Key("u3"), 0}: {Open: 1}})
	f.SizeLanes(100*time.Millisecond, nil)
	is.Equal(len(s.active), 3)
	is.Equal(f.Loads(), map[LoadKey]Load{{Key("u1"), 0}: f.byID["u1"].work[0]})
	own.Close(time.Second, Answered)
	f.NoteOthers(map[LoadKey]Load{{Key("u2"), 3}: {}, {Key("u3"), 0}: {}})
	for i := range 100 {
		f.SizeLanes(time.Second+time.Duration(i)*100*time.Millisecond, nil)
	}
	is.Equal(len(s.active), 0)
}

// Whatever comes and goes, no upstream has work, or reads, without being looked at, and the sums of a service are those
// of its upstreams.
func TestWhatIsNotLookedAtHasNoWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(5)
		var open []*Ticket
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			id := fmt.Sprintf("u%d", rapid.IntRange(0, 6).Draw(t, "upstream"))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				f.Remove(id)
			case 1:
				service := rapid.SampledFrom([]string{"s", "other"}).Draw(t, "service")
				f.Put(now, Upstream{ID: id, Service: service, Slots: rapid.IntRange(1, 9).Draw(t, "slots"), Born: int64(rapid.IntRange(1, 3).Draw(t, "born"))})
			case 2:
				f.NoteOthers(map[LoadKey]Load{{f.keyOf(id), 2}: {Unread: 640 * rapid.IntRange(0, 1).Draw(t, "unread"), Open: 1}})
			case 3:
				f.SetOthers(map[LoadKey]Load{{f.keyOf(id), 1}: {Open: rapid.IntRange(0, 2).Draw(t, "open")}})
			case 4:
				if len(open) > 0 {
					open[0].Close(now, Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")))
					open = open[1:]
				}
			case 5:
				f.SizeLanes(now, nil)
			default:
				open = append(open, f.Open(now, id, prompt(1)))
			}
			checkSums(t, f)
		}
	})
}

// keyOf is the key of an upstream's life, 0 where it is not listed.
func (f *Fleet) keyOf(id string) uint32 {
	if m := f.byID[id]; m != nil {
		return m.key
	}
	return 0
}

// checkSums compares what a fleet keeps at hand with what it adds up from its upstreams.
func checkSums(t *rapid.T, f *Fleet) {
	loads := make(map[LoadKey]Load)
	listed, slots := make(map[*service]int), make(map[*service]int)
	for id, m := range f.byID {
		if !m.active && (m.hasWork() || m.reading > 0) {
			t.Fatalf("%s has work, or reads, and is not looked at", id)
		}
		f.addLoads(loads, m)
		listed[m.service]++
		slots[m.service] += m.Slots
	}
	if got := f.Loads(); fmt.Sprint(got) != fmt.Sprint(loads) {
		t.Fatalf("loads are %v, not %v", got, loads)
	}
	for name, s := range f.services {
		if s.listed != listed[s] || s.slots != slots[s] || len(f.byService[name]) != listed[s] {
			t.Fatalf("%s has %d upstreams and %d slots, not %d and %d", name, listed[s], slots[s], s.listed, s.slots)
		}
	}
}
