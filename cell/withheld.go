package cell

// This file defines how the boxes of a failure domain share which requests
// were running when an upstream crashed, and how a box acts on it. Package
// balance decides which requests are withheld, for these boxes as for those
// that relay. The box that saw the crash tells all others at once, and a
// digest in heartbeats detects lost messages. Invariant: a withheld request is
// not sent to an upstream, whether it has just arrived, is about to be retried,
// waits for a slot, or waits at an upstream for its first token.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/decide"
)

// Ends reports requests that were running when an upstream crashed. With All,
// it lists the requests that the sender withholds.
type Ends struct {
	Suspects []balance.Suspect
	All      bool
}

func (*Ends) message() {}

const (
	// minUpstreamUptime is the minimum time between two crashes of an
	// upstream: runs that are cut off within it were cut off by the same crash.
	minUpstreamUptime = 500 * time.Millisecond
	// maxSuspectsPerMessage bounds the number of request contents in a
	// message.
	maxSuspectsPerMessage = 100
)

// upstreamCrash records when this box last saw an upstream crash, and how
// many crashes it has seen.
type upstreamCrash struct {
	at    time.Duration
	count int64
}

// withheldFor returns how long a request is withheld from now on; 0 if it
// may run.
func (n *Node) withheldFor(l *localRequest) time.Duration {
	if l.req.Content == 0 || !n.suspects.Any() {
		return 0
	}
	return n.suspects.Left(n.now, balance.ContentSubject(l.req.Content))
}

// endWithheld ends a request that is withheld.
func (n *Node) endWithheld(l *localRequest) {
	n.end(l, Final{Reason: decide.Withheld, Ran: l.ran, RetryAfter: n.withheldFor(l)})
}

// noteUpstreamCrash counts the crash of an upstream against the request that
// it cut off. An upstream keeps its name when it restarts, so each box counts
// its crashes to tell its incarnations apart.
func (n *Node) noteUpstreamCrash(l *localRequest) {
	if l.req.Content == 0 {
		return
	}
	crash := n.upstreamCrashes[l.upstream]
	if crash.count == 0 || n.now-crash.at >= minUpstreamUptime {
		crash = upstreamCrash{n.now, crash.count + 1}
		n.upstreamCrashes[l.upstream] = crash
	}
	incarnation := balance.Incarnation{ID: n.cfg.Box + "/" + l.upstream, StartedAt: int64(n.cfg.Boot) + crash.count}
	n.suspects.NoteConnectionLost(n.now, balance.LostRun{Subjects: []balance.Subject{balance.ContentSubject(l.req.Content)}, Incarnation: incarnation, Began: n.now})
	n.suspects.Ended(n.now, incarnation)
	n.broadcastSuspects()
}

// noteAnswer records that a request was answered completely, which shows
// that it does not crash upstreams.
func (n *Node) noteAnswer(l *localRequest) {
	if l.req.Content != 0 && n.suspects.Any() {
		n.suspects.Answered(n.now, balance.ContentSubject(l.req.Content))
		n.broadcastSuspects()
	}
}

// broadcastSuspects sends new suspects to all boxes of the domain, and stops
// the requests that are now withheld.
func (n *Node) broadcastSuspects() {
	if unsent := n.collectSuspects(); len(unsent) > 0 {
		for _, box := range n.members.live() {
			n.send(box, &Ends{Suspects: unsent})
		}
	}
}

// collectSuspects returns the suspects that have not been sent yet, and
// stops the requests that are now withheld.
func (n *Node) collectSuspects() []balance.Suspect {
	unsent := n.suspects.TakeNews(n.now)
	if len(unsent) == 0 {
		return nil
	}
	n.withheldDigest = balance.SuspectsDigest(n.suspects.Established(n.now))
	for _, l := range n.sortedRequests(func(l *localRequest) bool { return n.withheldFor(l) > 0 }) {
		n.stopWithheld(l)
	}
	return unsent[:min(len(unsent), maxSuspectsPerMessage)]
}

// stopWithheld ends a request that has become withheld, or cancels its run
// if the answer has not begun.
func (n *Node) stopWithheld(l *localRequest) {
	switch l.state {
	case stateWaiting:
		n.withdraw(l)
		n.endWithheld(l)
	case stateLeased, stateSending:
		if !l.cancelling {
			l.cancelling = true
			n.addAction(Action{Kind: CancelRun, Request: l.req.ID})
		}
	}
}

// onEnds merges the suspects of another box, and sends back those about
// which that box knows less.
func (n *Node) onEnds(from string, m *Ends) {
	n.suspects.Merge(n.now, m.Suspects)
	unknownToSender := slices.DeleteFunc(n.collectSuspects(), func(mine balance.Suspect) bool {
		return slices.ContainsFunc(m.Suspects, func(theirs balance.Suspect) bool {
			return theirs.Content == mine.Content && theirs.Round == mine.Round && slices.Equal(theirs.Ended, mine.Ended)
		})
	})
	if len(unknownToSender) > 0 {
		n.send(from, &Ends{Suspects: unknownToSender})
	}
}

// compareWithheld sends a box the withheld requests of this one if the
// digests differ.
func (n *Node) compareWithheld(from string, digest uint64) {
	if digest == n.withheldDigest {
		return
	}
	list := n.suspects.Established(n.now)
	n.send(from, &Ends{Suspects: list[:min(len(list), maxSuspectsPerMessage)], All: true})
}

// expireSuspects removes suspects that are too old.
func (n *Node) expireSuspects() {
	if !n.suspects.Any() {
		n.withheldDigest = 0
		return
	}
	n.suspects.Forget(n.now)
	n.withheldDigest = balance.SuspectsDigest(n.suspects.Established(n.now))
}
