package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testMemory = 60000 // tokens of an upstream

// unsharedRequest returns a request whose prompt shares almost nothing, with an expected answer
// length.
func unsharedRequest(id uint64, tokens, expected int) Request {
	return Request{Service: "s", Tokens: tokens, ExpectedTokens: expected, Parts: []Part{{ID: 1, Tokens: 1}, {ID: 1e9 + id, Tokens: tokens - 1}}}
}

func newMemoryFleet(upstreams int) *Fleet {
	f := newTestFleet(upstreams)
	f.SetMemory("s", testMemory)
	return f
}

func TestMemoryBound(t *testing.T) {
	const (
		room  = testMemory*9/10 - 21000 // a request of this size leaves room for another one of the same size
		small = testMemory*9/10 - 1000
	)
	tests := []struct {
		name        string
		own, others int // tokens held already
		request     Request
		informed    bool
		want        bool
	}{
		{"empty upstream", 0, 0, unsharedRequest(1, 20000, 500), true, true},
		{"full upstream", 0, room, unsharedRequest(1, 20000, 500), true, false},
		{"up to the limit", 0, room - 21000, unsharedRequest(1, 20000, 500), true, true},
		{"beyond the limit", 0, room - 20999, unsharedRequest(1, 20000, 500), true, false},
		{"unknown answer length", 0, room - 20000, unsharedRequest(1, 20000, 0), true, false},
		{"small request up to the limit", 0, small - 1000, unsharedRequest(1, 800, 100), true, true},
		{"small request beyond the limit", 0, small - 999, unsharedRequest(1, 800, 100), true, false},
		{"the whole memory of an idle upstream", 0, 0, unsharedRequest(1, testMemory-100, 100), true, true},
		{"an idle upstream, and the answer may not fit", 0, 0, unsharedRequest(1, testMemory-100, 101), true, true},
		{"the answer may not fit, beside another request", 1, 0, unsharedRequest(1, testMemory-100, 101), true, false},
		{"a prompt larger than the memory", 0, 0, unsharedRequest(1, testMemory+1, 0), true, false},
		{"no prompt", room, room, Request{Service: "s"}, true, true},
		{"no reports from other boxes, no request of this box", 0, 100, unsharedRequest(1, 20000, 500), false, true},
		{"no reports from other boxes, share of this box is full", 20000, 0, unsharedRequest(1, 20000, 500), false, false},
		{"no reports from other boxes, within the share of this box", 1000, 0, unsharedRequest(1, 6000, 500), false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newMemoryFleet(1)
			f.SetBoxes(4, tt.informed)
			m := f.byID["u0"]
			m.work[3].MemoryTokens = tt.own
			setRemoteMemory(f, m, 5, tt.others)
			is.Equal(f.memoryBoundOf(tt.request).fits(m), tt.want)
			_, ok := f.Place(0, tt.request, nil)
			is.Equal(ok, tt.want)
			f.cfg.Off = Off{Memory: true}
			is.True(f.memoryBoundOf(tt.request).fits(m))
		})
	}
}

func TestTooLarge(t *testing.T) {
	is := is.New(t)
	f := newMemoryFleet(3)
	is.True(!f.TooLarge(unsharedRequest(1, testMemory, 0)))
	is.True(f.TooLarge(unsharedRequest(1, testMemory+1, 0)))
	is.True(!f.TooLarge(unsharedRequest(1, testMemory, 1))) // the answer may be shorter than expected
	is.True(!f.TooLarge(unsharedRequest(1, testMemory-1, testMemory)))
	is.True(f.TooLarge(unsharedRequest(1, testMemory+1, 1)))
	f.SetMemory("s", 0) // unknown
	is.True(!f.TooLarge(unsharedRequest(1, 10*testMemory, 1)))
}

// An answer longer than its caller expects raises the memory counted for it.
func TestLongAnswerTakesMoreMemory(t *testing.T) {
	is := is.New(t)
	f := newMemoryFleet(1)
	f.serviceOf("s").answers.recordLength(100, 20) // one event per five tokens
	ticket := f.Open(0, "u0", unsharedRequest(1, 1000, 100))
	is.Equal(f.byID["u0"].held(), 1200)
	ticket.NoteEventCount(40) // 200 tokens, which are counted already
	is.Equal(f.byID["u0"].held(), 1200)
	ticket.NoteEventCount(100)
	is.Equal(f.byID["u0"].held(), 1000+500+250)
	ticket.Close(0, Answered)
	ticket.NoteEventCount(1000)
	is.Equal(f.byID["u0"].held(), 0)
}

