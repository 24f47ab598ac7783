package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// entryOf returns an entry with a start time.
func entryOf(id string, startedAt int64, revision uint64) Upstream {
	return Upstream{ID: id, StartedAt: startedAt, Service: "s", Address: "10.1.0.1:1", Domain: "d1", Slots: 8, Revision: revision}
}

func leaving(u Upstream) Upstream {
	u.Leaving = true
	return u
}

// withCommandCount adds the number of control commands received to an entry.
func withCommandCount(u Upstream, count uint64) Upstream {
	u.CommandCount, u.HasCommandCount = count, true
	return u
}

func TestEntriesOfIncarnations(t *testing.T) {
	noStart := func(revision uint64) Upstream { return entryOf("u", 0, revision) }
	for _, c := range []struct {
		name      string
		entries   []Upstream
		startedAt int64
		leaving   bool
		discards  bool // the last entry discards the earlier state
	}{
		{"a later incarnation", []Upstream{entryOf("u", 100, 1), entryOf("u", 200, 2)}, 200, false, true},
		{"a later incarnation after leaving", []Upstream{leaving(entryOf("u", 100, 1)), entryOf("u", 200, 2)}, 200, false, true},
		{"a later incarnation whose entry arrived first", []Upstream{entryOf("u", 200, 2), entryOf("u", 100, 1)}, 200, false, false},
		{"an earlier incarnation with a greater revision", []Upstream{entryOf("u", 200, 2), leaving(entryOf("u", 100, 9))}, 200, false, false},
		{"the same incarnation, ready after leaving", []Upstream{leaving(entryOf("u", 100, 1)), entryOf("u", 100, 2)}, 100, true, false},
		{"the same incarnation", []Upstream{entryOf("u", 100, 1), entryOf("u", 100, 2)}, 100, false, false},
		{"a start time after an entry without one", []Upstream{leaving(noStart(1)), entryOf("u", 100, 2)}, 100, false, true},
		{"an entry without a start time after one with it", []Upstream{entryOf("u", 100, 1), noStart(2)}, 100, false, false},
		{"no start time, ready after leaving", []Upstream{leaving(noStart(1)), noStart(2)}, 0, true, false},
		{"no start time, the command count decreases", []Upstream{leaving(withCommandCount(noStart(1), 5)), withCommandCount(noStart(2), 1)}, 0, false, true},
		{"no start time, the command count decreases in an out-of-date entry", []Upstream{leaving(withCommandCount(noStart(3), 5)), withCommandCount(noStart(2), 1)}, 0, true, false},
		{"no start time, no command count", []Upstream{leaving(withCommandCount(noStart(1), 5)), noStart(2)}, 0, true, false},
		{"no start time, the command count increases", []Upstream{leaving(withCommandCount(noStart(1), 5)), withCommandCount(noStart(2), 6)}, 0, true, false},
		{"the command count decreases within an incarnation", []Upstream{leaving(withCommandCount(entryOf("u", 100, 1), 5)), withCommandCount(entryOf("u", 100, 2), 0)}, 100, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newInformedFleet(0)
			last := len(c.entries) - 1
			for _, u := range c.entries[:last] {
				f.Put(0, u)
			}
			before := f.byID["u"]
			f.Put(time.Minute, c.entries[last])
			u := f.Get("u")
			is.Equal(u.StartedAt, c.startedAt)
			is.Equal(u.Leaving, c.leaving)
			is.Equal(f.byID["u"] != before, c.discards)
		})
	}
}

