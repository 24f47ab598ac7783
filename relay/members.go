package relay

// This file defines the loop that maintains the box's membership in the group. The invariant:
// only this loop accesses the node and the mirror; it passes changes to the rest of the box.

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
	// eventQueueSize is the capacity of the loop's event queue.
	eventQueueSize = 512
	// tickInterval is how often the loop checks timers. Heartbeats are 400 ms apart, and a
	// silent leader is to be noticed within a fraction of that.
	tickInterval = 100 * time.Millisecond
)

// memberEvent is an event for the loop. One of message, read, pulled, mirrorReply and leave is
// set.
type memberEvent struct {
	message       *wire.GroupMessage
	read          *readResult
	pulled        *pullResult
	mirrorReply   chan<- *wire.MirrorResponse // receives the reply to another box's request for all items
	mirrorRequest *wire.MirrorRequest         // the request that mirrorReply answers
	leave         chan<- struct{}             // the box is about to stop; closed when the others were told
}

// members is the box's membership in the group, with the state it shares with other goroutines.
type members struct {
	relay  *Relay
	node   *group.Node
	mirror *mirror.Mirror
	events *ring.Ring[memberEvent]
	socket *datagram.Socket // nil if the box has no peers

	traffic traffic

	// State that other goroutines read.
	revision        atomic.Uint64 // of the mirror
	loadsReceivedAt atomic.Int64  // time.Duration since the start, when loads last arrived from others
	boxes           atomic.Int64
	divisor         atomic.Int64 // of what all boxes share; 0: this box has no share
	leader          atomic.Pointer[string]
	shouldRead      atomic.Bool   // the box is to read the publisher
	watchFor        atomic.Int64  // time.Duration for which a read waits for a change
	readWake        chan struct{} // readable when shouldRead has become true
	filled          chan struct{} // closed when the mirror is no longer empty
	informed        chan struct{} // closed when the box no longer lacks entries of the running boxes
	loadsChanged    chan struct{} // readable when this box's loads have changed
	backlogReady    chan struct{} // readable while there is a backlog

	// State of the loop alone, except resumesRead and fullReadStart.
	pulling       bool
	isInformed    bool                // informed is closed
	cutOffDomains []string            // domains that the box treated as cut off at the last check
	lastProbe     time.Duration       // when upstreams of silent domains were last probed
	peersSetAt    time.Duration       // when the boxes that may be connected through were last set
	resumesRead   bool                // used by readLoop only: its last full read failed
	fullReadStart time.Duration       // used by readLoop only: when the first of a sequence of full reads started
	failures      int                 // consecutive failed reads since this box was last chosen to read
	backlog       []mirror.Item       // changed items of the mirror that are not applied yet, in order
	lastEncoded   encodedMessage      // the last message that was sent
	missing       map[string]struct{} // upstreams whose entries were removed while removals are uncertain
	rejected      map[string]uint64   // by key: hash of the content last logged as rejected

	missedUntil     time.Duration       // until when others had answers that this box did not know of
	loggedUncertain group.Uncertainties // as last logged
}

func newMembers(r *Relay) (*members, error) {
	m := &members{
		relay:        r,
		mirror:       mirror.New(),
		events:       ring.New[memberEvent](eventQueueSize),
		readWake:     make(chan struct{}, 1),
		filled:       make(chan struct{}),
		informed:     make(chan struct{}),
		loadsChanged: make(chan struct{}, 1),
		backlogReady: make(chan struct{}, 1),
		traffic:      newTraffic(r.stats),
		missing:      make(map[string]struct{}),
		rejected:     make(map[string]uint64),
	}
	m.boxes.Store(int64(r.cfg.Boxes))
	m.node = group.NewNode(group.Config{
		Self:        r.cfg.Self,
		Seeds:       r.cfg.Seeds,
		Timing:      r.cfg.Timing,
		Mirror:      m.mirror,
		OnChange:    m.mirrorChanged,
		FirstStart:  r.cfg.FirstStart,
		LinkRate:    r.cfg.LinkBandwidth,
		DomainCount: len(r.cfg.Regions),
	}, r.now())
	m.loggedUncertain = m.node.Uncertainties()
	m.missedUntil = m.node.MissedUntil()
	return m, m.listen()
}

