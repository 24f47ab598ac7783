package decide

// This file defines the orders that tell an engine which model to load. Each order
// carries a fencing token. No store issues the tokens: the owner of the upstream set
// reads the highest token that an engine has seen from its report and uses the next
// one. The invariants: an engine gets no requests until it reports the model of its
// row; at most maxLoads engines of a set load at a time, because they share the
// bandwidth of the weight store; and an engine that does not check fencing tokens
// gets orders only from a box that has been the owner for a whole quiet period, so
// that an order of an earlier owner can follow only if it is delayed by more than
// that.

import (
	"slices"
	"time"
)

const (
	// maxLoads is the maximum number of concurrent loads in a set.
	maxLoads = 2
	// orderRepeatInterval is how long an order may take to show in a report before
	// it is sent again.
	orderRepeatInterval = 10 * time.Second
)

// EngineOrder tells an engine to load a model.
type EngineOrder struct {
	Upstream string
	Fence    uint64
	Model    string
}

// EngineState is the part of an engine's report and row that orders depend on.
type EngineState struct {
	Upstream    string
	WantedModel string // model of its row; "" accepts any
	ChecksFence bool   // refuses orders whose fencing token is older than the highest it has seen
	Loaded      string // model that it reports
	Loading     bool
	Fence       uint64 // highest fencing token that it reports
}

// Orders decides on the orders to the engines of one set.
type Orders struct {
	ownerSince  Time // when this box became the owner of the set
	quietPeriod time.Duration
	sent        map[string]Time // time of the last order, until it shows in a report
	states      map[string]EngineState
}

// NewOrders returns the state for a box that has just become the owner. quietPeriod
// is how long another box may still consider itself the owner.
func NewOrders(now Time, quietPeriod time.Duration) *Orders {
	return &Orders{ownerSince: now, quietPeriod: quietPeriod, sent: make(map[string]Time), states: make(map[string]EngineState)}
}

// Observe records the state of an engine.
func (o *Orders) Observe(s EngineState) {
	if s.Loading || s.Loaded == s.WantedModel {
		delete(o.sent, s.Upstream)
	}
	o.states[s.Upstream] = s
}

// Next returns the orders to send now, sorted by upstream.
func (o *Orders) Next(now Time) []EngineOrder {
	loading := 0
	names := make([]string, 0, len(o.states))
	for name, s := range o.states {
		if at, ok := o.sent[name]; s.Loading || ok && now-at < orderRepeatInterval {
			loading++
		}
		names = append(names, name)
	}
	slices.Sort(names)
	var out []EngineOrder
	for _, name := range names {
		if loading < maxLoads && o.due(now, o.states[name]) {
			loading++
			o.sent[name] = now
			out = append(out, EngineOrder{name, o.states[name].Fence + 1, o.states[name].WantedModel})
		}
	}
	return out
}

// due reports whether the engine needs an order and may get one now.
func (o *Orders) due(now Time, s EngineState) bool {
	if s.WantedModel == "" || s.Loaded == "" || s.Loading || s.Loaded == s.WantedModel {
		return false
	}
	if at, ok := o.sent[s.Upstream]; ok && now-at < orderRepeatInterval {
		return false
	}
	return s.ChecksFence || now-o.ownerSince >= o.quietPeriod
}
