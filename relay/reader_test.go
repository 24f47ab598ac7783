package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/mirror"
)

// flaky is a publisher whose readings of everything fail as often as the test says.
type flaky struct{ fails int }

var _ mirror.Publisher = (*flaky)(nil)

// Everything implements mirror.Publisher.
func (f *flaky) Everything(context.Context) ([]mirror.Item, uint64, error) {
	if f.fails--; f.fails >= 0 {
		return nil, 0, errors.New("a page failed")
	}
	return nil, 7, nil
}

// Changes implements mirror.Publisher.
func (f *flaky) Changes(context.Context, uint64, time.Duration) ([]mirror.Item, uint64, error) {
	return nil, 0, mirror.ErrForgotten
}

// A reading that may have gone on where one failed is as old as the first of them.
func TestAReadingIsAsOldAsTheOneItWentOnFrom(t *testing.T) {
	for _, revision := range []uint64{0, 5} { // nothing known yet, and the history forgotten
		is := is.New(t)
		m := &members{relay: &Relay{startedAt: time.Now().Add(-time.Minute), cfg: Config{Publisher: &flaky{fails: 2}}}}
		m.revision.Store(revision)
		first := m.callPublisher(context.Background())
		m.callPublisher(context.Background())
		third := m.callPublisher(context.Background())
		is.True(first.err != nil)
		is.NoErr(third.err)
		is.True(third.whole)
		is.Equal(third.known, first.known)
		fourth := m.callPublisher(context.Background())
		is.True(fourth.known > third.known) // it began by itself
	}
}

// hanging is a publisher whose page fails some time after what it would tell is known.
type hanging struct{ flaky }

// Everything implements mirror.Publisher.
func (h *hanging) Everything(ctx context.Context) ([]mirror.Item, uint64, error) {
	<-ctx.Done()
	return nil, 0, errors.New("time-out")
}

// A reading that hangs, and fails after another box has told all, is none that failed.
func TestAReadingThatHangsIsNotNeeded(t *testing.T) {
	is := is.New(t)
	m := &members{relay: &Relay{startedAt: time.Now(), cfg: Config{Publisher: &hanging{}}}, known: make(chan struct{})}
	close(m.known)
	is.Equal(m.callPublisher(context.Background()).err, mirror.ErrNotNeeded)
	ctx, end := context.WithCancel(context.Background())
	end()
	m.known = make(chan struct{})
	is.True(!errors.Is(m.callPublisher(ctx).err, mirror.ErrNotNeeded)) // the box ends
}
