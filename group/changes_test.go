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

// entriesOf is entries of upstreams, of 250 bytes each as they are published.
func entriesOf(count int, revision uint64) []mirror.Item {
	random := rand.New(rand.NewPCG(1, revision))
	list := make([]mirror.Item, count)
	for i := range list {
		value := fmt.Sprintf(`{"service":"engines","addr":"10.%d.%d.7:8000","zone":"domain%d","version":"v1","slots":64,"state":"ready","coldLeftMs":0,`+
			`"seq":%d,"born":%d,"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}]}`, i/250, i%250, i%5, random.IntN(300), 1764000000000+random.IntN(3000))
		list[i] = mirror.Item{Key: fmt.Sprintf("upstream/%06d", i), Value: []byte(value), Revision: revision + uint64(i)}
	}
	return list
}

// One upstream in forty of 5,910 was told to leave at the same moment. The changes were too many for a datagram, so that
// each of 585 boxes was to pull everything; after a second all but a few had given up and read the store, 567 calls, and
// knew nothing that was published meanwhile.
func TestManyChangesAtOnceReachAllBoxes(t *testing.T) {
	for _, changes := range []int{30, 300, 1500} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			is := is.New(t)
			w := across(t, 2, layout{3, 1}, 60)
			w.link = 20e6 / 8
			r := w.published.Revision()
			w.published.Apply(r, r+uint64(changes), entriesOf(changes, r+1))
			w.run(100 * time.Millisecond)
			w.calls, w.pulled = 0, 0
			w.run(400 * time.Millisecond)
			is.Equal(w.behind(), nil)
			is.Equal(w.pulled, 0)
			is.True(w.calls <= 4) // of the box that reads for all
		})
	}
}

// Whatever the changes and the order of their messages, a box holds at each moment what was published at some revision, and
// has everything once all messages came.
func TestMessagesOfChangesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := nodeWith(5)
		to := nodeWith(5)
		n := rapid.IntRange(1, 400).Draw(t, "changes")
		list := entriesOf(n, 6)
		for i := range list { // several may have one revision
			if i > 0 && rapid.IntRange(0, 3).Draw(t, "same") == 0 {
				list[i].Revision = list[i-1].Revision
			}
		}
		last := list[n-1].Revision
		from.cfg.Mirror.Apply(5, last, list)
		messages := from.itemMessages(time.Second, 5, list)
		for _, i := range rapid.Permutation(indices(len(messages))).Draw(t, "order") {
			to.takeItems(time.Second, messages[i])
			whole := 0
			for _, it := range list {
				if it.Revision <= to.cfg.Mirror.Revision() {
					whole++
				}
			}
			if held := len(to.cfg.Mirror.Items()) - 5; held != whole {
				t.Fatalf("at revision %d it holds %d of %d changes", to.cfg.Mirror.Revision(), held, whole)
			}
		}
		if got := to.cfg.Mirror.Revision(); got != last && !messages[0].Pull {
			t.Fatalf("it has revision %d, not %d", got, last)
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

// Only the last message of a set says how old the sender's knowledge is.
func TestAPartOfTheChangesConfirmsNothing(t *testing.T) {
	is := is.New(t)
	n := nodeWith(5)
	n.confirmed = time.Second
	list := entriesOf(1000, 6)
	n.cfg.Mirror.Apply(5, 1005, list)
	messages := n.itemMessages(time.Second, 5, list)
	is.True(len(messages) > 1)
	for i, m := range messages {
		is.Equal(m.ConfirmedAge == 0, i == len(messages)-1)
	}
	box := nodeWith(5)
	box.cfg.Self.Name = "another"
	box.Handle(2*time.Second, messages[0])
	is.True(box.ConfirmedAt() < time.Second)
	is.Equal(box.cfg.Mirror.Revision(), messages[0].Revision)
}

// What no datagram can hold is pulled.
func TestWhatIsTooLargeIsPulled(t *testing.T) {
	is := is.New(t)
	noise := make([]byte, 2*maxItems)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	n := nodeWith(5)
	m := n.itemMessages(0, 5, []mirror.Item{{Key: "a", Revision: 6, Value: noise}, {Key: "b", Revision: 7, Value: noise}})
	is.Equal(len(m), 1)
	is.True(m[0].Pull && len(m[0].PackedItems) == 0)
}

// With 200 customers and 150 routes a document no longer went into a datagram: each of its versions was pulled by all boxes at
// once, and with it the entries of 6,000 upstreams. A storm of configurations made requests late for as long as it went on.
func TestALargeDocumentIsPulledAlone(t *testing.T) {
	is := is.New(t)
	w := across(t, 2, layout{3, 1}, 60)
	w.listEntries(2000)
	w.killAll()
	w.run(4 * time.Second)
	is.Equal(w.behind(), nil)
	random := rand.New(rand.NewPCG(1, 2))
	w.calls, w.pulled, w.store.calls = 0, 0, 0
	for range 3 {
		document := make([]byte, 4*maxItems)
		for i := range document {
			document[i] = byte('a' + random.IntN(26))
		}
		w.publish(documentKey, string(document))
		w.run(600 * time.Millisecond)
		is.Equal(w.behind(), nil)
	}
	is.Equal(w.pulled, 0)
	is.Equal(w.store.calls, 0)
}

// What is answered to a box that has nearly everything is what it lacks; to one of which that is not known, everything.
func TestWhatABoxLacksIsAnswered(t *testing.T) {
	is := is.New(t)
	n, box := nodeWith(1000), nodeWith(1000)
	n.cfg.Mirror.Apply(1000, 1003, entriesOf(3, 1001))
	ask := func(after uint64) *wire.MirrorResponse {
		n.answers = answers{}
		return n.AnswerPull(time.Second, &wire.MirrorRequest{Packed: true, Pulls: "b", After: after})
	}
	r := ask(1000)
	is.Equal(r.From, uint64(1000))
	box.HandlePullResponse(time.Second, time.Second, r)
	is.Equal(box.cfg.Mirror.Revision(), uint64(1003))
	is.Equal(box.cfg.Mirror.Items(), n.cfg.Mirror.Items())
	is.Equal(ask(1001).From, uint64(1001)) // and not what was packed for the one before
	for _, after := range []uint64{0, 7, 2000} {
		is.Equal(ask(after).From, uint64(0))
	}
	ahead := nodeWith(1000)
	ahead.HandlePullResponse(time.Second, time.Second, ask(1001)) // it begins where the box is not
	is.Equal(ahead.cfg.Mirror.Revision(), uint64(1000))
	box.HandlePullResponse(2*time.Second, 2*time.Second, ask(1003)) // nothing new
	is.Equal(box.cfg.Mirror.Revision(), uint64(1003))
}
