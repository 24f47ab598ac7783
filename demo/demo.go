// Package demo runs a small deployment in one process: two failure domains with
// two boxes and two stand-in engines each, under simulated traffic whose burst
// offers three times the engines' capacity.
package demo

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/doormast/doormast"
	"github.com/doormast/doormast/internal/jsonc"
	"github.com/doormast/doormast/internal/platform"
	"github.com/doormast/doormast/settings"
	"github.com/doormast/doormast/standin"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
)

// Config configures a demo.
type Config struct {
	For    time.Duration // total time of all stages
	Listen string        // host:port on which the first box serves callers; "" is a free local port
	Out    io.Writer     // receives progress and the report
}

const (
	domains = 2
	boxes   = 2                     // in each domain
	engines = 2                     // in each domain
	slots   = 4                     // of each engine
	pace    = 10 * time.Millisecond // per token
	apiKey  = "demo-key"
)

// classes are the demo's request classes; the shares add up to 1.
var classes = []struct {
	row        table.Class
	share      float64 // of all requests
	meanLength int     // of the answers, in tokens
}{
	{table.Class{Name: "review", Tier: 1, FirstToken: seconds(20), Weight: 1, Floor: 0.1, Repeatable: true, OnLate: table.Wait, Set: "chat"}, 0.2, 60},
	{table.Class{Name: "letter", Tier: 2, FirstToken: seconds(1.5), Weight: 1, Floor: 0.1, Repeatable: true, OnLate: table.Refuse, Set: "chat"}, 0.4, 30},
	{table.Class{Name: "question", Tier: 3, FirstToken: seconds(1), Weight: 1, Floor: 0.1, Repeatable: true, OnLate: table.Refuse, Set: "chat"}, 0.4, 15},
}

// seconds converts a number of seconds to a settings duration.
func seconds(s float64) jsonc.Duration { return jsonc.Duration(s * float64(time.Second)) }

// stage is a period of the demo with a constant offered load.
type stage struct {
	name     string
	fraction float64 // of Config.For
	load     float64 // offered load divided by capacity
}

var stages = []stage{{"calm", 0.25, 0.6}, {"burst", 0.5, 3}, {"calm again", 0.25, 0.6}}

// demo is the state of a running demo; mu guards tallies.
type demo struct {
	cfg      Config
	platform *standin.Platform
	engines  []*standin.Engine
	boxes    []*doormast.Box
	client   *http.Client
	mu       sync.Mutex
	tallies  map[string]*tally
	callers  sync.WaitGroup
}

// tally counts the outcomes of the requests of a class, as seen by callers.
type tally struct {
	offered, answered, inTime, refused, failed int
	tokens                                     int // of complete answers
}

// Run runs all stages and prints a report. It returns an error if a part of the demo fails to
// start or the report can't be written; timeline violations are printed only.
func Run(ctx context.Context, cfg Config) error {
	d := &demo{cfg: cfg, tallies: make(map[string]*tally),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return err
	}
	d.printUsage()
	for _, s := range stages {
		d.run(ctx, s)
	}
	d.callers.Wait()
	return d.report()
}

// start starts the platform, the engines and the boxes.
func (d *demo) start(ctx context.Context) error {
	var err error
	if d.platform, err = standin.NewPlatform("127.0.0.1:0"); err != nil {
		return err
	}
	t := &table.Table{Customers: []table.Customer{{Name: "demo", KeyHashes: []string{table.HashKey(apiKey)}, DefaultClass: "question", Scope: table.ScopeDomain}}}
	for _, c := range classes {
		row := c.row
		row.Scope = table.ScopeDomain
		t.Classes = append(t.Classes, row)
	}
	for i := range domains * engines {
		e, err := standin.NewEngine(standin.EngineConfig{Address: "127.0.0.1:0", Model: "demo", Slots: slots, Pace: pace, Prefill: 5 * pace, ChecksFence: true})
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
		t.Upstreams = append(t.Upstreams, table.Upstream{Name: fmt.Sprintf("engine%d", i), Domain: fmt.Sprintf("domain%d", i%domains),
			Address: e.Address(), Kind: table.Engine, Set: "chat", Model: "demo", Slots: slots, ChecksFence: true})
	}
	d.platform.SetTable(t)
	return d.startBoxes(ctx)
}

// startBoxes publishes the list of boxes, starts them and waits until each has a table.
func (d *demo) startBoxes(ctx context.Context) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var list platform.List
	var boxSettings []settings.Settings
	for i := range domains * boxes {
		s := settings.Defaults()
		s.Box, s.Domain = fmt.Sprintf("box%d", i), fmt.Sprintf("domain%d", i%domains)
		s.Platform, s.PeerKey, s.OpsKey = d.platform.Address(), "a key that the boxes share", "a key of the operators"
		s.Listen = settings.Listen{Callers: "127.0.0.1:0", Control: freeAddress(), Ops: freeAddress()}
		s.Stop.Notice = 0
		if i == 0 && d.cfg.Listen != "" {
			s.Listen.Callers = d.cfg.Listen
		}
		list.Boxes = append(list.Boxes, platform.Box{Name: s.Box, Domain: s.Domain, Control: s.Listen.Control, Ops: s.Listen.Ops})
		boxSettings = append(boxSettings, s)
	}
	d.platform.SetList(list)
	for _, s := range boxSettings {
		b, err := doormast.Start(ctx, doormast.Config{Settings: s, Log: log})
		if err != nil {
			return err
		}
		d.boxes = append(d.boxes, b)
	}
	return d.awaitTables(ctx)
}

// freeAddress returns a local TCP address that was free when it was probed.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startTimeout limits the wait for all boxes to receive a table.
const startTimeout = 20 * time.Second

