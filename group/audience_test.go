package group

import (
	"slices"
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

// A lead of 116 members sent each 33 messages of changes a second, as that of 39 does: twice the boxes of a domain, twice
// the messages of its lead, and all of them wake-ups.
func TestALeadSendsSoManyMessagesHoweverManyListen(t *testing.T) {
	is := is.New(t)
	for _, boxes := range []int{1, 39, 116, 234, 1000} {
		a := audienceOf(toMembers, nil, slices.Repeat([]string{"a"}, boxes)...)
		perSecond := float64(boxes) * float64(time.Second) / float64(a.leastPause())
		is.True(perSecond < sendsToMembers+1)
		is.True(a.leastPause() == flushPause || perSecond > sendsToMembers-1)
		is.Equal(a.mostRows(), min(int(a.leastPause()*time.Duration(a.rows)/flushPause), rowsAtOnce)) // and each tells as much a second
	}
	is.Equal(audienceOf(toNear, nil, "a", "b").leastPause(), flushPause)
}
