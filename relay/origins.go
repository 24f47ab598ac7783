package relay

// This file defines how boxes tell and ask each other where streams began; package origin decides
// whom. The invariants: a record is sent before the caller gets the stream's first event; records
// and questions take bounded memory and time; and a question for one customer's stream tells nothing
// of another's.

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/internal/account"
	"github.com/doormast/doormast/internal/ring"
	"github.com/doormast/doormast/origin"
	"github.com/doormast/doormast/wire"
)

const (
	// maxOrigins bounds the records that a box holds.
	maxOrigins = 1 << 16
	// originShare is the share of the box's memory up to which records may fill it.
	originShare = 0.8
	// maxOriginLife bounds how long a record is kept, whatever its caller states.
	maxOriginLife = 10 * time.Minute
	// originMargin is added to the time that a caller waits, for its last request to arrive.
	originMargin = 2 * time.Second
	// originQueueSize is the capacity of the queue of received messages.
	originQueueSize = 1024
	// originTick is how often expired records are removed.
	originTick = 250 * time.Millisecond
	// maxHandedOver bounds the records that a box sends when it stops, some 160 KB for each holder.
	maxHandedOver = 1 << 12
	// historyWait is how long answers about versions are waited for, while more boxes are asked.
	historyWait = time.Second
	// freshList is the age up to which a list of upstreams is taken to hold every version that a box in
	// step with the others can know of: changes reach all boxes in that time.
	freshList = 2 * time.Second
	// originsPerMessage bounds the records in a message, which stays within 6 KB.
	originsPerMessage = 60
)

// Counters of records and lookups.
const (
	originsTold           = "origins_told"
	originsNotHeld        = "origins_not_held"
	originsFound          = "origins_found"
	originsUnknown        = "origins_unknown"
	originsNotAsked       = "origins_not_asked"
	originMessagesDropped = "origin_messages_dropped"
)

// origins holds the records of this box, and asks other boxes for theirs.
type origins struct {
	relay  *Relay
	events *ring.Ring[*wire.GroupMessage]
	lease  *account.Lease

	mu           sync.Mutex
	table        *origin.Table
	peers        origin.Peers
	hasMet       bool                // another box has been known since the start
	otherDomains map[string]struct{} // domains of other boxes that have been known since the start
	limiter      *origin.Limiter
	questions    map[uint64]question // by nonce
	nonce        uint64
}

func newOrigins(r *Relay) *origins {
	o := &origins{relay: r, events: ring.New[*wire.GroupMessage](originQueueSize), lease: r.account.Lease(),
		otherDomains: make(map[string]struct{}), limiter: origin.NewLimiter(), questions: make(map[uint64]question), nonce: uint64(r.startedAt.UnixNano())}
	o.table = origin.NewTable(origin.TableConfig{Max: maxOrigins,
		Reserve: func(n int64) bool { return o.lease.Grow(n, originShare) },
		Release: func(n int64) { o.lease.Shrink(n) }})
	return o
}

// run handles messages of other boxes until ctx ends.
func (o *origins) run(ctx context.Context) {
	ticker := time.NewTicker(originTick)
	defer ticker.Stop()
	var batch []*wire.GroupMessage
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.expire()
			o.askHistory()
		case <-o.events.Ready():
		}
		batch = o.events.Drain(batch[:0])
		for _, m := range batch {
			o.handle(m)
		}
	}
}

func (o *origins) expire() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Expire(o.relay.now())
	for nonce, q := range o.questions {
		if q.answers == nil && o.relay.now()-q.askedAt > historyWait {
			delete(o.questions, nonce)
		}
	}
}

// push queues a received message, on the socket's goroutine.
func (o *origins) push(m *wire.GroupMessage) {
	if !o.events.TryPush(m) {
		o.relay.stats.count(originMessagesDropped)
	}
}

// setPeers sets the boxes that may hold records.
func (o *origins) setPeers(list []origin.Peer) {
	peers := origin.NewPeers(o.relay.cfg.Domain, list)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.peers = peers
	o.hasMet = o.hasMet || len(list) > 0
	for _, p := range list {
		if p.Domain != o.relay.cfg.Domain {
			o.otherDomains[p.Domain] = struct{}{}
		}
	}
}

// syncOriginPeers passes the boxes that the node knows to the origins.
func (m *members) syncOriginPeers() {
	m.relay.origins.setPeers(m.node.OriginPeers(m.relay.now()))
}

// havePeers reports whether any box is known that may hold records.
func (o *origins) havePeers() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peers.Len() > 0
}

// isAlone reports whether no other box can have begun a stream: there is none among the seeds, and none
// has been known since the start.
func (o *origins) isAlone() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	self := o.relay.cfg.Self.Address
	return !o.hasMet && !slices.ContainsFunc(o.relay.cfg.Seeds, func(seed string) bool { return seed != self })
}

func (o *origins) handle(m *wire.GroupMessage) {
	switch {
	case m.OriginQuery != nil:
		o.answer(m.OriginQuery)
	case m.OriginReply != nil:
		o.deliver(originReply{m.Sender.GetName(), m.OriginReply})
	}
	for _, x := range m.Origins {
		o.hold(recordOf(x))
	}
}

func recordOf(x *wire.GroupOrigin) origin.Record {
	life := time.Duration(min(x.Life, uint64(maxOriginLife/time.Microsecond))) * time.Microsecond
	return origin.Record{Key: origin.Key(x.Stream), Origin: origin.Origin{Service: x.Service, Software: x.Software}, Life: life}
}

