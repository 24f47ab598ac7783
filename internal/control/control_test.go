package control

import (
	"context"
	"flag"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/timeline"
)

// A fixed seed makes failures of the property tests reproducible.
func init() { _ = flag.Set("rapid.seed", "20261202") }

var key = []byte("a key for the tests")

func codec(name string, boot uint64, key []byte) *Codec {
	return NewCodec(name, boot, key, func() timeline.Stamp { return timeline.Stamp{Wall: 5, Logical: 6} })
}

// messages returns one message of each kind, with every field set.
func messages() []cell.Message {
	return []cell.Message{
		&cell.Heartbeat{Counter: 1, Table: 2, Digest: 3, Roster: 4, Leaving: true, PlatformUnreachable: true, Probe: true, Joining: true, Announce: true, Full: true, Withheld: 9,
			Sightings: []cell.Sighting{{Box: "x", Boot: 1, Counter: 2, Roster: 3, Leaving: true, State: 2}}},
		&cell.Bid{Set: "s", Bid: decide.Bid{ID: 1, Class: "c", Customer: "u", Waited: time.Second, Remaining: time.Minute, Work: 7, Prefix: 8, FromOtherDomain: true, Resume: "e", Attempt: 3}},
		&cell.Withdraw{Set: "s", ID: 1},
		&cell.Ends{All: true, Suspects: []balance.Suspect{{Content: 1, Ended: []uint32{2, 3}, Round: 4, Age: time.Second}}},
		&cell.Grant{Set: "s", ID: 1, Upstream: "e", StartBy: time.Second, KeepFor: time.Second, Attempt: 3},
		&cell.Recall{Set: "s"},
		&cell.Refusal{Set: "s", ID: 1, Reason: decide.Late, RetryAfter: time.Second, LowerWaiting: 1, LowerRunning: 2, Redirect: "b"},
		&cell.Preempt{Set: "s", ID: 1},
		&cell.Release{Set: "s", ID: 1, Upstream: "e", Tokens: 3, Outcome: decide.Failed, TimePerToken: time.Millisecond, TimeToFirstToken: time.Millisecond, Attempt: 3},
		&cell.Holding{Set: "s", Count: 1, Digest: 2, WaitingCount: 3, WaitingDigest: 4, Full: true, Waiting: []uint64{9},
			Held: []decide.HeldLease{{ID: 1, Upstream: "e", Class: "c", Customer: "u", Work: 2, Attempt: 3}}},
		&cell.HoldingAsk{Set: "s"},
		&cell.Claim{Key: "k", ID: 1, GiveBack: true},
		&cell.ClaimReply{Key: "k", ID: 1, Verdict: decide.ClaimDuplicate},
		&cell.Ask{Limit: "l", Want: 1.5},
		&cell.Lend{Limit: "l", Amount: 2.5, Life: time.Second},
		&cell.Spare{Set: "s", Domain: "d", Slots: []int{3, 1}, Owner: "b", PassedOn: true},
		&cell.TableOffer{Revision: 1, Digest: 2},
	}
}

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	a, b := codec("a", 1, key), codec("b", 1, key)
	datagrams, err := a.Encode(nil, messages())
	is.NoErr(err)
	is.Equal(len(datagrams), 1)
	r, drop := b.Decode(datagrams[0])
	is.Equal(drop, DropNone)
	is.Equal(r.Sender, "a")
	is.Equal(r.Stamp, timeline.Stamp{Wall: 5, Logical: 6})
	if !reflect.DeepEqual(r.Messages, messages()) {
		t.Errorf("got %v", r.Messages)
	}
}

func TestLongBatchesAreSplit(t *testing.T) {
	is := is.New(t)
	var many []cell.Message
	for range 500 {
		many = append(many, messages()[1])
	}
	datagrams, err := codec("a", 1, key).Encode(nil, many)
	is.NoErr(err)
	is.True(len(datagrams) > 1)
	n := 0
	b := codec("b", 1, key)
	for _, g := range datagrams {
		is.True(len(g) <= maxDatagram)
		r, _ := b.Decode(g)
		n += len(r.Messages)
	}
	is.Equal(n, 500)
}

