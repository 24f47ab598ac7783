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

// world joins real nodes by a fake network and a fake publisher on a virtual clock.
type world struct {
	t         testing.TB
	now       time.Duration
	random    *rand.Rand
	boxes     map[string]*testBox
	names     []string // in the order of their starts
	seeds     []string
	flying    []flight
	published *mirror.Mirror
	down      bool            // the publisher
	refused   map[string]bool // boxes that the publisher turns away
	cut       map[string]bool // domains cut off from the others
	domains   int             // how many there are, as settings list them; 0: they do not
	alone     map[string]bool // boxes cut off from all others
	loss      float64
	calls     int
	bytes     int
	sent      map[string]int  // bytes, by box
	kinds     map[sentKey]int // bytes
	messages  map[sentKey]int
	regions   map[string]string              // of domains; empty: they are not divided
	far       time.Duration                  // the way from one region to another
	severs    func(a, b *wire.GroupBox) bool // links that are cut besides; nil: none
	takesIn   time.Duration                  // how long a box answers nobody once it has pulled everything
	link      float64                        // bytes a second that a box can send to those that pull from it; 0: any number
	store     pagedStore
	pulls     []pulling
	pulled    int      // times that a box got everything
	crossed   int      // pulls answered across the edge of a domain
	packed    Outgoing // whose bytes are in packedAs: one message may go to many
	packedAs  []byte
}

// sentKey is what bytes are counted by.
type sentKey struct {
	kind  Kind
	reach Reach
}

type flight struct {
	at   time.Duration
	from string
	to   string
	data []byte
}

// pulling is everything on its way from one box to another.
type pulling struct {
	asked time.Duration
	at    time.Duration // when it is there, or given up on
	to    *testBox
	what  *wire.MirrorResponse // nil: it took too long
}

type testBox struct {
	self      *wire.GroupBox
	node      *Node
	copy      *mirror.Mirror
	dead      bool
	frozen    bool
	reading   time.Duration // when the call under way ends; 0: none
	waits     time.Duration // for a change, of the call under way
	next      time.Duration // when the next call may begin
	asked     uint64        // revision behind which it asks
	whole     bool
	began     time.Duration
	page      int           // the next one of everything; those before it were read
	asking    bool          // a page is on its way
	askedAt   time.Duration // since when
	pulls     bool          // a pull is
	takesTill time.Duration // until when it takes in what it pulled
	sends     time.Duration // until when its link is busy with pulls
	fails     int           // readings that failed, in a row
	known     time.Duration // when it first knew what is published; 0: not yet
	taken     []uint64      // revisions of the document it took, in order
}

const documentKey = "document"

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), boxes: make(map[string]*testBox), published: mirror.New(),
		refused: make(map[string]bool), cut: make(map[string]bool), alone: make(map[string]bool), sent: make(map[string]int), kinds: make(map[sentKey]int), messages: make(map[sentKey]int)}
	w.published.Load([]mirror.Item{{Key: documentKey, Value: []byte("1"), Revision: 1}}, 1)
	return w
}

// start starts a box, or starts it again.
func (w *world) start(name, domain string, strength uint32, first bool) *testBox {
	b := &testBox{copy: mirror.New(), self: &wire.GroupBox{Name: name, Domain: domain, Region: w.regions[domain], Address: name, Pulls: name,
		Strength: strength, Boot: uint64(w.now) + 1}}
	if w.boxes[name] == nil {
		w.names = append(w.names, name)
	}
	w.boxes[name] = b
	b.node = NewNode(Config{Self: b.self, Seeds: w.seeds, Timing: DefaultTiming, Mirror: b.copy, FirstStart: first, DomainCount: w.domains,
		OnChange: func(items []mirror.Item) {
			for _, it := range items {
				if it.Key == documentKey {
					b.taken = append(b.taken, it.Revision)
				}
			}
		}}, w.now)
	return b
}

// publish changes an item.
func (w *world) publish(key, value string) uint64 {
	r := w.published.Revision()
	w.published.Apply(r, r+1, []mirror.Item{{Key: key, Value: []byte(value), Revision: r + 1}})
	return r + 1
}

const (
	step     = 5 * time.Millisecond
	tickStep = 20 // steps between two ticks of a node
)

// run lets time pass.
func (w *world) run(d time.Duration) {
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
			if (int(w.now/step)+i)%tickStep == 0 {
				b.node.Tick(w.now)
			}
			w.read(b)
			b.node.FlushLoads(w.now)
			w.collect(b)
			if b.known == 0 && b.copy.Revision() > 0 {
				b.known = w.now
			}
		}
	}
}

func (w *world) deliver() {
	var later, due []flight
	for _, f := range w.flying {
		if f.at <= w.now {
			due = append(due, f)
		} else {
			later = append(later, f)
		}
	}
	w.flying = later
	sort.SliceStable(due, func(i, j int) bool { return due[i].at < due[j].at })
	for _, f := range due {
		b := w.boxes[f.to]
		if b == nil || b.dead || w.severed(f.from, f.to) {
			continue
		}
		if b.frozen {
			f.at = w.now + step
			w.flying = append(w.flying, f)
			continue
		}
		m := new(wire.GroupMessage)
		if err := proto.Unmarshal(f.data, m); err != nil {
			w.t.Fatal(err)
		}
		b.node.Handle(w.now, m)
		w.collect(b)
	}
}