// An answer moves only to an upstream with memory for it, and its copy counts from the moment it
// is reserved.
func TestAnswerMovesOnlyToUpstreamsWithMemory(t *testing.T) {
	is := is.New(t)
	f := fleetWithAnswers(3)
	f.SetMemory("s", testMemory)
	late := Progress{Events: 10, EventInterval: 400 * time.Millisecond, TimeLeft: 1500 * time.Millisecond}
	setRemoteMemory(f, f.byID["u1"], 0, testMemory*9/10)
	m, ok := f.MoveTo(time.Second, longRequest(100, 360), "u0", late)
	is.True(ok)
	is.Equal(m.To.ID, "u2")
	reserved := f.Reserve("u2", longRequest(100, 360))
	is.Equal(f.Loads()[LoadKey{Key("u2"), 0}], Load{Requests: 1, MemoryTokens: 1400 + 720})
	reserved.Close(time.Second, Neutral)
	is.Equal(f.byID["u2"].held(), 0)
	setRemoteMemory(f, f.byID["u2"], 0, testMemory*9/10)
	_, ok = f.MoveTo(time.Second, longRequest(101, 360), "u0", late)
	is.True(!ok)
}

func TestMemoryLeft(t *testing.T) {
	is := is.New(t)
	f := newMemoryFleet(2)
	setHoldTime(f, 4*time.Second)
	is.Equal(f.MemoryLeft(0, unsharedRequest(1, 20000, 0)), time.Duration(0)) // now
	for i := range 2 {
		setRemoteMemory(f, f.byID[fmt.Sprintf("u%d", i)], 0, 50000)
	}
	left := f.MemoryLeft(0, unsharedRequest(1, 20000, 0))
	is.True(left > 2900*time.Millisecond && left < 3*time.Second) // 37,024 of 50,000 tokens have to be freed
	setRemoteMemory(f, f.byID["u0"], 0, 0)
	is.Equal(f.MemoryLeft(0, unsharedRequest(1, 20000, 0)), time.Duration(0))
}

// Over any sequence of events, the memory counted at an upstream is that of its open tickets.
func TestCountedMemoryMatchesOpenTickets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newMemoryFleet(3)
		f.serviceOf("s").answers.recordLength(100, 20)
		var open []*Ticket
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := time.Duration(i) * time.Millisecond
			id := fmt.Sprintf("u%d", rapid.IntRange(0, 2).Draw(t, "upstream"))
			r := unsharedRequest(uint64(i), rapid.IntRange(2, testMemory).Draw(t, "tokens"), rapid.IntRange(0, 1000).Draw(t, "expected"))
			r.Urgency = rapid.IntRange(0, UrgencyLevels).Draw(t, "urgency")
			switch what := rapid.IntRange(0, 5).Draw(t, "what"); {
			case what == 0:
				open = append(open, f.OpenMoved(now, id, r))
			case what == 1:
				open = append(open, f.Reserve(id, r))
			case what == 2 || len(open) == 0:
				open = append(open, f.Open(now, id, r))
			case what == 3:
				open[rapid.IntRange(0, len(open)-1).Draw(t, "grows")].NoteEventCount(rapid.IntRange(0, 2000).Draw(t, "events"))
			default:
				open[rapid.IntRange(0, len(open)-1).Draw(t, "ends")].Close(now, Outcome(rapid.IntRange(0, int(Neutral)).Draw(t, "outcome")))
			}
			checkHeld(t, f, open)
		}
		for _, x := range open {
			x.Close(time.Minute, Answered)
		}
		checkHeld(t, f, nil)
	})
}

// checkHeld compares the counted memory with the memory of the open tickets.
func checkHeld(t *rapid.T, f *Fleet, tickets []*Ticket) {
	want := make(map[string]int)
	for _, x := range tickets {
		if !x.closed {
			want[x.member.ID] += x.held
		}
	}
	for id, m := range f.byID {
		if m.held() != want[id] {
			t.Fatalf("%s: %d tokens are counted, open tickets hold %d", id, m.held(), want[id])
		}
	}
}

