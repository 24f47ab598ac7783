package group

// This file defines what a box says and how it takes in what others say.

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

const (
	// maxItems bounds the bytes of the values in a datagram; with its head it stays
	// within what the boxes' links carry in one.
	maxItems = 6 << 10
	// packFrom is from how many bytes on a value is compressed.
	packFrom = 512
	// maxListed bounds the boxes named in one message.
	maxListed = 48
	// askPause is the least time between two questions for changes.
	askPause = 100 * time.Millisecond
	// maxUnpacked bounds what a compressed value may grow to, four times the
	// publisher's bound on a value.
	maxUnpacked = 4 << 20
)

// Tick does what is due by time.
func (n *Node) Tick(now time.Duration) {
	n.watchLead(now)
	n.tellLoads(now)
	if now-n.lastBeat < n.cfg.Timing.Beat {
		return
	}
	n.lastBeat = now
	if n.Leads() {
		n.most = max(n.most, n.allBoxes(now))
		n.beatAll(now)
		return
	}
	n.send(n.lead().Address, n.message(now))
	if now-n.heardLead() > n.cfg.Timing.Silence {
		n.hail(now)
	}
}

// watchLead passes over a lead that is not heard.
func (n *Node) watchLead(now time.Duration) {
	lead := n.lead()
	if lead.Name != n.leadName {
		n.leadName, n.waitsFrom = lead.Name, now
	}
	p := n.peers[lead.Name]
	if p == nil {
		return
	}
	if now-max(p.heard, n.waitsFrom) > n.cfg.Timing.Silence {
		p.silent = true
		n.leadName, n.waitsFrom = n.lead().Name, now
		if n.Leads() {
			n.lastBeat = never // the others are to know at once
		}
	}
}

// heardLead is when the present lead was heard last.
func (n *Node) heardLead() time.Duration {
	if p := n.peers[n.lead().Name]; p != nil && p.leads {
		return p.heard
	}
	return never
}

// beatAll sends a lead's beat to its domain, to the other leads, and, as long as it
// knows nobody, to the seeds.
func (n *Node) beatAll(now time.Duration) {
	foreign := false
	for _, p := range n.peers {
		if p.box.Domain != n.cfg.Self.Domain && !p.leads {
			continue
		}
		foreign = foreign || p.box.Domain != n.cfg.Self.Domain && now-p.heard < n.cfg.Timing.Member
		m := n.message(now)
		m.Boxes = n.listIfNew(p, now)
		n.send(p.box.Address, m)
	}
	n.lists = nil
	if !foreign {
		n.hail(now)
	}
}

// listEvery is after how many beats a list that has not changed is told again, since
// the datagram with the last change may have been lost.
const listEvery = 10

// boxList is the boxes that a domain should know, with a digest of them.
type boxList struct {
	boxes  []*wire.GroupBox
	digest uint64
}

// listIfNew is the list for a peer, or nil if it knows it.
func (n *Node) listIfNew(p *peer, now time.Duration) []*wire.GroupBox {
	l, ok := n.lists[p.box.Domain]
	if !ok {
		l.boxes = n.listFor(p.box.Domain, now)
		for _, b := range l.boxes {
			l.digest += xxhash.Sum64String(b.Name) ^ b.Boot // in no order
		}
		if n.lists == nil {
			n.lists = make(map[string]boxList)
		}
		n.lists[p.box.Domain] = l
	}
	p.beats++
	if p.toldList == l.digest && p.beats%listEvery != 0 {
		return nil
	}
	p.toldList = l.digest
	return l.boxes
}

// hail asks the seeds who is there.
func (n *Node) hail(now time.Duration) {
	for _, address := range n.cfg.Seeds {
		if address == n.cfg.Self.Address {
			continue
		}
		m := n.message(now)
		m.Hello = true
		n.send(address, m)
	}
}

// message is what every message says.
func (n *Node) message(now time.Duration) *wire.GroupMessage {
	m := &wire.GroupMessage{Sender: n.cfg.Self, Leaving: n.leaving, Revision: n.cfg.Mirror.Revision(),
		ConfirmedAge: micros(now - n.confirmed), DoubtLeft: micros(max(0, n.doubt-now))}
	if n.Leads() {
		m.Leads, m.Reads = true, !n.readFails
		m.DomainBoxes, m.AllBoxes = uint32(n.domainBoxes(now)), uint32(n.most)
	}
	return m
}

func micros(d time.Duration) uint64 { return uint64(max(d, 0) / time.Microsecond) }

func fromMicros(us uint64) time.Duration {
	return time.Duration(min(us, uint64(time.Hour/time.Microsecond))) * time.Microsecond
}

