package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// A box that started anew sent requests to an upstream whose limit had been reached before it knew that
// there was one.
func TestBoxThatStartedAnewSentBeforeItKnewLimits(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		d := idleReplay(t, seed)
		d.sendBefore("b1", "u0", 70)
		d.upstreams[0].limit = 2
		d.respond("b1", "u0", 2)
		d.advance(500 * time.Millisecond)
		d.restart("b3", 100*time.Millisecond) // of the upstream's own domain
		startedAt := d.sim.now
		d.arriveAt, d.cfg.perSecond, d.nextArrival = []string{"b3"}, 200, startedAt
		d.advance(time.Second)
		is.Equal(d.upstreams[0].receivedSince(startedAt), 0)
		is.Equal(d.refused, [balance.UrgencyLevels]int{})
		is.True(len(d.waitingRequests) == 0)
		is.True(d.upstreams[1].receivedSince(startedAt) >= 190)
	}
}

// A box lacks entries only while it has started anew beside others, and for a bounded time.
func TestLacksEntries(t *testing.T) {
	for _, test := range []struct {
		name       string
		first      bool
		seeds      []string
		lossRate   float64
		lacks      bool // at its start
		lacksLater bool // after four messages
	}{
		{"the first start of all", true, []string{"b0"}, 0, false, false},
		{"the only box", false, nil, 0, false, false},
		{"its own seed", false, []string{"b4"}, 0, false, false},
		{"others run", false, []string{"b0", "b1", "b2"}, 0, true, false},
		{"nobody answers", false, []string{"b0", "b1", "b2"}, 1, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				d := idleReplay(t, seed)
				d.respond("b0", "u0", 2)
				d.advance(time.Second)
				d.sim.seeds, d.sim.lossRate = test.seeds, test.lossRate
				n := d.sim.start("b4", "d1", 2, test.first).node
				is.Equal(n.LacksEntries(d.sim.now), test.lacks)
				d.advance(100 * time.Millisecond)
				is.Equal(n.LacksEntries(d.sim.now), test.lacksLater)
				d.advance(maxEntriesWait)
				is.True(!n.LacksEntries(d.sim.now))
			}
		})
	}
}
