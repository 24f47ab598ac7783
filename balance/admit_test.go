package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// choiceWithWait returns a choice whose backlog takes the given time to prefill.
func choiceWithWait(wait time.Duration) Choice {
	return Choice{Backlog: int(DefaultTuning.PrefillRate * float64(wait.Milliseconds()))}
}

func TestAdmitReturnsRetryDelayForLateRequests(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	a := Admission{Target: 2 * time.Second}
	_, ok := f.Admit(0, prompt(1), a, choiceWithWait(900*time.Millisecond))
	is.True(ok)
	retryAfter, ok := f.Admit(0, prompt(1), a, choiceWithWait(1500*time.Millisecond))
	is.True(!ok)
	is.Equal(retryAfter, time.Second) // when half of the bound is left
	a.Retried = true
	_, ok = f.Admit(0, prompt(1), a, choiceWithWait(1500*time.Millisecond))
	is.True(ok)
	_, ok = f.Admit(0, prompt(1), a, choiceWithWait(2100*time.Millisecond))
	is.True(!ok) // late even with nothing queued after it
	_, ok = f.Admit(0, prompt(1), Admission{}, choiceWithWait(time.Hour))
	is.True(ok) // a route without a target always admits
}

// The longer the mean backlog of upstreams, the shorter the wait that a request is admitted with,
// and the longer the request itself takes to prefill, the shorter that wait; a minimum always
// remains.
func TestAdmissionBoundShrinksWithLoadAndPrefillTime(t *testing.T) {
	const target = 2 * time.Second
	tests := []struct {
		name        string
		meanBacklog time.Duration // mean prefill time of the upstreams' backlog
		own         time.Duration // prefill time of the request
		retried     bool
		maxWait     time.Duration
	}{
		{"calm", 0, time.Second, false, time.Second},
		{"calm, retry", 0, time.Second, true, 2 * time.Second},
		{"half loaded", 200 * time.Millisecond, 200 * time.Millisecond, false, 800 * time.Millisecond},
		{"loaded", 400 * time.Millisecond, 0, false, 800 * time.Millisecond},
		{"loaded, retry", 400 * time.Millisecond, 0, true, 800 * time.Millisecond},
		{"loaded, long prefill", 400 * time.Millisecond, 500 * time.Millisecond, false, 300 * time.Millisecond},
		{"loaded, prefill exceeds the target", time.Hour, 3 * time.Second, false, 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(1)
			f.serviceOf("s").meanUnread = float64(choiceWithWait(tt.meanBacklog).Backlog)
			a := Admission{Target: target, Retried: tt.retried}
			for _, x := range []struct {
				more time.Duration
				ok   bool
			}{{-2 * time.Millisecond, true}, {2 * time.Millisecond, false}} {
				c := choiceWithWait(tt.maxWait + x.more)
				c.Unread = choiceWithWait(tt.own).Backlog
				_, ok := f.Admit(0, prompt(1), a, c)
				is.Equal(ok, x.ok)
			}
		})
	}
}

// The mean backlog of the upstreams is updated when lanes are sized.
func TestMeanBacklogOfUpstreams(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(4)
	f.SetRemoteLoads(map[LoadKey]Load{{Key("u0"), 0}: {Unread: 3000, Requests: 1}, {Key("u1"), 4}: {Unread: 5000, Requests: 1}})
	f.SizeLanes(0, nil)
	is.Equal(f.serviceOf("s").meanUnread, 2000.0)
}

// While more urgent requests are refused, less urgent ones are limited to the same wait,
// including retries and requests with a longer target.
func TestRefusalLimitsLessUrgentRequests(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	urgent, other := prompt(1), prompt(2)
	other.Urgency = 3
	patient := Admission{Target: 10 * time.Second, Retried: true}
	_, ok := f.Admit(0, other, patient, choiceWithWait(2*time.Second))
	is.True(ok)
	_, ok = f.Admit(0, urgent, Admission{Target: time.Second}, choiceWithWait(time.Second))
	is.True(!ok)
	_, ok = f.Admit(0, other, patient, choiceWithWait(2*time.Second))
	is.True(!ok)
	_, ok = f.Admit(0, other, patient, choiceWithWait(400*time.Millisecond))
	is.True(ok)
	_, ok = f.Admit(refusalHold, other, patient, choiceWithWait(2*time.Second))
	is.True(ok) // the last refusal of an urgent request was too long ago
}

