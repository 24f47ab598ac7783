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
			latest = max(latest, b.node.RemovalUncertainUntil(b.self.Domain))
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

// setRefused makes the publisher refuse boxes, or serve them again.
func (w *simulation) setRefused(refused bool, names ...string) {
	for _, name := range names {
		w.refusedBoxes[name] = refused
	}
}

// Boxes whose last read had failed in an outage, and that had not read since, took the loss of the
// reader for another outage: removed upstreams were used on by all boxes.
func TestOldReadFailureIsTakenForOutageWhenReaderIsLost(t *testing.T) {
	for _, test := range []struct {
		name           string
		domains, boxes int
		down           time.Duration // of the publisher, for all boxes
		longer         time.Duration // for all boxes but the reader, from then on
	}{
		{"a box in each domain", 3, 1, 2 * time.Second, 2500 * time.Millisecond},
		{"three boxes in each domain", 3, 3, 2 * time.Second, 2500 * time.Millisecond},
		{"a long outage", 2, 2, 6 * time.Second, 3 * time.Second},
		{"an outage alone", 3, 2, 4 * time.Second, 0},
		{"no outage, boxes that cannot read", 3, 2, 0, 4 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				w := newSimulation(t, 40+seed)
				w.failureDelay = 900 * time.Millisecond
				w.startFleet(test.domains, test.boxes)
				w.run(5 * time.Second)
				w.publisherDown = test.down > 0
				if test.down > 0 {
					w.run(test.down + time.Duration(seed)*100*time.Millisecond)
				}
				w.publisherDown = false
				w.setRefused(true, w.names[1:]...)
				w.run(test.longer)
				w.setRefused(false, w.names...)
				w.run(5 * time.Second)
				is.True(w.uncertainUntil() < w.now)
				w.setRefused(true, w.names[0])
				w.run(300 * time.Millisecond)
				removed, lost := w.publish("upstream", ""), w.now
				second := w.boxes[w.names[len(w.names)-1]]
				for second.mirror.Revision() < removed && w.now < lost+3*time.Second {
					w.run(step)
				}
				second.node.HandleRead(w.now, w.now, nil, second.mirror.Revision(), false) // soon after another box
				w.run(lost + 3700*time.Millisecond - w.now)
				is.True(w.boxes[w.names[1]].mirror.Revision() >= removed) // another box has read
				is.True(w.uncertainUntil() < w.now-4*time.Second)
			}
		})
	}
}

// A domain that had been cut off from the publisher and from all others took that for an outage and
// told the others, which had read all the time: removed upstreams were used on.
func TestReturningDomainIsTakenForOutage(t *testing.T) {
	for _, cut := range []time.Duration{2500 * time.Millisecond, 4 * time.Second, 9 * time.Second, 20 * time.Second} {
		t.Run(cut.String(), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				w := newSimulation(t, 60+seed)
				w.startFleet(3, 2)
				w.run(5 * time.Second)
				domain := 1 + int(seed%2)
				names := []string{boxName(domain, 0), boxName(domain, 1)}
				w.cutDomains[domainName(domain)] = true
				w.setRefused(true, names...)
				w.run(cut + time.Duration(seed)*50*time.Millisecond)
				clear(w.cutDomains)
				w.setRefused(false, names...)
				for range 30 {
					w.run(100 * time.Millisecond)
					for _, name := range w.names {
						if w.boxes[name].self.Domain != domainName(domain) {
							is.True(w.boxes[name].node.RemovalUncertainUntil(domainName(domain)) < w.now) // it has read all the time
						}
					}
				}
				for _, name := range names {
					is.True(w.boxes[name].node.RemovalUncertainUntil("") < w.now-1500*time.Millisecond) // it has heard the others
				}
			}
		})
	}
}

// Entries that lapse in an outage of the publisher come back after it: every box has to keep them
// meanwhile, whichever boxes read before and after.
func TestEntriesThatLapseInOutageAreDropped(t *testing.T) {
	lost := boxName(0, 0) // the reader
	for _, test := range []struct {
		name    string
		trouble func(w *simulation)
	}{
		{"all boxes run", func(*simulation) {}},
		{"the reader ends", func(w *simulation) { w.boxes[lost].dead = true }},
		{"the reader freezes", func(w *simulation) { w.boxes[lost].frozen = true }},
		{"the reader's domain is cut off", func(w *simulation) { w.cutDomains[domainName(0)] = true }},
		{"the reader cannot read for longer", func(w *simulation) { w.setRefused(true, lost) }},
		{"messages are lost", func(w *simulation) { w.lossRate = 0.1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				w := newSimulation(t, 80+seed)
				w.failureDelay = 900 * time.Millisecond
				w.startFleet(3, 3)
				w.run(5 * time.Second)
				w.publisherDown = true
				w.run(time.Second)
				test.trouble(w)
				w.run(2*time.Second + time.Duration(seed)*200*time.Millisecond)
				w.publisherDown = false
				back := w.now
				for w.boxes[boxName(1, 0)].node.ConfirmedAt() < back || w.boxes[boxName(2, 0)].node.ConfirmedAt() < back {
					w.run(step)
				}
				w.run(time.Second)
				for _, name := range w.names {
					if b := w.boxes[name]; !b.dead && !b.frozen {
						is.True(b.node.RemovalUncertainUntil("") >= back+2*time.Second)
					}
				}
			}
		})
	}
}

