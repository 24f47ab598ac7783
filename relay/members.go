package relay

// This file defines the duty that keeps the box's part of the group. The invariant: it
// alone touches the node and the mirror, and hands what is new to the rest of the box.

import (
	"context"
	"sync/atomic"
	"time"

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
	request *wire.MirrorRequest         // what it said
	leave   chan<- struct{}             // the box is about to end; closed when the others were told
}

// members is the box's part of the group, with what other duties may look at.
type members struct {
	relay  *Relay
	node   *group.Node
	mirror *mirror.Mirror
	events *ring.Ring[memberEvent]
	socket *datagram.Socket // nil where a box has no peers

	traffic traffic

	// What other duties look at.
	revision atomic.Uint64 // of the mirror
	loadsAt  atomic.Int64  // time.Duration since the start, when the others' loads came
	boxes    atomic.Int64
	divisor  atomic.Int64 // of what all boxes share; 0: this box has no part
	lead     atomic.Pointer[string]
	reads    atomic.Bool   // the box is to read the publisher
	watch    atomic.Int64  // time.Duration for which a reading waits for a change
	kick     chan struct{} // readable when reads has become true
	known    chan struct{} // closed when the mirror is no longer empty
	loaded   chan struct{} // readable when this box's loads have changed
	more     chan struct{} // readable while there is a backlog

	// What the duty alone looks at.
	pulling   bool
	left      []string                 // domains that the box had left when it last looked
	probedAt  time.Duration            // when upstreams of silent domains were tried last
	goesOn    bool                     // of the reader alone: its last reading of everything failed
	wholeFrom time.Duration            // and when it, or the one it went on from, began
	failures  int                      // readings that failed, in a row
	backlog   []mirror.Item            // what is new in the mirror and not handed in yet, in its order
	packed    packedMessage            // the last one that was sent
	missing   map[string]time.Duration // upstreams whose entries went while in doubt, and when to drop them
	refused   map[string]uint64        // by key: hash of the content that was last named in the log as not taken
}

func newMembers(r *Relay) (*members, error) {
	m := &members{
		relay:   r,
		mirror:  mirror.New(),
		events:  ring.New[memberEvent](memberRing),
		kick:    make(chan struct{}, 1),
		known:   make(chan struct{}),
		loaded:  make(chan struct{}, 1),
		more:    make(chan struct{}, 1),
		traffic: newTraffic(r.stats),
		missing: make(map[string]time.Duration),
		refused: make(map[string]uint64),
	}
	m.boxes.Store(int64(r.cfg.Boxes))
	m.node = group.NewNode(group.Config{
		Self:        r.cfg.Self,
		Seeds:       r.cfg.Seeds,
		Timing:      r.cfg.Timing,
		Mirror:      m.mirror,
		OnChange:    m.changed,
		FirstStart:  r.cfg.FirstStart,
		LinkRate:    r.cfg.LinkBandwidth,
		DomainCount: len(r.cfg.Regions),
	}, r.now())
	return m, m.listen()
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
			m.relay.detectSuspension()
			m.syncFleet()
			m.node.Tick(m.relay.now())
			m.shareCutOff(ctx)
			m.dropMissing()
		case <-m.loaded:
			m.takeLoads()
		case <-m.more:
		case <-m.events.Ready():
			m.relay.detectSuspension() // messages that waited meanwhile are not to be taken for new
		}
		batch = m.events.Drain(batch[:0])
		for _, e := range batch {
			m.take(ctx, e)
		}
		m.handIn()
		m.after(ctx)
	}
}

// leadName is the box that leads the domain, as far as is known.
func (m *members) leadName() string {
	if lead := m.lead.Load(); lead != nil {
		return *lead
	}
	return ""
}

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
		m.takePulled(now, e.pulled)
	case e.ask != nil:
		e.ask <- m.node.AnswerPull(now, e.request)
	case e.leave != nil:
		m.node.Leave(now)
		m.after(ctx)
		close(e.leave)
	}
}

// after sends what the node wants sent, and shows other duties what they look at.
func (m *members) after(ctx context.Context) {
	m.tellLoads()
	m.shareSuspects()
	m.shareLimits()
	m.sendOut(ctx)
	m.showRevision()
	if len(m.backlog) == 0 { // else the box still goes by what is older
		m.relay.belief.confirmed.Store(int64(m.node.ConfirmedAt()))
	}
	if m.node.SizeKnown() {
		m.boxes.Store(int64(m.node.BoxCount()))
	}
	m.divisor.Store(int64(m.node.Divisor()))
	m.showReads()
	m.showLead()
}

// sendOut sends what the node wants sent, and begins the pull that it wants.
func (m *members) sendOut(ctx context.Context) {
	out, pull := m.node.Drain()
	for _, o := range out {
		m.send(o)
	}
	if pull != "" && !m.pulling {
		m.pulling = true
		go m.pull(ctx, pull)
	}
}

// showRevision shows what the mirror holds. A reading of everything ends with the first time
// that it holds something: another box was faster.
func (m *members) showRevision() {
	if before := m.revision.Swap(m.mirror.Revision()); before == 0 && m.mirror.Revision() > 0 {
		close(m.known)
	}
}

// showReads tells the reader whether this box is to read, and wakes it.
func (m *members) showReads() {
	now := m.relay.now()
	m.watch.Store(int64(m.node.WatchTimeout(now)))
	reads := m.node.ShouldRead(now)
	if before := m.reads.Swap(reads); before || !reads {
		return
	}
	wake(m.kick)
}

// wake makes a channel of one place readable.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (m *members) showLead() {
	if lead := m.node.LeaderName(); lead != m.leadName() {
		m.lead.Store(&lead)
		m.relay.cfg.Log.Event("group", "led by", Fields{"box": lead, "boxes": m.node.BoxCount(), "age_ms": m.relay.age().Milliseconds()})
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

// close closes the socket, where there is one.
func (m *members) close() {
	if m.socket == nil {
		return
	}
	if err := m.socket.Close(); err != nil {
		m.relay.cfg.Log.Event("group", "not closed", Fields{"error": err.Error()})
	}
}