// A new incarnation discards all state of the previous one, whose open requests end without
// affecting it.
func TestNewIncarnationStartsWithoutState(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(3)
	f.Put(0, entryOf("u", 100, 1))
	old := f.byID["u"]
	var open []*Ticket
	for range 4 {
		open = append(open, f.Open(0, "u", prompt(7)))
	}
	f.Open(0, "u", prompt(7)).Close(0, Failed)
	f.Open(0, "u", prompt(7)).Close(0, Failed)
	f.SetRemoteLoads(map[LoadKey]Load{{old.key, 0}: {Requests: 3, Unread: 100}})
	f.markCold(0, old, time.Hour)
	is.True(f.parts.holds(0, PartKey(7), old))
	news := f.TakePartReports()

	f.Put(time.Second, entryOf("u", 200, 2))
	m := f.byID["u"]
	is.Equal(m.totalLoad(), Load{})
	is.Equal(m.health, health{})
	is.True(!f.parts.holds(time.Second, PartKey(7), m))
	is.Equal(m.coldUntil, longAgo)
	is.Equal(f.Loads(), map[LoadKey]Load{})
	f.NotePartReports(time.Second, news) // from a box that does not know the new incarnation yet
	f.UpdateRemoteLoads(map[LoadKey]Load{{old.key, 0}: {Requests: 3}})
	is.True(!f.parts.holds(time.Second, PartKey(7), m))
	is.Equal(m.totalLoad(), Load{})
	for i, outcome := range []Outcome{Unreachable, Replaced, ConnectionRefused, ConnectionLost} {
		open[i].Close(time.Second, outcome)
	}
	is.True(!m.unreachable && !m.Leaving && !m.suspect)
	is.Equal(m.health, health{})
	is.Equal(f.domainReachOf("d1").consecutive, 0) // these outcomes do not count towards a cut-off domain
	is.Equal(len(f.TakeNewlyUnreachable()), 0)
	is.Equal(len(f.TakePartReports()), 0)
	f.Open(time.Second, "u", prompt(8)).Close(time.Second, Answered)
	is.Equal(m.totalLoad(), Load{})
}

// If two boxes know different incarnations of an upstream, each ignores what the other reports of
// it.
func TestReportsBetweenBoxesThatDisagreeAreIgnored(t *testing.T) {
	is := is.New(t)
	behind, ahead := newInformedFleet(3), newInformedFleet(3)
	behind.Put(0, entryOf("u", 100, 1))
	ahead.Put(0, entryOf("u", 200, 2))
	for _, pair := range [][2]*Fleet{{behind, ahead}, {ahead, behind}} {
		sender, receiver := pair[0], pair[1]
		sender.Open(0, "u", prompt(7))
		receiver.NotePartReports(0, sender.TakePartReports())
		receiver.SetRemoteLoads(sender.Loads())
		m := receiver.byID["u"]
		is.Equal(m.remoteWork, work{})
	}
	is.Equal(len(behind.parts.holders[PartKey(7)]), 1) // from its own request
	behind.Put(0, entryOf("u", 200, 2))
	is.Equal(len(behind.parts.holders), 0)
	behind.SetRemoteLoads(ahead.Loads())
	is.Equal(behind.byID["u"].remoteWork.upTo(UrgencyLevels-1).Requests, 1)
}

func TestReplacedIncarnationIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(3)
	f.Put(0, entryOf("u", 100, 1))
	f.Open(0, "u", prompt(7)).Close(0, Replaced)
	is.True(f.Get("u").Leaving)
	f.Remove("u") // its entry is lost together with the store
	f.Put(time.Minute, entryOf("u", 100, 5))
	is.True(f.Get("u").Leaving)
	f.Remove("u")
	f.Put(time.Minute, entryOf("u", 90, 9)) // an entry of an earlier incarnation
	is.Equal(f.Get("u"), nil)
	f.Put(time.Minute, entryOf("u", 200, 6))
	is.True(!f.Get("u").Leaving)
}

func TestStoredIncarnationsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(0)
	f.Put(0, entryOf("stays", 100, 1))
	for i := range maxIncarnations + 10 {
		id := fmt.Sprint("u", i)
		u := entryOf(id, 100, 1)
		u.Address = ""
		f.Put(0, u)
		f.Remove(id)
	}
	is.True(len(f.incarnations) <= maxIncarnations+1)
	is.True(f.isStale(entryOf("stays", 99, 2)))
}

