package account

import (
	"testing"

	"github.com/matryer/is"
)

// Large answers take no more than the limit, open-ended ones no more than their part of it, and small ones are held in any case.
func TestAnswersAreHeldWithinLimit(t *testing.T) {
	is := is.New(t)
	a := New(10 * FreeAnswer)
	ctx := t.Context()
	first, second, stated, small := a.Answer(true), a.Answer(true), a.Answer(false), a.Answer(true)
	is.True(first.Hold(ctx, FreeAnswer))
	is.Equal(a.Used(), int64(0))
	is.True(first.Hold(ctx, 3*FreeAnswer))
	is.True(first.Hold(ctx, 5*FreeAnswer))
	is.Equal(a.Used(), int64(5*FreeAnswer))
	is.True(!second.Hold(ctx, 2*FreeAnswer))
	is.True(stated.Hold(ctx, 5*FreeAnswer))
	is.True(!stated.Hold(ctx, 6*FreeAnswer))
	is.True(small.Hold(ctx, FreeAnswer))
	first.Shrink(FreeAnswer)
	stated.Close()
	is.True(second.Hold(ctx, 2*FreeAnswer))
	first.Close()
	second.Close()
	is.Equal(a.Used(), int64(0))
}

// An answer that waits for memory gets what another one releases.
func TestAnswerWaitsForMemory(t *testing.T) {
	is := is.New(t)
	a := New(4 * FreeAnswer)
	first, second := a.Answer(true), a.Answer(true)
	is.True(first.Hold(t.Context(), 2*FreeAnswer))
	held := make(chan bool, 1)
	go func() { held <- second.Hold(t.Context(), 2*FreeAnswer) }()
	for isWaiting := false; !isWaiting; {
		a.mu.Lock()
		isWaiting = a.freed != nil
		a.mu.Unlock()
	}
	first.Close()
	is.True(<-held)
}
