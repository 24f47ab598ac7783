package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// pausing is a fleet of one service with upstreams that name no start.
func pausing(upstreams int) *Fleet {
	f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
	for i := range upstreams {
		f.Put(0, Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprintf("10.1.0.%d:1", i), Domain: "d1", Slots: 8})
	}
	return f
}

var plain = Request{Service: "s"}

// An upstream that asked for a pause is passed over, whatever becomes of its entry; the latest end counts.
func TestAPauseIsThatOfALife(t *testing.T) {
	put := func(u Upstream) func(*Fleet) { return func(f *Fleet) { f.Put(time.Second, u) } }
	gone := func(f *Fleet) { f.Remove("u") }
	for _, c := range []struct {
		name  string
		first Upstream
		then  []func(*Fleet)
		used  bool
	}{
		{"nothing else", entryOf("u", 100, 1), nil, false},
		{"its entry written again", entryOf("u", 100, 1), []func(*Fleet){put(entryOf("u", 100, 2))}, false},
		{"its entry lapses and returns", entryOf("u", 0, 1), []func(*Fleet){gone, put(entryOf("u", 0, 3))}, false},
		{"a shorter one is asked for later", entryOf("u", 100, 1), []func(*Fleet){func(f *Fleet) { f.Pause(0, Incarnation{"u", 100}, time.Second) }}, false},
		{"an earlier life asks", entryOf("u", 100, 1), []func(*Fleet){func(f *Fleet) { f.Pause(0, Incarnation{"u", 50}, time.Hour) }}, false},
		{"a later life", entryOf("u", 100, 1), []func(*Fleet){put(entryOf("u", 200, 2))}, true},
		{"orders fall", withCommandCount(entryOf("u", 0, 1), 5), []func(*Fleet){put(withCommandCount(entryOf("u", 0, 2), 1))}, true},
		{"another one at its address", entryOf("u", 0, 1), []func(*Fleet){put(Upstream{ID: "v", Service: "s", Address: "10.1.0.1:1", Domain: "d1", Slots: 8, Revision: 9})}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
			f.Put(0, c.first)
			f.Pause(0, c.first.Incarnation(), 10*time.Second)
			for _, do := range c.then {
				do(f)
			}
			choice, used := f.Place(5*time.Second, plain, nil)
			is.Equal(used, c.used)
			is.True(used || choice.Passed == 1)
			choice, used = f.Place(12*time.Second, plain, nil)
			is.True(used)
			is.True(f.Accepts(12*time.Second, choice.Upstream.Incarnation()))
		})
	}
}

// Whatever is asked for and sent in whatever order, nothing is sent within a pause, and after one no more at once than answers have let in.
func TestNothingIsSentWithinAPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := pausing(2)
		var now time.Duration
		till := make(map[string]time.Duration) // as asked for
		var open []*Ticket
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprint("u", rapid.IntRange(0, 1).Draw(t, "upstream"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				length := time.Duration(rapid.IntRange(1, 3000).Draw(t, "length")) * time.Millisecond
				f.Pause(now, Incarnation{ID: id}, length)
				till[id] = max(till[id], now+length)
			case 1:
				if len(open) > 0 {
					open[0].Close(now, Outcome(rapid.IntRange(int(Answered), int(Neutral)).Draw(t, "outcome")))
					open = open[1:]
				}
			case 2:
				u := *f.Get(id)
				f.Remove(id)
				f.Put(now, u)
			default:
				choice, ok := f.Place(now, plain, nil)
				if !ok {
					continue
				}
				if now < till[choice.Upstream.ID] {
					t.Fatalf("%v: %s gets a request, it asked for none until %v", now, choice.Upstream.ID, till[choice.Upstream.ID])
				}
				open = append(open, f.Open(now, choice.Upstream.ID, plain))
				if p := f.pauses[f.byID[choice.Upstream.ID].key]; p != nil && p.open > p.room {
					t.Fatalf("%v: %d requests return, %d may", now, p.open, p.room)
				}
			}
		}
	})
}

// A queue that waited for the end of a pause does not arrive at once: one request goes first, and each answer lets two follow.
func TestRequestsReturnInGrowingNumbersAfterAPause(t *testing.T) {
	is := is.New(t)
	f := pausing(1)
	f.Pause(0, Incarnation{ID: "u0"}, time.Second)
	now := 2 * time.Second
	var waves []int
	for range 5 {
		var wave []*Ticket
		for len(wave) < 20 {
			if _, ok := f.Place(now, plain, nil); !ok {
				break
			}
			wave = append(wave, f.Open(now, "u0", plain))
		}
		waves = append(waves, len(wave))
		for _, ticket := range wave {
			ticket.Close(now, Answered)
		}
	}
	is.Equal(fmt.Sprint(waves), "[1 2 4 8 20]") // with more than its slots it is used as before
	is.Equal(len(f.PausesOver()), 1)
	is.Equal(len(f.PausesOver()), 0)
}