// run handles events until ctx ends.
func (m *members) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	m.flush(ctx) // the box may have to read at once
	var batch []memberEvent
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.relay.detectSuspension()
			m.syncFleet()
			m.node.Tick(m.relay.now())
			m.syncCutOff(ctx)
			m.syncTunnelPeers()
			m.syncOriginPeers()
			m.dropMissing()
		case <-m.loadsChanged:
			m.updateLoads()
		case <-m.backlogReady:
		case <-m.events.Ready():
			m.relay.detectSuspension() // messages that waited during a suspension must not be taken for new
		}
		batch = m.events.Drain(batch[:0])
		for _, e := range batch {
			m.handle(ctx, e)
		}
		if !m.relay.origins.havePeers() {
			m.syncOriginPeers() // callers come back to a box as soon as it has started
		}
		m.applyBacklog()
		m.flush(ctx)
	}
}

// leaderName is the box that leads the domain, as far as is known.
func (m *members) leaderName() string {
	if leader := m.leader.Load(); leader != nil {
		return *leader
	}
	return ""
}

// handle handles one event.
func (m *members) handle(ctx context.Context, e memberEvent) {
	now := m.relay.now()
	switch {
	case e.message != nil:
		m.node.Handle(now, e.message)
		if e.message.HasLoads {
			m.loadsReceivedAt.Store(int64(now))
		}
	case e.read != nil:
		m.applyRead(now, e.read)
	case e.pulled != nil:
		m.applyPull(now, e.pulled)
	case e.mirrorReply != nil:
		e.mirrorReply <- m.node.AnswerPull(now, e.mirrorRequest)
	case e.leave != nil:
		m.node.Leave(now)
		m.flush(ctx)
		close(e.leave)
	}
}

// flush sends pending messages, and updates the state that other goroutines read.
func (m *members) flush(ctx context.Context) {
	m.flushLoads()
	m.shareSuspects()
	m.shareLimits()
	m.shareReachReports(ctx)
	m.sendPending(ctx)
	m.publishRevision()
	m.syncMissed()
	if len(m.backlog) == 0 { // otherwise the box still uses older data
		m.relay.published.confirmedAt.Store(int64(m.node.ConfirmedAt()))
	}
	if m.node.SizeKnown() {
		m.boxes.Store(int64(m.node.BoxCount()))
	}
	m.divisor.Store(int64(m.node.Divisor()))
	m.logUncertainties()
	m.updateReading()
	m.updateLeader()
	m.updateInformed()
}

// updateInformed lets requests be placed once this box knows what the running boxes know.
func (m *members) updateInformed() {
	if m.isInformed || m.node.LacksEntries(m.relay.now()) {
		return
	}
	m.isInformed = true
	close(m.informed)
}

// sendPending sends the node's pending messages, and starts the pull that it requests.
func (m *members) sendPending(ctx context.Context) {
	messages, pullFrom := m.node.Drain()
	for _, o := range messages {
		m.send(o)
	}
	if pullFrom != "" && !m.pulling {
		m.pulling = true
		go m.pull(ctx, pullFrom)
	}
}

// publishRevision updates revision. It closes filled when the mirror first holds data, which
// ends a full read in progress: another box was faster.
func (m *members) publishRevision() {
	if before := m.revision.Swap(m.mirror.Revision()); before == 0 && m.mirror.Revision() > 0 {
		close(m.filled)
	}
}

// updateReading sets whether this box is to read the publisher, and wakes readLoop.
func (m *members) updateReading() {
	now := m.relay.now()
	m.watchFor.Store(int64(m.node.WatchTimeout(now)))
	shouldRead := m.node.ShouldRead(now)
	if before := m.shouldRead.Swap(shouldRead); before || !shouldRead {
		return
	}
	m.failures = 0 // others have read since
	wake(m.readWake)
}

// wake sends on a channel with capacity 1 unless it is full.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (m *members) updateLeader() {
	if leader := m.node.LeaderName(); leader != m.leaderName() {
		m.leader.Store(&leader)
		m.relay.cfg.Log.Event("group", "led by", Fields{"box": leader, "boxes": m.node.BoxCount(), "age_ms": m.relay.publishedAge().Milliseconds()})
	}
}

// leave tells the other boxes that this one is about to stop.
func (m *members) leave(ctx context.Context) {
	done := make(chan struct{})
	if !m.events.TryPush(memberEvent{leave: done}) {
		return // the others will detect the missing heartbeats
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// close closes the socket, if there is one.
func (m *members) close() {
	if m.socket == nil {
		return
	}
	if err := m.socket.Close(); err != nil {
		m.relay.cfg.Log.Event("group", "closing the socket failed", Fields{"error": err.Error()})
	}
}
