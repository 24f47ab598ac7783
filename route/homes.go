package route

// This file defines where requests may run. The invariant: where a route and a customer both
// have homes, both bind.

import "slices"

// Homes are regions.
type Homes struct {
	Bound   bool     // only the upstreams of Regions may run the request
	Regions []string // none, where Bound: no upstream may
}

// HomesOf is where a request of the route and the customer may run; the customer is nil
// where there is none.
func HomesOf(r *Route, c *Customer) Homes {
	switch {
	case c == nil || len(c.Homes) == 0:
		return Homes{len(r.Homes) > 0, r.Homes}
	case len(r.Homes) == 0:
		return Homes{true, c.Homes}
	}
	elsewhere := func(region string) bool { return !slices.Contains(c.Homes, region) }
	return Homes{true, slices.DeleteFunc(slices.Clone(r.Homes), elsewhere)}
}