// A failed read that became known after the outage in which it began was taken for a failure in the
// next time without a read.
func TestFailedReadCountsForItsOwnGap(t *testing.T) {
	type event struct {
		at      int       // ms
		covered *coverage // told by another box; nil: a read of this box failed
	}
	told := func(at int, c coverage) event { return event{at, &c} }
	failed := func(at int) event { return event{at, nil} }
	for _, test := range []struct {
		name      string
		events    []event
		readAt    int // ms, of this box
		uncertain bool
	}{
		{"in an outage", []event{told(4000, at(1000, 4000)), failed(6000)}, 9000, true},
		{"in an outage, another box reads first", []event{told(4000, at(1000, 4000)), failed(6000), told(8800, at(8700, 8700))}, 9000, true},
		{"in an outage, others read long before", []event{told(4000, at(1000, 4000)), failed(6000), told(7500, at(7000, 7400))}, 9000, false},
		{"others read all the time", []event{told(4000, at(1000, 4000)), failed(6000), told(8800, at(1000, 8600))}, 9000, false},
		{"known after the outage", []event{told(4000, at(1000, 4000)), failed(7700), told(7900, afterOutage(7400, 7800, 3400)), told(12000, at(7400, 12000))}, 14000, false},
		{"long before a gap", []event{failed(2000), told(4000, at(1000, 4000)), told(12000, at(4000, 12000))}, 14000, false},
		{"long before a gap that another box ended", []event{failed(2000), told(4000, at(1000, 4000)), told(12000, at(4000, 12000)), told(13900, at(13800, 13800))}, 14000, false},
		{"none", []event{told(4000, at(1000, 4000))}, 9000, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 1)
			n := w.start("box", "domain0", 1, false).node
			events := test.events
			for at := 0; at <= test.readAt; at += 100 {
				n.Tick(ms(at))
				for ; len(events) > 0 && events[0].at <= at; events = events[1:] {
					if c := events[0].covered; c != nil {
						n.fleetAnswers.add(*c)
					} else {
						n.ReadFailed(ms(at))
					}
				}
			}
			n.HandleRead(ms(test.readAt), ms(test.readAt), nil, 0, false)
			is.Equal(n.RemovalUncertainUntil("") > ms(test.readAt), test.uncertain)
		})
	}
}

// The upstreams of a domain that is cut off cannot renew their entries, which lapse. Its boxes dropped them
// when they were back, though they were reachable all the time.
func TestEntriesThatLapseWhileDomainIsCutOffAreDropped(t *testing.T) {
	for _, cut := range []time.Duration{5 * time.Second, 9 * time.Second, 20 * time.Second} {
		t.Run(cut.String(), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				w := newSimulation(t, 60+seed)
				w.failureDelay = 900 * time.Millisecond
				w.startFleet(3, 2)
				w.run(5 * time.Second)
				own := domainName(int(seed) % 3)
				names := []string{boxName(int(seed)%3, 0), boxName(int(seed)%3, 1)}
				w.cutDomains[own] = true
				w.setRefused(true, names...)
				w.run(cut + time.Duration(seed)*50*time.Millisecond)
				clear(w.cutDomains)
				w.setRefused(false, names...)
				back := w.now
				for w.boxes[names[0]].node.ConfirmedAt() < back || w.boxes[names[1]].node.ConfirmedAt() < back {
					w.run(step)
				}
				for _, name := range names {
					is.True(w.boxes[name].node.RemovalUncertainUntil(own) >= back+2*time.Second)
				}
				w.run(time.Second)
				for _, name := range w.names {
					n := w.boxes[name].node
					is.Equal(n.RemovalUncertainUntil(own) >= back+2*time.Second, w.boxes[name].self.Domain == own)
					is.True(n.RemovalUncertainUntil("") < w.now)
				}
				w.run(2 * time.Second)
				is.True(w.uncertainUntil() < w.now)
			}
		})
	}
}

// A box that was cut off alone, or that was frozen, took that for a cut of its domain.
func TestCutOfOneBoxIsTakenForThatOfItsDomain(t *testing.T) {
	for _, test := range []struct {
		name   string
		box    string
		frozen bool
	}{
		{"the reader", boxName(0, 0), false},
		{"a leader", boxName(1, 0), false},
		{"a member", boxName(2, 1), false},
		{"the reader, frozen", boxName(0, 0), true},
		{"a member, frozen", boxName(2, 1), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				w := newSimulation(t, 60+seed)
				w.failureDelay = 900 * time.Millisecond
				w.startFleet(3, 3)
				w.run(5 * time.Second)
				w.isolated[test.box], w.boxes[test.box].frozen = !test.frozen, test.frozen
				w.setRefused(true, test.box)
				w.run(6*time.Second + time.Duration(seed)*50*time.Millisecond)
				w.isolated[test.box], w.boxes[test.box].frozen = false, false
				w.setRefused(false, test.box)
				for range 30 {
					w.run(100 * time.Millisecond)
					for _, name := range w.names {
						b := w.boxes[name]
						is.True(name == test.box || b.node.RemovalUncertainUntil(b.self.Domain) < w.now) // it has heard of answers all the time
					}
				}
				is.True(w.uncertainUntil() < w.now-1500*time.Millisecond)
			}
		})
	}
}
