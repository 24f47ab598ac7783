package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newTestFleet(n int) *Fleet {
	f := NewFleet(Config{Domain: "d0", Tuning: DefaultTuning})
	for i := range n {
		f.Put(0, Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: fmt.Sprintf("d%d", i%3), Slots: 8})
	}
	return f
}

func prompt(shared uint64) Request {
	return Request{Service: "s", CanTransfer: true, Tokens: 1400, Parts: []Part{{ID: shared, Tokens: 1000}, {ID: shared + 1e6, Tokens: 400}}}
}

func TestPromptsWithTheSamePrefixGoToTheSameUpstream(t *testing.T) {
	is := is.New(t)
	f, g := newTestFleet(9), newTestFleet(9)
	homes := make(map[string]bool)
	for shared := range uint64(50) {
		a, ok := f.Place(0, prompt(shared), nil)
		is.True(ok)
		b, _ := g.Place(0, prompt(shared), nil)
		is.Equal(a.Upstream.ID, b.Upstream.ID) // two boxes agree without communication
		homes[a.Upstream.ID] = true
	}
	is.True(len(homes) >= 8) // homes are spread over the upstreams
}

func TestBusyHomeIsAvoidedAndFetchedFrom(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(9)
	home, _ := f.Place(0, prompt(7), nil)
	big := Request{Service: "s", Tokens: 100000}
	ticket := f.Open(0, home.Upstream.ID, big)
	c, ok := f.Place(0, prompt(7), nil)
	is.True(ok)
	is.True(c.Upstream.ID != home.Upstream.ID)
	is.Equal(c.FetchFrom, home.Upstream.Address)
	next := c.Upstream.Address
	ticket.NoteFirstEvent(0) // the prompt has been read, so the home is free again
	c, _ = f.Place(0, prompt(7), nil)
	is.Equal(c.Upstream.ID, home.Upstream.ID)
	is.Equal(c.FetchFrom, next) // the box may not have received all reports of parts yet
	c, _ = f.Place(2*rereportInterval, prompt(7), nil)
	is.Equal(c.Upstream.ID, home.Upstream.ID)
	is.Equal(c.FetchFrom, "")
}

func TestLeavingUpstreamIsNeverChosen(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	f.Leave("u0")
	f.Put(0, Upstream{ID: "u0", Service: "s", Slots: 8}) // an out-of-date entry does not revert leaving
	f.Put(0, Upstream{ID: "u1", Service: "s", Slots: 8, Leaving: true})
	for shared := range uint64(50) {
		c, ok := f.Place(0, prompt(shared), nil)
		is.True(ok)
		is.Equal(c.Upstream.ID, "u2")
	}
	_, ok := f.Place(0, prompt(1), []string{"u2"})
	is.True(!ok)
}

func TestFailingUpstreamIsAvoidedForABoundedTime(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	f.Put(0, Upstream{ID: "good", Service: "s", Slots: 8})
	for range 20 {
		f.Open(0, "u0", prompt(1)).Close(time.Second, Failed)
	}
	for shared := range uint64(50) {
		c, _ := f.Place(time.Second, prompt(shared), nil)
		is.Equal(c.Upstream.ID, "good")
	}
	seen := false
	for shared := range uint64(50) {
		c, _ := f.Place(time.Second+backoffMax, prompt(shared), nil)
		seen = seen || c.Upstream.ID == "u0"
	}
	is.True(seen) // it is tried again
	c, ok := f.Place(time.Second, prompt(1), []string{"good"})
	is.True(ok) // an upstream in failure backoff is used if no other is left
	is.Equal(c.Upstream.ID, "u0")
}

