package route

// This file defines the regions in which requests may run. The invariant: if a route and a
// customer both have home regions, only regions in both lists are allowed.

import "slices"

// Homes are the regions in which a request may run.
type Homes struct {
	Restricted bool     // only upstreams in Regions may run the request; false: all may
	Regions    []string // empty with Restricted: no upstream may run the request
}

// AllowedRegions returns the regions in which a request may run, given its route and its customer; c is
// nil if the request has no customer.
func AllowedRegions(r *Route, c *Customer) Homes {
	switch {
	case c == nil || len(c.Homes) == 0:
		return Homes{len(r.Homes) > 0, r.Homes}
	case len(r.Homes) == 0:
		return Homes{true, c.Homes}
	}
	notAllowed := func(region string) bool { return !slices.Contains(c.Homes, region) }
	return Homes{true, slices.DeleteFunc(slices.Clone(r.Homes), notAllowed)}
}
