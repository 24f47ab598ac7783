package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortPrompt shares a part of so many tokens with others.
func shortPrompt(tokens int) Request {
	return Request{Service: "s", Parts: []Part{{ID: 7, Tokens: tokens}, {ID: 8, Tokens: 600}}, Tokens: tokens + 600, Moves: true}
}

// Streams with short prompts go where another box has sent the part that they share, though
// it is not their home; what is read in a step of an engine is not told.
func TestShortPartsAreTold(t *testing.T) {
	for _, test := range []struct {
		name   string
		tokens int
		told   bool
	}{
		{"a subject of a chat", 79, true},
		{"the least that is told", keptFrom, true},
		{"less than is worth telling", keptFrom - 1, false},
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
			b.NoteKept(0, a.KeptNews())
			c, _ := b.Place(time.Second, r, nil)
			is.Equal(c.Upstream.ID == keeper.ID, test.told)
		})
	}
}

// An upstream that is known to have ended gets nothing more however much waits to be told, and
// that is told before all else.
func TestAnEndIsNotedAndToldWhereMuchIsToBeTold(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(0)
	f.Put(0, entryOf("u", 100, 1))
	for range maxNews {
		f.parts.news = append(f.parts.news, PartReport{7, 8})
	}
	key := f.byID["u"].key
	f.Open(0, "u", prompt(9)).Close(0, Replaced)
	is.True(f.Get("u").Leaving)
	news := f.KeptNews()
	is.Equal(len(news), maxNews)
	is.Equal(news[0], PartReport{endedMark, key})
}
