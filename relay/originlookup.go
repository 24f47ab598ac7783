package relay

// This file defines how a box asks others where a stream began, and how it judges their answers. The
// invariant: a lookup ends within originWait, and what no answer says is unknown.

import (
	"context"
	"slices"
	"time"

	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/origin"
	"github.com/doormast/doormast/wire"
)

const (
	// originWait is the longest time that a lookup takes. originResend is when those that have not
	// answered are asked once more, as a datagram may be lost.
	originWait   = 160 * time.Millisecond
	originResend = 60 * time.Millisecond
	// originSettle is the time after a start in which a box learns of the others.
	originSettle = 3 * time.Second
	// maxOriginReplies bounds the answers that wait for a lookup; a box answers each time that it is asked.
	maxOriginReplies = 32
)

// originAnswer is the result of a lookup.
type originAnswer struct {
	origin.Origin
	result   origin.Result
	sole     bool // no record was found, and only Software can have begun any stream
	limited  bool // the limits on lookups were reached
	asked    int  // boxes
	answered int
	took     time.Duration
}

// lookup finds out where a stream began: from this box's records, or else by asking its holders.
func (o *origins) lookup(ctx context.Context, customer string, key origin.Key, service string, mayHold func(domain string) bool) originAnswer {
	began := time.Now()
	o.mu.Lock()
	found, result := o.table.Get(o.relay.now(), key)
	if result != origin.NotFound {
		o.mu.Unlock()
		return originAnswer{Origin: found, result: result}
	}
	if !o.limiter.Allow(o.relay.now(), customer) {
		o.mu.Unlock()
		o.relay.stats.count(originsNotAsked)
		return originAnswer{limited: true}
	}
	o.nonce++
	nonce, answers := o.nonce, make(chan originReply, maxOriginReplies)
	o.lookups[nonce] = answers
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.lookups, nonce)
		o.mu.Unlock()
	}()
	m := group.OriginMessage(o.relay.cfg.Self)
	m.OriginQuery = &wire.GroupOriginQuery{Stream: uint64(key), Nonce: nonce, Service: service, ReplyTo: o.relay.cfg.Self.Address}
	a := o.await(ctx, func() ([]string, bool) { return o.asked(key, mayHold) }, m, answers)
	a.took = time.Since(began)
	return a
}

// asked returns the boxes to ask for a stream, and whether any box of another domain is among those
// that this box knows.
func (o *origins) asked(key origin.Key, mayHold func(domain string) bool) (list []string, others bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peers.Asked(key, mayHold), o.peers.HasOtherDomains(mayHold)
}

// await sends a question and collects the answers until one says where the stream began, all have
// come, or originWait is over. A box that has just started may learn of others meanwhile, so that it
// asks once more before it gives up.
func (o *origins) await(ctx context.Context, asked func() ([]string, bool), m *wire.GroupMessage, answers <-chan originReply) originAnswer {
	c := answerCount{domain: o.relay.cfg.Domain, asksAgain: o.relay.now() < originSettle && o.relay.members.socket != nil}
	ask := func() {
		var list []string
		list, c.otherDomains = asked()
		c.asked = len(list)
		o.send(list, m)
	}
	ask()
	if c.asked == 0 && !c.asksAgain {
		return originAnswer{}
	}
	end, again := time.NewTimer(originWait), time.NewTimer(originResend)
	defer end.Stop()
	defer again.Stop()
	for {
		select {
		case a := <-answers:
			if found, done := c.add(a); done {
				return found
			}
		case <-again.C:
			c.asksAgain = false
			ask()
			if c.asked == 0 {
				return originAnswer{}
			}
		case <-end.C:
			return c.unknown()
		case <-ctx.Done():
			return c.unknown()
		}
	}
}

// answerCount judges the answers to a question.
type answerCount struct {
	asked        int    // boxes
	asksAgain    bool   // more boxes may be asked
	otherDomains bool   // boxes of other domains are known
	domain       string // of this box

	answered  []string // boxes
	elsewhere int      // answers of other domains
	sole      string   // named by all answers so far
	split     bool     // the answers do not all name the same sole version
}

// add counts an answer; done means that the lookup is over.
func (c *answerCount) add(a originReply) (found originAnswer, done bool) {
	if slices.Contains(c.answered, a.box) {
		return originAnswer{}, false // to the question that was sent again
	}
	c.answered = append(c.answered, a.box)
	if a.Domain != c.domain {
		c.elsewhere++
	}
	switch {
	case a.Result == wire.GroupOriginReply_FOUND && a.Origin != nil:
		found = originAnswer{Origin: origin.Origin{Service: a.Origin.Service, Software: a.Origin.Software}, result: origin.Found}
	case a.Result == wire.GroupOriginReply_AMBIGUOUS:
		found = originAnswer{result: origin.Ambiguous}
	case a.Sole && time.Duration(a.ListAge)*time.Microsecond <= freshList:
		found = originAnswer{Origin: origin.Origin{Software: a.SoleSoftware}, sole: true}
	default:
		c.split = c.split || !a.Sole || len(c.answered) > 1 && a.SoleSoftware != c.sole
		c.sole = a.SoleSoftware
		if len(c.answered) < c.asked || c.asksAgain {
			return originAnswer{}, false
		}
		found = c.unknown()
		if !c.split && (c.elsewhere > 0 || !c.otherDomains) {
			found = originAnswer{Origin: origin.Origin{Software: c.sole}, sole: true} // as while the publisher is away for all
		}
	}
	found.asked, found.answered = c.asked, len(c.answered)
	return found, true
}

// unknown is the result where no answer says where the stream began.
func (c *answerCount) unknown() originAnswer {
	return originAnswer{asked: c.asked, answered: len(c.answered)}
}
