package relay

// This file defines how the box finds out which requests upstreams end under, and what it does with
// those. An upstream has ended where it closed or reset the connection under a run and nobody
// listens at its address any more, or another start of it does; a reset alone says nothing, nor
// does the end of an upstream that was leaving. The invariant: a request that is withheld is not
// sent to an upstream, whether it has just come, would be sent again, or waits at one for its
// first event.

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
)

// withheldReason is why a request is refused that is withheld.
const withheldReason = "upstreams ended under it"

// withhold refuses a request that is withheld; nil where it may run.
func (x *exchange) withhold() *refusal {
	left := x.withheldFor()
	if left == 0 {
		return nil
	}
	return &refusal{fasthttp.StatusServiceUnavailable, withheldReason, left}
}

// withheldFor is how long the request is withheld from now on; 0: it may run.
func (x *exchange) withheldFor() time.Duration {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.crashSuspects.Any() || r.cfg.Disabled[balance.Withholding] {
		return 0
	}
	return r.crashSuspects.Left(r.now(), x.contentOf())
}

// distrusts reports whether the request goes on new connections only: a run of it was cut off, here or
// elsewhere. One that rests may be dead too, as in a cut: the run would be lost, and the
// upstream would seem to have ended under it. On a day of such a cut boxes withheld nine sound requests.
func (x *exchange) distrusts() bool {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	return x.runsCut > 0 || r.crashSuspects.Any() && r.crashSuspects.Suspected(x.contentOf())
}

// noteCutOff notes that the upstream closed or reset the connection under the run, and finds out
// whether it has ended. Where one has ended under the request before, the exchange waits for that:
// the next upstream is not to end before this one is known to have.
func (x *exchange) noteCutOff() {
	r := x.relay
	if r.cfg.Disabled[balance.Withholding] {
		return
	}
	content, u := x.contentOf(), x.upstream
	r.mu.Lock()
	withheld := r.crashSuspects.NoteConnectionLost(r.now(), content, u.Incarnation())
	suspected := r.crashSuspects.Suspected(content)
	r.mu.Unlock()
	if withheld {
		r.holdBack([]uint64{content}, "seen here")
	}
	wake(r.members.loaded)
	found := r.findOut(u)
	if suspected {
		<-found
	}
}

// findOut finds out whether an upstream has ended, once at a time; what it returns is closed when that is known.
func (r *Relay) findOut(u balance.Upstream) <-chan struct{} {
	life := u.Incarnation()
	r.mu.Lock()
	defer r.mu.Unlock()
	if found := r.endChecks[life]; found != nil {
		return found
	}
	found := make(chan struct{})
	r.endChecks[life] = found
	go func() {
		c, err := dial(context.Background(), u.Address)
		if err == nil {
			_ = c.Close()
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.noteEnd(life)
			wake(r.members.loaded) // others are to be told at once
		}
		r.mu.Lock()
		delete(r.endChecks, life)
		r.mu.Unlock()
		close(found)
	}()
	return found
}

// noteEnd notes that a life of an upstream has ended, unless it was leaving or is listed no more.
func (r *Relay) noteEnd(life balance.Incarnation) {
	r.mu.Lock()
	u, isListed := r.listed(life.ID)
	r.mu.Unlock()
	if isListed && (u.Incarnation() != life || !u.Leaving) {
		r.holdAgainst(life)
	}
}

// holdAgainst holds the end of an upstream that nobody told of against what was cut off there.
func (r *Relay) holdAgainst(life balance.Incarnation) {
	if r.cfg.Disabled[balance.Withholding] {
		return
	}
	r.mu.Lock()
	withheld, isNew := r.crashSuspects.Ended(r.now(), life)
	r.mu.Unlock()
	if !isNew {
		return
	}
	r.cfg.Log.Event("upstream", "ended", Fields{"upstream": life.ID, "born": life.StartedAt, "age_ms": r.age().Milliseconds()})
	r.holdBack(withheld, "seen here")
}

// noteAnswer notes that the run was answered whole: neither does the request end what runs it, nor
// had its upstream ended before.
func (x *exchange) noteAnswer() {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.crashSuspects.Any() {
		return
	}
	r.crashSuspects.Answered(r.now(), x.contentOf())
	r.crashSuspects.Alive(x.upstream.Incarnation(), x.ticket.Opened())
}

// holdBack writes the lines about contents that are withheld from now on, and ends the runs of them that
// have not begun, as far as is seen here: their upstreams would end too.
func (r *Relay) holdBack(contents []uint64, why string) {
	for _, content := range contents {
		r.mu.Lock()
		now := r.now()
		count, left := r.crashSuspects.Count(content), r.crashSuspects.Left(now, content)
		for x, c := range r.runConns {
			if !x.eventsBegan.Load() && x.contentOf() == content {
				x.withheldRun.Store(true)
				_ = c.Close()
			}
		}
		r.mu.Unlock()
		r.stats.count("contents_withheld")
		r.cfg.Log.Event("content", "withheld", Fields{"content": contentName(content), "ended": count, "for_ms": left.Milliseconds(), "why": why})
	}
}

// shareSuspects hands the node what others are to be told, and takes in what they told.
func (m *members) shareSuspects() {
	r := m.relay
	heard := m.node.DrainSuspects()
	if r.cfg.Disabled[balance.Withholding] {
		return
	}
	now := r.now()
	r.mu.Lock()
	withheld := r.crashSuspects.Take(now, heard)
	if news := r.crashSuspects.News(now); len(news) > 0 {
		m.node.AnnounceSuspects(news)
		m.node.SetWithheld(r.crashSuspects.Withheld(now))
	}
	r.mu.Unlock()
	m.node.FlushSuspects(now)
	r.holdBack(withheld, "told")
}
