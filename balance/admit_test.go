package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// waitOf is a place with so much to be read before a request.
func waitOf(wait time.Duration) Choice {
	return Choice{Backlog: int(DefaultTuning.ReadRate * float64(wait.Milliseconds()))}
}

func TestWhatComesTooLateIsToldWhenToComeBack(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	a := Admission{Target: 2 * time.Second}
	_, ok := f.Admit(0, prompt(1), a, waitOf(900*time.Millisecond))
	is.True(ok)
	after, ok := f.Admit(0, prompt(1), a, waitOf(1500*time.Millisecond))
	is.True(!ok)
	is.Equal(after, time.Second) // when half of the bound is left
	a.Retried = true
	_, ok = f.Admit(0, prompt(1), a, waitOf(1500*time.Millisecond))
	is.True(ok)
	_, ok = f.Admit(0, prompt(1), a, waitOf(2100*time.Millisecond))
	is.True(!ok) // it would be late even if nothing else came
	_, ok = f.Admit(0, prompt(1), Admission{}, waitOf(time.Hour))
	is.True(ok) // a route without a target waits
}

// The more upstreams have to read, the less a request may wait, and the less the longer it
// is read itself; for a little it may wait in any case.
func TestUnderLoadWhatIsReadLongWaitsLess(t *testing.T) {
	const target = 2 * time.Second
	tests := []struct {
		name     string
		mean     time.Duration // that upstreams read for what they have
		own      time.Duration // that the request is read
		again    bool
		mostWait time.Duration
	}{
		{"calm", 0, time.Second, false, time.Second},
		{"calm, come back", 0, time.Second, true, 2 * time.Second},
		{"half loaded", 200 * time.Millisecond, 200 * time.Millisecond, false, 800 * time.Millisecond},
		{"loaded", 400 * time.Millisecond, 0, false, 800 * time.Millisecond},
		{"loaded, come back", 400 * time.Millisecond, 0, true, 800 * time.Millisecond},
		{"loaded, read long", 400 * time.Millisecond, 500 * time.Millisecond, false, 300 * time.Millisecond},
		{"loaded, read for longer than its target", time.Hour, 3 * time.Second, false, 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(1)
			f.serviceOf("s").meanUnread = float64(waitOf(tt.mean).Backlog)
			a := Admission{Target: target, Retried: tt.again}
			for _, x := range []struct {
				more time.Duration
				ok   bool
			}{{-2 * time.Millisecond, true}, {2 * time.Millisecond, false}} {
				c := waitOf(tt.mostWait + x.more)
				c.Unread = waitOf(tt.own).Backlog
				_, ok := f.Admit(0, prompt(1), a, c)
				is.Equal(ok, x.ok)
			}
		})
	}
}

// What upstreams have to read on the mean is seen when the lanes are sized.
func TestTheMeanOfWhatUpstreamsHaveToRead(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(4)
	f.SetRemoteLoads(map[LoadKey]Load{{Key("u0"), 0}: {Unread: 3000, Open: 1}, {Key("u1"), 4}: {Unread: 5000, Open: 1}})
	f.SizeLanes(0, nil)
	is.Equal(f.serviceOf("s").meanUnread, 2000.0)
}

// While more urgent requests are refused, less urgent ones are held to the same wait,
// also those that came back and those whose target is longer.
func TestARefusalHoldsTheLessUrgentToItsBound(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	urgent, other := prompt(1), prompt(2)
	other.Urgency = 3
	patient := Admission{Target: 10 * time.Second, Retried: true}
	_, ok := f.Admit(0, other, patient, waitOf(2*time.Second))
	is.True(ok)
	_, ok = f.Admit(0, urgent, Admission{Target: time.Second}, waitOf(time.Second))
	is.True(!ok)
	_, ok = f.Admit(0, other, patient, waitOf(2*time.Second))
	is.True(!ok)
	_, ok = f.Admit(0, other, patient, waitOf(400*time.Millisecond))
	is.True(ok)
	_, ok = f.Admit(orderMemory, other, patient, waitOf(2*time.Second))
	is.True(ok) // the urgent have not been refused for a while
}

