package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// reads is a request of a class that bears a pause of gap and has tokens of its own.
func reads(class string, gap time.Duration, shared uint64, tokens int) Request {
	r := prompt(shared)
	r.Class, r.Gap, r.Tokens = class, gap, r.Tokens+tokens
	r.Parts[1].Tokens = tokens
	return r
}

// chat and letter are requests of two classes that are kept apart.
func chat(shared uint64) Request   { return reads("chat", 200*time.Millisecond, shared, 400) }
func letter(shared uint64) Request { return reads("letter", 300*time.Millisecond, shared, 3000) }

// newDividedFleet is a fleet that has seen a request of each class.
func newDividedFleet(n int) *Fleet {
	f := newTestFleet(n)
	for _, r := range []Request{chat(1), letter(1)} {
		f.serviceOf("s").classes.observe(r, r.Parts[1].Tokens)
	}
	f.serviceOf("s").classes.decideApart()
	return f
}

// underWay is a load on each of n upstreams, of so many tight streams and others.
func underWay(n, tight, rest int) map[LoadKey]Load {
	loads := make(map[LoadKey]Load)
	for i := range n {
		loads[LoadKey{Key(fmt.Sprintf("u%d", i)), 0}] = Load{Open: tight + rest, Tight: tight}
	}
	return loads
}

// tightPlaces lists the upstreams that are kept for tight streams.
func tightPlaces(f *Fleet) map[string]bool {
	kept := make(map[string]bool)
	for id, m := range f.byID {
		if f.inLane(time.Hour, m, true) {
			kept[id] = true
		}
	}
	return kept
}

func TestLanesFollowWhatIsUnderWay(t *testing.T) {
	tests := []struct {
		name        string
		tight, rest int // on each of 60 upstreams
		want        int // of them kept for tight streams
	}{
		{"nothing yet", 0, 0, 9},
		{"calm", 1, 2, 20},                      // of slots in use a third
		{"a burst of long prompts", 1, 20, 9},   // the least
		{"a burst of tight streams", 20, 2, 51}, // the others keep the least
		{"as many of each", 10, 10, 30},
		{"four times as many", 20, 5, 48},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newDividedFleet(60)
			f.SetRemoteLoads(underWay(60, tt.tight, tt.rest))
			for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
				f.SizeLanes(now, nil)
			}
			is.Equal(len(tightPlaces(f)), tt.want)
			is.Equal(f.Lanes(), LanePlan{Key("s"): {tt.want, []uint32{Key("chat")}}})
		})
	}
}

func TestALaneThatGrewShrinksAgain(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(60)
	now := time.Duration(0)
	settle := func(tight, rest int) int {
		f.SetRemoteLoads(underWay(60, tight, rest))
		for range 100 {
			now += 100 * time.Millisecond
			f.SizeLanes(now, nil)
		}
		return len(tightPlaces(f))
	}
	is.Equal(settle(20, 2), 51)
	is.Equal(settle(1, 20), 10) // within the slack of the least, 9
	is.Equal(settle(0, 0), 10)  // nothing under way tells nothing
}

// Tight streams hold half of all slots. While the others read nothing, they need few upstreams
// for their slots; while they read all the time, they need most of them for that.
func TestALaneLeavesUpstreamsToThoseThatRead(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(60)
	f.Admit(0, letter(1), Admission{Target: 600 * time.Millisecond}, Choice{})
	now := time.Duration(0)
	settle := func(unread int) int {
		for range 100 {
			now += 100 * time.Millisecond
			loads := underWay(60, 4, 1)
			for id, m := range f.byID {
				if l := loads[LoadKey{Key(id), 0}]; !m.tight {
					l.Unread = unread
					loads[LoadKey{Key(id), 0}] = l
				}
			}
			f.SetRemoteLoads(loads)
			f.SizeLanes(now, nil)
		}
		return len(tightPlaces(f))
	}
	is.Equal(settle(0), 48)     // 4 of 5 slots in use are theirs
	is.Equal(settle(10000), 30) // 278 ms to read at each
	is.Equal(settle(200), 48)   // 6 ms
	need := f.needOf(f.serviceOf("s"))
	is.True(need.Tight > 0.499 && need.Tight < 0.501) // by slots: 4 of 8
}

// Upstreams that read count for more where those that wait have less time.
func TestReadingCountsForMoreWhereLessMayWait(t *testing.T) {
	for _, c := range []struct {
		target time.Duration // of the long prompts, which are read for 83 ms
		least  float64
		most   float64
	}{
		{0, 1, 1}, // nothing is known of it
		{2 * time.Second, 0.41, 0.42},
		{700 * time.Millisecond, 1.19, 1.20},
		{300 * time.Millisecond, 1.5, 1.5},
	} {
		t.Run(c.target.String(), func(t *testing.T) {
			is := is.New(t)
			f := newDividedFleet(60)
			if c.target > 0 {
				_, ok := f.Admit(0, letter(1), Admission{Target: c.target}, Choice{})
				is.True(ok)
			}
			weight := f.readingWeight(f.serviceOf("s"))
			is.True(weight.Rest >= c.least && weight.Rest <= c.most)
			is.Equal(weight.Tight, 1.0) // no chat was admitted yet
		})
	}
}

// An upstream with twice as many slots counts for twice as much of what is held.
func TestUpstreamsOfUnlikeSlotsAreCountedBySlots(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(4)
	for i := range 4 {
		u := f.byID[fmt.Sprintf("u%d", i)].Upstream
		u.Slots = 8 << i
		f.Put(0, u)
	}
	f.SetRemoteLoads(underWay(4, 6, 3)) // 24 and 12 of 120 slots
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		f.SizeLanes(now, nil)
	}
	need := f.needOf(f.serviceOf("s"))
	is.True(need.Tight > 0.199 && need.Tight < 0.201)
	is.True(need.Rest > 0.099 && need.Rest < 0.101)
	is.Equal(len(tightPlaces(f)), 3)
}

func TestALaneThatIsToldIsTaken(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(20)
	f.SetRemoteLoads(underWay(20, 20, 2))
	changes := f.SizeLanes(time.Second, LanePlan{Key("s"): {Places: 2}, Key("unknown"): {Places: 3}})
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Service, "s")
	is.Equal(changes[0].Places, 2)
	is.True(changes[0].Told)
	is.Equal(len(tightPlaces(f)), 2)
	is.Equal(len(f.SizeLanes(2*time.Second, LanePlan{Key("s"): {Places: 2}})), 0) // nothing new
	f.SizeLanes(time.Minute, LanePlan{Key("s"): {Places: 99}})
	is.Equal(len(tightPlaces(f)), 20) // no more than there are
}

// Boxes that go by different sizes differ in the last upstreams only: the smaller lane
// is a part of the greater one.
func TestTheSmallerLaneIsPartOfTheGreater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(minLanes, 40).Draw(t, "upstreams")
		small := rapid.IntRange(1, n).Draw(t, "small")
		great := rapid.IntRange(small, n).Draw(t, "great")
		a, b := newDividedFleet(n), newDividedFleet(n)
		a.SizeLanes(0, LanePlan{Key("s"): {Places: small}})
		b.SizeLanes(0, LanePlan{Key("s"): {Places: great}})
		kept := tightPlaces(b)
		for id := range tightPlaces(a) {
			if !kept[id] {
				t.Fatalf("%s is kept by the smaller lane only", id)
			}
		}
		if len(kept) != great {
			t.Fatalf("%d are kept, want %d", len(kept), great)
		}
	})
}

// serve runs a prompt where it is placed, to its end.
func serve(f *Fleet, now time.Duration, r Request) Choice {
	c, _ := f.Place(now, r, nil)
	ticket := f.Open(now, c.Upstream.ID, r)
	ticket.First(now)
	ticket.Close(now, Answered)
	return c
}

// An upstream that changes its lane keeps what it had read there, and is fetched from,
// once for each prompt.
func TestWhatAnUpstreamKeepsIsFetchedWhenItChangesItsLane(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(20)
	f.SizeLanes(0, LanePlan{Key("s"): {Places: 2}})
	before := make(map[uint64]*Upstream)
	now := time.Minute
	for shared := uint64(1); shared <= 100; shared++ {
		before[shared] = serve(f, now, prompt(shared)).Upstream
	}
	now += 10 * time.Second
	f.SizeLanes(now, LanePlan{Key("s"): {Places: 6}})
	kept := tightPlaces(f)
	moved := 0
	for shared, old := range before {
		c := serve(f, now, prompt(shared))
		if !kept[old.ID] {
			is.Equal(c.Upstream.ID, old.ID)
			is.Equal(c.Fetch, "")
			continue
		}
		moved++
		is.Equal(c.Fetch, old.Address)
		again := serve(f, now, prompt(shared))
		is.Equal(again.Upstream.ID, c.Upstream.ID)
		is.Equal(again.Fetch, "") // it has what it needs
	}
	is.True(moved > 0)
	f.SizeLanes(now, LanePlan{Key("s"): {Places: 2}}) // and back: either keeps it
	for shared := range before {
		c := serve(f, now, prompt(shared))
		is.Equal(c.Fetch, "")
	}
}

// A box that has just started guesses by the lists alone: what its home has from the
// lane before is fetched from the upstream that was the home there.
func TestABoxThatKnowsNothingFetchesFromTheLaneBefore(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(20)
	f.SizeLanes(0, LanePlan{Key("s"): {Places: 2}})
	before := make(map[uint64]*Upstream)
	now := 16 * time.Second
	for shared := uint64(1); shared <= 100; shared++ {
		c, _ := f.Place(now, prompt(shared), nil)
		before[shared] = c.Upstream
	}
	f.SizeLanes(now, LanePlan{Key("s"): {Places: 6}})
	kept := tightPlaces(f)
	for shared, old := range before {
		c, _ := f.Place(now, prompt(shared), nil)
		is.Equal(c.Upstream.ID == old.ID, !kept[old.ID])
		is.Equal(c.Fetch == old.Address, kept[old.ID])
		c, _ = f.Place(now+2*retellAfter, prompt(shared), nil)
		is.Equal(c.Fetch, "") // by then it would have been told
	}
}

// A box that has started keeps the lane it was told as long as it has not seen two classes:
// what it has seen does not speak against it.
func TestABoxThatHasSeenLittleKeepsTheLaneItWasTold(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(20)
	f.SizeLanes(0, LanePlan{Key("s"): {Places: 5}})
	f.Open(time.Second, "u0", chat(1))
	f.SizeLanes(time.Second, nil)
	is.Equal(len(tightPlaces(f)), 5)
	f.Open(time.Second, "u0", reads("another", 200*time.Millisecond, 2, 500))
	f.SizeLanes(2*time.Second, nil)
	is.Equal(f.Lanes(), LanePlan{}) // two that are alike do
}