func (n *Node) send(to string, m *wire.GroupMessage) {
	n.out = append(n.out, Outgoing{to, m})
}

// listFor names the boxes that a box of the domain should know: those of its own,
// and the leads of all. Where they are too many, the strongest are named, since they
// lead next.
func (n *Node) listFor(domain string, now time.Duration) []*wire.GroupBox {
	var list []*wire.GroupBox
	for _, p := range n.peers {
		recent := now-p.heard < 4*n.cfg.Timing.Member
		if recent && !p.leaving && (p.box.Domain == domain || p.leads) {
			list = append(list, p.box)
		}
	}
	slices.SortFunc(list, func(a, b *wire.GroupBox) int {
		if better(a, b) {
			return -1
		}
		return 1
	})
	return list[:min(len(list), maxListed)]
}

// Handle takes in a message.
func (n *Node) Handle(now time.Duration, m *wire.GroupMessage) {
	if m.Sender == nil || m.Sender.Name == "" || m.Sender.Name == n.cfg.Self.Name {
		return
	}
	p := n.note(m.Sender)
	if p == nil && !n.replaceSilent(now, m.Sender) {
		return // an earlier life of the box
	}
	p = n.peers[m.Sender.Name]
	p.heard, p.silent, p.leaving = now, false, m.Leaving
	p.leads, p.reads = m.Leads, m.Reads
	if m.Leads {
		p.boxes = int(m.DomainBoxes)
	}
	for _, b := range m.Boxes {
		n.noteListed(b)
	}
	n.most = max(n.most, int(m.AllBoxes))
	n.takeLoads(p, m)
	n.answer(now, m, p)
	n.learn(now, m)
}

// noteListed remembers a box that another box named. Of other domains only leads
// are named, so it is one until it says otherwise itself.
func (n *Node) noteListed(b *wire.GroupBox) {
	if b.Name == n.cfg.Self.Name {
		return
	}
	known := n.peers[b.Name] != nil
	if p := n.note(b); p != nil && !known {
		p.leads = b.Domain != n.cfg.Self.Domain
	}
}

// note remembers a box; nil means that a later life of it is known.
func (n *Node) note(b *wire.GroupBox) *peer {
	p := n.peers[b.Name]
	switch {
	case p == nil:
		p = &peer{box: b, heard: never}
		n.peers[b.Name] = p
	case b.Boot < p.box.Boot:
		return nil
	case b.Boot > p.box.Boot:
		p.box, p.silent, p.leaving = b, false, false
	}
	return p
}

// replaceSilent takes a box at its word that is heard with an older start than one
// that has fallen silent: its clock was set back between the two.
func (n *Node) replaceSilent(now time.Duration, b *wire.GroupBox) bool {
	if now-n.peers[b.Name].heard < n.cfg.Timing.Member {
		return false
	}
	n.peers[b.Name] = &peer{box: b, heard: never}
	return true
}

// answer replies to what the sender asks, or should know.
func (n *Node) answer(now time.Duration, m *wire.GroupMessage, p *peer) {
	switch {
	case m.Ask:
		n.sendChanges(now, p.box.Address, m.Revision)
	case m.Hello:
		reply := n.message(now)
		reply.Boxes = n.listFor(p.box.Domain, now)
		n.send(p.box.Address, reply)
	case m.Leads && p.box.Domain == n.cfg.Self.Domain && n.Leads():
		n.send(p.box.Address, n.message(now)) // it does not know of this box yet
	}
}

// learn takes in what the sender knows of what is published.
func (n *Node) learn(now time.Duration, m *wire.GroupMessage) {
	n.doubtFor(now, m.DoubtLeft)
	if items, ok := unpack(m.Items); ok && len(items) > 0 {
		before := n.cfg.Mirror.Revision()
		if changes, ok := n.cfg.Mirror.Apply(m.From, m.Revision, items); ok {
			n.tell(now, changes, before)
		}
	}
	switch mine := n.cfg.Mirror.Revision(); {
	case m.Revision > mine && m.Pull:
		n.pull = m.Sender.Pulls
	case m.Revision > mine && now-n.lastAsk >= askPause:
		n.lastAsk = now
		ask := n.message(now)
		ask.Ask = true
		n.send(m.Sender.Address, ask)
	case m.Revision <= mine && m.Revision > 0:
		n.confirmed = max(n.confirmed, now-fromMicros(m.ConfirmedAge))
	}
}

