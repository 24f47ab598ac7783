package experiment

// This file defines runs of requests on engines: how a run starts, completes, is stopped or fails.
// The invariant: a request has at most one run at a time, and its box is told of the end of each.

import (
	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
)

// dispatch executes a node's action to send a request to an engine.
func (l *loop) dispatch(b *box, a cell.Action) {
	r, e := l.requests[a.Request], l.byEngine[a.Upstream]
	b.node.Sending(l.now, a.Request)
	l.send(r, e, a.Tokens)
}

// send starts a run of a request on an engine, after the tokens that earlier runs delivered.
func (l *loop) send(r *request, e *engine, resumeAt int) {
	r.engine = e
	r.job = &job{req: r, tier: l.spec.Classes[r.arrival.class].Tier, resumeAt: resumeAt, total: r.arrival.tokens}
	if e.broken {
		l.fail(r)
		return
	}
	if e.accept(l.now, r.job) {
		l.scheduleJob(e, r.job)
	}
}

// scheduleJob schedules the first token and the completion of a job that got a slot.
func (l *loop) scheduleJob(e *engine, j *job) {
	r := j.req
	l.after(j.prefill+e.timePerToken, func() {
		if j.ended {
			return
		}
		if r.firstToken == 0 {
			r.firstToken = l.now - settle - r.arrival.at
		}
		if r.box.node != nil {
			l.call(r.box, func(n *cell.Node) { n.FirstToken(l.now, r.id) })
		}
	})
	l.after(j.duration(e.timePerToken), func() {
		if !j.ended {
			l.complete(r, e, j)
		}
	})
}

// complete ends a job whose answer is whole.
func (l *loop) complete(r *request, e *engine, j *job) {
	l.scheduleNext(e, e.end(l.now, j, false))
	r.job = nil
	r.answered, r.answeredAt = true, l.now
	l.close(r)
	if r.box.node != nil {
		l.call(r.box, func(n *cell.Node) {
			n.Finished(l.now, r.id, cell.Result{Outcome: decide.Answered, Ran: true, Tokens: j.total, TimePerToken: e.timePerToken, TimeToFirstToken: j.prefill + e.timePerToken})
		})
	}
}

// scheduleNext schedules the job, if any, that took over a slot.
func (l *loop) scheduleNext(e *engine, next *job) {
	if next != nil {
		l.scheduleJob(e, next)
	}
}

// stop executes a node's action to cancel or pause a run.
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
		l.call(b, func(n *cell.Node) {
			n.Finished(l.now, a.Request, cell.Result{Outcome: outcome, Ran: true, Tokens: tokens})
		})
	})
}

// endJob removes a request from its engine and returns the tokens generated so far.
func (l *loop) endJob(r *request, wasted bool) int {
	e, j := r.engine, r.job
	r.job = nil
	tokens := j.tokens(l.now, e.timePerToken)
	l.scheduleNext(e, e.end(l.now, j, wasted))
	return tokens
}

// fail ends a run on a broken engine and reports it to the node; without a node the request is
// refused.
func (l *loop) fail(r *request) {
	tokens := r.job.resumeAt
	if r.job.running {
		tokens = r.job.tokens(l.now, r.engine.timePerToken)
	}
	ran := r.job.running
	r.job = nil
	if r.box.node == nil {
		l.refuse(r)
		return
	}
	l.after(0, func() {
		l.call(r.box, func(n *cell.Node) {
			n.Finished(l.now, r.id, cell.Result{Outcome: decide.Failed, Ran: ran, Tokens: tokens})
		})
	})
}

// breakEngine makes an engine fail for the rest of the run, with all of its jobs.
func (l *loop) breakEngine(e *engine) {
	e.broken = true
	for _, r := range l.all {
		if r.engine == e && r.job != nil && !r.job.ended {
			e.end(l.now, r.job, true)
			l.fail(r)
		}
	}
}
