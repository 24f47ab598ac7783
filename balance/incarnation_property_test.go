package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// incarnationModel is a model of a few boxes and of upstreams that restart, with everything that
// was sent.
type incarnationModel struct {
	t         *rapid.T
	now       time.Duration
	boxes     []*Fleet
	startedAt map[string]int64
	sent      map[Incarnation]map[uint32]time.Duration // when any box last sent a part to an incarnation
	signs     []map[Incarnation]time.Duration          // by box: when it last had a sign that an incarnation may have restarted
	seen      []map[string]int64                       // by box: the latest incarnation that it listed
	open      [][]openRun
	inTransit []sentNews
	latest    uint64 // greatest revision
}

// openRun is a request that is open on an incarnation.
type openRun struct {
	ticket      *Ticket
	incarnation Incarnation
}

// sentNews is a report from one box to another, with the time at which it was sent.
type sentNews struct {
	to    int
	at    time.Duration
	parts []PartReport
}

const (
	modelBoxes     = 3
	modelUpstreams = 3
	longestPause   = 400 // ms
)

func newIncarnationModel(t *rapid.T) *incarnationModel {
	w := &incarnationModel{t: t, startedAt: make(map[string]int64), sent: make(map[Incarnation]map[uint32]time.Duration)}
	for range modelBoxes {
		w.boxes = append(w.boxes, newInformedFleet(0))
		w.signs = append(w.signs, make(map[Incarnation]time.Duration))
		w.seen = append(w.seen, make(map[string]int64))
		w.open = append(w.open, nil)
	}
	for i := range modelUpstreams {
		w.startedAt[fmt.Sprint("u", i)] = 100
	}
	return w
}

// entry returns an entry of a random incarnation so far, with a random revision.
func (w *incarnationModel) entry(id string) Upstream {
	startedAt := int64(rapid.IntRange(100, int(w.startedAt[id])).Draw(w.t, "start time"))
	w.latest++
	revision := w.latest
	if rapid.Bool().Draw(w.t, "old") {
		revision = uint64(rapid.IntRange(1, int(w.latest)).Draw(w.t, "revision"))
	}
	return Upstream{ID: id, StartedAt: startedAt, Service: "s", Address: id, Domain: "d1", Slots: 8, Revision: revision,
		Leaving: rapid.IntRange(0, 5).Draw(w.t, "leaving") == 0}
}

// send places a request at a box and records the incarnation that receives it.
func (w *incarnationModel) send(box int) {
	f := w.boxes[box]
	r := prompt(uint64(rapid.IntRange(1, 6).Draw(w.t, "part")))
	c, ok := f.Place(w.now, r, nil)
	if !ok {
		return
	}
	incarnation := c.Upstream.Incarnation()
	if w.sent[incarnation] == nil {
		w.sent[incarnation] = make(map[uint32]time.Duration)
	}
	w.sent[incarnation][PartKey(r.Parts[0].ID)] = w.now
	w.open[box] = append(w.open[box], openRun{f.Open(w.now, c.Upstream.ID, r), incarnation})
}

// end ends one request, or all that a box has open on an incarnation.
func (w *incarnationModel) end(box int) {
	outcome := Outcome(rapid.IntRange(0, int(ConnectionLost)).Draw(w.t, "outcome"))
	all := rapid.Bool().Draw(w.t, "all")
	if len(w.open[box]) == 0 {
		return
	}
	on, ended := w.open[box][0].incarnation, 0
	w.open[box] = slices.DeleteFunc(w.open[box], func(o openRun) bool {
		ends := o.incarnation == on && (all || ended == 0)
		if ends {
			ended++
			o.ticket.Close(w.now, outcome)
		}
		return ends
	})
	if m := w.member(box, on); m != nil && m.suspect && m.distrustUntil == w.now+maxNewsAge {
		w.signs[box][on] = w.now
	}
}

// member returns the member of a box for an incarnation, or nil if it is not listed.
func (w *incarnationModel) member(box int, l Incarnation) *member {
	if m := w.boxes[box].byID[l.ID]; m != nil && m.Incarnation() == l {
		return m
	}
	return nil
}