// Of two requests that could go to the same upstream, the less urgent never begins where
// the more urgent was just refused, whatever their targets, whoever came back, and however
// much upstreams have to read, if it is read for as long.
func TestTheLessUrgentNeverBeginsWhereTheMoreUrgentIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(3)
		load := rapid.SliceOfN(rapid.IntRange(0, 60000), 3, 3).Draw(t, "tokens")
		open := rapid.SliceOfN(rapid.IntRange(0, 20), 3, 3).Draw(t, "open")
		loads := make(map[LoadKey]Load)
		for i, id := range []string{"u0", "u1", "u2"} {
			level := rapid.IntRange(0, Levels-1).Draw(t, "level of the load")
			loads[LoadKey{Key(id), level}] = Load{Unread: load[i], Open: open[i]}
		}
		f.SetRemoteLoads(loads)
		setHoldTime(f, time.Duration(rapid.IntRange(0, 5000).Draw(t, "held"))*time.Millisecond)
		admission := func(name string) Admission {
			target := rapid.IntRange(1, 5000).Draw(t, "target of the "+name)
			return Admission{Target: time.Duration(target) * time.Millisecond, Retried: rapid.Bool().Draw(t, name+" again")}
		}
		urgent, other := prompt(7), prompt(7)
		urgent.Urgency = rapid.IntRange(0, Levels-2).Draw(t, "urgent")
		other.Urgency = rapid.IntRange(urgent.Urgency+1, Levels-1).Draw(t, "other")
		f.serviceOf("s").meanUnread = float64(rapid.IntRange(0, 60000).Draw(t, "mean"))
		first, _ := f.Place(0, urgent, nil)
		first.Unread = rapid.IntRange(0, 90000).Draw(t, "read of the urgent")
		a := admission("urgent")
		a.Retried = false
		if _, ok := f.Admit(0, urgent, a, first); ok {
			return
		}
		m := f.byID[first.Upstream.ID]
		there := Choice{Upstream: &m.Upstream, Backlog: f.backlog(0, m, other.urgencyLevel()),
			Unread: first.Unread + rapid.IntRange(0, 20000).Draw(t, "read more of the other")}
		if _, ok := f.Admit(0, other, admission("other"), there); ok {
			t.Fatalf("urgency %d begins with %d tokens before it where %d was refused with %d",
				other.Urgency, there.Backlog, urgent.Urgency, first.Backlog)
		}
	})
}

// Where streams hold all slots, a request waits for one: it goes where slots are free, and
// is refused where none will be in time.
func TestAnUpstreamWithoutFreeSlotsIsBusyThoughItReadsNothing(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2)
	home, _ := f.Place(0, prompt(1), nil)
	setHoldTime(f, 4*time.Second) // of 8 slots, one comes free each 500 ms
	full := func(level, open int) {
		f.SetRemoteLoads(map[LoadKey]Load{{Key(home.Upstream.ID), level}: {Open: open}})
	}
	r := prompt(1)
	r.Urgency = 2
	full(2, 7)
	c, _ := f.Place(0, r, nil)
	is.Equal(c.Upstream.ID, home.Upstream.ID)
	is.Equal(c.Backlog, 0)
	full(2, 10)
	c, _ = f.Place(0, r, nil)
	is.True(c.Upstream.ID != home.Upstream.ID)
	c, _ = f.Place(0, r, []string{c.Upstream.ID})
	is.Equal(f.readTime(c.Backlog), 1500*time.Millisecond) // the third to come free
	_, ok := f.Admit(0, r, Admission{Target: time.Second}, c)
	is.True(!ok)
	full(3, 10) // less urgent ones are put back for it
	c, _ = f.Place(0, r, nil)
	is.Equal(c.Upstream.ID, home.Upstream.ID)
	is.Equal(c.Backlog, 0)
}
