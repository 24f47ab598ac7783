package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// hear lets time pass and collects what each box was told, as its owner does.
func (w *world) hear(d time.Duration) map[string]map[balance.PartReport]int {
	heard := make(map[string]map[balance.PartReport]int)
	for _, name := range w.names {
		heard[name] = make(map[balance.PartReport]int)
	}
	for end := w.now + d; w.now < end; {
		w.run(tickStep * step)
		for _, name := range w.names {
			for _, k := range w.boxes[name].node.DrainSentParts() {
				heard[name][k]++
			}
		}
	}
	return heard
}

// What one box tells, all others hear, though datagrams are lost now and then; it does
// not come back, and does not go round for ever.
func TestWhatUpstreamsWereSentIsToldToAll(t *testing.T) {
	for _, teller := range []string{boxName(0, 0), boxName(1, 3)} { // a lead, and a member
		is := is.New(t)
		w := newWorld(t, 41)
		w.fleet(3, 4)
		w.run(4 * time.Second)
		var list []balance.PartReport
		for i := range 2000 {
			list = append(list, balance.PartReport{Part: uint32(i), Upstream: uint32(i % 9)})
		}
		w.boxes[teller].node.AnnounceSentParts(list)
		for name, heard := range w.hear(3 * time.Second) {
			if name == teller {
				is.Equal(len(heard), 0)
				continue
			}
			is.Equal(len(heard), len(list))
			for _, times := range heard {
				is.True(times <= 2*keptTells)
			}
		}
		for _, heard := range w.hear(3 * time.Second) {
			is.Equal(len(heard), 0)
		}
	}
}

func TestWhatWaitsToBeToldIsBounded(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 42)
	w.fleet(1, 2)
	w.run(2 * time.Second)
	n := w.boxes[boxName(0, 1)].node
	n.AnnounceSentParts(make([]balance.PartReport, 2*maxKeptWaiting))
	is.Equal(len(n.keptNews), maxKeptWaiting)
}

func TestALostTellIsMadeUpFor(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 43)
	w.fleet(2, 4)
	w.run(4 * time.Second)
	w.loss = 0.1
	const told = 400
	for i := range told {
		w.boxes[boxName(0, 2)].node.AnnounceSentParts([]balance.PartReport{{Part: uint32(i), Upstream: 1}})
		w.run(200 * time.Millisecond)
	}
	for name, heard := range w.hear(time.Second) {
		if name != boxName(0, 2) {
			is.True(len(heard) > told*9/10) // three hops of 0.1, each tried twice
		}
	}
}

// What a lead tells its members is made once, however many there are.
func TestALeadMakesOneMessageForAllItsMembers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 44)
	w.fleet(2, 12)
	w.run(4 * time.Second)
	lead := w.boxes[boxName(0, 0)].node
	lead.AnnounceSentParts([]balance.PartReport{{Part: 1, Upstream: 2}})
	lead.Tick(w.now)
	out, _ := lead.Drain()
	made := make(map[*wire.GroupMessage]int)
	for _, o := range out {
		if len(o.Message.Kept) > 0 {
			made[o.Message]++
		}
	}
	is.Equal(len(made), 2) // one for the members, one for the other lead
	sent := 0
	for _, times := range made {
		sent += times
	}
	is.Equal(sent, 12)
}

// What one member told goes to the others and not back to it.
func TestWhatAMemberToldDoesNotComeBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 45)
	w.fleet(1, 4)
	w.run(4 * time.Second)
	w.boxes[boxName(0, 2)].node.AnnounceSentParts([]balance.PartReport{{Part: 1, Upstream: 2}})
	heard := w.hear(time.Second)
	for _, name := range w.names {
		is.Equal(len(heard[name]) == 0, name == boxName(0, 2))
	}
}

// What is told again after a while reaches all boxes again, those too that have started
// meanwhile.
func TestWhatIsToldAgainLaterGoesToAll(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 46)
	w.fleet(3, 4)
	w.run(4 * time.Second)
	teller := boxName(1, 2)
	for range 2 {
		w.boxes[teller].node.AnnounceSentParts([]balance.PartReport{{Part: 1, Upstream: 2}})
		for name, heard := range w.hear(3 * time.Second) {
			is.Equal(len(heard) == 0, name == teller)
		}
	}
}
