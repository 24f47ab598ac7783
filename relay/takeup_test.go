package relay

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/origin"
	"github.com/doormast/doormast/route"
	"github.com/doormast/doormast/wire"
)

// startSoftwarePair starts two boxes that know each other as holders of records.
func startSoftwarePair(t *testing.T, stubs ...*stub) (first, second *testBox) {
	first, second = startPair(t, stubs...)
	first.awaitOriginPeers()
	second.awaitOriginPeers()
	return first, second
}

// got reports whether an upstream got a request with an id.
func (s *stub) got(id string) bool {
	return slices.ContainsFunc(s.requests(), func(r stubRequest) bool { return r.Header.Get("X-Id") == id })
}

// begin begins a stream that breaks after two events.
func (b *testBox) begin(id string, header ...string) callerResponse {
	b.t.Helper()
	return b.do(b.request(http.MethodPost, "/flow/x", "", append([]string{"X-Id", id}, header...)...))
}

// recordOf returns what the box holds of where a stream of the test's customer began.
func (b *testBox) recordOf(id string) origin.Result {
	o := b.relay.origins
	o.mu.Lock()
	defer o.mu.Unlock()
	_, result := o.table.Get(b.relay.now(), origin.KeyOf("customer", id))
	return result
}

func (b *testBox) counter(name string) uint64 { return b.relay.stats.counterValue(name) }

// What nobody knows was guessed: a stream that was taken up went on anywhere.
func TestStreamOfUnknownOriginGoesOnAnywhere(t *testing.T) {
	long := strings.Repeat("x", 4000)
	for _, c := range []struct {
		name   string
		header []string
	}{
		{"attempt that never was", []string{"X-Resumes", "made up", "X-Last", "2"}},
		{"attempt that is not named", []string{"X-Last", "2"}},
		{"a very long id", []string{"X-Resumes", long, "X-Last", "2"}},
		{"attempt of another customer", []string{"X-Resumes", "known", "X-Last", "2", "X-Key", "other secret"}},
		{"attempt that brought no event", []string{"X-Resumes", "refused", "X-Last", "2"}},
		{"two streams of one id", []string{"X-Resumes", "twice", "X-Last", "2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			stubs := newSoftwareStubs(t, 1, "v1", "v2")
			first, second := startSoftwarePair(t, stubs...)
			doc := testDocument(2)
			doc.Customers = append(doc.Customers, route.Customer{Name: "other", Keys: []string{"other secret"}})
			first.publisher.set("document", doc, false)
			first.waitFor(func() bool { return first.relay.documentVersion() == 2 && second.relay.documentVersion() == 2 })
			first.begin("known")
			for !stubs[0].got("twice") || !stubs[1].got("twice") {
				first.begin("twice") // until both versions have begun one
			}
			second.waitFor(func() bool { return second.recordOf("twice") == origin.Ambiguous }) // told in a datagram
			sent := len(stubs[0].requests()) + len(stubs[1].requests())
			a := second.do(second.request(http.MethodPost, "/flow/x", "", append([]string{"X-Id", "again"}, c.header...)...))
			is.Equal(a.status, http.StatusServiceUnavailable)
			is.Equal(a.header.Get("Retry-After"), "") // it cannot succeed later
			is.True(strings.Contains(a.body, originUnknownReason))
			is.True(strings.Contains(a.body, `"ran":"no"`))
			is.Equal(len(stubs[0].requests())+len(stubs[1].requests()), sent)
			second.awaitLog(`"msg":"origin: unknown"`)
		})
	}
}

// A caller names the first attempt each time that it takes a stream up, whichever box went on.
func TestStreamTakenUpTwiceGoesOnAtOtherSoftware(t *testing.T) {
	is := is.New(t)
	first, second := startSoftwarePair(t, newSoftwareStubs(t, 1, "v1", "v2")...)
	for i := range streams {
		id := fmt.Sprint("s", i)
		body := first.begin(id).body
		for n, b := range []*testBox{second, first, second} {
			a := b.takeUp(id, fmt.Sprint(id, "-", n), 2+n%2)
			is.Equal(a.status, http.StatusOK)
			body += a.body
		}
		is.Equal(len(versionsIn(body)), 1)
	}
}

