// Package experiment measures the decisions: a loop on a virtual clock drives
// the shipped nodes of several boxes against a batch model of the engines, with
// seeded arrivals, and counts attainment, goodput and wasted work.
//
// It models no machine, socket or network: messages between boxes take a set
// time, reports have a set age, and that is all. Policies that serve as baselines
// run on the same arrivals in the same run.
package experiment

import (
	"fmt"
	"time"

	"github.com/doormast/doormast/internal/jsonc"
)

// Spec describes an experiment, as written in JSON with comments.
type Spec struct {
	Name      string         `json:"name"`
	Seeds     int            `json:"seeds"`
	Duration  jsonc.Duration `json:"duration"` // of arrivals; runs go on until all have ended
	Domains   int            `json:"domains"`
	Boxes     int            `json:"boxes"`   // in all
	Engines   int            `json:"engines"` // in all
	Slots     int            `json:"slots"`   // of each engine
	Pace      jsonc.Duration `json:"pace"`    // for one token
	Prefill   jsonc.Duration `json:"prefill"` // without a cached prefix
	Cache     int            `json:"cache"`   // prefixes that an engine holds
	Delay     jsonc.Duration `json:"delay"`   // of a message between boxes, one way
	Lag       jsonc.Duration `json:"lag"`     // age of the engines' reports
	Queue     int            `json:"queue"`   // waiting at once in a domain
	Load      float64        `json:"load"`    // offered work over capacity
	Sets      int            `json:"sets"`    // upstream sets, among which the engines are divided; 0 is one
	Customers int            `json:"customers"`
	Classes   []ClassSpec    `json:"classes"`
	Policies  []string       `json:"policies"`
	Scenarios []Scenario     `json:"scenarios"`
}

// ClassSpec is a row of the table and what its callers do.
type ClassSpec struct {
	Name       string         `json:"name"`
	Tier       int            `json:"tier"`
	FirstToken jsonc.Duration `json:"first_token"`
	Weight     float64        `json:"weight"`
	Floor      float64        `json:"floor"`
	Refuse     bool           `json:"refuse"`   // refused when late, or else waits
	Share      float64        `json:"share"`    // of the offered work
	Length     float64        `json:"length"`   // mean tokens of an answer
	Spread     float64        `json:"spread"`   // sigma of the lengths' logarithm
	Patience   float64        `json:"patience"` // callers leave after this many targets without a token; 0 is never
	Prefixes   int            `json:"prefixes"` // different prompt prefixes; 0 is none
	Set        int            `json:"set"`      // number of the upstream set that serves it
}

// Scenario is what is out of the ordinary in a run.
type Scenario struct {
	Name    string         `json:"name"`
	Load    float64        `json:"load"`   // factor on the offered work
	Burst   string         `json:"burst"`  // class that bursts alone
	Factor  float64        `json:"factor"` // of the burst
	From    jsonc.Duration `json:"from"`
	To      jsonc.Duration `json:"to"`
	Longer  float64        `json:"longer"`  // factor on the lengths of a tenth of the answers
	Slow    float64        `json:"slow"`    // share of engines that are slow
	Slower  float64        `json:"slower"`  // factor on their pace
	Lag     jsonc.Duration `json:"lag"`     // age of reports, instead of the usual
	Freeze  bool           `json:"freeze"`  // one box hears nothing between From and To
	Retries int            `json:"retries"` // times that a refused caller comes back at once
	Down    bool           `json:"down"`    // a tenth of the engines breaks at From
}

// Names of the policies.
const (
	Coordinated = "coordinated"         // what ships
	NoPause     = "coordinated-nopause" // the same without pausing lower tiers
	Bound       = "bound"               // one box that sees all, at once
	FIFO        = "fifo-roundrobin"     // first in, first out over engines in turn
	LeastLoad   = "least-load"          // to the engine with the least reported load
	Independent = "strict-independent"  // strict tiers, each box on its own
	Split       = "static-split"        // each box owns its part of each engine
)

// AllPolicies lists the policies in the order of reports.
var AllPolicies = []string{Bound, Coordinated, NoPause, Split, Independent, LeastLoad, FIFO}

// Load reads an experiment. The error is of type jsonc.Problems, or says why the
// file cannot be read.
func Load(file string) (*Spec, error) {
	s := &Spec{Seeds: 5, Domains: 1, Customers: 10, Queue: 2000, Cache: 32, Policies: AllPolicies, Load: 0.7}
	if err := jsonc.LoadChecked(file, s, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Spec) check(c *jsonc.Checker) {
	want := c.Want
	want(s.Seeds > 0, "seeds", s.Seeds, "want 1 or more")
	want(s.Duration > 0, "duration", s.Duration.Std(), "want a duration above 0")
	want(s.Domains > 0 && s.Boxes >= s.Domains, "boxes", s.Boxes, "want at least one for each domain")
	want(s.Engines >= s.Domains, "engines", s.Engines, "want at least one for each domain")
	want(s.Slots > 0, "slots", s.Slots, "want 1 or more")
	want(s.Pace > 0, "pace", s.Pace.Std(), "want a duration above 0")
	want(len(s.Classes) > 0, "classes", "none", "want at least one")
	want(len(s.Scenarios) > 0, "scenarios", "none", "want at least one")
	for i, c := range s.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		want(c.Tier > 0, path+".tier", c.Tier, "want 1 or more")
		want(c.Length >= 1, path+".length", c.Length, "want 1 or more")
		want(c.FirstToken > 0, path+".first_token", c.FirstToken.Std(), "want a duration above 0")
		want(c.Weight > 0, path+".weight", c.Weight, "want a number above 0")
	}
	for i, name := range s.Policies {
		known := false
		for _, p := range AllPolicies {
			known = known || p == name
		}
		want(known, fmt.Sprintf("policies[%d]", i), name, fmt.Sprintf("want one of %v", AllPolicies))
	}
}

// capacity is how many tokens a second all engines generate.
func (s *Spec) capacity() float64 {
	return float64(s.Engines*s.Slots) / time.Duration(s.Pace).Seconds()
}

// Only leaves out all scenarios but the one called name.
func (s *Spec) Only(name string) {
	for _, sc := range s.Scenarios {
		if sc.Name == name {
			s.Scenarios = []Scenario{sc}
			return
		}
	}
}
