package relay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/internal/timer"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/origin"
	"github.com/doormast/doormast/wire"
)

// standingClock is a clock whose readings wait while the box stands still; the box reads it with its lock held.
type standingClock struct {
	timer.SystemClock
	standing sync.Mutex
}

var _ timer.Clock = (*standingClock)(nil)

func (c *standingClock) Boot() time.Duration {
	c.standing.Lock()
	defer c.standing.Unlock()
	return c.SystemClock.Boot()
}

// ownPath is one box's path to the publisher.
type ownPath struct {
	*fakePublisher
	isCut atomic.Bool
}

var _ mirror.Publisher = (*ownPath)(nil)

func (p *ownPath) ReadAll(ctx context.Context) ([]mirror.Item, uint64, error) {
	if p.isCut.Load() {
		return nil, 0, errUnavailable
	}
	return p.fakePublisher.ReadAll(ctx)
}

func (p *ownPath) Changes(ctx context.Context, after uint64, wait time.Duration) ([]mirror.Item, uint64, error) {
	items, revision, err := p.fakePublisher.Changes(ctx, after, wait)
	if p.isCut.Load() {
		return nil, 0, errUnavailable
	}
	return items, revision, err
}

// oddBox is a box that is put out of step with two sound ones.
type oddBox struct {
	*testBox
	path  *ownPath
	clock *standingClock
	news  sync.Mutex // changed entries wait for it
	sound [2]*testBox
}

// starting is held while a test that runs beside others takes ports that it has found to be free.
var starting sync.Mutex

// startOddBox starts three boxes. The odd one leads if leads is set.
func startOddBox(t *testing.T, leads bool, stubs ...*stub) *oddBox {
	t.Helper()
	name := "odd"
	if leads {
		name = "odd, and the leader"
	}
	o := &oddBox{clock: new(standingClock)}
	o.start(t, name, stubs)
	for _, b := range o.all() {
		b.publisher = o.sound[0].publisher
		b.waitFor(func() bool {
			return b.relay.Ready() && b.relay.boxes() == 3 && b.upstreamCount() == len(stubs) && b.relay.publishedAge() < freshList
		})
		b.waitFor(func() bool { return b.originPeers() == 2 && (b.relay.members.leaderName() == name) == leads })
	}
	return o
}

// start starts the boxes.
func (o *oddBox) start(t *testing.T, name string, stubs []*stub) {
	t.Helper()
	starting.Lock()
	defer starting.Unlock()
	var seed string
	o.sound[0] = newTestBoxWithConfig(t, func(c *Config) {
		joinGroup(t, c, "sound-0")
		seed = c.Self.Address
	}, stubs...)
	o.sound[1] = newTestBoxWithConfig(t, func(c *Config) {
		c.Publisher = o.sound[0].publisher
		joinGroup(t, c, "sound-1", seed)
	})
	o.path = &ownPath{fakePublisher: o.sound[0].publisher}
	o.testBox = newTestBoxWithConfig(t, func(c *Config) {
		c.Publisher, c.Clock, c.Decode = o.path, o.clock, o.decode
		joinGroup(t, c, name, seed)
	})
}

// decode is the odd box's decodeItem. Its members' loop waits there.
func (o *oddBox) decode(it mirror.Item) (Update, error) {
	o.news.Lock()
	defer o.news.Unlock()
	return decodeItem(it)
}

func (o *oddBox) all() []*testBox { return []*testBox{o.sound[0], o.sound[1], o.testBox} }

// originPeers returns how many boxes may hold records of the box's streams.
func (b *testBox) originPeers() int {
	b.relay.origins.mu.Lock()
	defer b.relay.origins.mu.Unlock()
	return b.relay.origins.peers.Len()
}

// beginAt begins streams at the sound boxes until some began at an upstream, and returns what their callers got.
func (o *oddBox) beginAt(u *stub) map[string]string {
	began := make(map[string]string)
	for i := 0; len(began) < 4; i++ {
		if i == 200 {
			o.t.Fatal("no stream begins at the upstream")
		}
		id := fmt.Sprint("s", i)
		body := o.sound[i%2].begin(id).body
		if u.got(id) {
			began[id] = body
		}
	}
	return began
}

