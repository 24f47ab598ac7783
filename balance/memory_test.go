package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testMemory = 60000 // tokens of an upstream, as the tests have it

// book is a request with a prompt of its own and an answer of so many tokens, as expected.
func book(id uint64, tokens, expected int) Request {
	return Request{Service: "s", Tokens: tokens, Expected: expected, Parts: []Part{{ID: 1, Tokens: 1}, {ID: 1e9 + id, Tokens: tokens - 1}}}
}

func newMemoryFleet(upstreams int) *Fleet {
	f := newTestFleet(upstreams)
	f.SetMemory("s", testMemory)
	return f
}

func TestWhatFitsAnUpstreamsMemory(t *testing.T) {
	const (
		room  = testMemory*9/10 - 21000 // for a request that needs so much there is to be room once more
		small = testMemory*9/10 - 1000
	)
	tests := []struct {
		name        string
		own, others int // held already
		request     Request
		informed    bool
		want        bool
	}{
		{"an empty one", 0, 0, book(1, 20000, 500), true, true},
		{"a full one", 0, room, book(1, 20000, 500), true, false},
		{"up to its room", 0, room - 21000, book(1, 20000, 500), true, true},
		{"beyond its room", 0, room - 20999, book(1, 20000, 500), true, false},
		{"an answer of unknown length", 0, room - 20000, book(1, 20000, 0), true, false},
		{"a small one up to its room", 0, small - 1000, book(1, 800, 100), true, true},
		{"a small one beyond its room", 0, small - 999, book(1, 800, 100), true, false},
		{"all of its memory, and nothing else there", 0, 0, book(1, testMemory-100, 100), true, true},
		{"an answer that may not fit, and nothing else there", 0, 0, book(1, testMemory-100, 101), true, true},
		{"the same beside another", 1, 0, book(1, testMemory-100, 101), true, false},
		{"a prompt of more than its memory", 0, 0, book(1, testMemory+1, 0), true, false},
		{"without a prompt", room, room, Request{Service: "s"}, true, true},
		{"nothing is known of the others, and nothing of this box is there", 0, 100, book(1, 20000, 500), false, true},
		{"nothing is known of the others, and its part is full", 20000, 0, book(1, 20000, 500), false, false},
		{"nothing is known of the others, and it stays in its part", 1000, 0, book(1, 6000, 500), false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newMemoryFleet(1)
			f.SetBoxes(4, tt.informed)
			m := f.byID["u0"]
			m.work[3].Held = tt.own
			othersHold(f, m, 5, tt.others)
			is.Equal(f.memoryBoundOf(tt.request).fits(m), tt.want)
			_, ok := f.Place(0, tt.request, nil)
			is.Equal(ok, tt.want)
			f.cfg.Off = Off{Memory: true}
			is.True(f.memoryBoundOf(tt.request).fits(m))
		})
	}
}

func TestWhatNoUpstreamCanHold(t *testing.T) {
	is := is.New(t)
	f := newMemoryFleet(3)
	is.True(!f.TooLarge(book(1, testMemory, 0)))
	is.True(f.TooLarge(book(1, testMemory+1, 0)))
	is.True(!f.TooLarge(book(1, testMemory, 1))) // the answer may turn out shorter
	is.True(!f.TooLarge(book(1, testMemory-1, testMemory)))
	is.True(f.TooLarge(book(1, testMemory+1, 1)))
	f.SetMemory("s", 0) // not known
	is.True(!f.TooLarge(book(1, 10*testMemory, 1)))
}

// An answer that becomes longer than its caller expects is counted anew.
func TestALongAnswerTakesMoreMemory(t *testing.T) {
	is := is.New(t)
	f := newMemoryFleet(1)
	f.serviceOf("s").answers.noteLength(100, 20) // an event for five tokens
	ticket := f.Open(0, "u0", book(1, 1000, 100))
	is.Equal(f.byID["u0"].held(), 1200)
	ticket.Made(40) // 200 tokens, as many as are counted
	is.Equal(f.byID["u0"].held(), 1200)
	ticket.Made(100)
	is.Equal(f.byID["u0"].held(), 1000+500+250)
	ticket.Close(0, Answered)
	ticket.Made(1000)
	is.Equal(f.byID["u0"].held(), 0)
}

