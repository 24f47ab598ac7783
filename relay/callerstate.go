package relay

// This file defines what callers' connections are doing. The invariant: each open connection of a
// caller is listed, in one state of the chart, from its acceptance until it is closed.

import (
	"context"
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
	callerSending = callerChart.State("sending")
	callerTaking  = callerChart.State("taking")
	callerAwait   = callerChart.Event("await")
	callerReceive = callerChart.Event("receive")
	callerRead    = callerChart.Event("read")
	callerAnswer  = callerChart.Event("answer")
	callerClose   = callerChart.Event("close")
)

// firstRequestWait is how long a new connection is kept for its first request by a box that closes
// connections at rest: callers give a new connection a second to come up.
const firstRequestWait = time.Second

// callerConns lists the open connections of callers.
type callerConns struct {
	mu      sync.Mutex // guards the states of the connections as well
	open    map[*callerConn]struct{}
	closing bool          // connections at rest are closed
	closed  chan struct{} // readable when a connection was closed
}

// callerProgress is the state of a caller's connection. It is guarded by callerConns.mu.
type callerProgress struct {
	state    chart.State
	since    time.Time // when it entered the state
	opened   time.Time
	requests int    // requests that began to arrive
	request  string // ID of the last one that was read
}

func newCallerConns() *callerConns {
	return &callerConns{open: make(map[*callerConn]struct{}), closed: make(chan struct{}, 1)}
}

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

// read records that a request has been read. False means that it was read together with the previous
// one.
func (l *callerConns) read(c *callerConn, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.progress.request = id
	wasSending := c.progress.state == callerSending
	l.stepLocked(c, callerRead)
	return wasSending
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
		wake(l.closed)
	}
}

// await records that a connection waits for a request, until deadline. False means that connections at
// rest are closed: the connection may only take what has arrived.
func (l *callerConns) await(c *callerConn, deadline time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepLocked(c, callerAwait)
	if l.closing {
		deadline = c.closesAt()
	}
	_ = c.SetReadDeadline(deadline)
	return deadline.After(time.Now())
}

// closesAt returns until when a connection at rest is kept where such connections are closed: a new one
// until its first request must have arrived. The caller holds callerConns.mu.
func (c *callerConn) closesAt() time.Time {
	if c.progress.state == callerUnused {
		return c.progress.opened.Add(firstRequestWait)
	}
	return expiredDeadline
}

// closeAtRest ends the wait of all connections on which no request is active. Each closes itself unless
// a request has arrived meanwhile, so that none is lost between the two.
func (l *callerConns) closeAtRest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for c := range l.open {
		if c.isAtRest() {
			_ = c.SetReadDeadline(c.closesAt())
		}
	}
}

// isAtRest reports whether no request is active on the connection. The caller holds callerConns.mu.
func (c *callerConn) isAtRest() bool {
	return c.progress.state == callerUnused || c.progress.state == callerIdle
}

// wakeWriters ends the wait of all connections whose callers do not read, so that they look at the
// state of the box.
func (l *callerConns) wakeWriters() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.progress.state == callerTaking {
			_ = c.SetWriteDeadline(expiredDeadline)
		}
	}
}

// isTaking reports whether a response was written on the connection, and nothing else has begun.
func (c *callerConn) isTaking() bool {
	l := c.relay.callerServer.conns
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.progress.state == callerTaking
}

// isClosing reports whether connections at rest are closed.
func (l *callerConns) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// awaitClosed waits until all connections are closed; the error is that of ctx if it ends before.
func (l *callerConns) awaitClosed(ctx context.Context) error {
	for l.count() > 0 {
		select {
		case <-l.closed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (l *callerConns) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
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
		if c.isAtRest() {
			continue
		}
		p := &c.progress
		list = append(list, Fields{"id": p.request, "from": c.RemoteAddr().String(), "state": callerChart.StateName(p.state), "state_ms": time.Since(p.since).Milliseconds(),
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