func TestRequestsWithoutAPromptGoToTheLeastBusyUpstream(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	plain := Request{Service: "s"}
	var tickets []*Ticket
	counts := make(map[string]int)
	for range 30 {
		c, _ := f.Place(0, plain, nil)
		counts[c.Upstream.ID]++
		tickets = append(tickets, f.Open(0, c.Upstream.ID, plain))
	}
	// The box's own domain is preferred until 0.3 more of its 8 slots are in use.
	is.Equal(counts, map[string]int{"u0": 12, "u1": 9, "u2": 9})
	for _, ticket := range tickets {
		ticket.Close(0, Answered)
	}
	c, _ := f.Place(0, plain, nil)
	is.Equal(c.Upstream.Domain, "d0") // the box's own domain is preferred among equals
}

// Over any sequence of listing, removal, opening and closing, the work counted is that of the
// open tickets, and no leaving or already tried upstream is chosen.
func TestWorkAndPlacementOverAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(4)
		leaving := make(map[string]bool)
		open := make(map[*Ticket]string)
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			id := fmt.Sprintf("u%d", rapid.IntRange(0, 5).Draw(t, "upstream"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				f.Remove(id)
				delete(leaving, id)
			case 1:
				f.Put(0, Upstream{ID: id, Service: "s", Slots: 4})
			case 2:
				f.Leave(id)
				leaving[id] = f.Get(id) != nil
			case 3:
				for ticket := range open {
					ticket.Close(now, Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")))
					ticket.Close(now, Failed) // closing again has no effect
					delete(open, ticket)
					break
				}
			default:
				c, ok := f.Place(now, prompt(uint64(rapid.IntRange(0, 9).Draw(t, "part"))), []string{"u3"})
				if !ok {
					continue
				}
				if leaving[c.Upstream.ID] || c.Upstream.ID == "u3" {
					t.Fatalf("%s was chosen although it is leaving or was tried", c.Upstream.ID)
				}
				open[f.Open(0, c.Upstream.ID, prompt(1))] = c.Upstream.ID
			}
		}
		for ticket := range open {
			ticket.Close(now, Neutral)
		}
		for id, m := range f.byID {
			if m.work != (work{}) {
				t.Fatalf("%s still has work %v after all tickets were closed", id, m.work)
			}
		}
	})
}

func TestNewHomeFetchesFromThePreviousOne(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(9)
	old, _ := f.Place(0, prompt(7), nil)
	now := time.Minute
	for i := 0; ; i++ { // until a new upstream becomes the home
		id := fmt.Sprintf("new%d", i)
		f.Put(now, Upstream{ID: id, Service: "s", Address: id, Domain: "d1", Slots: 8})
		if c, _ := f.Place(now, prompt(7), nil); c.Upstream.ID == id {
			is.Equal(c.FetchFrom, old.Upstream.Address)
			break
		}
		f.Remove(id)
	}
	c, _ := f.Place(now+DefaultTuning.NewUpstreamPeriod, prompt(7), nil)
	is.Equal(c.FetchFrom, "") // by then the new home holds what it needs
}

func TestOneLaneIsReservedForTightStreams(t *testing.T) {
	is := is.New(t)
	f, g := newDividedFleet(9), newDividedFleet(9)
	f.SizeLanes(0, LanePlan{Key("s"): {Reserved: 2}})
	g.SizeLanes(0, LanePlan{Key("s"): {Reserved: 2}})
	lanes := [2]map[string]bool{{}, {}}
	for shared := uint64(1); shared <= 100; shared++ {
		for lane, r := range []Request{letter(shared), chat(shared)} {
			a, _ := f.Place(0, r, nil)
			b, _ := g.Place(0, r, nil)
			is.Equal(a.Upstream.ID, b.Upstream.ID)
			lanes[lane][a.Upstream.ID] = true
		}
	}
	is.Equal(len(lanes[1]), 2)
	is.Equal(len(lanes[0]), 7)
	for id := range lanes[1] {
		is.True(!lanes[0][id])
		f.Leave(id)
	}
	_, ok := f.Place(0, chat(1), nil)
	is.True(ok) // if the lane is empty, any other upstream serves
}

