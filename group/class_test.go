package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

func classStats(class uint32, read, requests float64) balance.ClassStats {
	return balance.ClassStats{ClassKey: balance.ClassKey{Service: 7, Class: class}, Read: read, Seen: requests, Pause: 200 * time.Millisecond}
}

// knownClasses returns the classes a box has heard of, with the mean tokens read for each.
func (w *simulation) knownClasses(name string) map[uint32]int {
	tokens := make(map[uint32]int)
	for _, c := range w.boxes[name].node.Classes(w.now) {
		tokens[c.Class] = int(c.Read)
	}
	return tokens
}

// The statistics of one box, leader or member, reach all others within three heartbeats. Once the
// box reports no classes, all forget them, although leaders send each other what they know.
func TestClassesReachAllBoxesAndExpire(t *testing.T) {
	for _, sender := range []string{boxName(0, 0), boxName(1, 3)} { // a leader and a member
		t.Run(sender, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 51)
			w.startFleet(3, 4)
			w.run(4 * time.Second)
			w.boxes[sender].node.SetClasses([]balance.ClassStats{classStats(1, 600, 3), classStats(2, 3500, 1)})
			w.run(3*DefaultTiming.HeartbeatInterval + 500*time.Millisecond)
			for _, name := range w.names {
				if name == sender {
					continue
				}
				is.Equal(w.knownClasses(name), map[uint32]int{1: 600, 2: 3500})
			}
			w.boxes[sender].node.SetClasses(nil)
			w.run(3 * (classTTL + DefaultTiming.HeartbeatInterval))
			for _, name := range w.names {
				is.Equal(len(w.knownClasses(name)), 0)
			}
		})
	}
}

// A box that starts receives the statistics with its leader's first heartbeat.
func TestNewBoxReceivesClasses(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 52)
	w.startFleet(3, 4)
	w.boxes[boxName(2, 1)].node.SetClasses([]balance.ClassStats{classStats(1, 600, 3)})
	w.run(4 * time.Second)
	name := boxName(0, 3)
	w.start(name, domainName(0), w.boxes[name].self.Strength, false)
	w.run(DefaultTiming.HeartbeatInterval + 200*time.Millisecond)
	is.Equal(w.knownClasses(name), map[uint32]int{1: 600})
}

// Each box receives the same mean over all boxes, in which each request counts once.
func TestBoxesReceiveMeanOverAllBoxes(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 53)
	w.startFleet(3, 3)
	w.run(4 * time.Second)
	w.boxes[boxName(0, 1)].node.SetClasses([]balance.ClassStats{classStats(1, 600, 3)})
	w.boxes[boxName(1, 0)].node.SetClasses([]balance.ClassStats{classStats(1, 1000, 4)})
	w.boxes[boxName(1, 1)].node.SetClasses([]balance.ClassStats{classStats(1, 2000, 1)})
	w.run(3 * time.Second)
	for _, name := range w.names {
		if name == boxName(1, 0) { // a leader: its own statistics are not sent to it
			is.Equal(w.knownClasses(name), map[uint32]int{1: (3*600 + 2000) / 4})
			continue
		}
		is.Equal(w.knownClasses(name), map[uint32]int{1: (3*600 + 4*1000 + 2000) / 8})
	}
}

// The classes in a message and in a box's memory are bounded.
func TestClassesAreBounded(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 54)
	w.startFleet(1, 3)
	w.run(4 * time.Second)
	for box := range 3 {
		var many []balance.ClassStats
		for i := range 5 * maxClasses {
			many = append(many, classStats(uint32(box*1000+i), 1, 1))
		}
		w.boxes[boxName(0, box)].node.SetClasses(many)
	}
	w.run(3 * time.Second)
	for _, name := range w.names {
		is.True(len(w.knownClasses(name)) <= maxClasses)
	}
}
