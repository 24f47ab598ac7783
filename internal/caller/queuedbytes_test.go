package caller

import (
	"bytes"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Large events without end filled the queue of a caller that reads slowly with many times their size.
func TestQueueOfLargeEventsIsBounded(t *testing.T) {
	const large = 60 << 10
	is := is.New(t)
	x := NewExchange(32)
	var sent atomic.Int64
	ended := make(chan error, 1)
	go func() {
		for {
			if err := x.Event(make([]byte, large)); err != nil {
				ended <- err
				return
			}
			sent.Add(large)
		}
	}()
	taken := 0
	for range 100 {
		p, ok := x.next()
		is.True(ok)
		taken += len(p.data)
		time.Sleep(time.Millisecond) // the writer fills the queue
		is.True(int(sent.Load())-taken <= maxQueued)
	}
	x.Disconnect()
	is.Equal(<-ended, ErrDisconnected)
}

// Small events fill the queue by their number, a larger one than the bound passes alone, and the end is never held up.
func TestQueueHoldsEventsOfAllSizes(t *testing.T) {
	is := is.New(t)
	x := NewExchange(4)
	for range 3 {
		is.NoErr(x.Event([]byte("small")))
	}
	x.Done()
	for range 3 {
		p, _ := x.next()
		is.Equal(p.data, []byte("small"))
	}
	p, _ := x.next()
	is.Equal(p.kind, endWhole)

	x = NewExchange(4)
	huge := bytes.Repeat([]byte("h"), 2*maxQueued)
	is.NoErr(x.Event(huge))
	x.Done()
	p, _ = x.next()
	is.Equal(len(p.data), len(huge))
	p, _ = x.next()
	is.Equal(p.kind, endWhole)
}