func TestUrgentWorkIsNotDelayedByLessUrgentWork(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	slow := Request{Service: "s", Tokens: 100000, Urgency: 5}
	f.Open(0, "u0", slow)
	f.SetRemoteLoads(map[LoadKey]Load{{Key("u0"), 7}: {Unread: 50000, Requests: 3}})
	for urgency, want := range map[int]int{0: 0, 4: 0, 5: 100000, 9: 150000} {
		r := prompt(1)
		r.Urgency = urgency
		c, _ := f.Place(0, r, nil)
		is.Equal(c.Backlog, want)
	}
}

func TestUnreachableDomainIsAvoidedAsAWhole(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(9)
	f.Open(0, "u1", prompt(1)).Close(0, Unreachable)
	is.Equal(len(f.Unreachable()), 1) // a single upstream may have crashed
	f.Open(0, "u4", prompt(1)).Close(time.Second, Unreachable)
	is.Equal(len(f.Unreachable()), 3) // both lie in domain d1, which counts as cut off
	is.Equal(len(f.TakeNewlyUnreachable()), 3)
	is.Equal(len(f.TakeNewlyUnreachable()), 0) // each is returned once
	for shared := range uint64(50) {
		c, _ := f.Place(time.Second, prompt(shared), nil)
		is.True(c.Upstream.Domain != "d1")
	}
	f.NoteReachableByID("u7")
	is.Equal(len(f.Unreachable()), 2)
	f.Open(0, "u0", prompt(1)).Close(0, Unreachable)
	f.Open(0, "u3", prompt(1)).Close(0, Unreachable)
	is.Equal(len(f.Unreachable()), 4) // a box never treats its own domain as cut off
}

func TestPrefillRateIsLearned(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	for range 200 {
		ticket := f.Open(0, "u0", Request{Service: "s", Tokens: 10000})
		ticket.NoteFirstEvent(100 * time.Millisecond)
		ticket.Close(time.Second, Answered)
	}
	is.True(f.prefillRate > 90 && f.prefillRate < 110)
	f.Open(0, "u0", prompt(1))
	f.Open(0, "u0", Request{Service: "s", Tokens: 10000}).NoteFirstEvent(time.Hour) // behind another request: no sample
	is.True(f.prefillRate > 90)
}

func TestUpstreamChangesItsService(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	f.Put(0, Upstream{ID: "u0", Service: "other", Slots: 8})
	_, ok := f.Place(0, prompt(1), nil)
	is.True(!ok)
	f.Remove("u0")
	_, ok = f.Place(0, Request{Service: "other"}, nil)
	is.True(!ok)
}

func TestNothingIsFetchedWithoutTransferSupport(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(9)
	r := prompt(7)
	home, _ := f.Place(0, r, nil)
	f.Open(0, home.Upstream.ID, Request{Service: "s", Tokens: 100000})
	r.CanTransfer = false
	c, _ := f.Place(0, r, nil)
	is.True(c.Upstream.ID != home.Upstream.ID)
	is.Equal(c.FetchFrom, "")
}

// Updates of the other boxes' loads apply on top of the known loads; an empty load clears an
// entry.
func TestUpdateRemoteLoads(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2)
	a, b := LoadKey{Key("u0"), 0}, LoadKey{Key("u1"), 3}
	f.SetRemoteLoads(map[LoadKey]Load{a: {Unread: 640, Requests: 2}})
	f.UpdateRemoteLoads(map[LoadKey]Load{b: {Unread: 64, Requests: 1}, {Key("unknown"), 0}: {Requests: 1}, {Key("u0"), 99}: {Requests: 1}})
	is.Equal(f.byID["u0"].totalLoad(), Load{Unread: 640, Requests: 2})
	is.Equal(f.byID["u1"].totalLoad(), Load{Unread: 64, Requests: 1})
	f.UpdateRemoteLoads(map[LoadKey]Load{a: {}})
	is.Equal(f.byID["u0"].totalLoad(), Load{})
	f.SetRemoteLoads(nil)
	is.Equal(f.byID["u1"].totalLoad(), Load{})
}
