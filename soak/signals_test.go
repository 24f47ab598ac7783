package soak

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Signals in series end a box as one SIGTERM does: in time, by itself, and with its requests answered.
func TestSignalsInSeriesStopBox(t *testing.T) {
	is := is.New(t)
	const hup, term = syscall.SIGHUP, syscall.SIGTERM
	series := [][]syscall.Signal{
		{term},
		{term, term},
		{hup, term},
		{term, hup},
		{hup, term, hup, term},
		append(slices.Repeat([]syscall.Signal{hup}, 50), term),
	}
	w := startBoxes(t, 59, len(series))
	u := &growingUpstreams{runs: make(map[string]int)}
	w.publishTimed(is, slices.Values([]string{longerPath}), u)
	answers := make(chan stopResult, len(series))
	for _, b := range w.boxes {
		for (stopCall{path: longerPath}).play(b.callers, "before-"+b.name, time.Now()).status != 200 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	u.grown.Store(true)
	for i, b := range w.boxes {
		id := "call-" + b.name
		go func() { answers <- stopCall{path: longerPath}.play(b.callers, id, time.Now()) }()
		for u.runsOf(id) == 0 {
			time.Sleep(time.Millisecond)
		}
		b.stopRequested.Store(true)
		for _, s := range series[i] {
			b.signal(s)
		}
	}
	for range series {
		a := <-answers
		is.True(a.status == 200 && a.whole)
	}
	for _, b := range w.boxes {
		<-b.ended
		b.cmd = nil
	}
	is.Equal(w.checker.violations, nil)
}
