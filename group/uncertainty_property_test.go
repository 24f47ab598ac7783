package group

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// contactTime is how long a box and the publisher must have been undisturbed before entries that go are
// to be dropped at once.
const contactTime = 3 * time.Second

// disturbances drives boxes of a simulation through troubles, and keeps when each had its last one.
type disturbances struct {
	*simulation
	lastOf      map[string]time.Duration // by box
	lastOutage  time.Duration
	uncertainAt string // a box that was uncertain without a trouble of its own; empty: none
}

func newDisturbances(seed uint64) *disturbances {
	d := &disturbances{simulation: newSimulation(&testing.T{}, seed), lastOf: make(map[string]time.Duration)}
	d.failureDelay = 900 * time.Millisecond
	d.startFleet(3, 3)
	d.simulation.run(5 * time.Second)
	return d
}

// run advances the simulation and checks all boxes that are undisturbed.
func (d *disturbances) run(duration time.Duration) {
	for end := d.now + duration; d.now < end && d.uncertainAt == ""; {
		if d.publisherDown {
			d.lastOutage = d.now
		}
		for _, name := range d.names {
			b := d.boxes[name]
			if b.dead || b.frozen || d.isolated[name] || d.refusedBoxes[name] || d.cutDomains[b.self.Domain] {
				d.lastOf[name] = d.now
			}
		}
		d.simulation.run(100 * time.Millisecond)
		for _, name := range d.names {
			b := d.boxes[name]
			isUndisturbed := d.now-d.lastOutage > contactTime && d.now-d.lastOf[name] > contactTime
			if isUndisturbed && b.node.RemovalUncertainUntil(b.self.Domain) > d.now {
				d.uncertainAt = name
			}
		}
	}
}

// disturb applies a trouble to a box, to its domain or to all.
func (d *disturbances) disturb(action string, b *testBox) {
	switch name := b.self.Name; action {
	case "stop":
		b.dead = true
	case "start":
		d.start(name, b.self.Domain, b.self.Strength, false)
		d.lastOf[name] = d.now
	case "freeze":
		b.frozen = true
	case "isolate":
		d.isolated[name] = true
		d.refusedBoxes[name] = true
	case "refuse":
		d.refusedBoxes[name] = true
	case "cut domain":
		d.cutDomains[b.self.Domain] = true
		for other, o := range d.boxes {
			if o.self.Domain == b.self.Domain {
				d.refusedBoxes[other] = true
			}
		}
	case "down":
		d.publisherDown = true
	case "up":
		d.publisherDown = false
	case "heal":
		d.publisherDown = false
		clear(d.cutDomains)
		clear(d.isolated)
		clear(d.refusedBoxes)
		for _, o := range d.boxes {
			o.frozen = false
		}
	}
}

// Whatever happened before, a box that was undisturbed for a while drops entries that go at once: no
// box keeps, spreads or prolongs a wrong conclusion.
func TestUndisturbedBoxIsUncertainAboutRemovals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDisturbances(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(3, 20).Draw(t, "steps") {
			b := d.boxes[rapid.SampledFrom(d.names).Draw(t, "box")]
			d.disturb(rapid.SampledFrom([]string{"stop", "start", "freeze", "isolate", "refuse", "refuse", "cut domain", "down", "up", "heal", "heal"}).Draw(t, "action"), b)
			d.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
		}
		if d.uncertainAt != "" {
			t.Fatalf("at %v %s is uncertain: %+v", d.now, d.uncertainAt, d.boxes[d.uncertainAt].node.Uncertainties())
		}
	})
}

// Whatever happened before, each box keeps what lapses in an outage of the publisher until it may have
// come back.
func TestEntriesThatLapseInLaterOutageAreDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDisturbances(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(0, 8).Draw(t, "steps") {
			b := d.boxes[rapid.SampledFrom(d.names).Draw(t, "box")]
			d.disturb(rapid.SampledFrom([]string{"stop", "start", "freeze", "isolate", "refuse", "cut domain", "heal"}).Draw(t, "action"), b)
			d.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
		}
		d.disturb("heal", d.boxes[d.names[0]])
		d.run(time.Duration(rapid.IntRange(3000, 6000).Draw(t, "calm ms")) * time.Millisecond)
		d.publisherDown = true
		d.run(time.Duration(rapid.IntRange(3000, 9000).Draw(t, "outage ms")) * time.Millisecond)
		d.publisherDown = false
		back := d.now
		for d.now < back+2*time.Second {
			d.simulation.run(step)
			for _, name := range d.names {
				b := d.boxes[name]
				hasData := b.mirror.Revision() > 0 && b.node.ConfirmedAt() >= back
				if !b.dead && hasData && b.node.RemovalUncertainUntil("") < back+2*time.Second {
					t.Fatalf("%v after the outage %s is certain: %+v", d.now-back, name, b.node.Uncertainties())
				}
			}
		}
	})
}