// hold adds a record to the table.
func (o *origins) hold(x origin.Record) {
	o.mu.Lock()
	ok := o.table.Put(o.relay.now(), x)
	o.mu.Unlock()
	if !ok {
		o.relay.stats.count(originsNotHeld)
	}
}

// originReply is the answer of another box.
type originReply struct {
	box string
	*wire.GroupOriginReply
}

// onlySoftware returns the only version that the box has seen within the time that a stream may last, or
// false if it has seen several, or none.
func (a originReply) onlySoftware() (string, bool) {
	switch {
	case a.Sole:
		return a.SoleSoftware, true
	case a.Result == wire.GroupOriginReply_NOT_FOUND && a.Origin != nil:
		return a.Origin.Software, true
	}
	return "", false
}

// hasFreshList reports whether the list of the box was fresh.
func (a originReply) hasFreshList() bool {
	return time.Duration(a.ListAge)*time.Microsecond <= freshList
}

// answer answers a question of another box.
func (o *origins) answer(q *wire.GroupOriginQuery) {
	r := o.relay
	a := &wire.GroupOriginReply{Nonce: q.Nonce, ListAge: uint64(max(0, r.publishedAge()).Microseconds()), Domain: r.cfg.Domain, Service: q.Service}
	o.mu.Lock()
	found, result := o.table.Get(r.now(), origin.Key(q.Stream))
	o.mu.Unlock()
	r.mu.Lock()
	a.SoleSoftware, a.Sole = r.fleet.SoleSoftware(r.now(), q.Service)
	seen := r.fleet.RecentSoftware(r.now(), q.Service)
	r.mu.Unlock()
	a.Result = wire.GroupOriginReply_Result(result)
	switch {
	case result == origin.Found:
		a.Origin = &wire.GroupOrigin{Stream: q.Stream, Service: found.Service, Software: found.Software}
	case result == origin.NotFound && !a.Sole && len(seen) == 1:
		a.Origin = &wire.GroupOrigin{Service: q.Service, Software: seen[0]}
	}
	m := group.OriginMessage(r.cfg.Self)
	m.OriginReply = a
	o.send([]string{q.ReplyTo}, m)
}

// askHistory asks other boxes which versions served before this one started, until one has told, or
// this box has known the list for as long as a stream may last.
func (o *origins) askHistory() {
	r := o.relay
	r.mu.Lock()
	services := r.fleet.ServicesToVouch(r.now())
	r.mu.Unlock()
	if len(services) == 0 {
		return
	}
	o.mu.Lock()
	nonce := o.addQuestion(nil)
	o.mu.Unlock()
	for _, service := range services {
		asked, _ := o.asked(origin.KeyOf("", service), func(string) bool { return true })
		m := group.OriginMessage(r.cfg.Self)
		m.OriginQuery = &wire.GroupOriginQuery{Nonce: nonce, Service: service, ReplyTo: r.cfg.Self.Address}
		o.send(asked, m)
	}
}

// deliver passes an answer to the lookup that waits for it. One that this box no longer waits for says
// nothing: it may have lain in a socket while the box stood still.
func (o *origins) deliver(a originReply) {
	o.mu.Lock()
	q, isAsked := o.questions[a.Nonce]
	o.mu.Unlock()
	if !isAsked {
		return
	}
	if a.Sole && a.hasFreshList() {
		o.relay.mu.Lock()
		o.relay.fleet.Vouch(o.relay.now(), q.askedAt, a.Service, a.SoleSoftware)
		o.relay.mu.Unlock()
	}
	select {
	case q.answers <- a:
	default: // more answers than boxes were asked, or none is waited for
	}
}

// handOver sends the records of this box, which is about to stop, to their other holders. Boxes that
// restart one after the other would else lose all copies of a record.
func (o *origins) handOver() {
	o.mu.Lock()
	list := o.table.All(o.relay.now())
	o.mu.Unlock()
	list = list[:min(len(list), maxHandedOver)]
	o.tell(list, ownDomainOnly)
}

// ownDomainOnly allows holders of this box's failure domain only: what the homes of each stream's
// route allow elsewhere is not known any more.
func ownDomainOnly(string) bool { return false }

// tell records where streams began, here and at their holders. mayHold says in which domains.
func (o *origins) tell(list []origin.Record, mayHold func(domain string) bool) {
	byHolder := make(map[string][]*wire.GroupOrigin)
	o.mu.Lock()
	for _, x := range list {
		if !o.table.Put(o.relay.now(), x) {
			o.relay.stats.count(originsNotHeld)
		}
		sent := &wire.GroupOrigin{Stream: uint64(x.Key), Service: x.Origin.Service, Software: x.Origin.Software, Life: uint64(x.Life.Microseconds())}
		for _, address := range o.peers.Holders(x.Key, mayHold) {
			byHolder[address] = append(byHolder[address], sent)
		}
	}
	o.mu.Unlock()
	for address, records := range byHolder {
		for part := range slices.Chunk(records, originsPerMessage) {
			m := group.OriginMessage(o.relay.cfg.Self)
			m.Origins = part
			o.send([]string{address}, m)
			o.relay.stats.count(originsTold)
		}
	}
}

// send sends a message to some boxes, without a guarantee.
func (o *origins) send(to []string, m *wire.GroupMessage) {
	s := o.relay.members.socket
	if s == nil {
		return
	}
	b, err := proto.Marshal(m)
	if err != nil {
		o.relay.cfg.Log.Event("group", "encoding a message failed", Fields{"error": err.Error()})
		return
	}
	for _, address := range to {
		a, err := netip.ParseAddrPort(address)
		if err != nil {
			continue
		}
		o.relay.members.traffic.add(group.KindOf(m), group.ReachUnknown, len(b))
		s.Send(a, b)
	}
}