// takeUpAll takes streams up at the odd box, and fails the test if one holds events of two versions or is refused
// without the statement that it has not run. It returns how many went on.
func (o *oddBox) takeUpAll(began map[string]string, names bool, before func()) (wentOn int) {
	var all sync.WaitGroup
	var count atomic.Int64
	for id, body := range began {
		all.Go(func() {
			header := []string{"X-Id", id + "-again", "X-Last", "2"}
			if names {
				header = append(header, "X-Resumes", id)
			}
			rest := o.do(o.request(http.MethodPost, "/flow/x", "", header...))
			isRefused := rest.status == http.StatusServiceUnavailable && strings.Contains(rest.body, `"ran":"no"`)
			if versions := versionsIn(body + rest.body); len(versions) != 1 || rest.status != http.StatusOK && !isRefused {
				o.t.Errorf("stream %s holds events of %v, status %d: %s", id, versions, rest.status, rest.body)
			}
			if rest.status == http.StatusOK {
				count.Add(1)
			}
		})
	}
	before()
	all.Wait()
	return int(count.Load())
}

// outOfStep is a way in which a box is out of step with the others.
type outOfStep struct {
	name                   string
	boxesCut, publisherCut bool
	isStanding, isDeaf     bool // all of it stands still, or only what learns of changes
}

var waysOutOfStep = []outOfStep{
	{name: "cut off from the boxes", boxesCut: true},
	{name: "cut off from the publisher", publisherCut: true},
	{name: "cut off from both", boxesCut: true, publisherCut: true},
	{name: "standing still", isStanding: true},
	{name: "back, and not yet aware of changes", isDeaf: true},
}

// put puts the box out of step; the returned function lets it go on if it stands still.
func (w outOfStep) put(o *oddBox) (resume func()) {
	if w.boxesCut {
		o.relay.members.close()
	}
	o.path.isCut.Store(w.publisherCut)
	switch {
	case w.isStanding:
		o.clock.standing.Lock()
		return o.clock.standing.Unlock
	case w.isDeaf:
		o.news.Lock()
		return func() {
			time.Sleep(100 * time.Millisecond) // requests come first
			o.news.Unlock()
		}
	}
	return func() {}
}

// During a release, streams that began at the new version through other boxes were taken up at a box that
// was out of step for some seconds, and went on at the version that it knew.
func TestBoxOutOfStepTakesUpStreamsAtOtherSoftware(t *testing.T) {
	for i, way := range waysOutOfStep {
		for j, c := range []struct {
			spell    time.Duration // shorter and longer than a list may be old, or a gap in it
			versions []string      // before
			leaving  string        // meanwhile
		}{
			{300 * time.Millisecond, []string{"v1"}, "nothing"},
			{800 * time.Millisecond, []string{"v1"}, "the new version"},
			{1300 * time.Millisecond, []string{"v1"}, "the old version"},
			{1300 * time.Millisecond, []string{"v1", "v2"}, "nothing"},
			{2600 * time.Millisecond, []string{"v1"}, "the new version"},
			{6 * time.Second, []string{"v1"}, "the old version"},
		} {
			leads, names := (i+j)%2 == 0, j%2 == 0
			t.Run(fmt.Sprintf("%s, leads %v, for %v, %s leave, %v before, first attempt named %v", way.name, leads, c.spell, c.leaving, c.versions, names), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				older, newer := newSoftwareStubs(t, 1, c.versions...), newSoftwareStub(t, "newer", "v9")
				o := startOddBox(t, leads, older...)
				resume := way.put(o)
				ends := time.Now().Add(c.spell)
				began := o.release(newer)
				switch c.leaving {
				case "the new version":
					o.publisher.set("newer", nil, true)
				case "the old version":
					o.publisher.set(older[0].id, nil, true)
				}
				time.Sleep(time.Until(ends))
				o.takeUpAll(began, names, resume)
				is.True(len(began) > 0)
			})
		}
	}
}

