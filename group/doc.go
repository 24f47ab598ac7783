// Package group is how boxes that relay act together: who is there, who reads what
// is published for the others, and how each learns of changes and of their age.
//
// The strongest box of a failure domain leads it. The strongest lead that can read the
// publisher does so for all, and passes each change on, to the boxes of its domain and to
// the leads of the others; beats say how old a lead's knowledge is. The others tell their
// lead that they live. Nothing is agreed upon: two boxes that both take themselves for the
// lead cost a few calls to the publisher and nothing else, and a box that hears from no
// lead, or only of old knowledge, reads for itself and tells the lead what it found.
//
// Where failure domains are divided into regions, the strongest lead of a region speaks for it:
// what work is under way, and who was sent which parts of prompts, crosses the edge of a region once
// for each other region. What is published, and its age, goes from lead to lead.
//
// A Node is a state machine without I/O: messages and the time go in, messages come
// out. The messages are the generated types of package wire.
package group
