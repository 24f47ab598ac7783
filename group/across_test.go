package group

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/doormast/doormast/balance"
)

// layout is how boxes are divided.
type layout struct {
	domains, regions int
}

// across starts a fleet in domains of several regions, 30 ms apart; half of each domain's
// boxes start before the next one, and seeds are weak boxes of three domains.
func across(t testing.TB, seed uint64, l layout, boxes int) *world {
	w := newWorld(t, seed)
	w.regions, w.far = make(map[string]string), 30*time.Millisecond
	for d := range l.domains {
		w.regions[domainName(d)] = fmt.Sprintf("region%d", d%l.regions)
	}
	for d := range min(l.domains, 3) {
		w.seeds = append(w.seeds, boxName(d, boxes/l.domains-1))
	}
	for i := range boxes {
		w.start(boxName(i%l.domains, i/l.domains), domainName(i%l.domains), uint32(1000-i), true)
	}
	w.run(6 * time.Second)
	return w
}

// traffic is requests that the boxes of a world carry.
type traffic struct {
	*world
	layout     layout
	perSecond  float64 // of a box
	upstreams  int     // in all domains
	home       float64 // share of the requests that stay in their box's domain, and of the rest in its region
	running    map[string][]*carried
	parts      map[string][]balance.PartReport
	nextPart   uint32
	partsShare float64
}

// carried is a request that a box has under way.
type carried struct {
	key        balance.LoadKey
	load       balance.Load
	read, ends time.Duration // when its prompt is read, and its answer whole
}

const (
	// tokensPerMilli is how fast the upstreams of these tests read.
	tokensPerMilli = 30
	// answerTakes is how long the rest of an answer takes.
	answerTakes = 1500 * time.Millisecond
)

// pass lets time pass, with requests that come and end.
func (t *traffic) pass(d time.Duration) {
	for end := t.now + d; t.now < end; {
		for i, name := range t.names {
			t.step(i, name)
		}
		t.run(step)
	}
}

// step does what a box's requests do in one step.
func (t *traffic) step(i int, name string) {
	b := t.boxes[name]
	if b.dead {
		t.running[name] = nil
		return
	}
	before := len(t.running[name])
	changed := false
	t.running[name] = slices.DeleteFunc(t.running[name], func(c *carried) bool { return c.ends <= t.now })
	changed = len(t.running[name]) != before
	for _, c := range t.running[name] {
		if c.load.Unread > 0 && c.read <= t.now {
			c.load.Unread, changed = 0, true
		}
	}
	if t.random.Float64() < t.perSecond*step.Seconds() {
		t.running[name] = append(t.running[name], t.begin(i, name))
		changed = true
	}
	if (int(t.now/step)+i)%tickStep == 0 {
		b.node.AnnounceSentParts(t.parts[name])
		t.parts[name] = nil
		b.node.DrainSentParts()
		b.node.DrainLoadChanges()
	}
	if changed {
		b.node.SetLoads(t.loads(name))
	}
}

// begin starts a request at an upstream, and tells of a new part for some.
func (t *traffic) begin(i int, name string) *carried {
	upstream := t.random.IntN(t.upstreams)
	if domains := len(t.regions); t.random.Float64() < t.home {
		upstream += i%domains - upstream%domains
	} else if regions := t.layout.regions; t.random.Float64() < t.home {
		upstream += i%regions - upstream%regions
	}
	tokens := int(200 + 1800*t.random.ExpFloat64())
	read := t.now + time.Duration(tokens/tokensPerMilli)*time.Millisecond
	if t.random.Float64() < t.partsShare {
		t.nextPart++
		t.parts[name] = append(t.parts[name], balance.PartReport{Part: t.nextPart * 2654435761, Upstream: upstreamKey(upstream)})
	}
	return &carried{
		key:  balance.LoadKey{Upstream: upstreamKey(upstream), Urgency: t.random.IntN(3)},
		load: balance.Load{Unread: tokens, Open: 1, Held: tokens + 300},
		read: read,
		ends: read + answerTakes,
	}
}

