package balance

// This file defines the mechanisms that can be switched off one by one, to measure the effect of
// each on a deployment. The invariant: a mechanism that is off has no influence on decisions,
// neither by what it learned nor by what it reported before.

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Mechanism names a mechanism that boxes use in their decisions.
type Mechanism string

// The mechanisms.
const (
	Lanes            Mechanism = "lanes"       // upstreams are reserved for tight streams
	LaneExit         Mechanism = "leaving"     // tight streams may leave their lane
	Slots            Mechanism = "slots"       // waiting for a slot counts as backlog
	AdmissionControl Mechanism = "admission"   // requests that would be served too late are refused
	RefusalOrder     Mechanism = "order"       // a refusal limits less urgent requests to its bound
	Loads            Mechanism = "loads"       // the load from other boxes is considered
	Parts            Mechanism = "parts"       // the prompt parts that upstreams were sent are considered
	Fetching         Mechanism = "fetching"    // upstreams fetch cached prompts from each other
	Memory           Mechanism = "memory"      // upstreams get no more than fits in their memory
	DomainCutOff     Mechanism = "domains"     // failure domains are marked as cut off as a whole
	ReachReports     Mechanism = "reach"       // upstreams that other boxes cannot reach are verified first
	Tunnels          Mechanism = "tunnels"     // upstreams are connected to through other boxes
	Moving           Mechanism = "moving"      // answers that would end late move to another upstream
	FailureBackoff   Mechanism = "rests"       // upstreams that fail are avoided for a while
	Resuming         Mechanism = "resuming"    // streams resume at another upstream
	Repeating        Mechanism = "repeating"   // requests whose run failed are run elsewhere
	Distance         Mechanism = "distance"    // the distance to upstreams is considered
	Limits           Mechanism = "limits"      // upstreams get no more than the limits they advertise
	Pauses           Mechanism = "pauses"      // upstreams that request a pause get nothing until its end
	Withholding      Mechanism = "withholding" // requests that make upstreams crash are refused
	Continuing       Mechanism = "continuing"  // new requests leave room for streams that go on
)

// purposes holds the purpose of each mechanism.
var purposes = map[Mechanism]string{
	Lanes:            "keeps long prompts from delaying streams whose events must follow each other closely",
	LaneExit:         "lets such streams use other upstreams when theirs are overloaded",
	Slots:            "finds upstreams with free slots when streams occupy the others",
	AdmissionControl: "refuses requests at once that would be served too late, before they delay others",
	RefusalOrder:     "keeps less urgent requests from taking capacity that more urgent ones were refused",
	Loads:            "avoids upstreams that other boxes keep busy",
	Parts:            "sends prompts to upstreams that have their shared parts cached",
	Fetching:         "saves the prefill of parts that another upstream has cached",
	Memory:           "keeps upstreams from crashing, or preempting requests, under the longest requests",
	ReachReports:     "detects an upstream that falls silent once, not box by box",
	Tunnels:          "serves the callers of a box whose paths to upstreams are cut",
	DomainCutOff:     "detects a network partition once, not upstream by upstream",
	Moving:           "finishes long answers whose upstream has become busy with prefill",
	FailureBackoff:   "keeps requests away from upstreams that fail",
	Resuming:         "finishes streams whose upstream is lost",
	Repeating:        "answers requests whose first run failed",
	Limits:           "keeps all boxes together within the limits that upstreams advertise in their answers",
	Pauses:           "sends nothing to upstreams that refuse requests and request a pause, until its end",
	Withholding:      "keeps one request from crashing one upstream after another, with everything that they run",
	Continuing:       "lets streams go on at the software version that began them while its upstreams are busy",
	Distance:         "saves network time, and bytes over expensive links",
}

// Off is the set of mechanisms that are switched off.
type Off map[Mechanism]bool

// ParseOff parses the names of mechanisms to switch off. The error names an unknown one.
func ParseOff(names []string) (Off, error) {
	off := make(Off)
	for _, name := range names {
		if purposes[Mechanism(name)] == "" {
			return nil, fmt.Errorf("unknown mechanism %q, want one of %s", name, strings.Join(MechanismNames(), ", "))
		}
		off[Mechanism(name)] = true
	}
	return off, nil
}

// MechanismNames returns the sorted names of all mechanisms.
func MechanismNames() []string {
	var names []string
	for _, m := range slices.Sorted(maps.Keys(purposes)) {
		names = append(names, string(m))
	}
	return names
}

// Purpose returns what the mechanism is for.
func (m Mechanism) Purpose() string { return purposes[m] }

// Names returns the sorted names of the mechanisms that are off.
func (o Off) Names() []string {
	names := make([]string, 0, len(o))
	for _, m := range slices.Sorted(maps.Keys(o)) {
		names = append(names, string(m))
	}
	return names
}
