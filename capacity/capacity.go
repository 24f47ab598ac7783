// Package capacity measures marginal costs (slopes): the bytes, processor time and
// memory that one more box, request, stream or table row takes. From them it
// extrapolates what each role of a box needs at the target size. Every figure in
// the generated page, docs/CAPACITY.md, is computed from the stored slopes.
package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/experiment"
	"github.com/doormast/doormast/internal/control"
	"github.com/doormast/doormast/internal/jsonc"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
)

// Slopes holds the measured marginal costs and the machine that they were measured on.
type Slopes struct {
	Date     string                    `json:"date"`
	Go       string                    `json:"go"`
	Cores    int                       `json:"cores"`
	Cells    []experiment.CellResult   `json:"cells"`
	Spread   []experiment.SpreadResult `json:"spread"`
	Wire     map[string]int            `json:"wire"`     // encoded bytes, by message type
	Memory   map[string]float64        `json:"memory"`   // heap bytes of one more item, by kind of item
	Decision []DecisionCost            `json:"decision"` // one entry for each number of waiting requests
	Table    TableCost                 `json:"table"`
	Edge     EdgeCost                  `json:"edge"`
	Sweeps   []Sweep                   `json:"sweeps"` // entered by hand; a new measurement keeps them
}

// DecisionCost is the cost to a set's owner of one bid, one release and the grant
// that follows.
type DecisionCost struct {
	Waiting   int     `json:"waiting"`
	Upstreams int     `json:"upstreams"`
	Nanos     float64 `json:"nanos"`
	Allocs    float64 `json:"allocs"`
}

// TableCost is the size of a table and the time to parse it and to apply a change.
type TableCost struct {
	Upstreams   int     `json:"upstreams"`
	Customers   int     `json:"customers"`
	Document    int     `json:"document"`     // bytes
	UpstreamRow float64 `json:"upstream_row"` // bytes of one more row
	CustomerRow float64 `json:"customer_row"`
	Parse       float64 `json:"parse"` // seconds
	Delta       int     `json:"delta"` // bytes of a delta that changes one row
	Apply       float64 `json:"apply"` // seconds
}

// EdgeCost is the cost to the daemon of requests and streams, less that of the same
// requests sent directly to the engine stand-in.
type EdgeCost struct {
	EventNanos   float64 `json:"event_nanos"`   // processor time of a streamed event
	EventAllocs  float64 `json:"event_allocs"`  // allocations of a streamed event
	RequestNanos float64 `json:"request_nanos"` // processor time of a request whose answer is one token
	StreamBytes  float64 `json:"stream_bytes"`  // memory for each of 1,000 open streams
	ManyBytes    float64 `json:"many_bytes"`    // memory for each of 4,000 open streams
	AddedMedian  float64 `json:"added_median"`  // microseconds added to the time to the first byte of an answer
	AddedP99     float64 `json:"added_p99"`
}

// Measure measures all slopes but the sweeps, and reports each stage to progress.
// It takes about two minutes.
func Measure(progress func(string)) (*Slopes, error) {
	s := &Slopes{Date: time.Now().UTC().Format(time.DateOnly), Go: runtime.Version(), Cores: runtime.NumCPU(),
		Wire: wireSizes(), Memory: make(map[string]float64)}
	for _, c := range cellConfigs() {
		progress(fmt.Sprintf("measuring control traffic: a domain of %d boxes and %d upstreams, %g requests/s per box", c.Boxes, c.Upstreams, c.Rate))
		s.Cells = append(s.Cells, experiment.MeasureCell(c))
	}
	for _, c := range []struct {
		boxes, dead int
		loss        float64
	}{{8, 0, 0}, {93, 0, 0}, {93, 0, 0.1}, {93, 2, 0.1}} {
		progress(fmt.Sprintf("measuring a table change: a domain of %d boxes, %d table readers failed", c.boxes, c.dead))
		s.Spread = append(s.Spread, experiment.MeasureSpread(c.boxes, c.dead, c.loss))
	}
	progress("measuring memory and decisions")
	measureMemory(s.Memory)
	for _, n := range []int{0, 100, 1000, 10000} {
		s.Decision = append(s.Decision, measureDecision(n))
	}
	progress("measuring tables")
	var err error
	if s.Table, err = measureTable(); err != nil {
		return nil, err
	}
	progress("measuring requests and streams through a daemon")
	s.Edge, err = measureEdge()
	return s, err
}