// TestDrops covers the reasons for which a datagram is dropped.
func TestDrops(t *testing.T) {
	encodeOne := func(c *Codec) []byte {
		datagrams, err := c.Encode(nil, []cell.Message{&cell.Recall{Set: "s"}})
		if err != nil {
			t.Fatal(err)
		}
		return datagrams[0]
	}
	for _, c := range []struct {
		name     string
		datagram func(b *Codec) []byte
		want     Drop
	}{
		{"empty", func(*Codec) []byte { return nil }, DropSize},
		{"shorter than a MAC", func(*Codec) []byte { return make([]byte, 10) }, DropSize},
		{"garbage", func(*Codec) []byte { return []byte("some text that is no datagram at all") }, DropMAC},
		{"another key", func(*Codec) []byte { return encodeOne(codec("a", 1, []byte("another key entirely"))) }, DropMAC},
		{"truncated", func(*Codec) []byte { g := encodeOne(codec("a", 1, key)); return g[:len(g)-1] }, DropMAC},
		{"flipped bit", func(*Codec) []byte { g := encodeOne(codec("a", 1, key)); g[3] ^= 1; return g }, DropMAC},
		{"own datagram", func(*Codec) []byte { return encodeOne(codec("b", 1, key)) }, DropOwn},
		{"empty sender", func(*Codec) []byte { return encodeOne(codec("", 1, key)) }, DropMalformed},
		{"old incarnation", func(b *Codec) []byte {
			b.Decode(encodeOne(codec("a", 2, key)))
			return encodeOne(codec("a", 1, key))
		}, DropOldBoot},
		{"duplicate", func(b *Codec) []byte {
			g := encodeOne(codec("a", 1, key))
			b.Decode(g)
			return g
		}, DropReplay},
		{"reordered beyond the replay window", func(b *Codec) []byte {
			a := codec("a", 1, key)
			old := encodeOne(a)
			for range replayWindow + 1 {
				b.Decode(encodeOne(a))
			}
			return old
		}, DropReplay},
		{"reordered within the replay window", func(b *Codec) []byte {
			a := codec("a", 1, key)
			first := encodeOne(a)
			b.Decode(encodeOne(a))
			return first
		}, DropNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := codec("b", 1, key)
			_, drop := b.Decode(c.datagram(b))
			is.New(t).Equal(drop, c.want)
		})
	}
}

// TestReplayWindow checks that each sequence number is accepted at most once, in
// whatever order the datagrams arrive.
func TestReplayWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := codec("b", 1, key)
		accepted := make(map[uint64]bool)
		for range 300 {
			n := rapid.Uint64Range(1, 150).Draw(rt, "sequence")
			if b.accept("a", 1, n) == DropNone {
				if accepted[n] {
					rt.Fatalf("sequence number %d accepted twice", n)
				}
				accepted[n] = true
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	datagrams, err := codec("a", 1, key).Encode(nil, messages())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagrams[0][:len(datagrams[0])-macSize])
	f.Fuzz(func(_ *testing.T, body []byte) {
		b := codec("b", 1, key)
		// A valid MAC lets the body reach the parser.
		b.Decode(append(append([]byte(nil), body...), b.mac(body)...))
	})
}

func TestLink(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	got := make(chan Received, 10)
	drops := make(map[Drop]int)
	listen := func(name, address string) *Link {
		l, err := Listen(context.Background(), Config{Address: address, Codec: codec(name, 1, key),
			Handler: func(r Received) { got <- r },
			Dropped: func(d Drop) { mu.Lock(); drops[d]++; mu.Unlock() },
			Sent:    func(int) {}})
		is.NoErr(err)
		return l
	}
	freeAddress := func() string {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		return c.LocalAddr().String()
	}
	addressA, addressB := freeAddress(), freeAddress()
	a, b := listen("a", addressA), listen("b", addressB)
	a.SetAddress("b", addressB)
	a.Send("b", []cell.Message{&cell.Recall{Set: "s"}})
	r := <-got
	is.Equal(r.Sender, "a")
	c, err := net.Dial("udp", addressB)
	is.NoErr(err)
	_, err = c.Write([]byte("no valid datagram, and longer than a MAC"))
	is.NoErr(err)
	a.Send("b", []cell.Message{&cell.Recall{Set: "t"}})
	is.Equal((<-got).Messages[0].(*cell.Recall).Set, "t") // the link still works
	mu.Lock()
	is.Equal(drops[DropMAC], 1)
	mu.Unlock()
	is.NoErr(c.Close())
	is.NoErr(a.Close())
	is.NoErr(b.Close())
}
