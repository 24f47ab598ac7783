package placing

// This file defines the ways of deciding that are compared. The invariant: they differ
// in who decides and what that one knows, and in nothing else.

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
	Loads bool // boxes tell each other what they have under way
	Parts bool // and which engine was sent which part
	Off   balance.Off
}

// owner is who decides about a request.
type owner uint8

const (
	eachBox     owner = iota // the box that took it, over all engines
	ofTheDomain              // one box of its failure domain, over that domain's engines
	ofAll                    // one box, over all engines
)

// Ways are compared in this order.
var Ways = []Way{
	{Name: "each box alone"},
	{Name: "each box, loads told", Loads: true},
	{Name: "each box, loads and parts told", Loads: true, Parts: true},
	{Name: "an owner in each domain", Owner: ofTheDomain},
	{Name: "an owner over all", Owner: ofAll},
}

// decider is a fleet that decides, for one box or for several.
type decider struct {
	fleet  *balance.Fleet
	domain int
	loads  map[balance.LoadKey]balance.Load // as told last
}

// serviceName is that of the one service.
const serviceName = "engines"

// deciders makes those of a way, and says which one each box asks.
func (w Way) deciders(s *Spec) (list []*decider, ofBox []*decider) {
	newDecider := func(domain int, own bool) *decider {
		d := &decider{domain: domain, fleet: balance.NewFleet(balance.Config{
			Domain: domainName(domain), Tuning: balance.DefaultTuning, Off: w.Off, FirstStart: w.Parts || w.Owner != eachBox})}
		for i := range s.Engine.Count {
			if !own || i%s.Domains == domain {
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
		case eachBox:
			ofBox = append(ofBox, newDecider(domain, false))
			continue
		case ofAll:
			key = 0
		}
		if shared[key] == nil {
			shared[key] = newDecider(key, w.Owner == ofTheDomain)
		}
		ofBox = append(ofBox, shared[key])
	}
	return list, ofBox
}

// tell lets deciders hear what the others said at the last tell, and say anew.
func (w Way) tell(now time.Duration, list []*decider) {
	for _, d := range list {
		others := make(map[balance.LoadKey]balance.Load)
		for _, o := range list {
			if o != d && w.Loads {
				addLoads(others, o.loads)
			}
		}
		d.fleet.SetOthers(others)
	}
	w.divide(now, list)
	for _, d := range list {
		d.loads = d.fleet.Loads()
		news := d.fleet.KeptNews()
		for _, o := range list {
			if o != d && w.Parts {
				o.fleet.NoteKept(now, news)
			}
		}
	}
}

// divide has deciders keep engines for tight streams. Where loads are told, all go by the
// first one's division and hear what the others see of classes, as boxes do of their lead.
func (w Way) divide(now time.Duration, list []*decider) {
	var told balance.LanePlan
	for _, d := range list {
		if w.Loads {
			d.fleet.NoteClasses(classesOfOthers(list, d))
		}
		d.fleet.SizeLanes(now, told)
		if w.Loads && told == nil {
			told = d.fleet.Lanes()
		}
	}
}

// classesOfOthers adds up what all deciders but one see of classes.
func classesOfOthers(list []*decider, but *decider) []balance.ClassSeen {
	sums := make(map[balance.ClassKey]balance.ClassSeen)
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

func engineName(i int) string { return fmt.Sprintf("engine-%03d", i) }

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }
