package soak

// This file defines the faults and their schedule, which the seed determines. Faults start one after another and may overlap.

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/doormast/doormast/platform"
	"github.com/doormast/doormast/platform/standin"
)

// fault is a named fault; inject applies it and returns the function that undoes it, or nil.
type fault struct {
	name   string
	inject func(w *harness) func()
}

const (
	meanFaultGapMs = 250 // mean time between the starts of two faults
	meanFaultMs    = 900 // mean duration of a fault
)

var faults = append([]fault{
	{"freeze a box", func(w *harness) func() {
		b := pick(w, w.boxes)
		endDisruption := w.fatal.beginDisruption(b)
		b.signal(syscall.SIGSTOP)
		return func() {
			b.signal(syscall.SIGCONT)
			endDisruption()
		}
	}},
	{"kill a box", func(w *harness) func() {
		b := pick(w, w.boxes)
		endDisruption := w.fatal.beginDisruption(b)
		b.kill()
		return func() {
			w.restartBox(b)
			endDisruption()
		}
	}},
	{"shut a box down gracefully", func(w *harness) func() {
		w.stopBox(pick(w, w.boxes))
		return nil
	}},
	{"reload a box's settings", func(w *harness) func() {
		pick(w, w.boxes).signal(syscall.SIGHUP)
		return nil
	}},
	{"disrupt an upstream's connections", func(w *harness) func() { return w.setRandomMode(pick(w, w.upstreams).proxy) }},
	{"reset an upstream's connections", func(w *harness) func() {
		pick(w, w.upstreams).proxy.resetAll()
		return nil
	}},
	{"permanently mute an upstream's connections", func(w *harness) func() {
		pick(w, w.upstreams).proxy.mute()
		return nil
	}},
	{"permanently mute a box's connections to the store", func(w *harness) func() {
		b := pick(w, w.boxes)
		endDisruption := w.fatal.beginDisruption(b)
		w.storeProxies[b.name].mute()
		endDisruption()
		return nil
	}},
	{"disrupt a box's connections to the store", func(w *harness) func() {
		b := pick(w, w.boxes)
		endDisruption, reopen := w.fatal.beginDisruption(b), w.setRandomMode(w.storeProxies[b.name])
		return func() {
			reopen()
			endDisruption()
		}
	}},
	{"block all connections to the store", func(w *harness) func() {
		for _, p := range w.storeProxies {
			p.set(modeSilent)
		}
		return func() {
			for _, p := range w.storeProxies {
				p.set(modeOpen)
			}
		}
	}},
	{"advertise a limit from an upstream", announceLimit},
	{"refuse most requests at all upstreams", failUpstreams},
	{"announce in responses only that an upstream is leaving", announceLeaving},
	{"request pauses from an upstream", requestPauses},
	{"discard the store's history", func(w *harness) func() { w.store.DiscardHistory(); return nil }},
	{"publish an odd entry", func(w *harness) func() {
		w.store.PutOdd("odd0", w.random.IntN(standin.OddEntries))
		return nil
	}},
	{"publish a new document version", func(w *harness) func() {
		w.document.Version += 1 + uint64(w.random.IntN(3))
		if err := w.publish(); err != nil {
			w.checker.reportViolation("publish document: %v", err)
		}
		return nil
	}},
	{"evacuate a domain", func(w *harness) func() {
		d := domain(w.random.IntN(2))
		w.setEvacuated(d, true)
		w.store.Put(platform.EvacuationItem(d, false))
		return func() {
			w.store.Put(platform.EvacuationItem(d, true))
			w.setEvacuated(d, false)
		}
	}},
	{"replace an upstream", func(w *harness) func() {
		i := w.random.IntN(len(w.upstreams))
		old := w.upstreams[i]
		if err := w.startUpstream(i, coldFor); err != nil {
			w.checker.reportViolation("start replacement upstream: %v", err)
			return nil
		}
		w.upstreams[i] = w.upstreams[len(w.upstreams)-1]
		w.upstreams = w.upstreams[:len(w.upstreams)-1]
		old.stopped.Store(true)
		w.publishUpstream(old, true)
		return func() {
			w.store.Put(platform.DeletedItem(old.id))
			old.close()
		}
	}},
}, endFaults...)

