package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// collectParts runs the simulation and counts the parts that each box drains.
func (w *simulation) collectParts(d time.Duration) map[string]map[balance.PartReport]int {
	received := make(map[string]map[balance.PartReport]int)
	for _, name := range w.names {
		received[name] = make(map[balance.PartReport]int)
	}
	for end := w.now + d; w.now < end; {
		w.run(stepsPerTick * step)
		for _, name := range w.names {
			for _, k := range w.boxes[name].node.DrainSentParts() {
				received[name][k]++
			}
		}
	}
	return received
}

// What one box announces reaches all other boxes although some datagrams are lost. It does not
// return to that box and does not circulate.
func TestPartsReachAllBoxes(t *testing.T) {
	for _, sender := range []string{boxName(0, 0), boxName(1, 3)} { // a leader and a member
		is := is.New(t)
		w := newSimulation(t, 41)
		w.startFleet(3, 4)
		w.run(4 * time.Second)
		var list []balance.PartReport
		for i := range 2000 {
			list = append(list, balance.PartReport{Part: uint32(i), Upstream: uint32(i % 9)})
		}
		w.boxes[sender].node.AnnounceSentParts(list)
		for name, received := range w.collectParts(3 * time.Second) {
			if name == sender {
				is.Equal(len(received), 0)
				continue
			}
			is.Equal(len(received), len(list))
			for _, count := range received {
				is.True(count <= 2*partsSendCount)
			}
		}
		for _, received := range w.collectParts(3 * time.Second) {
			is.Equal(len(received), 0)
		}
	}
}

func TestPendingPartsAreBounded(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 42)
	w.startFleet(1, 2)
	w.run(2 * time.Second)
	n := w.boxes[boxName(0, 1)].node
	n.AnnounceSentParts(make([]balance.PartReport, 2*maxPendingParts))
	is.Equal(len(n.pendingParts), maxPendingParts)
}

func TestLostPartsAreSentAgain(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 43)
	w.startFleet(2, 4)
	w.run(4 * time.Second)
	w.lossRate = 0.1
	const announced = 400
	for i := range announced {
		w.boxes[boxName(0, 2)].node.AnnounceSentParts([]balance.PartReport{{Part: uint32(i), Upstream: 1}})
		w.run(200 * time.Millisecond)
	}
	for name, received := range w.collectParts(time.Second) {
		if name != boxName(0, 2) {
			is.True(len(received) > announced*9/10) // three hops with 10 % loss each, each sent twice
		}
	}
}

// A leader builds one message for all its members, however many there are.
func TestLeaderBuildsOnePartsMessage(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 44)
	w.startFleet(2, 12)
	w.run(4 * time.Second)
	leader := w.boxes[boxName(0, 0)].node
	leader.AnnounceSentParts([]balance.PartReport{{Part: 1, Upstream: 2}})
	leader.Tick(w.now)
	out, _ := leader.Drain()
	receivers := make(map[*wire.GroupMessage]int)
	for _, o := range out {
		if len(o.Message.Kept) > 0 {
			receivers[o.Message]++
		}
	}
	is.Equal(len(receivers), 2) // one for the members, one for the other leader
	sent := 0
	for _, count := range receivers {
		sent += count
	}
	is.Equal(sent, 12)
}

// What a member announces is forwarded to the others but not back to it.
func TestPartsAreNotSentBack(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 45)
	w.startFleet(1, 4)
	w.run(4 * time.Second)
	w.boxes[boxName(0, 2)].node.AnnounceSentParts([]balance.PartReport{{Part: 1, Upstream: 2}})
	received := w.collectParts(time.Second)
	for _, name := range w.names {
		is.Equal(len(received[name]) == 0, name == boxName(0, 2))
	}
}

// Parts that are announced again after a while reach all boxes again, including those that
// started meanwhile.
func TestRepeatedPartsReachAllBoxes(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 46)
	w.startFleet(3, 4)
	w.run(4 * time.Second)
	sender := boxName(1, 2)
	for range 2 {
		w.boxes[sender].node.AnnounceSentParts([]balance.PartReport{{Part: 1, Upstream: 2}})
		for name, received := range w.collectParts(3 * time.Second) {
			is.Equal(len(received) == 0, name == sender)
		}
	}
}