// release lists an upstream of a new version, and begins streams at it as soon as the sound boxes know it.
func (o *oddBox) release(newer *stub) map[string]string {
	o.t.Helper()
	o.listUpstream(newer, false)
	for _, b := range o.sound {
		b.waitFor(func() bool { return b.lists(newer.id) })
	}
	return o.beginAt(newer)
}

// A box that is out of step refuses no stream of the only version there ever was, as long as it hears of
// other boxes or of the publisher.
func TestBoxOutOfStepRefusesStreamsOfTheOnlySoftware(t *testing.T) {
	for i, way := range waysOutOfStep {
		for _, spell := range []time.Duration{0, 3 * time.Second} {
			t.Run(fmt.Sprintf("%s for %v", way.name, spell), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				only := newSoftwareStub(t, "only", "v1")
				o := startOddBox(t, i%2 == 0, only)
				began := o.beginAt(only)
				resume := way.put(o)
				time.Sleep(spell)
				wentOn := o.takeUpAll(began, i%2 == 0, resume)
				readsItself := way.boxesCut && !way.publisherCut && (spell > 0 || i%2 == 0)
				is.True(wentOn == len(began) || way.boxesCut && !readsItself)
			})
		}
	}
}

// The first answer ended a lookup: a box that did not know of a second version yet was faster than the one
// that held the record, and the stream was refused. Others held a word for knowledge, or the lack of it.
func TestAnswersAreJudgedTooEarly(t *testing.T) {
	const fresh, old = 1, uint64(3 * time.Second / time.Microsecond)
	reply := func(box, domain string, a *wire.GroupOriginReply) originReply {
		a.Domain = domain
		return originReply{box, a}
	}
	sole := func(software string, age uint64) *wire.GroupOriginReply {
		return &wire.GroupOriginReply{Sole: true, SoleSoftware: software, ListAge: age}
	}
	started := func(software string) *wire.GroupOriginReply {
		return &wire.GroupOriginReply{Origin: &wire.GroupOrigin{Software: software}}
	}
	several := func() *wire.GroupOriginReply { return new(wire.GroupOriginReply) }
	found := func(software string) *wire.GroupOriginReply {
		return &wire.GroupOriginReply{Result: wire.GroupOriginReply_FOUND, Origin: &wire.GroupOrigin{Service: "s", Software: software}}
	}
	knows := ownWord{"v1", true, true}
	for _, c := range []struct {
		name      string
		own       ownWord
		elsewhere bool          // boxes of other domains have been known
		answers   []originReply // of three boxes that are asked
		want      string        // empty: unknown
		split     bool
	}{
		{"all agree", knows, false, []originReply{reply("a", "d", sole("v1", fresh)), reply("b", "d", sole("v1", fresh)), reply("c", "d", sole("v1", fresh))}, "v1", false},
		{"nobody answers", knows, false, nil, "", false},
		{"one answers", knows, false, []originReply{reply("a", "d", sole("v1", fresh))}, "v1", false},
		{"one answers, its list is old", knows, false, []originReply{reply("a", "d", sole("v1", old))}, "v1", false},
		{"one answers, all lists are old", ownWord{"v1", true, false}, false, []originReply{reply("a", "d", sole("v1", old))}, "", false},
		{"all answer, all lists are old", ownWord{"v1", true, false}, false, []originReply{reply("a", "d", sole("v1", old)), reply("b", "d", sole("v1", old)), reply("c", "d", sole("v1", old))}, "v1", false},
		{"one that is behind is faster than the holder", ownWord{}, false, []originReply{reply("a", "d", sole("v1", fresh)), reply("b", "d", several()), reply("c", "d", found("v2"))}, "v2", true},
		{"one that is behind is faster than one that knows several", knows, false, []originReply{reply("a", "d", sole("v1", fresh)), reply("b", "d", several())}, "", true},
		{"one has seen another version", knows, false, []originReply{reply("a", "d", sole("v1", fresh)), reply("b", "d", started("v2"))}, "", true},
		{"this box knows another version", knows, false, []originReply{reply("a", "d", sole("v2", fresh)), reply("b", "d", sole("v2", fresh))}, "", true},
		{"one has just started", knows, false, []originReply{reply("a", "d", started("v1")), reply("b", "d", sole("v1", fresh))}, "v1", false},
		{"all have just started", knows, false, []originReply{reply("a", "d", started("v1")), reply("b", "d", started("v1")), reply("c", "d", started("v1"))}, "", false},
		{"this box has just started", ownWord{}, false, []originReply{reply("a", "d", sole("v1", fresh)), reply("b", "d", started("v1"))}, "v1", false},
		{"only its own domain answers", knows, true, []originReply{reply("a", "d", sole("v1", fresh)), reply("b", "d", sole("v1", fresh))}, "", false},
		{"another domain answers", knows, true, []originReply{reply("a", "d", sole("v1", fresh)), reply("b", "e", sole("v1", fresh))}, "v1", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			count := newAnswerCount("d", c.own)
			count.asked, count.otherDomains = 3, c.elsewhere
			a, done := originAnswer{}, false
			for _, r := range c.answers {
				is.True(!done)
				a, done = count.add(r)
			}
			if !done {
				a = count.conclude()
			}
			is.Equal(a.Software, c.want)
			is.Equal(a.sole || a.result == origin.Found, c.want != "")
			is.Equal(a.split, c.split)
			is.Equal(count.isPlain(), c.own.isFresh && c.want == "v1" && 2*len(c.answers) > count.asked)
		})
	}
}

