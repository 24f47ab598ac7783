package soak

// This file defines planned stops of boxes. Other faults and further stops go on while a box stops.
//
// Invariant: a box starts again only after its process has exited.

import (
	"os/exec"
	"syscall"
)

// Numbers of connections that callers hold at a time for each box.
const heldPerBox, heldPerBoxOnlyStops = 4, 32

// holders returns the number of callers that hold a connection.
func (w *harness) holders() int {
	if w.cfg.OnlyStops {
		return heldPerBoxOnlyStops * w.cfg.Boxes
	}
	return heldPerBox * w.cfg.Boxes
}

// stoppingBox is a box that was asked to stop.
type stoppingBox struct {
	box           *box
	process       *exec.Cmd
	ended         <-chan struct{}
	endDisruption func()
}

// signal sends a signal, unless another fault has ended the process.
func (s stoppingBox) signal(sig syscall.Signal) {
	if s.box.cmd == s.process {
		s.box.signal(sig)
	}
}

// stopFaults are the faults of a run with OnlyStops.
var stopFaults = []fault{
	{"stop one box", func(w *harness) func() { w.stopBoxes(1); return nil }},
	{"stop half of the boxes", func(w *harness) func() { w.stopBoxes(len(w.boxes) / 2); return nil }},
	{"ask a box again to stop", func(w *harness) func() {
		if len(w.stopping) > 0 {
			pick(w, w.stopping).signal(syscall.SIGTERM)
		}
		return nil
	}},
	{"reload a box's settings", func(w *harness) func() { pick(w, w.boxes).signal(syscall.SIGHUP); return nil }},
	{"publish a new document version", func(w *harness) func() {
		w.document.Version++
		if err := w.publish(); err != nil {
			w.checker.reportViolation("publish document: %v", err)
		}
		return nil
	}},
}

// stopBoxes stops some boxes of those that run, if at least half of all will remain.
func (w *harness) stopBoxes(count int) {
	for _, i := range w.random.Perm(len(w.boxes)) {
		if count > 0 && 2*(len(w.stopping)+1) <= len(w.boxes) && w.stopBox(w.boxes[i]) {
			count--
		}
	}
}

// stopBox asks a box to stop; false if it does not run or stops already.
func (w *harness) stopBox(b *box) bool {
	if b.cmd == nil || b.stopRequested.Load() {
		return false
	}
	w.logFault("  %s", b.name)
	w.stopping = append(w.stopping, stoppingBox{b, b.cmd, b.ended, w.fatal.beginDisruption(b)})
	b.stopRequested.Store(true)
	b.signal(syscall.SIGTERM)
	return true
}

// restartStopped starts the boxes again that have stopped.
func (w *harness) restartStopped() {
	var rest []stoppingBox
	for _, s := range w.stopping {
		select {
		case <-s.ended:
			s.restart()
		default:
			rest = append(rest, s)
		}
	}
	w.stopping = rest
}

// awaitStopped waits for the boxes that are stopping, and starts them again.
func (w *harness) awaitStopped() {
	for _, s := range w.stopping {
		<-s.ended
		s.restart()
	}
	w.stopping = nil
}

// restart starts a stopped box again, unless another fault has.
func (s stoppingBox) restart() {
	if s.box.cmd == s.process {
		s.box.cmd = nil
		s.box.harness.restartBox(s.box)
	}
	s.endDisruption()
}