// Events that may show a restart before the entry says so, and events that do not.
func TestSignsOfARestart(t *testing.T) {
	ends := func(f *Fleet, open []*Ticket, gap time.Duration, outcomes ...Outcome) time.Duration {
		now := time.Second
		for i, o := range outcomes {
			now += gap
			open[i].Close(now, o)
		}
		return now
	}
	for _, c := range []struct {
		name       string
		outcomes   []Outcome
		gap        time.Duration
		keepsParts bool // the part index keeps its parts
	}{
		{"all connections break at once", []Outcome{ConnectionLost, ConnectionLost, ConnectionLost, ConnectionLost}, 20 * time.Millisecond, false},
		{"all connections break, one after the other", []Outcome{ConnectionLost, ConnectionLost, ConnectionLost, ConnectionLost}, time.Second, true},
		{"some connections break at once", []Outcome{ConnectionLost, ConnectionLost, ConnectionLost}, 20 * time.Millisecond, true},
		{"other failures", []Outcome{Failed, Failed, Failed, Failed}, 0, true},
		{"connection refused", []Outcome{ConnectionRefused}, 0, false},
		{"connection timed out", []Outcome{Unreachable}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newInformedFleet(3)
			f.Put(0, entryOf("u", 100, 1))
			m := f.byID["u"]
			var open []*Ticket
			for range 4 {
				ticket := f.Open(0, "u", prompt(7))
				ticket.NoteFirstEvent(0)
				open = append(open, ticket)
			}
			news := f.TakePartReports()
			now := ends(f, open, c.gap, c.outcomes...)
			is.Equal(f.parts.holds(now, PartKey(7), m), c.keepsParts)
			f.NotePartReports(now+maxNewsAge-1, news) // may predate the sign
			is.Equal(f.parts.holds(now+maxNewsAge-1, PartKey(7), m), true == c.keepsParts)
			f.recordReachable(now, m)
			f.NotePartReports(now+2*maxNewsAge, news) // a later report is accepted
			is.True(f.parts.holds(now+2*maxNewsAge, PartKey(7), m))
		})
	}
}

// While an upstream is down, boxes that have not noticed keep reporting the parts they sent
// there.
func TestReportsDuringAnOutageAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(3)
	f.Put(0, entryOf("u", 100, 1))
	m := f.byID["u"]
	f.Open(0, "u", prompt(7)).Close(0, ConnectionRefused)
	news := []PartReport{{PartKey(7), m.key}}
	f.NotePartReports(time.Minute, news)
	is.True(f.NoteReachable(time.Minute, Incarnation{"u", 100}))
	f.NotePartReports(time.Minute+maxNewsAge/2, news)
	is.True(!f.parts.holds(time.Minute+maxNewsAge/2, PartKey(7), m))
	f.NotePartReports(time.Minute+maxNewsAge, news)
	is.True(f.parts.holds(time.Minute+maxNewsAge, PartKey(7), m))
}

func TestTrialOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(3)
	f.Put(0, entryOf("u", 200, 1))
	f.Open(0, "u", prompt(7)).Close(0, Unreachable)
	is.True(!f.NoteReachable(0, Incarnation{"u", 100}))
	is.True(f.byID["u"].unreachable)
	is.True(f.NoteReachable(0, Incarnation{"u", 200}))
	is.True(!f.byID["u"].unreachable)
}

func TestAddressHolder(t *testing.T) {
	otherService := func(u Upstream) Upstream {
		u.Service = "unknown"
		return u
	}
	for _, c := range []struct {
		name    string
		entries []Upstream
		want    []string
	}{
		{"the later start", []Upstream{entryOf("a", 100, 9), entryOf("b", 200, 3)}, []string{"b"}},
		{"the later start, put first", []Upstream{entryOf("b", 200, 3), entryOf("a", 100, 9)}, []string{"b"}},
		{"a copy of an entry under another ID", []Upstream{entryOf("a", 100, 1), entryOf("copy", 100, 9)}, []string{"a"}},
		{"no start time", []Upstream{entryOf("a", 100, 1), entryOf("b", 0, 9)}, []string{"a"}},
		{"a start time after an entry without one", []Upstream{entryOf("a", 0, 9), entryOf("b", 100, 3)}, []string{"b"}},
		{"an entry of a service outside the document", []Upstream{entryOf("a", 100, 1), otherService(entryOf("b", 200, 9))}, []string{"a", "b"}},
		{"an entry after one of a service outside the document", []Upstream{otherService(entryOf("b", 200, 9)), entryOf("a", 100, 1)}, []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newInformedFleet(0)
			f.SetServices(0, []string{"s"})
			for _, u := range c.entries {
				f.Put(0, u)
			}
			ids := f.IDs()
			slices.Sort(ids)
			is.Equal(ids, c.want)
		})
	}
}

