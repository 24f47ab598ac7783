package relay

// This file defines how a connection that carries nothing more is found out while its
// upstream works on. The invariant: silence alone ends no run. One is ended where its
// upstream, asked twice on a fresh connection, says that it has made more of the answer
// than came, or that it knows nothing of the run and has nothing waiting.

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doormast/doormast/balance"
)

const (
	// silenceLook is how often the duty looks at what is waited for.
	silenceLook = 250 * time.Millisecond
	// silentAfter is the least silence after which an upstream is asked. Callers give a
	// stream up after a gap of 2 s at the least.
	silentAfter = 500 * time.Millisecond
	// silentGaps and silentTargets are the silence, in times of the longest pause that
	// is in time and of the route's target for the first events, after which it is asked.
	silentGaps    = 2
	silentTargets = 2
	// strangeAfter is how long ago a run must have been sent so that its upstream has to
	// know it: what upstreams tell is some hundred ms old.
	strangeAfter = time.Second
	// askWait is the longest that an upstream may take to tell.
	askWait = 500 * time.Millisecond
	// asksPerSecond and asksAtOnce bound the calls of a box, since engines that are overrun
	// are silent too, and each call is priced.
	asksPerSecond = 1
	asksAtOnce    = 16
	// proofs is how often an upstream has to say that something is missing, and proofApart the
	// time between two of them: what a link lost may still come. Three losses in a row are sent
	// again after 0.2, 0.4 and 0.8 s, while fresh connections get through.
	proofs     = 2
	proofApart = 900 * time.Millisecond
)

// Report is what an upstream tells of one run.
type Report struct {
	Known   bool // the run is there
	Events  int  // of the answer, that it has made
	Waiting int  // requests that have not begun there
	Leaving bool // the upstream is
}

// wait is a run's wait for the next bytes of its upstream.
type wait struct {
	since time.Time
	sent  *requestWrite // the request, where nothing of its answer has come; or nil
	came  int           // events of the answer that came
	limit time.Duration // of the silence, before the upstream is asked

	asked  time.Duration // after how long of silence it was asked last
	proofs int           // how often it said that something is missing
}

// listen notes that the exchange waits for its upstream's next bytes, until heard; sent is
// the request, where nothing of its answer has come.
func (x *exchange) listen(sent *requestWrite) {
	if x.relay.cfg.Protocol.ReportCall == nil || x.events == nil && len(x.request.prompt.Parts) == 0 {
		return
	}
	w := &wait{since: time.Now(), sent: sent, limit: max(silentAfter, silentTargets*x.route.Target)}
	if x.events != nil && x.events.bodyEvents > 0 {
		w.came = max(x.events.total, int(x.events.lastID))
		w.limit = max(silentAfter, silentGaps*x.route.EventGap)
	}
	x.waits.Store(w)
}

// heard ends the wait.
func (x *exchange) heard() { x.waits.Store(nil) }

// silence is how long the upstream has been silent since it could have said something. It
// is none while the request goes out: an upstream that reads a large body slowly does not
// know the run yet, and one that was ended for that would have run for nothing.
func (w *wait) silence(now time.Time) time.Duration {
	if w.sent == nil {
		return now.Sub(w.since)
	}
	if written := w.sent.written.Load(); written != nil {
		return now.Sub(*written)
	}
	return 0
}

// due reports whether the upstream is to be asked: after the limit, and then ever more
// seldom where it says that all is well.
func (w *wait) due(now time.Time) bool {
	silence := w.silence(now)
	if w.proofs > 0 {
		return silence >= w.asked+proofApart
	}
	return silence >= w.limit && silence >= 2*w.asked
}

// missing reports whether what an upstream tells shows that the connection is silent.
func (w *wait) missing(now time.Time, r Report) bool {
	if r.Known {
		return r.Events > w.came+1
	}
	return r.Waiting == 0 && w.silence(now) >= strangeAfter
}

// suspect is a run that may be on a silent connection.
type suspect struct {
	exchange *exchange
	conn     *conn
	wait     *wait
	upstream balance.Upstream
	service  string
}

