package relay

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// flakyPublisher is a publisher whose first full reads fail.
type flakyPublisher struct{ fails int }

var _ mirror.Publisher = (*flakyPublisher)(nil)

// ReadAll implements mirror.Publisher.
func (f *flakyPublisher) ReadAll(context.Context) ([]mirror.Item, uint64, error) {
	if f.fails--; f.fails >= 0 {
		return nil, 0, errors.New("a page failed")
	}
	return nil, 7, nil
}

// Changes implements mirror.Publisher.
func (f *flakyPublisher) Changes(context.Context, uint64, time.Duration) ([]mirror.Item, uint64, error) {
	return nil, 0, mirror.ErrHistoryExpired
}

// A full read that may continue a failed one is as old as the first of them.
func TestContinuedReadKeepsItsAge(t *testing.T) {
	for _, revision := range []uint64{0, 5} { // an empty mirror, and one whose changes are no longer available
		is := is.New(t)
		m := &members{relay: &Relay{startedAt: time.Now().Add(-time.Minute), cfg: Config{Publisher: &flakyPublisher{fails: 2}}}}
		m.revision.Store(revision)
		first := m.readPublisher(context.Background())
		m.readPublisher(context.Background())
		third := m.readPublisher(context.Background())
		is.True(first.err != nil)
		is.NoErr(third.err)
		is.True(third.full)
		is.Equal(third.asOf, first.asOf)
		fourth := m.readPublisher(context.Background())
		is.True(fourth.asOf > third.asOf) // it did not continue another read
	}
}

// hangingPublisher is a publisher whose full read fails some time after its data is no longer
// needed.
type hangingPublisher struct{ flakyPublisher }

// ReadAll implements mirror.Publisher.
func (h *hangingPublisher) ReadAll(ctx context.Context) ([]mirror.Item, uint64, error) {
	<-ctx.Done()
	return nil, 0, errors.New("time-out")
}

// A read that hangs, and fails after another box has sent the data, does not count as failed.
func TestHangingReadIsNotNeeded(t *testing.T) {
	is := is.New(t)
	m := &members{relay: &Relay{startedAt: time.Now(), cfg: Config{Publisher: &hangingPublisher{}}}, filled: make(chan struct{})}
	close(m.filled)
	is.Equal(m.readPublisher(context.Background()).err, mirror.ErrNotNeeded)
	ctx, end := context.WithCancel(context.Background())
	end()
	m.filled = make(chan struct{})
	is.True(!errors.Is(m.readPublisher(ctx).err, mirror.ErrNotNeeded)) // the box stops
}

// The count of failed reads outlived the outage in which they failed: the first failure of the next
// time delayed the read after it by seconds.
func TestFailuresOfEarlierOutageDelayReads(t *testing.T) {
	is := is.New(t)
	r := &Relay{startedAt: time.Now(), fleet: newEmptyFleet(), conns: newConnPool(nil), stats: newStats(),
		cfg: Config{Log: NewLog("box", io.Discard), Decode: decodeItem, Self: &wire.GroupBox{Name: "box", Domain: "d", Boot: 1}, Timing: group.DefaultTiming, Boxes: 1}}
	m, err := newMembers(r)
	is.NoErr(err)
	first := m.node.ReadBackoff(1)
	m.failures = 5
	m.shouldRead.Store(false) // another box has read since
	m.flush(context.Background())
	is.True(m.shouldRead.Load())
	result := &readResult{err: errUnavailable, applied: make(chan struct{})}
	m.applyRead(r.now(), result)
	is.Equal(result.delay, first)
	is.NoErr(r.cfg.Log.Close())
}
