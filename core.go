package doormast

// This file defines the core goroutine, which owns the node: it passes events to the
// node and executes the actions that the node returns. The invariant: after the process
// was suspended, a tick is handled before the events that arrived meanwhile, so that
// the node does not act on outdated state.

import (
	"context"
	"time"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/caller"
	"github.com/doormast/doormast/internal/control"
	"github.com/doormast/doormast/internal/platform"
	"github.com/doormast/doormast/internal/timer"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
)

// noticeKind is the kind of a notice.
type noticeKind uint8

const (
	noticeReceived noticeKind = iota
	noticeSending
	noticeFirstToken
	noticeFinished
	noticeCallerLeft
	noticeReport
	noticeTable
	noticeList
	noticeReadDone
	noticePullDone
	noticeMintKey
	noticeDrain
	noticeInspect
)

// notice is an event or a request for the core, queued in the ring of notices. Which fields are
// set depends on its kind.
type notice struct {
	kind     noticeKind
	request  uint64
	received control.Received
	result   cell.Result
	report   decide.Report
	table    *table.Table
	list     *platform.List
	ok       bool
	minted   chan string
	inspect  func(*cell.Node)
	done     chan struct{}
}

// notify queues a notice that must not be lost. The core empties the whole ring in
// each iteration; while the ring is full, the caller is blocked.
func (b *Box) notify(n notice) {
	for !b.notices.TryPush(n) {
		time.Sleep(time.Millisecond)
	}
}

// inspect runs f on the core goroutine and waits for its end, or for that of ctx.
func (b *Box) inspect(ctx context.Context, f func(*cell.Node)) error {
	done := make(chan struct{})
	b.notify(notice{kind: noticeInspect, inspect: f, done: done})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// core is the loop of the core goroutine.
func (b *Box) core(ctx context.Context) error {
	ticks := b.timers.Subscribe(tickInterval)
	var notices []notice
	var arrivals []caller.Arrival
	b.tick(timer.Tick{Now: b.clock.Boot(), Wall: b.clock.Wall()})
	for {
		select {
		case <-ctx.Done():
			b.refuseArrivals()
			b.endRuns()
			return nil
		case <-ticks:
			b.tick(timer.Tick{Now: b.clock.Boot(), Wall: b.clock.Wall()})
		case <-b.notices.Ready():
		case <-b.arrivals.Ready():
		}
		notices = b.notices.Drain(notices[:0])
		for i := range notices {
			b.handle(&notices[i])
			notices[i] = notice{}
		}
		arrivals = b.arrivals.Drain(arrivals[:0])
		for _, a := range arrivals {
			b.arrive(a)
		}
		b.flushSends()
	}
}

func (b *Box) tick(t timer.Tick) {
	b.node.Tick(t.Now, time.Duration(t.Wall.UnixNano()))
	b.perform()
	b.publishWatched()
}

func (b *Box) arrive(a caller.Arrival) {
	b.runs[a.Request.ID] = &run{box: b, request: a.Request, exchange: a.Exchange, arrived: b.clock.Boot()}
	b.node.Arrive(b.clock.Boot(), a.Request)
	b.perform()
}

// handle passes one notice to the node.
func (b *Box) handle(n *notice) {
	now := b.clock.Boot()
	switch n.kind {
	case noticeReceived:
		b.stamps.Observe(b.clock.Wall(), n.received.Stamp)
		for _, m := range n.received.Messages {
			b.node.Receive(now, n.received.Sender, n.received.Boot, m)
		}
	case noticeSending:
		b.node.Sending(now, n.request)
	case noticeFirstToken:
		b.firstToken(n.request, now)
	case noticeFinished:
		b.finished(now, n.request, n.result)
	case noticeCallerLeft:
		b.node.CallerLeft(now, n.request)
		b.dropCaller(n.request)
	case noticeReport:
		b.node.Report(now, n.report)
	case noticeTable:
		b.adoptTable(n.table)
	case noticeList:
		b.adoptList(n.list)
	case noticeReadDone:
		b.node.ReadDone(n.ok)
	case noticePullDone:
		b.node.PullDone()
	case noticeMintKey:
		n.minted <- b.node.MintKey()
	case noticeDrain:
		b.node.Drain(now)
	case noticeInspect:
		n.inspect(b.node)
		close(n.done)
	}
	b.perform()
}

func (b *Box) firstToken(id uint64, now time.Duration) {
	b.node.FirstToken(now, id)
	if r := b.runs[id]; r != nil && !r.firstTokenSeen {
		r.firstTokenSeen = true
		b.stats.firstToken(b.class(r.request.Class), now-r.arrived)
	}
}

func (b *Box) class(name string) *table.Class {
	if t := b.table.Load(); t != nil {
		return t.Class(name)
	}
	return nil
}

// finished handles the end of a run. The node decides first whether to retry; the caller's
// final response follows from its actions.
func (b *Box) finished(now time.Duration, id uint64, result cell.Result) {
	r := b.runs[id]
	b.node.Finished(now, id, result)
	if r == nil {
		return
	}
	r.cancel, r.mayHaveRun = nil, r.mayHaveRun || result.Ran
	b.stats.wastedTokens(b.class(r.request.Class), result, r.delivered)
	r.delivered = result.Tokens
	if result.Outcome == decide.Answered {
		b.stats.answered(b.class(r.request.Class), now-r.arrived, result.Tokens)
		delete(b.runs, id)
	} else if r.callerDone {
		delete(b.runs, id)
	}
}

func (b *Box) adoptTable(t *table.Table) {
	old := b.table.Load()
	if !b.node.SetTable(t) {
		return
	}
	b.table.Store(t)
	b.history.add(t)
	changes := 0
	if old != nil {
		changes = len(table.Diff(old, t))
	}
	b.logFor("table").Infof("adopted table revision %d with %d changes", t.Revision, changes)
}

func (b *Box) adoptList(l *platform.List) {
	if !b.node.SetRoster(l.Roster()) {
		return
	}
	b.history.setList(l)
	for _, e := range l.Boxes {
		if e.Name != b.cfg.Settings.Box {
			b.addresses.set(e.Name, e.Control, e.Ops)
			b.link.SetAddress(e.Name, e.Control)
		}
	}
	b.logFor("members").Infof("adopted list revision %d with %d boxes", l.Revision, len(l.Boxes))
}

// perform executes the actions of the node. Messages are collected for each box, so
// that those of one iteration share a datagram.
func (b *Box) perform() {
	for _, a := range b.node.TakeActions() {
		switch a.Kind {
		case cell.SendMessage:
			b.queueMessage(a.To, a.Message)
		case cell.Dispatch:
			b.dispatch(a)
		case cell.CancelRun:
			b.cancelRun(a.Request)
		case cell.PauseRun:
			b.pauseRun(a.Request)
		case cell.End:
			b.endRequest(a)
		case cell.PullFrom:
			if !b.pulls.TryPush(a.To) {
				b.node.PullDone()
			}
		case cell.ReadPlatform:
			b.requestRead()
		case cell.IssueLoadOrder:
			b.giveOrder(a.Order)
		case cell.Record:
			b.recordEvent(a.Event)
		}
	}
}

func (b *Box) recordEvent(e timeline.Event) {
	e.Stamp = b.stamps.Now(b.clock.Wall())
	b.events.Add(e)
	b.stats.event(e)
}

// endRequest sends a caller the final response of its request.
func (b *Box) endRequest(a cell.Action) {
	r := b.runs[a.Request]
	if r == nil {
		return
	}
	r.exchange.Refuse(a.Final)
	b.dropCaller(a.Request)
}
