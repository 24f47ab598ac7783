package balance

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against periodic work on all upstreams. When each of 585 boxes inspected each of 5,910
// upstreams ten times a second, while a few hundred had work, that took 6 % of a small box's CPU,
// and twice as much for twice the fleet.
func TestPeriodicWorkCoversActiveUpstreamsOnly(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6000)
	s := f.serviceOf("s")
	own := f.Open(0, "u1", prompt(1))
	f.SetRemoteLoads(map[LoadKey]Load{{Key("u2"), 3}: {Unread: 640, Requests: 1}, {Key("u3"), 0}: {Requests: 1}})
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

// Over any sequence of events, an inactive upstream has no work and reads nothing, and the sums
// kept for a service equal the sums over its upstreams.
func TestInactiveUpstreamsHaveNoWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(5)
		var open []*Ticket
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 20).Draw(t, "long") == 0 {
				now += cacheLifetime
				f.parts.forgetOld(now)
			}
			id := fmt.Sprintf("u%d", rapid.IntRange(0, 6).Draw(t, "upstream"))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				f.Remove(id)
			case 1:
				service := rapid.SampledFrom([]string{"s", "other"}).Draw(t, "service")
				f.Put(now, Upstream{ID: id, Service: service, Slots: rapid.IntRange(1, 9).Draw(t, "slots"), StartedAt: int64(rapid.IntRange(1, 3).Draw(t, "start time"))})
			case 2:
				f.UpdateRemoteLoads(map[LoadKey]Load{{f.keyOf(id), 2}: {Unread: 640 * rapid.IntRange(0, 1).Draw(t, "unread"), Requests: 1}})
			case 3:
				f.SetRemoteLoads(map[LoadKey]Load{{f.keyOf(id), 1}: {Requests: rapid.IntRange(0, 2).Draw(t, "open")}})
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

// keyOf returns the key of an upstream's incarnation, or 0 if it is not listed.
func (f *Fleet) keyOf(id string) uint32 {
	if m := f.byID[id]; m != nil {
		return m.key
	}
	return 0
}

// checkSums compares the sums that a fleet maintains with the sums over its upstreams.
func checkSums(t *rapid.T, f *Fleet) {
	loads := make(map[LoadKey]Load)
	listed, slots := make(map[*service]int), make(map[*service]int)
	for id, m := range f.byID {
		if !m.active && (m.hasWork() || m.prefillShare > 0) {
			t.Fatalf("%s has work, or reads, and is not active", id)
		}
		f.addLoads(loads, m)
		listed[m.service]++
		slots[m.service] += m.Slots
	}
	checkParts(t, f)
	if got := f.Loads(); fmt.Sprint(got) != fmt.Sprint(loads) {
		t.Fatalf("loads are %v, want %v", got, loads)
	}
	for name, s := range f.services {
		if s.upstreamCount != listed[s] || s.slotCount != slots[s] || len(f.byService[name]) != listed[s] {
			t.Fatalf("%s has %d upstreams and %d slots, but %d and %d are counted", name, listed[s], slots[s], s.upstreamCount, s.slotCount)
		}
	}
}

// Guards against work that grows with the fleet for each version of the configuration document. A
// box sorted all its upstreams twice for each version, which delayed requests by 17 ms on a small
// box with 6,000 upstreams. A document that names the same services must cost nothing that grows
// with them.
func TestDocumentWithTheSameServicesAllocatesLittle(t *testing.T) {
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

// allocated returns the number of bytes that a function allocates on the heap.
func allocated(do func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// checkParts compares the part index with the parts recorded per upstream. The index per upstream
// guards against scans on removal: when a domain was cut off for 6 s and the entries of its 1,200
// upstreams were removed, each box scanned all parts and all histories for each of them, which
// delayed its requests for seconds.
func checkParts(t *rapid.T, f *Fleet) {
	recorded, indexed := 0, 0
	for part, list := range f.parts.holders {
		for _, x := range list {
			indexed++
			if _, isRecorded := x.member.cachedParts[part]; !isRecorded {
				t.Fatalf("%s is a holder of part %d and does not record it", x.member.ID, part)
			}
			if !f.isListed(x.member) {
				t.Fatalf("%s is a holder of part %d and is not listed", x.member.ID, part)
			}
		}
	}
	for _, m := range f.byID {
		recorded += len(m.cachedParts)
	}
	if recorded != indexed {
		t.Fatalf("upstreams record %d parts and are holders of %d", recorded, indexed)
	}
}

// BenchmarkDocument measures a document that names the same services as the previous one.
func BenchmarkDocument(b *testing.B) {
	f := newTestFleet(6000)
	f.SetServices(0, []string{"s", "other"})
	for b.Loop() {
		f.SetServices(0, []string{"s", "other"})
	}
}

// BenchmarkRemoveDomain measures the removal of a fifth of 6,000 upstreams with 8,000 parts
// indexed.
func BenchmarkRemoveDomain(b *testing.B) {
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

// BenchmarkDivide measures dividing 6,000 upstreams into lanes, which follows each change of the
// list.
func BenchmarkDivide(b *testing.B) {
	f := newTestFleet(6000)
	for b.Loop() {
		f.assignLanes(0, f.serviceOf("s"))
	}
}
