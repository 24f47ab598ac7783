package balance

// This file defines which upstreams cannot be reached. The invariant: one that could
// not be reached gets no request while another can be had, until a trial connection
// or an answer shows that it can be reached again.

import (
	"slices"
	"strings"
	"time"
)

// domainFrom is how many upstreams of a failure domain must have become out of reach
// for the domain itself to count as cut off.
const domainFrom = 2

// domainWithin is the span in which they must have.
const domainWithin = 2 * time.Second

// unreached notes that no connection to the upstream came up, or that one went
// silent. Where others of its domain have failed alike, all of them are out.
func (f *Fleet) unreached(now time.Duration, m *member) {
	f.markOut(now, m)
	if m.Domain == f.cfg.Domain {
		return
	}
	failed := 0
	for _, o := range f.byID {
		if o.Domain == m.Domain && o.out && now-o.outSince < domainWithin {
			failed++
		}
	}
	if failed < domainFrom {
		return
	}
	for _, o := range f.byID {
		if o.Domain == m.Domain && !o.out {
			f.markOut(now, o)
		}
	}
}

// markOut notes that an upstream gets no requests until it can be reached.
func (f *Fleet) markOut(now time.Duration, m *member) {
	if !m.out {
		f.newlyOut = append(f.newlyOut, m.Upstream)
	}
	m.out, m.outSince = true, now
}

// NewlyOut returns, once, the upstreams that have come to count as out of reach.
func (f *Fleet) NewlyOut() []Upstream {
	list := f.newlyOut
	f.newlyOut = nil
	return list
}

// Reached notes that an upstream can be reached. Others of its domain stay out until
// they were tried themselves.
func (f *Fleet) Reached(id string) {
	if m := f.byID[id]; m != nil {
		m.out = false
	}
}

// Unreached lists the upstreams that cannot be reached, by id, so that whoever tries
// them in turn leaves none out.
func (f *Fleet) Unreached() []Upstream {
	var list []Upstream
	for _, m := range f.byID {
		if m.out {
			list = append(list, m.Upstream)
		}
	}
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}