// While one version serves, nothing is told or refused, and nothing is asked but one question for each
// stream that is taken up: without it, a box cannot know that there is no second version yet.
func TestOneSoftwareVersionCostsNothing(t *testing.T) {
	is := is.New(t)
	first, second := startSoftwarePair(t, newSoftwareStubs(t, 2, "v1")...)
	for i := range streams {
		id := fmt.Sprint("s", i)
		is.Equal(strings.Count(first.begin(id).body, "id: "), streamLength)
		is.Equal(second.takeUp(id, id+"-again", 2).status, http.StatusOK)
		is.Equal(second.do(second.request(http.MethodPost, "/flow/x", "", "X-Last", "2")).status, http.StatusOK) // no attempt is named
	}
	for _, b := range []*testBox{first, second} {
		is.Equal(b.counter(originsTold)+b.counter(originsUnknown), uint64(0))
	}
	is.Equal(first.counter(originsFound), uint64(0))
	is.Equal(second.counter(originsFound), uint64(2*streams))
}

// A box that has just started does not know which versions served before, and is told by one that does.
func TestStartedBoxRefusesStreamsOfTheOnlySoftware(t *testing.T) {
	is := is.New(t)
	first := newTestBoxWithConfig(t, func(c *Config) { joinGroup(t, c, "first") }, newSoftwareStubs(t, 2, "v1")...)
	second := newTestBoxWithConfig(t, func(c *Config) {
		c.Publisher, c.FirstStart = first.publisher, false
		joinGroup(t, c, "second", first.relay.cfg.Self.Address)
	})
	second.publisher = first.publisher
	second.waitFor(func() bool { return second.relay.Ready() && second.upstreamCount() == 2 && first.relay.boxes() == 2 })
	second.awaitOriginPeers()
	is.Equal(second.takeUp("s", "s-again", 2).status, http.StatusOK)
	second.waitFor(func() bool { return second.knowsSole("v1") }) // before it has known the list for long
	before := second.counter(originsFound)
	is.Equal(strings.Count(second.begin("t").body, "id: "), streamLength)
	is.Equal(second.takeUp("s", "s-again", 2).status, http.StatusOK)
	is.Equal(second.counter(originsFound), before+1) // the one question
	is.Equal(second.counter(originsUnknown), uint64(0))
	is.Equal(second.counter(originsTold), uint64(0))
}

// knowsSole reports whether the box knows that only one software version can have begun any open stream.
func (b *testBox) knowsSole(software string) bool {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	sole, ok := b.relay.fleet.SoleSoftware(b.relay.now(), "s")
	return ok && sole == software
}

// Boxes that restart one after the other lost all copies of a record.
func TestRecordIsLostWhenHoldersRestartInTurn(t *testing.T) {
	is := is.New(t)
	first, second := startSoftwarePair(t, newSoftwareStubs(t, 1, "v1", "v2")...)
	began := first.begin("s")
	third := newTestBoxWithConfig(t, func(c *Config) {
		c.Publisher, c.FirstStart = first.publisher, false
		joinGroup(t, c, "third", second.relay.cfg.Self.Address)
	})
	third.publisher = first.publisher
	third.waitFor(func() bool { return third.relay.Ready() && third.upstreamCount() == 2 && second.relay.boxes() == 3 })
	second.waitFor(func() bool {
		second.relay.origins.mu.Lock()
		defer second.relay.origins.mu.Unlock()
		return second.relay.origins.peers.Len() == 2
	})
	second.relay.Stop()
	first.relay.members.close()
	third.waitFor(func() bool {
		third.relay.origins.mu.Lock()
		defer third.relay.origins.mu.Unlock()
		return third.relay.origins.table.Len() > 0
	})
	rest := third.takeUp("s", "s-again", 2)
	is.Equal(rest.status, http.StatusOK)
	is.Equal(len(versionsIn(began.body+rest.body)), 1)
}

// A box alone that has just started cannot know: the version that began the stream may have gone.
func TestLoneStartedBoxGuesses(t *testing.T) {
	is := is.New(t)
	b := newTestBoxWithConfig(t, func(c *Config) { c.FirstStart = false }, newSoftwareStubs(t, 2, "v1")...)
	is.Equal(b.takeUp("s", "s-again", 2).status, http.StatusServiceUnavailable)
	begun := b.begin("t")
	is.Equal(strings.Count(begun.body, "id: "), streamLength)
	is.Equal(b.takeUp("t", "t-again", 2).status, http.StatusOK) // it knows what it has begun itself
}

// All boxes are killed at once and come back, while two versions serve or just after the last upstream of
// one has left: streams that callers then took up were joined from both, in answers that looked complete.
func TestStreamsAreJoinedFromTwoVersionsAfterAllBoxesRestart(t *testing.T) {
	for _, test := range []struct {
		name    string
		hasLeft bool // the upstreams of the version that began the streams
	}{
		{"both versions serve", false},
		{"the older version has left", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			older, newer := newSoftwareStub(t, "older", "v1"), newSoftwareStub(t, "newer", "v2")
			first, second := startSoftwarePair(t, older)
			var began [streams]string
			for i := range streams {
				began[i] = first.begin(fmt.Sprint("s", i)).body
			}
			first.relay.members.close()
			second.relay.members.close()
			first.listUpstream(newer, false)
			if test.hasLeft {
				first.publisher.set("older", nil, true)
			}
			third := newTestBoxWithConfig(t, func(c *Config) {
				c.Publisher, c.FirstStart = first.publisher, false
				joinGroup(t, c, "third")
			})
			fourth := newTestBoxWithConfig(t, func(c *Config) {
				c.Publisher, c.FirstStart = first.publisher, false
				joinGroup(t, c, "fourth", third.relay.cfg.Self.Address)
			})
			fourth.waitFor(func() bool { return third.relay.Ready() && fourth.relay.Ready() && third.relay.boxes() == 2 })
			for i := range streams {
				id := fmt.Sprint("s", i)
				rest := []*testBox{third, fourth}[i%2].takeUp(id, id+"-again", 2)
				is.True(rest.status == http.StatusServiceUnavailable || len(versionsIn(began[i]+rest.body)) == 1)
				is.True(rest.status != http.StatusServiceUnavailable || strings.Contains(rest.body, `"ran":"no"`))
			}
		})
	}
}

// A box that had been cut off took its list for all that had served meanwhile: a stream that another
// version had begun, which came and went, was taken up at the one that it knew.
func TestBoxThatWasCutOffTakesUpStreamAtTheSoftwareThatItKnows(t *testing.T) {
	is := is.New(t)
	b := newTestBox(t, newSoftwareStubs(t, 1, "v1")...)
	is.Equal(b.takeUp("s", "s-again", 2).status, http.StatusOK) // it has known all versions since the first start
	b.publisher.setUnavailable(true)
	b.waitFor(func() bool { return b.relay.publishedAge() > 3*time.Second })
	b.publisher.setUnavailable(false)
	others := &wire.GroupMessage{Sender: &wire.GroupBox{Name: "other", Domain: "e", Address: "127.0.0.1:1", Boot: 1}, Leads: true, Reads: true,
		Revision: b.relay.members.revision.Load(), Coverage: &wire.GroupCoverage{}}
	for b.relay.members.events.TryPush(memberEvent{message: others}); !b.log.contains("answers missed"); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(b.takeUp("t", "t-again", 2).status, http.StatusServiceUnavailable)
}

// The version that began a stream has no upstream any more: another failure than an unknown origin.
func TestStreamOfGoneSoftwareIsRefusedWithItsReason(t *testing.T) {
	is := is.New(t)
	stubs := newSoftwareStubs(t, 1, "v1", "v2")
	first, second := startSoftwarePair(t, stubs...)
	began := make(map[string]bool)
	for i := 0; !began["v1"]; i++ {
		id := fmt.Sprint("s", i)
		for v := range versionsIn(first.begin(id).body) {
			began[v] = true
		}
	}
	id := ""
	for _, r := range stubs[0].requests() {
		id = r.Header.Get("X-Id")
	}
	first.publisher.set(stubs[0].id, nil, true)
	second.waitFor(func() bool { return second.upstreamCount() == 1 })
	a := second.takeUp(id, "again", 2)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(a.body, noSoftwareReason))
	is.Equal(a.header.Get("Retry-After"), "")
	second.awaitLog(`"msg":"origin: found"`)
}

// Streams that are open when a second version comes up were not recorded when they began.
func TestStreamOpenBeforeSecondSoftwareIsUnknown(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	v1 := newStub(t, "v1-0", nil)
	v1.software = "v1"
	v1.script = openThenBreak(proceed)
	first, second := startSoftwarePair(t, v1)
	done := make(chan callerResponse)
	go func() { done <- first.begin("s") }()
	first.waitFor(func() bool {
		return len(v1.requests()) == 1 && first.relay.stats.openRequests.Load() == 1 && first.hasEvents()
	})
	v2 := newSoftwareStub(t, "v2-0", "v2")
	first.listUpstream(v2, false)
	second.waitFor(func() bool { return second.upstreamCount() == 2 && first.upstreamCount() == 2 })
	second.waitFor(func() bool {
		second.relay.origins.mu.Lock()
		defer second.relay.origins.mu.Unlock()
		return second.relay.origins.table.Len() == 1
	})
	close(proceed)
	<-done
	a := second.takeUp("s", "again", 1)
	is.Equal(a.status, http.StatusOK)
	is.Equal(len(v2.requests()), 0)
}

// hasEvents reports whether a stream of the box has brought events.
func (b *testBox) hasEvents() bool {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	for x := range b.relay.runConns {
		if x.origin != nil {
			return true
		}
	}
	return false
}

// An upstream started again under its id and address with another version; streams that began before its
// entry told are of unknown origin.
func TestEntryThatChangesItsSoftwareInPlace(t *testing.T) {
	is := is.New(t)
	stubs := newSoftwareStubs(t, 1, "v1", "v2")
	first, second := startSoftwarePair(t, stubs...)
	for len(stubs[0].requests()) == 0 {
		first.begin(fmt.Sprint("s", len(stubs[1].requests())))
	}
	id := stubs[0].requests()[0].Header.Get("X-Id")
	first.publisher.set("v1-0", balance.Upstream{ID: "v1-0", Service: "s", Address: stubs[0].listener.Addr().String(), Domain: "d", Slots: 8, Software: "v2"}, false)
	second.waitFor(func() bool {
		second.relay.mu.Lock()
		defer second.relay.mu.Unlock()
		return !second.relay.fleet.ListsSoftware("s", "v1")
	})
	is.Equal(second.takeUp(id, "again", 2).status, http.StatusServiceUnavailable)
}