// upstreamKey is a key that looks like a hash.
func upstreamKey(i int) uint32 { return uint32(i+1) * 2246822519 }

// loads is what a box has under way.
func (t *traffic) loads(name string) Loads {
	l := make(Loads)
	for _, c := range t.running[name] {
		l[c.key] = l[c.key].Plus(c.load)
	}
	return l
}

func newTraffic(w *world, l layout) *traffic {
	return &traffic{world: w, layout: l, perSecond: 7, upstreams: len(w.names) * 11 / 10, home: 0.7, partsShare: 0.3,
		running: make(map[string][]*carried), parts: make(map[string][]balance.PartReport)}
}

// unreadError is how far the boxes of a domain are from the truth about its upstreams, in
// tokens, a mean over boxes and upstreams; own says whether upstreams of the box's own domain
// are looked at, or all others.
func (t *traffic) unreadError(own bool) float64 {
	truth := make(Loads)
	for _, name := range t.names {
		addLoads(truth, t.loads(name))
	}
	domains := len(t.regions)
	sum, count := 0.0, 0
	for i, name := range t.names {
		mine, others := t.loads(name), t.boxes[name].node.OtherLoads()
		for u := range t.upstreams {
			if (u%domains == i%domains) != own {
				continue
			}
			off := 0
			for urgency := range 3 {
				key := balance.LoadKey{Upstream: upstreamKey(u), Urgency: urgency}
				off += truth[key].Unread - others[key].Unread - mine[key].Unread
			}
			sum += max(float64(off), -float64(off))
			count++
		}
	}
	return sum / float64(count)
}

// BenchmarkAcross tells what boxes say to each other under load, with 30, 100 and 300 boxes
// in three domains of one region and in six of three: bytes a second of the busiest box and of
// the middle one, over all boxes between domains and between regions, and the two kinds that
// weigh most of each; datagram heads excluded. What boxes believe of prompts before upstreams
// is compared with the truth.
func BenchmarkAcross(b *testing.B) {
	for _, l := range []layout{{3, 1}, {6, 3}} {
		for _, boxes := range []int{30, 100, 300} {
			b.Run(fmt.Sprintf("domains=%d/regions=%d/boxes=%d", l.domains, l.regions, boxes), func(b *testing.B) {
				for range b.N {
					benchAcross(b, l, boxes)
				}
			})
		}
	}
}

func benchAcross(b *testing.B, l layout, boxes int) {
	t := newTraffic(across(b, 1, l, boxes), l)
	t.pass(3 * time.Second)
	clear(t.sent)
	clear(t.kinds)
	const span, looks = 5.0, 10
	own, other := 0.0, 0.0
	for range looks {
		t.pass(time.Duration(span / looks * float64(time.Second)))
		own += t.unreadError(true) / looks
		other += t.unreadError(false) / looks
	}
	var sent []int
	for _, name := range t.names {
		sent = append(sent, t.sent[name])
	}
	slices.Sort(sent)
	b.ReportMetric(float64(sent[len(sent)-1])/span, "busiest-B/s")
	b.ReportMetric(float64(sent[len(sent)/2])/span, "middle-B/s")
	b.ReportMetric(own, "own-tokens-off")
	b.ReportMetric(other, "other-tokens-off")
	var keys []sentKey
	reaches := make(map[Reach]int)
	for key, bytes := range t.kinds {
		keys = append(keys, key)
		reaches[key.reach] += bytes
	}
	for reach, bytes := range reaches {
		b.ReportMetric(float64(bytes)/span, string(reach)[:5]+"-B/s")
	}
	slices.SortFunc(keys, func(x, y sentKey) int { return cmp.Compare(t.kinds[y], t.kinds[x]) })
	for _, key := range keys[:min(len(keys), 9)] {
		b.Logf("%-14s %-13s %10.0f B/s", key.kind, key.reach, float64(t.kinds[key])/span)
	}
}
