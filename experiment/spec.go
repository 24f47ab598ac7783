// Package experiment compares scheduling policies by discrete-event simulation. On a
// virtual clock, the production nodes (package cell) of several boxes schedule seeded
// arrivals onto modelled batching engines; the results are attainment, goodput and
// wasted work.
//
// Machines, sockets and networks are not modelled: messages between boxes take a set
// time and engine reports have a set age. Baseline policies get the same arrivals.
package experiment

import (
	"fmt"
	"time"

	"github.com/doormast/doormast/internal/jsonc"
)

// Spec describes an experiment; its file is JSON with comments.
type Spec struct {
	Name      string         `json:"name"`
	Seeds     int            `json:"seeds"`
	Duration  jsonc.Duration `json:"duration"` // of arrivals; a run continues until all requests are done
	Domains   int            `json:"domains"`
	Boxes     int            `json:"boxes"`   // over all domains
	Engines   int            `json:"engines"` // over all domains
	Slots     int            `json:"slots"`   // requests that each engine runs at once
	Pace      jsonc.Duration `json:"pace"`    // time for one token
	Prefill   jsonc.Duration `json:"prefill"` // time of a prefill without a cached prefix
	Cache     int            `json:"cache"`   // prefixes that an engine caches
	Delay     jsonc.Duration `json:"delay"`   // of a message between boxes, one way
	Lag       jsonc.Duration `json:"lag"`     // age of the engines' reports
	Queue     int            `json:"queue"`   // maximum requests waiting in a domain
	Load      float64        `json:"load"`    // offered work as a multiple of the engines' capacity
	Sets      int            `json:"sets"`    // upstream sets that the engines are divided into; 0 means one
	Customers int            `json:"customers"`
	Classes   []ClassSpec    `json:"classes"`
	Policies  []string       `json:"policies"`
	Scenarios []Scenario     `json:"scenarios"`
}

// ClassSpec describes a class of the table and the behaviour of its callers.
type ClassSpec struct {
	Name       string         `json:"name"`
	Tier       int            `json:"tier"`
	FirstToken jsonc.Duration `json:"first_token"`
	Weight     float64        `json:"weight"`
	Floor      float64        `json:"floor"`
	Refuse     bool           `json:"refuse"`   // whether late requests are refused; otherwise they wait
	Share      float64        `json:"share"`    // share of the offered work
	Length     float64        `json:"length"`   // mean tokens of an answer
	Spread     float64        `json:"spread"`   // standard deviation of the logarithm of the length
	Patience   float64        `json:"patience"` // a caller disconnects after this many first-token targets without a token; 0 means never
	Prefixes   int            `json:"prefixes"` // number of distinct prompt prefixes; 0 means none
	Set        int            `json:"set"`      // number of the upstream set that serves it
}

// Scenario describes the faults and changes of load in a run. A zero field has no effect.
type Scenario struct {
	Name    string         `json:"name"`
	Load    float64        `json:"load"`   // offered work, instead of that of the spec
	Burst   string         `json:"burst"`  // class whose rate is multiplied by Factor between From and To
	Factor  float64        `json:"factor"` // on the rate of the class in Burst
	From    jsonc.Duration `json:"from"`
	To      jsonc.Duration `json:"to"`
	Longer  float64        `json:"longer"`  // factor on the length of a tenth of the answers
	Slow    float64        `json:"slow"`    // share of engines that are slow
	Slower  float64        `json:"slower"`  // factor on the slow engines' time per token
	Lag     jsonc.Duration `json:"lag"`     // age of engine reports, instead of that of the spec
	Freeze  bool           `json:"freeze"`  // one box is suspended between From and To
	Retries int            `json:"retries"` // times that a caller retries right after a refusal
	Down    bool           `json:"down"`    // a tenth of the engines fails at From
}

// Names of the policies.
const (
	Coordinated = "coordinated"         // the production policy
	NoPause     = "coordinated-nopause" // the production policy without pausing lower tiers
	Bound       = "bound"               // upper bound: one box that sees all engines without delay
	FIFO        = "fifo-roundrobin"     // each box sends to the engines in turn, which queue in arrival order
	LeastLoad   = "least-load"          // each box sends to the engine with the least reported load
	Independent = "strict-independent"  // strict tiers, each box on its own
	Split       = "static-split"        // each box owns a fixed part of each engine's slots
)

// AllPolicies lists the policies in the order of reports.
var AllPolicies = []string{Bound, Coordinated, NoPause, Split, Independent, LeastLoad, FIFO}

// Load reads and checks an experiment file. The error is of type jsonc.Problems if the
// content is invalid, otherwise it is that of reading the file.
func Load(file string) (*Spec, error) {
	s := &Spec{Seeds: 5, Domains: 1, Customers: 10, Queue: 2000, Cache: 32, Policies: AllPolicies, Load: 0.7}
	if err := jsonc.LoadChecked(file, s, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

// check reports invalid fields to c.
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

// capacity returns the tokens a second that all engines together generate.
func (s *Spec) capacity() float64 {
	return float64(s.Engines*s.Slots) / time.Duration(s.Pace).Seconds()
}

// Only removes all scenarios except the one with the given name; an unknown name
// removes none.
func (s *Spec) Only(name string) {
	for _, sc := range s.Scenarios {
		if sc.Name == name {
			s.Scenarios = []Scenario{sc}
			return
		}
	}
}
