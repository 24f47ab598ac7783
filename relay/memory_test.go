package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// documentWithMemory is the tests' document with a memory size for upstreams, in tokens.
func documentWithMemory(version uint64, tokens int) any {
	d := testDocument(version)
	d.Services[0].KVCapacity = tokens
	return d
}

// awaitMemory waits until the box applies a memory size to its upstreams.
func (b *testBox) awaitMemory(tokens int) {
	b.t.Helper()
	b.waitFor(func() bool {
		for _, u := range b.relay.state().Upstreams {
			if u.Memory != uint64(tokens) {
				return false
			}
		}
		return true
	})
}

func TestTooLargePromptIsRefused(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondOK("1"))
	b := newTestBox(t, u)
	b.publisher.set("document", documentWithMemory(2, 2000), false)
	b.awaitMemory(2000)
	a := b.do(b.request("POST", "/once/x", "body", "X-Parts", "1:2000 2:100"))
	is.Equal(a.status, 503) // the same status as an upstream's own refusal
	is.Equal(a.body, `{"error":"larger than an upstream's memory","ran":"no"}`)
	is.Equal(a.header.Get("Retry-After"), "3.00")
	is.Equal(len(u.requests()), 0)
	is.Equal(b.do(b.request("POST", "/once/x", "body", "X-Parts", "1:900 2:100")).status, 200)
}

func TestRefusalForLackOfUpstreamMemory(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondOK("1"))
	b := newTestBox(t, u)
	b.publisher.set("document", documentWithMemory(2, 10000), false)
	b.awaitMemory(10000)
	b.relay.mu.Lock()
	other := b.relay.fleet.Open(0, "u1", balance.Request{Service: "s", Tokens: 5000})
	b.relay.mu.Unlock()
	is.Equal(b.relay.state().Upstreams[0].Held, uint64(5512))
	a := b.do(b.request("POST", "/once/x", "body", "X-Parts", "1:3000 2:100"))
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(len(u.requests()), 0)
	b.relay.mu.Lock()
	other.Close(0, balance.Neutral)
	b.relay.mu.Unlock()
	is.Equal(b.do(b.request("POST", "/once/x", "body", "X-Parts", "1:3000 2:100")).status, 200)
	is.Equal(b.relay.state().Upstreams[0].Held, uint64(0))
}
