package soak

// This file defines the faults, drawn from the seed: they come in series and overlap.

import (
	"context"
	"syscall"
	"time"

	"github.com/doormast/doormast/platform"
)

// fault does something to the world and returns how to undo it, or nil.
type fault struct {
	name string
	do   func(w *world) func()
}

const (
	faultGap  = 250 // ms, the mean between two faults
	faultLong = 900 // ms, the mean that one lasts
)

var faults = []fault{
	{"freeze a box", func(w *world) func() {
		b := pick(w, w.boxes)
		calm := w.fatal.hit(b)
		b.signal(syscall.SIGSTOP)
		return func() {
			b.signal(syscall.SIGCONT)
			calm()
		}
	}},
	{"kill a box", func(w *world) func() {
		b := pick(w, w.boxes)
		calm := w.fatal.hit(b)
		b.kill()
		return func() {
			w.restart(b)
			calm()
		}
	}},
	{"stop a box as planned", func(w *world) func() {
		b := pick(w, w.boxes)
		if b.cmd == nil {
			return nil
		}
		stopped, ended, calm := b.cmd, b.ended, w.fatal.hit(b)
		b.asked.Store(true)
		b.signal(syscall.SIGTERM)
		return func() {
			b.signal(syscall.SIGCONT)
			<-ended
			if b.cmd == stopped { // no other fault has started it again
				b.cmd = nil
				w.restart(b)
			}
			calm()
		}
	}},
	{"tell a box that its settings changed", func(w *world) func() {
		pick(w, w.boxes).signal(syscall.SIGHUP)
		return nil
	}},
	{"disturb an upstream's connections", func(w *world) func() { return w.disturb(pick(w, w.upstreams).gate) }},
	{"reset an upstream's connections", func(w *world) func() {
		pick(w, w.upstreams).gate.resetAll()
		return nil
	}},
	{"mute an upstream's connections for good", func(w *world) func() {
		pick(w, w.upstreams).gate.mute()
		return nil
	}},
	{"mute a box's connections to the store for good", func(w *world) func() {
		b := pick(w, w.boxes)
		calm := w.fatal.hit(b)
		w.storeGate[b.name].mute()
		calm()
		return nil
	}},
	{"disturb a box's way to the store", func(w *world) func() {
		b := pick(w, w.boxes)
		calm, open := w.fatal.hit(b), w.disturb(w.storeGate[b.name])
		return func() {
			open()
			calm()
		}
	}},
	{"silence the store for all", func(w *world) func() {
		for _, g := range w.storeGate {
			g.set(silent)
		}
		return func() {
			for _, g := range w.storeGate {
				g.set(open)
			}
		}
	}},
	{"let an upstream name a limit", nameLimit},
	{"let upstreams fail most requests", failUpstreams},
	{"let an upstream leave without the store", letLeave},
	{"let an upstream ask for pauses", letPause},
	{"forget the store's history", func(w *world) func() { w.store.DiscardHistory(); return nil }},
	{"change the document", func(w *world) func() {
		w.document.Version += 1 + uint64(w.random.IntN(3))
		if err := w.publish(); err != nil {
			w.ledger.violate("publish: %v", err)
		}
		return nil
	}},
	{"evacuate a domain", func(w *world) func() {
		d := domain(w.random.IntN(2))
		w.store.Put(platform.EvacuationItem(d, false))
		return func() { w.store.Put(platform.EvacuationItem(d, true)) }
	}},
	{"start an upstream again under its id", func(w *world) func() {
		u := pick(w, w.upstreams)
		u.crash()
		return func() {
			if err := w.startAgain(u); err != nil {
				w.ledger.violate("start an upstream again: %v", err)
			}
		}
	}},
	{"replace an upstream", func(w *world) func() {
		i := w.random.IntN(len(w.upstreams))
		old := w.upstreams[i]
		if err := w.startUpstream(i, coldFor); err != nil {
			w.ledger.violate("start an upstream: %v", err)
			return nil
		}
		w.upstreams[i] = w.upstreams[len(w.upstreams)-1]
		w.upstreams = w.upstreams[:len(w.upstreams)-1]
		w.list(old, true)
		return func() {
			w.store.Put(platform.DeletedItem(old.id))
			old.close()
		}
	}},
}

func pick[T any](w *world, list []T) T { return list[w.random.IntN(len(list))] }

func (w *world) disturb(g *gate) func() {
	m := mood(1 + w.random.IntN(len(moodNames)-1))
	w.note("  %s: %s", g.target, moodNames[m])
	g.set(m)
	return func() { g.set(open) }
}

func (w *world) restart(b *box) {
	if b.cmd != nil {
		return // another fault has started it again
	}
	if err := b.restart(); err != nil {
		w.ledger.violate("box %s does not start: %v", b.name, err)
	}
}

// undo is a fault's end that is due.
type undo struct {
	at time.Time
	do func()
}

// injectFaults injects faults for the run's time, and undoes them all.
func (w *world) injectFaults(ctx context.Context) {
	end := time.Now().Add(w.cfg.For)
	w.failMidway()
	pending := w.sayMidway()
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(time.Duration(w.random.IntN(2*faultGap)) * time.Millisecond)
		f := pick(w, faults)
		w.note("%s", f.name)
		if do := f.do(w); do != nil {
			pending = append(pending, undo{time.Now().Add(time.Duration(w.random.IntN(2*faultLong)) * time.Millisecond), do})
		}
		pending = finish(pending, time.Now())
		w.takeReturning()
	}
	finish(pending, end.Add(time.Hour))
}

// finish undoes what is due by now and returns the rest.
func finish(pending []undo, now time.Time) []undo {
	var rest []undo
	for _, u := range pending {
		if u.at.After(now) {
			rest = append(rest, u)
			continue
		}
		u.do()
	}
	return rest
}
