package group

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// upstreamEntries returns entries of upstreams in their published form, 250 bytes each.
func upstreamEntries(count int, revision uint64) []mirror.Item {
	random := rand.New(rand.NewPCG(1, revision))
	list := make([]mirror.Item, count)
	for i := range list {
		value := fmt.Sprintf(`{"service":"engines","addr":"10.%d.%d.7:8000","zone":"domain%d","version":"v1","slots":64,"state":"ready","coldLeftMs":0,`+
			`"seq":%d,"born":%d,"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}]}`, i/250, i%250, i%5, random.IntN(300), 1764000000000+random.IntN(3000))
		list[i] = mirror.Item{Key: fmt.Sprintf("upstream/%06d", i), Value: []byte(value), Revision: revision + uint64(i)}
	}
	return list
}

// When one upstream in forty of 5,910 was told to leave at the same moment, the changes did not
// fit a datagram and each of 585 boxes had to pull all data. After a second nearly all of them
// gave up and read the publisher, with 567 calls, and missed what was published meanwhile.
func TestBulkChangesReachAllBoxes(t *testing.T) {
	for _, changes := range []int{30, 300, 1500} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			is := is.New(t)
			w := startRegions(t, 2, layout{3, 1}, 60)
			w.linkRate = 20e6 / 8
			r := w.published.Revision()
			w.published.Apply(r, r+uint64(changes), upstreamEntries(changes, r+1))
			w.run(100 * time.Millisecond)
			w.publisherCalls, w.snapshotsPulled = 0, 0
			w.run(400 * time.Millisecond)
			is.Equal(w.staleBoxes(), nil)
			is.Equal(w.snapshotsPulled, 0)
			is.True(w.publisherCalls <= 4) // of the box that reads for all
		})
	}
}

// Whatever the changes and the order of their messages, a box always holds the published data of
// some revision, and has all of it once all messages have arrived.
func TestChangesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := nodeWithItems(5)
		to := nodeWithItems(5)
		n := rapid.IntRange(1, 400).Draw(t, "changes")
		list := upstreamEntries(n, 6)
		for i := range list { // several may have the same revision
			if i > 0 && rapid.IntRange(0, 3).Draw(t, "same") == 0 {
				list[i].Revision = list[i-1].Revision
			}
		}
		last := list[n-1].Revision
		from.cfg.Mirror.Apply(5, last, list)
		messages := from.itemMessages(time.Second, 5, list)
		for _, i := range rapid.Permutation(indices(len(messages))).Draw(t, "order") {
			to.receiveItems(time.Second, messages[i])
			applied := 0
			for _, it := range list {
				if it.Revision <= to.cfg.Mirror.Revision() {
					applied++
				}
			}
			if held := len(to.cfg.Mirror.Items()) - 5; held != applied {
				t.Fatalf("at revision %d the copy holds %d changes, want %d", to.cfg.Mirror.Revision(), held, applied)
			}
		}
		if got := to.cfg.Mirror.Revision(); got != last && !messages[0].Pull {
			t.Fatalf("revision is %d, want %d", got, last)
		}
	})
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// Only the last message of a set states the age of the sender's copy.
func TestOnlyLastBatchConfirms(t *testing.T) {
	is := is.New(t)
	n := nodeWithItems(5)
	n.confirmedAt = time.Second
	list := upstreamEntries(1000, 6)
	n.cfg.Mirror.Apply(5, 1005, list)
	messages := n.itemMessages(time.Second, 5, list)
	is.True(len(messages) > 1)
	for i, m := range messages {
		is.Equal(m.ConfirmedAge == 0, i == len(messages)-1)
	}
	box := nodeWithItems(5)
	box.cfg.Self.Name = "another"
	box.Handle(2*time.Second, messages[0])
	is.True(box.ConfirmedAt() < time.Second)
	is.Equal(box.cfg.Mirror.Revision(), messages[0].Revision)
}

// Changes too large for any datagram are pulled.
func TestOversizedChangesArePulled(t *testing.T) {
	is := is.New(t)
	noise := make([]byte, 2*maxItemBytes)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	n := nodeWithItems(5)
	m := n.itemMessages(0, 5, []mirror.Item{{Key: "a", Revision: 6, Value: noise}, {Key: "b", Revision: 7, Value: noise}})
	is.Equal(len(m), 1)
	is.True(m[0].Pull && len(m[0].PackedItems) == 0)
}

// With 200 customers and 150 routes a document no longer fits a datagram. Each version of it was
// pulled by all boxes at once, together with the entries of 6,000 upstreams, and requests were
// late during frequent configuration changes.
func TestLargeDocumentIsPulledAsDelta(t *testing.T) {
	is := is.New(t)
	w := startRegions(t, 2, layout{3, 1}, 60)
	w.publishEntries(2000)
	w.restartAll()
	w.run(4 * time.Second)
	is.Equal(w.staleBoxes(), nil)
	random := rand.New(rand.NewPCG(1, 2))
	w.publisherCalls, w.snapshotsPulled, w.pages.calls = 0, 0, 0
	for range 3 {
		document := make([]byte, 4*maxItemBytes)
		for i := range document {
			document[i] = byte('a' + random.IntN(26))
		}
		w.publish(documentKey, string(document))
		w.run(600 * time.Millisecond)
		is.Equal(w.staleBoxes(), nil)
	}
	is.Equal(w.snapshotsPulled, 0)
	is.Equal(w.pages.calls, 0)
}

// A box with recent data is answered with the changes it lacks, and a box at an unknown revision
// with all data.
func TestPullIsAnsweredWithDelta(t *testing.T) {
	is := is.New(t)
	n, box := nodeWithItems(1000), nodeWithItems(1000)
	n.cfg.Mirror.Apply(1000, 1003, upstreamEntries(3, 1001))
	ask := func(after uint64) *wire.MirrorResponse {
		n.answeredPulls = answeredPulls{}
		return n.AnswerPull(time.Second, &wire.MirrorRequest{Packed: true, Pulls: "b", After: after})
	}
	r := ask(1000)
	is.Equal(r.From, uint64(1000))
	box.HandlePullResponse(time.Second, time.Second, r)
	is.Equal(box.cfg.Mirror.Revision(), uint64(1003))
	is.Equal(box.cfg.Mirror.Items(), n.cfg.Mirror.Items())
	is.Equal(ask(1001).From, uint64(1001)) // not the delta encoded for the request before
	for _, after := range []uint64{0, 7, 2000} {
		is.Equal(ask(after).From, uint64(0))
	}
	ahead := nodeWithItems(1000)
	ahead.HandlePullResponse(time.Second, time.Second, ask(1001)) // the changes do not continue from its revision
	is.Equal(ahead.cfg.Mirror.Revision(), uint64(1000))
	box.HandlePullResponse(2*time.Second, 2*time.Second, ask(1003)) // nothing new
	is.Equal(box.cfg.Mirror.Revision(), uint64(1003))
}
