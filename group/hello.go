package group

// This file defines how a box answers the hello of a box that has started or hears no leader. The
// invariant: the answers take at most listShare of the box's link, however many boxes ask.
//
// If all boxes start at once, each asks the seeds until it hears a leader. Answers that fill the
// links of the seeds also delay the seeds' heartbeats, so that the boxes hear no leader and ask
// again.

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/wire"
)

// maxHelloListed bounds how many boxes of the asking box's domain an answer lists: the strongest
// ones, one of which is the leader and lists the others.
const maxHelloListed = 8

// answerHello answers a hello, unless answers have used up their share of the link: the asking box
// repeats it.
func (n *Node) answerHello(now time.Duration, p *peer) {
	m := n.newMessage(now)
	m.Boxes = n.strongestFor(p.box.Domain, now)
	if n.IsLeader() && n.sameDomain(p) {
		m.Sharers = n.packQuotaPeers(now)
	}
	m.Classes = n.classesFor(p, n.packClasses(now))
	if n.helloBudget.take(now, n.cfg.LinkRate, proto.Size(m)) {
		n.send(p.box.Address, m)
	}
}

// strongestFor returns the strongest boxes of a domain and the leaders of the others.
func (n *Node) strongestFor(domain string, now time.Duration) []*wire.GroupBox {
	var list []*wire.GroupBox
	listed := 0
	for _, b := range n.boxesFor(domain, now) { // the strongest first
		if b.Domain == domain {
			listed++
		}
		if b.Domain != domain || listed <= maxHelloListed {
			list = append(list, b)
		}
	}
	return list
}
