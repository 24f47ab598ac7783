package cell

// This file defines how the boxes of a failure domain find out which requests upstreams end under, and
// what a box does with these; what is withheld is decided in package balance, for boxes that relay
// as for these. The box that saw an end tells all others at once; a digest in heartbeats finds what was
// lost. The invariant: a request that is withheld is not sent to an upstream, whether it has
// just come, would be sent again, waits for a slot, or waits at an upstream for its first token.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/decide"
)

// Ends tells of requests that upstreams ended under; with All, of all that the sender withholds.
type Ends struct {
	Suspects []balance.Suspect
	All      bool
}

func (*Ends) message() {}

const (
	// lifeLeast is the least time between two ends of an upstream: what is cut off meanwhile
	// was cut off by the same.
	lifeLeast = 500 * time.Millisecond
	// maxEnds bounds the contents that a message names.
	maxEnds = 100
)

// seenEnd is when this box last saw an upstream end, and how often it has.
type seenEnd struct {
	at    time.Duration
	count int64
}

// withheld is how long a request is withheld from now on; 0: it may run.
func (n *Node) withheld(l *local) time.Duration {
	if l.req.Content == 0 || !n.ends.Any() {
		return 0
	}
	return n.ends.Left(n.now, l.req.Content)
}

// endWithheld ends a request that is withheld.
func (n *Node) endWithheld(l *local) {
	n.end(l, Final{Reason: decide.Withheld, Ran: l.ran, RetryAfter: n.withheld(l)})
}

// noteEnd holds the end of an upstream against the request that it cut off. An upstream keeps its
// name over its ends, which each box counts by itself.
func (n *Node) noteEnd(l *local) {
	if l.req.Content == 0 {
		return
	}
	seen := n.seenEnds[l.upstream]
	if seen.count == 0 || n.now-seen.at >= lifeLeast {
		seen = seenEnd{n.now, seen.count + 1}
		n.seenEnds[l.upstream] = seen
	}
	life := balance.Incarnation{ID: n.cfg.Box + "/" + l.upstream, StartedAt: int64(n.cfg.Boot) + seen.count}
	n.ends.NoteConnectionLost(n.now, l.req.Content, life)
	n.ends.Ended(n.now, life)
	n.tellEnds()
}

// noteAnswer notes that a request was answered whole: it does not end what runs it.
func (n *Node) noteAnswer(l *local) {
	if l.req.Content != 0 && n.ends.Any() {
		n.ends.Answered(n.now, l.req.Content)
		n.tellEnds()
	}
}

// tellEnds tells all boxes of the domain what is new, and ends what is withheld by now.
func (n *Node) tellEnds() {
	if news := n.takeEnds(); len(news) > 0 {
		for _, box := range n.members.live() {
			n.send(box, &Ends{Suspects: news})
		}
	}
}

// takeEnds takes what is new, and ends the requests that are withheld by now.
func (n *Node) takeEnds() []balance.Suspect {
	news := n.ends.TakeNews(n.now)
	if len(news) == 0 {
		return nil
	}
	n.endsDigest = balance.SuspectsDigest(n.ends.Withheld(n.now))
	for _, l := range n.sorted(func(l *local) bool { return n.withheld(l) > 0 }) {
		n.holdBack(l)
	}
	return news[:min(len(news), maxEnds)]
}

// holdBack ends a request that has come to be withheld, or its run if it has not begun.
func (n *Node) holdBack(l *local) {
	switch l.state {
	case stateWaiting:
		n.withdraw(l)
		n.endWithheld(l)
	case stateLeased, stateSending:
		if !l.stopping {
			l.stopping = true
			n.act(Action{Kind: CancelRun, Request: l.req.ID})
		}
	}
}

// onEnds takes in what another box tells, and tells it back what it knows less of.
func (n *Node) onEnds(from string, m *Ends) {
	n.ends.Merge(n.now, m.Suspects)
	back := slices.DeleteFunc(n.takeEnds(), func(mine balance.Suspect) bool {
		return slices.ContainsFunc(m.Suspects, func(told balance.Suspect) bool {
			return told.Content == mine.Content && told.Round == mine.Round && slices.Equal(told.Ended, mine.Ended)
		})
	})
	if len(back) > 0 {
		n.send(from, &Ends{Suspects: back})
	}
}

// compareEnds tells a box all that this one withholds where the two differ.
func (n *Node) compareEnds(from string, digest uint64) {
	if digest == n.endsDigest {
		return
	}
	list := n.ends.Withheld(n.now)
	n.send(from, &Ends{Suspects: list[:min(len(list), maxEnds)], All: true})
}

// tickEnds forgets what is old.
func (n *Node) tickEnds() {
	if !n.ends.Any() {
		n.endsDigest = 0
		return
	}
	n.ends.Forget(n.now)
	n.endsDigest = balance.SuspectsDigest(n.ends.Withheld(n.now))
}