// silenceDuty asks upstreams about runs that are silent for long, until ctx ends.
func (r *Relay) silenceDuty(ctx context.Context) {
	left := float64(asksAtOnce)
	for ctx.Err() == nil {
		sleep(ctx, silenceLook)
		left = min(left+asksPerSecond*silenceLook.Seconds(), asksAtOnce)
		list := r.suspects(time.Now())
		list = list[:min(len(list), int(left))]
		left -= float64(len(list))
		left += float64(r.askAll(ctx, list)) // those were worth it
	}
}

// askAll asks about all the suspects at once, and returns how many have shown that
// something is missing.
func (r *Relay) askAll(ctx context.Context, list []suspect) int {
	var missing atomic.Int64
	var all sync.WaitGroup
	for _, s := range list {
		s.wait.asked = s.wait.silence(time.Now())
		all.Go(func() {
			if r.proveSilent(ctx, s) {
				missing.Add(1)
			}
		})
	}
	all.Wait()
	return int(missing.Load())
}

// suspects lists the runs whose upstreams are to be asked, one of each upstream at most.
func (r *Relay) suspects(now time.Time) []suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []suspect
	asked := make(map[string]bool)
	for x, c := range r.runConns {
		w := x.waits.Load()
		if w == nil || asked[c.life.ID] || !w.due(now) {
			continue
		}
		asked[c.life.ID] = true
		if u := r.fleet.Get(c.life.ID); u != nil && u.Incarnation() == c.life {
			list = append(list, suspect{x, c, w, *u, x.service})
		}
	}
	return list
}

// proveSilent asks an upstream about a run, and ends the run where its connection has
// shown to be silent. It returns whether something was missing.
func (r *Relay) proveSilent(ctx context.Context, s suspect) bool {
	report, err := r.ask(ctx, s)
	missing := err == nil && s.wait.missing(time.Now(), report)
	if !missing {
		s.wait.proofs = 0
		return false
	}
	if s.wait.proofs++; s.wait.proofs >= proofs {
		r.endSilent(s, report)
	}
	return true
}

// ask asks an upstream about a run, on a connection that is opened for that.
func (r *Relay) ask(ctx context.Context, s suspect) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	c, err := r.conns.connect(ctx, s.upstream, s.service)
	if err != nil {
		return Report{}, err
	}
	r.stats.count("upstreams_asked")
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, err := r.roundTrip(c, r.buildCall(s.upstream, r.cfg.Protocol.ReportCall()))
	if err != nil {
		stop()
		r.conns.drop(c)
		return Report{}, err
	}
	body, err := io.ReadAll(io.LimitReader(a.body, maxBufferedResponse))
	r.releaseConn(a, stop() && err == nil)
	if err != nil {
		return Report{}, err
	}
	report, ok := r.cfg.Protocol.ParseReport(a.header.StatusCode(), body, s.exchange.request.id)
	if report.Leaving {
		r.noteLeaving(c.life, s.exchange.request.id)
	}
	if !ok {
		return Report{}, errNoReport
	}
	return report, nil
}

var (
	errNoReport = errors.New("the upstream tells nothing of its runs")
	errSilent   = &Error{Op: "read answer", Kind: KindSilent}
)

// endSilent ends a run whose connection is silent, unless something came meanwhile. The
// connections that rest are dropped as well, so that no other request finds out by itself.
func (r *Relay) endSilent(s suspect, report Report) {
	r.mu.Lock()
	ended := r.runConns[s.exchange] == s.conn && s.exchange.waits.CompareAndSwap(s.wait, nil)
	if ended {
		s.exchange.silent.Store(true)
		_ = s.conn.Close()
	}
	r.mu.Unlock()
	if !ended {
		return
	}
	r.conns.forget(s.upstream.ID)
	r.stats.count("connections_silent")
	r.cfg.Log.Event("run", "silent", Fields{"id": s.exchange.request.id, "upstream": s.upstream.ID,
		"silent_ms": s.wait.silence(time.Now()).Milliseconds(), "events": s.wait.came, "made": report.Events, "known": report.Known})
}