// On a route that splits, a stream that was taken up went on at another service.
func TestStreamTakenUpGoesOnAtOtherService(t *testing.T) {
	is := is.New(t)
	stubs := newSoftwareStubs(t, 1, "v1", "v2")
	b := newTestBoxWithConfig(t, func(c *Config) { c.FirstStart = true }, stubs...)
	doc := testDocument(2)
	doc.Services = append(doc.Services, route.Service{Name: "o", MaxConnections: 100})
	for i := range doc.Routes {
		doc.Routes[i].Targets = []route.Target{{Service: "s", Weight: 1}, {Service: "o", Weight: 1}}
	}
	b.publisher.set("v2-0", balance.Upstream{ID: "v2-0", Service: "o", Address: stubs[1].listener.Addr().String(), Domain: "d", Slots: 8, Software: "v2"}, false)
	b.publisher.set("document", doc, false)
	b.waitFor(func() bool {
		u, ok := b.relay.fleetUpstream("v2-0")
		return ok && u.Service == "o" && b.relay.documentVersion() == 2
	})
	for i := range streams {
		id := fmt.Sprint("s", i)
		began := b.begin(id)
		rest := b.takeUp(id, id+"-again", 2)
		is.Equal(rest.status, http.StatusOK)
		is.Equal(len(versionsIn(began.body+rest.body)), 1)
	}
}

// fleetUpstream returns a listed upstream.
func (r *Relay) fleetUpstream(id string) (balance.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listedUpstream(id)
}

// The holder that a box asks stands still or has gone: the caller is refused well within its patience.
func TestLookupWaitsForSilentHolder(t *testing.T) {
	is := is.New(t)
	var self *wire.GroupBox
	first := newTestBoxWithConfig(t, func(c *Config) {
		joinGroup(t, c, "first")
		self = c.Self
	}, newSoftwareStubs(t, 1, "v1", "v2")...)
	second := first.startPeer(self)
	second.awaitOriginPeers()
	first.relay.members.close() // it answers no more
	began := time.Now()
	a := second.takeUp("s", "again", 2)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < time.Second)
	second.awaitLog(`"answered":0`)
}

// An upstream started again under its ID and address with another version, and the store has not told yet: streams
// of its earlier version went on there, and those that began there went on at that version.
func TestStreamGoesOnAtUpstreamThatStartedAgain(t *testing.T) {
	is := is.New(t)
	honest, restarted := newStartedStub(t, "honest", "v1", 1), newStartedStub(t, "restarted", "v2", 2)
	b := newTestBoxWithProtocol(t, reportingProtocol(), honest.stub, restarted.stub)
	list := func(s *stub, software string) {
		b.publisher.set(s.id, balance.Upstream{ID: s.id, StartedAt: 1, Service: "s", Address: s.listener.Addr().String(), Domain: "d", Slots: 8, Software: software}, false)
	}
	list(honest.stub, "v1")
	list(restarted.stub, "v1")
	list(newSoftwareStub(t, "other", "v2"), "v2")
	b.waitFor(func() bool {
		return b.upstreamCount() == 3 && b.listedStart("honest") == 1 && b.listedStart("restarted") == 1
	})
	for i := range 3 * streams {
		a := b.begin(fmt.Sprint("s", i))
		is.Equal(len(versionsIn(a.body)), 1)
	}
	is.True(honest.began.Load() > 0 && restarted.began.Load() > 0)
	b.awaitLog(`"msg":"upstream: start differs"`)
}

// One version alone was listed, and an upstream of it had started again under its id and address with
// another one: a stream that was taken up went on there.
func TestStreamIsTakenUpAtUpstreamThatStartedAgain(t *testing.T) {
	is := is.New(t)
	honest, restarted := newStartedStub(t, "honest", "v1", 1), newStartedStub(t, "restarted", "v2", 2)
	restarted.software = "v1" // by its entry
	b := newTestBoxWithProtocol(t, reportingProtocol(), honest.stub, restarted.stub)
	for _, u := range []*startedStub{honest, restarted} {
		b.publisher.set(u.id, balance.Upstream{ID: u.id, StartedAt: 1, Service: "s", Address: u.listener.Addr().String(), Domain: "d", Slots: 8, Software: "v1"}, false)
	}
	b.waitFor(func() bool { return b.listedStart("honest") == 1 && b.listedStart("restarted") == 1 })
	var all sync.WaitGroup
	var wentOn atomic.Int64
	for i := range streams {
		all.Go(func() {
			rest := b.takeUp("s", fmt.Sprint("s-", i), 2)
			isRefused := rest.status == http.StatusServiceUnavailable && strings.Contains(rest.body, `"ran":"no"`)
			if versionsIn(rest.body)["v2"] || rest.status != http.StatusOK && !isRefused {
				t.Errorf("status %d: %s", rest.status, rest.body)
			}
			if rest.status == http.StatusOK {
				wentOn.Add(1)
			}
		})
	}
	all.Wait()
	is.True(wentOn.Load() > 0)
	b.awaitLog(`"msg":"upstream: start differs"`)
}

