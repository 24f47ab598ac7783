package group

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// simulation connects real nodes by a simulated network and publisher on a virtual clock.
type simulation struct {
	t                testing.TB
	now              time.Duration
	random           *rand.Rand
	boxes            map[string]*testBox
	names            []string // in the order of their first starts
	seeds            []string
	inFlight         []packet
	published        *mirror.Mirror
	publisherDown    bool            // the publisher is down
	refusedBoxes     map[string]bool // boxes that the publisher refuses
	failureDelay     time.Duration   // how much longer than its wait a call takes that gets no answer
	cutDomains       map[string]bool // domains cut off from the others
	domainCount      int             // number of domains in the settings; 0: not set
	isolated         map[string]bool // boxes cut off from all others
	lossRate         float64
	datagramDelay    time.Duration // additional delay of all datagrams
	publisherCalls   int
	totalBytes       int
	bytesByBox       map[string]int  // bytes, by box
	bytesByKind      map[sentKey]int // bytes
	messagesByKind   map[sentKey]int
	regions          map[string]string              // by domain; empty: there are no regions
	regionDelay      time.Duration                  // one-way delay between regions
	linkCut          func(a, b *wire.GroupBox) bool // selects further links that are cut; nil: none
	snapshotDelay    time.Duration                  // how long a box answers no pulls after it has received all data
	linkRate         float64                        // bytes per second a box can send in answers to pulls; 0: unlimited
	datagramRate     float64                        // bytes per second a box can send in datagrams; 0: unlimited
	pages            pagedPublisher
	pulls            []pullTransfer
	snapshotsPulled  int      // number of times a box received all data
	crossDomainPulls int      // pulls answered across a domain boundary
	encoded          Outgoing // the message whose encoding is in encodedBytes; one message may have many receivers
	encodedBytes     []byte
}

// sentKey is the key by which sent bytes and messages are counted.
type sentKey struct {
	kind  Kind
	reach Reach
}

type packet struct {
	arrivesAt time.Duration
	from      string
	to        string
	data      []byte
}

// pullTransfer is the answer to a pull in transit.
type pullTransfer struct {
	requestedAt time.Duration
	endsAt      time.Duration // when it arrives or times out
	to          *testBox
	response    *wire.MirrorResponse // nil: it timed out
}

type testBox struct {
	self              *wire.GroupBox
	node              *Node
	mirror            *mirror.Mirror
	dead              bool
	frozen            bool
	callEndsAt        time.Duration // when the call in progress ends; 0: none
	callTimeout       time.Duration // maximum wait for a change of the call in progress
	nextCallAt        time.Duration // when the next call may start
	callRevision      uint64        // revision after which the call requests changes
	callReadsAll      bool
	callStartedAt     time.Duration
	nextPage          int           // next page of all data; earlier ones were received
	awaitsPage        bool          // a page was requested
	pageRequestedAt   time.Duration // when the page was requested
	pullRunning       bool          // a pull is in progress
	busyUntil         time.Duration // until when it answers no pulls after receiving all data
	linkBusyUntil     time.Duration // until when its link is busy with answers to pulls
	datagramsUntil    time.Duration // until when its link is busy with datagrams
	readFailures      int           // consecutive failed reads
	dataKnownAt       time.Duration // when it first held the published data; 0: not yet
	documentRevisions []uint64      // revisions of the document it applied, in order
}

const documentKey = "document"

func newSimulation(t testing.TB, seed uint64) *simulation {
	w := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), boxes: make(map[string]*testBox), published: mirror.New(),
		refusedBoxes: make(map[string]bool), cutDomains: make(map[string]bool), isolated: make(map[string]bool), bytesByBox: make(map[string]int), bytesByKind: make(map[sentKey]int), messagesByKind: make(map[sentKey]int)}
	w.published.Load([]mirror.Item{{Key: documentKey, Value: []byte("1"), Revision: 1}}, 1)
	return w
}

// start starts or restarts a box.
func (w *simulation) start(name, domain string, strength uint32, first bool) *testBox {
	b := &testBox{mirror: mirror.New(), self: &wire.GroupBox{Name: name, Domain: domain, Region: w.regions[domain], Address: name, Pulls: name,
		Strength: strength, Boot: uint64(w.now) + 1}}
	if w.boxes[name] == nil {
		w.names = append(w.names, name)
	}
	w.boxes[name] = b
	b.node = NewNode(Config{Self: b.self, Seeds: w.seeds, Timing: DefaultTiming, Mirror: b.mirror, FirstStart: first, DomainCount: w.domainCount, LinkRate: w.datagramRate,
		OnChange: func(items []mirror.Item) {
			for _, it := range items {
				if it.Key == documentKey {
					b.documentRevisions = append(b.documentRevisions, it.Revision)
				}
			}
		}}, w.now)
	return b
}

// publish changes an item and returns its revision.
func (w *simulation) publish(key, value string) uint64 {
	r := w.published.Revision()
	w.published.Apply(r, r+1, []mirror.Item{{Key: key, Value: []byte(value), Revision: r + 1}})
	return r + 1
}

const (
	step         = 5 * time.Millisecond
	stepsPerTick = 20 // steps between two ticks of a node
)

// run advances the simulation.
func (w *simulation) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += step
		w.deliver()
		w.endPulls()
		w.servePages()
		for i, name := range w.names {
			b := w.boxes[name]
			if b.dead || b.frozen {
				continue
			}
			if (int(w.now/step)+i)%stepsPerTick == 0 {
				b.node.Tick(w.now)
			}
			w.readPublisher(b)
			b.node.FlushLoads(w.now)
			w.sendOutgoing(b)
			if b.dataKnownAt == 0 && b.mirror.Revision() > 0 {
				b.dataKnownAt = w.now
			}
		}
	}
}

func (w *simulation) deliver() {
	var remaining, due []packet
	for _, p := range w.inFlight {
		if p.arrivesAt <= w.now {
			due = append(due, p)
		} else {
			remaining = append(remaining, p)
		}
	}
	w.inFlight = remaining
	sort.SliceStable(due, func(i, j int) bool { return due[i].arrivesAt < due[j].arrivesAt })
	for _, p := range due {
		b := w.boxes[p.to]
		if b == nil || b.dead || w.isCut(p.from, p.to) {
			continue
		}
		if b.frozen {
			p.arrivesAt = w.now + step
			w.inFlight = append(w.inFlight, p)
			continue
		}
		m := new(wire.GroupMessage)
		if err := proto.Unmarshal(p.data, m); err != nil {
			w.t.Fatal(err)
		}
		b.node.Handle(w.now, m)
		w.sendOutgoing(b)
	}
}

func (w *simulation) isCut(a, b string) bool {
	x, y := w.boxes[a], w.boxes[b]
	if x == nil || y == nil || w.isolated[a] || w.isolated[b] {
		return true
	}
	if x.self.Domain == y.self.Domain {
		return false
	}
	if w.linkCut != nil && w.linkCut(x.self, y.self) {
		return true
	}
	return w.cutDomains[x.self.Domain] || w.cutDomains[y.self.Domain]
}

// sendOutgoing sends the messages and starts the pull that a node asks for.
func (w *simulation) sendOutgoing(b *testBox) {
	out, pull := b.node.Drain()
	for _, o := range out {
		if o.Message != w.encoded.Message {
			data, err := proto.Marshal(o.Message)
			if err != nil {
				w.t.Fatal(err)
			}
			w.encoded, w.encodedBytes = o, data
		}
		data := w.encodedBytes
		w.totalBytes += len(data)
		w.bytesByBox[b.self.Name] += len(data)
		key := sentKey{KindOf(o.Message), o.Reach}
		w.bytesByKind[key] += len(data)
		w.messagesByKind[key]++
		if w.random.Float64() < w.lossRate {
			continue
		}
		delay := w.datagramDelay + time.Duration(w.random.IntN(4))*step + w.queueOnLink(b, len(data))
		if o.Reach == ReachOtherRegion {
			delay += w.regionDelay
		}
		w.inFlight = append(w.inFlight, packet{w.now + delay, b.self.Name, o.To, data})
	}
	if other := w.boxes[pull]; pull != "" && other != nil && !other.dead && !w.isCut(b.self.Name, pull) {
		w.startPull(b, other)
	}
}

// queueOnLink returns how long a datagram waits for the sender's link and occupies it.
func (w *simulation) queueOnLink(b *testBox, size int) time.Duration {
	if w.datagramRate == 0 {
		return 0
	}
	b.datagramsUntil = max(b.datagramsUntil, w.now) + time.Duration(float64(size+datagramOverhead)/w.datagramRate*float64(time.Second))
	return b.datagramsUntil - w.now
}

// datagramOverhead is the size of the headers of a datagram.
const datagramOverhead = 28

// pullTimeout is the longest time that a pull may take.
const pullTimeout = 1500 * time.Millisecond

// startPull starts the transfer of all data from one box to another, over the link of the sender.
func (w *simulation) startPull(b, from *testBox) {
	if w.linkRate == 0 {
		b.node.HandlePullResponse(w.now, w.now, from.node.Snapshot(w.now, true))
		return
	}
	if b.pullRunning {
		return
	}
	b.pullRunning = true
	r := from.node.AnswerPull(w.now, &wire.MirrorRequest{Packed: true, Domain: b.self.Domain, Region: b.self.Region, Pulls: b.self.Pulls, After: b.mirror.Revision()})
	if r.BusyLeft == 0 && r.Revision > 0 && b.self.Domain != from.self.Domain {
		w.crossDomainPulls++
	}
	from.linkBusyUntil = max(from.linkBusyUntil, w.now, from.busyUntil) + time.Duration(float64(proto.Size(r))/w.linkRate*float64(time.Second))
	p := pullTransfer{requestedAt: w.now, endsAt: from.linkBusyUntil + 2*step, to: b, response: r}
	if b.self.Region != from.self.Region {
		p.endsAt += 2 * w.regionDelay
	}
	if p.endsAt > w.now+pullTimeout {
		p.endsAt, p.response = w.now+pullTimeout, nil
	}
	w.pulls = append(w.pulls, p)
}

// endPulls completes the pulls that are due. A further pull that a box requests then is separate.
func (w *simulation) endPulls() {
	var due []pullTransfer
	w.pulls = slices.DeleteFunc(w.pulls, func(p pullTransfer) bool {
		if p.endsAt > w.now {
			return false
		}
		due = append(due, p)
		return true
	})
	for _, p := range due {
		if b := p.to; w.boxes[b.self.Name] == b && !b.dead {
			w.endPull(b, p)
		}
	}
}

// endPull delivers the result of a pull.
func (w *simulation) endPull(b *testBox, p pullTransfer) {
	b.pullRunning = false
	if p.response == nil {
		b.node.PullFailed()
	} else {
		b.node.HandlePullResponse(w.now, p.requestedAt, p.response)
	}
	if p.response != nil && p.response.BusyLeft == 0 && p.response.From == 0 {
		w.snapshotsPulled++
		b.busyUntil = w.now + w.snapshotDelay
	}
	w.sendOutgoing(b)
}

// readPublisher performs the calls to the publisher that a node asks for.
func (w *simulation) readPublisher(b *testBox) {
	if b.mirror.Revision() == 0 && w.pages.perSecond > 0 {
		w.requestPage(b)
		return
	}
	if b.callEndsAt == 0 {
		if w.now < b.nextCallAt || !b.node.ShouldRead(w.now) {
			return
		}
		w.publisherCalls++
		b.callRevision, b.callReadsAll, b.callStartedAt = b.mirror.Revision(), b.mirror.Revision() == 0, w.now
		b.callTimeout = b.node.WatchTimeout(w.now)
		b.callEndsAt = w.now + b.callTimeout
		if b.callReadsAll {
			b.callEndsAt = w.now + step
		}
	}
	unavailable := w.publisherDown || w.refusedBoxes[b.self.Name]
	changed := !b.callReadsAll && w.published.Revision() > b.callRevision
	if w.now < b.callEndsAt && (unavailable || !changed) || unavailable && w.now < b.callEndsAt+w.failureDelay {
		return
	}
	b.callEndsAt = 0
	switch items, known := w.published.Since(b.callRevision); {
	case unavailable:
		b.node.ReadFailed(w.now)
	case b.callReadsAll || !known:
		b.node.HandleRead(w.now, b.callStartedAt, w.published.Items(), w.published.Revision(), true)
	case !changed:
		b.node.HandleRead(w.now, b.callStartedAt+b.callTimeout, nil, b.callRevision, false)
	default:
		b.nextCallAt = w.now + DefaultTiming.BatchDelay
		b.node.HandleRead(w.now, b.callStartedAt, items, w.published.Revision(), false)
	}
}

// startFleet starts boxes in several domains, the strongest of each domain first.
func (w *simulation) startFleet(domains, boxes int) {
	for d := range domains {
		w.seeds = append(w.seeds, boxName(d, boxes/2))
	}
	for d := range domains {
		for i := range boxes {
			w.start(boxName(d, i), domainName(d), uint32(100-i), true)
			w.run(step)
		}
	}
}

func boxName(domain, box int) string { return fmt.Sprintf("%s-%02d", domainName(domain), box) }

func domainName(domain int) string { return fmt.Sprintf("domain%d", domain) }

// staleBoxes lists the running boxes whose copy is not current.
func (w *simulation) staleBoxes() []string {
	var list []string
	for _, name := range w.names {
		b := w.boxes[name]
		if !b.dead && !b.frozen && b.mirror.Revision() != w.published.Revision() {
			list = append(list, name)
		}
	}
	return list
}
