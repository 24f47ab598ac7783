// Package demo runs the main job in one process: two failure domains of two
// boxes, a few stand-in engines, and a burst that exceeds their capacity
// threefold.
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
	For    time.Duration
	Listen string // address of the first box's callers' side; "" is any
	Out    io.Writer
}

const (
	domains = 2
	boxes   = 2 // in each domain
	engines = 2 // in each domain
	slots   = 4
	pace    = 10 * time.Millisecond
	key     = "demo-key"
)

// classes are the demo's rows, with the share of the callers that use each.
var classes = []struct {
	row    table.Class
	share  float64
	length int
}{
	{table.Class{Name: "review", Tier: 1, FirstToken: seconds(20), Weight: 1, Floor: 0.1, Repeatable: true, OnLate: table.Wait, Set: "chat"}, 0.2, 60},
	{table.Class{Name: "letter", Tier: 2, FirstToken: seconds(1.5), Weight: 1, Floor: 0.1, Repeatable: true, OnLate: table.Refuse, Set: "chat"}, 0.4, 30},
	{table.Class{Name: "question", Tier: 3, FirstToken: seconds(1), Weight: 1, Floor: 0.1, Repeatable: true, OnLate: table.Refuse, Set: "chat"}, 0.4, 15},
}

func seconds(s float64) jsonc.Duration { return jsonc.Duration(s * float64(time.Second)) }

// stage is a part of the demo, with the load that is offered.
type stage struct {
	name string
	part float64 // of the whole time
	load float64 // over capacity
}

var stages = []stage{{"calm", 0.25, 0.6}, {"burst", 0.5, 3}, {"calm again", 0.25, 0.6}}

// demo is a running demo.
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

// tally counts what callers of a class saw.
type tally struct {
	offered, answered, inTime, refused, failed int
	tokens                                     int
}

// Run runs the demo to its end.
func Run(ctx context.Context, cfg Config) error {
	d := &demo{cfg: cfg, tallies: make(map[string]*tally),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return err
	}
	d.sayHow()
	for _, s := range stages {
		d.run(ctx, s)
	}
	d.callers.Wait()
	return d.report()
}

func (d *demo) start(ctx context.Context) error {
	var err error
	if d.platform, err = standin.NewPlatform("127.0.0.1:0"); err != nil {
		return err
	}
	t := &table.Table{Customers: []table.Customer{{Name: "demo", KeyHashes: []string{table.HashKey(key)}, DefaultClass: "question", Scope: table.ScopeDomain}}}
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

func (d *demo) startBoxes(ctx context.Context) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var list platform.List
	var all []settings.Settings
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
		all = append(all, s)
	}
	d.platform.SetList(list)
	for _, s := range all {
		b, err := doormast.Start(ctx, doormast.Config{Settings: s, Log: log})
		if err != nil {
			return err
		}
		d.boxes = append(d.boxes, b)
	}
	return d.awaitHealthy(ctx)
}

// freeAddress finds an address that nobody listens on.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

const startTimeout = 20 * time.Second

func (d *demo) awaitHealthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, b := range d.boxes {
		for b.Table() == nil {
			select {
			case <-ctx.Done():
				return fmt.Errorf("demo: a box got no table: %w", ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func (d *demo) sayHow() {
	address, _ := d.boxes[0].Addresses()
	d.printf("%d boxes in %d failure domains stand before %d engines of %d slots.\n", len(d.boxes), domains, len(d.engines), slots)
	d.printf("Try it:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'X-Doormast-Class: letter' \\\n"+
		"    -d '{\"model\":\"demo\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello len=20\"}]}'\n\n", address, key)
}

func (d *demo) printf(format string, args ...any) { fmt.Fprintf(d.cfg.Out, format, args...) }

// capacity is how many tokens a second the engines generate.
func capacity() float64 {
	return float64(domains*engines*slots) / pace.Seconds()
}

// run offers a stage's load, and says each second how it goes.
func (d *demo) run(ctx context.Context, s stage) {
	end := time.Now().Add(time.Duration(s.part * float64(d.cfg.For)))
	mean := 0.0
	for _, c := range classes {
		mean += c.share * float64(c.length+5)
	}
	rate := s.load * capacity() / mean
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for time.Now().Before(end) && ctx.Err() == nil {
		select {
		case <-second.C:
			d.progress(s)
		case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
			d.callers.Add(1)
			go d.call(ctx)
		case <-ctx.Done():
		}
	}
}

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

func (d *demo) tally(class string) *tally {
	t := d.tallies[class]
	if t == nil {
		t = new(tally)
		d.tallies[class] = t
	}
	return t
}

// call is one caller.
func (d *demo) call(ctx context.Context) {
	defer d.callers.Done()
	c := classes[0]
	u := rand.Float64()
	for _, c = range classes {
		if u -= c.share; u < 0 {
			break
		}
	}
	length := 1 + int(rand.ExpFloat64()*float64(c.length))
	body := fmt.Sprintf(`{"model":"demo","stream":true,"messages":[{"role":"user","content":"%d len=%d"}]}`, rand.Uint32(), length)
	address, _ := d.boxes[rand.IntN(len(d.boxes))].Addresses()
	d.mu.Lock()
	d.tally(c.row.Name).offered++
	d.mu.Unlock()
	first, tokens, status := d.ask(ctx, address, c.row.Name, body)
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

// ask makes a request and returns the time to the first token, the tokens of the
// answer, and the status; 0 is no answer at all.
func (d *demo) ask(ctx context.Context, address, class, body string) (first time.Duration, tokens, status int) {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, 0, 0
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Doormast-Class", class)
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body) // a read may end within an event
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

// report prints what it came to and checks the promises.
func (d *demo) report() error {
	tw := tabwriter.NewWriter(d.cfg.Out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "\nCLASS\tTIER\tOFFERED\tANSWERED\tIN TARGET\tREFUSED\tFAILED\tATTAINMENT\t")
	good := 0
	for _, c := range classes {
		t := d.tally(c.row.Name)
		good += t.tokens
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
		float64(good)/d.cfg.For.Seconds(), capacity(), 100*float64(max(0, generated-good))/float64(max(generated, 1)), generated)
	var lists [][]timeline.Event
	for _, b := range d.boxes {
		lists = append(lists, b.Events())
	}
	violations := timeline.Check(timeline.Merge(lists...), func(string) bool { return true })
	d.printf("promises broken on the time line: %d\n", len(violations))
	for _, v := range violations {
		d.printf("  %s\n", v)
	}
	return nil
}

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
