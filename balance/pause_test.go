package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// pauseFleet is a fleet of one service whose upstreams report no start time.
func pauseFleet(upstreams int) *Fleet {
	f := NewFleet(Config{Domain: "d1", Tuning: DefaultTuning})
	for i := range upstreams {
		f.Put(0, Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprintf("10.1.0.%d:1", i), Domain: "d1", Slots: 8})
	}
	return f
}

var plain = Request{Service: "s"}

// An upstream that requested a pause is not used, whatever happens to its entry; the latest end
// applies.
func TestPauseBelongsToIncarnation(t *testing.T) {
	put := func(u Upstream) func(*Fleet) { return func(f *Fleet) { f.Put(time.Second, u) } }
	remove := func(f *Fleet) { f.Remove("u") }
	for _, c := range []struct {
		name  string
		first Upstream
		then  []func(*Fleet)
		used  bool
	}{
		{"no further event", entryOf("u", 100, 1), nil, false},
		{"entry is written again", entryOf("u", 100, 1), []func(*Fleet){put(entryOf("u", 100, 2))}, false},
		{"entry lapses and returns", entryOf("u", 0, 1), []func(*Fleet){remove, put(entryOf("u", 0, 3))}, false},
		{"shorter pause is requested later", entryOf("u", 100, 1), []func(*Fleet){func(f *Fleet) { f.Pause(0, Incarnation{"u", 100}, time.Second) }}, false},
		{"earlier incarnation requests a pause", entryOf("u", 100, 1), []func(*Fleet){func(f *Fleet) { f.Pause(0, Incarnation{"u", 50}, time.Hour) }}, false},
		{"later incarnation", entryOf("u", 100, 1), []func(*Fleet){put(entryOf("u", 200, 2))}, true},
		{"order count falls", withCommandCount(entryOf("u", 0, 1), 5), []func(*Fleet){put(withCommandCount(entryOf("u", 0, 2), 1))}, true},
		{"another upstream at its address", entryOf("u", 0, 1), []func(*Fleet){put(Upstream{ID: "v", Service: "s", Address: "10.1.0.1:1", Domain: "d1", Slots: 8, Revision: 9})}, true},
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
			is.True(used || choice.Skipped == 1)
			choice, used = f.Place(12*time.Second, plain, nil)
			is.True(used)
			is.True(f.Accepts(12*time.Second, choice.Upstream.Incarnation()))
		})
	}
}

// For any sequence of pauses and requests, nothing is sent during a pause, and after it no more
// than the window at once.
func TestNothingIsSentDuringPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := pauseFleet(2)
		var now time.Duration
		pausedUntil := make(map[string]time.Duration) // end of the requested pause
		var open []*Ticket
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprint("u", rapid.IntRange(0, 1).Draw(t, "upstream"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				length := time.Duration(rapid.IntRange(1, 3000).Draw(t, "length")) * time.Millisecond
				f.Pause(now, Incarnation{ID: id}, length)
				pausedUntil[id] = max(pausedUntil[id], now+length)
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
				if now < pausedUntil[choice.Upstream.ID] {
					t.Fatalf("%v: %s gets a request during its pause, which ends at %v", now, choice.Upstream.ID, pausedUntil[choice.Upstream.ID])
				}
				open = append(open, f.Open(now, choice.Upstream.ID, plain))
				if p := f.pauses[f.byID[choice.Upstream.ID].key]; p != nil && p.inFlight > p.window {
					t.Fatalf("%v: %d requests in flight, window %d", now, p.inFlight, p.window)
				}
			}
		}
	})
}

// A queue that waited for the end of a pause does not arrive at once: one request goes first, and
// each answer allows two more.
func TestWindowGrowsAfterPause(t *testing.T) {
	is := is.New(t)
	f := pauseFleet(1)
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
	is.Equal(fmt.Sprint(waves), "[1 2 4 8 20]") // once the window exceeds its slots the upstream is used normally
	is.Equal(len(f.PausesOver()), 1)
	is.Equal(len(f.PausesOver()), 0)
}

// A request that is refused again, or fails, allows no further ones.
func TestFailureDoesNotGrowWindow(t *testing.T) {
	for _, outcome := range []Outcome{Full, Failed, ConnectionLost, Neutral} {
		t.Run(fmt.Sprint(outcome), func(t *testing.T) {
			is := is.New(t)
			f := pauseFleet(1)
			f.Pause(0, Incarnation{ID: "u0"}, time.Second)
			now := 2 * time.Second
			first := f.Open(now, "u0", plain)
			_, ok := f.Place(now, plain, nil)
			is.True(!ok)
			first.Close(now, outcome)
			now += 10 * time.Second // after the backoff for the failure
			f.Open(now, "u0", plain)
			_, ok = f.Place(now, plain, nil)
			is.True(!ok)
		})
	}
}

// Several requests were sent together after a pause, and one of them was refused with another
// pause: the answers to the others do not end that pause.
func TestEarlierAnswerDoesNotEndNewPause(t *testing.T) {
	is := is.New(t)
	f := pauseFleet(1)
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

// Waiting requests go before others, and more urgent ones before less urgent ones.
func TestWaitingAndUrgentRequestsResumeFirst(t *testing.T) {
	is := is.New(t)
	f := pauseFleet(1)
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

// If another upstream accepts requests, none waits for the end of a pause; if none does, the
// earliest end counts.
func TestPauseLeft(t *testing.T) {
	is := is.New(t)
	f := pauseFleet(3)
	f.Pause(0, Incarnation{ID: "u0"}, 10*time.Second)
	f.Pause(0, Incarnation{ID: "u1"}, 5*time.Second)
	is.Equal(f.PauseLeft(0, plain, nil), time.Duration(0)) // u2 accepts it
	left := f.PauseLeft(0, plain, []string{"u2"})
	is.True(left >= 5*time.Second && left < 10*time.Second)
	f.NoteLeaving(Incarnation{ID: "u1"})
	is.True(f.PauseLeft(0, plain, []string{"u2"}) >= 10*time.Second)
	is.Equal(f.PauseLeft(0, plain, []string{"u0", "u2"}), time.Duration(0)) // no upstream is available
}

// An upstream that requests the same pause from all boxes does not get all of them back in the
// same instant.
func TestPauseEndsAreSpreadOverBoxes(t *testing.T) {
	is := is.New(t)
	ends := make(map[time.Duration]bool)
	for box := range 50 {
		f := pauseFleet(1)
		f.SetQuotaPeers(QuotaPeers{Box: fmt.Sprint(box)})
		pausedUntil := f.Pause(0, Incarnation{ID: "u0"}, 2*time.Second)
		is.True(pausedUntil >= 2*time.Second && pausedUntil < 2200*time.Millisecond)
		ends[pausedUntil] = true
	}
	is.Equal(len(ends), 50)
}

// Prompts whose whole lane is paused are placed outside of it: no service starves while a working
// upstream has free slots.
func TestPromptLeavesPausedLane(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(12)
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		f.SizeLanes(now, nil)
	}
	tight := tightUpstreams(f)
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
