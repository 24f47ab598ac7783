package doormast

// This file defines the duties at the box's other edges: the platform, the
// upstreams' reports, the pulls from other boxes, and the messages to them.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/ops"
	"github.com/doormast/doormast/internal/platform"
	"github.com/doormast/doormast/internal/upstream"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
	"github.com/doormast/doormast/wire"
)

// watchWait is how long a watch of the platform waits for something new.
const watchWait = 5 * time.Second

// readRequest is what a read of the platform has to beat.
type readRequest struct {
	table uint64
	list  uint64
}

func (b *Box) startRead() {
	r := readRequest{list: b.node.Roster().Revision}
	if t := b.node.Table(); t != nil {
		r.table = t.Revision
	}
	if !b.reads.TryPush(r) {
		b.node.ReadDone(false)
	}
}

// platformDuty reads the platform whenever the core wants it.
func (b *Box) platformDuty(ctx context.Context) error {
	var requests []readRequest
	blind := false
	for {
		var ok bool
		if requests, ok = b.reads.Wait(ctx, requests[:0]); !ok {
			return nil
		}
		err := b.read(ctx, requests[len(requests)-1])
		if err != nil && !blind && ctx.Err() == nil {
			b.say("platform").Warnf("The platform cannot be read: %v.", err)
		}
		blind = err != nil
		b.mustTell(notice{kind: noticeReadDone, ok: !blind})
	}
}

// read watches the table and the list at once; what is new in one ends both
// calls, so that the next watch starts without delay.
func (b *Box) read(ctx context.Context, r readRequest) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tables := make(chan error, 1)
	go func() {
		t, err := b.reader.Table(ctx, r.table, watchWait)
		if t != nil {
			b.mustTell(notice{kind: noticeTable, table: t})
			cancel()
		}
		tables <- err
	}()
	l, listErr := b.reader.List(ctx, r.list, watchWait)
	if l != nil {
		b.mustTell(notice{kind: noticeList, list: l})
		cancel()
	}
	tableErr := <-tables
	if errors.Is(tableErr, platform.ErrBadTable) {
		b.say("table").Errorf("The platform's table is not taken, the last good one stays in force: %v.", tableErr)
		b.recordEvent(timeline.Event{Kind: timeline.TableBad, Box: b.cfg.Settings.Box, Boot: b.boot, Reason: tableErr.Error()})
		wait(ctx, watchWait)
		return nil
	}
	// A call that was cancelled because the other brought something is no
	// failure.
	if ctx.Err() != nil {
		return nil
	}
	return errors.Join(tableErr, listErr)
}

// tableHistory keeps what other boxes pull: the last tables, to make deltas
// from, and the list.
type tableHistory struct {
	mu     sync.Mutex
	tables []*table.Table
	list   *platform.List
}

const historySize = 16

func (h *tableHistory) add(t *table.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tables = append(h.tables, t)
	if len(h.tables) > historySize {
		h.tables = h.tables[1:]
	}
}

func (h *tableHistory) setList(l *platform.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = l
}

// answer makes the answer to a pull: a delta if the asker's revision is still
// known and the delta is the shorter, or else the document.
func (h *tableHistory) answer(req *wire.PullRequest) (*wire.PullResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := new(wire.PullResponse)
	if n := len(h.tables); n > 0 && h.tables[n-1].Revision > req.HaveTable {
		last := h.tables[n-1]
		out.TableRevision = last.Revision
		document := last.Document()
		for _, t := range h.tables {
			if t.Revision == req.HaveTable {
				delta, err := json.Marshal(table.MakeDelta(t, last))
				if err != nil {
					return nil, err
				}
				out.Delta = delta
			}
		}
		if out.Delta == nil || len(out.Delta) >= len(document) {
			out.Delta, out.Table = nil, document
		}
	}
	if h.list != nil && h.list.Revision > req.HaveRoster {
		list, err := json.Marshal(h.list)
		if err != nil {
			return nil, err
		}
		out.Roster = list
	}
	return out, nil
}

// pullDuty fetches from other boxes what they have and this one lacks.
func (b *Box) pullDuty(ctx context.Context) error {
	var boxes []string
	for {
		var ok bool
		if boxes, ok = b.pulls.Wait(ctx, boxes[:0]); !ok {
			return nil
		}
		for _, box := range boxes {
			if err := b.pull(ctx, box); err != nil && ctx.Err() == nil {
				b.say("table").Warnf("Box %s cannot be pulled from: %v.", box, err)
			}
		}
		b.mustTell(notice{kind: noticePullDone})
	}
}

