package group

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// testGroup returns a group of the named boxes that is sent the given loads.
func testGroup(policy sendPolicy, loads Loads, names ...string) *recipientGroup {
	a := newRecipientGroup(policy, scopeDomain)
	a.loads = func() Loads { return loads }
	a.loadAt = func(key balance.LoadKey) balance.Load { return loads[key] }
	for _, name := range names {
		a.peers = append(a.peers, &peer{box: &wire.GroupBox{Name: name, Address: name, Boot: 1}})
	}
	return a
}

// A box that is sent the complete list between two regular ones must also be sent a load that
// later returns to the value last sent to the other boxes. Comparing with that value alone would
// drop the change.
func TestNewRecipientIsSentRevertedLoad(t *testing.T) {
	is := is.New(t)
	n := nodeWithItems(3)
	key := balance.LoadKey{Upstream: 1}
	initial := balance.Load{Unread: 6400, Open: 10, Held: 128000}
	list := Loads{key: initial}
	now := 10 * time.Second
	a := testGroup(regionPolicy, list, "a")
	a.sendFullList(n, now)
	list[key] = balance.Load{Unread: 6400, Open: 30, Held: 384000}
	a.peers = testGroup(regionPolicy, list, "a", "b").peers
	a.sendFullList(n, now)
	list[key] = initial
	n.Drain()
	a.sendChanges(n, now+minFlushInterval)
	out, _ := n.Drain()
	is.Equal(len(out), 2)
	is.Equal(messageLoads(out[1].Message), Loads{key: initial})
}

// Between domains, held tokens are sent from a difference of 4,096 tokens, however many are held.
// Placement keeps a tenth of the memory free, and a relative bound would use up that reserve.
func TestHeldTokensAreSentByAbsoluteDifference(t *testing.T) {
	is := is.New(t)
	for _, policy := range []sendPolicy{regionPolicy, otherRegionPolicy} {
		a := testGroup(policy, nil)
		sent := balance.Load{Open: 32, Held: 400_000}
		is.True(a.isSignificant(sent, balance.Load{Open: 32, Held: 400_000 + 4096}))
		is.True(a.isSignificant(sent, balance.Load{Open: 32, Held: 400_000 - 4096}))
		is.True(!a.isSignificant(sent, balance.Load{Open: 32, Held: 400_000 + 4095}))
	}
}

// The message rate of a leader must not grow with its domain. A leader of 116 members sent each
// of them 33 messages of changes per second, as one of 39 members does, and each message wakes up
// a box.
func TestLeaderMessageRateIsBounded(t *testing.T) {
	is := is.New(t)
	for _, boxes := range []int{1, 39, 116, 234, 1000} {
		a := testGroup(memberPolicy, nil, slices.Repeat([]string{"a"}, boxes)...)
		perSecond := float64(boxes) * float64(time.Second) / float64(a.changesInterval())
		is.True(perSecond < memberMessageRate+1)
		is.True(a.changesInterval() == minFlushInterval || perSecond > memberMessageRate-1)
		is.Equal(a.rowLimit(), min(int(a.changesInterval()*time.Duration(a.rowsPerInterval)/minFlushInterval), maxRows)) // each message holds correspondingly more loads
	}
	is.Equal(testGroup(regionPolicy, nil, "a", "b").changesInterval(), minFlushInterval)
}
