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
	g := newRecipientGroup(policy, scopeDomain)
	g.loads = func() Loads { return loads }
	g.loadAt = func(key balance.LoadKey) balance.Load { return loads[key] }
	for _, name := range names {
		g.peers = append(g.peers, &peer{box: &wire.GroupBox{Name: name, Address: name, Boot: 1}})
	}
	return g
}

// A box that is sent the complete list between two regular ones must also be sent a load that
// later returns to the value last sent to the other boxes. Comparing with that value alone would
// drop the change.
func TestNewRecipientIsSentRevertedLoad(t *testing.T) {
	is := is.New(t)
	n := nodeWithItems(3)
	key := balance.LoadKey{Upstream: 1}
	initial := balance.Load{Unread: 6400, Requests: 10, MemoryTokens: 128000}
	list := Loads{key: initial}
	now := 10 * time.Second
	g := testGroup(regionPolicy, list, "a")
	g.sendFullList(n, now)
	list[key] = balance.Load{Unread: 6400, Requests: 30, MemoryTokens: 384000}
	g.peers = testGroup(regionPolicy, list, "a", "b").peers
	g.sendFullList(n, now)
	list[key] = initial
	n.Drain()
	g.sendChanges(n, now+minFlushInterval)
	out, _ := n.Drain()
	is.Equal(len(out), 2)
	is.Equal(messageLoads(out[1].Message), Loads{key: initial})
}

// Between domains, held tokens are sent from a difference of 4,096 tokens, however many are held.
// Placement keeps a tenth of the memory free, and a relative bound would use up that reserve.
func TestHeldTokensAreSentByAbsoluteDifference(t *testing.T) {
	is := is.New(t)
	for _, policy := range []sendPolicy{regionPolicy, otherRegionPolicy} {
		g := testGroup(policy, nil)
		sent := balance.Load{Requests: 32, MemoryTokens: 400_000}
		is.True(g.isSignificant(sent, balance.Load{Requests: 32, MemoryTokens: 400_000 + 4096}))
		is.True(g.isSignificant(sent, balance.Load{Requests: 32, MemoryTokens: 400_000 - 4096}))
		is.True(!g.isSignificant(sent, balance.Load{Requests: 32, MemoryTokens: 400_000 + 4095}))
	}
}

// The message rate of a leader must not grow with its domain. A leader of 116 members sent each
// of them 33 messages of changes per second, as one of 39 members does, and each message wakes up
// a box.
func TestLeaderMessageRateIsBounded(t *testing.T) {
	is := is.New(t)
	for _, boxes := range []int{1, 39, 116, 234, 1000} {
		g := testGroup(memberPolicy, nil, slices.Repeat([]string{"a"}, boxes)...)
		perSecond := float64(boxes) * float64(time.Second) / float64(g.changesInterval())
		is.True(perSecond < memberMessageRate+1)
		is.True(g.changesInterval() == minFlushInterval || perSecond > memberMessageRate-1)
		is.Equal(g.rowLimit(), min(int(g.changesInterval()*time.Duration(g.rowsPerInterval)/minFlushInterval), maxRows)) // each message holds correspondingly more loads
	}
	is.Equal(testGroup(regionPolicy, nil, "a", "b").changesInterval(), minFlushInterval)
}