// One that is turned away again, or is answered with nothing, lets no other follow.
func TestARequestThatReturnsInVainLetsNoneFollow(t *testing.T) {
	for _, outcome := range []Outcome{Full, Failed, ConnectionLost, Neutral} {
		t.Run(fmt.Sprint(outcome), func(t *testing.T) {
			is := is.New(t)
			f := pausing(1)
			f.Pause(0, Incarnation{ID: "u0"}, time.Second)
			now := 2 * time.Second
			first := f.Open(now, "u0", plain)
			_, ok := f.Place(now, plain, nil)
			is.True(!ok)
			first.Close(now, outcome)
			now += 10 * time.Second // after what it rests for its failure
			f.Open(now, "u0", plain)
			_, ok = f.Place(now, plain, nil)
			is.True(!ok)
		})
	}
}

// Of requests that returned together one was turned away with another pause: the answers of the others do not end that.
func TestAnAnswerToARequestOfBeforeEndsNoPause(t *testing.T) {
	is := is.New(t)
	f := pausing(1)
	u := *f.Get("u0")
	u.Slots = 1
	f.Put(0, u)
	f.Pause(0, Incarnation{ID: "u0"}, time.Second)
	first := f.Open(2*time.Second, "u0", plain)
	f.Pause(2100*time.Millisecond, Incarnation{ID: "u0"}, 10*time.Second)
	first.Close(2200*time.Millisecond, Answered)
	_, ok := f.Place(3*time.Second, plain, nil)
	is.True(!ok)
	_, ok = f.Place(13*time.Second, plain, nil)
	is.True(ok)
}

// Requests that wait go before others, and the more urgent before them.
func TestWhoReturnsFirstAfterAPause(t *testing.T) {
	is := is.New(t)
	f := pausing(1)
	f.Pause(0, Incarnation{ID: "u0"}, time.Second)
	now := 2 * time.Second
	may := func(urgency int, waited bool) bool {
		_, ok := f.Place(now, Request{Service: "s", Urgency: urgency, Waited: waited}, nil)
		return ok
	}
	is.True(may(2, false))
	f.Wait(Request{Service: "s", Urgency: 1})
	is.True(!may(2, false))
	is.True(!may(2, true))
	is.True(!may(1, false))
	is.True(may(1, true))
	is.True(may(0, false))
	f.EndWait(Request{Service: "s", Urgency: 1})
	is.True(may(2, false))
}

// Where another upstream takes requests, none waits for the end of a pause; where none does, the first end counts.
func TestHowLongAPauseKeepsARequest(t *testing.T) {
	is := is.New(t)
	f := pausing(3)
	f.Pause(0, Incarnation{ID: "u0"}, 10*time.Second)
	f.Pause(0, Incarnation{ID: "u1"}, 5*time.Second)
	is.Equal(f.PauseLeft(0, plain, nil), time.Duration(0)) // u2 takes it
	left := f.PauseLeft(0, plain, []string{"u2"})
	is.True(left >= 5*time.Second && left < 10*time.Second)
	f.NoteLeaving(Incarnation{ID: "u1"})
	is.True(f.PauseLeft(0, plain, []string{"u2"}) >= 10*time.Second)
	is.Equal(f.PauseLeft(0, plain, []string{"u0", "u2"}), time.Duration(0)) // nothing is there
}

// An upstream that asks all boxes for the same pause does not have them all back in one instant.
func TestBoxesReturnOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	ends := make(map[time.Duration]bool)
	for box := range 50 {
		f := pausing(1)
		f.SetSharers(QuotaPeers{Box: fmt.Sprint(box)})
		till := f.Pause(0, Incarnation{ID: "u0"}, 2*time.Second)
		is.True(till >= 2*time.Second && till < 2200*time.Millisecond)
		ends[till] = true
	}
	is.Equal(len(ends), 50)
}

// Prompts whose whole lane is paused go beyond it: no service starves while a sound upstream has room.
func TestAPromptLeavesALaneThatIsPaused(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(12)
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		f.SizeLanes(now, nil)
	}
	tight := tightPlaces(f)
	is.True(len(tight) > 0 && len(tight) < 12)
	for id, m := range f.byID {
		if !tight[id] {
			f.Pause(10*time.Second, m.Incarnation(), time.Minute)
		}
	}
	choice, ok := f.Place(11*time.Second, letter(1), nil)
	is.True(ok)
	is.True(tight[choice.Upstream.ID])
}
