package group

import (
	"testing"
	"time"

	"github.com/doormast/doormast/wire"
)

// shares adds up the parts of a common limit that the living boxes take for themselves.
func (w *world) shares() float64 {
	sum := 0.0
	for _, b := range w.boxes {
		if n := b.node.Divisor(); !b.dead && n > 0 {
			sum += 1 / float64(n)
		}
	}
	return sum
}

func TestABoxThatIsTheOnlyOneSharesWithNobody(t *testing.T) {
	w := newWorld(t, 72)
	w.seeds = []string{boxName(0, 0)}
	b := w.start(boxName(0, 0), domainName(0), 100, false)
	w.run(time.Second)
	if got := b.node.Divisor(); got != 1 {
		t.Fatalf("it divides by %d", got)
	}
}

// Boxes that were restarted while they were cut off counted only those they heard, and took far more than their part of
// the retry budget's slack as long as the cut lasted: what a box divided by was the count of this life alone. Found by reading,
// as the count of boxes in lines "run: not retried" fell from 78 to 47 after all boxes had been killed.
func TestBoxesThatStartAgainWithinACutShareNoMoreThanTheWhole(t *testing.T) {
	tests := []struct {
		name  string
		sever func(w *world)
		again int // so many boxes of domain 0 are started again
	}{
		{"no cut", func(*world) {}, 4},
		{"a domain", func(w *world) { w.cut[domainName(0)] = true }, 4},
		{"a lead, from other domains", func(w *world) {
			w.severs = func(a, b *wire.GroupBox) bool { return a.Name == boxName(0, 0) || b.Name == boxName(0, 0) }
		}, 1},
		{"one box, from all others", func(w *world) { w.alone[boxName(0, 0)] = true }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, 71)
			w.domains = 3
			w.fleet(3, 4)
			w.run(4 * time.Second)
			tt.sever(w)
			for i := range tt.again {
				w.start(boxName(0, i), domainName(0), uint32(100-i), false)
			}
			w.run(12 * time.Second) // longer than they have no slack
			if sum := w.shares(); sum > 1.0001 {
				t.Fatalf("the shares add up to %f", sum)
			}
		})
	}
}
