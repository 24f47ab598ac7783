// Package group lets the relaying boxes of a deployment work together: it tracks which boxes are
// alive, decides which box reads the published configuration and service entries for the others,
// and distributes changes together with the age of each box's copy.
//
// The strongest box of a failure domain is its leader. The strongest leader that can reach the
// publisher reads for the whole fleet. It forwards each change to the boxes of its own domain and
// to the leaders of the other domains. Leaders' heartbeats state how old their copy is; members
// send heartbeats to their leader. There is no consensus protocol. Two boxes that both act as
// leader cost a few extra calls to the publisher and nothing else. A box that hears from no
// leader, or receives only outdated information, reads the publisher itself and sends the result
// to its leader.
//
// Failure domains may be grouped into regions. The strongest leader of a region is the region
// leader: load sums and the lists of prompt parts sent to upstreams are sent from one region to
// each other region once. Published data and its age are exchanged between all leaders.
//
// A Node is a state machine without I/O: it takes messages and the current time, and returns
// messages to send. The messages are the generated types of package wire.
package group