// An answer moves only to where there is memory for it, and its copy counts from the moment
// at which it is ordered.
func TestAnAnswerMovesToWhereItFits(t *testing.T) {
	is := is.New(t)
	f := seenFleet(3)
	f.SetMemory("s", testMemory)
	late := Progress{Events: 10, Between: 400 * time.Millisecond, Left: 1500 * time.Millisecond}
	othersHold(f, f.byID["u1"], 0, testMemory*9/10)
	m, ok := f.MoveTo(time.Second, long(100, 360), "u0", late)
	is.True(ok)
	is.Equal(m.To.ID, "u2")
	aside := f.SetAside("u2", long(100, 360))
	is.Equal(f.Loads()[LoadKey{Key("u2"), 0}], Load{Open: 1, Held: 1400 + 720})
	aside.Close(time.Second, Neutral)
	is.Equal(f.byID["u2"].held(), 0)
	othersHold(f, f.byID["u2"], 0, testMemory*9/10)
	_, ok = f.MoveTo(time.Second, long(101, 360), "u0", late)
	is.True(!ok)
}

func TestWhenAnUpstreamHasMemoryAgain(t *testing.T) {
	is := is.New(t)
	f := newMemoryFleet(2)
	holdSlots(f, 4*time.Second)
	is.Equal(f.MemoryLeft(0, book(1, 20000, 0)), time.Duration(0)) // now
	for i := range 2 {
		othersHold(f, f.byID[fmt.Sprintf("u%d", i)], 0, 50000)
	}
	left := f.MemoryLeft(0, book(1, 20000, 0))
	is.True(left > 2900*time.Millisecond && left < 3*time.Second) // 37,024 of 50,000 tokens have to come free
	othersHold(f, f.byID["u0"], 0, 0)
	is.Equal(f.MemoryLeft(0, book(1, 20000, 0)), time.Duration(0))
}

