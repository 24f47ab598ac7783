package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/route"
)

// A request bound to regions is placed, retried and moved only within them.
func TestRequestRunsInAllowedRegionsOnly(t *testing.T) {
	for _, c := range []struct {
		name  string
		homes route.Homes
		want  []string // domains
	}{
		{"not bound", route.Homes{}, []string{"d0", "d1", "d2"}},
		{"one region", route.Homes{Restricted: true, Regions: []string{"r1"}}, []string{"d0", "d1"}},
		{"unknown region", route.Homes{Restricted: true, Regions: []string{"r9"}}, nil},
		{"no region allowed", route.Homes{Restricted: true}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := fleetWithAnswers(6)
			f.cfg.Regions = map[string]string{"d0": "r1", "d1": "r1", "d2": "r2"}
			seen := make(map[string]bool)
			for shared := range uint64(100) {
				r := longRequest(shared+1, 360)
				r.Homes = c.homes
				var tried []string
				for range 3 {
					choice, ok := f.Place(time.Second, r, tried)
					is.Equal(ok, len(c.want) > 0)
					if !ok {
						break
					}
					seen[choice.Upstream.Domain] = true
					tried = append(tried, choice.Upstream.ID)
				}
				m, ok := f.MoveTo(time.Second, r, "u0", Progress{Events: 10, EventInterval: 400 * time.Millisecond, TimeLeft: 1500 * time.Millisecond})
				is.Equal(ok, len(c.want) > 0)
				if ok {
					seen[m.To.Domain] = true
				}
			}
			is.Equal(len(seen), len(c.want))
			for _, d := range c.want {
				is.True(seen[d])
			}
		})
	}
}