func (w *world) severed(a, b string) bool {
	x, y := w.boxes[a], w.boxes[b]
	if x == nil || y == nil || w.alone[a] || w.alone[b] {
		return true
	}
	if x.self.Domain == y.self.Domain {
		return false
	}
	if w.severs != nil && w.severs(x.self, y.self) {
		return true
	}
	return w.cut[x.self.Domain] || w.cut[y.self.Domain]
}

// collect takes the messages a node wants sent.
func (w *world) collect(b *testBox) {
	out, pull := b.node.Drain()
	for _, o := range out {
		if o.Message != w.packed.Message {
			data, err := proto.Marshal(o.Message)
			if err != nil {
				w.t.Fatal(err)
			}
			w.packed, w.packedAs = o, data
		}
		data := w.packedAs
		w.bytes += len(data)
		w.sent[b.self.Name] += len(data)
		key := sentKey{KindOf(o.Message), o.Reach}
		w.kinds[key] += len(data)
		w.messages[key]++
		if w.random.Float64() < w.loss {
			continue
		}
		delay := time.Duration(w.random.IntN(4)) * step
		if o.Reach == ReachFar {
			delay += w.far
		}
		w.flying = append(w.flying, flight{w.now + delay, b.self.Name, o.To, data})
	}
	if other := w.boxes[pull]; pull != "" && other != nil && !other.dead && !w.severed(b.self.Name, pull) {
		w.pull(b, other)
	}
}

// pullWait is the longest that a pull may take.
const pullWait = 1500 * time.Millisecond

// pull begins to send everything from one box to another, over the link of the one that has it.
func (w *world) pull(b, from *testBox) {
	if w.link == 0 {
		b.node.HandlePullResponse(w.now, w.now, from.node.Everything(w.now, true))
		return
	}
	if b.pulls {
		return
	}
	b.pulls = true
	r := from.node.AnswerPull(w.now, &wire.MirrorRequest{Packed: true, Domain: b.self.Domain, Region: b.self.Region, Pulls: b.self.Pulls, After: b.copy.Revision()})
	if r.BusyLeft == 0 && r.Revision > 0 && b.self.Domain != from.self.Domain {
		w.crossed++
	}
	from.sends = max(from.sends, w.now, from.takesTill) + time.Duration(float64(proto.Size(r))/w.link*float64(time.Second))
	p := pulling{asked: w.now, at: from.sends + 2*step, to: b, what: r}
	if b.self.Region != from.self.Region {
		p.at += 2 * w.far
	}
	if p.at > w.now+pullWait {
		p.at, p.what = w.now+pullWait, nil
	}
	w.pulls = append(w.pulls, p)
}

// endPulls hands in the pulls that have come to their end. What a box then asks for is a pull of its own.
func (w *world) endPulls() {
	var due []pulling
	w.pulls = slices.DeleteFunc(w.pulls, func(p pulling) bool {
		if p.at > w.now {
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

// endPull hands in what a box has pulled.
func (w *world) endPull(b *testBox, p pulling) {
	b.pulls = false
	if p.what == nil {
		b.node.PullFailed()
	} else {
		b.node.HandlePullResponse(w.now, p.asked, p.what)
	}
	if p.what != nil && p.what.BusyLeft == 0 && p.what.From == 0 {
		w.pulled++
		b.takesTill = w.now + w.takesIn
	}
	w.collect(b)
}

// read makes the calls to the publisher that a node wants made.
func (w *world) read(b *testBox) {
	if b.copy.Revision() == 0 && w.store.perSecond > 0 {
		w.readPages(b)
		return
	}
	if b.reading == 0 {
		if w.now < b.next || !b.node.ShouldRead(w.now) {
			return
		}
		w.calls++
		b.asked, b.whole, b.began = b.copy.Revision(), b.copy.Revision() == 0, w.now
		b.waits = b.node.WatchTimeout(w.now)
		b.reading = w.now + b.waits
		if b.whole {
			b.reading = w.now + step
		}
	}
	away := w.down || w.refused[b.self.Name]
	news := !b.whole && w.published.Revision() > b.asked
	if w.now < b.reading && (away || !news) {
		return
	}
	b.reading = 0
	switch items, known := w.published.Since(b.asked); {
	case away:
		b.node.ReadFailed()
	case b.whole || !known:
		b.node.HandleRead(w.now, b.began, w.published.Items(), w.published.Revision(), true)
	case !news:
		b.node.HandleRead(w.now, b.began+b.waits, nil, b.asked, false)
	default:
		b.next = w.now + DefaultTiming.Gather
		b.node.HandleRead(w.now, b.began, items, w.published.Revision(), false)
	}
}

// fleet starts boxes in domains, the first of each the strongest.
func (w *world) fleet(domains, boxes int) {
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

// behind lists the living boxes whose copy is not the newest.
func (w *world) behind() []string {
	var list []string
	for _, name := range w.names {
		b := w.boxes[name]
		if !b.dead && !b.frozen && b.copy.Revision() != w.published.Revision() {
			list = append(list, name)
		}
	}
	return list
}
