package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// held is how many requests waited for a document.
func (b *bench) held() uint64 { return b.relay.stats.counted("held_starting") }

// A request that comes before a box knows the document is served as soon as it does.
func TestARequestWaitsForTheDocument(t *testing.T) {
	is := is.New(t)
	s := newStub(t, "u1", answerOK("fine"))
	b := newBench(t)
	b.list(s, false)
	b.until(func() bool { return b.known() == 1 })
	got := make(chan answered, 1)
	go func() { got <- b.do(b.request("POST", "/once/a", "")) }()
	b.until(func() bool { return b.held() == 1 })
	b.board.set("document", testDocument(1), false)
	a := <-got
	is.Equal(a.status, 200)
	is.Equal(a.body, "fine")
}

// Where none comes, it is refused: it has not run, and its caller is told when to come back.
func TestARequestIsRefusedWhereNoDocumentComes(t *testing.T) {
	is := is.New(t)
	s := newStub(t, "u1", answerOK("fine"))
	b := newBench(t)
	b.list(s, false)
	b.until(func() bool { return b.known() == 1 })
	a := b.do(b.request("POST", "/once/a", "", "X-Left", "400"))
	is.Equal(a.status, 503)
	is.True(strings.Contains(a.body, `"ran":"no"`))
	is.Equal(a.header.Get("Retry-After"), "1.00")
	is.Equal(b.held(), uint64(1))
	is.Equal(len(s.requests()), 0)
}
