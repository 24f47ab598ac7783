package placing

// This file defines the compared ways of deciding. The invariant: they differ only in which box
// decides and in what it knows.

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
)

// Way is a way of deciding.
type Way struct {
	Name  string
	Owner owner
	Loads bool // boxes exchange their engines' loads
	Parts bool // boxes exchange which engine was sent which part
	Off   balance.Off
}

// owner is the box that decides about a request.
type owner uint8

const (
	eachBox     owner = iota // the box that took it, over all engines
	ofTheDomain              // one box of its failure domain, over that domain's engines
	ofAll                    // one box, over all engines
	ofTheRegion              // the box that took it, over its region's engines
)

// Ways are compared in this order.
var Ways = []Way{
	{Name: "each box alone"},
	{Name: "each box, loads told", Loads: true},
	{Name: "each box, loads and parts told", Loads: true, Parts: true},
	{Name: "an owner in each domain", Owner: ofTheDomain},
	{Name: "an owner over all", Owner: ofAll},
}

// WaysBetweenRegions are compared in place of these where there are several regions.
var WaysBetweenRegions = []Way{
	{Name: "a home over all", Loads: true, Parts: true, Off: balance.Off{balance.Distance: true}},
	{Name: "a home for each region", Owner: ofTheRegion, Loads: true, Parts: true},
	{Name: "the cost of distance", Loads: true, Parts: true},
}

// waysOf lists the ways that are compared for a spec.
func waysOf(s *Spec) []Way {
	if s.Regions > 1 {
		return WaysBetweenRegions
	}
	return Ways
}

// decider is a fleet that decides, for one box or for several.
type decider struct {
	fleet  *balance.Fleet
	domain int
	loads  map[balance.LoadKey]balance.Load // as reported in the last exchange
}

// serviceName is the name of the only service.
const serviceName = "engines"

// deciders returns a way's deciders, and the decider of each box.
func (w Way) deciders(s *Spec) (list []*decider, ofBox []*decider) {
	newDecider := func(domain int) *decider {
		d := &decider{domain: domain, fleet: balance.NewFleet(balance.Config{Domain: domainName(domain), Regions: regions(s),
			Tuning: balance.DefaultTuning, Off: w.Off, FirstStart: w.Parts || w.Owner != eachBox})}
		s.addRTTSamples(d)
		for i := range s.Engine.Count {
			if w.mayUse(s, domain, i%s.Domains) {
				d.fleet.Put(0, balance.Upstream{ID: engineName(i), Service: serviceName, Address: engineName(i),
					Domain: domainName(i % s.Domains), Slots: s.Engine.Slots})
			}
		}
		list = append(list, d)
		return d
	}
	shared := make(map[int]*decider)
	for box := range s.Boxes {
		domain := box % s.Domains
		key := domain
		switch w.Owner {
		case eachBox, ofTheRegion:
			ofBox = append(ofBox, newDecider(domain))
			continue
		case ofAll:
			key = 0
		}
		if shared[key] == nil {
			shared[key] = newDecider(key)
		}
		ofBox = append(ofBox, shared[key])
	}
	return list, ofBox
}

// mayUse reports whether a decider in one domain may use the engines of another.
func (w Way) mayUse(s *Spec, domain, other int) bool {
	switch w.Owner {
	case ofTheDomain:
		return domain == other
	case ofTheRegion:
		return s.region(domain) == s.region(other)
	}
	return true
}

// regions returns the region's name by domain, or nil if there is only one region.
func regions(s *Spec) map[string]string {
	if s.Regions <= 1 {
		return nil
	}
	all := make(map[string]string)
	for d := range s.Domains {
		all[domainName(d)] = fmt.Sprintf("region-%d", s.region(d))
	}
	return all
}

// region returns the region of a domain.
func (s *Spec) region(domain int) int { return domain % max(1, s.Regions) }

// way returns the round-trip time between two domains.
func (s *Spec) way(a, b int) time.Duration {
	switch {
	case a == b:
		return 0
	case s.region(a) == s.region(b):
		return s.Ways.Domain.Std()
	}
	return s.Ways.Region.Std()
}

// addRTTSamples gives a decider round-trip samples for all domains.
func (s *Spec) addRTTSamples(d *decider) {
	const connections = 3
	for other := range s.Domains {
		for range connections {
			d.fleet.NoteRTT(0, domainName(other), s.way(d.domain, other))
		}
	}
}

// exchange gives each decider the loads that the others reported in the previous exchange, and
// collects new reports.
func (w Way) exchange(now time.Duration, list []*decider) {
	all := make(map[balance.LoadKey]balance.Load)
	for _, d := range list {
		addLoads(all, d.loads)
	}
	for _, d := range list {
		others := make(map[balance.LoadKey]balance.Load)
		if w.Loads {
			others = maps.Clone(all)
			subtractLoads(others, d.loads)
		}
		d.fleet.SetRemoteLoads(others)
	}
	w.divide(now, list)
	for _, d := range list {
		d.loads = d.fleet.Loads()
		news := d.fleet.TakePartReports()
		for _, o := range list {
			if o != d && w.Parts {
				o.fleet.NotePartReports(now, news)
			}
		}
	}
}

// divide lets deciders reserve engines for latency-sensitive streams. If loads are exchanged, all
// use the first decider's plan and get the others' class statistics, as boxes do with a leader.
func (w Way) divide(now time.Duration, list []*decider) {
	var told balance.LanePlan
	for _, d := range list {
		if w.Loads {
			d.fleet.NoteClasses(otherClassStats(list, d))
		}
		d.fleet.SizeLanes(now, told)
		if w.Loads && told == nil {
			told = d.fleet.Lanes()
		}
	}
}

// otherClassStats returns the summed class statistics of all deciders except one.
func otherClassStats(list []*decider, but *decider) []balance.ClassStats {
	sums := make(map[balance.ClassKey]balance.ClassStats)
	for _, o := range list {
		if o == but {
			continue
		}
		for _, c := range o.fleet.Classes() {
			if sum, ok := sums[c.ClassKey]; ok {
				c = sum.Plus(c)
			}
			sums[c.ClassKey] = c
		}
	}
	return slices.Collect(maps.Values(sums))
}

func addLoads(to, from map[balance.LoadKey]balance.Load) {
	for key, l := range from {
		to[key] = to[key].Plus(l)
	}
}

// subtractLoads subtracts loads from a sum that includes them.
func subtractLoads(from, loads map[balance.LoadKey]balance.Load) {
	for key, l := range loads {
		from[key] = from[key].Minus(l)
	}
}

func engineName(i int) string { return fmt.Sprintf("engine-%03d", i) }

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }
