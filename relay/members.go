package relay

// This file defines the duty that keeps the box's part of the group: it alone
// touches the node and the mirror, and hands what is new to the rest of the box.

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/internal/datagram"
	"github.com/doormast/doormast/internal/ring"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

const (
	// memberRing is how many events wait for the duty at most.
	memberRing = 512
	// memberTick is how often the duty looks at what is due by time; beats are
	// 400 ms apart, and a silent lead is to be noticed within a fraction of one.
	memberTick = 100 * time.Millisecond
)

// memberEvent is something that the duty has to take in; one of its fields is set.
type memberEvent struct {
	message *wire.GroupMessage
	read    *readResult
	pulled  *pullResult
	ask     chan<- *wire.MirrorResponse // another box wants everything
	leave   chan<- struct{}             // the box is about to end; closed when the others were told
}

// readResult is what came of a reading of the publisher.
type readResult struct {
	known    time.Duration // a moment at which what was read was the newest
	items    []mirror.Item
	revision uint64
	whole    bool
	err      error
	taken    chan<- struct{} // closed when it was taken in
}

// pullResult is what another box has.
type pullResult struct {
	response *wire.MirrorResponse
	err      error
}

// members is the box's part of the group, with what other duties may look at.
type members struct {
	relay  *Relay
	node   *group.Node
	copy   *mirror.Mirror
	events *ring.Ring[memberEvent]
	socket *datagram.Socket // nil where a box has no peers

	revision atomic.Uint64 // of the mirror
	loadsAt  atomic.Int64  // time.Duration since the start, when the others' loads came
	boxes    atomic.Int64
	reads    atomic.Bool   // the box is to read the publisher
	kick     chan struct{} // readable when reads has become true
	pulling  bool
	lead     atomic.Pointer[string]
	missing  map[string]time.Duration // upstreams whose entries went while in doubt, and when to drop them
}

func newMembers(r *Relay) (*members, error) {
	m := &members{relay: r, copy: mirror.New(), events: ring.New[memberEvent](memberRing), kick: make(chan struct{}, 1),
		missing: make(map[string]time.Duration)}
	m.boxes.Store(int64(r.cfg.Boxes))
	m.node = group.NewNode(group.Config{Self: r.cfg.Self, Seeds: r.cfg.Seeds, Timing: r.cfg.Timing, Mirror: m.copy, Changed: m.changed,
		FirstStart: r.cfg.FirstStart}, r.now())
	if r.cfg.Self.Address == "" {
		return m, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialWait)
	defer cancel()
	var err error
	m.socket, err = datagram.Listen(ctx, datagram.Config{Address: r.cfg.Self.Address, Handler: m.received})
	return m, err
}

// received takes a datagram, on the socket's goroutine.
func (m *members) received(b []byte) {
	msg := new(wire.GroupMessage)
	if err := proto.Unmarshal(b, msg); err != nil {
		m.relay.stats.count("datagrams_garbled")
		return
	}
	if !m.events.TryPush(memberEvent{message: msg}) {
		m.relay.stats.count("datagrams_dropped")
	}
}

// duty takes in events until ctx ends.
func (m *members) duty(ctx context.Context) {
	ticker := time.NewTicker(memberTick)
	defer ticker.Stop()
	m.after(ctx) // the reader may be wanted at once
	var batch []memberEvent
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.swapLoads()
			m.node.Tick(m.relay.now())
			m.dropMissing()
		case <-m.events.Ready():
		}
		batch = m.events.Drain(batch[:0])
		for _, e := range batch {
			m.take(ctx, e)
		}
		m.after(ctx)
	}
}

// swapLoads hands the node what this box has under way, and the fleet what the
// others have.
func (m *members) swapLoads() {
	m.relay.mu.Lock()
	defer m.relay.mu.Unlock()
	m.node.SetLoads(m.relay.fleet.Loads())
	m.relay.fleet.SetOthers(m.node.Others())
}

// leadName is the box that leads the domain, as far as is known.
func (m *members) leadName() string {
	if lead := m.lead.Load(); lead != nil {
		return *lead
	}
	return ""
}

