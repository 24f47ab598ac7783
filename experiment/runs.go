package experiment

// This file defines runs of requests on engines: how one starts, ends, is stopped or breaks.
// The invariant: a request has one run at a time, and its box hears of each end.

import (
	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
)

// dispatch brings a request to an engine.
func (l *loop) dispatch(b *box, a cell.Action) {
	r, e := l.requests[a.Request], l.byEngine[a.Upstream]
	b.node.Sending(l.now, a.Request)
	l.send(r, e, a.Tokens)
}

// send starts a run of a request on an engine.
func (l *loop) send(r *request, e *engine, from int) {
	r.engine = e
	r.job = &job{req: r, tier: l.spec.Classes[r.arrival.class].Tier, from: from, total: r.arrival.tokens}
	if e.broken {
		l.fail(r)
		return
	}
	if e.accept(l.now, r.job) {
		l.started(e, r.job)
	}
}

// started files the first token and the end of a job that got a slot.
func (l *loop) started(e *engine, j *job) {
	r := j.req
	l.after(j.prefill+e.pace, func() {
		if j.over {
			return
		}
		if r.first == 0 {
			r.first = l.now - settle - r.arrival.at
		}
		if r.box.node != nil {
			l.tell(r.box, func(n *cell.Node) { n.FirstToken(l.now, r.id) })
		}
	})
	l.after(j.lasts(e.pace), func() {
		if !j.over {
			l.finished(r, e, j)
		}
	})
}

func (l *loop) finished(r *request, e *engine, j *job) {
	l.replace(e, e.end(l.now, j, false))
	r.job = nil
	r.answered, r.ended = true, l.now
	l.close(r)
	if r.box.node != nil {
		l.tell(r.box, func(n *cell.Node) {
			n.Finished(l.now, r.id, cell.Result{Outcome: decide.Answered, Ran: true, Tokens: j.total, TimePerToken: e.pace, TimeToFirstToken: j.prefill + e.pace})
		})
	}
}

func (l *loop) replace(e *engine, next *job) {
	if next != nil {
		l.started(e, next)
	}
}

// stop cancels or pauses a run for a node.
func (l *loop) stop(b *box, a cell.Action) {
	r := l.requests[a.Request]
	if r == nil || r.job == nil {
		return
	}
	outcome := decide.Abandoned
	if a.Kind == cell.PauseRun {
		outcome = decide.Paused
	}
	tokens := l.endJob(r, outcome == decide.Abandoned)
	l.after(0, func() {
		l.tell(b, func(n *cell.Node) {
			n.Finished(l.now, a.Request, cell.Result{Outcome: outcome, Ran: true, Tokens: tokens})
		})
	})
}

// endJob takes a request off its engine and returns its tokens so far.
func (l *loop) endJob(r *request, wasted bool) int {
	e, j := r.engine, r.job
	r.job = nil
	tokens := j.tokens(l.now, e.pace)
	l.replace(e, e.end(l.now, j, wasted))
	return tokens
}

// fail tells a node that a run broke.
func (l *loop) fail(r *request) {
	tokens := r.job.from
	if r.job.running {
		tokens = r.job.tokens(l.now, r.engine.pace)
	}
	ran := r.job.running
	r.job = nil
	if r.box.node == nil {
		l.refused(r)
		return
	}
	l.after(0, func() {
		l.tell(r.box, func(n *cell.Node) {
			n.Finished(l.now, r.id, cell.Result{Outcome: decide.Failed, Ran: ran, Tokens: tokens})
		})
	})
}

func (l *loop) breakEngine(e *engine) {
	e.broken = true
	for _, r := range l.all {
		if r.engine == e && r.job != nil && !r.job.over {
			e.end(l.now, r.job, true)
			l.fail(r)
		}
	}
}