// overloadRate is the request rate in the overloaded domain, in requests a second
// for each box: twice the rate of the other runs.
const overloadRate = 80

// cellConfigs returns the failure domains to measure, from 3 boxes to the target's
// 93, idle and under load, and one that is overloaded.
func cellConfigs() []experiment.CellConfig {
	var out []experiment.CellConfig
	for _, rate := range []float64{0, 41} {
		for _, boxes := range []int{3, 8, 24, 47, 93} {
			out = append(out, experiment.CellConfig{Boxes: boxes, Upstreams: boxes * 345 / 93, Sets: max(1, boxes*28/93),
				Slots: 165, Rate: rate, Seconds: 25})
		}
	}
	// Twice the request rate offers 1.5 times the upstreams' capacity.
	return append(out, experiment.CellConfig{Boxes: 93, Upstreams: 345, Sets: 28, Slots: 165, Rate: overloadRate, Seconds: 15})
}

// wireSizes returns the encoded bytes of each message type, with names of typical
// length.
func wireSizes() map[string]int {
	const set, box, upstream, id = "model-12", "box-0123", "runner-0123", uint64(1) << 60
	return map[string]int{
		"heartbeat": control.Size(&cell.Heartbeat{Counter: 100000, Table: 20000, Digest: id, Roster: 20000, Probe: true}),
		"sighting": control.Size(&cell.Heartbeat{Sightings: []cell.Sighting{{Box: box, Boot: id, Counter: 100000, Roster: 20000, State: 2}}}) -
			control.Size(&cell.Heartbeat{}),
		"bid": control.Size(&cell.Bid{Set: set, Bid: decide.Bid{ID: id, Class: "question", Customer: "customer-123",
			Waited: time.Millisecond, Work: 250, Prefix: id}}),
		"grant":    control.Size(&cell.Grant{Set: set, ID: id, Upstream: upstream, StartBy: time.Second, KeepFor: time.Second}),
		"release":  control.Size(&cell.Release{Set: set, ID: id, Upstream: upstream, Tokens: 250, TimePerToken: 40 * time.Millisecond, TimeToFirstToken: 100 * time.Millisecond}),
		"holding":  control.Size(&cell.Holding{Set: set, Count: 20, Digest: id}),
		"claim":    control.Size(&cell.Claim{Key: "dmd1:domain-12:1800000000000:0123456789abcdef", ID: id}),
		"ask":      control.Size(&cell.Ask{Limit: "customer/customer-123/rate", Want: 1}),
		"lend":     control.Size(&cell.Lend{Limit: "customer/customer-123/rate", Amount: 1, Life: decide.LoanLife}),
		"spare":    control.Size(&cell.Spare{Set: set, Domain: "domain-12", Slots: []int{100, 50, 20, 10}, Owner: box}),
		"offer":    control.Size(&cell.TableOffer{Revision: 20000, Digest: id}),
		"datagram": experiment.DatagramBytes,
	}
}

// bytesPerItem returns the heap bytes of one of the n items that build allocates.
func bytesPerItem(n int, build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / float64(n)
}

