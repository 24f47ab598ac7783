package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Nothing is sent to an evacuated failure domain, for any kind of request and any state of the
// other upstreams. The upstreams are in d0, d1 and d2 in turn; d0 is the domain of the box.
func TestNothingIsSentToEvacuatedDomain(t *testing.T) {
	for _, c := range []struct {
		name      string
		evacuated []string
		tried     []string // tried before, as for a retry or a resumed stream
		out       []string // unreachable upstreams
		want      []string // domains that may be chosen; none: the request is not placed
	}{
		{"another domain", []string{"d1"}, nil, nil, []string{"d0", "d2"}},
		{"the box's own", []string{"d0"}, nil, nil, []string{"d1", "d2"}},
		{"two domains", []string{"d0", "d1"}, nil, nil, []string{"d2"}},
		{"all domains", []string{"d0", "d1", "d2"}, nil, nil, nil},
		{"retry", []string{"d1"}, []string{"u0", "u3", "u2"}, nil, []string{"d2"}},
		{"retry with no other upstream left", []string{"d1"}, []string{"u0", "u3", "u2", "u5"}, nil, nil},
		{"all others unreachable", []string{"d1", "d2"}, nil, []string{"u0", "u3"}, []string{"d0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(6)
			for _, d := range c.evacuated {
				is.True(f.Evacuate(d))
				is.True(!f.Evacuate(d)) // repeated
			}
			for _, id := range c.out {
				f.markUnreachable(f.byID[id], false)
			}
			allowed := make(map[string]bool)
			for _, d := range c.want {
				allowed[d] = true
			}
			for shared := range uint64(200) {
				for _, r := range []Request{prompt(shared + 1), {Service: "s"}} {
					choice, ok := f.Place(time.Second, r, c.tried)
					is.Equal(ok, len(c.want) > 0)
					is.True(!ok || allowed[choice.Upstream.Domain])
				}
			}
		})
	}
}

// Prompt parts cached in an evacuated domain are fetched instead of prefilled again, but not from
// an upstream that is unreachable.
func TestPartsAreFetchedFromEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6)
	f.cfg.FirstStart = true
	r := prompt(7)
	first, _ := f.Place(time.Second, r, nil)
	f.Open(time.Second, first.Upstream.ID, r).Close(time.Second, Answered)
	f.Evacuate(first.Upstream.Domain)
	second, ok := f.Place(2*time.Second, r, nil)
	is.True(ok)
	is.True(second.Upstream.Domain != first.Upstream.Domain)
	is.Equal(second.FetchFrom, first.Upstream.Address)
	f.markUnreachable(f.byID[first.Upstream.ID], false)
	third, ok := f.Place(2*time.Second, r, nil)
	is.True(ok)
	is.Equal(third.FetchFrom, "")
}

func TestUpstreamsListedLaterAreEvacuated(t *testing.T) {
	is := is.New(t)
	f := NewFleet(Config{Domain: "d0", Tuning: DefaultTuning})
	f.Evacuate("d1")
	f.Put(0, Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", Domain: "d1", Slots: 8})
	_, ok := f.Place(time.Second, Request{Service: "s"}, nil)
	is.True(!ok)
	f.markUnreachable(f.byID["u"], false)
	is.Equal(len(f.Unreachable()), 0) // no probes either
	is.Equal(f.Evacuated(), []string{"d1"})

	is.True(f.EndEvacuation(2*time.Second, "d1"))
	is.True(!f.EndEvacuation(2*time.Second, "d1"))
	is.Equal(len(f.Unreachable()), 1)
	_, ok = f.Place(2*time.Second, Request{Service: "s"}, nil)
	is.True(ok)
}

// The upstreams of a domain may have become cold just before its evacuation ends: they are sent
// no more than the limit for cold upstreams.
func TestDomainIsColdAfterEvacuation(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6)
	f.SetCold("s", ColdLimit{Duration: 3 * time.Second, MaxPerSecond: 12})
	f.SetQuotaPeers(QuotaPeers{Box: "box", Boxes: []string{"box"}})
	for _, d := range []string{"d0", "d1", "d2"} {
		f.Evacuate(d)
	}
	f.EndEvacuation(10*time.Second, "d0")
	sent := 0
	for i := range 100 {
		r := prompt(uint64(i + 1))
		if choice, ok := f.Place(10*time.Second, r, nil); ok {
			is.Equal(choice.Upstream.Domain, "d0")
			f.Open(10*time.Second, choice.Upstream.ID, r)
			sent++
		}
	}
	is.Equal(sent, 2*2) // two upstreams, each with a third of half of the limit, since there are three domains
	is.Equal(f.ColdLeft(11*time.Second, "s"), 2*time.Second)
	_, ok := f.Place(13*time.Second, prompt(1), nil)
	is.True(ok)
	is.Equal(f.ColdLeft(13*time.Second, "s"), time.Duration(0))
}

func TestUpstreamReplacesPreviousHolderOfAddress(t *testing.T) {
	put := func(id string, revision uint64) Upstream {
		return Upstream{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 8, Revision: revision}
	}
	for _, c := range []struct {
		name     string
		entries  []Upstream
		want     string
		replaced []string
	}{
		{"entry of the new one arrives later", []Upstream{put("old", 3), put("new", 7)}, "new", []string{"", "old"}},
		{"entry of the old one arrives later", []Upstream{put("new", 7), put("old", 3)}, "new", []string{"", ""}},
		{"entry is renewed", []Upstream{put("old", 3), put("old", 9)}, "old", []string{"", ""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := NewFleet(Config{Tuning: DefaultTuning})
			var replaced []string
			for _, u := range c.entries {
				replaced = append(replaced, f.Put(time.Second, u))
			}
			is.Equal(replaced, c.replaced)
			is.Equal(f.IDs(), []string{c.want})
		})
	}
}

// Thirty upstreams have restarted under their old addresses, and their entries have not arrived
// yet. For each, one request of one of ninety boxes finds out, and no other box sends a second
// one. The route allows a single run, so each request that finds out gets no answer.
func TestOneRequestDetectsReplacedUpstream(t *testing.T) {
	is := is.New(t)
	boxes := make([]*Fleet, 90)
	for i := range boxes {
		boxes[i] = newTestFleet(90)
	}
	returned := make(map[string]bool)
	for i := range 30 {
		returned[fmt.Sprintf("u%d", 3*i)] = true
	}
	unanswered := 0
	for i := range uint64(2000) {
		f := boxes[i%90]
		now := time.Second + time.Duration(i)*5*time.Millisecond
		r := prompt(i + 1)
		choice, ok := f.Place(now, r, nil)
		is.True(ok)
		ticket := f.Open(now, choice.Upstream.ID, r)
		if !returned[choice.Upstream.ID] {
			ticket.Close(now, Answered)
			continue
		}
		unanswered++
		ticket.Close(now, Replaced)
		reports := f.TakePartReports()
		for _, other := range boxes { // as the group reports it
			other.NotePartReports(now, reports)
		}
	}
	is.True(unanswered <= 30)
	is.True(unanswered > 0)
}