func (b *Box) pull(ctx context.Context, box string) error {
	address := b.book.ops(box)
	if address == "" {
		return fmt.Errorf("its address is not known")
	}
	ctx, cancel := context.WithTimeout(ctx, b.cfg.Timing.PullTimeout)
	defer cancel()
	client := ops.Dial(address, b.cfg.Settings.PeerKey)
	defer func() { _ = client.Close() }()
	have := b.table.Load()
	req := new(wire.PullRequest)
	if have != nil {
		req.HaveTable = have.Revision
	}
	if err := b.inspect(ctx, func(n *cell.Node) { req.HaveRoster = n.Roster().Revision }); err != nil {
		return err
	}
	resp, err := client.Pull(ctx, req)
	if err != nil {
		return err
	}
	t, err := pulledTable(have, resp)
	if err != nil {
		// The delta does not fit: fetch the whole document.
		req.HaveTable = 0
		if resp, err = client.Pull(ctx, req); err != nil {
			return err
		}
		if t, err = pulledTable(nil, resp); err != nil {
			return err
		}
	}
	if t != nil {
		b.mustTell(notice{kind: noticeTable, table: t})
	}
	if len(resp.Roster) > 0 {
		l := new(platform.List)
		if err := json.Unmarshal(resp.Roster, l); err != nil {
			return err
		}
		b.mustTell(notice{kind: noticeList, list: l})
	}
	return nil
}

// pulledTable makes a table of the answer to a pull; nil means nothing newer.
func pulledTable(have *table.Table, resp *wire.PullResponse) (*table.Table, error) {
	switch {
	case len(resp.Delta) > 0 && have != nil:
		d := new(table.Delta)
		if err := json.Unmarshal(resp.Delta, d); err != nil {
			return nil, err
		}
		return have.Apply(d)
	case len(resp.Table) > 0:
		return table.Parse("peer", resp.Table)
	}
	return nil, nil
}

// watchedUpstream is an engine whose reports are wanted.
type watchedUpstream struct {
	name    string
	address string
}

// publishWatched tells the report duty which engines this box decides for.
func (b *Box) publishWatched() {
	var list []watchedUpstream
	for _, name := range b.node.Watched() {
		if u := b.upstream(name); u != nil && u.Kind == table.Engine {
			list = append(list, watchedUpstream{name, u.Address})
		}
	}
	b.watched.Store(&list)
}

// reportsAtOnce bounds the report calls under way.
const reportsAtOnce = 16

// reportDuty asks the engines of this box's sets for their load.
func (b *Box) reportDuty(ctx context.Context) error {
	ticks := b.timers.Subscribe(reportEvery)
	slots := make(chan struct{}, reportsAtOnce)
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		list := b.watched.Load()
		if list == nil {
			continue
		}
		for _, u := range *list {
			select {
			case slots <- struct{}{}:
			default:
				continue // the engine is asked again at the next tick
			}
			calls.Add(1)
			go func() {
				defer calls.Done()
				b.report(ctx, u)
				<-slots
			}()
		}
	}
}

func (b *Box) report(ctx context.Context, u watchedUpstream) {
	r, err := b.runner.Report(ctx, u.address)
	if err != nil {
		return // its silence shows by itself: failed runs put it out
	}
	r.Upstream = u.name
	b.notices.TryPush(notice{kind: noticeReport, report: r})
}

// giveOrder gives an engine an order. Its next report shows what came of it.
func (b *Box) giveOrder(o decide.EngineOrder) {
	u := b.upstream(o.Upstream)
	if u == nil {
		return
	}
	b.say("orders").Infof("Engine %s is to load %s, fence %d.", o.Upstream, o.Model, o.Fence)
	address := u.Address
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		r, err := b.runner.Order(ctx, address, upstream.Order{Fence: o.Fence, Load: o.Model})
		switch {
		case err != nil:
			b.say("orders").Warnf("Engine %s did not take the order: %v.", o.Upstream, err)
		case !r.Accepted:
			b.say("orders").Warnf("Engine %s has seen fence %d and refused %d.", o.Upstream, r.Fence, o.Fence)
		}
	}()
}

// addressBook holds where other boxes listen.
type addressBook struct {
	mu      sync.Mutex
	control map[string]string
	calls   map[string]string
}

func (a *addressBook) set(box, control, calls string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.control == nil {
		a.control, a.calls = make(map[string]string), make(map[string]string)
	}
	a.control[box], a.calls[box] = control, calls
}

func (a *addressBook) ops(box string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls[box]
}

// outgoing gathers a message for a box.
func (b *Box) outgoing(to string, m cell.Message) {
	if b.outbox == nil {
		b.outbox = make(map[string][]cell.Message)
	}
	b.outbox[to] = append(b.outbox[to], m)
}

// flushSends sends what was gathered, one batch for each box.
func (b *Box) flushSends() {
	for to, messages := range b.outbox {
		if len(messages) > 0 {
			b.link.Send(to, messages)
			clear(messages)
			b.outbox[to] = messages[:0]
		}
	}
}