// memoryModel is a model of boxes that share upstreams and report loads to each other from time
// to time.
type memoryModel struct {
	boxes      []*Fleet
	runs       []memoryRun
	unreported map[string]map[int]int // by upstream and box: tokens placed since the boxes last reported
	overruns   int                    // number of placements after which an upstream held more than its memory
}

type memoryRun struct {
	ticket *Ticket
	ends   time.Duration
}

func newMemoryModel(boxes, upstreams int, off Off) *memoryModel {
	w := &memoryModel{unreported: make(map[string]map[int]int)}
	for range boxes {
		f := newMemoryFleet(upstreams)
		f.cfg.Off = off
		w.boxes = append(w.boxes, f)
	}
	return w
}

// held returns the tokens that all boxes together hold at an upstream.
func (w *memoryModel) held(id string) int {
	sum := 0
	for _, f := range w.boxes {
		sum += f.byID[id].ownHeldTokens()
	}
	return sum
}

// unreportedByOthers returns the tokens that other boxes have placed at an upstream and not
// reported.
func (w *memoryModel) unreportedByOthers(id string, box int) int {
	sum := 0
	for other, tokens := range w.unreported[id] {
		if other != box {
			sum += tokens
		}
	}
	return sum
}

// place has a box place a request that runs until ends, and returns the upstream.
func (w *memoryModel) place(now time.Duration, box int, r Request, ends time.Duration) (id string, ok bool) {
	f := w.boxes[box]
	c, placed := f.Place(now, r, nil)
	if !placed {
		return "", false
	}
	id = c.Upstream.ID
	ticket := f.Open(now, id, r)
	ticket.NoteFirstEvent(now)
	w.runs = append(w.runs, memoryRun{ticket, ends})
	if w.unreported[id] == nil {
		w.unreported[id] = make(map[int]int)
	}
	w.unreported[id][box] += ticket.held
	if w.held(id) > testMemory {
		w.overruns++
	}
	return id, true
}

// end ends the runs that are due.
func (w *memoryModel) end(now time.Duration) {
	var left []memoryRun
	for _, x := range w.runs {
		if x.ends > now {
			left = append(left, x)
			continue
		}
		x.ticket.Close(now, Answered)
	}
	w.runs = left
}

// report reports the loads of each box to all others.
func (w *memoryModel) report() {
	for i, f := range w.boxes {
		others := make(map[LoadKey]Load)
		for j, g := range w.boxes {
			if i != j {
				for key, load := range g.Loads() {
					others[key] = others[key].Plus(load)
				}
			}
		}
		f.SetRemoteLoads(others)
	}
	clear(w.unreported)
}

// Over any sequence of placements and ends, after a box places a request its upstream holds no
// more than the limit for that request plus what other boxes placed there without reporting it
// yet.
func TestAllBoxesTogetherKeepWithinMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newMemoryModel(rapid.IntRange(1, 5).Draw(t, "boxes"), rapid.IntRange(1, 4).Draw(t, "upstreams"), nil)
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now := time.Duration(i) * 10 * time.Millisecond
			w.end(now)
			if rapid.IntRange(0, 4).Draw(t, "tell") == 0 {
				w.report()
			}
			box := rapid.IntRange(0, len(w.boxes)-1).Draw(t, "box")
			r := unsharedRequest(uint64(i), rapid.IntRange(2, testMemory).Draw(t, "tokens"), rapid.IntRange(0, 1000).Draw(t, "expected"))
			id, ok := w.place(now, box, r, now+time.Duration(rapid.IntRange(1, 500).Draw(t, "runs"))*time.Millisecond)
			if !ok {
				continue
			}
			unreported := w.unreportedByOthers(id, box)
			if held := w.held(id); held > max(memoryLimit(testMemory, r), r.needs())+unreported {
				t.Fatalf("%s holds %d tokens, of which others have not reported %d", id, held, unreported)
			}
		}
	})
}

