package relay

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// cutBox is a box with paths of its own to all upstreams, and what its callers observe.
type cutBox struct {
	*testBox
	paths paths
	isCut atomic.Bool
	since atomic.Int64 // when that last changed, Unix ns
}

func (b *cutBox) setCut(isCut bool) {
	b.since.Store(time.Now().UnixNano())
	b.isCut.Store(isCut)
	if isCut {
		b.paths.cut()
	} else {
		b.paths.restore()
	}
	b.since.Store(time.Now().UnixNano())
}

// startCutBoxes starts boxes of two domains, each with paths of its own to the stubs.
func startCutBoxes(t *testing.T, count int, off balance.Off, stubs ...*stub) []*cutBox {
	t.Helper()
	var boxes []*cutBox
	var self *wire.GroupBox
	for i := range count {
		b := &cutBox{paths: newPaths(t, stubs...)}
		change := func(c *Config) {
			if i > 0 {
				c.Publisher = boxes[0].publisher
				joinGroup(t, c, fmt.Sprint("box", i), self.Address)
			} else {
				joinGroup(t, c, "box0")
				self = c.Self
			}
			c.Decode, c.Disabled = b.paths.decode, off
			c.Domain = fmt.Sprint("d", i%2)
			c.Self.Domain = c.Domain
		}
		if i == 0 {
			b.testBox = newTestBoxWithConfig(t, change, stubs...)
		} else {
			b.testBox = newTestBoxWithConfig(t, change)
			b.publisher = boxes[0].publisher
		}
		boxes = append(boxes, b)
	}
	for _, b := range boxes {
		b.waitFor(func() bool {
			return b.relay.boxes() == count && b.upstreamCount() == len(stubs) && b.relay.tunnels.havePeers()
		})
	}
	return boxes
}

// share counts requests and those of them that were answered.
type share struct{ tried, answered atomic.Int64 }

// settleTime is how long after a change of a box's paths its requests are not counted.
const settleTime = time.Second

// call sends requests to a box until done is set. It counts those that begin later than settleTime after the
// last change of the box's paths, and end before the next one.
func (b *cutBox) call(done *atomic.Bool, cut, sound *share) {
	for i := 0; !done.Load(); i++ {
		isCut, since, sent := b.isCut.Load(), b.since.Load(), time.Now()
		got := b.do(b.request(http.MethodPost, "/once/x", "x", "X-Left", "1000"))
		time.Sleep(20 * time.Millisecond)
		if b.since.Load() != since || sent.UnixNano()-since < int64(settleTime) {
			continue
		}
		counted := sound
		if isCut {
			counted = cut
		}
		counted.tried.Add(1)
		if got.status == http.StatusOK {
			counted.answered.Add(1)
		}
	}
}

// cutInSeries cuts some of the boxes, at most two thirds, while others still are cut.
func cutInSeries(boxes []*cutBox, random *rand.Rand, rounds int) {
	for range rounds {
		var changes sync.WaitGroup
		order := random.Perm(len(boxes))
		most := len(boxes) * 2 / 3
		for i, n := range order {
			wantCut := i < most && random.IntN(4) > 0
			if b := boxes[n]; b.isCut.Load() != wantCut {
				changes.Go(func() { b.setCut(wantCut) })
			}
		}
		changes.Wait()
		time.Sleep(2*settleTime + time.Duration(random.IntN(500))*time.Millisecond)
	}
}

// playCuts plays cuts in series and returns what callers observe at boxes without paths, and at others.
func playCuts(t *testing.T, seed uint64, off balance.Off) (cut, sound *share) {
	t.Helper()
	var stubs []*stub
	for _, id := range []string{"u", "v", "w"} {
		stubs = append(stubs, newStub(t, id, respondOK(id)))
	}
	boxes := startCutBoxes(t, 6, off, stubs...)
	cut, sound = new(share), new(share)
	var done atomic.Bool
	var callers sync.WaitGroup
	for _, b := range boxes {
		callers.Go(func() { b.call(&done, cut, sound) })
	}
	cutInSeries(boxes, rand.New(rand.NewPCG(seed, 0)), 4)
	done.Store(true)
	callers.Wait()
	t.Logf("seed %d: %d of %d answered without paths, %d of %d with", seed, cut.answered.Load(), cut.tried.Load(), sound.answered.Load(), sound.tried.Load())
	return cut, sound
}

// servedAlike reports whether callers of boxes without paths are served at least half as often as others.
func servedAlike(cut, sound *share) bool {
	return 2*cut.answered.Load()*sound.tried.Load() >= sound.answered.Load()*cut.tried.Load()
}

// Boxes lose their paths again and again, alone and together, while others still are without.
func TestCallersAreServedWhileBoxesLosePathsInSeries(t *testing.T) {
	is := is.New(t)
	cut, sound := playCuts(t, 1, nil)
	is.True(cut.tried.Load() > 0 && sound.answered.Load() > 0)
	is.True(servedAlike(cut, sound))
}

// Boxes that connect through no other box break what the test above checks.
func TestCallersAreServedFarWorseWithoutTunnels(t *testing.T) {
	is := is.New(t)
	cut, sound := playCuts(t, 1, balance.Off{balance.Tunnels: true})
	is.True(cut.tried.Load() > 0 && sound.answered.Load() > 0)
	is.True(!servedAlike(cut, sound))
}
