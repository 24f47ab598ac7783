package relay

// This file defines how a box asks others where a stream began, and how it judges their answers. The
// invariants: a lookup ends within originWait, and what no answer says is unknown; and that one version
// only can have begun the stream is the word of another box at least, which no answer contradicts.

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
	split    bool // some box has seen another version than the others, or several
	limited  bool // the limits on lookups were reached
	awaited  bool // this box waited for its list to be confirmed
	asked    int  // boxes
	answered int
	took     time.Duration
}

// ownWord is what this box knows of the versions of a service.
type ownWord struct {
	software string
	isSole   bool // only software can have begun any stream, as of the list of this box
	isFresh  bool // that list is at most freshList old
}

// lookup finds out where a stream began: from this box's records, or else by asking its holders.
func (o *origins) lookup(ctx context.Context, customer string, key origin.Key, service string, own ownWord, mayHold func(domain string) bool) originAnswer {
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
	answers := make(chan originReply, maxOriginReplies)
	nonce := o.addQuestion(answers)
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.questions, nonce)
		o.mu.Unlock()
	}()
	m := group.OriginMessage(o.relay.cfg.Self)
	m.OriginQuery = &wire.GroupOriginQuery{Stream: uint64(key), Nonce: nonce, Service: service, ReplyTo: o.relay.cfg.Self.Address}
	c := newAnswerCount(o.relay.cfg.Domain, own)
	a := o.await(ctx, &c, func() ([]string, bool) { return o.asked(key, mayHold) }, m, answers)
	a.took = time.Since(began)
	return a
}

// question is one that this box has asked.
type question struct {
	askedAt time.Duration
	answers chan<- originReply // nil: the answers are about versions only
}

// addQuestion returns the nonce of a question that is asked now. The caller holds mu.
func (o *origins) addQuestion(answers chan<- originReply) uint64 {
	o.nonce++
	o.questions[o.nonce] = question{o.relay.now(), answers}
	return o.nonce
}

// asked returns the boxes to ask for a stream, and whether this box has known any of another domain that
// may hold its record.
func (o *origins) asked(key origin.Key, mayHold func(domain string) bool) (list []string, others bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for domain := range o.otherDomains {
		others = others || mayHold(domain)
	}
	return o.peers.Asked(key, mayHold), others
}

// await sends a question and collects the answers until one says where the stream began, all have
// come, or originWait is over. A box that has just started may learn of others meanwhile, so that it
// asks once more before it gives up. One that has long known one version, as most that answered, does not
// wait for those that have ended.
func (o *origins) await(ctx context.Context, c *answerCount, asked func() ([]string, bool), m *wire.GroupMessage, answers <-chan originReply) originAnswer {
	c.asksAgain = o.relay.now() < originSettle && o.relay.members.socket != nil
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
			if c.isPlain() {
				return c.conclude()
			}
			c.asksAgain = false
			ask()
			if c.asked == 0 {
				return originAnswer{}
			}
		case <-end.C:
			return c.conclude()
		case <-ctx.Done():
			return c.conclude()
		}
	}
}

// answerCount judges the answers to a question.
type answerCount struct {
	asked        int    // boxes
	asksAgain    bool   // more boxes may be asked
	otherDomains bool   // boxes of other domains have been known
	domain       string // of this box
	isOwn        bool   // this box knows one version by a fresh list

	answered  []string // boxes
	elsewhere int      // answers of other domains
	software  string   // the only version that this box and all that answered have seen
	hasSeen   bool     // software is set
	split     bool     // some box has seen another version, or several
	vouched   bool     // a box that answered knows that there was no other version
	isFresh   bool     // its list, or that of this box, is fresh
}

func newAnswerCount(domain string, own ownWord) answerCount {
	isOwn := own.isSole && own.isFresh
	return answerCount{domain: domain, isOwn: isOwn, software: own.software, hasSeen: own.isSole, isFresh: isOwn}
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
		return c.answer(originAnswer{Origin: origin.Origin{Service: a.Origin.Service, Software: a.Origin.Software}, result: origin.Found}), true
	case a.Result == wire.GroupOriginReply_AMBIGUOUS:
		return c.answer(originAnswer{result: origin.Ambiguous}), true
	}
	c.noteSeen(a)
	if len(c.answered) < c.asked || c.asksAgain {
		return originAnswer{}, false // another one may have the record, or have seen another version
	}
	return c.conclude(), true
}

// noteSeen notes the versions that the box which answered has seen.
func (c *answerCount) noteSeen(a originReply) {
	software, isOne := a.onlySoftware()
	c.split = c.split || !isOne || c.hasSeen && software != c.software
	c.software, c.hasSeen = software, true
	if a.Sole {
		c.vouched = true
		c.isFresh = c.isFresh || a.hasFreshList()
	}
}

// isPlain reports whether this box and most that it asked agree that one version only can have begun the
// stream.
func (c *answerCount) isPlain() bool {
	return c.isOwn && !c.asksAgain && 2*len(c.answered) > c.asked && c.conclude().sole
}

// conclude returns the result where no answer has a record. Where all lists are old, all boxes must have
// answered, as while the publisher is away for all: then nobody can have learned of another version.
func (c *answerCount) conclude() originAnswer {
	isHeard := c.elsewhere > 0 || !c.otherDomains
	isComplete := c.isFresh || len(c.answered) >= c.asked
	if c.split || !c.vouched || !isHeard || !isComplete {
		return c.answer(originAnswer{})
	}
	return c.answer(originAnswer{Origin: origin.Origin{Software: c.software}, sole: true})
}

func (c *answerCount) answer(a originAnswer) originAnswer {
	a.asked, a.answered, a.split = c.asked, len(c.answered), c.split
	return a
}