// Boxes that have just started, without reports from each other, together fill an upstream's
// memory at most, apart from one request each.
func TestUninformedBoxesKeepToTheirShare(t *testing.T) {
	is := is.New(t)
	const boxes, tokens = 6, 2000
	w := newMemoryModel(boxes, 1, nil)
	for i := range 200 {
		w.boxes[i%boxes].SetBoxes(boxes, false)
		w.place(0, i%boxes, unsharedRequest(uint64(i), tokens, 100), time.Hour)
	}
	is.True(w.held("u0") <= testMemory)
	is.True(w.held("u0") >= testMemory/2) // the memory is used
}

// Replays a burst: for 5 s, four boxes receive 40 of the longest prompts and 40 short ones a
// second for six upstreams of 60,000 tokens. The long ones run for 2 s, and boxes report to each
// other every 50 ms. Without the memory bound upstreams repeatedly receive more than they hold;
// with it they never do. Refused callers get a retry delay, and short requests continue to be
// served.
func TestBurstOfLongPromptsKeepsWithinMemory(t *testing.T) {
	for _, c := range []struct {
		off      Off
		overruns bool
	}{{Off{Memory: true}, true}, {nil, false}} {
		t.Run(fmt.Sprint(c.off.Names()), func(t *testing.T) {
			is := is.New(t)
			w := newMemoryModel(4, 6, c.off)
			var long, refused, short int
			for step := range 200 { // steps of 25 ms
				now := time.Duration(step) * 25 * time.Millisecond
				w.end(now)
				if step%2 == 0 {
					w.report()
				}
				r := unsharedRequest(uint64(2*step), 14000, 400)
				if _, ok := w.place(now, step%4, r, now+2*time.Second); ok {
					long++
				} else {
					refused++
					after := w.boxes[step%4].MemoryLeft(now, r)
					is.True(after >= minMemoryWait && after <= maxMemoryWait)
				}
				if _, ok := w.place(now, step%4, unsharedRequest(uint64(2*step+1), 400, 100), now+200*time.Millisecond); ok {
					short++
				}
			}
			is.Equal(w.overruns > 0, c.overruns)
			is.Equal(refused == 0, c.overruns)
			is.True(long >= 30) // 12 fit at a time, for 2 s each
			is.True(short >= 150)
		})
	}
}

// When a burst of long prompts has filled the memory of its lane, further ones do not go to
// upstreams reserved for tight streams. A tight stream may leave a lane without memory.
func TestLongPromptsStayInTheirLaneWhenItsMemoryIsFull(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(60)
	f.SetMemory("s", testMemory)
	f.SetRemoteLoads(loadPerUpstream(60, 1, 2))
	f.SizeLanes(time.Second, nil)
	is.Equal(len(tightUpstreams(f)), 20)
	long, stream := letter(1), chat(1)
	for _, m := range f.byService["s"] {
		if !m.tight {
			setRemoteMemory(f, m, 3, testMemory)
		}
	}
	_, ok := f.Place(time.Second, long, nil)
	is.True(!ok)
	is.True(f.MemoryLeft(time.Second, long) >= minMemoryWait)
	for _, m := range f.byService["s"] {
		setRemoteMemory(f, m, 3, testMemory-m.remoteWork[3].MemoryTokens) // now the tight lane is full instead
	}
	c, ok := f.Place(time.Second, stream, nil)
	is.True(ok)
	is.True(!f.byID[c.Upstream.ID].tight)
}

// A retry does not have to leave room for another request of the same size.
func TestRetryUsesTheRoomForAnotherRequest(t *testing.T) {
	is := is.New(t)
	f := newMemoryFleet(2)
	r := unsharedRequest(1, 20000, 500)
	setRemoteMemory(f, f.byID["u0"], 3, testMemory)
	setRemoteMemory(f, f.byID["u1"], 3, testMemory*9/10-21000)
	_, ok := f.Place(0, r, nil)
	is.True(!ok)
	c, ok := f.Place(0, r, []string{"u0"})
	is.True(ok)
	is.Equal(c.Upstream.ID, "u1")
	setRemoteMemory(f, f.byID["u1"], 3, testMemory*9/10-21000+1)
	_, ok = f.Place(0, r, []string{"u0"})
	is.True(!ok) // never beyond the memory
}

// setRemoteMemory sets the memory tokens that other boxes hold at an upstream for an urgency.
func setRemoteMemory(f *Fleet, m *member, urgency, tokens int) {
	m.remoteWork[urgency].MemoryTokens = tokens
	f.activate(m)
}