// loadsAge is how old the others' loads are.
func (m *members) loadsAge() time.Duration { return m.relay.now() - time.Duration(m.loadsAt.Load()) }

// take takes in one event.
func (m *members) take(ctx context.Context, e memberEvent) {
	now := m.relay.now()
	switch {
	case e.message != nil:
		m.node.Handle(now, e.message)
		if e.message.HasLoads {
			m.loadsAt.Store(int64(now))
		}
	case e.read != nil:
		m.takeRead(now, e.read)
	case e.pulled != nil:
		m.pulling = false
		if e.pulled.err != nil {
			m.relay.cfg.Log.Event("group", "pull failed", Fields{"error": e.pulled.err.Error()})
			return
		}
		m.node.Pulled(now, e.pulled.response)
	case e.ask != nil:
		e.ask <- m.node.Everything(now)
	case e.leave != nil:
		m.node.Leave(now)
		m.after(ctx)
		close(e.leave)
	}
}

func (m *members) takeRead(now time.Duration, r *readResult) {
	defer close(r.taken)
	if r.err != nil {
		m.node.ReadFailed()
		m.relay.belief.lose(m.relay, r.err)
		return
	}
	m.node.Read(now, r.known, r.items, r.revision, r.whole)
	m.relay.belief.regain(m.relay)
}

// after sends what the node wants sent, and publishes what other duties look at.
func (m *members) after(ctx context.Context) {
	out, pull := m.node.Drain()
	for _, o := range out {
		m.send(o)
	}
	if pull != "" && !m.pulling {
		m.pulling = true
		go m.pull(ctx, pull)
	}
	now := m.relay.now()
	m.revision.Store(m.copy.Revision())
	m.relay.belief.confirmed.Store(int64(m.node.Confirmed()))
	if m.node.Known() {
		m.boxes.Store(int64(m.node.Boxes()))
	}
	reads := m.node.Reads(now)
	if reads != m.reads.Swap(reads) && reads {
		select {
		case m.kick <- struct{}{}:
		default:
		}
	}
	if lead := m.node.Lead(); lead != m.leadName() {
		m.lead.Store(&lead)
		m.relay.cfg.Log.Event("group", "led by", Fields{"box": lead, "boxes": m.node.Boxes(), "age_ms": m.relay.age().Milliseconds()})
	}
}

func (m *members) send(o group.Outgoing) {
	to, err := netip.ParseAddrPort(o.To)
	if err != nil || m.socket == nil {
		return // a seed that is no address, or a box without peers
	}
	b, err := proto.Marshal(o.Message)
	if err != nil {
		m.relay.cfg.Log.Event("group", "not sent", Fields{"to": o.To, "error": err.Error()})
		return
	}
	m.socket.Send(to, b)
}

// changed hands in what is new in the mirror.
func (m *members) changed(items []mirror.Item) {
	for _, it := range items {
		news, err := m.relay.cfg.Decode(it)
		if err != nil {
			m.relay.cfg.Log.Event("published", "not taken", Fields{"key": it.Key, "revision": it.Revision, "error": err.Error()})
			continue
		}
		m.relay.takeNews(news, m.node.Doubt(), m.missing)
	}
}

// dropMissing drops the upstreams whose entries did not come back in time.
func (m *members) dropMissing() {
	now := m.relay.now()
	for id, due := range m.missing {
		if now >= due && now >= m.node.Doubt() {
			delete(m.missing, id)
			m.relay.dropUpstream(id)
		}
	}
}

// leave tells the other boxes that this one is about to end.
func (m *members) leave(ctx context.Context) {
	done := make(chan struct{})
	if !m.events.TryPush(memberEvent{leave: done}) {
		return // the others will notice the silence
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (m *members) close() {
	if m.socket == nil {
		return
	}
	if err := m.socket.Close(); err != nil {
		m.relay.cfg.Log.Event("group", "not closed", Fields{"error": err.Error()})
	}
}