// An upstream whose address was taken by an entry of another writer gets it back as soon as the
// upstream itself answers with its ID, or when that entry is removed.
func TestAddressReturnsToItsUpstream(t *testing.T) {
	for name, end := range map[string]func(f *Fleet){
		"the upstream answers with its ID": func(f *Fleet) {
			f.NoteIdentity(time.Second, Incarnation{"false", 900}, "true")
		},
		"the entry is removed": func(f *Fleet) { f.Remove("false") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newInformedFleet(0)
			f.Put(0, entryOf("true", 100, 1))
			is.Equal(f.Put(0, entryOf("false", 900, 2)), "true")
			f.Put(0, entryOf("true", 100, 3)) // it renews its entry and still waits
			is.Equal(f.IDs(), []string{"false"})
			end(f)
			is.Equal(f.IDs(), []string{"true"})
			is.True(!f.Get("true").Leaving)
			if name == "the entry is removed" {
				return
			}
			f.Put(time.Second, entryOf("false", 900, 5)) // a replaced incarnation takes no address
			is.Equal(f.IDs(), []string{"true"})
			f.Remove("true")
			f.NoteIdentity(time.Second, Incarnation{"none", 1}, "true")
		})
	}
}

// The configuration document in force names the services. It may arrive after an entry, and
// change.
func TestEntryMayPrecedeItsService(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(0)
	f.Put(0, entryOf("a", 100, 1)) // no document yet
	late := entryOf("late", 200, 2)
	late.Service = "new"
	f.SetServices(0, []string{"s"})
	f.Put(0, late)
	is.Equal(len(f.IDs()), 2)
	f.SetServices(0, []string{"s", "new"}) // it started later, so it holds the address
	is.Equal(f.IDs(), []string{"late"})
	f.SetServices(0, []string{"s"}) // the service is removed again
	ids := f.IDs()
	slices.Sort(ids)
	is.Equal(ids, []string{"a", "late"})
	is.Equal(f.byAddress["10.1.0.1:1"].ID, "a")
}

// One box finds out that an entry states a wrong address and reports it. Every other box gives
// the address to the upstream that uses it, whether its entry waits for the address or arrives
// later.
func TestAllBoxesReturnAnAddress(t *testing.T) {
	for _, c := range []struct {
		name     string
		entries  []Upstream // what the receiver knows before the report
		then     []Upstream // what is put after the report
		want     string
		isServed bool
	}{
		{"the correct entry waits", []Upstream{entryOf("true", 100, 1)}, nil, "true", true},
		{"the correct entry is renewed afterwards", []Upstream{entryOf("true", 100, 1)}, []Upstream{entryOf("true", 100, 3)}, "true", true},
		{"the correct entry arrives afterwards", nil, []Upstream{entryOf("true", 100, 3)}, "true", true},
		{"the correct entry arrives, and the wrong one again", nil, []Upstream{entryOf("true", 100, 3), entryOf("false", 900, 9)}, "true", true},
		{"the correct entry is leaving", []Upstream{leaving(entryOf("true", 100, 1))}, nil, "false", false},
		{"a later entry is leaving", []Upstream{entryOf("true", 100, 1), leaving(entryOf("left", 200, 1))}, nil, "true", true},
		{"no other entry names the address", nil, nil, "false", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sender, receiver := newInformedFleet(0), newInformedFleet(0)
			sender.Put(0, entryOf("true", 100, 1))
			sender.Put(0, entryOf("false", 900, 2))
			for _, u := range c.entries {
				receiver.Put(0, u)
			}
			receiver.Put(0, entryOf("false", 900, 2))
			sender.NoteIdentity(time.Second, Incarnation{"false", 900}, "true")
			receiver.NotePartReports(time.Second, sender.TakePartReports())
			for _, u := range c.then {
				receiver.Put(2*time.Second, u)
			}
			is.Equal(receiver.IDs(), []string{c.want})
			is.Equal(!receiver.Get(c.want).Leaving, c.isServed)
		})
	}
}

// When the wrong entry is removed, an upstream that is not leaving precedes a later one that is.
func TestAddressGoesToAnUpstreamThatIsNotLeaving(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(0)
	f.Put(0, entryOf("true", 100, 1))
	f.Put(0, leaving(entryOf("left", 200, 1)))
	f.Put(0, entryOf("false", 900, 2))
	f.Remove("false")
	is.Equal(f.IDs(), []string{"true"})
}

