package group

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/doormast/doormast/balance"
)

// layout is the number of domains and regions of a fleet.
type layout struct {
	domains, regions int
}

// startRegions starts a fleet in domains of several regions that are 30 ms apart. Half of each
// domain's boxes start before those of the next one. The seeds are weak boxes of three domains.
func startRegions(t testing.TB, seed uint64, l layout, boxes int) *simulation {
	return startRegionsWithLinks(t, seed, l, boxes, 0)
}

// startRegionsWithLinks is startRegions with links of a capacity in bytes per second, which boxes know;
// 0: unlimited.
func startRegionsWithLinks(t testing.TB, seed uint64, l layout, boxes int, linkRate float64) *simulation {
	w := newSimulation(t, seed)
	w.datagramRate = linkRate
	w.regions, w.regionDelay = make(map[string]string), 30*time.Millisecond
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

// workload simulates the requests handled by the boxes of a simulation.
type workload struct {
	*simulation
	layout       layout
	perSecond    float64 // of each box
	upstreams    int     // in all domains
	localShare   float64 // fraction of requests that stay in their box's domain, and of the rest in its region
	running      map[string][]*runningRequest
	parts        map[string][]balance.PartReport
	nextPart     uint32
	newPartShare float64
}

// runningRequest is a request that a box has in progress.
type runningRequest struct {
	key            balance.LoadKey
	load           balance.Load
	readAt, endsAt time.Duration // when its prompt has been read, and when its answer is complete
}

const (
	// readTokensPerMilli is the simulated reading speed of an upstream.
	readTokensPerMilli = 30
	// answerTime is the time from the end of reading to the end of the answer.
	answerTime = 1500 * time.Millisecond
)

// advance runs the simulation while requests arrive and end.
func (t *workload) advance(d time.Duration) {
	for end := t.now + d; t.now < end; {
		for i, name := range t.names {
			t.step(i, name)
		}
		t.run(step)
	}
}

// step handles the requests of one box in one simulation step.
func (t *workload) step(i int, name string) {
	b := t.boxes[name]
	if b.dead {
		t.running[name] = nil
		return
	}
	before := len(t.running[name])
	changed := false
	t.running[name] = slices.DeleteFunc(t.running[name], func(c *runningRequest) bool { return c.endsAt <= t.now })
	changed = len(t.running[name]) != before
	for _, c := range t.running[name] {
		if c.load.Unread > 0 && c.readAt <= t.now {
			c.load.Unread, changed = 0, true
		}
	}
	if t.random.Float64() < t.perSecond*step.Seconds() {
		t.running[name] = append(t.running[name], t.startRequest(i, name))
		changed = true
	}
	if (int(t.now/step)+i)%stepsPerTick == 0 {
		b.node.AnnounceSentParts(t.parts[name])
		t.parts[name] = nil
		b.node.DrainSentParts()
		b.node.DrainLoadChanges()
	}
	if changed {
		b.node.SetLoads(t.loads(name))
	}
}

// startRequest starts a request at an upstream and, for some requests, announces a new prompt
// part.
func (t *workload) startRequest(i int, name string) *runningRequest {
	upstream := t.random.IntN(t.upstreams)
	if domains := len(t.regions); t.random.Float64() < t.localShare {
		upstream += i%domains - upstream%domains
	} else if regions := t.layout.regions; t.random.Float64() < t.localShare {
		upstream += i%regions - upstream%regions
	}
	tokens := int(200 + 1800*t.random.ExpFloat64())
	readAt := t.now + time.Duration(tokens/readTokensPerMilli)*time.Millisecond
	if t.random.Float64() < t.newPartShare {
		t.nextPart++
		t.parts[name] = append(t.parts[name], balance.PartReport{Part: t.nextPart * 2654435761, Upstream: upstreamKey(upstream)})
	}
	return &runningRequest{
		key:    balance.LoadKey{Upstream: upstreamKey(upstream), Urgency: t.random.IntN(3)},
		load:   balance.Load{Unread: tokens, Requests: 1, MemoryTokens: tokens + 300},
		readAt: readAt,
		endsAt: readAt + answerTime,
	}
}

// upstreamKey returns a distinct key that looks like a hash.
func upstreamKey(i int) uint32 { return uint32(i+1) * 2246822519 }

// loads returns the loads of a box.
func (t *workload) loads(name string) Loads {
	l := make(Loads)
	for _, c := range t.running[name] {
		l[c.key] = l[c.key].Plus(c.load)
	}
	return l
}

func newWorkload(w *simulation, l layout) *workload {
	return &workload{simulation: w, layout: l, perSecond: 7, upstreams: len(w.names) * 11 / 10, localShare: 0.7, newPartShare: 0.3,
		running: make(map[string][]*runningRequest), parts: make(map[string][]balance.PartReport)}
}

// unreadError returns the difference between the unread tokens per upstream that boxes assume and
// the actual ones, averaged over boxes and upstreams. ownDomain selects the upstreams of each
// box's own domain, otherwise all others are compared.
func (t *workload) unreadError(ownDomain bool) float64 {
	actual := make(Loads)
	for _, name := range t.names {
		addLoads(actual, t.loads(name))
	}
	domains := len(t.regions)
	sum, count := 0.0, 0
	for i, name := range t.names {
		own, others := t.loads(name), t.boxes[name].node.OtherLoads()
		for u := range t.upstreams {
			if (u%domains == i%domains) != ownDomain {
				continue
			}
			diff := 0
			for urgency := range 3 {
				key := balance.LoadKey{Upstream: upstreamKey(u), Urgency: urgency}
				diff += actual[key].Unread - others[key].Unread - own[key].Unread
			}
			sum += max(float64(diff), -float64(diff))
			count++
		}
	}
	return sum / float64(count)
}

// BenchmarkRegionTraffic measures the messages between boxes under load, with 30, 100 and 300
// boxes in three domains of one region and in six domains of three regions. It reports bytes per
// second of the busiest and the median box and by reach, without datagram headers, and logs the
// largest kinds of messages. It also reports the error of the loads that boxes assume.
func BenchmarkRegionTraffic(b *testing.B) {
	for _, l := range []layout{{3, 1}, {6, 3}} {
		for _, boxes := range []int{30, 100, 300} {
			b.Run(fmt.Sprintf("domains=%d/regions=%d/boxes=%d", l.domains, l.regions, boxes), func(b *testing.B) {
				for range b.N {
					benchRegionTraffic(b, l, boxes)
				}
			})
		}
	}
}

func benchRegionTraffic(b *testing.B, l layout, boxes int) {
	t := newWorkload(startRegions(b, 1, l, boxes), l)
	t.advance(3 * time.Second)
	clear(t.bytesByBox)
	clear(t.bytesByKind)
	const span, samples = 5.0, 10
	ownError, otherError := 0.0, 0.0
	for range samples {
		t.advance(time.Duration(span / samples * float64(time.Second)))
		ownError += t.unreadError(true) / samples
		otherError += t.unreadError(false) / samples
	}
	var sent []int
	for _, name := range t.names {
		sent = append(sent, t.bytesByBox[name])
	}
	slices.Sort(sent)
	b.ReportMetric(float64(sent[len(sent)-1])/span, "busiest-B/s")
	b.ReportMetric(float64(sent[len(sent)/2])/span, "middle-B/s")
	b.ReportMetric(ownError, "own-tokens-off")
	b.ReportMetric(otherError, "other-tokens-off")
	var keys []sentKey
	reaches := make(map[Reach]int)
	for key, bytes := range t.bytesByKind {
		keys = append(keys, key)
		reaches[key.reach] += bytes
	}
	for reach, bytes := range reaches {
		b.ReportMetric(float64(bytes)/span, string(reach)[:5]+"-B/s")
	}
	slices.SortFunc(keys, func(x, y sentKey) int { return cmp.Compare(t.bytesByKind[y], t.bytesByKind[x]) })
	for _, key := range keys[:min(len(keys), 9)] {
		b.Logf("%-14s %-13s %10.0f B/s", key.kind, key.reach, float64(t.bytesByKind[key])/span)
	}
}
