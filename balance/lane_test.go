package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// classRequest returns a request of a class with the given longest acceptable gap and number of
// own tokens.
func classRequest(class string, gap time.Duration, shared uint64, tokens int) Request {
	r := prompt(shared)
	r.Class, r.MaxGap, r.Tokens = class, gap, r.Tokens+tokens
	r.Parts[1].Tokens = tokens
	return r
}

// chat and letter are requests of two classes that are separated.
func chat(shared uint64) Request   { return classRequest("chat", 200*time.Millisecond, shared, 400) }
func letter(shared uint64) Request { return classRequest("letter", 300*time.Millisecond, shared, 3000) }

// newDividedFleet returns a fleet that has observed one request of each class.
func newDividedFleet(n int) *Fleet {
	f := newTestFleet(n)
	for _, r := range []Request{chat(1), letter(1)} {
		f.serviceOf("s").classes.observe(r, r.Parts[1].Tokens)
	}
	f.serviceOf("s").classes.chooseDivision()
	return f
}

// loadPerUpstream returns a load with tight streams and other requests on each of n upstreams.
func loadPerUpstream(n, tight, rest int) map[LoadKey]Load {
	loads := make(map[LoadKey]Load)
	for i := range n {
		loads[LoadKey{Key(fmt.Sprintf("u%d", i)), 0}] = Load{Requests: tight + rest, Tight: tight}
	}
	return loads
}

// tightUpstreams returns the ids of the upstreams reserved for tight streams.
func tightUpstreams(f *Fleet) map[string]bool {
	reserved := make(map[string]bool)
	for id, m := range f.byID {
		if f.inLane(time.Hour, m, true) {
			reserved[id] = true
		}
	}
	return reserved
}

func TestLaneSizeFollowsOpenRequests(t *testing.T) {
	tests := []struct {
		name        string
		tight, rest int // on each of 60 upstreams
		want        int // upstreams reserved for tight streams
	}{
		{"no load", 0, 0, 9},
		{"calm", 1, 2, 20},                      // a third of the occupied slots
		{"a burst of long prompts", 1, 20, 9},   // the minimum
		{"a burst of tight streams", 20, 2, 51}, // the minimum remains for the others
		{"equal numbers", 10, 10, 30},
		{"four times as many", 20, 5, 48},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newDividedFleet(60)
			f.SetRemoteLoads(loadPerUpstream(60, tt.tight, tt.rest))
			for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
				f.SizeLanes(now, nil)
			}
			is.Equal(len(tightUpstreams(f)), tt.want)
			is.Equal(f.Lanes(), LanePlan{Key("s"): {tt.want, []uint32{Key("chat")}}})
		})
	}
}

func TestLaneShrinksAfterBurst(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(60)
	now := time.Duration(0)
	settle := func(tight, rest int) int {
		f.SetRemoteLoads(loadPerUpstream(60, tight, rest))
		for range 100 {
			now += 100 * time.Millisecond
			f.SizeLanes(now, nil)
		}
		return len(tightUpstreams(f))
	}
	is.Equal(settle(20, 2), 51)
	is.Equal(settle(1, 20), 10) // within the slack of the minimum, 9
	is.Equal(settle(0, 0), 10)  // without load the size is kept
}

// Tight streams occupy half of all slots. While the other requests have no prefill, they need few
// upstreams for their slots; while they prefill all the time, they need most upstreams for that.
func TestLaneSizeFollowsPrefill(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(60)
	f.Admit(0, letter(1), Admission{Target: 600 * time.Millisecond}, Choice{})
	now := time.Duration(0)
	settle := func(unread int) int {
		for range 100 {
			now += 100 * time.Millisecond
			loads := loadPerUpstream(60, 4, 1)
			for id, m := range f.byID {
				if l := loads[LoadKey{Key(id), 0}]; !m.tight {
					l.Unread = unread
					loads[LoadKey{Key(id), 0}] = l
				}
			}
			f.SetRemoteLoads(loads)
			f.SizeLanes(now, nil)
		}
		return len(tightUpstreams(f))
	}
	is.Equal(settle(0), 48)     // 4 of 5 occupied slots belong to tight streams
	is.Equal(settle(10000), 30) // 278 ms of prefill at each
	is.Equal(settle(200), 48)   // 6 ms
	need := f.laneNeed(f.serviceOf("s"))
	is.True(need.Tight > 0.499 && need.Tight < 0.501) // by slots: 4 of 8
}

// An upstream in prefill has more weight if requests may wait for less time.
func TestPrefillWeightDependsOnTarget(t *testing.T) {
	for _, c := range []struct {
		target time.Duration // of the long prompts, whose prefill takes 83 ms
		least  float64
		most   float64
	}{
		{0, 1, 1}, // no target known
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
			weight := f.prefillWeights(f.serviceOf("s"))
			is.True(weight.Rest >= c.least && weight.Rest <= c.most)
			is.Equal(weight.Tight, 1.0) // no chat was admitted yet
		})
	}
}

// An upstream with twice as many slots has twice the weight in the share of occupied slots.
func TestLaneNeedIsWeightedBySlots(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(4)
	for i := range 4 {
		u := f.byID[fmt.Sprintf("u%d", i)].Upstream
		u.Slots = 8 << i
		f.Put(0, u)
	}
	f.SetRemoteLoads(loadPerUpstream(4, 6, 3)) // 24 and 12 of 120 slots
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		f.SizeLanes(now, nil)
	}
	need := f.laneNeed(f.serviceOf("s"))
	is.True(need.Tight > 0.199 && need.Tight < 0.201)
	is.True(need.Rest > 0.099 && need.Rest < 0.101)
	is.Equal(len(tightUpstreams(f)), 3)
}

func TestReportedLaneSizeIsAdopted(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(20)
	f.SetRemoteLoads(loadPerUpstream(20, 20, 2))
	changes := f.SizeLanes(time.Second, LanePlan{Key("s"): {Reserved: 2}, Key("unknown"): {Reserved: 3}})
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Service, "s")
	is.Equal(changes[0].Reserved, 2)
	is.True(changes[0].Reported)
	is.Equal(len(tightUpstreams(f)), 2)
	is.Equal(len(f.SizeLanes(2*time.Second, LanePlan{Key("s"): {Reserved: 2}})), 0) // unchanged
	f.SizeLanes(time.Minute, LanePlan{Key("s"): {Reserved: 99}})
	is.Equal(len(tightUpstreams(f)), 20) // at most all upstreams
}

// Lanes of different sizes on two boxes differ only in the last upstreams: the smaller lane is a
// subset of the greater one.
func TestSmallerLaneIsSubsetOfGreater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(minLaneUpstreams, 40).Draw(t, "upstreams")
		small := rapid.IntRange(1, n).Draw(t, "small")
		great := rapid.IntRange(small, n).Draw(t, "great")
		a, b := newDividedFleet(n), newDividedFleet(n)
		a.SizeLanes(0, LanePlan{Key("s"): {Reserved: small}})
		b.SizeLanes(0, LanePlan{Key("s"): {Reserved: great}})
		reserved := tightUpstreams(b)
		for id := range tightUpstreams(a) {
			if !reserved[id] {
				t.Fatalf("%s is only in the smaller lane", id)
			}
		}
		if len(reserved) != great {
			t.Fatalf("lane has %d upstreams, want %d", len(reserved), great)
		}
	})
}

// serve places a prompt and runs it to its end.
func serve(f *Fleet, now time.Duration, r Request) Choice {
	c, _ := f.Place(now, r, nil)
	ticket := f.Open(now, c.Upstream.ID, r)
	ticket.NoteFirstEvent(now)
	ticket.Close(now, Answered)
	return c
}

// An upstream that changes lanes keeps its cached prompts, and is fetched from once for each
// prompt.
func TestPromptsAreFetchedAfterLaneChange(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(20)
	f.SizeLanes(0, LanePlan{Key("s"): {Reserved: 2}})
	before := make(map[uint64]*Upstream)
	now := time.Minute
	for shared := uint64(1); shared <= 100; shared++ {
		before[shared] = serve(f, now, prompt(shared)).Upstream
	}
	now += 10 * time.Second
	f.SizeLanes(now, LanePlan{Key("s"): {Reserved: 6}})
	reserved := tightUpstreams(f)
	moved := 0
	for shared, old := range before {
		c := serve(f, now, prompt(shared))
		if !reserved[old.ID] {
			is.Equal(c.Upstream.ID, old.ID)
			is.Equal(c.FetchFrom, "")
			continue
		}
		moved++
		is.Equal(c.FetchFrom, old.Address)
		again := serve(f, now, prompt(shared))
		is.Equal(again.Upstream.ID, c.Upstream.ID)
		is.Equal(again.FetchFrom, "") // already fetched
	}
	is.True(moved > 0)
	f.SizeLanes(now, LanePlan{Key("s"): {Reserved: 2}}) // back to the first size: both have the prompt
	for shared := range before {
		c := serve(f, now, prompt(shared))
		is.Equal(c.FetchFrom, "")
	}
}

// A box that has just started estimates from the list alone: what a prompt's new home lacks after
// a change of lanes is fetched from its previous home.
func TestNewBoxFetchesFromPreviousHome(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(20)
	f.SizeLanes(0, LanePlan{Key("s"): {Reserved: 2}})
	before := make(map[uint64]*Upstream)
	now := 16 * time.Second
	for shared := uint64(1); shared <= 100; shared++ {
		c, _ := f.Place(now, prompt(shared), nil)
		before[shared] = c.Upstream
	}
	f.SizeLanes(now, LanePlan{Key("s"): {Reserved: 6}})
	reserved := tightUpstreams(f)
	for shared, old := range before {
		c, _ := f.Place(now, prompt(shared), nil)
		is.Equal(c.Upstream.ID == old.ID, !reserved[old.ID])
		is.Equal(c.FetchFrom == old.Address, reserved[old.ID])
		c, _ = f.Place(now+2*rereportInterval, prompt(shared), nil)
		is.Equal(c.FetchFrom, "") // it would have been reported by then
	}
}

// A box that has started keeps the reported lane until it has seen two classes, since its own
// observations do not contradict it before.
func TestNewBoxKeepsReportedLane(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(20)
	f.SizeLanes(0, LanePlan{Key("s"): {Reserved: 5}})
	f.Open(time.Second, "u0", chat(1))
	f.SizeLanes(time.Second, nil)
	is.Equal(len(tightUpstreams(f)), 5)
	f.Open(time.Second, "u0", classRequest("another", 200*time.Millisecond, 2, 500))
	f.SizeLanes(2*time.Second, nil)
	is.Equal(f.Lanes(), LanePlan{}) // two similar classes contradict it
}
