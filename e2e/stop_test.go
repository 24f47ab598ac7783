package e2e

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/internal/ops"
)

// The platform's SIGTERM cut off what a box was still finishing after an operator had drained it.
func TestSignalAfterDrainCutsOffNothing(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 2, engines: 1, slots: 4, pace: 40 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	b := s.boxes[0]
	c := reviewCall(0)
	got := make(chan answer, 1)
	go func() { got <- send(ctx, b, c) }()
	waitFor(t, "a stream to run", func() bool { return len(s.engines[0].Counts().Starts) > 0 })
	client := ops.Dial(b.ops, opsKey)
	_, err := client.Drain(ctx)
	is.NoErr(err)
	is.NoErr(client.Close())
	b.proc.signal(syscall.SIGHUP)
	b.proc.signal(syscall.SIGTERM)
	expectComplete(t, c.prompt, <-got)
	select {
	case err := <-b.proc.done:
		b.proc.done <- err
		is.NoErr(err) // a clean exit: no request was cut off
	case <-time.After(eventTimeout):
		t.Fatal("the daemon did not exit")
	}
}