// The open requests of this box on an incarnation are counted again when it is listed again,
// whatever the reason for its removal, and on no other incarnation. The memory bound depends on
// it.
func TestOpenWorkIsCountedWhenListedAgain(t *testing.T) {
	renewed := func(f *Fleet) { f.Put(time.Second, entryOf("u", 100, 3)) }
	for _, c := range []struct {
		name      string
		startedAt int64
		between   func(f *Fleet)
		counted   bool
	}{
		{"its entry is removed and put again", 100, func(f *Fleet) {
			f.Remove("u")
			renewed(f)
		}, true},
		{"its entry is removed and put again twice", 100, func(f *Fleet) {
			f.Remove("u")
			renewed(f)
			f.Remove("u")
			renewed(f)
		}, true},
		{"it waits for its address meanwhile", 100, func(f *Fleet) {
			f.Put(0, entryOf("false", 900, 2))
			f.Remove("false")
		}, true},
		{"no start time", 0, func(f *Fleet) {
			f.Remove("u")
			f.Put(time.Second, entryOf("u", 0, 3))
		}, true},
		{"it restarts", 100, func(f *Fleet) { f.Put(time.Second, entryOf("u", 200, 3)) }, false},
		{"it is removed and put as another incarnation", 100, func(f *Fleet) {
			f.Remove("u")
			f.Put(time.Second, entryOf("u", 200, 3))
		}, false},
		{"no start time, and its command count decreases", 0, func(f *Fleet) {
			f.Put(0, withCommandCount(entryOf("u", 0, 2), 5))
			f.Remove("u")
			f.Put(time.Second, withCommandCount(entryOf("u", 0, 3), 1))
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newInformedFleet(0)
			f.Put(0, entryOf("u", c.startedAt, 1))
			first, second := f.Open(0, "u", prompt(7)), f.Open(0, "u", prompt(8))
			before, reported := f.byID["u"].work, f.Loads()
			is.True(before.upTo(UrgencyLevels-1).MemoryTokens > 0)
			c.between(f)
			want := work{}
			if c.counted {
				want = before
				is.Equal(f.Loads(), reported)
			}
			is.Equal(f.byID["u"].work, want)
			first.Close(2*time.Second, Answered)
			if c.counted {
				is.Equal(f.byID["u"].work.upTo(UrgencyLevels-1).Requests, 1)
			}
			second.Close(2*time.Second, Answered)
			is.Equal(f.byID["u"].work, work{})
			is.Equal(len(f.unlisted), 0)
		})
	}
}

// The state of an unlisted upstream is dropped when the last request open on it ends.
func TestUnlistedUpstreamIsKeptWhileRequestsAreOpen(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(0)
	f.Put(0, entryOf("u", 100, 1))
	first, second := f.Open(0, "u", prompt(7)), f.Open(0, "u", prompt(8))
	f.Remove("u")
	first.Close(time.Second, Answered)
	is.Equal(len(f.unlisted), 1)
	second.Close(time.Second, Answered)
	is.Equal(len(f.unlisted), 0)
	f.Put(time.Second, entryOf("u", 100, 2))
	is.Equal(f.byID["u"].work, work{})
	f.Remove("u")
	is.Equal(len(f.unlisted), 0) // no request is open on it
}

// A late entry of an earlier incarnation is ignored, also after more than maxIncarnations
// upstreams were replaced at about the same time.
func TestEarlierIncarnationIsIgnoredAfterManyRestarts(t *testing.T) {
	is := is.New(t)
	const upstreams = maxIncarnations + 100
	f := NewFleet(Config{Domain: "d", Tuning: DefaultTuning})
	entry := func(i int, startedAt int64) Upstream {
		return Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Domain: "d", Slots: 1, StartedAt: startedAt}
	}
	for i := range 2 * upstreams {
		f.Put(0, entry(i, 2))
	}
	for i := range upstreams {
		f.Remove(fmt.Sprintf("u%d", i))
	}
	f.Put(0, entry(0, 1)) // of an earlier incarnation
	is.True(f.Get("u0") == nil)
}
