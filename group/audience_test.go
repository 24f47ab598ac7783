package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// audienceOf is an audience of some boxes that are told a list.
func audienceOf(t telling, list Loads, names ...string) *audience {
	a := newAudience(t, scopeDomain)
	a.list = func() Loads { return list }
	a.value = func(key balance.LoadKey) balance.Load { return list[key] }
	for _, name := range names {
		a.peers = append(a.peers, &peer{box: &wire.GroupBox{Name: name, Address: name, Boot: 1}})
	}
	return a
}

// A box that is told all between two whole lists is told too of a load that returns to what
// the others were told.
func TestABoxThatJoinsIsToldWhatReturns(t *testing.T) {
	is := is.New(t)
	n := nodeWith(3)
	key := balance.LoadKey{Upstream: 1}
	was := balance.Load{Unread: 6400, Open: 10, Held: 128000}
	list := Loads{key: was}
	now := 10 * time.Second
	a := audienceOf(toNear, list, "a")
	a.tellWhole(n, now)
	list[key] = balance.Load{Unread: 6400, Open: 30, Held: 384000}
	a.peers = audienceOf(toNear, list, "a", "b").peers
	a.tellWhole(n, now)
	list[key] = was
	n.Drain()
	a.tellChanges(n, now+flushPause)
	out, _ := n.Drain()
	is.Equal(len(out), 2)
	is.Equal(loadsOf(out[1].Message), Loads{key: was})
}

// Between domains what is held is told from 4,096 tokens on, however much is held: placement
// leaves a tenth of the memory free, which a share would use up.
func TestWhatIsHeldIsToldWhateverItsShare(t *testing.T) {
	is := is.New(t)
	for _, tell := range []telling{toNear, toFar} {
		a := audienceOf(tell, nil)
		told := balance.Load{Open: 32, Held: 400_000}
		is.True(a.matters(told, balance.Load{Open: 32, Held: 400_000 + 4096}))
		is.True(a.matters(told, balance.Load{Open: 32, Held: 400_000 - 4096}))
		is.True(!a.matters(told, balance.Load{Open: 32, Held: 400_000 + 4095}))
	}
}
