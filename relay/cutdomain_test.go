package relay

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/wire"
)

// startCutDomain starts count boxes of a domain, which reach the stubs over the same paths, and one of
// another domain. It returns the first of them.
func startCutDomain(t *testing.T, l paths, count int, stubs ...*stub) *testBox {
	t.Helper()
	var self *wire.GroupBox
	first := newTestBoxWithConfig(t, func(c *Config) {
		joinGroup(t, c, "cut-0")
		c.Decode, self = l.decode, c.Self
	}, stubs...)
	start := func(name, domain string, change func(*Config)) *testBox {
		b := newTestBoxWithConfig(t, func(c *Config) {
			c.Publisher = first.publisher
			joinGroup(t, c, name, self.Address)
			c.Domain, c.Self.Domain = domain, domain
			change(c)
		})
		b.publisher = first.publisher
		return b
	}
	for i := 1; i < count; i++ {
		start(fmt.Sprint("cut-", i), "d", func(c *Config) { c.Decode = l.decode })
	}
	sound := start("sound", "e", func(*Config) {})
	first.waitFor(func() bool {
		return first.relay.boxes() == count+1 && sound.relay.boxes() == count+1 && sound.upstreamCount() == len(stubs) && first.relay.tunnels.peerCount() == count
	})
	return first
}

// peerCount returns how many boxes may be asked for a connection.
func (t *tunnels) peerCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.Len()
}

// Three boxes of 36 that were cut off served 11 of 33 requests: most boxes of their domains were cut as
// well, and after attempts that failed beside each other they asked nobody for four seconds.
func TestBoxWhoseDomainIsCutAsksBoxesOfOtherDomains(t *testing.T) {
	for _, test := range []struct {
		name string
		cut  func(paths)
	}{
		{"silent", paths.cut},
		{"reset and refused", paths.refuse},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			u, v, w := newStub(t, "u", respondOK("u")), newStub(t, "v", respondOK("v")), newStub(t, "w", respondOK("w"))
			l := newPaths(t, u, v, w)
			first := startCutDomain(t, l, 8, u, v, w)
			is.Equal(first.once().status, http.StatusOK)
			test.cut(l)
			var all sync.WaitGroup
			for range 6 {
				all.Go(func() { first.once() }) // may be lost on a connection that the box had open
			}
			all.Wait()
			for range 10 {
				is.Equal(first.once().status, http.StatusOK)
			}
		})
	}
}
