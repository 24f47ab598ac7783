package relay

// This file defines how the box detects requests and parts of prompts that crash upstreams, and how
// it withholds such requests. A crash is assumed where an upstream closed or reset the connection
// under a run, and then its address refuses connections or belongs to another incarnation; a
// reset alone is no evidence, nor is the end of an upstream that was leaving. The invariant: a
// withheld request is not sent to an upstream, whether it has just arrived, is about to be
// retried, or waits at an upstream for its first event.

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
)

// withheldReason is the reason given when a withheld request is refused.
const withheldReason = "upstreams ended under it"

// survivalTime is how long a run must have been answering to count in favor of the parts of its
// prompt: one that crashes its upstream does so soon after the answer has begun.
const survivalTime = 2 * time.Second

// endCheckDelay is how long after its connections a crashing upstream may still accept others.
const endCheckDelay = 50 * time.Millisecond

// partSubjects returns the subjects of the prompt's parts that other prompts may share. The rules for
// calls are those of requestHash.
func (x *exchange) partSubjects() []balance.Subject {
	if list := x.cachedPartSubjects.Load(); list != nil {
		return *list
	}
	list := balance.PartSubjects(x.service, x.request.prompt.Parts)
	x.cachedPartSubjects.Store(&list)
	return list
}

// subjects returns what may make upstreams crash under the request.
func (x *exchange) subjects() []balance.Subject {
	return append([]balance.Subject{balance.ContentSubject(x.requestHash())}, x.partSubjects()...)
}

// refuseWithheld returns the refusal of a request that has arrived and is withheld; nil if it may
// run.
func (x *exchange) refuseWithheld() *refusal {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.withholds() {
		return nil
	}
	left := r.crashSuspects.Admit(r.now(), x.subjects()...)
	if left == 0 {
		return nil
	}
	return &refusal{fasthttp.StatusServiceUnavailable, withheldReason, left}
}

// withholds reports whether any requests may be withheld. The caller holds mu.
func (r *Relay) withholds() bool {
	return r.crashSuspects.Any() && !r.cfg.Disabled[balance.Withholding]
}

// withheldFor is how much longer the request is withheld; 0 if it may run.
func (x *exchange) withheldFor() time.Duration {
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	return x.withheldForLocked()
}

// withheldForLocked is withheldFor for callers that hold the relay's mu.
func (x *exchange) withheldForLocked() time.Duration {
	r := x.relay
	if !r.withholds() {
		return 0
	}
	return r.crashSuspects.Left(r.now(), x.subjects()...)
}

// mayRepeat reports whether the request may be sent again after its run was cut off, and logs it
// if not.
func (x *exchange) mayRepeat() bool {
	r := x.relay
	if x.runsCut == 0 || r.cfg.Disabled[balance.Withholding] {
		return true
	}
	r.mu.Lock()
	may := r.crashSuspects.MayRepeat(r.now(), x.subjects()...)
	r.mu.Unlock()
	if !may {
		r.stats.count("runs_not_repeated")
		r.cfg.Log.Event("run", "not repeated", Fields{"id": x.request.id, "upstream": x.upstream.ID, "content": formatContentHash(x.requestHash()),
			"parts": formatParts(x.request.prompt.Parts)})
	}
	return may
}

// needsNewConn reports whether the request must be sent on a new connection because an earlier
// run of it was disconnected, on this box or another. An idle connection may be dead as well,
// as in a network partition: the run would be lost, and the upstream would seem to have crashed
// under it. In a recorded partition nine sound requests were withheld for that reason.
func (x *exchange) needsNewConn() bool {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	return x.runsCut > 0 || r.crashSuspects.Any() && r.crashSuspects.Suspected(r.now(), x.subjects()...)
}

// noteDisconnect records that the upstream closed or reset the connection under the run, and
// checks whether the upstream has ended. If an upstream has crashed under the request before,
// it waits for the result, so that the next upstream is not put at risk before this one is
// known to have ended.
func (x *exchange) noteDisconnect() {
	r := x.relay
	if r.cfg.Disabled[balance.Withholding] {
		return
	}
	subjects, u := x.subjects(), x.upstream
	r.mu.Lock()
	r.crashSuspects.NoteConnectionLost(r.now(), balance.LostRun{Subjects: subjects, Incarnation: u.Incarnation(), Began: x.sentAt})
	suspected := r.crashSuspects.Suspected(r.now(), subjects...)
	r.mu.Unlock()
	r.applyVerdicts("seen here")
	wake(r.members.loadsChanged)
	done := r.checkEnded(u)
	if suspected {
		<-done
	}
}