// Of two requests for the same upstream, the less urgent one is never admitted where the more
// urgent one was just refused, whatever their targets, which of them is a retry, and however long
// the backlog, provided that it takes at least as long to prefill.
func TestLessUrgentNeverAdmittedWhereMoreUrgentIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(3)
		load := rapid.SliceOfN(rapid.IntRange(0, 60000), 3, 3).Draw(t, "tokens")
		open := rapid.SliceOfN(rapid.IntRange(0, 20), 3, 3).Draw(t, "open")
		loads := make(map[LoadKey]Load)
		for i, id := range []string{"u0", "u1", "u2"} {
			level := rapid.IntRange(0, UrgencyLevels-1).Draw(t, "level of the load")
			loads[LoadKey{Key(id), level}] = Load{Unread: load[i], Requests: open[i]}
		}
		f.SetRemoteLoads(loads)
		setHoldTime(f, time.Duration(rapid.IntRange(0, 5000).Draw(t, "held"))*time.Millisecond)
		admission := func(name string) Admission {
			target := rapid.IntRange(1, 5000).Draw(t, "target of the "+name)
			return Admission{Target: time.Duration(target) * time.Millisecond, Retried: rapid.Bool().Draw(t, name+" is a retry")}
		}
		urgent, other := prompt(7), prompt(7)
		urgent.Urgency = rapid.IntRange(0, UrgencyLevels-2).Draw(t, "urgent")
		other.Urgency = rapid.IntRange(urgent.Urgency+1, UrgencyLevels-1).Draw(t, "other")
		f.serviceOf("s").meanUnread = float64(rapid.IntRange(0, 60000).Draw(t, "mean backlog"))
		first, _ := f.Place(0, urgent, nil)
		first.Unread = rapid.IntRange(0, 90000).Draw(t, "unread tokens of the urgent")
		a := admission("urgent")
		a.Retried = false
		if _, ok := f.Admit(0, urgent, a, first); ok {
			return
		}
		m := f.byID[first.Upstream.ID]
		there := Choice{Upstream: &m.Upstream, Backlog: f.backlog(0, m, other.urgencyLevel()),
			Unread: first.Unread + rapid.IntRange(0, 20000).Draw(t, "additional unread tokens of the other")}
		if _, ok := f.Admit(0, other, admission("other"), there); ok {
			t.Fatalf("urgency %d is admitted with a backlog of %d tokens where urgency %d was refused with %d",
				other.Urgency, there.Backlog, urgent.Urgency, first.Backlog)
		}
	})
}

// When all slots are occupied by streams, a request waits for one: it goes to an upstream with
// free slots, and is refused if none becomes free in time.
func TestOccupiedSlotsCountAsBacklog(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2)
	home, _ := f.Place(0, prompt(1), nil)
	setHoldTime(f, 4*time.Second) // with 8 slots, one becomes free every 500 ms
	full := func(level, open int) {
		f.SetRemoteLoads(map[LoadKey]Load{{Key(home.Upstream.ID), level}: {Requests: open}})
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
	is.Equal(f.prefillTime(c.Backlog), 1500*time.Millisecond) // the third slot to become free
	_, ok := f.Admit(0, r, Admission{Target: time.Second}, c)
	is.True(!ok)
	full(3, 10) // less urgent requests are preempted for it
	c, _ = f.Place(0, r, nil)
	is.Equal(c.Upstream.ID, home.Upstream.ID)
	is.Equal(c.Backlog, 0)
}
