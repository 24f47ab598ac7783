package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortPrompt returns a request that shares a part of the given length with others.
func shortPrompt(tokens int) Request {
	return Request{Service: "s", Parts: []Part{{ID: 7, Tokens: tokens}, {ID: 8, Tokens: 600}}, Tokens: tokens + 600, CanTransfer: true}
}

// Streams with short prompts go to the upstream that another box has sent their shared part to,
// although it is not their home. Parts that take a single engine step are not reported.
func TestShortPartsAreReported(t *testing.T) {
	for _, test := range []struct {
		name     string
		tokens   int
		reported bool
	}{
		{"system prompt of a chat", 79, true},
		{"shortest reported part", minPartTokens, true},
		{"too short to report", minPartTokens - 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a, b := newInformedFleet(9), newInformedFleet(9)
			r := shortPrompt(test.tokens)
			home, _ := a.Place(0, r, nil)
			busy := a.Open(0, home.Upstream.ID, Request{Service: "s", Tokens: 5000})
			keeper := serve(a, 0, r).Upstream
			busy.Close(0, Answered)
			is.True(keeper.ID != home.Upstream.ID)
			b.NotePartReports(0, a.TakePartReports())
			c, _ := b.Place(time.Second, r, nil)
			is.Equal(c.Upstream.ID == keeper.ID, test.reported)
		})
	}
}

// An upstream that is known to have ended gets nothing more however many reports are queued, and
// its end is reported first.
func TestEndIsReportedFirstWhenQueueIsFull(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(0)
	f.Put(0, entryOf("u", 100, 1))
	for range maxReports {
		f.parts.pending = append(f.parts.pending, PartReport{7, 8})
	}
	key := f.byID["u"].key
	f.Open(0, "u", prompt(9)).Close(0, Replaced)
	is.True(f.Get("u").Leaving)
	reports := f.TakePartReports()
	is.Equal(len(reports), maxReports)
	is.Equal(reports[0], PartReport{endedMark, key})
}