// setEvacuated records whether a domain is evacuated.
func (w *harness) setEvacuated(domain string, evacuated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated[domain] = evacuated
}

// killFaults are the faults of a run with OnlyKills.
var killFaults = []fault{
	{"kill one box", func(w *harness) func() { return w.killBoxes(1) }},
	{"kill half of the boxes", func(w *harness) func() { return w.killBoxes(len(w.boxes) / 2) }},
}

// killBoxes kills some boxes at once; the returned function starts them again.
func (w *harness) killBoxes(count int) func() {
	var killed []*box
	for _, i := range w.random.Perm(len(w.boxes))[:count] {
		b := w.boxes[i]
		endDisruption := w.fatal.beginDisruption(b)
		b.kill()
		endDisruption()
		killed = append(killed, b)
	}
	return func() {
		for _, b := range killed {
			endDisruption := w.fatal.beginDisruption(b)
			w.restartBox(b)
			endDisruption()
		}
	}
}

func pick[T any](w *harness, list []T) T { return list[w.random.IntN(len(list))] }

// setRandomMode puts a proxy into a random mode other than modeOpen; the returned function reopens it.
func (w *harness) setRandomMode(p *proxy) func() {
	m := proxyMode(1 + w.random.IntN(len(modeNames)-1))
	w.logFault("  %s: %s", p.target, modeNames[m])
	p.set(m)
	return func() { p.set(modeOpen) }
}

func (w *harness) restartBox(b *box) {
	if b.cmd != nil {
		return // another fault has already restarted the box
	}
	if err := b.restart(); err != nil {
		w.checker.reportViolation("restart box %s: %v", b.name, err)
	}
}

// pendingUndo is an action that is due at a time, usually the undoing of a fault.
type pendingUndo struct {
	at time.Time
	do func()
}

// injectFaults injects faults for the duration of the run, then undoes those that remain.
func (w *harness) injectFaults(ctx context.Context) {
	end := time.Now().Add(w.cfg.Duration)
	if w.cfg.OnlyFatal {
		for time.Now().Before(end) && ctx.Err() == nil {
			time.Sleep(meanFaultGapMs * time.Millisecond)
			w.startReplacements()
		}
		return
	}
	if !w.isSelective() {
		w.scheduleFailures()
	}
	if w.cfg.OnlyFailures {
		sleepUntil(ctx, end)
		return
	}
	var pending []pendingUndo
	if !w.isSelective() {
		pending = w.scheduleNotices()
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(time.Duration(w.random.IntN(2*meanFaultGapMs)) * time.Millisecond)
		f := pick(w, w.faultKinds())
		w.logFault("%s", f.name)
		if do := f.inject(w); do != nil {
			pending = append(pending, pendingUndo{time.Now().Add(time.Duration(w.random.IntN(2*meanFaultMs)) * time.Millisecond), do})
		}
		pending = runDue(pending, time.Now())
		w.startReplacements()
		w.restartStopped()
	}
	runDue(pending, end.Add(time.Hour))
	w.awaitStopped()
}

// faultKinds are the faults of this run.
func (w *harness) faultKinds() []fault {
	switch {
	case w.cfg.OnlyKills:
		return killFaults
	case w.cfg.OnlyStops:
		return stopFaults
	case w.cfg.OnlyEnds:
		return slices.Concat(endFaults, killFaults[:1], stopFaults[:1])
	}
	return faults
}

// sleepUntil waits until a time or until ctx is done.
func sleepUntil(ctx context.Context, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	<-ctx.Done()
}

// runDue runs the actions that are due by now and returns the rest.
func runDue(pending []pendingUndo, now time.Time) []pendingUndo {
	var rest []pendingUndo
	for _, u := range pending {
		if u.at.After(now) {
			rest = append(rest, u)
			continue
		}
		u.do()
	}
	return rest
}
