package decide

// This file defines the orders to engines: which model an engine is to load, and
// the fence that the order carries. There is no store to take fences from, so the
// engine is its own register: its owner reads the highest fence that the engine
// has seen and orders with a higher one. The invariants: an engine is given
// nothing to run until it reports the model that its row wants; at most
// loadsAtOnce engines of a set load at a time, since the weight store's rate is
// shared; and an engine that does not check fences is ordered only by an owner
// that has been one for a whole quiet time, so that an earlier owner's order
// cannot come after its own unless it is that late.

import (
	"slices"
	"time"
)

const (
	// loadsAtOnce bounds the loads under way in a set.
	loadsAtOnce = 2
	// orderRepeat is how long an order is given to show in a report.
	orderRepeat = 10 * time.Second
)

// EngineOrder is an order to an engine.
type EngineOrder struct {
	Upstream string
	Fence    uint64
	Model    string
}

// EngineState is what the orders need to know of an engine.
type EngineState struct {
	Upstream    string
	WantedModel string // model of its row; "" is any
	ChecksFence bool   // whether it refuses orders with an old fence
	Loaded      string // model that it reports
	Loading     bool
	Fence       uint64 // highest that it reports
}

// Orders decides on the orders to the engines of one set.
type Orders struct {
	owner  Time // since when this box owns the set
	quiet  time.Duration
	given  map[string]Time
	states map[string]EngineState
}

// NewOrders starts the orders of a box that has just become owner. Quiet is how
// long another box may still believe to be owner.
func NewOrders(now Time, quiet time.Duration) *Orders {
	return &Orders{owner: now, quiet: quiet, given: make(map[string]Time), states: make(map[string]EngineState)}
}

// Observe takes in the state of an engine.
func (o *Orders) Observe(s EngineState) {
	if s.Loading || s.Loaded == s.WantedModel {
		delete(o.given, s.Upstream)
	}
	o.states[s.Upstream] = s
}

// Next returns the orders to give now.
func (o *Orders) Next(now Time) []EngineOrder {
	loading := 0
	names := make([]string, 0, len(o.states))
	for name, s := range o.states {
		if at, ok := o.given[name]; s.Loading || ok && now-at < orderRepeat {
			loading++
		}
		names = append(names, name)
	}
	slices.Sort(names)
	var out []EngineOrder
	for _, name := range names {
		if loading < loadsAtOnce && o.due(now, o.states[name]) {
			loading++
			o.given[name] = now
			out = append(out, EngineOrder{name, o.states[name].Fence + 1, o.states[name].WantedModel})
		}
	}
	return out
}

func (o *Orders) due(now Time, s EngineState) bool {
	if s.WantedModel == "" || s.Loaded == "" || s.Loading || s.Loaded == s.WantedModel {
		return false
	}
	if at, ok := o.given[s.Upstream]; ok && now-at < orderRepeat {
		return false
	}
	return s.ChecksFence || now-o.owner >= o.quiet
}
