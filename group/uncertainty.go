package group

// This file defines until when entries that were removed after an outage of the publisher may
// reappear, and what a box bases this on. The invariant: a box that was suspended does not prolong
// this time for others.

import "time"

// reappearPeriod is how long after the publisher returns a removed entry may reappear: 2 s plus a
// margin.
const reappearPeriod = 2200 * time.Millisecond

// Uncertainty is what a box knows of removed entries that may reappear.
type Uncertainty struct {
	Until  time.Duration // until then removed entries may reappear
	Source string        // the box whose read, or whose message, set Until
	// Of a box that concluded it from a read of its own: the age of its copy before the read, and the
	// time since the failure of the read before.
	CopyAge, FailureAge time.Duration
}

// Uncertainty returns until when removed entries may reappear, and why.
func (n *Node) Uncertainty() Uncertainty { return n.uncertainty }

// setUncertainty adopts an uncertainty unless a longer one is known.
func (n *Node) setUncertainty(u Uncertainty) {
	if u.Until > n.uncertainty.Until {
		n.uncertainty = u
	}
}

// extendUncertainty adopts the time, in microseconds from a moment on, during which another box
// expects that removed entries may reappear.
func (n *Node) extendUncertainty(from time.Duration, source string, left uint64) {
	if left > 0 {
		n.setUncertainty(Uncertainty{Until: from + fromMicros(left), Source: source})
	}
}
