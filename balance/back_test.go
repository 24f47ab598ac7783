package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// One that was out of reach may have started again, and be cold before its entry says so.
func TestAnUpstreamThatCameBackIsCold(t *testing.T) {
	const back = 10 * time.Second
	bounded := Cold{Lasts: 3 * time.Second, Most: 12}
	for _, c := range []struct {
		name  string
		cold  Cold
		lost  int           // upstreams of nine that were out of reach
		known time.Duration // up to when what is published is known
		entry time.Duration // how much longer it is cold, as an entry says that came with it; 0: none came
		cool  time.Duration // for how long it gets its ration only
	}{
		{"its entry would have said so", bounded, 1, back + toldWithin, 0, 0},
		{"its entry may still come", bounded, 1, back + toldWithin - 1, 0, 3 * time.Second},
		{"its entry says so", bounded, 1, back + toldWithin, 2 * time.Second, 3 * time.Second},
		{"its entry says more", bounded, 1, back + toldWithin, 5 * time.Second, 5 * time.Second},
		{"the service has no bound", Cold{Lasts: 3 * time.Second}, 1, 0, 0, 0},
		{"upstreams of the service are never cold", Cold{Most: 12}, 1, 0, 0, 0},
		{"a third was lost", bounded, 3, 0, 0, 3 * time.Second},
		{"most were lost", bounded, 5, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := knowing(9)
			f.SetCold("s", c.cold)
			for i := range c.lost {
				f.Open(time.Second, fmt.Sprint("u", i), prompt(1)).Close(time.Second, Unreachable)
			}
			is.True(f.ReachedLife(back, Life{ID: "u0"}))
			if c.entry > 0 {
				u := *f.Get("u0")
				u.ColdFor = c.entry
				f.Put(back, u)
			}
			f.Told(back, c.known)
			m := f.byID["u0"]
			is.Equal(max(0, m.coldTill-back), c.cool)
			is.Equal(f.bears(back, m), c.cool == 0 || c.cold.Most == 0) // this box knows of no other yet, so that its ration is 0
			is.True(f.bears(back+c.cool, m))
		})
	}
}

// Those that were left along with their domain come back as those that failed themselves.
func TestADomainThatComesBackIsCold(t *testing.T) {
	is := is.New(t)
	f := knowing(9)
	f.SetCold("s", Cold{Lasts: 3 * time.Second, Most: 12})
	for _, id := range []string{"u1", "u4"} {
		f.Open(0, id, prompt(1)).Close(0, Unreachable)
	}
	is.Equal(len(f.Unreached()), 3)
	f.ReachedLife(time.Second, Life{ID: "u1"})
	for _, id := range []string{"u1", "u7"} {
		is.True(!f.bears(time.Second, f.byID[id]))
	}
	is.True(f.bears(time.Second, f.byID["u0"]))
	f.Told(2*time.Second, time.Second+toldWithin)
	for _, id := range []string{"u1", "u7"} {
		is.True(f.bears(2*time.Second, f.byID[id]))
	}
}
