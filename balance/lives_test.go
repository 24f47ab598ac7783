package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// livesWorld is a few boxes and upstreams that start again, with all that was ever sent.
type livesWorld struct {
	t      *rapid.T
	now    time.Duration
	boxes  []*Fleet
	born   map[string]int64
	sent   map[Incarnation]map[uint32]time.Duration // when a part was last sent to a life, by any box
	signs  []map[Incarnation]time.Duration          // when a box had a sign that a life has ended
	seen   []map[string]int64                       // by box: the last life that it knew
	open   [][]openRun
	onWay  []toldNews
	latest uint64 // revision
}

// openRun is a request that is open on a life.
type openRun struct {
	ticket *Ticket
	life   Incarnation
}

// toldNews is what one box tells another, with when.
type toldNews struct {
	to   int
	at   time.Duration
	kept []PartReport
}

const (
	worldBoxes     = 3
	worldUpstreams = 3
	longestPause   = 400 // ms
)

func newLivesWorld(t *rapid.T) *livesWorld {
	w := &livesWorld{t: t, born: make(map[string]int64), sent: make(map[Incarnation]map[uint32]time.Duration)}
	for range worldBoxes {
		w.boxes = append(w.boxes, knowing(0))
		w.signs = append(w.signs, make(map[Incarnation]time.Duration))
		w.seen = append(w.seen, make(map[string]int64))
		w.open = append(w.open, nil)
	}
	for i := range worldUpstreams {
		w.born[fmt.Sprint("u", i)] = 100
	}
	return w
}

// entry is that of one of the lives there were.
func (w *livesWorld) entry(id string) Upstream {
	born := int64(rapid.IntRange(100, int(w.born[id])).Draw(w.t, "born"))
	w.latest++
	revision := w.latest
	if rapid.Bool().Draw(w.t, "old") {
		revision = uint64(rapid.IntRange(1, int(w.latest)).Draw(w.t, "revision"))
	}
	return Upstream{ID: id, StartedAt: born, Service: "s", Address: id, Domain: "d1", Slots: 8, Revision: revision,
		Leaving: rapid.IntRange(0, 5).Draw(w.t, "leaving") == 0}
}

// send sends a request, and notes to which life.
func (w *livesWorld) send(box int) {
	f := w.boxes[box]
	r := prompt(uint64(rapid.IntRange(1, 6).Draw(w.t, "part")))
	c, ok := f.Place(w.now, r, nil)
	if !ok {
		return
	}
	life := c.Upstream.Incarnation()
	if w.sent[life] == nil {
		w.sent[life] = make(map[uint32]time.Duration)
	}
	w.sent[life][PartKey(r.Parts[0].ID)] = w.now
	w.open[box] = append(w.open[box], openRun{f.Open(w.now, c.Upstream.ID, r), life})
}

// end ends a request, or all that a box has on a life at once.
func (w *livesWorld) end(box int) {
	outcome := Outcome(rapid.IntRange(0, int(ConnectionLost)).Draw(w.t, "outcome"))
	all := rapid.Bool().Draw(w.t, "all")
	if len(w.open[box]) == 0 {
		return
	}
	on, ended := w.open[box][0].life, 0
	w.open[box] = slices.DeleteFunc(w.open[box], func(o openRun) bool {
		ends := o.life == on && (all || ended == 0)
		if ends {
			ended++
			o.ticket.Close(w.now, outcome)
		}
		return ends
	})
	if m := w.member(box, on); m != nil && m.doubted && m.doubtTill == w.now+newsLag {
		w.signs[box][on] = w.now
	}
}

// member is a life that a box has listed, or nil.
func (w *livesWorld) member(box int, l Incarnation) *member {
	if m := w.boxes[box].byID[l.ID]; m != nil && m.Incarnation() == l {
		return m
	}
	return nil
}

// tell lets each box tell all others, some of it late, out of order, or never.
func (w *livesWorld) tell() {
	for i, f := range w.boxes {
		news := f.KeptNews()
		for j := range w.boxes {
			if i != j && len(news) > 0 {
				w.onWay = append(w.onWay, toldNews{j, w.now, news})
			}
		}
	}
}

func (w *livesWorld) deliver() {
	if len(w.onWay) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.onWay)-1).Draw(w.t, "news")
	n := w.onWay[i]
	if rapid.Bool().Draw(w.t, "twice") {
		w.onWay = append(w.onWay[:i], w.onWay[i+1:]...)
	}
	if w.now-n.at < newsLag { // what is later than that no box tells
		w.boxes[n.to].NoteKept(w.now, n.kept)
	}
}

// step does one thing.
func (w *livesWorld) step() {
	w.tell() // as boxes do ten times a second
	w.now += time.Duration(rapid.IntRange(0, longestPause).Draw(w.t, "pause")) * time.Millisecond
	box := rapid.IntRange(0, worldBoxes-1).Draw(w.t, "box")
	id := fmt.Sprint("u", rapid.IntRange(0, worldUpstreams-1).Draw(w.t, "upstream"))
	switch rapid.IntRange(0, 9).Draw(w.t, "what") {
	case 0:
		w.born[id]++ // it starts again, and nobody knows yet
	case 1, 2:
		w.boxes[box].Put(w.now, w.entry(id))
	case 3:
		w.boxes[box].Remove(id)
	case 4, 5, 6:
		w.deliver()
	case 7:
		w.end(box)
	case 8:
		other := w.boxes[rapid.IntRange(0, worldBoxes-1).Draw(w.t, "other")]
		if other != w.boxes[box] {
			w.boxes[box].SetOthers(other.Loads())
		}
	default:
		w.send(box)
	}
}

// check looks at all that boxes believe.
func (w *livesWorld) check() {
	for i, f := range w.boxes {
		for id, m := range f.byID {
			if m.StartedAt < w.seen[i][id] {
				w.t.Fatalf("box %d went back to life %d of %s", i, m.StartedAt, id)
			}
			w.seen[i][id] = m.StartedAt
		}
		w.checkKept(i, f)
		w.checkLoads(i, f)
	}
}

// checkKept: each part that is believed of a life was sent to that life, and after the last sign
// that it may have ended.
func (w *livesWorld) checkKept(box int, f *Fleet) {
	for part, list := range f.kept.keepers {
		for _, x := range list {
			life := x.member.Incarnation()
			at, wasSent := w.sent[life][part]
			if !f.lists(x.member) || !wasSent {
				w.t.Fatalf("box %d believes that %v keeps part %d", box, life, part)
			}
			if sign, had := w.signs[box][life]; had && at < sign {
				w.t.Fatalf("box %d believes that %v keeps part %d of before the sign", box, life, part)
			}
		}
	}
}

// checkLoads: a load of others that is believed of a life is not greater than what was sent to it.
func (w *livesWorld) checkLoads(box int, f *Fleet) {
	for _, m := range f.byID {
		if m.others.upTo(Levels-1).Open > 0 && len(w.sent[m.Incarnation()]) == 0 {
			w.t.Fatalf("box %d believes that others use %v", box, m.Incarnation())
		}
	}
}

// Whatever is lost, late or told twice, and whatever boxes disagree on, nothing of an earlier
// life is believed once a box has its first sign of a later one; and what is counted ends with
// the requests.
func TestNothingOfAnEarlierLifeIsBelieved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLivesWorld(t)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			w.step()
			w.check()
		}
		for i, f := range w.boxes {
			for _, o := range w.open[i] {
				o.ticket.Close(w.now, Neutral)
			}
			if loads := f.Loads(); len(loads) > 0 {
				t.Fatalf("box %d still counts %v", i, loads)
			}
		}
	})
}
