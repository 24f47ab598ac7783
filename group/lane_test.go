package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// setOwnLanes sets a different division as each box's own choice: it reserves as many upstreams as
// the box's index plus one.
func (w *simulation) setOwnLanes() {
	for i, name := range w.names {
		w.boxes[name].node.SetLanes(balance.LanePlan{7: {Reserved: i + 1, Tight: []uint32{uint32(i)}}})
	}
}

// reservedUpstreams returns how many upstreams the division that a box uses reserves.
func (w *simulation) reservedUpstreams(name string) int {
	n := w.boxes[name].node
	if announced := n.Lanes(w.now); announced != nil {
		return announced[7].Reserved
	}
	return n.ownLanes[7].Reserved
}

// checkAgreement checks that all running boxes of the domains use the same division, and returns
// how many upstreams it reserves.
func (w *simulation) checkAgreement(t *testing.T, domains ...int) int {
	t.Helper()
	is := is.New(t)
	want := 0
	for _, d := range domains {
		for i := range 4 {
			name := boxName(d, i)
			if w.boxes[name].dead {
				continue
			}
			if want == 0 {
				want = w.reservedUpstreams(name)
			}
			is.Equal(w.reservedUpstreams(name), want) // of a box in contact with the others
		}
	}
	return want
}

func TestAllBoxesAgreeOnLanes(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 31)
	w.startFleet(3, 4)
	w.setOwnLanes()
	w.run(4 * time.Second)
	first := w.checkAgreement(t, 0, 1, 2)

	w.cutDomains[domainName(1)] = true // each side continues with a division of its own
	w.run(3 * time.Second)
	w.checkAgreement(t, 1)
	w.checkAgreement(t, 0, 2)
	delete(w.cutDomains, domainName(1))
	w.run(3 * time.Second)
	is.Equal(w.checkAgreement(t, 0, 1, 2), first)

	for _, name := range w.names { // stop the box that decides
		if w.boxes[name].node.decidesLanes(w.now) {
			w.boxes[name].dead = true
		}
	}
	w.run(3 * time.Second)
	is.True(w.checkAgreement(t, 0, 1, 2) != first)
}

func TestBoxWithoutLeaderUsesOwnLanes(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 32)
	w.startFleet(1, 4)
	w.setOwnLanes()
	w.run(4 * time.Second)
	remaining := boxName(0, 3)
	announced := w.reservedUpstreams(remaining)
	for i := range 3 {
		w.boxes[boxName(0, i)].dead = true
	}
	w.run(3 * time.Second)
	is.True(w.reservedUpstreams(remaining) != announced)
	is.Equal(w.reservedUpstreams(remaining), 4)
}