// measureMemory stores in m the heap bytes of one item of each kind.
func measureMemory(m map[string]float64) {
	const n = 2000
	m["waiting request, at its owner"] = bytesPerItem(n, func() any { return filledPool(n, 0) })
	m["lease, at its owner"] = bytesPerItem(n, func() any { return filledPool(0, n) })
	m["upstream, at its owner"] = bytesPerItem(n, func() any {
		p := decide.NewPool(decide.PoolConfig{})
		var list []decide.Backend
		for i := range n {
			list = append(list, decide.Backend{Name: fmt.Sprintf("runner-%04d", i), Slots: 165, CanPause: true})
		}
		p.SetBackends(0, list)
		return p
	})
	m["customer in a class, at its owner"] = bytesPerItem(n, func() any {
		p := poolOf(1, 1)
		for i := range n {
			id := uint64(i + 1)
			p.Offer(0, decide.Bid{ID: id, Box: "b", Class: "c", Customer: fmt.Sprintf("customer-%d", i), Work: 1})
			p.Withdraw(id)
		}
		return p
	})
	m["share of a limit"] = bytesPerItem(n, func() any {
		var list []*decide.Share
		for range n {
			list = append(list, decide.NewShare(0, decide.RateLimit, 10, 93, 1))
		}
		return list
	})
	m["idempotency key"] = bytesPerItem(n, func() any {
		c := decide.NewClaims("d", "b", 1, time.Second)
		for i := range n {
			k, _ := decide.ParseKey(fmt.Sprintf("0123456789abcdef-%d", i))
			c.Observe(time.Hour, []string{"b"}, true)
			c.Claim(time.Second, time.Hour, k, "b", uint64(i), true)
		}
		return c
	})
	m["time line event"] = bytesPerItem(n, func() any {
		r := timeline.NewRing(n)
		for i := range n {
			r.Add(timeline.Event{Request: uint64(i)})
		}
		return r
	})
	m["box of the domain"] = bytesPerItem(93, func() any {
		node := cell.NewNode(cell.Config{Box: "b", Domain: "d", Boot: 1, Timing: cell.DefaultTiming()})
		var r cell.Roster
		r.Revision = 1
		for i := range 93 {
			r.Boxes = append(r.Boxes, cell.BoxEntry{Name: fmt.Sprintf("box-%04d", i), Domain: "d"})
		}
		node.SetRoster(r)
		return node
	})
	m["box of another domain"] = bytesPerItem(n, func() any {
		var r cell.Roster
		for i := range n {
			r.Boxes = append(r.Boxes, cell.BoxEntry{Name: fmt.Sprintf("box-%04d", i), Domain: fmt.Sprintf("d%d", i%29)})
		}
		return r
	})
	m["row of a table"] = bytesPerItem(n, func() any {
		t, _ := table.Parse("measured", tableOf(n, 0).Document())
		return t
	})
	m["request, at its holder"] = bytesPerItem(n, func() any { return holderWith(n) })
}

// holderWith returns a node that holds n waiting requests.
func holderWith(n int) *cell.Node {
	node := cell.NewNode(cell.Config{Box: "b", Domain: "d", Boot: 1, Timing: cell.DefaultTiming()})
	node.Tick(0, 0)
	t := tableOf(1, 0)
	node.SetTable(t)
	for i := range n {
		node.Arrive(0, cell.Request{ID: uint64(i + 1), Class: "class-0", Customer: "customer-0"})
	}
	node.TakeActions()
	return node
}

// poolOf returns a pool with one class and the given number of upstreams.
func poolOf(upstreams, slots int) *decide.Pool {
	p := decide.NewPool(decide.PoolConfig{})
	p.SetRules(0, []decide.Rule{{Class: "c", Tier: 1, Weight: 1, Floor: 0.1, FirstToken: time.Hour, Repeatable: true}}, 1<<20)
	var list []decide.Backend
	for i := range upstreams {
		list = append(list, decide.Backend{Name: fmt.Sprintf("runner-%04d", i), Slots: slots, CanPause: true})
	}
	p.SetBackends(0, list)
	return p
}

// filledPool returns a pool with the given numbers of waiting requests and leases.
func filledPool(waiting, leases int) *decide.Pool {
	p := poolOf(1, max(1, leases))
	for i := range waiting + leases {
		p.Offer(0, decide.Bid{ID: uint64(i + 1), Box: "b", Class: "c", Customer: fmt.Sprintf("c%d", i%20), Work: 250})
	}
	if leases > 0 {
		p.Decide(0)
	}
	return p
}