// startedStub is an upstream that tells when it started.
type startedStub struct {
	*stub
	began atomic.Int64 // streams
}

func newStartedStub(t testing.TB, id, software string, startedAt int64) *startedStub {
	s := &startedStub{stub: newSoftwareStub(t, id, software)}
	inner := s.script
	s.script = func(c net.Conn, r stubRequest) bool {
		if r.URL.Path == "/tell" {
			return respondReport(c, r, Report{StartedAt: startedAt})
		}
		if r.Header.Get("X-Last") == "" {
			s.began.Add(1)
		}
		return inner(c, r)
	}
	return s
}

// A stream was taken up in another failure domain, after its own had ended with all that its boxes knew.
func TestRecordIsLostWithItsDomain(t *testing.T) {
	is := is.New(t)
	var self *wire.GroupBox
	first := newTestBoxWithConfig(t, func(c *Config) {
		joinGroup(t, c, "first")
		self = c.Self
	}, newSoftwareStubs(t, 1, "v1", "v2")...)
	second := newTestBoxWithConfig(t, func(c *Config) {
		c.Publisher = first.publisher
		joinGroup(t, c, "second", self.Address)
		c.Domain, c.Self.Domain = "other", "other"
	})
	second.publisher = first.publisher
	second.waitFor(func() bool { return second.relay.Ready() && second.upstreamCount() == 2 && first.relay.boxes() == 2 })
	first.awaitOriginPeers()
	for i := range streams {
		id := fmt.Sprint("s", i)
		began := first.begin(id)
		if i == streams-1 {
			first.relay.Stop()
		}
		rest := second.takeUp(id, id+"-again", 2)
		is.Equal(rest.status, http.StatusOK)
		is.Equal(len(versionsIn(began.body+rest.body)), 1)
	}
}

// An upstream asked for a pause while a request's connection was being proven, and was sent the request all the same.
func TestRequestIsSentWithinPauseAfterProof(t *testing.T) {
	is := is.New(t)
	asked, proceed := make(chan struct{}, 1), make(chan struct{})
	u := newStub(t, "u", nil)
	u.script = func(c net.Conn, r stubRequest) bool {
		if r.URL.Path == "/tell" {
			asked <- struct{}{}
			<-proceed
			return respondReport(c, r, Report{StartedAt: 1})
		}
		return respondOK("sent")(c, r)
	}
	b := newTestBoxWithProtocol(t, reportingProtocol(), u)
	b.publisher.set("u", balance.Upstream{ID: "u", StartedAt: 1, Service: "s", Address: u.listener.Addr().String(), Domain: "d", Slots: 8, Software: "v1"}, false)
	b.publisher.set("gone", balance.Upstream{ID: "gone", Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 8, Software: "v2"}, false)
	b.waitFor(func() bool { return b.upstreamCount() == 2 && b.listedStart("u") == 1 })
	b.publisher.set("gone", nil, true)
	b.waitFor(func() bool { return b.upstreamCount() == 1 })
	done := make(chan callerResponse)
	go func() { done <- b.begin("s", "X-Left", "600") }()
	<-asked
	b.relay.mu.Lock()
	b.relay.fleet.Pause(b.relay.now(), balance.Incarnation{ID: "u", StartedAt: 1}, time.Hour)
	b.relay.mu.Unlock()
	close(proceed)
	is.Equal((<-done).status, http.StatusServiceUnavailable)
	is.Equal(len(u.requests()), 1) // the question alone
}