// What is counted is what the tickets hold, whatever becomes of them.
func TestWhatTicketsHoldIsWhatIsCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newMemoryFleet(3)
		f.serviceOf("s").answers.noteLength(100, 20)
		var open []*Ticket
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := time.Duration(i) * time.Millisecond
			id := fmt.Sprintf("u%d", rapid.IntRange(0, 2).Draw(t, "upstream"))
			r := book(uint64(i), rapid.IntRange(2, testMemory).Draw(t, "tokens"), rapid.IntRange(0, 1000).Draw(t, "expected"))
			r.Urgency = rapid.IntRange(0, Levels).Draw(t, "urgency")
			switch what := rapid.IntRange(0, 5).Draw(t, "what"); {
			case what == 0:
				open = append(open, f.OpenMoved(now, id, r))
			case what == 1:
				open = append(open, f.SetAside(id, r))
			case what == 2 || len(open) == 0:
				open = append(open, f.Open(now, id, r))
			case what == 3:
				open[rapid.IntRange(0, len(open)-1).Draw(t, "grows")].Made(rapid.IntRange(0, 2000).Draw(t, "events"))
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

// checkHeld compares what is counted with what open tickets hold.
func checkHeld(t *rapid.T, f *Fleet, tickets []*Ticket) {
	want := make(map[string]int)
	for _, x := range tickets {
		if !x.closed {
			want[x.member.ID] += x.held
		}
	}
	for id, m := range f.byID {
		if m.held() != want[id] {
			t.Fatalf("%s: %d tokens are counted, tickets hold %d", id, m.held(), want[id])
		}
	}
}

// memoryWorld is boxes that place at the same upstreams and tell each other now and then.
type memoryWorld struct {
	boxes []*Fleet
	runs  []memoryRun
	fresh map[string]map[int]int // by upstream and box: tokens placed since boxes told each other last
	fell  int                    // upstreams that held more than their memory when a request was added
}

type memoryRun struct {
	ticket *Ticket
	ends   time.Duration
}

func newMemoryWorld(boxes, upstreams int, off Off) *memoryWorld {
	w := &memoryWorld{fresh: make(map[string]map[int]int)}
	for range boxes {
		f := newMemoryFleet(upstreams)
		f.cfg.Off = off
		w.boxes = append(w.boxes, f)
	}
	return w
}

// held is what an upstream holds in truth.
func (w *memoryWorld) held(id string) int {
	sum := 0
	for _, f := range w.boxes {
		sum += f.byID[id].ownHeld()
	}
	return sum
}

// freshOfOthers is what other boxes have placed at an upstream and not told yet.
func (w *memoryWorld) freshOfOthers(id string, box int) int {
	sum := 0
	for other, tokens := range w.fresh[id] {
		if other != box {
			sum += tokens
		}
	}
	return sum
}

// place has a box place a request that runs until then, and returns where it did.
func (w *memoryWorld) place(now time.Duration, box int, r Request, ends time.Duration) (id string, ok bool) {
	f := w.boxes[box]
	c, placed := f.Place(now, r, nil)
	if !placed {
		return "", false
	}
	id = c.Upstream.ID
	ticket := f.Open(now, id, r)
	ticket.First(now)
	w.runs = append(w.runs, memoryRun{ticket, ends})
	if w.fresh[id] == nil {
		w.fresh[id] = make(map[int]int)
	}
	w.fresh[id][box] += ticket.held
	if w.held(id) > testMemory {
		w.fell++
	}
	return id, true
}

// end ends the runs whose time has come.
func (w *memoryWorld) end(now time.Duration) {
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

// tell lets each box know what the others have under way.
func (w *memoryWorld) tell() {
	for i, f := range w.boxes {
		others := make(map[LoadKey]Load)
		for j, g := range w.boxes {
			if i != j {
				for key, load := range g.Loads() {
					others[key] = others[key].Plus(load)
				}
			}
		}
		f.SetOthers(others)
	}
	clear(w.fresh)
}

// However boxes place and whenever requests end: when one has placed a request, its upstream
// holds no more than the room for that and what other boxes had placed there and not told.
func TestAllBoxesTogetherKeepWithinAnUpstreamsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newMemoryWorld(rapid.IntRange(1, 5).Draw(t, "boxes"), rapid.IntRange(1, 4).Draw(t, "upstreams"), nil)
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now := time.Duration(i) * 10 * time.Millisecond
			w.end(now)
			if rapid.IntRange(0, 4).Draw(t, "tell") == 0 {
				w.tell()
			}
			box := rapid.IntRange(0, len(w.boxes)-1).Draw(t, "box")
			r := book(uint64(i), rapid.IntRange(2, testMemory).Draw(t, "tokens"), rapid.IntRange(0, 1000).Draw(t, "expected"))
			id, ok := w.place(now, box, r, now+time.Duration(rapid.IntRange(1, 500).Draw(t, "runs"))*time.Millisecond)
			if !ok {
				continue
			}
			untold := w.freshOfOthers(id, box)
			if held := w.held(id); held > max(roomFor(testMemory, r), r.needs())+untold {
				t.Fatalf("%s holds %d tokens, of which others have not told %d", id, held, untold)
			}
		}
	})
}

// Boxes that have started and know nothing of each other fill an upstream's memory together at
// the most, but for one request of each.
func TestBoxesThatKnowNothingOfEachOtherKeepToTheirParts(t *testing.T) {
	is := is.New(t)
	const boxes, tokens = 6, 2000
	w := newMemoryWorld(boxes, 1, nil)
	for i := range 200 {
		w.boxes[i%boxes].SetBoxes(boxes, false)
		w.place(0, i%boxes, book(uint64(i), tokens, 100), time.Hour)
	}
	is.True(w.held("u0") <= testMemory)
	is.True(w.held("u0") >= testMemory/2) // and it is used
}