// checkEnded starts a check whether an upstream has ended, unless one is in progress. The
// returned channel is closed when the check is done.
func (r *Relay) checkEnded(u balance.Upstream) <-chan struct{} {
	inc := u.Incarnation()
	r.mu.Lock()
	defer r.mu.Unlock()
	if done := r.endChecks[inc]; done != nil {
		return done
	}
	done := make(chan struct{})
	r.endChecks[inc] = done
	began := r.now()
	go func() {
		c, err := dial(context.Background(), u.Address)
		if err == nil {
			_ = c.Close()
			r.mu.Lock()
			r.crashSuspects.Reached(r.now(), inc, began)
			r.mu.Unlock()
		}
		if errors.Is(err, syscall.ECONNREFUSED) && !r.reachedByOther(context.Background(), u) {
			r.noteEnd(inc)
			wake(r.members.loadsChanged) // send this evidence to the other boxes at once
		}
		r.mu.Lock()
		delete(r.endChecks, inc)
		r.mu.Unlock()
		close(done)
	}()
	return done
}

// noteRefused records that the host of the request's upstream refused a connection: the upstream
// has ended, unless other boxes reach it. Only a request that is suspected waits for that.
func (x *exchange) noteRefused() {
	r := x.relay
	if r.cfg.Disabled[balance.Tunnels] || !r.tunnels.havePeers() {
		r.noteEnd(x.upstream.Incarnation())
		return
	}
	subjects := x.subjects()
	r.mu.Lock()
	suspected := r.crashSuspects.Suspected(r.now(), subjects...)
	r.mu.Unlock()
	if done := r.checkEnded(x.upstream); suspected {
		<-done
	}
}

// noteEnd records the end of an incarnation, unless it was leaving or is no longer listed.
func (r *Relay) noteEnd(inc balance.Incarnation) {
	r.mu.Lock()
	u, isListed := r.listedUpstream(inc.ID)
	r.mu.Unlock()
	if isListed && (u.Incarnation() != inc || !u.Leaving) {
		r.recordEnd(inc)
	}
}

// recordEnd counts the unannounced end of an upstream against the requests that were
// disconnected there.
func (r *Relay) recordEnd(inc balance.Incarnation) {
	if r.cfg.Disabled[balance.Withholding] {
		return
	}
	r.mu.Lock()
	isNew := r.crashSuspects.Ended(r.now(), inc)
	r.mu.Unlock()
	if isNew {
		r.cfg.Log.Event("upstream", "ended", Fields{"upstream": inc.ID, "born": inc.StartedAt, "crash": formatCrash(inc.Key()), "age_ms": r.publishedAge().Milliseconds()})
	}
	r.applyVerdicts("seen here")
}

// noteAnswered records that the run was answered completely: the request does not crash its
// upstream, and the upstream had not ended before. A failure does not show that the request was
// run, so it says nothing about parts.
func (x *exchange) noteAnswered() {
	if x.response != nil && !x.response.hasFraming() {
		x.noteEndOfConnection()
		return
	}
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	now, u := r.now(), x.upstream.Incarnation()
	succeeded := x.response != nil && x.response.header.StatusCode() < fasthttp.StatusMultipleChoices
	switch {
	case succeeded && !r.crashSuspects.Any():
		r.crashSuspects.Answered(now, x.partSubjects()...)
	case succeeded:
		r.crashSuspects.Answered(now, x.subjects()...)
	case r.crashSuspects.Any():
		r.crashSuspects.Answered(now, balance.ContentSubject(x.requestHash()))
	}
	r.crashSuspects.Alive(now, u, x.ticket.Opened())
	wake(r.members.loadsChanged)
}

// noteEndOfConnection records that the answer ended with its connection, which a crash may have
// cut off. Unless answers with its parts are known, the upstream is checked.
func (x *exchange) noteEndOfConnection() {
	r := x.relay
	if r.cfg.Disabled[balance.Withholding] {
		return
	}
	r.mu.Lock()
	now := r.now()
	r.crashSuspects.NoteConnectionLost(now, balance.LostRun{Subjects: x.subjects(), Incarnation: x.upstream.Incarnation(), Began: x.sentAt, LooksWhole: true})
	known := r.crashSuspects.KnownSound(now, x.partSubjects()...)
	r.mu.Unlock()
	if u := x.upstream; !known {
		time.AfterFunc(endCheckDelay, func() { r.checkEnded(u) })
	}
}

// noteSurvival records that a run has been answering for long.
func (x *exchange) noteSurvival() {
	if x.survived || time.Since(x.answeringSince) < survivalTime {
		return
	}
	x.survived = true
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	x.relay.crashSuspects.Survived(x.relay.now(), x.partSubjects()...)
}

// shareSuspects passes this box's evidence to the node, and applies the evidence received from
// other boxes.
func (m *members) shareSuspects() {
	r := m.relay
	received := m.node.DrainSuspects()
	if r.cfg.Disabled[balance.Withholding] {
		return
	}
	now := r.now()
	r.mu.Lock()
	r.crashSuspects.Merge(now, received)
	if own := r.crashSuspects.TakeNews(now); len(own) > 0 {
		m.node.AnnounceSuspects(now, own)
		m.node.SetEstablished(now, r.crashSuspects.Established(now))
	}
	r.mu.Unlock()
	m.node.FlushSuspects(now)
	r.applyVerdicts("told")
}
