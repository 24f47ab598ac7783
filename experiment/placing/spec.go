// Package placing compares ways of deciding which engine gets a prompt, by discrete-event
// simulation. The production fleets (package balance) of several boxes place seeded arrivals
// on modelled engines; every way gets the same arrivals.
//
// Machines, sockets and failures are not modelled: an exchange between boxes takes a set time.
// The users' bench covers what is left out.
package placing

// This file defines the specification of an experiment. The invariant: a Spec returned by Load
// has passed every check.

import (
	"fmt"

	"github.com/doormast/doormast/internal/jsonc"
)

// Spec describes an experiment; its file is JSON with comments.
type Spec struct {
	Name     string         `json:"name"`
	Seeds    int            `json:"seeds"`
	Duration jsonc.Duration `json:"duration"` // of arrivals
	Domains  int            `json:"domains"`
	Regions  int            `json:"regions"` // number of regions; domains are assigned to them in turn
	Ways     WaySpec        `json:"ways"`
	Boxes    int            `json:"boxes"`  // in all
	Tell     jsonc.Duration `json:"tell"`   // interval and delay of the exchange of state between boxes
	Engine   EngineSpec     `json:"engine"` // all are alike
	Classes  []ClassSpec    `json:"classes"`
	Bursts   []BurstSpec    `json:"bursts"`
}

// WaySpec holds network round-trip times.
type WaySpec struct {
	Domain jsonc.Duration `json:"domain"` // to another failure domain
	Region jsonc.Duration `json:"region"` // to another region
}

// EngineSpec describes the engines.
type EngineSpec struct {
	Count     int            `json:"count"`      // in all
	Slots     int            `json:"slots"`      // requests it runs at once
	Step      jsonc.Duration `json:"step"`       // time of one token for all running requests
	StepEach  jsonc.Duration `json:"step_each"`  // additional time for each running request
	ReadRate  float64        `json:"read_rate"`  // prompt tokens prefilled per ms
	ReadChunk int            `json:"read_chunk"` // maximum prompt tokens prefilled in a step
	Memory    int            `json:"memory"`     // tokens
	FetchRate float64        `json:"fetch_rate"` // tokens fetched from another engine per ms
}

// ClassSpec describes what callers of a class send.
type ClassSpec struct {
	Name     string         `json:"name"`
	Urgency  int            `json:"urgency"` // 0 is the most urgent
	Rate     float64        `json:"rate"`    // requests a second
	Parts    int            `json:"parts"`   // number of distinct shared parts
	Shared   int            `json:"shared"`  // tokens of a shared part
	Own      int            `json:"own"`     // mean prompt tokens beyond the shared part
	Out      int            `json:"out"`     // mean tokens of an answer
	Event    int            `json:"event"`   // tokens of an event
	Bytes    int            `json:"bytes"`   // of a request and its answer
	Target   jsonc.Duration `json:"target"`  // to the first event
	Gap      jsonc.Duration `json:"gap"`     // between two events
	Patience jsonc.Duration `json:"patience"`
}

// BurstSpec multiplies a class's rate by Factor between From and To.
type BurstSpec struct {
	Class  string         `json:"class"`
	Factor float64        `json:"factor"`
	From   jsonc.Duration `json:"from"`
	To     jsonc.Duration `json:"to"`
}

// Load reads and checks an experiment file. The error is of type jsonc.Problems if the content
// is invalid, otherwise it is that of reading the file.
func Load(file string) (*Spec, error) {
	s := &Spec{Seeds: 3, Domains: 1, Regions: 1}
	if err := jsonc.LoadChecked(file, s, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Spec) check(c *jsonc.Checker) {
	want := c.Want
	e := s.Engine
	want(s.Seeds > 0, "seeds", s.Seeds, "want 1 or more")
	want(s.Duration > 0, "duration", s.Duration.Std(), "want a duration above 0")
	want(s.Domains > 0 && s.Boxes >= s.Domains, "boxes", s.Boxes, "want at least one for each domain")
	want(s.Regions > 0 && s.Regions <= s.Domains, "regions", s.Regions, "want 1 to the number of domains")
	want(s.Ways.Domain >= 0 && s.Ways.Region >= 0, "ways", "a duration below 0", "want durations of 0 or more")
	want(s.Tell > 0, "tell", s.Tell.Std(), "want a duration above 0")
	want(e.Count >= s.Domains, "engine.count", e.Count, "want at least one for each domain")
	want(e.Slots > 0, "engine.slots", e.Slots, "want 1 or more")
	want(e.Step > 0, "engine.step", e.Step.Std(), "want a duration above 0")
	want(e.ReadRate > 0, "engine.read_rate", e.ReadRate, "want a number above 0")
	want(e.ReadChunk > 0, "engine.read_chunk", e.ReadChunk, "want 1 or more")
	want(e.FetchRate > 0, "engine.fetch_rate", e.FetchRate, "want a number above 0")
	want(len(s.Classes) > 0, "classes", "none", "want at least one")
	for i, c := range s.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		want(c.Rate > 0, path+".rate", c.Rate, "want a number above 0")
		want(c.Parts > 0, path+".parts", c.Parts, "want 1 or more")
		want(c.Shared >= 0, path+".shared", c.Shared, "want 0 or more")
		want(c.Own > 0, path+".own", c.Own, "want 1 or more")
		want(c.Out > 0, path+".out", c.Out, "want 1 or more")
		want(c.Event > 0, path+".event", c.Event, "want 1 or more")
		want(c.Target > 0, path+".target", c.Target.Std(), "want a duration above 0")
		want(c.Patience > c.Target, path+".patience", c.Patience.Std(), "want more than the target")
	}
	for i, b := range s.Bursts {
		path := fmt.Sprintf("bursts[%d]", i)
		want(s.class(b.Class) >= 0, path+".class", b.Class, "want the name of a class")
		want(b.To > b.From, path+".to", b.To.Std(), "want a time after from")
	}
}

// class returns the index of a class, or -1.
func (s *Spec) class(name string) int {
	for i, c := range s.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}
