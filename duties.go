package doormast

// This file defines the goroutines and calls for communication with the platform, with
// upstreams (load reports and orders), and with other boxes (pulls and messages).

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

// watchWait is the longest time that a watch of the platform waits for a change.
const watchWait = 5 * time.Second

// readRequest holds the revisions known to the core; a read returns only newer ones.
type readRequest struct {
	table uint64
	list  uint64
}

func (b *Box) requestRead() {
	r := readRequest{list: b.node.Roster().Revision}
	if t := b.node.Table(); t != nil {
		r.table = t.Revision
	}
	if !b.reads.TryPush(r) {
		b.node.ReadDone(false)
	}
}

// platformDuty reads the platform whenever the core requests it.
func (b *Box) platformDuty(ctx context.Context) error {
	var requests []readRequest
	failing := false
	for {
		var ok bool
		if requests, ok = b.reads.Wait(ctx, requests[:0]); !ok {
			return nil
		}
		err := b.read(ctx, requests[len(requests)-1])
		if err != nil && !failing && ctx.Err() == nil {
			b.logFor("platform").Warnf("cannot read the platform: %v", err)
		}
		failing = err != nil
		b.notify(notice{kind: noticeReadDone, ok: !failing})
	}
}

// read watches the table and the list concurrently. A change of either ends both calls,
// so that the next watch starts without delay.
func (b *Box) read(ctx context.Context, r readRequest) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tables := make(chan error, 1)
	go func() {
		t, err := b.reader.Table(ctx, r.table, watchWait)
		if t != nil {
			b.notify(notice{kind: noticeTable, table: t})
			cancel()
		}
		tables <- err
	}()
	l, listErr := b.reader.List(ctx, r.list, watchWait)
	if l != nil {
		b.notify(notice{kind: noticeList, list: l})
		cancel()
	}
	tableErr := <-tables
	if errors.Is(tableErr, platform.ErrBadTable) {
		b.logFor("table").Errorf("rejected the platform's table, keeping the last valid one: %v", tableErr)
		b.recordEvent(timeline.Event{Kind: timeline.TableBad, Box: b.cfg.Settings.Box, Boot: b.boot, Reason: tableErr.Error()})
		wait(ctx, watchWait)
		return nil
	}
	// A call that was cancelled since the other returned a change has not
	// failed.
	if ctx.Err() != nil {
		return nil
	}
	return errors.Join(tableErr, listErr)
}

// tableHistory keeps the data that other boxes pull: the latest tables, from which deltas
// are computed, and the list. It is safe for concurrent use.
type tableHistory struct {
	mu     sync.Mutex
	tables []*table.Table
	list   *platform.List
}

// maxTables is the number of tables kept.
const maxTables = 16

func (h *tableHistory) add(t *table.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tables = append(h.tables, t)
	if len(h.tables) > maxTables {
		h.tables = h.tables[1:]
	}
}

func (h *tableHistory) setList(l *platform.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = l
}

// answer returns the response to a pull: a delta, if the requester's revision is still kept
// and the delta is shorter than the document, or else the document.
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

// pullDuty fetches newer tables and lists from the boxes that the core names.
func (b *Box) pullDuty(ctx context.Context) error {
	var boxes []string
	for {
		var ok bool
		if boxes, ok = b.pulls.Wait(ctx, boxes[:0]); !ok {
			return nil
		}
		for _, box := range boxes {
			if err := b.pull(ctx, box); err != nil && ctx.Err() == nil {
				b.logFor("table").Warnf("cannot pull from box %s: %v", box, err)
			}
		}
		b.notify(notice{kind: noticePullDone})
	}
}

func (b *Box) pull(ctx context.Context, box string) error {
	address := b.addresses.ops(box)
	if address == "" {
		return fmt.Errorf("address unknown")
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
		// The delta cannot be applied: fetch the whole document.
		req.HaveTable = 0
		if resp, err = client.Pull(ctx, req); err != nil {
			return err
		}
		if t, err = pulledTable(nil, resp); err != nil {
			return err
		}
	}
	if t != nil {
		b.notify(notice{kind: noticeTable, table: t})
	}
	if len(resp.Roster) > 0 {
		l := new(platform.List)
		if err := json.Unmarshal(resp.Roster, l); err != nil {
			return err
		}
		b.notify(notice{kind: noticeList, list: l})
	}
	return nil
}

// pulledTable returns the table in the response to a pull; nil if the response has none.
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

// watchedUpstream is an engine whose load reports the box fetches.
type watchedUpstream struct {
	name    string
	address string
}

// publishWatched passes to reportDuty the engines for which this box makes decisions.
func (b *Box) publishWatched() {
	var list []watchedUpstream
	for _, name := range b.node.Watched() {
		if u := b.upstream(name); u != nil && u.Kind == table.Engine {
			list = append(list, watchedUpstream{name, u.Address})
		}
	}
	b.watched.Store(&list)
}

// maxConcurrentReports is the most concurrent report calls.
const maxConcurrentReports = 16

// reportDuty fetches the load reports of the engines in this box's sets.
func (b *Box) reportDuty(ctx context.Context) error {
	ticks := b.timers.Subscribe(reportInterval)
	slots := make(chan struct{}, maxConcurrentReports)
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
				continue // retried at the next tick
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
		return // failed runs exclude an engine that does not respond
	}
	r.Upstream = u.name
	b.notices.TryPush(notice{kind: noticeReport, report: r})
}

// giveOrder sends an order to an engine. The engine's next report shows the result.
func (b *Box) giveOrder(o decide.EngineOrder) {
	u := b.upstream(o.Upstream)
	if u == nil {
		return
	}
	b.logFor("orders").Infof("ordering engine %s to load %s with fence %d", o.Upstream, o.Model, o.Fence)
	address := u.Address
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		r, err := b.runner.Order(ctx, address, upstream.Order{Fence: o.Fence, Load: o.Model})
		switch {
		case err != nil:
			b.logFor("orders").Warnf("order to engine %s failed: %v", o.Upstream, err)
		case !r.Accepted:
			b.logFor("orders").Warnf("engine %s refused the order: it has seen fence %d, the order has fence %d", o.Upstream, r.Fence, o.Fence)
		}
	}()
}

// addressBook holds the control and operator addresses of other boxes, each IP:port. It is safe
// for concurrent use.
type addressBook struct {
	mu        sync.Mutex
	control   map[string]string
	operators map[string]string
}

func (a *addressBook) set(box, control, operators string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.control == nil {
		a.control, a.operators = make(map[string]string), make(map[string]string)
	}
	a.control[box], a.operators[box] = control, operators
}

func (a *addressBook) ops(box string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.operators[box]
}

// queueMessage queues a message to a box.
func (b *Box) queueMessage(to string, m cell.Message) {
	if b.outbox == nil {
		b.outbox = make(map[string][]cell.Message)
	}
	b.outbox[to] = append(b.outbox[to], m)
}

// flushSends sends the queued messages, one batch to each box.
func (b *Box) flushSends() {
	for to, messages := range b.outbox {
		if len(messages) > 0 {
			b.link.Send(to, messages)
			clear(messages)
			b.outbox[to] = messages[:0]
		}
	}
}
