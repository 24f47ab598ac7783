package balance

import (
	"fmt"
	"runtime"
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
	f.UpdateRemoteLoads(map[LoadKey]Load{{Key("u2"), 3}: {}, {Key("u3"), 0}: {}})
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
			if rapid.IntRange(0, 20).Draw(t, "long") == 0 {
				now += keptFor
				f.kept.forgetOld(now)
			}
			id := fmt.Sprintf("u%d", rapid.IntRange(0, 6).Draw(t, "upstream"))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				f.Remove(id)
			case 1:
				service := rapid.SampledFrom([]string{"s", "other"}).Draw(t, "service")
				f.Put(now, Upstream{ID: id, Service: service, Slots: rapid.IntRange(1, 9).Draw(t, "slots"), StartedAt: int64(rapid.IntRange(1, 3).Draw(t, "born"))})
			case 2:
				f.UpdateRemoteLoads(map[LoadKey]Load{{f.keyOf(id), 2}: {Unread: 640 * rapid.IntRange(0, 1).Draw(t, "unread"), Open: 1}})
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
				open = append(open, f.Open(now, id, prompt(uint64(rapid.IntRange(1, 12).Draw(t, "part")))))
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
	checkParts(t, f)
	if got := f.Loads(); fmt.Sprint(got) != fmt.Sprint(loads) {
		t.Fatalf("loads are %v, not %v", got, loads)
	}
	for name, s := range f.services {
		if s.listed != listed[s] || s.slots != slots[s] || len(f.byService[name]) != listed[s] {
			t.Fatalf("%s has %d upstreams and %d slots, not %d and %d", name, listed[s], slots[s], s.listed, s.slots)
		}
	}
}

// Each version of the document had each box sort all its upstreams twice, with its requests held up: 17 ms of a small box
// before 6,000. One that names the same services costs nothing that grows with them.
func TestADocumentThatNamesTheSameServicesCostsNothing(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6000)
	names := []string{"s", "other"}
	f.SetServices(0, names)
	is.True(allocated(func() { f.SetServices(time.Second, names) }) < 4<<10)
	f.SetServices(time.Second, names[1:])
	is.True(!f.Serves("u1"))
	f.SetServices(time.Second, names)
	is.True(f.Serves("u1"))
}

// allocated is how many bytes a function takes of the heap.
func allocated(do func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// checkParts compares the parts' keepers with what each upstream notes of them. When a domain was cut off for 6 s the entries of its
// 1,200 upstreams went; each box looked through all parts and all histories for each of them, for seconds, and held
// its requests up.
func checkParts(t *rapid.T, f *Fleet) {
	noted, kept := 0, 0
	for part, list := range f.kept.keepers {
		for _, x := range list {
			kept++
			if _, isNoted := x.member.parts[part]; !isNoted {
				t.Fatalf("%s keeps part %d and does not note it", x.member.ID, part)
			}
			if !f.lists(x.member) {
				t.Fatalf("%s keeps part %d and is gone", x.member.ID, part)
			}
		}
	}
	for _, m := range f.byID {
		noted += len(m.parts)
	}
	if noted != kept {
		t.Fatalf("upstreams note %d parts and keep %d", noted, kept)
	}
}

// BenchmarkDocument tells what a box's fleet takes of a document that names the same services as the one before.
func BenchmarkDocument(b *testing.B) {
	f := newTestFleet(6000)
	f.SetServices(0, []string{"s", "other"})
	for b.Loop() {
		f.SetServices(0, []string{"s", "other"})
	}
}

// BenchmarkDomainGoes tells what it takes when the entries of a fifth of 6,000 upstreams go, with 8,000 parts known.
func BenchmarkDomainGoes(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		f := newTestFleet(6000)
		for i := range 8000 {
			f.Open(0, fmt.Sprintf("u%d", i%6000), prompt(uint64(i+1))).Close(0, Neutral)
		}
		b.StartTimer()
		for i := range 1200 {
			f.Remove(fmt.Sprintf("u%d", i))
		}
	}
}

// BenchmarkDivide tells what it takes to put 6,000 upstreams into their lanes, after each change of their list.
func BenchmarkDivide(b *testing.B) {
	f := newTestFleet(6000)
	for b.Loop() {
		f.divide(0, f.serviceOf("s"))
	}
}
