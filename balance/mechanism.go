package balance

// This file defines the mechanisms that can be switched off one by one, to measure what
// each is worth on a deployment. The invariant: a mechanism that is off decides nothing;
// what it learned and told before makes no difference either.

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Mechanism names something that boxes decide by.
type Mechanism string

// The mechanisms.
const (
	Lanes            Mechanism = "lanes"       // upstreams are kept for tight streams
	Leaving          Mechanism = "leaving"     // tight streams may leave their lane
	Slots            Mechanism = "slots"       // the wait for a slot counts as work before a request
	AdmissionControl Mechanism = "admission"   // what would come too late is refused
	Order            Mechanism = "order"       // a refusal holds less urgent requests to its bound
	Loads            Mechanism = "loads"       // work of other boxes counts
	Parts            Mechanism = "parts"       // who was sent which part of a prompt decides
	Fetching         Mechanism = "fetching"    // upstreams fetch what others keep
	Memory           Mechanism = "memory"      // an upstream gets no more than its memory holds
	Domains          Mechanism = "domains"     // a failure domain is left as a whole
	Moving           Mechanism = "moving"      // an answer that would end late goes on elsewhere
	Rests            Mechanism = "rests"       // an upstream that fails is passed over for a while
	Resuming         Mechanism = "resuming"    // a stream goes on at another upstream
	Repeating        Mechanism = "repeating"   // a request whose run failed is run elsewhere
	Distance         Mechanism = "distance"    // how far upstreams are counts
	Limits           Mechanism = "limits"      // upstreams get no more than they name
	Pauses           Mechanism = "pauses"      // upstreams that ask for a pause get nothing until its end
	Withholding      Mechanism = "withholding" // a request under which upstreams end is refused
)

// purposes says what each mechanism is for.
var purposes = map[Mechanism]string{
	Lanes:            "keeps long prompts from holding up streams whose events must follow each other closely",
	Leaving:          "lets such streams use other upstreams when theirs are overrun",
	Slots:            "finds upstreams whose slots are free when streams fill them",
	AdmissionControl: "refuses at once what would come too late, before it makes others late",
	Order:            "keeps the less urgent from taking what the more urgent was refused",
	Loads:            "avoids upstreams that other boxes keep busy",
	Parts:            "sends prompts to where their shared parts lie",
	Fetching:         "spares reading what another upstream keeps",
	Memory:           "keeps upstreams from falling over, or putting requests back, under the longest requests",
	Domains:          "finds out about a cut once, not upstream by upstream",
	Moving:           "ends long answers whose upstream has come to read all the time",
	Rests:            "spares requests the upstreams that fail",
	Resuming:         "ends streams whose upstream is lost",
	Repeating:        "answers requests whose first run failed",
	Limits:           "keeps upstreams in need from being sent more, by all boxes together, than they name in their answers",
	Pauses:           "keeps upstreams that turn requests away, and say for how long, from being sent more meanwhile",
	Withholding:      "keeps one request from ending one upstream after another, with all that runs there",
	Distance:         "saves the time that requests spend on the way, and bytes over dear links",
}

// Off is the mechanisms that are switched off.
type Off map[Mechanism]bool

// ParseOff reads the names of the mechanisms that are off; the error names one that there
// is not.
func ParseOff(names []string) (Off, error) {
	off := make(Off)
	for _, name := range names {
		if purposes[Mechanism(name)] == "" {
			return nil, fmt.Errorf("no mechanism is called %q, want one of %s", name, strings.Join(MechanismNames(), ", "))
		}
		off[Mechanism(name)] = true
	}
	return off, nil
}

// MechanismNames lists all mechanisms, in order.
func MechanismNames() []string {
	var names []string
	for _, m := range slices.Sorted(maps.Keys(purposes)) {
		names = append(names, string(m))
	}
	return names
}

// Purpose says what a mechanism is for.
func (m Mechanism) Purpose() string { return purposes[m] }

// Names lists the mechanisms that are off, in order.
func (o Off) Names() []string {
	names := make([]string, 0, len(o))
	for _, m := range slices.Sorted(maps.Keys(o)) {
		names = append(names, string(m))
	}
	return names
}
