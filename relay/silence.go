package relay

// This file defines how the box detects a connection that no longer delivers data although its
// upstream is working. The invariant: silence alone ends no run. A run is ended where its
// upstream, asked twice on new connections, reports that it has produced more of the response
// than arrived, or that it does not know the run and has no requests waiting.

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doormast/doormast/balance"
)

const (
	// silenceCheckInterval is how often silenceLoop looks for silent runs.
	silenceCheckInterval = 250 * time.Millisecond
	// minSilence is the shortest silence after which an upstream is asked. Callers give a
	// stream up after a gap of 2 s at the least.
	minSilence = 500 * time.Millisecond
	// An upstream is asked after a silence of silenceGapFactor times the route's longest
	// allowed gap between events, or, before the first event, of silenceTargetFactor times the
	// route's target for it.
	silenceGapFactor    = 2
	silenceTargetFactor = 2
	// maxReportAge is how long ago a run must have been sent before its upstream can be
	// expected to report it: reports are some hundred ms old.
	maxReportAge = time.Second
	// reportTimeout bounds a call that fetches a report.
	reportTimeout = 500 * time.Millisecond
	// reportCallsPerSecond and reportCallBurst limit a box's report calls, since overloaded
	// engines are silent too and each call has a cost.
	reportCallsPerSecond = 1
	reportCallBurst      = 16
	// confirmations is how many reports in a row must show lost data before a run is ended, and
	// confirmationInterval the time between two of them: lost packets may still be
	// retransmitted. After three losses in a row TCP retransmits after 0.2, 0.4 and 0.8 s,
	// while new connections get through.
	confirmations        = 2
	confirmationInterval = 900 * time.Millisecond
)

// Report is what an upstream reports about one run.
type Report struct {
	Known   bool // the upstream knows the run
	Events  int  // events of the response that the upstream has produced
	Waiting int  // requests at the upstream that have not started
	Leaving bool // the upstream is leaving
	// StartedAt is when the upstream started, Unix ms; 0 if it does not say.
	StartedAt int64
}

// upstreamWait is a run's wait for the next bytes from its upstream.
type upstreamWait struct {
	since    time.Time
	sent     *requestWrite // the request, if no part of its response has arrived; else nil
	received int           // events of the response that have arrived
	askAfter time.Duration // silence after which the upstream is asked

	lastAsked time.Duration // length of the silence when the upstream was last asked
	confirmed int           // reports in a row that showed lost data
}

// startReadWait records that the exchange waits for its upstream's next bytes, until
// endReadWait. sent is the request if no part of its response has arrived, else nil.
func (x *exchange) startReadWait(sent *requestWrite) {
	if x.relay.cfg.Protocol.ReportCall == nil || x.events == nil && len(x.request.prompt.Parts) == 0 {
		return
	}
	w := &upstreamWait{since: time.Now(), sent: sent, askAfter: max(minSilence, silenceTargetFactor*x.route.Target)}
	if x.events != nil && x.events.bodyEvents > 0 {
		w.received = max(x.events.total, int(x.events.lastID))
		w.askAfter = max(minSilence, silenceGapFactor*x.route.EventGap)
	}
	x.wait.Store(w)
}

// endReadWait ends the wait.
func (x *exchange) endReadWait() { x.wait.Store(nil) }

// silence is how long the upstream has been silent although it could have sent something. It is
// 0 while the request is being written: an upstream that reads a large body slowly does not
// know the run yet, and ending the run for that would waste its work.
func (w *upstreamWait) silence(now time.Time) time.Duration {
	if w.sent == nil {
		return now.Sub(w.since)
	}
	if written := w.sent.written.Load(); written != nil {
		return now.Sub(*written)
	}
	return 0
}

// shouldAsk reports whether to ask the upstream: first after askAfter, then each time the
// silence has doubled; if the last report showed lost data, after confirmationInterval.
func (w *upstreamWait) shouldAsk(now time.Time) bool {
	silence := w.silence(now)
	if w.confirmed > 0 {
		return silence >= w.lastAsked+confirmationInterval
	}
	return silence >= w.askAfter && silence >= 2*w.lastAsked
}

// showsLoss reports whether a report shows that data was lost on the connection.
func (w *upstreamWait) showsLoss(now time.Time, r Report) bool {
	if r.Known {
		return r.Events > w.received+1
	}
	return r.Waiting == 0 && w.silence(now) >= maxReportAge
}

// silentCandidate is a run whose connection may be silent.
type silentCandidate struct {
	exchange *exchange
	conn     *conn
	wait     *upstreamWait
	upstream balance.Upstream
	service  string
}

// silenceLoop asks upstreams about runs that have been silent for long, until ctx ends.
func (r *Relay) silenceLoop(ctx context.Context) {
	budget := float64(reportCallBurst)
	for ctx.Err() == nil {
		sleep(ctx, silenceCheckInterval)
		budget = min(budget+reportCallsPerSecond*silenceCheckInterval.Seconds(), reportCallBurst)
		list := r.silentCandidates(time.Now())
		list = list[:min(len(list), int(budget))]
		budget -= float64(len(list))
		budget += float64(r.checkCandidates(ctx, list)) // calls that found lost data do not count against the limit
	}
}

// checkCandidates fetches the reports of all candidates concurrently, and returns how many
// showed lost data.
func (r *Relay) checkCandidates(ctx context.Context, list []silentCandidate) int {
	var losses atomic.Int64
	var all sync.WaitGroup
	for _, s := range list {
		s.wait.lastAsked = s.wait.silence(time.Now())
		all.Go(func() {
			if r.checkSilent(ctx, s) {
				losses.Add(1)
			}
		})
	}
	all.Wait()
	return int(losses.Load())
}

// silentCandidates lists the runs whose upstreams are to be asked, at most one per upstream.
func (r *Relay) silentCandidates(now time.Time) []silentCandidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []silentCandidate
	asked := make(map[string]bool)
	for x, c := range r.runConns {
		w := x.wait.Load()
		if w == nil || asked[c.incarnation.ID] || !w.shouldAsk(now) {
			continue
		}
		asked[c.incarnation.ID] = true
		if u := r.fleet.Get(c.incarnation.ID); u != nil && u.Incarnation() == c.incarnation {
			list = append(list, silentCandidate{x, c, w, *u, x.service})
		}
	}
	return list
}

// checkSilent asks an upstream about a run, and ends the run once enough reports in a row have
// shown lost data. It returns whether this one did.
func (r *Relay) checkSilent(ctx context.Context, s silentCandidate) bool {
	report, err := r.fetchReport(ctx, s)
	showsLoss := err == nil && s.wait.showsLoss(time.Now(), report)
	if !showsLoss {
		s.wait.confirmed = 0
		return false
	}
	if s.wait.confirmed++; s.wait.confirmed >= confirmations {
		r.endSilentRun(s, report)
	}
	return true
}

// fetchReport asks an upstream about a run, on a new connection.
func (r *Relay) fetchReport(ctx context.Context, s silentCandidate) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	c, err := r.conns.forAnonymous(ctx, s.upstream, s.service, r.conns.connect)
	if err != nil {
		return Report{}, err
	}
	r.stats.count("upstreams_asked")
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, err := r.roundTrip(c, r.buildCall(s.upstream, r.cfg.Protocol.ReportCall()))
	if err != nil {
		stop()
		r.conns.discard(c)
		return Report{}, err
	}
	body, err := readWhole(a, maxCallResponse)
	r.releaseConn(a, stop() && err == nil)
	if err != nil {
		return Report{}, err
	}
	report, ok := r.cfg.Protocol.ParseReport(a.header.StatusCode(), body, s.exchange.request.id)
	if report.Leaving {
		r.noteLeaving(c.incarnation, s.exchange.request.id)
	}
	if !ok {
		return Report{}, errNoReport
	}
	return report, nil
}

var (
	errNoReport = errors.New("the answer is not a report of runs")
	errSilent   = &Error{Op: "read answer", Kind: KindSilent}
)

// endSilentRun ends a run whose connection is silent, unless data has arrived meanwhile. It
// also closes the idle connections to the upstream, so that no other request is sent on a
// silent one.
func (r *Relay) endSilentRun(s silentCandidate, report Report) {
	r.mu.Lock()
	ended := r.runConns[s.exchange] == s.conn && s.exchange.wait.CompareAndSwap(s.wait, nil)
	if ended {
		s.exchange.silent.Store(true)
		_ = s.conn.Close()
	}
	r.mu.Unlock()
	if !ended {
		return
	}
	r.conns.closeIdle(s.upstream.ID)
	r.stats.count("connections_silent")
	r.cfg.Log.Event("run", "silent", Fields{"id": s.exchange.request.id, "upstream": s.upstream.ID,
		"silent_ms": s.wait.silence(time.Now()).Milliseconds(), "events": s.wait.received, "made": report.Events, "known": report.Known})
}
