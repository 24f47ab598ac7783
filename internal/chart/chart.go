// Package chart implements finite state machines that are defined in JSON files.
//
// Load compiles a chart into a transition table once, so that a step is an array
// access. Libraries for state machines keep a map and a lock for each machine,
// which is too much here: each request is a machine, and a box has thousands.
package chart

import (
	"encoding/json"
	"fmt"
	"slices"
)

// State is a state of one chart; 0 is the start state.
type State uint8

// Chart is a compiled state chart. It is immutable.
type Chart struct {
	Name   string
	states []string
	events []string
	next   [][]int16 // by state and event; -1 where the event is not allowed
	ends   []bool    // by state; whether it is an end state
}

// file is the JSON form of a chart.
type file struct {
	Name   string                       `json:"name"`
	Start  string                       `json:"start"`
	States []string                     `json:"states"`
	Ends   []string                     `json:"ends"`
	Steps  map[string]map[string]string `json:"steps"` // event to state to next state
}

// Load parses and compiles a chart from the content of its file.
func Load(source []byte) (*Chart, error) {
	var f file
	if err := json.Unmarshal(source, &f); err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	if len(f.States) == 0 || f.States[0] != f.Start {
		return nil, fmt.Errorf("chart %s: the first state must be the start state %q", f.Name, f.Start)
	}
	c := &Chart{Name: f.Name, states: f.States, ends: make([]bool, len(f.States))}
	for _, end := range f.Ends {
		i := slices.Index(f.States, end)
		if i < 0 {
			return nil, fmt.Errorf("chart %s: unknown end state %q", f.Name, end)
		}
		c.ends[i] = true
	}
	for event := range f.Steps {
		c.events = append(c.events, event)
	}
	slices.Sort(c.events)
	return c, c.compile(f)
}

func (c *Chart) compile(f file) error {
	c.next = make([][]int16, len(c.states))
	for i := range c.next {
		c.next[i] = make([]int16, len(c.events))
		for j := range c.next[i] {
			c.next[i][j] = -1
		}
	}
	for j, event := range c.events {
		for from, to := range f.Steps[event] {
			i, k := slices.Index(c.states, from), slices.Index(c.states, to)
			if i < 0 || k < 0 {
				return fmt.Errorf("chart %s: event %s has a transition from %q to %q, of which one is an unknown state", c.Name, event, from, to)
			}
			if c.ends[i] {
				return fmt.Errorf("chart %s: event %s has a transition from the end state %q", c.Name, event, from)
			}
			c.next[i][j] = int16(k)
		}
	}
	return nil
}

// MustLoad is like Load but panics on an error. It is for charts embedded in the
// program.
func MustLoad(source []byte) *Chart {
	c, err := Load(source)
	if err != nil {
		panic(err)
	}
	return c
}

// Event returns the index of an event for Step. It panics if there is none.
func (c *Chart) Event(name string) int {
	i := slices.Index(c.events, name)
	if i < 0 {
		panic(fmt.Sprintf("chart %s: no event %q", c.Name, name))
	}
	return i
}

// State returns the state called name. It panics if there is none.
func (c *Chart) State(name string) State {
	i := slices.Index(c.states, name)
	if i < 0 {
		panic(fmt.Sprintf("chart %s: no state %q", c.Name, name))
	}
	return State(i)
}

// Step returns the state that follows s after an event, and whether the event is
// allowed in s. If it is not, the state stays s.
func (c *Chart) Step(s State, event int) (State, bool) {
	n := c.next[s][event]
	if n < 0 {
		return s, false
	}
	return State(n), true
}

// Ended reports whether s is an end state.
func (c *Chart) Ended(s State) bool { return c.ends[s] }

// StateName returns the name of a state.
func (c *Chart) StateName(s State) string { return c.states[s] }
