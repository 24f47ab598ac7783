package relay

// This file defines what callers' connections are doing. The invariant: each open connection of a
// caller is listed, in one state of the chart, from its acceptance until it is closed.

import (
	_ "embed" // for the chart
	"sync"
	"time"

	"github.com/doormast/doormast/internal/chart"
)

//go:embed caller.chart.json
var callerChartSource []byte

// callerChart is the chart of a caller's connection. On an unused connection nothing has arrived, on
// an idle one nothing since its last response was written; a request is arriving (sending), has been
// read and has no response yet (waiting), or its response is being written (taking).
var callerChart = chart.MustLoad(callerChartSource)

var (
	callerUnused  = callerChart.State("unused")
	callerIdle    = callerChart.State("idle")
	callerAwait   = callerChart.Event("await")
	callerReceive = callerChart.Event("receive")
	callerRead    = callerChart.Event("read")
	callerAnswer  = callerChart.Event("answer")
	callerClose   = callerChart.Event("close")
)

// callerConns lists the open connections of callers.
type callerConns struct {
	mu   sync.Mutex // guards the states of the connections as well
	open map[*callerConn]struct{}
}

// callerProgress is the state of a caller's connection. It is guarded by callerConns.mu.
type callerProgress struct {
	state    chart.State
	since    time.Time // when it entered the state
	opened   time.Time
	requests int // requests that began to arrive
}

func newCallerConns() *callerConns { return &callerConns{open: make(map[*callerConn]struct{})} }

// add lists a connection that was just accepted.
func (l *callerConns) add(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	c.progress = callerProgress{since: now, opened: now}
	l.open[c] = struct{}{}
}

// step applies an event to a connection's state. One that the chart does not allow leaves it as it is.
func (l *callerConns) step(c *callerConn, event int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepLocked(c, event)
}

func (l *callerConns) stepLocked(c *callerConn, event int) {
	next, ok := callerChart.Step(c.progress.state, event)
	if !ok {
		return
	}
	if next != c.progress.state {
		c.progress.state, c.progress.since = next, time.Now()
	}
	if event == callerReceive {
		c.progress.requests++
	}
	if callerChart.Ended(next) {
		delete(l.open, c)
	}
}

// addStates adds the number of connections in each state to the fields of a log line.
func (l *callerConns) addStates(f Fields) Fields {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[chart.State]int)
	for c := range l.open {
		counts[c.progress.state]++
	}
	for state, n := range counts {
		f["callers_"+callerChart.StateName(state)] = n
	}
	return f
}

// cutFields returns the fields of a log line for each connection on which a request is active.
func (l *callerConns) cutFields() []Fields {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Fields
	for c := range l.open {
		p := &c.progress
		if p.state == callerUnused || p.state == callerIdle {
			continue
		}
		list = append(list, Fields{"state": callerChart.StateName(p.state), "state_ms": time.Since(p.since).Milliseconds(),
			"opened_ms": time.Since(p.opened).Milliseconds(), "requests": p.requests})
	}
	return list
}

// addStopFields adds to the log line of a request that arrived during a planned stop when it did, and
// on what connection.
func (r *Relay) addStopFields(f Fields, c *callerConn, arrived time.Time) {
	began := r.stopBegan.Load()
	if began == 0 || c == nil {
		return
	}
	after := arrived.Sub(r.startedAt) - time.Duration(began)
	if after < 0 {
		return
	}
	l := r.callerServer.conns
	l.mu.Lock()
	defer l.mu.Unlock()
	f["stopping_ms"] = after.Milliseconds()
	f["conn_opened_ms"], f["conn_requests"] = time.Since(c.progress.opened).Milliseconds(), c.progress.requests
}