// doubtFor takes over another box's time of doubt, in microseconds.
func (n *Node) doubtFor(now time.Duration, left uint64) {
	if left > 0 {
		n.doubt = max(n.doubt, now+fromMicros(left))
	}
}

// tell passes changes on: to this box, and from a lead to the others.
func (n *Node) tell(now time.Duration, changes []mirror.Item, from uint64) {
	if len(changes) == 0 {
		return
	}
	n.cfg.Changed(changes)
	if !n.Leads() {
		return
	}
	for _, p := range n.peers {
		if p.box.Domain == n.cfg.Self.Domain || p.leads {
			n.sendItems(now, p.box.Address, from, changes)
		}
	}
}

// sendChanges sends what is behind a revision, or says that it has to be pulled.
func (n *Node) sendChanges(now time.Duration, to string, after uint64) {
	changes, ok := n.cfg.Mirror.Since(after)
	if !ok {
		m := n.message(now)
		m.Pull = true
		n.send(to, m)
		return
	}
	n.sendItems(now, to, after, changes)
}

func (n *Node) sendItems(now time.Duration, to string, from uint64, changes []mirror.Item) {
	m := n.message(now)
	items, size := pack(changes)
	if m.Pull = size > maxItems; !m.Pull {
		m.From, m.Items = from, items
	}
	n.send(to, m)
}

// Read notes that this box read the publisher itself: what is new behind the mirror's
// revision, or everything where whole is set, which was the newest at the moment
// known. A box that reads for a lead tells it.
func (n *Node) Read(now, known time.Duration, items []mirror.Item, revision uint64, whole bool) {
	if n.readFails && now-n.confirmed > n.cfg.Timing.Stale {
		n.doubt = max(n.doubt, now+lapse) // nobody else could read either
	}
	n.readOK, n.readFails = now, false
	from := n.cfg.Mirror.Revision()
	var changes []mirror.Item
	if whole {
		changes = n.cfg.Mirror.Load(items, revision)
	} else {
		changes, _ = n.cfg.Mirror.Apply(from, revision, items)
	}
	n.confirmed = max(n.confirmed, known)
	n.tell(now, changes, from)
	if !n.Leads() {
		n.sendItems(now, n.lead().Address, from, changes)
	}
}

// lapse is how long after the publisher's return an entry that went may come back:
// 2 s, and some room.
const lapse = 2200 * time.Millisecond

// ReadFailed notes that this box could not read the publisher.
func (n *Node) ReadFailed() { n.readFails = true }

// Pulled takes in all that another box has.
func (n *Node) Pulled(now time.Duration, r *wire.MirrorResponse) {
	n.doubtFor(now, r.DoubtLeft)
	items, ok := unpack(r.Items)
	if !ok {
		return // the next beat shows what is missing still
	}
	from := n.cfg.Mirror.Revision()
	changes := n.cfg.Mirror.Load(items, r.Revision)
	if r.Revision >= from {
		n.confirmed = max(n.confirmed, now-fromMicros(r.ConfirmedAge))
	}
	n.tell(now, changes, from)
}

// Everything is the answer to another box's pull.
func (n *Node) Everything(now time.Duration) *wire.MirrorResponse {
	items, _ := pack(n.cfg.Mirror.Items())
	return &wire.MirrorResponse{Revision: n.cfg.Mirror.Revision(), Items: items, ConfirmedAge: micros(now - n.confirmed),
		DoubtLeft: micros(max(0, n.doubt-now))}
}

// pack makes the wire's items, and says how many bytes they take.
func pack(list []mirror.Item) ([]*wire.GroupItem, int) {
	size := 0
	out := make([]*wire.GroupItem, 0, len(list))
	for _, it := range list {
		w := &wire.GroupItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Gone: it.Gone}
		if len(w.Value) >= packFrom {
			w.Value, w.Packed = deflate(w.Value), true
		}
		size += len(w.Key) + len(w.Value) + 16
		out = append(out, w)
	}
	return out, size
}

// unpack reads the wire's items; false means that one of them cannot be read, so
// that none may be taken.
func unpack(list []*wire.GroupItem) ([]mirror.Item, bool) {
	out := make([]mirror.Item, 0, len(list))
	for _, w := range list {
		it := mirror.Item{Key: w.Key, Value: w.Value, Revision: w.Revision, Gone: w.Gone}
		if w.Packed {
			value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(w.Value)), maxUnpacked))
			if err != nil {
				return nil, false
			}
			it.Value = value
		}
		out = append(out, it)
	}
	return out, true
}

func deflate(b []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil // the level is a valid one
	}
	_, _ = w.Write(b) // a buffer takes all
	_ = w.Close()
	return out.Bytes()
}