// An answer that had lain in a socket while the box stood still vouched for what came after it.
func TestLateAnswerVouchesForVersions(t *testing.T) {
	is := is.New(t)
	b := newTestBoxWithConfig(t, func(c *Config) { c.FirstStart = false }, newSoftwareStubs(t, 1, "v1")...)
	o := b.relay.origins
	late := originReply{"other", &wire.GroupOriginReply{Sole: true, SoleSoftware: "v1", Service: "s"}}
	o.deliver(late)
	is.True(!b.knowsSole("v1")) // it was not asked
	o.mu.Lock()
	late.Nonce = o.addQuestion(nil)
	o.mu.Unlock()
	b.relay.mu.Lock()
	b.relay.fleet.LoseHistory(b.relay.now())
	b.relay.mu.Unlock()
	o.deliver(late)
	is.True(!b.knowsSole("v1")) // it was asked before
	o.mu.Lock()
	late.Nonce = o.addQuestion(nil)
	o.mu.Unlock()
	o.deliver(late)
	is.True(b.knowsSole("v1"))
}

// A domain that had been cut off for a minute forgot that there were others, and held the word of its own
// boxes for that of all.
func TestCutOffDomainForgetsTheOthers(t *testing.T) {
	is := is.New(t)
	b := newTestBox(t, newSoftwareStubs(t, 1, "v1")...)
	anywhere := func(string) bool { return true }
	own := origin.Peer{Address: "127.0.0.1:1", Domain: "d"}
	b.relay.origins.setPeers([]origin.Peer{own, {Address: "127.0.0.1:2", Domain: "e", Leads: true}})
	b.relay.origins.setPeers([]origin.Peer{own})
	_, others := b.relay.origins.asked(1, anywhere)
	is.True(others)
	_, others = b.relay.origins.asked(1, func(domain string) bool { return domain != "e" })
	is.True(!others) // its records may not be there
}

// A box whose list was behind said that a stream could not go on later either.
func TestStreamOfSoftwareNotYetListedIsRefusedForGood(t *testing.T) {
	is := is.New(t)
	b := newTestBox(t, newSoftwareStubs(t, 1, "v1")...)
	b.relay.origins.hold(origin.Record{Key: origin.KeyOf("customer", "s"), Origin: origin.Origin{Service: "s", Software: "v9"}, Life: time.Minute})
	b.relay.mu.Lock()
	b.relay.fleet.LoseHistory(b.relay.now())
	b.relay.mu.Unlock()
	a := b.takeUp("s", "s-again", 2)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(a.body, noSoftwareReason))
	is.True(a.header.Get("Retry-After") != "")
}