// awaitTables waits until every box has received a table.
func (d *demo) awaitTables(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, b := range d.boxes {
		for b.Table() == nil {
			select {
			case <-ctx.Done():
				return fmt.Errorf("demo: a box did not receive a table: %w", ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// printUsage prints the size of the deployment and an example request.
func (d *demo) printUsage() {
	address, _ := d.boxes[0].Addresses()
	d.printf("%d boxes in %d failure domains route to %d engines with %d slots each.\n", len(d.boxes), domains, len(d.engines), slots)
	d.printf("Example request:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'X-Doormast-Class: letter' \\\n"+
		"    -d '{\"model\":\"demo\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello len=20\"}]}'\n\n", address, apiKey)
}

func (d *demo) printf(format string, args ...any) { fmt.Fprintf(d.cfg.Out, format, args...) }

// capacity returns the engines' total throughput in tokens per second.
func capacity() float64 {
	return float64(domains*engines*slots) / pace.Seconds()
}

// run offers a stage's load as Poisson arrivals and prints progress every second. The mean cost
// of a request includes a prefill of 5 token times.
func (d *demo) run(ctx context.Context, s stage) {
	end := time.Now().Add(time.Duration(s.fraction * float64(d.cfg.For)))
	meanCost := 0.0 // in token times
	for _, c := range classes {
		meanCost += c.share * float64(c.meanLength+5)
	}
	rate := s.load * capacity() / meanCost
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for time.Now().Before(end) && ctx.Err() == nil {
		select {
		case <-ticker.C:
			d.progress(s)
		case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
			d.callers.Add(1)
			go d.call(ctx)
		case <-ctx.Done():
		}
	}
}

// progress prints one line with the counts of each class so far.
func (d *demo) progress(s stage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.printf("%-10s", s.name)
	for _, c := range classes {
		t := d.tally(c.row.Name)
		d.printf("  %s: %d offered, %d answered, %d refused", c.row.Name, t.offered, t.answered, t.refused)
	}
	d.printf("\n")
}

// tally returns the counts of a class, created at first use. The caller holds d.mu, unless all
// requests have ended.
func (d *demo) tally(class string) *tally {
	t := d.tallies[class]
	if t == nil {
		t = new(tally)
		d.tallies[class] = t
	}
	return t
}

// call sends one request of a random class and length to a random box, and counts its outcome.
func (d *demo) call(ctx context.Context) {
	defer d.callers.Done()
	c := classes[0]
	u := rand.Float64()
	for _, c = range classes {
		if u -= c.share; u < 0 {
			break
		}
	}
	length := 1 + int(rand.ExpFloat64()*float64(c.meanLength))
	body := fmt.Sprintf(`{"model":"demo","stream":true,"messages":[{"role":"user","content":"%d len=%d"}]}`, rand.Uint32(), length)
	address, _ := d.boxes[rand.IntN(len(d.boxes))].Addresses()
	d.mu.Lock()
	d.tally(c.row.Name).offered++
	d.mu.Unlock()
	first, tokens, status := d.send(ctx, address, c.row.Name, body)
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tally(c.row.Name)
	switch {
	case status == http.StatusOK && tokens == length:
		t.answered++
		t.tokens += tokens
		if first <= c.row.FirstToken.Std() {
			t.inTime++
		}
	case status == http.StatusOK || status == 0:
		t.failed++
	default:
		t.refused++
	}
}

// send sends a request and returns the time to the first line of the answer, the number of
// tokens in it, and the HTTP status, or 0 if there was no response.
func (d *demo) send(ctx context.Context, address, class, body string) (first time.Duration, tokens, status int) {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, 0, 0
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("X-Doormast-Class", class)
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body) // a single read may end inside an event
	for lines.Scan() {
		if first == 0 {
			first = time.Since(start)
		}
		if bytes.Contains(lines.Bytes(), []byte(`"delta"`)) {
			tokens++
		}
	}
	return first, tokens, resp.StatusCode
}

// report prints the outcomes by class, the goodput, and the invariant violations found in the
// boxes' merged timeline.
func (d *demo) report() error {
	tw := tabwriter.NewWriter(d.cfg.Out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "\nCLASS\tTIER\tOFFERED\tANSWERED\tIN TARGET\tREFUSED\tFAILED\tATTAINMENT\t")
	goodTokens := 0 // of complete answers
	for _, c := range classes {
		t := d.tally(c.row.Name)
		goodTokens += t.tokens
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f %%\t\n", c.row.Name, c.row.Tier, t.offered, t.answered, t.inTime, t.refused, t.failed,
			100*float64(t.inTime)/float64(max(t.offered, 1)))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	generated := 0
	for _, e := range d.engines {
		generated += e.Counts().Generated
	}
	d.printf("\ngoodput %.0f tokens/s of %.0f; wasted work %.1f %% of %d tokens generated\n",
		float64(goodTokens)/d.cfg.For.Seconds(), capacity(), 100*float64(max(0, generated-goodTokens))/float64(max(generated, 1)), generated)
	var timelines [][]timeline.Event
	for _, b := range d.boxes {
		timelines = append(timelines, b.Events())
	}
	violations := timeline.Check(timeline.Merge(timelines...), func(string) bool { return true })
	d.printf("invariant violations on the timeline: %d\n", len(violations))
	for _, v := range violations {
		d.printf("  %s\n", v)
	}
	return nil
}

// close stops whatever has been started.
func (d *demo) close() {
	for _, b := range d.boxes {
		_ = b.Close()
	}
	for _, e := range d.engines {
		_ = e.Close()
	}
	if d.platform != nil {
		_ = d.platform.Close()
	}
	d.client.CloseIdleConnections()
}