// A burst is replayed: for 5 s, four boxes get 40 of the longest prompts and 40 short
// ones a second, before six upstreams of 60,000 tokens; each runs for 2 s, and boxes tell each other each 50 ms.
// Without memory being counted upstreams are sent more than they hold, again and again; with it,
// never. Who is refused is told when to come back, and short ones go on being served.
func TestABurstOfTheLongestPromptsKeepsWithinMemory(t *testing.T) {
	for _, c := range []struct {
		off  Off
		fell bool
	}{{Off{Memory: true}, true}, {nil, false}} {
		t.Run(fmt.Sprint(c.off.Names()), func(t *testing.T) {
			is := is.New(t)
			w := newMemoryWorld(4, 6, c.off)
			var long, refused, short int
			for step := range 200 { // of 25 ms
				now := time.Duration(step) * 25 * time.Millisecond
				w.end(now)
				if step%2 == 0 {
					w.tell()
				}
				r := book(uint64(2*step), 14000, 400)
				if _, ok := w.place(now, step%4, r, now+2*time.Second); ok {
					long++
				} else {
					refused++
					after := w.boxes[step%4].MemoryLeft(now, r)
					is.True(after >= memoryWaitLeast && after <= memoryWaitMost)
				}
				if _, ok := w.place(now, step%4, book(uint64(2*step+1), 400, 100), now+200*time.Millisecond); ok {
					short++
				}
			}
			is.Equal(w.fell > 0, c.fell)
			is.Equal(refused == 0, c.fell)
			is.True(long >= 30) // 12 at a time fit, for 2 s each
			is.True(short >= 150)
		})
	}
}

// A burst of long prompts that has filled the memory of its own upstreams does not go to those that
// are kept for tight streams; a tight stream may leave a lane without memory.
func TestLongPromptsStayInTheirLaneWhereItsMemoryIsFull(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(60)
	f.SetMemory("s", testMemory)
	f.SetOthers(underWay(60, 1, 2))
	f.SizeLanes(time.Second, nil)
	is.Equal(len(tightPlaces(f)), 20)
	long, stream := letter(1), chat(1)
	for _, m := range f.byService["s"] {
		if !m.tight {
			othersHold(f, m, 3, testMemory)
		}
	}
	_, ok := f.Place(time.Second, long, nil)
	is.True(!ok)
	is.True(f.MemoryLeft(time.Second, long) >= memoryWaitLeast)
	for _, m := range f.byService["s"] {
		othersHold(f, m, 3, testMemory-m.others[3].Held) // now the other lane is full
	}
	c, ok := f.Place(time.Second, stream, nil)
	is.True(ok)
	is.True(!f.byID[c.Upstream.ID].tight)
}

// What has begun elsewhere needs no room for one more as large.
func TestASecondTryUsesTheSpareRoom(t *testing.T) {
	is := is.New(t)
	f := newMemoryFleet(2)
	r := book(1, 20000, 500)
	othersHold(f, f.byID["u0"], 3, testMemory)
	othersHold(f, f.byID["u1"], 3, testMemory*9/10-21000)
	_, ok := f.Place(0, r, nil)
	is.True(!ok)
	c, ok := f.Place(0, r, []string{"u0"})
	is.True(ok)
	is.Equal(c.Upstream.ID, "u1")
	othersHold(f, f.byID["u1"], 3, testMemory*9/10-21000+1)
	_, ok = f.Place(0, r, []string{"u0"})
	is.True(!ok) // never beyond the memory
}

// othersHold sets what other boxes hold of an upstream's memory at an urgency.
func othersHold(f *Fleet, m *member, urgency, tokens int) {
	m.others[urgency].Held = tokens
	f.activate(m)
}
