package group

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// uncertainUntil returns the latest time until which any box expects that removed entries may
// reappear.
func (w *simulation) uncertainUntil() time.Duration {
	latest := never
	for _, b := range w.boxes {
		if !b.frozen {
			latest = max(latest, b.node.DeletionsUncertainUntil())
		}
	}
	return latest
}

// Boxes that had been frozen took the time left from messages that had waited for them, and from
// failures of their own before, and told all others: removed upstreams were used for seconds more.
func TestFrozenBoxesDoNotProlongUncertaintyAfterOutage(t *testing.T) {
	leader, member, foreign := boxName(0, 0), boxName(0, 2), boxName(1, 1)
	for _, test := range []struct {
		name   string
		freeze []string // one after the other, after the outage
		during string   // frozen from the middle of the outage on; empty: none
	}{
		{"a member", []string{member}, ""},
		{"the leader", []string{leader}, ""},
		{"a box of another domain", []string{foreign}, ""},
		{"several boxes", []string{member, leader, foreign}, ""},
		{"the leader from the outage on", []string{leader}, leader},
		{"a member from the outage on", []string{member}, member},
		{"the leader from the outage on, then others", []string{leader, member, foreign}, leader},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(10) {
				w := newSimulation(t, 20+seed)
				w.startFleet(2, 4)
				w.run(5 * time.Second)
				w.publisherDown = true
				w.run(2 * time.Second)
				if test.during != "" {
					w.boxes[test.during].frozen = true
				}
				w.run(3 * time.Second)
				w.publisherDown = false
				w.run(time.Second)
				is.True(w.uncertainUntil() > w.now) // the boxes that were not frozen have seen the outage
				latest := w.uncertainUntil()
				for _, name := range test.freeze {
					w.boxes[name].frozen = true
					w.run(1500 * time.Millisecond)
					w.boxes[name].frozen = false
					w.run(300 * time.Millisecond)
				}
				w.run(time.Second)
				is.True(w.uncertainUntil() <= latest+200*time.Millisecond) // for the time that messages take
			}
		})
	}
}
