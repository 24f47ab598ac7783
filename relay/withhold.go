package relay

// This file defines how the box detects requests that crash upstreams, and how it withholds
// them. A crash is assumed where an upstream closed or reset the connection under a run, and
// then its address refuses connections or belongs to another incarnation; a reset alone is no
// evidence, nor is the end of an upstream that was leaving. The invariant: a withheld request
// is not sent to an upstream, whether it has just arrived, is about to be retried, or waits at
// an upstream for its first event.

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

// refuseWithheld returns the refusal of a request that is withheld; nil if it may run.
func (x *exchange) refuseWithheld() *refusal {
	left := x.withheldFor()
	if left == 0 {
		return nil
	}
	return &refusal{fasthttp.StatusServiceUnavailable, withheldReason, left}
}

// withheldFor is how much longer the request is withheld; 0 if it may run.
func (x *exchange) withheldFor() time.Duration {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.crashSuspects.Any() || r.cfg.Disabled[balance.Withholding] {
		return 0
	}
	return r.crashSuspects.Left(r.now(), x.requestHash())
}

// needsNewConn reports whether the request must be sent on a new connection because an earlier
// run of it was disconnected, on this box or another. An idle connection may be dead as well,
// as in a network partition: the run would be lost, and the upstream would seem to have crashed
// under it. In a recorded partition nine sound requests were withheld for that reason.
func (x *exchange) needsNewConn() bool {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	return x.runsCut > 0 || r.crashSuspects.Any() && r.crashSuspects.Suspected(x.requestHash())
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
	content, u := x.requestHash(), x.upstream
	r.mu.Lock()
	withheld := r.crashSuspects.NoteConnectionLost(r.now(), content, u.Incarnation())
	suspected := r.crashSuspects.Suspected(content)
	r.mu.Unlock()
	if withheld {
		r.withholdContents([]uint64{content}, "seen here")
	}
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
	go func() {
		c, err := dial(context.Background(), u.Address)
		if err == nil {
			_ = c.Close()
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
	content := x.requestHash()
	r.mu.Lock()
	suspected := r.crashSuspects.Suspected(content)
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
	withheld, isNew := r.crashSuspects.Ended(r.now(), inc)
	r.mu.Unlock()
	if !isNew {
		return
	}
	r.cfg.Log.Event("upstream", "ended", Fields{"upstream": inc.ID, "born": inc.StartedAt, "age_ms": r.publishedAge().Milliseconds()})
	r.withholdContents(withheld, "seen here")
}

// noteAnswered records that the run was answered completely: the request does not crash its
// upstream, and the upstream had not ended before.
func (x *exchange) noteAnswered() {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.crashSuspects.Any() {
		return
	}
	r.crashSuspects.Answered(r.now(), x.requestHash())
	r.crashSuspects.Alive(x.upstream.Incarnation(), x.ticket.Opened())
}

// withholdContents logs contents that are withheld from now on. It also closes the connections
// of their runs that have produced no event yet, since those would crash their upstreams as
// well.
func (r *Relay) withholdContents(contents []uint64, source string) {
	for _, content := range contents {
		r.mu.Lock()
		now := r.now()
		count, left := r.crashSuspects.Count(content), r.crashSuspects.Left(now, content)
		for x, c := range r.runConns {
			if !x.eventsBegan.Load() && x.requestHash() == content {
				x.withheldRun.Store(true)
				_ = c.Close()
			}
		}
		r.mu.Unlock()
		r.stats.count("contents_withheld")
		r.cfg.Log.Event("content", "withheld", Fields{"content": formatContentHash(content), "ended": count, "for_ms": left.Milliseconds(), "why": source})
	}
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
	withheld := r.crashSuspects.Merge(now, received)
	if own := r.crashSuspects.TakeNews(now); len(own) > 0 {
		m.node.AnnounceSuspects(now, own)
		m.node.SetWithheld(now, r.crashSuspects.Withheld(now))
	}
	r.mu.Unlock()
	m.node.FlushSuspects(now)
	r.withholdContents(withheld, "told")
}