// measureDecision measures what one request costs a set's owner that has 345
// upstreams and the given number of waiting requests: the bid, the release of
// another request's lease, and the grant that follows.
func measureDecision(waiting int) DecisionCost {
	const upstreams, rounds = 345, 20000
	p := poolOf(upstreams, 8)
	id := uint64(0)
	offer := func(now time.Duration) {
		id++
		p.Offer(now, decide.Bid{ID: id, Box: "b", Class: "c", Customer: customers[id%20], Work: 250, Prefix: id % 50})
	}
	for range upstreams*8 + waiting {
		offer(0)
	}
	p.Decide(0)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range rounds {
		now := time.Duration(i) * time.Microsecond
		offer(now)
		p.Release(now, uint64(i+1), decide.Usage{Tokens: 250})
		p.Decide(now)
	}
	nanos := float64(time.Since(start).Nanoseconds()) / rounds
	runtime.ReadMemStats(&after)
	return DecisionCost{Waiting: waiting, Upstreams: upstreams, Nanos: nanos, Allocs: float64(after.Mallocs-before.Mallocs) / rounds}
}

// customers holds the names in advance, so that measureDecision's allocations exclude
// building them.
var customers = func() (out [20]string) {
	for i := range out {
		out[i] = fmt.Sprintf("customer-%d", i)
	}
	return out
}()

// tableOf returns a table with 28 classes, at least 28 upstreams and the given number
// of customers.
func tableOf(upstreams, customers int) *table.Table {
	t := new(table.Table)
	for i := range 28 {
		t.Classes = append(t.Classes, table.Class{Name: fmt.Sprintf("class-%d", i), Tier: 1 + i%4, FirstToken: jsonc.Duration(time.Second),
			Weight: 1, Floor: 0.1, Repeatable: true, OnLate: table.Wait, Set: fmt.Sprintf("model-%d", i), Scope: table.ScopeDomain})
	}
	for i := range customers {
		name := fmt.Sprintf("customer-%d", i)
		t.Customers = append(t.Customers, table.Customer{Name: name, KeyHashes: []string{table.HashKey(name)}, DefaultClass: "class-0",
			Rate: 100, Concurrency: 100, Scope: table.ScopeAll})
	}
	for i := range max(upstreams, 28) {
		t.Upstreams = append(t.Upstreams, table.Upstream{Name: fmt.Sprintf("runner-%05d", i), Domain: fmt.Sprintf("domain-%d", i%29),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), Kind: table.Engine, Set: fmt.Sprintf("model-%d", i%28),
			Model: fmt.Sprintf("model-%d", i%28), Slots: 165, ChecksFence: true})
	}
	return t.WithRevision(1)
}

// measureTable measures the size of a table's rows and deltas, and the time to parse
// a table and to apply a delta.
func measureTable() (TableCost, error) {
	const upstreams, customers = 3000, 820
	t := tableOf(upstreams, customers)
	document := t.Document()
	c := TableCost{Upstreams: upstreams, Customers: customers, Document: len(document)}
	c.UpstreamRow = float64(len(document)-len(tableOf(1000, customers).Document())) / (upstreams - 1000)
	c.CustomerRow = float64(len(document)-len(tableOf(upstreams, 0).Document())) / customers
	start := time.Now()
	if _, err := table.Parse("measured", document); err != nil {
		return c, err
	}
	c.Parse = time.Since(start).Seconds()
	changed := *t
	changed.Classes = append([]table.Class(nil), t.Classes...)
	changed.Classes[3].Weight = 7
	next := changed.WithRevision(2)
	delta := table.MakeDelta(t, next)
	c.Delta = delta.Size()
	start = time.Now()
	_, err := t.Apply(delta)
	c.Apply = time.Since(start).Seconds()
	return c, err
}

// Load reads stored slopes from a JSON file. The error names the file.
func Load(file string) (*Slopes, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s := new(Slopes)
	if err := json.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}