// report queues the news of each box for all others. Delivery is in any order, late, repeated or
// never.
func (w *incarnationModel) report() {
	for i, f := range w.boxes {
		news := f.TakePartReports()
		for j := range w.boxes {
			if i != j && len(news) > 0 {
				w.inTransit = append(w.inTransit, sentNews{j, w.now, news})
			}
		}
	}
}

// deliver delivers one queued report.
func (w *incarnationModel) deliver() {
	if len(w.inTransit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inTransit)-1).Draw(w.t, "news")
	n := w.inTransit[i]
	if rapid.Bool().Draw(w.t, "twice") {
		w.inTransit = append(w.inTransit[:i], w.inTransit[i+1:]...)
	}
	if w.now-n.at < maxNewsAge { // boxes send no older reports
		w.boxes[n.to].NotePartReports(w.now, n.parts)
	}
}

// step performs one random event.
func (w *incarnationModel) step() {
	w.report() // boxes do so ten times a second
	w.now += time.Duration(rapid.IntRange(0, longestPause).Draw(w.t, "pause")) * time.Millisecond
	box := rapid.IntRange(0, modelBoxes-1).Draw(w.t, "box")
	id := fmt.Sprint("u", rapid.IntRange(0, modelUpstreams-1).Draw(w.t, "upstream"))
	switch rapid.IntRange(0, 9).Draw(w.t, "what") {
	case 0:
		w.startedAt[id]++ // the upstream restarts and no box knows it yet
	case 1, 2:
		w.boxes[box].Put(w.now, w.entry(id))
	case 3:
		w.boxes[box].Remove(id)
	case 4, 5, 6:
		w.deliver()
	case 7:
		w.end(box)
	case 8:
		other := w.boxes[rapid.IntRange(0, modelBoxes-1).Draw(w.t, "other")]
		if other != w.boxes[box] {
			w.boxes[box].SetRemoteLoads(other.Loads())
		}
	default:
		w.send(box)
	}
}

// check verifies the state of all boxes.
func (w *incarnationModel) check() {
	for i, f := range w.boxes {
		for id, m := range f.byID {
			if m.StartedAt < w.seen[i][id] {
				w.t.Fatalf("box %d went back to incarnation %d of %s", i, m.StartedAt, id)
			}
			w.seen[i][id] = m.StartedAt
		}
		w.checkPartIndex(i, f)
		w.checkLoads(i, f)
	}
}

// checkPartIndex verifies that each part indexed for an incarnation was sent to it, and after the last
// sign of a restart.
func (w *incarnationModel) checkPartIndex(box int, f *Fleet) {
	for part, list := range f.parts.holders {
		for _, x := range list {
			incarnation := x.member.Incarnation()
			at, wasSent := w.sent[incarnation][part]
			if !f.isListed(x.member) || !wasSent {
				w.t.Fatalf("box %d: index says that %v holds part %d, which it was never sent", box, incarnation, part)
			}
			if sign, had := w.signs[box][incarnation]; had && at < sign {
				w.t.Fatalf("box %d: index says that %v holds part %d, which was sent before the sign of a restart", box, incarnation, part)
			}
		}
	}
}

// checkLoads verifies that remote load is counted only on incarnations that were sent requests.
func (w *incarnationModel) checkLoads(box int, f *Fleet) {
	for _, m := range f.byID {
		if m.remoteWork.upTo(UrgencyLevels-1).Requests > 0 && len(w.sent[m.Incarnation()]) == 0 {
			w.t.Fatalf("box %d counts remote load on %v, which was sent nothing", box, m.Incarnation())
		}
	}
}

// Over any loss, delay, repetition and disagreement between boxes, no state of an earlier
// incarnation is used once a box has its first sign of a later one, and counted work ends with
// the requests.
func TestStateOfEarlierIncarnationsIsIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newIncarnationModel(t)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			w.step()
			w.check()
		}
		for i, f := range w.boxes {
			for _, o := range w.open[i] {
				o.ticket.Close(w.now, Neutral)
			}
			if loads := f.Loads(); len(loads) > 0 {
				t.Fatalf("box %d still has loads %v after all tickets were closed", i, loads)
			}
		}
	})
}
